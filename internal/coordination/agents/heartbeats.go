package agents

import (
	"net/http"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// CancellationChecker knows the jobs whose cancellation has been requested.
type CancellationChecker interface {
	CancelRequested(id protocol.JobID) bool
}

// PlacementForecast knows the machines for which a placement is about to be recorded.
type PlacementForecast interface {
	ExpectsPlacement(id protocol.MachineID) bool
}

// QuiesceChecker knows the shards on which nothing new may begin.
type QuiesceChecker interface {
	IsQuiesced(id storage.ShardID) bool
}

// HeartbeatHandler handles heartbeats: it decides when to answer one, and with which commands.
type HeartbeatHandler struct {
	*step.Context

	agents        *Table
	calls         *Caller
	cancellations CancellationChecker
	catalog       *catalog.Catalog
	jobs          *JobTable
	lease         *commit.Lease
	misdirected   *MisdirectedHeartbeats
	plan          PlacementForecast
	replication   *commit.Replication
	transfers     QuiesceChecker
}

const (
	// ownershipCatchUpTimeout is how long a heartbeat waits for the replica to show what was
	// written before this incarnation became the owner.
	ownershipCatchUpTimeout = 3 * time.Second
	// ownerWaitTimeout is how long the heartbeat of a machine without owner waits for one.
	ownerWaitTimeout = 2500 * time.Millisecond
	// longestResponseDelay bounds how long a heartbeat with news waits, unless the configuration
	// says more.
	longestResponseDelay = 3 * time.Second
	// idleCoresDivisor is the part of a machine's cores that must be free, one in so many, for
	// the response to wait for something to do while tasks run there.
	idleCoresDivisor = 3
)

// OnHeartbeat handles an agent's heartbeat.
func (h *HeartbeatHandler) OnHeartbeat(input step.HeartbeatInput) {
	heartbeat, err := protocol.ParseHeartbeat(input.Body)
	if err != nil {
		h.Reply(input.RequestID, http.StatusBadRequest, step.ErrorBody{Error: err.Error()})
		return
	}
	if !h.replication.IsLoaded() {
		h.Reply(input.RequestID, http.StatusServiceUnavailable, step.ErrorBody{Error: "not ready"})
		return
	}
	entry := h.Replica.Machines[heartbeat.Machine]
	if entry != nil && h.lease.OwnsMachine(&entry.Record) {
		h.onOwnedHeartbeat(input.RequestID, entry, heartbeat)
	} else {
		h.onUnownedHeartbeat(input.RequestID, entry, heartbeat)
	}
}

// onUnownedHeartbeat handles the heartbeat of a machine that this controller does not own, or
// that is on no record (nil entry): it is redirected, or waits until there is an owner.
func (h *HeartbeatHandler) onUnownedHeartbeat(req step.RequestID, entry *storage.Machine, heartbeat *protocol.Heartbeat) {
	if entry != nil && h.Replica.IsAlive(entry.Record.Owner) && entry.Record.Owner.Controller() != h.Config.ControllerID {
		h.misdirected.recordMisdirectedHeartbeat(heartbeat)
		h.agents.replyRedirect(req, entry.Record.Owner.Controller())
		return
	}
	if h.replication.StoreUnavailable() || !h.lease.IsRegistered() {
		h.agents.replyRedirect(req, "")
		return
	}
	m := h.agents.MachineState(heartbeat.Machine)
	if h.isLateCopy(entry, m, heartbeat) {
		h.agents.replyRedirect(req, "")
		return
	}
	h.agents.dropDeferredRequest(m)
	m.RecordHeartbeat(heartbeat, h.Now.Monotonic)
	m.AdvanceTo(heartbeat.AgentEpoch, heartbeat.Sequence)
	h.agents.deferResponse(m, req, true)
	if entry == nil {
		// A copy of a heartbeat may outlive its machine. Only an agent that answers shows that
		// the machine still exists.
		h.calls.probeForAdoption(m, heartbeat.Addr)
	}
}

// onOwnedHeartbeat handles the heartbeat of a machine that this controller owns.
func (h *HeartbeatHandler) onOwnedHeartbeat(req step.RequestID, entry *storage.Machine, heartbeat *protocol.Heartbeat) {
	if heartbeat.FencingToken > entry.Record.FencingToken {
		// Another controller is entitled by now, whatever the replica says.
		h.agents.replyRedirect(req, "")
		return
	}
	m := h.agents.TrackOwnedMachine(entry, heartbeat.Machine)
	if h.isLateCopy(entry, m, heartbeat) {
		h.agents.replyRedirect(req, "")
		return
	}
	h.agents.dropDeferredRequest(m)
	m.AdvanceTo(heartbeat.AgentEpoch, heartbeat.Sequence)
	h.processDeliveryEvidence(m, heartbeat)
	// An agent has one heartbeat in flight at a time: it has carried out the last response, or
	// dropped it, before it sent this one. From here on what this heartbeat lacks is proof.
	clear(m.InflightStarts)
	if m.isNewerThanLatest(heartbeat) {
		m.RecordHeartbeat(heartbeat, h.Now.Monotonic)
	}
	m.LastContactAt, m.lastHeartbeatAt = h.Now.Monotonic, h.Now.Monotonic
	h.agents.deferResponse(m, req, false)
	if !h.shouldDeferResponse(entry, m) {
		h.answerHeartbeat(entry, m)
	}
}

// isLateCopy tells whether a heartbeat was delivered after one that its agent sent later, or the
// same again. Its agent no longer waits for the response, so nothing may rest on it.
func (h *HeartbeatHandler) isLateCopy(entry *storage.Machine, m *MachineState, heartbeat *protocol.Heartbeat) bool {
	return m.IsOutOfOrder(heartbeat.AgentEpoch, heartbeat.Sequence) ||
		entry != nil && heartbeat.AgentEpoch < entry.Record.AgentEpoch
}

// processDeliveryEvidence notices an agent whose heartbeats arrive while responses may not reach
// it: it does not show the token, nor the starts, that the last response had, or it has begun a
// new agent epoch. Whether commands arrive is then tested with a direct call.
func (h *HeartbeatHandler) processDeliveryEvidence(m *MachineState, heartbeat *protocol.Heartbeat) {
	hasNewEpoch := m.deliveryAgentEpoch != 0 && heartbeat.AgentEpoch > m.deliveryAgentEpoch
	showsDelivery := heartbeat.FencingToken >= m.answeredToken && m.showsInflightStart(heartbeat)
	switch {
	case hasNewEpoch, m.awaitsDelivery && !showsDelivery:
		h.agents.markSuspect(m)
	case m.awaitsDelivery:
		h.agents.markReachable(m)
	}
	m.awaitsDelivery, m.deliveryAgentEpoch = false, heartbeat.AgentEpoch
}

// shouldDeferResponse tells whether the response should wait a moment for a write, so that
// it can carry the starts that take the place of what has ended.
func (h *HeartbeatHandler) shouldDeferResponse(entry *storage.Machine, m *MachineState) bool {
	if h.isReplicaBehindOwnership(m) {
		return h.Since(m.deferredAt) < ownershipCatchUpTimeout
	}
	if h.replication.StoreUnavailable() || !h.lease.IsRegistered() {
		return false
	}
	if m.CommandsLost() || m.ConfirmedToken < entry.Record.FencingToken {
		return false
	}
	if h.Since(m.deferredAt) >= h.maxResponseDelay() {
		return h.shouldDeferIdleResponse(entry, m)
	}
	heartbeat, record := m.LatestHeartbeat, &entry.Record
	showsShardEpoch := storage.ShardEpochOf(heartbeat.FencingToken) == record.ShardEpoch
	if heartbeat.AgentEpoch != record.AgentEpoch {
		return showsShardEpoch || record.AgentEpoch == 0 // the new agent epoch is about to be written
	}
	if !showsShardEpoch {
		return false
	}
	return showsUnrecordedExit(heartbeat, record) || h.expectsAssignments(entry, m) || h.shouldDeferIdleResponse(entry, m)
}

// isReplicaBehindOwnership tells whether the replica may lack what was written before this
// incarnation became the owner: a job may have been cancelled that nobody told it of.
func (h *HeartbeatHandler) isReplicaBehindOwnership(m *MachineState) bool {
	return h.Replica.Revision < m.OwnershipRevision
}

// showsUnrecordedExit tells whether an assigned task has exited, so that its end is to be written.
func showsUnrecordedExit(heartbeat *protocol.Heartbeat, record *storage.MachineRecord) bool {
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if status.State != protocol.TaskExited {
			continue
		}
		if attempt, ok := record.AttemptOf(status.Task); ok && attempt == status.Attempt {
			return true
		}
	}
	return false
}

