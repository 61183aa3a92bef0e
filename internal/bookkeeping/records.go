package bookkeeping

import (
	"encoding/json"
	"fmt"
	"strings"

	"tillerarch/internal/protocol"
)

// Prefix of all keys. One prefix, so that one /follow sees every change and
// the mirror's revision can reach the service's.
const (
	Prefix        = "t/"
	jobPrefix     = Prefix + "j/"
	machinePrefix = Prefix + "m/"
	memberPrefix  = Prefix + "n/"
	teamPrefix    = Prefix + "q/"
)

// Keys of the records.
func JobKey(id protocol.JobID) string         { return jobPrefix + string(id) }
func MachineKey(id protocol.MachineID) string { return machinePrefix + string(id) }
func MemberKey(m protocol.Member) string      { return memberPrefix + string(m) }
func TeamKey(team string) string              { return teamPrefix + team }

// RevProbe is a key that never exists: reading it tells the revision.
const RevProbe = Prefix + "rev"

// Run names one run of one controller: "stall-0#7". It is the owner of
// machines and the claimant of jobs, and never comes again.
type Run string

// NewRun names the run of a member that holds the lease.
func NewRun(m protocol.Member, hold protocol.HoldID) Run { return Run(fmt.Sprintf("%s#%d", m, hold)) }

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
	Room  []protocol.MachineID `json:"m,omitempty"`
	Sent  protocol.Millis      `json:"t,omitempty"` // when it was submitted
	Count int                  `json:"k,omitempty"` // of a done job: its tasks
}

// Assigned are tasks of one job with one attempt on a machine.
type Assigned struct {
	Job    protocol.JobID   `json:"j"`
	Try    protocol.Attempt `json:"t"`
	Pieces Ranges           `json:"p"`
}

// MachineRecord is what is kept of a machine.
type MachineRecord struct {
	Owner     Run             `json:"o"`
	Baton     protocol.Baton  `json:"b"`
	Shift     protocol.Shift  `json:"h,omitempty"` // 0: has not reported yet
	Assigned  []Assigned      `json:"a,omitempty"`
	Addr      string          `json:"d,omitempty"`
	Build     protocol.Sku    `json:"f"`
	Yard      protocol.Zone   `json:"y"`
	Loaner    bool            `json:"l,omitempty"`
	Releasing bool            `json:"r,omitempty"` // may be gone at any moment; takes no task
	Drain     bool            `json:"x,omitempty"` // takes no new task
	Since     protocol.Millis `json:"u,omitempty"` // when it was rented or first seen
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
		if a := &m.Assigned[i]; a.Job == t.Job && a.Pieces.Has(t.Piece) {
			return a.Try, true
		}
	}
	return 0, false
}

// Assign adds a task.
func (m *MachineRecord) Assign(t protocol.Task, try protocol.Attempt) {
	for i := range m.Assigned {
		if a := &m.Assigned[i]; a.Job == t.Job && a.Try == try {
			a.Pieces = a.Pieces.Add(t.Piece)
			return
		}
	}
	m.Assigned = append(m.Assigned, Assigned{t.Job, try, Range(t.Piece, t.Piece)})
}

// Unassign removes a task.
func (m *MachineRecord) Unassign(t protocol.Task) {
	for i := range m.Assigned {
		a := &m.Assigned[i]
		if a.Job != t.Job || !a.Pieces.Has(t.Piece) {
			continue
		}
		if a.Pieces = a.Pieces.Remove(t.Piece); a.Pieces.IsZero() {
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
}

// TeamRecord orders the placements of a team that has a limit.
type TeamRecord struct {
	By Run    `json:"b"`
	N  uint64 `json:"n"`
}

// Entry is a record with its stamp.
type Entry[T any] struct {
	Rec   T
	Stamp protocol.Stamp
}

// Mirror is a copy of all records, complete up to Rev; own writes may be newer.
type Mirror struct {
	Rev      protocol.Rev
	Jobs     map[protocol.JobID]*Entry[JobRecord]
	Machines map[protocol.MachineID]*Entry[MachineRecord]
	Members  map[protocol.Member]*Entry[MemberRecord]
	Teams    map[string]protocol.Stamp
	gone     map[string]protocol.Stamp // deleted keys, for changes that come late
}

// NewMirror makes an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{
		Jobs:     map[protocol.JobID]*Entry[JobRecord]{},
		Machines: map[protocol.MachineID]*Entry[MachineRecord]{},
		Members:  map[protocol.Member]*Entry[MemberRecord]{},
		Teams:    map[string]protocol.Stamp{},
		gone:     map[string]protocol.Stamp{},
	}
}

