package storage

import (
	"encoding/json"
	"fmt"
	"iter"
	"strings"

	"tillerarch/internal/protocol"
)

// RegistryRecord is the value of RegistryKey: who added a machine last.
type RegistryRecord struct {
	UpdatedBy Incarnation `json:"b"`
}

// Incarnation names one process run of a controller, under one lease: "stall-0#7". It owns
// machines and jobs, and is never reused.
type Incarnation string

// NewIncarnation names the incarnation of a controller that holds a lease.
func NewIncarnation(controller protocol.ControllerID, lease protocol.LeaseID) Incarnation {
	return Incarnation(fmt.Sprintf("%s#%d", controller, lease))
}

// Controller is the controller that the incarnation is a run of.
func (i Incarnation) Controller() protocol.ControllerID {
	controller, _, _ := strings.Cut(string(i), "#")
	return protocol.ControllerID(controller)
}

// JobRecord is what the store holds of a job. A done job keeps only State, TaskCount and
// SubmittedAt.
type JobRecord struct {
	Spec  *protocol.Job     `json:"d,omitempty"`
	State protocol.JobState `json:"s,omitempty"` // empty: neither done nor cancelled
	Owner Incarnation       `json:"c,omitempty"`

	// NextAttempt is the lowest attempt that has not been reserved: attempts below it are
	// never given out again, also by a later owner.
	NextAttempt    protocol.Attempt `json:"n,omitempty"`
	CompletedTasks TaskSet          `json:"v,omitzero"`

	// GracefulStopAttempt is the highest attempt of a gang whose tasks must checkpoint and
	// stop, because one of their machines is being preempted: tasks of this and of all lower
	// attempts stop. It only rises; 0: none has to.
	GracefulStopAttempt protocol.Attempt `json:"h,omitempty"`

	// ReservedMachines are those on which capacity is reserved for a gang: their owners
	// preempt tasks of lower priority.
	ReservedMachines []protocol.MachineID `json:"m,omitempty"`
	SubmittedAt      protocol.Millis      `json:"t,omitempty"`

	// CancelRequested says that the user has cancelled the job and that not every controller
	// that may run a task of it has acknowledged: no task may start, and the job is not
	// reported as cancelled yet. It is never taken back; it ends with a terminal state.
	CancelRequested bool `json:"w,omitempty"`

	// CancelUpdatedAt is the wall clock of the last write of the cancellation: of the request
	// while CancelRequested is set, of the confirmation once State is JobCancelled. 0 for a
	// job that was never cancelled.
	CancelUpdatedAt protocol.Millis `json:"o,omitempty"`
	TaskCount       int             `json:"k,omitempty"` // of a done job
}

// IsCancelledOrCancelling tells whether the job is cancelled, or its cancellation requested.
func (r *JobRecord) IsCancelledOrCancelling() bool {
	return r.CancelRequested || r.State == protocol.JobCancelled
}

// Assignment is a set of tasks of one job that run on a machine under one attempt.
type Assignment struct {
	Job     protocol.JobID
	Attempt protocol.Attempt
	Tasks   TaskSet
}

// MachineRecord is what the store holds of a machine. It is encoded as a line of its shard's
// record (EncodeLine); Shard, Owner, ShardEpoch and FencingToken are not in the line but
// follow from the shard.
type MachineRecord struct {
	Shard        ShardID
	Owner        Incarnation
	ShardEpoch   ShardEpoch
	TokenCounter uint64                // raised to make the agent send a heartbeat at once
	FencingToken protocol.FencingToken // of ShardEpoch and TokenCounter
	AgentEpoch   protocol.AgentEpoch   // 0: no heartbeat yet
	Assignments  []Assignment
	Address      string
	MachineType  protocol.MachineTypeName
	Zone         protocol.Zone
	Spot         bool
	Terminating  bool            // may be gone at any moment; gets no task
	Cordoned     bool            // gets no new task
	AddedAt      protocol.Millis // when it was provisioned or first seen
}

// Clone copies the record deeply enough that the copy's assignments can be changed.
func (m *MachineRecord) Clone() *MachineRecord {
	clone := *m
	clone.Assignments = append([]Assignment(nil), m.Assignments...)
	return &clone
}

// AttemptOf is the attempt under which a task is assigned to the machine, if it is.
func (m *MachineRecord) AttemptOf(task protocol.Task) (protocol.Attempt, bool) {
	for i := range m.Assignments {
		assignment := &m.Assignments[i]
		if assignment.Job == task.Job && assignment.Tasks.Contains(task.Index) {
			return assignment.Attempt, true
		}
	}
	return 0, false
}

// AssignmentsOf iterates over the assignments of one job.
func (m *MachineRecord) AssignmentsOf(job protocol.JobID) iter.Seq[*Assignment] {
	return func(yield func(*Assignment) bool) {
		for i := range m.Assignments {
			assignment := &m.Assignments[i]
			if assignment.Job == job && !yield(assignment) {
				return
			}
		}
	}
}

// Assign adds a task, to the assignment of its job and attempt if there is one.
func (m *MachineRecord) Assign(task protocol.Task, attempt protocol.Attempt) {
	for i := range m.Assignments {
		assignment := &m.Assignments[i]
		if assignment.Job == task.Job && assignment.Attempt == attempt {
			assignment.Tasks = assignment.Tasks.Add(task.Index)
			return
		}
	}
	m.Assignments = append(m.Assignments, Assignment{
		Job:     task.Job,
		Attempt: attempt,
		Tasks:   TaskRange(task.Index, task.Index),
	})
}

// Unassign removes a task, whatever its attempt.
func (m *MachineRecord) Unassign(task protocol.Task) {
	for i := range m.Assignments {
		assignment := &m.Assignments[i]
		if assignment.Job != task.Job || !assignment.Tasks.Contains(task.Index) {
			continue
		}
		if assignment.Tasks = assignment.Tasks.Remove(task.Index); assignment.Tasks.IsZero() {
			m.Assignments = append(m.Assignments[:i], m.Assignments[i+1:]...)
		}
		return
	}
}

// ControllerRecord says which incarnation of a controller is live. Its key is bound to the
// incarnation's lease: when the lease ends, the store deletes the key, and the incarnation is
// dead for all others.
type ControllerRecord struct {
	Incarnation Incarnation `json:"r"`

	// WriteBarrier is changed to cut off transactions of unknown outcome: they are conditional
	// on this key.
	WriteBarrier int `json:"f,omitempty"`

	// ReadableFormat is the newest format that the controller's version can read. Versions
	// before FormatPacked don't have the field.
	ReadableFormat Format `json:"v,omitempty"`

	// SupportsTransfers says that the controller's version acts on transfer records.
	SupportsTransfers bool `json:"m,omitempty"`
}

// QuotaRecord is the value of a QuotaKey: it differs with each write, so that placements of
// a team that has a limit follow each other.
type QuotaRecord struct {
	UpdatedBy     Incarnation `json:"b"`
	TransactionID uint64      `json:"n"`
}

// MustMarshal encodes a record as JSON. It panics for a type that JSON can't hold, which no
// record is.
func MustMarshal(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("storage: %v", err))
	}
	return b
}