// expectsAssignments tells whether the plan has tasks for the machine that its owner waits to
// see on record, most often those of a job that another controller owns. The response waits
// for them within maxResponseDelay: without that a core that has become free stays so for half
// a heartbeat interval on average, where tasks are short a tenth of all cores.
func (h *HeartbeatHandler) expectsAssignments(entry *storage.Machine, m *MachineState) bool {
	record := &entry.Record
	if !h.plan.ExpectsPlacement(m.ID) || !h.replication.IsUpToDate() || !acceptsTasks(record, m.LatestHeartbeat) {
		return false
	}
	for i := range record.Assignments {
		if h.ungangedSpec(&record.Assignments[i]) == nil || !m.showsAllTasks(&record.Assignments[i]) {
			return false // there is something to start
		}
	}
	return true
}

// acceptsTasks tells whether new tasks may be assigned to a machine.
func acceptsTasks(record *storage.MachineRecord, heartbeat *protocol.Heartbeat) bool {
	return !record.Terminating && !record.Cordoned && heartbeat.PreemptionNoticeSeconds == nil
}

// ungangedSpec is the job of an assignment, nil if it is unknown or a gang, whose tasks may wait
// to start for those on other machines.
func (h *HeartbeatHandler) ungangedSpec(a *storage.Assignment) *protocol.Job {
	job := h.Replica.Jobs[a.Job]
	if job == nil || job.Record.Spec == nil || job.Record.Spec.IsGang() {
		return nil
	}
	return job.Record.Spec
}

