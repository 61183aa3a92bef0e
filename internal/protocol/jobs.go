package protocol

import (
	"math"
	"net/http"
	"slices"
	"strings"
)

// MaxTasks is the most tasks that the users' interface allows a job.
const MaxTasks = 100_000

// Paths that controllers serve to users, to the load balancer and to agents.
const (
	PathJobs      = "/work"
	PathHealth    = "/healthz"
	PathHeartbeat = "/agent/beat"
	cancelSuffix  = "/abort"
)

// Kind says how the tasks of a job belong together.
type Kind string

// Kinds of jobs.
const (
	KindArray   Kind = "batch"  // independent tasks, each runs to completion
	KindGang    Kind = "group"  // all tasks run at the same time or none does
	KindService Kind = "daemon" // independent replicas that run until the user cancels the job
)

// Priority is a job's priority, by the name that users give it.
type Priority string

// precedences are all priorities; 0 is the highest.
var precedences = map[Priority]int{"critical": 0, "high": 1, "standard": 2, "low": 3}

// Precedence returns 0 for the highest priority and more for each lower one.
func (p Priority) Precedence() int { return precedences[p] }

// JobState is the state of a job as users see it.
type JobState string

// States of jobs.
const (
	JobQueued    JobState = "queued" // no task runs
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// IsTerminal tells whether the state may never change again.
func (s JobState) IsTerminal() bool { return s == JobDone || s == JobCancelled }

// Job is an accepted description of a job. Amounts are per task.
type Job struct {
	ID           JobID             `json:"uid"`
	Class        string            `json:"lane"` // the service-level objectives that apply
	Team         string            `json:"desk"` // the quota that applies
	Kind         Kind              `json:"shape"`
	Priority     Priority          `json:"rank"`
	TaskCount    int               `json:"pieces"` // 1 to MaxTasks
	Cores        float64           `json:"cores"`
	Accelerators float64           `json:"accelerators"`
	MemoryGB     float64           `json:"mem_gb"`
	Image        string            `json:"bundle"`
	ImageGB      float64           `json:"pull_gb"`
	MachineTypes []MachineTypeName `json:"builds,omitempty"` // the allowed ones; empty: any
	Zone         Zone              `json:"yard,omitempty"`   // the allowed one; empty: any
	SingleZone   bool              `json:"together"`         // all tasks in the same zone
	SpreadZones  bool              `json:"scatter"`          // at most half of the tasks, rounded up, in a zone
	AllowSpot    bool              `json:"loaners"`
	// EstimatedRunSeconds is the user's estimate for a task, without the image pull.
	EstimatedRunSeconds float64 `json:"reckon_s"`
	// CheckpointIntervalSeconds is the progress between checkpoints; 0: the job has none.
	CheckpointIntervalSeconds float64 `json:"bookmark_s"`
	// CheckpointSaveSeconds is the time that a task needs to save when it is stopped.
	CheckpointSaveSeconds float64 `json:"stow_s"`
	// DeadlineSeconds counts from the submission; nil: no deadline.
	DeadlineSeconds *float64 `json:"due_s,omitempty"`
}

// IsGang tells whether all tasks run at the same time or none does.
func (j *Job) IsGang() bool { return j.Kind == KindGang }

// IsService tells whether the tasks are replicas that run until the job is cancelled.
func (j *Job) IsService() bool { return j.Kind == KindService }

// CanCheckpoint tells whether tasks save checkpoints. Without them a stopped task loses
// its work.
func (j *Job) CanCheckpoint() bool { return j.CheckpointIntervalSeconds > 0 }

// AllowsPlacement tells whether the job may use the machine type in the zone.
func (j *Job) AllowsPlacement(machineType MachineTypeName, zone Zone) bool {
	if j.Zone != "" && j.Zone != zone {
		return false
	}
	return len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, machineType)
}

