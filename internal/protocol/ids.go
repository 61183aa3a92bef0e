package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Identifiers that other parties assign. Each kind has its own type, so that one kind is
// never passed where another is meant.
type (
	// JobID is the id that a user assigned to a job, such as "j-000412".
	JobID string
	// MachineID is the cloud's name of a machine, such as "m-000231".
	MachineID string
	// ControllerID is the configured name of a controller. It is the same for all
	// incarnations of the controller.
	ControllerID string
	// Zone is an availability zone.
	Zone string
	// MachineTypeName is the cloud's name of a machine type.
	MachineTypeName string
)

// Counters. The party that issues a counter defines its order.
type (
	// Attempt numbers the starts of a task.
	Attempt uint64
	// FencingToken orders the owners of a machine. An agent ignores commands with a
	// lower token than the highest that it has seen.
	FencingToken uint64
	// AgentEpoch starts at 1 and increases whenever the agent's lease expires. The expiry
	// ends all tasks of the machine.
	AgentEpoch uint64
	// Sequence orders the messages of an agent within its epoch.
	Sequence uint64
	// Revision counts the changes of the store.
	Revision uint64
	// ModRevision is the revision of a key's last change. Zero means that the key does
	// not exist.
	ModRevision uint64
	// LeaseID identifies a lease of the store.
	LeaseID uint64
)

// Two kinds of time that must not be compared with each other.
type (
	// Instant is a reading of this process's monotonic clock in nanoseconds. It has no
	// meaning in another process.
	Instant int64
	// Millis is a wall-clock time in milliseconds since the Unix epoch.
	Millis int64
)

// Add returns the instant t+d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration t-u.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Seconds returns s seconds, the unit of durations on the wire, as a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	jobIDPrefix     = "j-"
	machineIDPrefix = "m-"
	maxIDBytes      = 40 // includes the prefix
)

// isValidID reports whether id is the prefix followed by decimal digits and is at most
// maxIDBytes long.
func isValidID(id, prefix string) bool {
	digits, hasPrefix := strings.CutPrefix(id, prefix)
	if !hasPrefix || digits == "" || len(id) > maxIDBytes {
		return false
	}
	for _, char := range digits {
		if char < '0' || char > '9' {
			return false
		}
	}
	return true
}

// IsValid reports whether the id has the form that users have to use, "j-" followed by
// decimal digits.
func (id JobID) IsValid() bool { return isValidID(string(id), jobIDPrefix) }

// IsValid reports whether the id has the form that the cloud uses, "m-" followed by
// decimal digits.
func (id MachineID) IsValid() bool { return isValidID(string(id), machineIDPrefix) }

// Task identifies one task of a job. Its wire form is "j-000412/3".
type Task struct {
	Job   JobID
	Index int // starts at 0
}

// String returns the task's wire form.
func (t Task) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// MarshalText returns the task's wire form. It never returns an error.
func (t Task) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText parses the task's wire form. It returns an error if the job's id is invalid
// or the index is not below MaxTasks.
func (t *Task) UnmarshalText(text []byte) error {
	job, indexText, found := strings.Cut(string(text), "/")
	index, err := strconv.Atoi(indexText)
	if !found || err != nil || index < 0 || index >= MaxTasks || !JobID(job).IsValid() {
		return fmt.Errorf("malformed task %q", text)
	}
	t.Job, t.Index = JobID(job), index
	return nil
}
