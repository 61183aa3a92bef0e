package agents

import (
	"net/http"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// deferredResponse is the heartbeat request of an agent whose response is deferred.
type deferredResponse struct {
	DeferredRequest  step.RequestID   // the waiting request, zero if none waits
	deferredAt       protocol.Instant // when the request was received
	awaitsOwnership  bool             // whether the request waits until the machine has an owner
	HasAnsweredProbe bool             // whether the agent of a machine without a record has answered a probe
}

// isDeferred reports whether a heartbeat waits for its response.
func (d *deferredResponse) isDeferred() bool { return d.DeferredRequest != 0 }

// AwaitingOwner returns the machines whose deferred heartbeats wait until an owner is recorded. The
// caller must not modify the map.
func (at *Table) AwaitingOwner() map[protocol.MachineID]bool { return at.awaitingOwner }

// deferResponse defers the response to a heartbeat.
func (at *Table) deferResponse(state *MachineState, requestID step.RequestID, awaitsOwnership bool) {
	state.DeferredRequest, state.deferredAt, state.awaitsOwnership = requestID, at.Now.Monotonic, awaitsOwnership
	at.deferredHeartbeats[state.ID] = true
	if awaitsOwnership {
		at.awaitingOwner[state.ID] = true
	}
}

// popDeferredRequest removes the waiting request of a machine and returns it. The caller must answer
// the request.
func (at *Table) popDeferredRequest(state *MachineState) step.RequestID {
	requestID := state.DeferredRequest
	state.DeferredRequest = 0
	delete(at.deferredHeartbeats, state.ID)
	delete(at.awaitingOwner, state.ID)
	return requestID
}

// dropDeferredRequest redirects the agent to any controller if its heartbeat waits for a response.
func (at *Table) dropDeferredRequest(state *MachineState) {
	if state.isDeferred() {
		at.redirectDeferred(state, "")
	}
}

// redirectDeferred answers the waiting heartbeat with a redirect to the machine's owner.
func (at *Table) redirectDeferred(state *MachineState, owner protocol.ControllerID) {
	at.replyRedirect(at.popDeferredRequest(state), owner)
}

// replyRedirect redirects an agent to the owner of its machine, or to any controller if the owner is
// empty.
func (at *Table) replyRedirect(requestID step.RequestID, owner protocol.ControllerID) {
	at.Reply(requestID, http.StatusMisdirectedRequest, protocol.Redirect{Controller: owner})
}
