// Package protocol holds the typed messages that tillerarch exchanges with
// users, workers, cloud, state service and its own kind, and their validation.
// Names as they go over the wire stand in this package only.
package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Small types of their own, so that one kind of number never stands in for another.
type (
	JobID           string // "j-000412"
	MachineID       string // "m-000231"
	ControllerID    string // name of a controller
	Zone            string
	MachineTypeName string // machine type
	Attempt         uint64 // attempt number of a task
	FencingToken    uint64 // fencing token that workers compare
	AgentEpoch      uint64 // a worker's session
	Sequence        uint64 // order of a worker's messages within its session
	Revision        uint64 // revision of the state service
	ModRevision     uint64 // revision of a key's last change; 0: the key does not exist
	LeaseID         uint64 // lease of the state service
	Instant         int64  // this process's steady clock, in nanoseconds
	Millis          int64  // time of day in milliseconds since the epoch
)

// Add moves an instant by a duration.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub is the time that passed from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Seconds turns a duration of the wire into one of Go.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func isValidID(s, prefix string) bool {
	if !strings.HasPrefix(s, prefix) || len(s) <= len(prefix) || len(s) > 40 {
		return false
	}
	for _, r := range s[len(prefix):] {
		if r < '0' || r > '9' {
			return false
		}
	}
	return true
}

// IsValid tells whether the id has the only form that users use.
func (id JobID) IsValid() bool { return isValidID(string(id), "j-") }

// IsValid tells whether the name has the form of the cloud's machine names.
func (id MachineID) IsValid() bool { return isValidID(string(id), "m-") }

// Task names one task of a job: "j-000412/3".
type Task struct {
	Job   JobID
	Index int
}

func (t Task) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// MarshalText writes the task's wire form.
func (t Task) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads the task's wire form.
func (t *Task) UnmarshalText(b []byte) error {
	job, index, ok := strings.Cut(string(b), "/")
	n, err := strconv.Atoi(index)
	if !ok || err != nil || n < 0 || n >= MaxTasks || !JobID(job).IsValid() {
		return fmt.Errorf("malformed task %q", b)
	}
	t.Job, t.Index = JobID(job), n
	return nil
}
