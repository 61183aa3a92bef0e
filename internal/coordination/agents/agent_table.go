package agents

import (
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// RemovalRecorder records that the record of a machine was deleted.
type RemovalRecorder interface {
	RecordRemoval(id protocol.MachineID)
}

// AssignmentKey identifies the tasks of one attempt of a job that are assigned to a machine.
type AssignmentKey struct {
	Machine protocol.MachineID
	Job     protocol.JobID
	Attempt protocol.Attempt
}

// Table holds the in-memory state of machines and their agents that is not part of the records:
// heartbeats, reachability, deferred responses and cached images.
type Table struct {
	*step.Context

	catalog  *catalog.Catalog
	removals RemovalRecorder

	machineStates      map[protocol.MachineID]*MachineState
	deferredHeartbeats map[protocol.MachineID]bool // machines whose heartbeat waits for its response
	awaitingOwner      map[protocol.MachineID]bool // machines in deferredHeartbeats that wait for an owner
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

// Lookup returns the state of a machine, or nil if the table has none.
func (at *Table) Lookup(id protocol.MachineID) *MachineState { return at.machineStates[id] }

// MachineState returns the state of a machine and creates it if the table has none.
func (at *Table) MachineState(id protocol.MachineID) *MachineState {
	state := at.machineStates[id]
	if state == nil {
		state = newMachineState(id, at.Now.Monotonic)
		at.machineStates[id] = state
	}
	return state
}

// TrackOwnedMachine returns the state of a machine that this controller owns. It resets the state
// if the recorded ownership differs from the tracked one.
func (at *Table) TrackOwnedMachine(entry *storage.Machine, id protocol.MachineID) *MachineState {
	state := at.MachineState(id)
	if !state.matchesRecord(&entry.Record) {
		revision := protocol.Revision(at.Replica.Shards[entry.Record.Shard].ModRevision)
		state.beginOwnership(&entry.Record, revision, at.Now.Monotonic)
	}
	return state
}

// AssignedSince returns when this process first saw the tasks of one attempt assigned to a machine,
// and reports whether it saw them at all.
func (at *Table) AssignedSince(key AssignmentKey) (since protocol.Instant, isKnown bool) {
	since, isKnown = at.assignedAt[key]
	return since, isKnown
}

// RecordAssignments processes a change of a machine's record. It records when tasks were assigned to
// the machine, and that the machine has the images of their jobs. A nil before means that the record
// is new, a nil after that it was deleted.
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

// hasAttempt reports whether a record has an assignment of the same job and attempt.
func hasAttempt(record *storage.MachineRecord, assignment *storage.Assignment) bool {
	for i := range record.Assignments {
		if other := &record.Assignments[i]; other.Job == assignment.Job && other.Attempt == assignment.Attempt {
			return true
		}
	}
	return false
}

// ForgetAssignments deletes the times at which tasks were assigned to machines.
func (at *Table) ForgetAssignments() { clear(at.assignedAt) }

// PruneMachineStates deletes the states of machines without a record, except of those whose
// heartbeat waits for its response.
func (at *Table) PruneMachineStates() {
	for id, state := range at.machineStates {
		if at.Replica.Machines[id] == nil && !state.isDeferred() {
			delete(at.machineStates, id)
		}
	}
}

// ForgetUnrecordedMachines deletes the states of machines that an earlier replica has and the
// current one lacks.
func (at *Table) ForgetUnrecordedMachines(earlier *storage.Replica) {
	for _, entry := range earlier.SortedMachines() {
		if at.Replica.Machines[entry.ID] == nil {
			at.forgetMachine(entry.ID)
		}
	}
}

// OnMachinesRemoved deletes the states of machines whose records were deleted, and passes those
// machines on to the RemovalRecorder.
func (at *Table) OnMachinesRemoved() {
	for _, id := range at.Replica.PopRemovedMachines() {
		at.removals.RecordRemoval(id)
		at.forgetMachine(id)
	}
}

// forgetMachine deletes the state of a machine. If its heartbeat waits for a response, the agent is
// redirected to any controller.
func (at *Table) forgetMachine(id protocol.MachineID) {
	if state := at.machineStates[id]; state != nil {
		at.dropDeferredRequest(state)
		delete(at.machineStates, id)
	}
}
