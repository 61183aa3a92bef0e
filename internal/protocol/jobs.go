package protocol

import (
	"math"
	"net/http"
	"slices"
	"strings"
)

// MaxTasks is the maximum number of tasks of a job in the users' interface.
const MaxTasks = 100_000

// Paths that controllers serve to users, the load balancer and agents.
const (
	PathJobs      = "/work"
	PathHealth    = "/healthz"
	PathHeartbeat = "/agent/beat"
	cancelSuffix  = "/abort"
)

// Kind is the kind of a job. It determines which tasks of the job run together.
type Kind string

// Kinds of jobs.
const (
	KindArray   Kind = "batch"  // independent tasks, each of which runs to completion
	KindGang    Kind = "group"  // all tasks run at the same time, or none does
	KindService Kind = "daemon" // independent service replicas that run until the user cancels the job
)

// Priority is the name of a job's priority in the users' interface.
type Priority string

// precedenceByPriority holds the precedence of each priority. Zero is the highest.
var precedenceByPriority = map[Priority]int{"critical": 0, "high": 1, "standard": 2, "low": 3}

// Precedence returns 0 for the highest priority and a larger number for each lower one.
func (p Priority) Precedence() int { return precedenceByPriority[p] }

// JobState is the state of a job as users see it.
type JobState string

// States of jobs.
const (
	JobQueued    JobState = "queued" // no task runs
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// IsTerminal reports whether the state may never change again.
func (s JobState) IsTerminal() bool { return s == JobDone || s == JobCancelled }

// Job is the accepted description of a job. Amounts are per task.
type Job struct {
	ID           JobID             `json:"uid"`
	Class        string            `json:"lane"` // determines the service-level objectives
	Team         string            `json:"desk"` // determines the quota
	Kind         Kind              `json:"shape"`
	Priority     Priority          `json:"rank"`
	TaskCount    int               `json:"pieces"` // 1 to MaxTasks
	Cores        float64           `json:"cores"`
	Accelerators float64           `json:"accelerators"`
	MemoryGB     float64           `json:"mem_gb"`
	Image        string            `json:"bundle"`
	ImageGB      float64           `json:"pull_gb"`
	MachineTypes []MachineTypeName `json:"builds,omitempty"` // allowed machine types; empty allows every type
	Zone         Zone              `json:"yard,omitempty"`   // allowed zone; empty allows every zone
	SingleZone   bool              `json:"together"`         // all tasks run in the same zone
	SpreadZones  bool              `json:"scatter"`          // at most half of the tasks, rounded up, run in one zone
	AllowSpot    bool              `json:"loaners"`
	// EstimatedRunSeconds is the user's estimate of a task's run time, without the image
	// pull.
	EstimatedRunSeconds float64 `json:"reckon_s"`
	// CheckpointIntervalSeconds is the progress between two checkpoints. Zero means that
	// the job has no checkpoints.
	CheckpointIntervalSeconds float64 `json:"bookmark_s"`
	// CheckpointSaveSeconds is the time that a task needs to save a checkpoint when it is
	// stopped.
	CheckpointSaveSeconds float64 `json:"stow_s"`
	// DeadlineSeconds is the deadline, counted from the submission. Nil means that the
	// job has no deadline.
	DeadlineSeconds *float64 `json:"due_s,omitempty"`
}

// IsGang reports whether all tasks of the job run at the same time, or none does.
func (j *Job) IsGang() bool { return j.Kind == KindGang }

// IsService reports whether the tasks are service replicas, which run until the job is
// cancelled.
func (j *Job) IsService() bool { return j.Kind == KindService }

// CanCheckpoint reports whether the tasks save checkpoints. Without checkpoints, a stopped
// task loses its work.
func (j *Job) CanCheckpoint() bool { return j.CheckpointIntervalSeconds > 0 }

// AllowsPlacement reports whether the job may use machines of the type in the zone.
func (j *Job) AllowsPlacement(machineType MachineTypeName, zone Zone) bool {
	if j.Zone != "" && j.Zone != zone {
		return false
	}
	return len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, machineType)
}

