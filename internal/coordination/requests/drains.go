package requests

import (
	"log/slog"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// DrainRequest asks for a controller to be drained, or its drain to be ended. It is answered once
// that is on record; asked again it does nothing more.
type DrainRequest struct {
	Req        step.RequestID
	Controller protocol.ControllerID
	Drain      bool
}

// DrainReply answers a DrainRequest.
type DrainReply struct {
	Req    step.RequestID
	Status ControllerStatus // of the controller as it is now
	Err    error
}

// OnDrainRequest takes a request in.
func (o *OperatorRequests) OnDrainRequest(v DrainRequest) {
	o.enqueue(&operatorRequest{
		rejection: func(err *RequestError) step.Effect { return DrainReply{Req: v.Req, Err: err} },
		tryWrite:  func(b *commit.Batch) (step.Effect, *RequestError) { return o.writeDrain(b, &v) },
	}, o.checkDrain(&v))
}

// checkDrain refuses to drain a controller that is not registered, and the last one that could own
// machines.
func (o *OperatorRequests) checkDrain(v *DrainRequest) *RequestError {
	if !v.Drain || o.Replica.IsDraining(v.Controller) {
		return nil
	}
	if o.Replica.Controllers[v.Controller] == nil {
		return newUnknownControllerError(v.Controller)
	}
	for controller := range o.Replica.Controllers {
		if controller != v.Controller && !o.Replica.IsDraining(controller) {
			return nil
		}
	}
	return newPermanentError("no other controller is up that could take the machines of %q", v.Controller)
}

// writeDrain puts a request into the batch, or answers it if it is on record. The write depends on
// the drain keys of all controllers, so that two requests of the same instant do not drain the
// last two.
func (o *OperatorRequests) writeDrain(b *commit.Batch, v *DrainRequest) (step.Effect, *RequestError) {
	if v.Drain == o.Replica.IsDraining(v.Controller) {
		return DrainReply{Req: v.Req, Status: o.controllerStatus(v.Controller)}, nil
	}
	if err := o.checkDrain(v); err != nil {
		return nil, err
	}
	if !b.HasCapacity(1) || b.ChangesDrain(v.Controller) {
		return nil, nil
	}
	change := &commit.DrainChange{}
	if v.Drain {
		change.Record = &storage.DrainRecord{Since: o.Now.Wall}
	}
	b.SetDrain(v.Controller, change)
	for controller := range o.Replica.Controllers {
		b.DependOn(storage.DrainKey(controller))
	}
	b.Log(slog.LevelInfo, "controller drain changed", "controller", string(v.Controller), "draining", v.Drain)
	return nil, nil
}
