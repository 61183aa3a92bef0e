package storage

import (
	"encoding/json"
	"fmt"
	"iter"
	"strings"

	"tillerarch/internal/protocol"
)

// RegistryRecord tells who did so last.
type RegistryRecord struct {
	UpdatedBy Incarnation `json:"b"`
}

// Incarnation names one run of one controller: "stall-0#7". It is the owner of
// machines and the claimant of jobs, and never comes again.
type Incarnation string

// NewIncarnation names the run of a member that holds the lease.
func NewIncarnation(controller protocol.ControllerID, lease protocol.LeaseID) Incarnation {
	return Incarnation(fmt.Sprintf("%s#%d", controller, lease))
}

// Controller is the controller whose run it is.
func (i Incarnation) Controller() protocol.ControllerID {
	controller, _, _ := strings.Cut(string(i), "#")
	return protocol.ControllerID(controller)
}

// JobRecord is what is kept of a job. A final one keeps only the stage.
type JobRecord struct {
	Spec                *protocol.Job     `json:"d,omitempty"`
	State               protocol.JobState `json:"s,omitempty"` // empty: neither done nor withdrawn
	Owner               Incarnation       `json:"c,omitempty"`
	NextAttempt         protocol.Attempt  `json:"n,omitempty"` // no attempt below it is given out anew
	CompletedTasks      TaskSet           `json:"v,omitzero"`
	GracefulStopAttempt protocol.Attempt  `json:"h,omitempty"` // this attempt of a gang stops in order
	// Machines on which room is made for a gang: their owners stop what ranks lower.
	ReservedMachines []protocol.MachineID `json:"m,omitempty"`
	SubmittedAt      protocol.Millis      `json:"t,omitempty"` // when it was submitted
	// Its user has called it off, and not everybody who may keep a task of it knows:
	// nothing of it may begin, and it is not called withdrawn yet. Never taken back.
	CancelRequested bool            `json:"w,omitempty"`
	CancelUpdatedAt protocol.Millis `json:"o,omitempty"` // when that was written, or that it is withdrawn
	TaskCount       int             `json:"k,omitempty"` // of a done job: its tasks
}

// IsCancelledOrPending tells whether the job is withdrawn, or about to be.
func (r *JobRecord) IsCancelledOrPending() bool {
	return r.CancelRequested || r.State == protocol.JobCancelled
}

// Assignment are tasks of one job with one attempt on a machine.
type Assignment struct {
	Job     protocol.JobID
	Attempt protocol.Attempt
	Tasks   TaskSet
}

// MachineRecord is what is kept of a machine. It stands on a page with others;
// owner and token are the page's.
type MachineRecord struct {
	Shard        ShardID
	Owner        Incarnation
	ShardEpoch   ShardEpoch            // of the page
	TokenCounter uint64                // counts what its worker was to report at once for
	FencingToken protocol.FencingToken // both together
	AgentEpoch   protocol.AgentEpoch   // 0: has not reported yet
	Assignments  []Assignment
	Address      string
	MachineType  protocol.MachineTypeName
	Zone         protocol.Zone
	Spot         bool
	Terminating  bool            // may be gone at any moment; takes no task
	Cordoned     bool            // takes no new task
	AddedAt      protocol.Millis // when it was rented or first seen
}

// Clone copies the record so far that its assignments can be changed.
func (m *MachineRecord) Clone() *MachineRecord {
	clone := *m
	clone.Assignments = append([]Assignment(nil), m.Assignments...)
	return &clone
}

// AttemptOf gives the attempt with which a task is assigned, if it is.
func (m *MachineRecord) AttemptOf(task protocol.Task) (protocol.Attempt, bool) {
	for i := range m.Assignments {
		if assignment := &m.Assignments[i]; assignment.Job == task.Job && assignment.Tasks.Has(task.Index) {
			return assignment.Attempt, true
		}
	}
	return 0, false
}

// AssignmentsOf gives the assignments of one job.
func (m *MachineRecord) AssignmentsOf(job protocol.JobID) iter.Seq[*Assignment] {
	return func(yield func(*Assignment) bool) {
		for i := range m.Assignments {
			if assignment := &m.Assignments[i]; assignment.Job == job && !yield(assignment) {
				return
			}
		}
	}
}

// Assign adds a task.
func (m *MachineRecord) Assign(task protocol.Task, attempt protocol.Attempt) {
	for i := range m.Assignments {
		if assignment := &m.Assignments[i]; assignment.Job == task.Job && assignment.Attempt == attempt {
			assignment.Tasks = assignment.Tasks.Add(task.Index)
			return
		}
	}
	m.Assignments = append(m.Assignments, Assignment{task.Job, attempt, TaskRange(task.Index, task.Index)})
}

// Unassign removes a task.
func (m *MachineRecord) Unassign(task protocol.Task) {
	for i := range m.Assignments {
		assignment := &m.Assignments[i]
		if assignment.Job != task.Job || !assignment.Tasks.Has(task.Index) {
			continue
		}
		if assignment.Tasks = assignment.Tasks.Remove(task.Index); assignment.Tasks.IsZero() {
			m.Assignments = append(m.Assignments[:i], m.Assignments[i+1:]...)
		}
		return
	}
}

// ControllerRecord says which run of a controller lives. Its key hangs on the
// run's lease: when the lease ends, the run is dead for all others.
type ControllerRecord struct {
	Incarnation  Incarnation `json:"r"`
	WriteBarrier int         `json:"f,omitempty"` // changed to cut off transactions of unknown outcome
	// The newest format that its version can read. Versions before FormatPacked don't
	// have the field.
	ReadableFormat Format `json:"v,omitempty"`
	// Its version takes part in moves that are on record.
	SupportsTransfers bool `json:"m,omitempty"`
}

// QuotaRecord orders the placements of a team that has a limit.
type QuotaRecord struct {
	UpdatedBy     Incarnation `json:"b"`
	TransactionID uint64      `json:"n"`
}

// MustMarshal gives a record's written form. Records can always be written.
func MustMarshal(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("storage: %v", err))
	}
	return b
}
