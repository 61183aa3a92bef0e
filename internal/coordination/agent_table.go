package coordination

import (
	"log/slog"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
)

// RemovalRecorder remembers machines that have left the records.
type RemovalRecorder interface {
	RecordRemoval(id protocol.MachineID)
}

// agentTable holds what this process remembers of machines and their agents beyond the records:
// heartbeats, reachability, deferred responses, cached images.
type agentTable struct {
	*stepContext

	catalog    *machineCatalog
	terminator RemovalRecorder

	machineStates      map[protocol.MachineID]*machineState
	deferredHeartbeats map[protocol.MachineID]bool // whose reports wait for their answers
	awaitingOwner      map[protocol.MachineID]bool // those of them that wait for an owner
	assignedAt         map[assignmentKey]protocol.Instant
}

func newAgentTable(ctx *stepContext) *agentTable {
	return &agentTable{
		stepContext:        ctx,
		machineStates:      map[protocol.MachineID]*machineState{},
		deferredHeartbeats: map[protocol.MachineID]bool{},
		awaitingOwner:      map[protocol.MachineID]bool{},
		assignedAt:         map[assignmentKey]protocol.Instant{},
	}
}

func (at *agentTable) recordImage(id protocol.MachineID, machineType *protocol.MachineType, j *protocol.Job) {
	m := at.machineState(id)
	for i := range m.cachedImages {
		if m.cachedImages[i].name == j.Image {
			m.cachedImages = append(m.cachedImages[:i], m.cachedImages[i+1:]...)
			break
		}
	}
	m.cachedImages = append(m.cachedImages, cachedImage{name: j.Image, sizeGB: j.ImageGB})
	totalGB := 0.0
	for i := len(m.cachedImages) - 1; i >= 0; i-- {
		if totalGB += m.cachedImages[i].sizeGB; totalGB > machineType.LocalDiskGB {
			m.cachedImages = append([]cachedImage(nil), m.cachedImages[i+1:]...)
			break
		}
	}
}

func (at *agentTable) replyRedirect(req RequestID, owner protocol.ControllerID) {
	at.reply(req, 421, protocol.Redirect{Controller: owner})
}

// deferResponse lets a report wait for its answer.
func (at *agentTable) deferResponse(m *machineState, req RequestID, awaitsOwnership bool) {
	m.deferredRequest, m.deferredAt, m.awaitsOwnership = req, at.now.Monotonic, awaitsOwnership
	at.deferredHeartbeats[m.id] = true
	if awaitsOwnership {
		at.awaitingOwner[m.id] = true
	}
}

// popDeferredRequest gives the waiting report to whoever answers it now.
func (at *agentTable) popDeferredRequest(m *machineState) RequestID {
	req := m.deferredRequest
	m.deferredRequest = 0
	delete(at.deferredHeartbeats, m.id)
	delete(at.awaitingOwner, m.id)
	return req
}

func (at *agentTable) dropDeferredRequest(m *machineState) {
	if m.deferredRequest != 0 {
		at.replyRedirect(at.popDeferredRequest(m), "")
	}
}

func (at *agentTable) markSuspect(m *machineState) {
	if m.suspectedAt == 0 {
		m.suspectedAt = at.now.Monotonic
	}
}

// markReachable notes that something that was sent to the worker has arrived.
func (at *agentTable) markReachable(m *machineState) {
	if m.commandsLostAt != 0 {
		at.log(slog.LevelInfo, "commands reach machine again", "machine", string(m.id))
	}
	m.suspectedAt, m.callFailures, m.commandsLostAt = 0, 0, 0
}

// isSuspect tells whether it has been unsure for a while that the worker hears.
func (at *agentTable) isSuspect(m *machineState) bool {
	return m.suspectedAt != 0 && at.since(m.suspectedAt) > 3*time.Second
}

func (at *agentTable) machineState(id protocol.MachineID) *machineState {
	m := at.machineStates[id]
	if m == nil {
		m = &machineState{id: id, lastContactAt: at.now.Monotonic}
		m.reset()
		at.machineStates[id] = m
	}
	return m
}

// trackOwnedMachine begins or goes on with the ownership of a machine: what an earlier
// owner was told proves nothing under a new token.
func (at *agentTable) trackOwnedMachine(entry *storage.Machine, id protocol.MachineID) *machineState {
	m := at.machineState(id)
	if m.ownerIncarnation != entry.Record.Owner || m.ownershipEpoch != entry.Record.ShardEpoch {
		m.ownerIncarnation, m.ownershipEpoch = entry.Record.Owner, entry.Record.ShardEpoch
		m.ownershipRevision = protocol.Revision(at.replica.Shards[entry.Record.Shard].ModRevision)
		m.reset()
		m.answeredHeartbeatAt, m.answeredToken = 0, 0
		m.lastContactAt, m.lastHeartbeatAt = at.now.Monotonic, at.now.Monotonic
		m.idleSince = 0
		m.handOffTarget = ""
		m.awaitsDelivery, m.suspectedAt, m.callFailures, m.commandsLostAt = false, 0, 0, 0
	}
	return m
}

