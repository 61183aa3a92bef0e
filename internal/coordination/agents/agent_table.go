package agents

import (
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// RemovalRecorder remembers machines that have left the records.
type RemovalRecorder interface {
	RecordRemoval(id protocol.MachineID)
}

// AssignmentKey names the tasks of a job that one attempt has on a machine.
type AssignmentKey struct {
	Machine protocol.MachineID
	Job     protocol.JobID
	Attempt protocol.Attempt
}

// Table holds what this process remembers of machines and their agents beyond the records:
// heartbeats, reachability, deferred responses, cached images.
type Table struct {
	*step.Context

	catalog  *catalog.Catalog
	removals RemovalRecorder

	machineStates      map[protocol.MachineID]*MachineState
	deferredHeartbeats map[protocol.MachineID]bool // those whose heartbeats wait for their responses
	awaitingOwner      map[protocol.MachineID]bool // those of them that wait for an owner
	assignedAt         map[AssignmentKey]protocol.Instant
}

func newTable(ctx *step.Context) *Table {
	return &Table{
		Context:            ctx,
		machineStates:      map[protocol.MachineID]*MachineState{},
		deferredHeartbeats: map[protocol.MachineID]bool{},
		awaitingOwner:      map[protocol.MachineID]bool{},
		assignedAt:         map[AssignmentKey]protocol.Instant{},
	}
}

// Lookup gives what is remembered of a machine, nil for nothing.
func (at *Table) Lookup(id protocol.MachineID) *MachineState { return at.machineStates[id] }

// MachineState gives what is remembered of a machine, and begins to remember it if need be.
func (at *Table) MachineState(id protocol.MachineID) *MachineState {
	state := at.machineStates[id]
	if state == nil {
		state = newMachineState(id, at.Now.Monotonic)
		at.machineStates[id] = state
	}
	return state
}

// TrackOwnedMachine gives the state of a machine that this controller owns. It begins anew if
// the ownership on record is another one than before.
func (at *Table) TrackOwnedMachine(entry *storage.Machine, id protocol.MachineID) *MachineState {
	state := at.MachineState(id)
	if !state.matchesRecord(&entry.Record) {
		revision := protocol.Revision(at.Replica.Shards[entry.Record.Shard].ModRevision)
		state.beginOwnership(&entry.Record, revision, at.Now.Monotonic)
	}
	return state
}

// AssignedSince tells since when tasks of one attempt have been assigned to a machine, as far
// as this process has seen.
func (at *Table) AssignedSince(key AssignmentKey) (since protocol.Instant, isKnown bool) {
	since, isKnown = at.assignedAt[key]
	return since, isKnown
}

// RecordAssignments takes in a change of a machine's record: since when tasks have been assigned
// to the machine, and which images it has.
func (at *Table) RecordAssignments(id protocol.MachineID, before, after *storage.MachineRecord) {
	if before != nil {
		for i := range before.Assignments {
			assignment := &before.Assignments[i]
			if after == nil || !hasAttempt(after, assignment) {
				delete(at.assignedAt, AssignmentKey{Machine: id, Job: assignment.Job, Attempt: assignment.Attempt})
			}
		}
	}
	if after == nil {
		return
	}
	for i := range after.Assignments {
		assignment := &after.Assignments[i]
		key := AssignmentKey{Machine: id, Job: assignment.Job, Attempt: assignment.Attempt}
		if _, ok := at.assignedAt[key]; ok {
			continue
		}
		at.assignedAt[key] = at.Now.Monotonic
		job, machineType := at.Replica.Jobs[assignment.Job], at.catalog.MachineType(after.MachineType)
		if job != nil && job.Record.Spec != nil && machineType != nil {
			spec := job.Record.Spec
			at.MachineState(id).recordUse(spec.Image, spec.ImageGB, machineType.LocalDiskGB)
		}
	}
}

func hasAttempt(record *storage.MachineRecord, assignment *storage.Assignment) bool {
	for i := range record.Assignments {
		if other := &record.Assignments[i]; other.Job == assignment.Job && other.Attempt == assignment.Attempt {
			return true
		}
	}
	return false
}

// ForgetAssignments drops since when tasks have been on machines.
func (at *Table) ForgetAssignments() { clear(at.assignedAt) }

// PruneMachineStates drops what is remembered of machines that are on no record.
func (at *Table) PruneMachineStates() {
	for id, state := range at.machineStates {
		if at.Replica.Machines[id] == nil && !state.isDeferred() {
			delete(at.machineStates, id)
		}
	}
}

// ForgetUnrecordedMachines forgets the machines of an earlier replica that this one does not have.
func (at *Table) ForgetUnrecordedMachines(earlier *storage.Replica) {
	for _, entry := range earlier.SortedMachines() {
		if at.Replica.Machines[entry.ID] == nil {
			at.forgetMachine(entry.ID)
		}
	}
}

// OnMachinesRemoved forgets machines that have left the records.
func (at *Table) OnMachinesRemoved() {
	for _, id := range at.Replica.PopRemovedMachines() {
		at.removals.RecordRemoval(id)
		at.forgetMachine(id)
	}
}

// forgetMachine drops what is remembered of a machine. A heartbeat that waits is redirected.
func (at *Table) forgetMachine(id protocol.MachineID) {
	if state := at.machineStates[id]; state != nil {
		at.dropDeferredRequest(state)
		delete(at.machineStates, id)
	}
}
