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
	forecast      PlacementForecast
	replication   *commit.Replication
	transfers     QuiesceChecker
}

// ownerWaitTimeout is how long the heartbeat of a machine without owner waits for one.
const ownerWaitTimeout = 2500 * time.Millisecond

// OnHeartbeat handles an agent's heartbeat.
func (h *HeartbeatHandler) OnHeartbeat(input step.HeartbeatInput) {
	heartbeat, err := protocol.ParseHeartbeat(input.Body)
	if err != nil {
		h.Reply(input.RequestID, http.StatusBadRequest, step.ErrorResponse{Error: err.Error()})
		return
	}
	if !h.replication.IsLoaded() {
		h.Reply(input.RequestID, http.StatusServiceUnavailable, step.ErrorResponse{Error: "not ready"})
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
func (h *HeartbeatHandler) onUnownedHeartbeat(
	requestID step.RequestID, entry *storage.Machine, heartbeat *protocol.Heartbeat,
) {
	if entry != nil && h.Replica.IsAlive(entry.Record.Owner) && entry.Record.Owner.Controller() != h.Config.ControllerID {
		h.misdirected.recordHeartbeat(heartbeat)
		h.agents.replyRedirect(requestID, entry.Record.Owner.Controller())
		return
	}
	if h.replication.StoreUnavailable() || !h.lease.IsRegistered() {
		h.agents.replyRedirect(requestID, "")
		return
	}
	m := h.agents.MachineState(heartbeat.Machine)
	if h.isDelayedOrDuplicate(entry, m, heartbeat) {
		h.agents.replyRedirect(requestID, "")
		return
	}
	h.agents.dropDeferredRequest(m)
	m.RecordHeartbeat(heartbeat, h.Now.Monotonic)
	m.advanceTo(heartbeat.AgentEpoch, heartbeat.Sequence)
	h.agents.deferResponse(m, requestID, true)
	if entry == nil {
		// A copy of a heartbeat may outlive its machine. Only an agent that answers shows that
		// the machine still exists.
		h.calls.probeForAdoption(m, heartbeat.Addr)
	}
}

// onOwnedHeartbeat handles the heartbeat of a machine that this controller owns.
func (h *HeartbeatHandler) onOwnedHeartbeat(
	requestID step.RequestID, entry *storage.Machine, heartbeat *protocol.Heartbeat,
) {
	if heartbeat.FencingToken > entry.Record.FencingToken {
		// Another controller has raised the token by now, whatever the replica says.
		h.agents.replyRedirect(requestID, "")
		return
	}
	m := h.agents.TrackOwnedMachine(entry, heartbeat.Machine)
	if h.isDelayedOrDuplicate(entry, m, heartbeat) {
		h.agents.replyRedirect(requestID, "")
		return
	}
	h.agents.dropDeferredRequest(m)
	m.advanceTo(heartbeat.AgentEpoch, heartbeat.Sequence)
	h.processDeliveryEvidence(m, heartbeat)
	// An agent has one heartbeat in flight at a time: it has carried out the last response, or
	// dropped it, before it sent this one. From here on what this heartbeat lacks is proof.
	clear(m.InflightStarts)
	if m.isNewerThanLatest(heartbeat) {
		m.RecordHeartbeat(heartbeat, h.Now.Monotonic)
	}
	m.LastContactAt, m.lastHeartbeatAt = h.Now.Monotonic, h.Now.Monotonic
	h.agents.deferResponse(m, requestID, false)
	if !h.shouldDeferResponse(entry, m) {
		h.answerHeartbeat(entry, m)
	}
}

// isDelayedOrDuplicate tells whether a heartbeat was delivered after one that its agent sent later, or the
// same again. Its agent no longer waits for the response, so nothing may rest on it.
func (h *HeartbeatHandler) isDelayedOrDuplicate(entry *storage.Machine, m *MachineState, heartbeat *protocol.Heartbeat) bool {
	return m.isOutOfOrder(heartbeat.AgentEpoch, heartbeat.Sequence) ||
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

// ResolveDeferredHeartbeats answers the heartbeats that need not wait any longer, if anything
// has changed that they may wait for.
func (h *HeartbeatHandler) ResolveDeferredHeartbeats() {
	if !h.ShouldRecheckDeferredHeartbeats {
		return
	}
	h.ShouldRecheckDeferredHeartbeats = false
	for _, id := range step.SortedKeys(h.agents.deferredHeartbeats) {
		m, entry := h.agents.machineStates[id], h.Replica.Machines[id]
		if m.awaitsOwnership {
			h.resolveUnowned(entry, m)
		} else {
			h.resolveOwned(entry, m)
		}
	}
}

// resolveUnowned looks after a heartbeat that came while no live incarnation owned its machine.
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
	commands := h.commandsFor(entry, m, true)
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