// forgetMachines drops what is remembered of machines that are on no record.
func (at *agentTable) forgetMachines() {
	for id, m := range at.machineStates {
		if at.replica.Machines[id] == nil && m.deferredRequest == 0 {
			delete(at.machineStates, id)
		}
	}
}

// ForgetAssignments drops since when tasks have been on machines.
func (at *agentTable) ForgetAssignments() { clear(at.assignedAt) }

// ForgetUnrecordedMachines forgets the machines of an earlier replica that this one does not have.
func (at *agentTable) ForgetUnrecordedMachines(earlier *storage.Replica) {
	for _, e := range earlier.SortedMachines() {
		if id := e.ID; at.replica.Machines[id] == nil {
			if m := at.machineStates[id]; m != nil {
				at.dropDeferredRequest(m)
				delete(at.machineStates, id)
			}
		}
	}
}

// OnMachinesRemoved forgets machines that have left the records.
func (at *agentTable) OnMachinesRemoved() {
	for _, id := range at.replica.PopRemovedMachines() {
		at.terminator.RecordRemoval(id)
		if m := at.machineStates[id]; m != nil {
			at.dropDeferredRequest(m)
			delete(at.machineStates, id)
		}
	}
}

// recordAssignments keeps what rests on the machines' records: since when tasks have
// been on a machine, and which images it has.
func (at *agentTable) recordAssignments(id protocol.MachineID, before, after *storage.MachineRecord) {
	if before != nil {
		for i := range before.Assignments {
			a := &before.Assignments[i]
			if after == nil || !hasAttempt(after, a) {
				delete(at.assignedAt, assignmentKey{machine: id, job: a.Job, attempt: a.Attempt})
			}
		}
	}
	if after == nil {
		return
	}
	for i := range after.Assignments {
		a := &after.Assignments[i]
		key := assignmentKey{machine: id, job: a.Job, attempt: a.Attempt}
		if _, ok := at.assignedAt[key]; ok {
			continue
		}
		at.assignedAt[key] = at.now.Monotonic
		if job, machineType := at.replica.Jobs[a.Job], at.catalog.machineType(after.MachineType); job != nil && job.Record.Spec != nil && machineType != nil {
			at.recordImage(id, machineType, job.Record.Spec)
		}
	}
}

// isAgentLeaseExpired tells whether the worker's lease must have run out: this
// token was confirmed by the worker, so only this run's answers counted, and
// the last of them answered a report sent no later than it was received.
func (at *agentTable) isAgentLeaseExpired(m *machineState, record *storage.MachineRecord) bool {
	if storage.ShardEpochOf(m.confirmedToken) != record.ShardEpoch || m.latestHeartbeat == nil {
		return false
	}
	// Before it showed this token, an earlier owner may have renewed its lease.
	last := m.tokenConfirmedAt
	if storage.ShardEpochOf(m.answeredToken) == record.ShardEpoch {
		last = max(last, m.answeredHeartbeatAt)
	}
	// Steady clocks drift by up to 0.05% each; the rest is margin.
	expiry := at.cfg.AgentLeaseTTL + at.cfg.AgentLeaseTTL/500 + 500*time.Millisecond
	return at.since(last) > expiry && m.deferredRequest == 0
}

// hasMissedHeartbeat tells whether a worker has missed a report for sure.
func (at *agentTable) hasMissedHeartbeat(m *machineState) bool {
	return m.deferredRequest == 0 && at.timeSinceContact(m) > at.cfg.HeartbeatInterval*5/4+1500*time.Millisecond
}

// isSilent tells whether a worker has missed several reports.
func (at *agentTable) isSilent(m *machineState) bool {
	return m.deferredRequest == 0 && at.timeSinceContact(m) > at.silenceTimeout()
}

// silenceTimeout is the time in which several reports must have come from a worker that
// reaches this node.
func (at *agentTable) silenceTimeout() time.Duration {
	return 2*at.cfg.HeartbeatInterval + at.cfg.HeartbeatInterval/2 + time.Second
}

// heartbeatsLost tells whether no report has come from a worker for a while, whatever it says when
// it is asked: starts go out in answers to reports only, so what is placed there waits.
func (at *agentTable) heartbeatsLost(m *machineState) bool {
	return m.deferredRequest == 0 && at.since(max(m.lastHeartbeatAt, at.resumedAt)) > at.silenceTimeout()
}

// timeSinceContact is for how long nothing has come from a worker while this process could
// have heard it: one that stood still for seconds takes none of that for silence.
func (at *agentTable) timeSinceContact(m *machineState) time.Duration {
	return at.since(max(m.lastContactAt, at.resumedAt))
}
