package bookkeeping

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"tillerarch/internal/protocol"
)

// Entry is a record with its stamp.
type Entry[T any] struct {
	Rec   T
	Stamp protocol.Stamp
	Size  int // of its written form
}

// Machine is a machine's record as the replica has it.
type Machine struct {
	ID   protocol.MachineID
	Rec  MachineRecord
	line string // its written form: a machine whose line stays is not read again
}

// Page is a page of machines as the replica has it.
type Page struct {
	Owner    Run
	Epoch    Epoch
	Stamp    protocol.Stamp
	Since    protocol.Stamp // of the change that made Owner its owner, or a later one
	Size     int
	Format   Format               // in which it is written
	packed   int                  // what it takes in the packed format, once that was asked for
	Machines []protocol.MachineID // as written
	Done     map[protocol.JobID]Ranges
}

// Replica is a copy of all records, complete up to Rev; own writes may be newer.
// What is asked often is kept as an index: nothing here walks the whole fleet
// for one job or one machine.
type Replica struct {
	Rev         protocol.Rev
	Jobs        map[protocol.JobID]*Entry[JobRecord]
	Pages       map[PageID]*Page
	Machines    map[protocol.MachineID]*Machine
	Members     map[protocol.Member]*Entry[MemberRecord]
	Teams       map[string]protocol.Stamp
	Moves       map[MoveSlot]*Entry[MoveRecord]
	Drains      map[protocol.Member]*Entry[DrainRecord]
	Roll        protocol.Stamp                       // of RollKey
	Format      Entry[FormatRecord]                  // of FormatKey
	Open        map[protocol.JobID]*Entry[JobRecord] // the jobs that are neither done nor withdrawn
	Withdrawing map[protocol.JobID]*Entry[JobRecord] // those of them that are called off

	// Changed is called for each machine whose record has changed; before or
	// after may be nil. May be nil itself.
	Changed func(id protocol.MachineID, before, after *MachineRecord)

	doneOn map[protocol.JobID]map[PageID]bool // pages that have done tasks of a job
	done   map[protocol.JobID]Ranges          // what Done has found, until it changes

	on   map[protocol.JobID]map[protocol.MachineID]bool // where a job has assignments
	list []*Machine                                     // all machines in order; nil: to be made anew
	lost []protocol.MachineID
	gone map[string]protocol.Stamp // deleted keys, for changes that come late
}

// NewReplica makes an empty replica.
func NewReplica() *Replica {
	return &Replica{
		Jobs:        map[protocol.JobID]*Entry[JobRecord]{},
		Open:        map[protocol.JobID]*Entry[JobRecord]{},
		Withdrawing: map[protocol.JobID]*Entry[JobRecord]{},
		Pages:       map[PageID]*Page{},
		Machines:    map[protocol.MachineID]*Machine{},
		Members:     map[protocol.Member]*Entry[MemberRecord]{},
		Teams:       map[string]protocol.Stamp{},
		Moves:       map[MoveSlot]*Entry[MoveRecord]{},
		Drains:      map[protocol.Member]*Entry[DrainRecord]{},
		on:          map[protocol.JobID]map[protocol.MachineID]bool{},
		gone:        map[string]protocol.Stamp{},
		doneOn:      map[protocol.JobID]map[PageID]bool{},
		done:        map[protocol.JobID]Ranges{},
	}
}

// Stamp is the stamp of a key as far as the replica knows: 0 for none.
func (m *Replica) Stamp(key string) protocol.Stamp {
	switch {
	case strings.HasPrefix(key, jobPrefix):
		return stampOf(m.Jobs, protocol.JobID(key[len(jobPrefix):]))
	case strings.HasPrefix(key, pagePrefix):
		if p := m.Pages[PageID(key[len(pagePrefix):])]; p != nil {
			return p.Stamp
		}
	case strings.HasPrefix(key, memberPrefix):
		return stampOf(m.Members, protocol.Member(key[len(memberPrefix):]))
	case strings.HasPrefix(key, teamPrefix):
		return m.Teams[key[len(teamPrefix):]]
	case strings.HasPrefix(key, movePrefix):
		return stampOf(m.Moves, MoveSlot(key[len(movePrefix):]))
	case strings.HasPrefix(key, drainPrefix):
		return stampOf(m.Drains, protocol.Member(key[len(drainPrefix):]))
	case key == RollKey:
		return m.Roll
	case key == FormatKey:
		return m.Format.Stamp
	}
	return 0
}

func stampOf[K comparable, T any](m map[K]*Entry[T], k K) protocol.Stamp {
	if e := m[k]; e != nil {
		return e.Stamp
	}
	return 0
}

// decodeJSON reads a record that is written in plain JSON in every format.
func decodeJSON[T any](data json.RawMessage) (rec T, err error) {
	err = json.Unmarshal(data, &rec)
	return rec, err
}

