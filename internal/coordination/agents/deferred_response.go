package agents

import (
	"net/http"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// deferredResponse is the request of an agent whose response waits.
type deferredResponse struct {
	DeferredRequest  step.RequestID // 0: none waits
	deferredAt       protocol.Instant
	awaitsOwnership  bool // it waits until this controller owns the machine
	HasAnsweredProbe bool // the agent of a machine that is on no record has answered a probe from here
}

// isDeferred tells whether a heartbeat waits for its response.
func (d *deferredResponse) isDeferred() bool { return d.DeferredRequest != 0 }

// AwaitingOwner lists the machines whose deferred heartbeats wait until an owner is on record.
// It is not to be changed.
func (at *Table) AwaitingOwner() map[protocol.MachineID]bool { return at.awaitingOwner }

// deferResponse lets a heartbeat wait for its response.
func (at *Table) deferResponse(state *MachineState, requestID step.RequestID, awaitsOwnership bool) {
	state.DeferredRequest, state.deferredAt, state.awaitsOwnership = requestID, at.Now.Monotonic, awaitsOwnership
	at.deferredHeartbeats[state.ID] = true
	if awaitsOwnership {
		at.awaitingOwner[state.ID] = true
	}
}

// popDeferredRequest gives the waiting heartbeat to whoever answers it now.
func (at *Table) popDeferredRequest(state *MachineState) step.RequestID {
	requestID := state.DeferredRequest
	state.DeferredRequest = 0
	delete(at.deferredHeartbeats, state.ID)
	delete(at.awaitingOwner, state.ID)
	return requestID
}

// dropDeferredRequest sends the agent whose heartbeat waits, if one does, to any controller.
func (at *Table) dropDeferredRequest(state *MachineState) {
	if state.isDeferred() {
		at.redirectDeferred(state, "")
	}
}

// redirectDeferred answers the waiting heartbeat with the name of the machine's owner.
func (at *Table) redirectDeferred(state *MachineState, owner protocol.ControllerID) {
	at.replyRedirect(at.popDeferredRequest(state), owner)
}

// replyRedirect sends an agent to another controller, or to any if the owner is unknown.
func (at *Table) replyRedirect(requestID step.RequestID, owner protocol.ControllerID) {
	at.Reply(requestID, http.StatusMisdirectedRequest, protocol.Redirect{Controller: owner})
}