// Limits of the fields of a submission. The protocol defines none. The caller has to check
// whether the job as a whole fits into a record of the store.
const (
	maxAmount               = 1e9 // resources, and durations in seconds
	maxNameBytes            = 200
	maxMachineTypes         = 50
	maxMachineTypeNameBytes = 100
)

// submission is the description of a job as received, before validation. Every field is a
// pointer, because a missing field or a null differs from a zero value. For most fields,
// both are errors.
type submission struct {
	ID                        *JobID             `json:"uid"`
	Class                     *string            `json:"lane"`
	Team                      *string            `json:"desk"`
	Kind                      *Kind              `json:"shape"`
	Priority                  *Priority          `json:"rank"`
	TaskCount                 *float64           `json:"pieces"`
	Cores                     *float64           `json:"cores"`
	Accelerators              *float64           `json:"accelerators"`
	MemoryGB                  *float64           `json:"mem_gb"`
	Image                     *string            `json:"bundle"`
	ImageGB                   *float64           `json:"pull_gb"`
	MachineTypes              *[]MachineTypeName `json:"builds"`
	Zone                      *Zone              `json:"yard"`
	SingleZone                *bool              `json:"together"`
	SpreadZones               *bool              `json:"scatter"`
	AllowSpot                 *bool              `json:"loaners"`
	EstimatedRunSeconds       *float64           `json:"reckon_s"`
	CheckpointIntervalSeconds *float64           `json:"bookmark_s"`
	CheckpointSaveSeconds     *float64           `json:"stow_s"`
	DeadlineSeconds           *float64           `json:"due_s"`
}

// ParseJob parses and validates a submission. Its errors wrap ErrMalformed.
func ParseJob(body []byte) (*Job, error) {
	var parsed submission
	if err := decodeObject(body, &parsed); err != nil {
		return nil, err
	}
	for _, check := range []func() error{
		parsed.checkNames,
		parsed.checkKind,
		parsed.checkAmounts,
		parsed.checkPlacement,
	} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return parsed.toJob(), nil
}

// isValidName reports whether a required name is present, not empty and at most
// maxNameBytes long.
func isValidName(name *string) bool {
	return name != nil && *name != "" && len(*name) <= maxNameBytes
}

// checkNames validates the job's id, class, team and image.
func (s *submission) checkNames() error {
	switch {
	case s.ID == nil || !s.ID.IsValid():
		return malformedError("uid")
	case !isValidName(s.Class):
		return malformedError("lane")
	case !isValidName(s.Team):
		return malformedError("desk")
	case !isValidName(s.Image):
		return malformedError("bundle")
	}
	return nil
}

// checkKind validates the kind, priority and number of tasks, and requires the boolean
// fields.
func (s *submission) checkKind() error {
	if s.Kind == nil || *s.Kind != KindArray && *s.Kind != KindGang && *s.Kind != KindService {
		return malformedError("shape")
	}
	if s.Priority == nil {
		return malformedError("rank")
	}
	if _, isKnown := precedenceByPriority[*s.Priority]; !isKnown {
		return malformedError("rank")
	}
	if s.TaskCount == nil || !isValidTaskCount(*s.TaskCount) {
		return malformedError("pieces")
	}
	if s.SingleZone == nil || s.SpreadZones == nil || s.AllowSpot == nil {
		return malformedError("together, scatter or loaners")
	}
	return nil
}

// checkAmounts validates the resources and durations.
func (s *submission) checkAmounts() error {
	for _, field := range []struct {
		name  string
		value *float64
	}{
		{"cores", s.Cores},
		{"accelerators", s.Accelerators},
		{"mem_gb", s.MemoryGB},
		{"pull_gb", s.ImageGB},
		{"reckon_s", s.EstimatedRunSeconds},
		{"bookmark_s", s.CheckpointIntervalSeconds},
		{"stow_s", s.CheckpointSaveSeconds},
	} {
		if field.value == nil || !isValidAmount(*field.value) {
			return malformedError(field.name)
		}
	}
	if s.DeadlineSeconds != nil && !isValidAmount(*s.DeadlineSeconds) {
		return malformedError("due_s")
	}
	return nil
}

