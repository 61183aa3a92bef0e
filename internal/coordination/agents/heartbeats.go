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

// CancellationChecker reports whether the cancellation of a job has been requested. IsCancelling also holds while
// this controller is about to record the request.
type CancellationChecker interface {
	CancelRequested(id protocol.JobID) bool
	IsCancelling(id protocol.JobID) bool
}

// PlacementForecast reports whether the plan has tasks for a machine that are not recorded yet.
type PlacementForecast interface {
	ExpectsPlacement(id protocol.MachineID) bool
}

// QuiesceChecker reports whether a shard is quiesced, so that no task may be started on its machines.
type QuiesceChecker interface {
	IsQuiesced(id storage.ShardID) bool
}

// HeartbeatHandler processes heartbeats. It decides when to answer each heartbeat and with which
// commands.
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

// ownerWaitTimeout is how long the heartbeat of a machine without a live owner waits for an owner.
const ownerWaitTimeout = 2500 * time.Millisecond

// OnHeartbeat processes the heartbeat of an agent. It answers the heartbeat at once or defers the
// response.
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

// onUnownedHeartbeat processes the heartbeat of a machine that this controller does not own, or that
// has no record if entry is nil. It redirects the agent, or defers the response until the machine has
// an owner.
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
	state := h.agents.MachineState(heartbeat.Machine)
	if h.isDelayedOrDuplicate(entry, state, heartbeat) {
		h.agents.replyRedirect(requestID, "")
		return
	}
	h.agents.dropDeferredRequest(state)
	state.RecordHeartbeat(heartbeat, h.Now.Monotonic)
	state.advanceTo(heartbeat.AgentEpoch, heartbeat.Sequence)
	h.agents.deferResponse(state, requestID, true)
	if entry == nil {
		// A delayed copy of a heartbeat may arrive after its machine was terminated. Only an answer
		// of the agent is evidence that the machine still exists.
		h.calls.probeForAdoption(state, heartbeat.Addr)
	}
}

// onOwnedHeartbeat processes the heartbeat of a machine that this controller owns.
func (h *HeartbeatHandler) onOwnedHeartbeat(
	requestID step.RequestID, entry *storage.Machine, heartbeat *protocol.Heartbeat,
) {
	if heartbeat.FencingToken > entry.Record.FencingToken {
		// Another controller has raised the token, and the replica does not show its write yet.
		h.agents.replyRedirect(requestID, "")
		return
	}
	state := h.agents.TrackOwnedMachine(entry, heartbeat.Machine)
	if h.isDelayedOrDuplicate(entry, state, heartbeat) {
		h.agents.replyRedirect(requestID, "")
		return
	}
	h.agents.dropDeferredRequest(state)
	state.advanceTo(heartbeat.AgentEpoch, heartbeat.Sequence)
	h.processDeliveryEvidence(state, heartbeat)
	// An agent has one heartbeat in flight at a time, so it has executed or dropped the last response
	// before it sent this heartbeat. From here on, no start is in flight, so that a task which the heartbeat
	// lacks does not run.
	clear(state.InflightStarts)
	if state.isNewerThanLatest(heartbeat) {
		state.RecordHeartbeat(heartbeat, h.Now.Monotonic)
	}
	state.LastContactAt, state.lastHeartbeatAt = h.Now.Monotonic, h.Now.Monotonic
	h.agents.deferResponse(state, requestID, false)
	if !h.shouldDeferResponse(entry, state) {
		h.answerHeartbeat(entry, state)
	}
}

// isDelayedOrDuplicate reports whether a heartbeat was delivered after a later heartbeat of its agent,
// or a second time. The agent no longer waits for the response, so no decision may depend on it.
func (h *HeartbeatHandler) isDelayedOrDuplicate(
	entry *storage.Machine, state *MachineState, heartbeat *protocol.Heartbeat,
) bool {
	return state.isOutOfOrder(heartbeat.AgentEpoch, heartbeat.Sequence) ||
		entry != nil && heartbeat.AgentEpoch < entry.Record.AgentEpoch
}