// maxResponseDelay is how long a heartbeat with news waits for the write. Where heartbeats are
// far apart it waits longer: the next one, which would take what this response lacks, is that
// much later.
func (h *HeartbeatHandler) maxResponseDelay() time.Duration {
	return max(h.Config.MaxResponseDelay, min(h.Config.HeartbeatInterval*3/8, longestResponseDelay))
}

// shouldDeferIdleResponse tells whether the response to a machine with free capacity waits for
// something to do: a start that is written meanwhile goes out at once instead of with the next
// heartbeat. The agent waits longer than that for a response. While tasks run there it waits
// only where heartbeats are so far apart that it pays.
func (h *HeartbeatHandler) shouldDeferIdleResponse(entry *storage.Machine, m *MachineState) bool {
	heartbeat, record := m.LatestHeartbeat, &entry.Record
	if h.Since(m.deferredAt) >= h.Config.MaxIdleResponseDelay || !h.replication.IsUpToDate() ||
		!isUnderRecordedEpochs(heartbeat, record) || !acceptsTasks(record, heartbeat) {
		return false
	}
	if len(heartbeat.Tasks) == 0 && len(record.Assignments) == 0 {
		return true
	}
	if h.Config.HeartbeatInterval < 2*h.Config.MaxIdleResponseDelay {
		return false
	}
	return h.hasFreeCapacityOnly(record, m)
}

