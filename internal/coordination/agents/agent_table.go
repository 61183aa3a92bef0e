package agents

import (
	"log/slog"
	"net/http"
	"time"

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

	catalog    *catalog.Catalog
	terminator RemovalRecorder

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
	m := at.machineStates[id]
	if m == nil {
		m = newMachineState(id, at.Now.Monotonic)
		at.machineStates[id] = m
	}
	return m
}

// TrackOwnedMachine gives the state of a machine that this controller owns. It begins anew if
// the ownership on record is another one than before.
func (at *Table) TrackOwnedMachine(entry *storage.Machine, id protocol.MachineID) *MachineState {
	m := at.MachineState(id)
	if !m.isOf(&entry.Record) {
		revision := protocol.Revision(at.Replica.Shards[entry.Record.Shard].ModRevision)
		m.beginOwnership(&entry.Record, revision, at.Now.Monotonic)
	}
	return m
}

// AwaitingOwner lists the machines whose deferred heartbeats wait until an owner is on record.
// It is not to be changed.
func (at *Table) AwaitingOwner() map[protocol.MachineID]bool { return at.awaitingOwner }

// AssignedSince tells since when tasks of one attempt have been assigned to a machine, as far
// as this process has seen.
func (at *Table) AssignedSince(key AssignmentKey) (since protocol.Instant, known bool) {
	since, known = at.assignedAt[key]
	return since, known
}

// RecordAssignments takes in a change of a machine's record: since when tasks have been assigned
// to the machine, and which images it has.
func (at *Table) RecordAssignments(id protocol.MachineID, before, after *storage.MachineRecord) {
	if before != nil {
		for i := range before.Assignments {
			a := &before.Assignments[i]
			if after == nil || !hasAttempt(after, a) {
				delete(at.assignedAt, AssignmentKey{Machine: id, Job: a.Job, Attempt: a.Attempt})
			}
		}
	}
	if after == nil {
		return
	}
	for i := range after.Assignments {
		a := &after.Assignments[i]
		key := AssignmentKey{Machine: id, Job: a.Job, Attempt: a.Attempt}
		if _, ok := at.assignedAt[key]; ok {
			continue
		}
		at.assignedAt[key] = at.Now.Monotonic
		job, machineType := at.Replica.Jobs[a.Job], at.catalog.MachineType(after.MachineType)
		if job != nil && job.Record.Spec != nil && machineType != nil {
			spec := job.Record.Spec
			at.MachineState(id).use(spec.Image, spec.ImageGB, machineType.LocalDiskGB)
		}
	}
}

func hasAttempt(record *storage.MachineRecord, a *storage.Assignment) bool {
	for i := range record.Assignments {
		if other := &record.Assignments[i]; other.Job == a.Job && other.Attempt == a.Attempt {
			return true
		}
	}
	return false
}

// ForgetAssignments drops since when tasks have been on machines.
func (at *Table) ForgetAssignments() { clear(at.assignedAt) }

// ForgetMachines drops what is remembered of machines that are on no record.
func (at *Table) ForgetMachines() {
	for id, m := range at.machineStates {
		if at.Replica.Machines[id] == nil && !m.IsDeferred() {
			delete(at.machineStates, id)
		}
	}
}

// ForgetUnrecordedMachines forgets the machines of an earlier replica that this one does not have.
func (at *Table) ForgetUnrecordedMachines(earlier *storage.Replica) {
	for _, e := range earlier.SortedMachines() {
		if at.Replica.Machines[e.ID] == nil {
			at.forgetMachine(e.ID)
		}
	}
}

// OnMachinesRemoved forgets machines that have left the records.
func (at *Table) OnMachinesRemoved() {
	for _, id := range at.Replica.PopRemovedMachines() {
		at.terminator.RecordRemoval(id)
		at.forgetMachine(id)
	}
}

// forgetMachine drops what is remembered of a machine. A heartbeat that waits is redirected.
func (at *Table) forgetMachine(id protocol.MachineID) {
	if m := at.machineStates[id]; m != nil {
		at.dropDeferredRequest(m)
		delete(at.machineStates, id)
	}
}

