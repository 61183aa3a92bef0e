package bookkeeping

import (
	"encoding/json"
	"fmt"
	"iter"
	"strings"

	"tillerarch/internal/protocol"
)

// Prefix of all keys. One prefix, so that one /follow sees every change and
// the replica's revision can reach the service's.
const (
	Prefix       = "t/"
	jobPrefix    = Prefix + "j/"
	pagePrefix   = Prefix + "p/"
	memberPrefix = Prefix + "n/"
	teamPrefix   = Prefix + "q/"
)

// JobKey is the key of a job's record.
func JobKey(id protocol.JobID) string { return jobPrefix + string(id) }

// PageKey is the key of a page of machines.
func PageKey(id PageID) string { return pagePrefix + string(id) }

// MemberKey is the key of a controller's living run.
func MemberKey(m protocol.Member) string { return memberPrefix + string(m) }

// TeamKey is the key that orders the placements of a team that has a limit.
func TeamKey(team string) string { return teamPrefix + team }

// RollKey is written by every transaction that puts a machine on record. It
// stands for the key of its own that a machine does not have: without it two
// controllers could put one machine on two pages.
const RollKey = Prefix + "roll"

// RollRecord tells who did so last.
type RollRecord struct {
	By Run `json:"b"`
}

// RevProbe is a key that never exists: reading it tells the revision.
const RevProbe = Prefix + "rev"

// Run names one run of one controller: "stall-0#7". It is the owner of
// machines and the claimant of jobs, and never comes again.
type Run string

// NewRun names the run of a member that holds the lease.
func NewRun(m protocol.Member, hold protocol.LeaseID) Run { return Run(fmt.Sprintf("%s#%d", m, hold)) }

// Member is the controller whose run it is.
func (r Run) Member() protocol.Member {
	m, _, _ := strings.Cut(string(r), "#")
	return protocol.Member(m)
}

// JobRecord is what is kept of a job. A final one keeps only the stage.
type JobRecord struct {
	Desc  *protocol.Job    `json:"d,omitempty"`
	Stage protocol.Stage   `json:"s,omitempty"` // empty: neither done nor withdrawn
	Claim Run              `json:"c,omitempty"`
	Next  protocol.Attempt `json:"n,omitempty"` // no attempt below it is given out anew
	Done  Ranges           `json:"v,omitzero"`
	Halt  protocol.Attempt `json:"h,omitempty"` // this attempt of a gang stops in order
	// Machines on which room is made for a gang: their owners stop what ranks lower.
	Room []protocol.MachineID `json:"m,omitempty"`
	Sent protocol.Millis      `json:"t,omitempty"` // when it was submitted
	// Its user has called it off, and not everybody who may keep a task of it knows:
	// nothing of it may begin, and it is not called withdrawn yet. Never taken back.
	Withdrawing bool            `json:"w,omitempty"`
	OffAt       protocol.Millis `json:"o,omitempty"` // when that was written, or that it is withdrawn
	Count       int             `json:"k,omitempty"` // of a done job: its tasks
}

// CalledOff tells whether the job is withdrawn, or about to be.
func (r *JobRecord) CalledOff() bool { return r.Withdrawing || r.Stage == protocol.Withdrawn }

// Assigned are tasks of one job with one attempt on a machine.
type Assigned struct {
	Job   protocol.JobID
	Try   protocol.Attempt
	Tasks Ranges
}

// MachineRecord is what is kept of a machine. It stands on a page with others;
// owner and token are the page's.
type MachineRecord struct {
	Page         PageID
	Owner        Run
	Epoch        Epoch                 // of the page
	Bump         uint64                // counts what its worker was to report at once for
	FencingToken protocol.FencingToken // both together
	Session      protocol.Session      // 0: has not reported yet
	Assigned     []Assigned
	Addr         string
	Type         protocol.Sku
	Zone         protocol.Zone
	Spot         bool
	Releasing    bool            // may be gone at any moment; takes no task
	Drain        bool            // takes no new task
	Since        protocol.Millis // when it was rented or first seen
}

// Clone copies the record so far that its assignments can be changed.
func (m *MachineRecord) Clone() *MachineRecord {
	c := *m
	c.Assigned = append([]Assigned(nil), m.Assigned...)
	return &c
}

// Attempt gives the attempt with which a task is assigned, if it is.
func (m *MachineRecord) Attempt(t protocol.Task) (protocol.Attempt, bool) {
	for i := range m.Assigned {
		if a := &m.Assigned[i]; a.Job == t.Job && a.Tasks.Has(t.Index) {
			return a.Try, true
		}
	}
	return 0, false
}

// Of gives the assignments of one job.
func (m *MachineRecord) Of(job protocol.JobID) iter.Seq[*Assigned] {
	return func(yield func(*Assigned) bool) {
		for i := range m.Assigned {
			if a := &m.Assigned[i]; a.Job == job && !yield(a) {
				return
			}
		}
	}
}

// Assign adds a task.
func (m *MachineRecord) Assign(t protocol.Task, try protocol.Attempt) {
	for i := range m.Assigned {
		if a := &m.Assigned[i]; a.Job == t.Job && a.Try == try {
			a.Tasks = a.Tasks.Add(t.Index)
			return
		}
	}
	m.Assigned = append(m.Assigned, Assigned{t.Job, try, Range(t.Index, t.Index)})
}

// Unassign removes a task.
func (m *MachineRecord) Unassign(t protocol.Task) {
	for i := range m.Assigned {
		a := &m.Assigned[i]
		if a.Job != t.Job || !a.Tasks.Has(t.Index) {
			continue
		}
		if a.Tasks = a.Tasks.Remove(t.Index); a.Tasks.IsZero() {
			m.Assigned = append(m.Assigned[:i], m.Assigned[i+1:]...)
		}
		return
	}
}

// MemberRecord says which run of a controller lives. Its key hangs on the
// run's lease: when the lease ends, the run is dead for all others.
type MemberRecord struct {
	Run   Run `json:"r"`
	Fence int `json:"f,omitempty"` // changed to cut off transactions of unknown outcome
	// The newest format that its version can read. Versions before FormatPacked don't
	// have the field.
	Reads Format `json:"v,omitempty"`
	// Its version takes part in moves that are on record.
	Moves bool `json:"m,omitempty"`
}

// TeamRecord orders the placements of a team that has a limit.
type TeamRecord struct {
	By Run    `json:"b"`
	N  uint64 `json:"n"`
}

// JSON gives a record's written form. Records can always be written.
func JSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("bookkeeping: %v", err))
	}
	return b
}