// hasFreeCapacityOnly tells whether a good part of the machine is free while there is nothing to
// tell its agent: all assigned tasks run, and none has exited.
func (h *HeartbeatHandler) hasFreeCapacityOnly(record *storage.MachineRecord, m *MachineState) bool {
	machineType := h.catalog.MachineType(record.MachineType)
	if machineType == nil {
		return false
	}
	freeCores := machineType.Cores
	for i := range record.Assignments {
		a := &record.Assignments[i]
		spec := h.ungangedSpec(a)
		if spec == nil || !m.showsAllTasks(a) {
			return false // there is something to start
		}
		freeCores -= float64(a.Tasks.Len()) * spec.Cores
	}
	for i := range m.LatestHeartbeat.Tasks {
		if m.LatestHeartbeat.Tasks[i].State == protocol.TaskExited {
			return false // to be forgotten
		}
	}
	return freeCores >= machineType.Cores/idleCoresDivisor
}

// ResolveDeferredHeartbeats answers the heartbeats that need not wait any longer, if anything
// has changed that they may wait for.
func (h *HeartbeatHandler) ResolveDeferredHeartbeats() {
	if !h.ShouldRecheckDeferred {
		return
	}
	h.ShouldRecheckDeferred = false
	for _, id := range step.SortedKeys(h.agents.deferredHeartbeats) {
		m, entry := h.agents.machineStates[id], h.Replica.Machines[id]
		if m.awaitsOwnership {
			h.resolveUnowned(entry, m)
		} else {
			h.resolveOwned(entry, m)
		}
	}
}

// resolveUnowned looks after a heartbeat that came while nobody owned its machine.
func (h *HeartbeatHandler) resolveUnowned(entry *storage.Machine, m *MachineState) {
	switch {
	case entry != nil && h.lease.OwnsMachine(&entry.Record):
		m.awaitsOwnership = false
		delete(h.agents.awaitingOwner, m.ID)
		h.agents.TrackOwnedMachine(entry, m.ID)
		heartbeat := m.LatestHeartbeat
		if heartbeat.FencingToken > entry.Record.FencingToken || heartbeat.AgentEpoch < entry.Record.AgentEpoch {
			h.agents.dropDeferredRequest(m)
		} else if !h.isReplicaBehindOwnership(m) {
			h.answerHeartbeat(entry, m)
		}
	case entry != nil && h.Replica.IsAlive(entry.Record.Owner):
		h.agents.redirectDeferred(m, entry.Record.Owner.Controller())
	case h.replication.StoreUnavailable() || h.Since(m.deferredAt) > ownerWaitTimeout:
		h.agents.dropDeferredRequest(m)
	}
}

// resolveOwned looks after a heartbeat that came while this controller owned its machine.
func (h *HeartbeatHandler) resolveOwned(entry *storage.Machine, m *MachineState) {
	isOwned := entry != nil && h.lease.OwnsMachine(&entry.Record)
	switch {
	case entry != nil && !isOwned && h.Replica.IsAlive(entry.Record.Owner):
		h.agents.redirectDeferred(m, entry.Record.Owner.Controller())
	case !isOwned, m.LatestHeartbeat.FencingToken > entry.Record.FencingToken:
		h.agents.dropDeferredRequest(m)
	case !h.shouldDeferResponse(entry, m):
		h.answerHeartbeat(entry, m)
	}
}

// answerHeartbeat answers the deferred heartbeat with the commands.
func (h *HeartbeatHandler) answerHeartbeat(entry *storage.Machine, m *MachineState) {
	if h.isReplicaBehindOwnership(m) {
		h.agents.dropDeferredRequest(m)
		return
	}
	commands := h.CommandsFor(entry, m, true)
	for _, command := range commands {
		if command.Type == protocol.CommandStart {
			// Until the next heartbeat the task's absence proves nothing.
			m.InflightStarts[command.Task] = command.Attempt
		}
	}
	token := entry.Record.FencingToken
	m.awaitsDelivery = len(m.InflightStarts) > 0 || m.LatestHeartbeat.FencingToken < token
	body := protocol.Commands{FencingToken: token, Commands: commands}
	h.Emit(step.Reply{RequestID: h.agents.popDeferredRequest(m), Status: http.StatusOK, Body: body.Encode()})
	m.recordAnswer(m.deferredAt, token)
}
