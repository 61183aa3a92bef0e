package requests

import (
	"log/slog"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// DrainRequest begins or ends the drain of a controller. It is answered once that is on record; a
// repeated request has no further effect.
type DrainRequest struct {
	RequestID  step.RequestID
	Controller protocol.ControllerID
	Drain      bool
}

// DrainReply answers a DrainRequest.
type DrainReply struct {
	RequestID step.RequestID
	Status    ControllerStatus // of the controller as it is now
	Err       error
}

// OnDrainRequest queues a request, or refuses it.
func (o *OperatorRequests) OnDrainRequest(request DrainRequest) {
	o.enqueue(&operatorRequest{
		rejection: func(err *RequestError) step.Effect { return DrainReply{RequestID: request.RequestID, Err: err} },
		tryWrite:  func(b *commit.Batch) (step.Effect, *RequestError) { return o.writeDrain(b, &request) },
	}, o.checkDrain(&request))
}

// checkDrain refuses to drain a controller that is not registered, and the last one that could own
// machines.
func (o *OperatorRequests) checkDrain(request *DrainRequest) *RequestError {
	if !request.Drain || o.Replica.IsDraining(request.Controller) {
		return nil
	}
	if o.Replica.Controllers[request.Controller] == nil {
		return newUnknownControllerError(request.Controller)
	}
	for controller := range o.Replica.Controllers {
		if controller != request.Controller && !o.Replica.IsDraining(controller) {
			return nil
		}
	}
	return newPermanentError("no other controller is up that could take the machines of %q", request.Controller)
}

// writeDrain puts a request into the batch, or answers it if it is on record. The write depends on
// the drain keys of all controllers, so that two requests of the same instant do not drain the
// last two.
func (o *OperatorRequests) writeDrain(b *commit.Batch, request *DrainRequest) (step.Effect, *RequestError) {
	if request.Drain == o.Replica.IsDraining(request.Controller) {
		return DrainReply{RequestID: request.RequestID, Status: o.controllerStatus(request.Controller)}, nil
	}
	if err := o.checkDrain(request); err != nil {
		return nil, err
	}
	if !b.HasCapacity(1) || b.ChangesDrain(request.Controller) {
		return nil, nil
	}
	change := &commit.DrainChange{}
	if request.Drain {
		change.Record = &storage.DrainRecord{Since: o.Now.Wall}
	}
	b.SetDrain(request.Controller, change)
	for controller := range o.Replica.Controllers {
		b.DependOn(storage.DrainKey(controller))
	}
	b.Log(slog.LevelInfo, "controller drain changed", "controller", string(request.Controller), "draining", request.Drain)
	return nil, nil
}