// Stamp is the stamp of a key as far as the mirror knows: 0 for none.
func (m *Mirror) Stamp(key string) protocol.Stamp {
	switch {
	case strings.HasPrefix(key, jobPrefix):
		return stampOf(m.Jobs, protocol.JobID(key[len(jobPrefix):]))
	case strings.HasPrefix(key, machinePrefix):
		return stampOf(m.Machines, protocol.MachineID(key[len(machinePrefix):]))
	case strings.HasPrefix(key, memberPrefix):
		return stampOf(m.Members, protocol.Member(key[len(memberPrefix):]))
	case strings.HasPrefix(key, teamPrefix):
		return m.Teams[key[len(teamPrefix):]]
	}
	return 0
}

func stampOf[K comparable, T any](m map[K]*Entry[T], k K) protocol.Stamp {
	if e := m[k]; e != nil {
		return e.Stamp
	}
	return 0
}

func put[K comparable, T any](m map[K]*Entry[T], k K, data json.RawMessage, stamp protocol.Stamp) error {
	e := &Entry[T]{Stamp: stamp}
	if err := json.Unmarshal(data, &e.Rec); err != nil {
		return err
	}
	m[k] = e
	return nil
}

// Put takes in a key's value unless the mirror has a newer one. fresh tells
// whether it did.
func (m *Mirror) Put(key string, data json.RawMessage, stamp protocol.Stamp) (fresh bool, err error) {
	if stamp <= m.Stamp(key) || stamp <= m.gone[key] {
		return false, nil
	}
	delete(m.gone, key)
	switch {
	case strings.HasPrefix(key, jobPrefix):
		err = put(m.Jobs, protocol.JobID(key[len(jobPrefix):]), data, stamp)
	case strings.HasPrefix(key, machinePrefix):
		err = put(m.Machines, protocol.MachineID(key[len(machinePrefix):]), data, stamp)
	case strings.HasPrefix(key, memberPrefix):
		err = put(m.Members, protocol.Member(key[len(memberPrefix):]), data, stamp)
	case strings.HasPrefix(key, teamPrefix):
		m.Teams[key[len(teamPrefix):]] = stamp
	}
	if err != nil {
		return false, fmt.Errorf("record %s: %w", key, err)
	}
	return true, nil
}

// Delete takes in a key's removal.
func (m *Mirror) Delete(key string, stamp protocol.Stamp) bool {
	if stamp <= m.Stamp(key) {
		return false
	}
	had := m.Stamp(key) != 0
	if strings.HasPrefix(key, machinePrefix) {
		if len(m.gone) > 5000 {
			m.gone = map[string]protocol.Stamp{}
		}
		m.gone[key] = stamp
		delete(m.Machines, protocol.MachineID(key[len(machinePrefix):]))
	} else if strings.HasPrefix(key, memberPrefix) {
		delete(m.Members, protocol.Member(key[len(memberPrefix):]))
	} else if strings.HasPrefix(key, jobPrefix) {
		delete(m.Jobs, protocol.JobID(key[len(jobPrefix):]))
	}
	return had
}

// Alive tells whether a run is the living one of its member.
func (m *Mirror) Alive(r Run) bool {
	e := m.Members[r.Member()]
	return r != "" && e != nil && e.Rec.Run == r
}

// JSON gives a record's written form. Records can always be written.
func JSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("bookkeeping: %v", err))
	}
	return b
}