func put[K comparable, T any](m map[K]*Entry[T], k K, data json.RawMessage, stamp protocol.Stamp, decode func(json.RawMessage) (T, error)) error {
	rec, err := decode(data)
	if err != nil {
		return err
	}
	m[k] = &Entry[T]{Rec: rec, Stamp: stamp, Size: len(data)}
	return nil
}

// Put takes in a key's value unless the replica has a newer one. fresh tells
// whether it did.
func (m *Replica) Put(key string, data json.RawMessage, stamp protocol.Stamp) (fresh bool, err error) {
	if stamp <= m.Stamp(key) || stamp <= m.gone[key] {
		return false, nil
	}
	delete(m.gone, key)
	switch {
	case strings.HasPrefix(key, jobPrefix):
		id := protocol.JobID(key[len(jobPrefix):])
		delete(m.done, id)
		if err = put(m.Jobs, id, data, stamp, decodeJob); err == nil {
			e := m.Jobs[id]
			delete(m.Withdrawing, id)
			if e.Rec.Stage.Final() || e.Rec.Desc == nil {
				delete(m.Open, id)
			} else if m.Open[id] = e; e.Rec.Withdrawing {
				m.Withdrawing[id] = e
			}
		}
	case strings.HasPrefix(key, pagePrefix):
		err = m.putPage(PageID(key[len(pagePrefix):]), data, stamp)
	case strings.HasPrefix(key, memberPrefix):
		err = put(m.Members, protocol.Member(key[len(memberPrefix):]), data, stamp, decodeJSON)
	case strings.HasPrefix(key, teamPrefix):
		m.Teams[key[len(teamPrefix):]] = stamp
	case strings.HasPrefix(key, movePrefix):
		err = put(m.Moves, MoveSlot(key[len(movePrefix):]), data, stamp, decodeMove)
	case strings.HasPrefix(key, drainPrefix):
		err = put(m.Drains, protocol.Member(key[len(drainPrefix):]), data, stamp, decodeJSON)
	case key == RollKey:
		m.Roll = stamp
	case key == FormatKey:
		var rec FormatRecord
		if err = json.Unmarshal(data, &rec); err == nil {
			m.Format = Entry[FormatRecord]{Rec: rec, Stamp: stamp, Size: len(data)}
		}
	}
	if err != nil {
		return false, fmt.Errorf("record %s: %w", key, err)
	}
	return true, nil
}

func (m *Replica) putPage(id PageID, data json.RawMessage, stamp protocol.Stamp) error {
	f, format, err := decodePage(data)
	if err != nil {
		return err
	}
	p := &Page{Owner: f.Owner, Epoch: f.Epoch, Stamp: stamp, Size: len(data), Format: format}
	recs := make([]MachineRecord, len(f.Machines))
	for i, line := range f.Machines {
		mid, _, _ := strings.Cut(line, " ")
		if e := m.Machines[protocol.MachineID(mid)]; e != nil && e.line == line {
			recs[i] = e.Rec
		} else if _, r, err := parseLine(line); err != nil {
			return err // the page is not trusted as a whole
		} else {
			recs[i] = r
		}
		p.Machines = append(p.Machines, protocol.MachineID(mid))
	}
	old := m.Pages[id]
	if p.Since = stamp; old != nil && old.Owner == p.Owner && old.Epoch == p.Epoch {
		p.Since = old.Since
	}
	m.Pages[id] = p
	p.Done = f.Done
	m.setDone(id, old, p)
	for i, mid := range p.Machines {
		e := m.Machines[mid]
		if e != nil && e.Rec.Page != id && m.Pages[e.Rec.Page] != nil && m.Pages[e.Rec.Page].Stamp > stamp {
			continue // it has moved to another page since
		}
		r := recs[i]
		r.Page, r.Owner, r.Epoch, r.FencingToken = id, p.Owner, p.Epoch, p.Epoch.FencingToken(r.Bump)
		m.set(mid, &r, f.Machines[i])
	}
	if old != nil {
		m.strike(id, old, p)
	}
	return nil
}

// PackedSize is what a page takes in the packed format.
func (m *Replica) PackedSize(id PageID) int {
	p := m.Pages[id]
	if p.Format >= FormatPacked {
		return p.Size
	}
	if p.packed == 0 {
		lines := make([]string, len(p.Machines))
		for i, mid := range p.Machines {
			lines[i] = m.Line(mid)
		}
		p.packed = len(EncodePageAs(FormatPacked, p.Owner, p.Epoch, lines, p.Done))
	}
	return p.packed
}

// setDone keeps the index of what pages know to be done.
func (m *Replica) setDone(id PageID, old, now *Page) {
	if old != nil {
		for j := range old.Done {
			delete(m.done, j)
			if delete(m.doneOn[j], id); len(m.doneOn[j]) == 0 {
				delete(m.doneOn, j)
			}
		}
	}
	if now == nil {
		return
	}
	for j := range now.Done {
		delete(m.done, j)
		if m.doneOn[j] == nil {
			m.doneOn[j] = map[PageID]bool{}
		}
		m.doneOn[j][id] = true
	}
}