// isValidAmount reports whether amount is between 0 and maxAmount.
func isValidAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }

// isValidTaskCount reports whether count is a whole number from 1 to MaxTasks. Its wire
// form may have a decimal point, such as 16.0.
func isValidTaskCount(count float64) bool {
	return count == math.Trunc(count) && count >= 1 && count <= MaxTasks
}

// checkPlacement validates the zone and the machine types, both of which may be missing.
func (s *submission) checkPlacement() error {
	if s.Zone != nil && (*s.Zone == "" || len(*s.Zone) > maxNameBytes) {
		return malformedError("yard")
	}
	if s.MachineTypes == nil {
		return nil
	}
	if len(*s.MachineTypes) == 0 || len(*s.MachineTypes) > maxMachineTypes {
		return malformedError("builds")
	}
	for _, machineType := range *s.MachineTypes {
		if machineType == "" || len(machineType) > maxMachineTypeNameBytes {
			return malformedError("builds")
		}
	}
	return nil
}

// toJob returns the job that the submission describes. The submission must have passed all
// checks.
func (s *submission) toJob() *Job {
	job := &Job{
		ID:                        *s.ID,
		Class:                     *s.Class,
		Team:                      *s.Team,
		Kind:                      *s.Kind,
		Priority:                  *s.Priority,
		TaskCount:                 int(*s.TaskCount),
		Cores:                     *s.Cores,
		Accelerators:              *s.Accelerators,
		MemoryGB:                  *s.MemoryGB,
		Image:                     *s.Image,
		ImageGB:                   *s.ImageGB,
		SingleZone:                *s.SingleZone,
		SpreadZones:               *s.SpreadZones,
		AllowSpot:                 *s.AllowSpot,
		EstimatedRunSeconds:       *s.EstimatedRunSeconds,
		CheckpointIntervalSeconds: *s.CheckpointIntervalSeconds,
		CheckpointSaveSeconds:     *s.CheckpointSaveSeconds,
		DeadlineSeconds:           s.DeadlineSeconds,
	}
	if s.MachineTypes != nil {
		job.MachineTypes = *s.MachineTypes
	}
	if s.Zone != nil {
		job.Zone = *s.Zone
	}
	return job
}

// JobStatus is the status of a job as users see it. The numbers of tasks are for display
// only; the response to a submission has none.
type JobStatus struct {
	ID             JobID    `json:"uid"`
	State          JobState `json:"stage"`
	CompletedTasks *int     `json:"done,omitempty"`
	RunningTasks   *int     `json:"running,omitempty"`
}

// RequestType is the type of a user's request on PathJobs.
type RequestType int

// Types of users' requests.
const (
	RequestUnknown RequestType = iota
	RequestSubmit
	RequestQuery
	RequestCancel
)

// RouteJobRequest returns the type of a request on PathJobs and the id of its job, which
// it does not validate. pathExists reports whether the interface has the path, and
// methodAllowed whether the path accepts the method.
func RouteJobRequest(method, path string) (requestType RequestType, id JobID, pathExists, methodAllowed bool) {
	if path == PathJobs {
		return RequestSubmit, "", true, method == http.MethodPost
	}
	subpath, found := strings.CutPrefix(path, PathJobs+"/")
	if !found {
		return RequestUnknown, "", false, false
	}
	if jobID, found := strings.CutSuffix(subpath, cancelSuffix); found {
		return RequestCancel, JobID(jobID), !strings.Contains(jobID, "/"), method == http.MethodPost
	}
	return RequestQuery, JobID(subpath), !strings.Contains(subpath, "/"), method == http.MethodGet
}
