package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Names that other parties chose. Each kind has a type of its own, so that one is never
// passed where another is meant.
type (
	// JobID is the id that a user gave a job, as in "j-000412".
	JobID string
	// MachineID is the cloud's name of a machine, as in "m-000231".
	MachineID string
	// ControllerID is the configured name of a controller; it outlives its processes.
	ControllerID string
	// Zone is an availability zone.
	Zone string
	// MachineTypeName is the cloud's name of a machine type.
	MachineTypeName string
)

// Counters, each with the order that its owner gives it.
type (
	// Attempt numbers the starts of a task.
	Attempt uint64
	// FencingToken orders the owners of a machine: an agent ignores a lower token than
	// the highest that it has seen.
	FencingToken uint64
	// AgentEpoch starts at 1 and rises whenever the agent's lease expires, which ends
	// all tasks of the machine.
	AgentEpoch uint64
	// Sequence orders the messages of an agent within its epoch.
	Sequence uint64
	// Revision counts the changes of the store.
	Revision uint64
	// ModRevision is the revision of a key's last change; 0 if the key does not exist.
	ModRevision uint64
	// LeaseID identifies a lease of the store.
	LeaseID uint64
)

// Two kinds of time that must not be compared with each other.
type (
	// Instant is a reading of this process's monotonic clock in nanoseconds. It means
	// nothing to another process.
	Instant int64
	// Millis is a time of day in milliseconds since the Unix epoch.
	Millis int64
)

// Add returns the instant that is d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time that passed from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Seconds converts a duration of the wire, in seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	jobIDPrefix     = "j-"
	machineIDPrefix = "m-"
	maxIDLength     = 40 // bytes, with the prefix
)

// isValidID tells whether s is the prefix followed by decimal digits.
func isValidID(s, prefix string) bool {
	digits, hasPrefix := strings.CutPrefix(s, prefix)
	if !hasPrefix || digits == "" || len(s) > maxIDLength {
		return false
	}
	for _, r := range digits {
		if r < '0' || r > '9' {
			return false
		}
	}
	return true
}

// IsValid tells whether the id has the only form that users give.
func (id JobID) IsValid() bool { return isValidID(string(id), jobIDPrefix) }

// IsValid tells whether the name has the form that the cloud gives.
func (id MachineID) IsValid() bool { return isValidID(string(id), machineIDPrefix) }

// Task names one task of a job. Its wire form is "j-000412/3".
type Task struct {
	Job   JobID
	Index int // from 0
}

// String returns the task's wire form.
func (t Task) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// MarshalText writes the task's wire form.
func (t Task) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads the task's wire form.
func (t *Task) UnmarshalText(text []byte) error {
	job, indexText, found := strings.Cut(string(text), "/")
	index, err := strconv.Atoi(indexText)
	if !found || err != nil || index < 0 || index >= MaxTasks || !JobID(job).IsValid() {
		return fmt.Errorf("malformed task %q", text)
	}
	t.Job, t.Index = JobID(job), index
	return nil
}