// processDeliveryEvidence detects an agent whose heartbeats arrive while responses may not reach it.
// Such a heartbeat lacks the token or all the starts of the last response, or shows a new agent epoch.
// The agent is then suspect, and Monitor tests with a direct call whether commands arrive.
func (h *HeartbeatHandler) processDeliveryEvidence(state *MachineState, heartbeat *protocol.Heartbeat) {
	hasNewEpoch := state.deliveryAgentEpoch != 0 && heartbeat.AgentEpoch > state.deliveryAgentEpoch
	showsDelivery := heartbeat.FencingToken >= state.answeredToken && state.showsInflightStart(heartbeat)
	switch {
	case hasNewEpoch, state.awaitsDelivery && !showsDelivery:
		h.agents.markSuspect(state)
	case state.awaitsDelivery:
		h.agents.markReachable(state)
	}
	state.awaitsDelivery, state.deliveryAgentEpoch = false, heartbeat.AgentEpoch
}

// ResolveDeferredHeartbeats answers or redirects the deferred heartbeats that need not wait any longer.
// It checks them only after a change that they may wait for.
func (h *HeartbeatHandler) ResolveDeferredHeartbeats() {
	if !h.ShouldRecheckDeferredHeartbeats {
		return
	}
	h.ShouldRecheckDeferredHeartbeats = false
	for _, id := range step.SortedKeys(h.agents.deferredHeartbeats) {
		state, entry := h.agents.machineStates[id], h.Replica.Machines[id]
		if state.awaitsOwnership {
			h.resolveUnowned(entry, state)
		} else {
			h.resolveOwned(entry, state)
		}
	}
}

// resolveUnowned checks a deferred heartbeat that arrived while no live incarnation owned its machine.
func (h *HeartbeatHandler) resolveUnowned(entry *storage.Machine, state *MachineState) {
	switch {
	case entry != nil && h.lease.OwnsMachine(&entry.Record):
		state.awaitsOwnership = false
		delete(h.agents.awaitingOwner, state.ID)
		h.agents.TrackOwnedMachine(entry, state.ID)
		heartbeat := state.LatestHeartbeat
		if heartbeat.FencingToken > entry.Record.FencingToken || heartbeat.AgentEpoch < entry.Record.AgentEpoch {
			h.agents.dropDeferredRequest(state)
		} else if !h.isReplicaBehindOwnership(state) {
			h.answerHeartbeat(entry, state)
		}
	case entry != nil && h.Replica.IsAlive(entry.Record.Owner):
		h.agents.redirectDeferred(state, entry.Record.Owner.Controller())
	case h.replication.StoreUnavailable() || h.Since(state.deferredAt) > ownerWaitTimeout:
		h.agents.dropDeferredRequest(state)
	}
}

// resolveOwned checks a deferred heartbeat that arrived while this controller owned its machine.
func (h *HeartbeatHandler) resolveOwned(entry *storage.Machine, state *MachineState) {
	isOwned := entry != nil && h.lease.OwnsMachine(&entry.Record)
	switch {
	case entry != nil && !isOwned && h.Replica.IsAlive(entry.Record.Owner):
		h.agents.redirectDeferred(state, entry.Record.Owner.Controller())
	case !isOwned, state.LatestHeartbeat.FencingToken > entry.Record.FencingToken:
		h.agents.dropDeferredRequest(state)
	case !h.shouldDeferResponse(entry, state):
		h.answerHeartbeat(entry, state)
	}
}

// answerHeartbeat answers the deferred heartbeat with the commands for the agent. It redirects the
// agent instead if the replica may lack writes of the previous owner.
func (h *HeartbeatHandler) answerHeartbeat(entry *storage.Machine, state *MachineState) {
	if h.isReplicaBehindOwnership(state) {
		h.agents.dropDeferredRequest(state)
		return
	}
	commands := h.commandsFor(entry, state, true)
	for _, command := range commands {
		if command.Type == protocol.CommandStart {
			// Until the next heartbeat, the absence of the task is no evidence that it will not run.
			state.InflightStarts[command.Task] = command.Attempt
		}
	}
	token := entry.Record.FencingToken
	state.awaitsDelivery = len(state.InflightStarts) > 0 || state.LatestHeartbeat.FencingToken < token
	body := protocol.Commands{FencingToken: token, Commands: commands}
	h.Emit(step.Reply{RequestID: h.agents.popDeferredRequest(state), Status: http.StatusOK, Body: body.Encode()})
	state.recordAnswer(state.deferredAt, token)
}
