package storage

import (
	"maps"
	"slices"
	"strings"

	"tillerarch/internal/protocol"
)

// Machine is a machine's record as the replica has it.
type Machine struct {
	ID          protocol.MachineID
	Record      MachineRecord
	encodedLine string // a machine whose line stays the same is not parsed again
}

// setIndex maps a key to a set of values. It keeps no empty sets.
type setIndex[K, V comparable] map[K]map[V]bool

func (x setIndex[K, V]) add(key K, value V) {
	if x[key] == nil {
		x[key] = map[V]bool{}
	}
	x[key][value] = true
}

func (x setIndex[K, V]) remove(key K, value V) {
	if delete(x[key], value); len(x[key]) == 0 {
		delete(x, key)
	}
}

// machineIndex is what Replica derives from the records of machines.
type machineIndex struct {
	byJob   setIndex[protocol.JobID, protocol.MachineID] // where a job has assignments
	sorted  []*Machine                                   // all machines by ID; nil: to be computed
	removed []protocol.MachineID                         // since PopRemovedMachines was last called
}

func newMachineIndex() machineIndex {
	return machineIndex{byJob: setIndex[protocol.JobID, protocol.MachineID]{}}
}

// update replaces what a machine's record contributed; before or after may be nil.
func (x *machineIndex) update(id protocol.MachineID, before, after *MachineRecord) {
	if before != nil {
		for i := range before.Assignments {
			x.byJob.remove(before.Assignments[i].Job, id)
		}
	}
	if after != nil {
		for i := range after.Assignments {
			x.byJob.add(after.Assignments[i].Job, id)
		}
	}
}

// setMachine changes a machine's record and its indexes; a nil record removes it.
func (r *Replica) setMachine(id protocol.MachineID, record *MachineRecord, line string) {
	machine := r.Machines[id]
	var before *MachineRecord
	if machine != nil {
		before = &machine.Record
	}
	if machine == nil || record == nil || machine.encodedLine != line {
		r.machineIndex.update(id, before, record)
		if r.OnMachineChange != nil {
			r.OnMachineChange(id, before, record)
		}
	}
	switch {
	case record == nil:
		delete(r.Machines, id)
		r.machineIndex.sorted = nil
	case machine == nil:
		r.Machines[id] = &Machine{id, *record, line}
		r.machineIndex.sorted = nil
	default:
		machine.Record, machine.encodedLine = *record, line
	}
}

// PopRemovedMachines lists, once, the machines that are no longer on record. It is to be called
// when all changes of a transaction are applied: a machine that only passes from one shard to
// another is removed and added again by them.
func (r *Replica) PopRemovedMachines() []protocol.MachineID {
	removed := slices.DeleteFunc(r.machineIndex.removed, func(id protocol.MachineID) bool {
		return r.Machines[id] != nil
	})
	r.machineIndex.removed = nil
	return removed
}

// SortedMachines lists all machines by ID. Callers must not change the list.
func (r *Replica) SortedMachines() []*Machine {
	if r.machineIndex.sorted == nil {
		r.machineIndex.sorted = slices.SortedFunc(maps.Values(r.Machines), func(a, b *Machine) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	return r.machineIndex.sorted
}

// EncodedLine is a machine's encoded line as it is on record; empty if there is none.
func (r *Replica) EncodedLine(id protocol.MachineID) string {
	if machine := r.Machines[id]; machine != nil {
		return machine.encodedLine
	}
	return ""
}

// MachinesWithJob is the set of machines on which a job has assignments. Callers must not
// change it.
func (r *Replica) MachinesWithJob(job protocol.JobID) map[protocol.MachineID]bool {
	return r.machineIndex.byJob[job]
}
