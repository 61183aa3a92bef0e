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
		// A copy of a heartbeat may outlive its machine. Only an agent that answers shows that
		// the machine still exists.
		h.calls.probeForAdoption(state, heartbeat.Addr)
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
	state := h.agents.TrackOwnedMachine(entry, heartbeat.Machine)
	if h.isDelayedOrDuplicate(entry, state, heartbeat) {
		h.agents.replyRedirect(requestID, "")
		return
	}
	h.agents.dropDeferredRequest(state)
	state.advanceTo(heartbeat.AgentEpoch, heartbeat.Sequence)
	h.processDeliveryEvidence(state, heartbeat)
	// An agent has one heartbeat in flight at a time: it has carried out the last response, or
	// dropped it, before it sent this one. From here on what this heartbeat lacks is proof.
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

// isDelayedOrDuplicate tells whether a heartbeat was delivered after one that its agent sent later, or the
// same again. Its agent no longer waits for the response, so nothing may rest on it.
func (h *HeartbeatHandler) isDelayedOrDuplicate(
	entry *storage.Machine, state *MachineState, heartbeat *protocol.Heartbeat,
) bool {
	return state.isOutOfOrder(heartbeat.AgentEpoch, heartbeat.Sequence) ||
		entry != nil && heartbeat.AgentEpoch < entry.Record.AgentEpoch
}

// processDeliveryEvidence notices an agent whose heartbeats arrive while responses may not reach
// it: it does not show the token, nor the starts, that the last response had, or it has begun a
// new agent epoch. Whether commands arrive is then tested with a direct call.
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

// ResolveDeferredHeartbeats answers the heartbeats that need not wait any longer, if anything
// has changed that they may wait for.
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

// resolveUnowned looks after a heartbeat that came while no live incarnation owned its machine.
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

// resolveOwned looks after a heartbeat that came while this controller owned its machine.
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

// answerHeartbeat answers the deferred heartbeat with the commands.
func (h *HeartbeatHandler) answerHeartbeat(entry *storage.Machine, state *MachineState) {
	if h.isReplicaBehindOwnership(state) {
		h.agents.dropDeferredRequest(state)
		return
	}
	commands := h.commandsFor(entry, state, true)
	for _, command := range commands {
		if command.Type == protocol.CommandStart {
			// Until the next heartbeat the task's absence proves nothing.
			state.InflightStarts[command.Task] = command.Attempt
		}
	}
	token := entry.Record.FencingToken
	state.awaitsDelivery = len(state.InflightStarts) > 0 || state.LatestHeartbeat.FencingToken < token
	body := protocol.Commands{FencingToken: token, Commands: commands}
	h.Emit(step.Reply{RequestID: h.agents.popDeferredRequest(state), Status: http.StatusOK, Body: body.Encode()})
	state.recordAnswer(state.deferredAt, token)
}