// Bounds of a submission, of which the protocol names none. They bound the parts of a
// job; whether the whole fits a record of the store is for the caller to check.
const (
	maxAmount            = 1e9 // resources, and durations in seconds
	maxNameLength        = 200 // bytes
	maxMachineTypes      = 50
	maxMachineTypeLength = 100 // bytes
)

// submission is a job as it comes over the wire, before its checks. Every field is a
// pointer: a missing field or a null differs from a zero and is mostly an error.
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

// ParseJob reads and checks a submission.
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

func isValidName(name *string) bool {
	return name != nil && *name != "" && len(*name) <= maxNameLength
}

func (s *submission) checkNames() error {
	switch {
	case s.ID == nil || !s.ID.IsValid():
		return malformed("uid")
	case !isValidName(s.Class):
		return malformed("lane")
	case !isValidName(s.Team):
		return malformed("desk")
	case !isValidName(s.Image):
		return malformed("bundle")
	}
	return nil
}

func (s *submission) checkKind() error {
	if s.Kind == nil || *s.Kind != KindArray && *s.Kind != KindGang && *s.Kind != KindService {
		return malformed("shape")
	}
	if s.Priority == nil {
		return malformed("rank")
	}
	if _, ok := precedences[*s.Priority]; !ok {
		return malformed("rank")
	}
	if s.TaskCount == nil || !isValidTaskCount(*s.TaskCount) {
		return malformed("pieces")
	}
	if s.SingleZone == nil || s.SpreadZones == nil || s.AllowSpot == nil {
		return malformed("together, scatter or loaners")
	}
	return nil
}

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
			return malformed(field.name)
		}
	}
	if s.DeadlineSeconds != nil && !isValidAmount(*s.DeadlineSeconds) {
		return malformed("due_s")
	}
	return nil
}

func isValidAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }

// isValidTaskCount takes a decimal number such as 16.0, but no fraction.
func isValidTaskCount(count float64) bool {
	return count == math.Trunc(count) && count >= 1 && count <= MaxTasks
}

func (s *submission) checkPlacement() error {
	if s.Zone != nil && (*s.Zone == "" || len(*s.Zone) > maxNameLength) {
		return malformed("yard")
	}
	if s.MachineTypes == nil {
		return nil
	}
	if len(*s.MachineTypes) == 0 || len(*s.MachineTypes) > maxMachineTypes {
		return malformed("builds")
	}
	for _, machineType := range *s.MachineTypes {
		if machineType == "" || len(machineType) > maxMachineTypeLength {
			return malformed("builds")
		}
	}
	return nil
}

// toJob converts a submission that has passed all checks.
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

// JobStatus is what users are told of a job. The counts are for display; the response to
// a submission has none.
type JobStatus struct {
	ID           JobID    `json:"uid"`
	State        JobState `json:"stage"`
	DoneTasks    *int     `json:"done,omitempty"`
	RunningTasks *int     `json:"running,omitempty"`
}

// RequestType is what a user asks for on PathJobs.
type RequestType int

// The requests that users send.
const (
	RequestUnknown RequestType = iota
	RequestSubmit
	RequestQuery
	RequestCancel
)

// RouteJobRequest tells what a request on PathJobs asks for and of which job. The id is
// not checked. pathExists is false where the interface has no such path, methodAllowed
// where the path takes another method.
func RouteJobRequest(method, path string) (requestType RequestType, id JobID, pathExists, methodAllowed bool) {
	if path == PathJobs {
		return RequestSubmit, "", true, method == http.MethodPost
	}
	rest, found := strings.CutPrefix(path, PathJobs+"/")
	if !found {
		return RequestUnknown, "", false, false
	}
	if cancelID, found := strings.CutSuffix(rest, cancelSuffix); found {
		return RequestCancel, JobID(cancelID), !strings.Contains(cancelID, "/"), method == http.MethodPost
	}
	return RequestQuery, JobID(rest), !strings.Contains(rest, "/"), method == http.MethodGet
}