// IsAgentLeaseExpired tells whether the agent's lease has expired for sure, so that it has killed
// all its tasks. It has shown this ownership's epoch, so only this incarnation's responses counted
// since; and the last of them answered a heartbeat that was sent no later than it was received.
func (at *Table) IsAgentLeaseExpired(m *MachineState, record *storage.MachineRecord) bool {
	if m.LatestHeartbeat == nil || m.IsDeferred() {
		return false
	}
	renewedAt, isKnown := m.latestRenewal(record.ShardEpoch)
	return isKnown && at.Since(renewedAt) > at.agentLeaseExpiry()
}

// agentLeaseExpiry is the time after which an agent's lease has run out whatever its clock says.
// Monotonic clocks drift by up to 0.05% each; the rest is margin.
func (at *Table) agentLeaseExpiry() time.Duration {
	const clockDriftDivisor, margin = 500, 500 * time.Millisecond
	return at.Config.AgentLeaseTTL + at.Config.AgentLeaseTTL/clockDriftDivisor + margin
}

// HasMissedHeartbeat tells whether an agent has missed a heartbeat for sure.
func (at *Table) HasMissedHeartbeat(m *MachineState) bool {
	const networkMargin = 1500 * time.Millisecond
	return !m.IsDeferred() && at.TimeSinceContact(m) > at.Config.HeartbeatInterval*5/4+networkMargin
}

// IsSilent tells whether an agent has missed several heartbeats.
func (at *Table) IsSilent(m *MachineState) bool {
	return !m.IsDeferred() && at.TimeSinceContact(m) > at.SilenceTimeout()
}

// SilenceTimeout is the time in which several heartbeats must have come from an agent that
// reaches this controller.
func (at *Table) SilenceTimeout() time.Duration {
	return 2*at.Config.HeartbeatInterval + at.Config.HeartbeatInterval/2 + time.Second
}

// TimeSinceContact is for how long nothing has come from an agent while this process could
// have received it: a process pause is not the agent's silence.
func (at *Table) TimeSinceContact(m *MachineState) time.Duration {
	return at.Since(max(m.LastContactAt, at.ResumedAt))
}

// heartbeatsLost tells whether an agent has sent no heartbeat for a while, whatever it says when
// it is probed: starts go out in responses to heartbeats only, so what is placed there waits.
func (at *Table) heartbeatsLost(m *MachineState) bool {
	return !m.IsDeferred() && at.Since(max(m.lastHeartbeatAt, at.ResumedAt)) > at.SilenceTimeout()
}

// markSuspect notes that commands may not reach the agent.
func (at *Table) markSuspect(m *MachineState) { m.suspect(at.Now.Monotonic) }

// markReachable notes that something that was sent to the agent has arrived.
func (at *Table) markReachable(m *MachineState) {
	if m.CommandsLost() {
		at.Log(slog.LevelInfo, "commands reach machine again", "machine", string(m.ID))
	}
	m.confirmDelivery()
}

// isSuspect tells whether it has been uncertain for a while that commands reach the agent.
func (at *Table) isSuspect(m *MachineState) bool {
	return m.suspectedAt != 0 && at.Since(m.suspectedAt) > suspectTimeout
}

// replyRedirect sends an agent to another controller, or to any if the owner is unknown.
func (at *Table) replyRedirect(req step.RequestID, owner protocol.ControllerID) {
	at.Reply(req, http.StatusMisdirectedRequest, protocol.Redirect{Controller: owner})
}

// deferResponse lets a heartbeat wait for its response.
func (at *Table) deferResponse(m *MachineState, req step.RequestID, awaitsOwnership bool) {
	m.DeferredRequest, m.deferredAt, m.awaitsOwnership = req, at.Now.Monotonic, awaitsOwnership
	at.deferredHeartbeats[m.ID] = true
	if awaitsOwnership {
		at.awaitingOwner[m.ID] = true
	}
}

// popDeferredRequest gives the waiting heartbeat to whoever answers it now.
func (at *Table) popDeferredRequest(m *MachineState) step.RequestID {
	req := m.DeferredRequest
	m.DeferredRequest = 0
	delete(at.deferredHeartbeats, m.ID)
	delete(at.awaitingOwner, m.ID)
	return req
}

// redirectDeferred answers the waiting heartbeat with the name of the machine's owner.
func (at *Table) redirectDeferred(m *MachineState, owner protocol.ControllerID) {
	at.replyRedirect(at.popDeferredRequest(m), owner)
}

// dropDeferredRequest sends the agent whose heartbeat waits, if one does, to any controller.
func (at *Table) dropDeferredRequest(m *MachineState) {
	if m.IsDeferred() {
		at.redirectDeferred(m, "")
	}
}