// Done gives the tasks of a job that are done: those in its own record, and
// those that are on pages only.
func (m *Replica) Done(id protocol.JobID) Ranges {
	if r, ok := m.done[id]; ok {
		return r
	}
	var r Ranges
	if e := m.Jobs[id]; e != nil {
		if d := e.Rec.Desc; d != nil && d.Daemon() {
			return r // no replica is ever done, whatever an earlier version has noted
		}
		r = e.Rec.Done
	}
	for p := range m.doneOn[id] {
		r = r.Union(m.Pages[p].Done[id])
	}
	m.done[id] = r
	return r
}

// strike takes out the machines that a page no longer has.
func (m *Replica) strike(id PageID, old, now *Page) {
	for _, mid := range old.Machines {
		if e := m.Machines[mid]; e != nil && e.Rec.Page == id && (now == nil || !slices.Contains(now.Machines, mid)) {
			m.set(mid, nil, "")
			m.lost = append(m.lost, mid)
		}
	}
}

// set changes a machine's record and the indexes that rest on it.
func (m *Replica) set(id protocol.MachineID, r *MachineRecord, line string) {
	e := m.Machines[id]
	same := e != nil && r != nil && e.line == line
	if !same {
		if e != nil {
			for i := range e.Rec.Assigned {
				j := e.Rec.Assigned[i].Job
				if delete(m.on[j], id); len(m.on[j]) == 0 {
					delete(m.on, j)
				}
			}
		}
		if r != nil {
			for i := range r.Assigned {
				j := r.Assigned[i].Job
				if m.on[j] == nil {
					m.on[j] = map[protocol.MachineID]bool{}
				}
				m.on[j][id] = true
			}
		}
		if m.Changed != nil {
			var before *MachineRecord
			if e != nil {
				before = &e.Rec
			}
			m.Changed(id, before, r)
		}
	}
	switch {
	case r == nil:
		delete(m.Machines, id)
		m.list = nil
	case e == nil:
		m.Machines[id] = &Machine{id, *r, line}
		m.list = nil
	default:
		e.Rec, e.line = *r, line
	}
}

// Delete takes in a key's removal.
func (m *Replica) Delete(key string, stamp protocol.Stamp) {
	if stamp <= m.Stamp(key) {
		return
	}
	if p, ok := strings.CutPrefix(key, pagePrefix); ok {
		if len(m.gone) > 5000 {
			m.gone = map[string]protocol.Stamp{}
		}
		m.gone[key] = stamp
		if old := m.Pages[PageID(p)]; old != nil {
			delete(m.Pages, PageID(p))
			m.setDone(PageID(p), old, nil)
			m.strike(PageID(p), old, nil)
		}
	} else if strings.HasPrefix(key, memberPrefix) {
		delete(m.Members, protocol.Member(key[len(memberPrefix):]))
	} else if strings.HasPrefix(key, movePrefix) {
		delete(m.Moves, MoveSlot(key[len(movePrefix):]))
	} else if strings.HasPrefix(key, drainPrefix) {
		delete(m.Drains, protocol.Member(key[len(drainPrefix):]))
	} else if strings.HasPrefix(key, jobPrefix) {
		delete(m.Jobs, protocol.JobID(key[len(jobPrefix):]))
		delete(m.Open, protocol.JobID(key[len(jobPrefix):]))
		delete(m.Withdrawing, protocol.JobID(key[len(jobPrefix):]))
	}
}

// Lost lists, once, the machines that have left the records. It is asked when
// all changes of a transaction are in: a machine that only moves from one page
// to another has not left.
func (m *Replica) Lost() []protocol.MachineID {
	out := slices.DeleteFunc(m.lost, func(id protocol.MachineID) bool { return m.Machines[id] != nil })
	m.lost = nil
	return out
}

// List gives all machines in the order of their names. It is not to be changed.
func (m *Replica) List() []*Machine {
	if m.list == nil {
		m.list = slices.SortedFunc(maps.Values(m.Machines), func(a, z *Machine) int { return strings.Compare(string(a.ID), string(z.ID)) })
	}
	return m.list
}

// Line is a machine's written form as it is on record.
func (m *Replica) Line(id protocol.MachineID) string {
	if e := m.Machines[id]; e != nil {
		return e.line
	}
	return ""
}

// On gives the machines on which a job has assignments.
func (m *Replica) On(j protocol.JobID) map[protocol.MachineID]bool { return m.on[j] }

// Alive tells whether a run is the living one of its member.
func (m *Replica) Alive(r Run) bool {
	e := m.Members[r.Member()]
	return r != "" && e != nil && e.Rec.Run == r
}
