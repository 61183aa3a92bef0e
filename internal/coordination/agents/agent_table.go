package agents

import (
	"log/slog"
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

// Table holds what this process remembers of machines and their agents beyond the records:
// heartbeats, reachability, deferred responses, cached images.
type Table struct {
	*step.Context

	catalog    *catalog.Catalog
	terminator RemovalRecorder

	machineStates      map[protocol.MachineID]*MachineState
	deferredHeartbeats map[protocol.MachineID]bool // whose reports wait for their answers
	awaitingOwner      map[protocol.MachineID]bool // those of them that wait for an owner
	assignedAt         map[AssignmentKey]protocol.Instant
}

func NewTable(ctx *step.Context) *Table {
	return &Table{
		Context:            ctx,
		machineStates:      map[protocol.MachineID]*MachineState{},
		deferredHeartbeats: map[protocol.MachineID]bool{},
		awaitingOwner:      map[protocol.MachineID]bool{},
		assignedAt:         map[AssignmentKey]protocol.Instant{},
	}
}

func (at *Table) recordImage(id protocol.MachineID, machineType *protocol.MachineType, j *protocol.Job) {
	m := at.MachineState(id)
	for i := range m.CachedImages {
		if m.CachedImages[i].name == j.Image {
			m.CachedImages = append(m.CachedImages[:i], m.CachedImages[i+1:]...)
			break
		}
	}
	m.CachedImages = append(m.CachedImages, cachedImage{name: j.Image, SizeGB: j.ImageGB})
	totalGB := 0.0
	for i := len(m.CachedImages) - 1; i >= 0; i-- {
		if totalGB += m.CachedImages[i].SizeGB; totalGB > machineType.LocalDiskGB {
			m.CachedImages = append([]cachedImage(nil), m.CachedImages[i+1:]...)
			break
		}
	}
}

func (at *Table) replyRedirect(req step.RequestID, owner protocol.ControllerID) {
	at.Reply(req, 421, protocol.Redirect{Controller: owner})
}

// deferResponse lets a report wait for its answer.
func (at *Table) deferResponse(m *MachineState, req step.RequestID, awaitsOwnership bool) {
	m.DeferredRequest, m.deferredAt, m.awaitsOwnership = req, at.Now.Monotonic, awaitsOwnership
	at.deferredHeartbeats[m.ID] = true
	if awaitsOwnership {
		at.awaitingOwner[m.ID] = true
	}
}

// popDeferredRequest gives the waiting report to whoever answers it now.
func (at *Table) popDeferredRequest(m *MachineState) step.RequestID {
	req := m.DeferredRequest
	m.DeferredRequest = 0
	delete(at.deferredHeartbeats, m.ID)
	delete(at.awaitingOwner, m.ID)
	return req
}

func (at *Table) dropDeferredRequest(m *MachineState) {
	if m.DeferredRequest != 0 {
		at.replyRedirect(at.popDeferredRequest(m), "")
	}
}

func (at *Table) markSuspect(m *MachineState) {
	if m.suspectedAt == 0 {
		m.suspectedAt = at.Now.Monotonic
	}
}

// markReachable notes that something that was sent to the worker has arrived.
func (at *Table) markReachable(m *MachineState) {
	if m.CommandsLostAt != 0 {
		at.Log(slog.LevelInfo, "commands reach machine again", "machine", string(m.ID))
	}
	m.suspectedAt, m.callFailures, m.CommandsLostAt = 0, 0, 0
}

// isSuspect tells whether it has been unsure for a while that the worker hears.
func (at *Table) isSuspect(m *MachineState) bool {
	return m.suspectedAt != 0 && at.Since(m.suspectedAt) > 3*time.Second
}

func (at *Table) MachineState(id protocol.MachineID) *MachineState {
	m := at.machineStates[id]
	if m == nil {
		m = &MachineState{ID: id, LastContactAt: at.Now.Monotonic}
		m.Reset()
		at.machineStates[id] = m
	}
	return m
}

// TrackOwnedMachine begins or goes on with the ownership of a machine: what an earlier
// owner was told proves nothing under a new token.
func (at *Table) TrackOwnedMachine(entry *storage.Machine, id protocol.MachineID) *MachineState {
	m := at.MachineState(id)
	if m.ownerIncarnation != entry.Record.Owner || m.ownershipEpoch != entry.Record.ShardEpoch {
		m.ownerIncarnation, m.ownershipEpoch = entry.Record.Owner, entry.Record.ShardEpoch
		m.OwnershipRevision = protocol.Revision(at.Replica.Shards[entry.Record.Shard].ModRevision)
		m.Reset()
		m.answeredHeartbeatAt, m.answeredToken = 0, 0
		m.LastContactAt, m.lastHeartbeatAt = at.Now.Monotonic, at.Now.Monotonic
		m.awaitsDelivery, m.suspectedAt, m.callFailures, m.CommandsLostAt = false, 0, 0, 0
	}
	return m
}

// ForgetMachines drops what is remembered of machines that are on no record.
func (at *Table) ForgetMachines() {
	for id, m := range at.machineStates {
		if at.Replica.Machines[id] == nil && m.DeferredRequest == 0 {
			delete(at.machineStates, id)
		}
	}
}

// ForgetAssignments drops since when tasks have been on machines.
func (at *Table) ForgetAssignments() { clear(at.assignedAt) }

// ForgetUnrecordedMachines forgets the machines of an earlier replica that this one does not have.
func (at *Table) ForgetUnrecordedMachines(earlier *storage.Replica) {
	for _, e := range earlier.SortedMachines() {
		if id := e.ID; at.Replica.Machines[id] == nil {
			if m := at.machineStates[id]; m != nil {
				at.dropDeferredRequest(m)
				delete(at.machineStates, id)
			}
		}
	}
}

// Lookup gives what is remembered of a machine, nil for nothing.
func (at *Table) Lookup(id protocol.MachineID) *MachineState { return at.machineStates[id] }

// AssignedSince tells since when tasks of one attempt have been assigned to a machine, as far
// as this process has seen.
func (at *Table) AssignedSince(key AssignmentKey) (since protocol.Instant, known bool) {
	since, known = at.assignedAt[key]
	return since, known
}

// AwaitingOwner lists the machines whose deferred heartbeats wait until an owner is on record.
// It is not to be changed.
func (at *Table) AwaitingOwner() map[protocol.MachineID]bool { return at.awaitingOwner }

// OnMachinesRemoved forgets machines that have left the records.
func (at *Table) OnMachinesRemoved() {
	for _, id := range at.Replica.PopRemovedMachines() {
		at.terminator.RecordRemoval(id)
		if m := at.machineStates[id]; m != nil {
			at.dropDeferredRequest(m)
			delete(at.machineStates, id)
		}
	}
}

// RecordAssignments keeps what rests on the machines' records: since when tasks have
// been on a machine, and which images it has.
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
		if job, machineType := at.Replica.Jobs[a.Job], at.catalog.MachineType(after.MachineType); job != nil && job.Record.Spec != nil && machineType != nil {
			at.recordImage(id, machineType, job.Record.Spec)
		}
	}
}

