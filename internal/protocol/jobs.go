package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Limits of the users' interface.
const (
	MaxTasks     = 100_000
	MaxBodyBytes = 64 << 10
)

// Paths of the users' and workers' interfaces.
const (
	PathJobs      = "/work"
	PathHealth    = "/healthz"
	PathHeartbeat = "/agent/beat"
	cancelSuffix  = "/abort"
)

// Kind says how the tasks of a job belong together.
type Kind string

// Shapes of jobs. The tasks of a daemon are independent and run until its user cancels
// the job.
const (
	KindArray   Kind = "batch"
	KindGang    Kind = "group"
	KindService Kind = "daemon"
)

// Priority is a job's priority.
type Priority string

var precedences = map[Priority]int{"critical": 0, "high": 1, "standard": 2, "low": 3}

// Precedence is 0 for the highest priority.
func (p Priority) Precedence() int { return precedences[p] }

// JobState of a job as users see it.
type JobState string

// Stages of jobs.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// IsTerminal tells whether the stage never changes again.
func (s JobState) IsTerminal() bool { return s == JobDone || s == JobCancelled }

// Job is a submission.
type Job struct {
	ID                        JobID             `json:"uid"`
	Class                     string            `json:"lane"`
	Team                      string            `json:"desk"`
	Kind                      Kind              `json:"shape"`
	Priority                  Priority          `json:"rank"`
	TaskCount                 int               `json:"pieces"`
	Cores                     float64           `json:"cores"`
	Accelerators              float64           `json:"accelerators"`
	MemoryGB                  float64           `json:"mem_gb"`
	Image                     string            `json:"bundle"`
	ImageGB                   float64           `json:"pull_gb"`
	MachineTypes              []MachineTypeName `json:"builds,omitempty"`
	Zone                      Zone              `json:"yard,omitempty"`
	SingleZone                bool              `json:"together"`
	SpreadZones               bool              `json:"scatter"`
	AllowSpot                 bool              `json:"loaners"`
	EstimatedRunSeconds       float64           `json:"reckon_s"`
	CheckpointIntervalSeconds float64           `json:"bookmark_s"`
	CheckpointSaveSeconds     float64           `json:"stow_s"`
	DeadlineSeconds           *float64          `json:"due_s,omitempty"`
}

// IsGang tells whether all tasks run at the same time or none does.
func (j *Job) IsGang() bool { return j.Kind == KindGang }

// IsService tells whether the job is a standing service: its tasks are replicas that run
// until the job is cancelled.
func (j *Job) IsService() bool { return j.Kind == KindService }

// CanCheckpoint tells whether tasks keep checkpoints.
func (j *Job) CanCheckpoint() bool { return j.CheckpointIntervalSeconds > 0 }

// ErrMalformed is the cause of a 400.
var ErrMalformed = errors.New("malformed")

func malformed(detail string) error { return fmt.Errorf("%w: %s", ErrMalformed, detail) }

// DecodeObject reads one JSON object and nothing behind it.
func DecodeObject(body []byte, v any) error {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return malformed("not a JSON object")
	}
	if err := json.Unmarshal(trimmed, v); err != nil {
		return malformed(err.Error())
	}
	return nil
}

// maxAmount bounds amounts and durations of a submission, maxNameLength the names in it.
const (
	maxAmount            = 1e9
	maxNameLength        = 200
	maxMachineTypes      = 50
	maxMachineTypeLength = 100
)

// submission is a job as it comes over the wire. Every field is a pointer, so that a
// missing one differs from a zero.
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
	if err := DecodeObject(body, &parsed); err != nil {
		return nil, err
	}
	for _, check := range []func() error{parsed.checkNames, parsed.checkKind, parsed.checkAmounts, parsed.checkPlacement} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return parsed.toJob(), nil
}

func isValidName(name *string) bool { return name != nil && *name != "" && len(*name) <= maxNameLength }

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
	if s.TaskCount == nil || *s.TaskCount != math.Trunc(*s.TaskCount) || *s.TaskCount < 1 || *s.TaskCount > MaxTasks {
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
		{"cores", s.Cores}, {"accelerators", s.Accelerators}, {"mem_gb", s.MemoryGB}, {"pull_gb", s.ImageGB},
		{"reckon_s", s.EstimatedRunSeconds}, {"bookmark_s", s.CheckpointIntervalSeconds}, {"stow_s", s.CheckpointSaveSeconds},
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

// toJob is the submission once it is checked.
func (s *submission) toJob() *Job {
	job := &Job{ID: *s.ID, Class: *s.Class, Team: *s.Team, Kind: *s.Kind, Priority: *s.Priority, TaskCount: int(*s.TaskCount),
		Cores: *s.Cores, Accelerators: *s.Accelerators, MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB,
		SingleZone: *s.SingleZone, SpreadZones: *s.SpreadZones, AllowSpot: *s.AllowSpot,
		EstimatedRunSeconds: *s.EstimatedRunSeconds, CheckpointIntervalSeconds: *s.CheckpointIntervalSeconds, CheckpointSaveSeconds: *s.CheckpointSaveSeconds, DeadlineSeconds: s.DeadlineSeconds}
	if s.MachineTypes != nil {
		job.MachineTypes = *s.MachineTypes
	}
	if s.Zone != nil {
		job.Zone = *s.Zone
	}
	return job
}

// JobStatus is what users are told of a job.
type JobStatus struct {
	ID           JobID    `json:"uid"`
	State        JobState `json:"stage"`
	DoneTasks    *int     `json:"done,omitempty"`
	RunningTasks *int     `json:"running,omitempty"`
}

// RequestType of a user's request on /work.
type RequestType int

// The requests that users send.
const (
	RequestUnknown RequestType = iota
	RequestSubmit
	RequestQuery
	RequestCancel
)

// RouteJobRequest tells what a request on /work asks for. known is false where no such
// path exists, allowed is false where the method does not go with the path.
func RouteJobRequest(method, path string) (requestType RequestType, id JobID, pathExists, methodAllowed bool) {
	if path == PathJobs {
		return RequestSubmit, "", true, method == "POST"
	}
	rest, ok := strings.CutPrefix(path, PathJobs+"/")
	if !ok {
		return RequestUnknown, "", false, false
	}
	if cancelID, ok := strings.CutSuffix(rest, cancelSuffix); ok {
		return RequestCancel, JobID(cancelID), !strings.Contains(cancelID, "/"), method == "POST"
	}
	return RequestQuery, JobID(rest), !strings.Contains(rest, "/"), method == "GET"
}
