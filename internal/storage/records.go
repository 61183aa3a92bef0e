package storage

import (
	"encoding/json"
	"fmt"
	"iter"
	"slices"
	"strings"

	"tillerarch/internal/protocol"
)

// RegistryRecord is the value of RegistryKey.
type RegistryRecord struct {
	UpdatedBy Incarnation `json:"b"` // the incarnation that added a machine last
}

// Incarnation is the name of one process run of a controller under one lease, such as
// "stall-0#7". Incarnations own machines and jobs. A name is never reused.
type Incarnation string

// NewIncarnation returns the name of the incarnation of a controller that holds a lease.
func NewIncarnation(controller protocol.ControllerID, lease protocol.LeaseID) Incarnation {
	return Incarnation(fmt.Sprintf("%s#%d", controller, lease))
}

// Controller returns the controller of which the incarnation is a run.
func (i Incarnation) Controller() protocol.ControllerID {
	controller, _, _ := strings.Cut(string(i), "#")
	return protocol.ControllerID(controller)
}

// JobRecord is the record of a job in the store. The record of a done job has only State,
// TaskCount and SubmittedAt.
type JobRecord struct {
	Spec  *protocol.Job     `json:"d,omitempty"`
	State protocol.JobState `json:"s,omitempty"` // empty if the job is neither done nor cancelled
	Owner Incarnation       `json:"c,omitempty"`

	// NextAttempt is the lowest attempt that has not been reserved. Lower attempts are never
	// reserved again, not even by a later owner.
	NextAttempt    protocol.Attempt `json:"n,omitempty"`
	CompletedTasks TaskSet          `json:"v,omitzero"`

	// GracefulStopAttempt is the highest attempt of a gang whose tasks must checkpoint and
	// stop because one of their machines is being preempted. The tasks of this attempt and
	// of all lower attempts stop. The value only rises. Zero means that no attempt has to
	// stop.
	GracefulStopAttempt protocol.Attempt `json:"h,omitempty"`

	// ReservedMachines lists the machines on which capacity is reserved for the job, which is
	// a gang or a service. The owners of the machines preempt tasks of lower priority there.
	// A service lists a machine once for each replica that it reserves there.
	ReservedMachines []protocol.MachineID `json:"m,omitempty"`
	SubmittedAt      protocol.Millis      `json:"t,omitempty"`

	// CancelRequested reports whether the user has cancelled the job and some controller that
	// may run a task of the job has not acknowledged the cancellation. While it is set, no
	// task may start and the job is not yet reported as cancelled. A request is never
	// withdrawn; it ends when State becomes terminal.
	CancelRequested bool `json:"w,omitempty"`

	// CancelUpdatedAt is the wall-clock time at which the cancellation was last written: the
	// request while CancelRequested is set, and the confirmation once State is JobCancelled.
	// It is zero for a job that was never cancelled.
	CancelUpdatedAt protocol.Millis `json:"o,omitempty"`
	TaskCount       int             `json:"k,omitempty"` // set only for a done job

	// SpecParts lists the parts that hold Spec, which is then not in the value. StateParts
	// lists the parts that hold the fields above other than Spec.
	SpecParts  []PartHash `json:"y,omitempty"`
	StateParts []PartHash `json:"x,omitempty"`
}

// IsCancelledOrCancelling reports whether the job is cancelled or its cancellation has been
// requested.
func (r *JobRecord) IsCancelledOrCancelling() bool {
	return r.CancelRequested || r.State == protocol.JobCancelled
}

// Assignment is the set of tasks of one job that are assigned to a machine under one attempt.
type Assignment struct {
	Job     protocol.JobID
	Attempt protocol.Attempt
	Tasks   TaskSet
}

// MachineRecord is the record of a machine in the store. EncodeLine encodes it as a line of the
// shard's record. Shard, Owner, ShardEpoch and FencingToken are not part of the line, because
// they follow from the shard.
type MachineRecord struct {
	Shard        ShardID
	Owner        Incarnation
	ShardEpoch   ShardEpoch
	TokenCounter uint64                // raised to make the agent send a heartbeat at once
	FencingToken protocol.FencingToken // combines ShardEpoch and TokenCounter
	AgentEpoch   protocol.AgentEpoch   // 0 before the agent's first heartbeat
	Assignments  []Assignment
	Address      string
	MachineType  protocol.MachineTypeName
	Zone         protocol.Zone
	Spot         bool
	Terminating  bool // the machine may disappear at any moment and gets no tasks
	Cordoned     bool // the machine gets no new tasks
	// LostJobs lists the jobs that had a task on the machine when the agent's lease expired. The tasks
	// cannot continue, but are on the machine until the agent has begun another epoch.
	LostJobs []protocol.JobID
	AddedAt  protocol.Millis // when the machine was provisioned or first seen
}

// Clone returns a copy of the record. Changes to the lists of the copy do not affect the original.
func (m *MachineRecord) Clone() *MachineRecord {
	clone := *m
	clone.Assignments = append([]Assignment(nil), m.Assignments...)
	clone.LostJobs = slices.Clone(m.LostJobs)
	return &clone
}

// AddLostJob adds a job to LostJobs unless the list has it.
func (m *MachineRecord) AddLostJob(job protocol.JobID) {
	if !slices.Contains(m.LostJobs, job) {
		m.LostJobs = append(m.LostJobs, job)
	}
}

// AttemptOf returns the attempt under which a task is assigned to the machine. It returns false
// if the task is not assigned to it.
func (m *MachineRecord) AttemptOf(task protocol.Task) (protocol.Attempt, bool) {
	for i := range m.Assignments {
		assignment := &m.Assignments[i]
		if assignment.Job == task.Job && assignment.Tasks.Contains(task.Index) {
			return assignment.Attempt, true
		}
	}
	return 0, false
}

// AssignmentsOf returns an iterator over the assignments of a job to the machine.
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

// Assign assigns a task to the machine. It adds the task to the assignment of the same job and
// attempt, or to a new assignment if there is none.
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

// Unassign removes a task from the machine's assignments, whatever its attempt.
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

// ControllerRecord names the live incarnation of a controller. Its key is bound to the lease of
// the incarnation. When the lease ends, the store deletes the key, and all other controllers
// regard the incarnation as dead.
type ControllerRecord struct {
	Incarnation Incarnation `json:"r"`

	// WriteBarrier is changed so that transactions of unknown outcome can no longer be
	// applied, because they are conditional on this key.
	WriteBarrier int `json:"f,omitempty"`

	// ReadableFormat is the newest format that the controller's version can read. Versions
	// before FormatPacked do not have the field.
	ReadableFormat Format `json:"v,omitempty"`

	// SupportsTransfers reports whether the controller's version acts on transfer records.
	SupportsTransfers bool `json:"m,omitempty"`
}

// QuotaRecord is the value of a QuotaKey. Its content differs with each write, so that the
// placements of a team that has a limit are serialized.
type QuotaRecord struct {
	UpdatedBy     Incarnation `json:"b"`
	TransactionID uint64      `json:"n"`
}

// MustMarshal encodes a record as JSON. It panics if JSON cannot represent the type, which is
// not the case for any record.
func MustMarshal(record any) json.RawMessage {
	data, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("storage: encode record: %v", err))
	}
	return data
}