// IsAgentLeaseExpired tells whether the worker's lease must have run out: this
// token was confirmed by the worker, so only this run's answers counted, and
// the last of them answered a report sent no later than it was received.
func (at *Table) IsAgentLeaseExpired(m *MachineState, record *storage.MachineRecord) bool {
	if storage.ShardEpochOf(m.ConfirmedToken) != record.ShardEpoch || m.LatestHeartbeat == nil {
		return false
	}
	// Before it showed this token, an earlier owner may have renewed its lease.
	last := m.tokenConfirmedAt
	if storage.ShardEpochOf(m.answeredToken) == record.ShardEpoch {
		last = max(last, m.answeredHeartbeatAt)
	}
	// Steady clocks drift by up to 0.05% each; the rest is margin.
	expiry := at.Config.AgentLeaseTTL + at.Config.AgentLeaseTTL/500 + 500*time.Millisecond
	return at.Since(last) > expiry && m.DeferredRequest == 0
}

// HasMissedHeartbeat tells whether a worker has missed a report for sure.
func (at *Table) HasMissedHeartbeat(m *MachineState) bool {
	return m.DeferredRequest == 0 && at.TimeSinceContact(m) > at.Config.HeartbeatInterval*5/4+1500*time.Millisecond
}

// IsSilent tells whether a worker has missed several reports.
func (at *Table) IsSilent(m *MachineState) bool {
	return m.DeferredRequest == 0 && at.TimeSinceContact(m) > at.SilenceTimeout()
}

// SilenceTimeout is the time in which several reports must have come from a worker that
// reaches this node.
func (at *Table) SilenceTimeout() time.Duration {
	return 2*at.Config.HeartbeatInterval + at.Config.HeartbeatInterval/2 + time.Second
}

// heartbeatsLost tells whether no report has come from a worker for a while, whatever it says when
// it is asked: starts go out in answers to reports only, so what is placed there waits.
func (at *Table) heartbeatsLost(m *MachineState) bool {
	return m.DeferredRequest == 0 && at.Since(max(m.lastHeartbeatAt, at.ResumedAt)) > at.SilenceTimeout()
}

// TimeSinceContact is for how long nothing has come from a worker while this process could
// have heard it: one that stood still for seconds takes none of that for silence.
func (at *Table) TimeSinceContact(m *MachineState) time.Duration {
	return at.Since(max(m.LastContactAt, at.ResumedAt))
}
