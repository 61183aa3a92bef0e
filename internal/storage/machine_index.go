package storage

import (
	"maps"
	"slices"
	"strings"

	"tillerarch/internal/protocol"
)

// Machine is a machine with its record in the replica.
type Machine struct {
	ID          protocol.MachineID
	Record      MachineRecord
	encodedLine string // line from which Record was parsed; an unchanged line is not parsed again
}

// setIndex maps keys to non-empty sets of values.
type setIndex[K, V comparable] map[K]map[V]bool

// add adds a value to the set of a key.
func (x setIndex[K, V]) add(key K, value V) {
	if x[key] == nil {
		x[key] = map[V]bool{}
	}
	x[key][value] = true
}

// remove removes a value from the set of a key, and the key with its last value.
func (x setIndex[K, V]) remove(key K, value V) {
	if delete(x[key], value); len(x[key]) == 0 {
		delete(x, key)
	}
}

// machineIndex holds what the replica derives from the records of machines.
type machineIndex struct {
	byJob           setIndex[protocol.JobID, protocol.MachineID] // machines on which a job has assignments
	sortedMachines  []*Machine                                   // all machines by ID, or nil if not computed
	removedMachines []protocol.MachineID                         // removals since the last call of PopRemovedMachines
}

func newMachineIndex() machineIndex {
	return machineIndex{byJob: setIndex[protocol.JobID, protocol.MachineID]{}}
}

// replaceMachine replaces the index entries of a machine's previous record by those of its new
// record. Nil represents a missing record.
func (x *machineIndex) replaceMachine(id protocol.MachineID, before, after *MachineRecord) {
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

// setMachine sets a machine's record and updates the indexes. A nil record removes the machine.
func (r *Replica) setMachine(id protocol.MachineID, record *MachineRecord, line string) {
	machine := r.Machines[id]
	var before *MachineRecord
	if machine != nil {
		before = &machine.Record
	}
	if machine == nil || record == nil || machine.encodedLine != line {
		r.machineIndex.replaceMachine(id, before, record)
		if r.OnMachineChange != nil {
			r.OnMachineChange(id, before, record)
		}
	}
	switch {
	case record == nil:
		delete(r.Machines, id)
		r.machineIndex.sortedMachines = nil
	case machine == nil:
		r.Machines[id] = &Machine{id, *record, line}
		r.machineIndex.sortedMachines = nil
	default:
		machine.Record, machine.encodedLine = *record, line
	}
}

// PopRemovedMachines returns the machines that have been removed since the previous call and are
// still absent. It must be called only after all changes of a transaction have been applied,
// because a machine that passes from one shard to another is removed and added again.
func (r *Replica) PopRemovedMachines() []protocol.MachineID {
	removed := slices.DeleteFunc(r.machineIndex.removedMachines, func(id protocol.MachineID) bool {
		return r.Machines[id] != nil
	})
	r.machineIndex.removedMachines = nil
	return removed
}

// SortedMachines returns all machines in the order of their IDs. Callers must not change the
// slice.
func (r *Replica) SortedMachines() []*Machine {
	if r.machineIndex.sortedMachines == nil {
		r.machineIndex.sortedMachines = slices.SortedFunc(maps.Values(r.Machines), func(a, b *Machine) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	return r.machineIndex.sortedMachines
}

// EncodedLine returns a machine's line as it is encoded in the store, or the empty string if
// the replica does not have the machine.
func (r *Replica) EncodedLine(id protocol.MachineID) string {
	if machine := r.Machines[id]; machine != nil {
		return machine.encodedLine
	}
	return ""
}

// MachinesWithJob returns the set of machines on which a job has assignments. Callers must not
// change the set.
func (r *Replica) MachinesWithJob(job protocol.JobID) map[protocol.MachineID]bool {
	return r.machineIndex.byJob[job]
}
