package requests

import (
	"log/slog"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// DrainRequest begins or ends the drain of a controller. It is answered once the change is recorded
// in the store. A repeated request has no further effect.
type DrainRequest struct {
	RequestID  step.RequestID
	Controller protocol.ControllerID
	Drain      bool // true begins the drain, false ends it
}

// DrainReply answers a DrainRequest.
type DrainReply struct {
	RequestID step.RequestID
	Status    ControllerStatus // the controller's current status
	Err       error
}

// OnDrainRequest queues a drain request, or refuses it.
func (o *OperatorRequests) OnDrainRequest(request DrainRequest) {
	o.enqueue(&operatorRequest{
		newRejection: func(err *RequestError) step.Effect { return DrainReply{RequestID: request.RequestID, Err: err} },
		tryWrite:     func(batch *commit.Batch) (step.Effect, *RequestError) { return o.writeDrain(batch, &request) },
	}, o.checkDrain(&request))
}

// checkDrain refuses the drain of a controller that is not registered, and of the last controller
// that could own machines.
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

// writeDrain writes the requested change into the batch, or returns the answer if the change is
// recorded already. The write is conditional on the drain keys of all controllers, so that two
// simultaneous requests do not drain the last two controllers.
func (o *OperatorRequests) writeDrain(batch *commit.Batch, request *DrainRequest) (step.Effect, *RequestError) {
	if request.Drain == o.Replica.IsDraining(request.Controller) {
		return DrainReply{RequestID: request.RequestID, Status: o.controllerStatus(request.Controller)}, nil
	}
	if err := o.checkDrain(request); err != nil {
		return nil, err
	}
	var drainKeys []string
	for controller := range o.Replica.Controllers {
		drainKeys = append(drainKeys, storage.DrainKey(controller))
	}
	isPostponed := batch.IsPostponed(storage.DrainKey(request.Controller))
	if isPostponed || !batch.HasCapacityWith(1, drainKeys...) || batch.ChangesDrain(request.Controller) {
		return nil, nil
	}
	change := &commit.DrainChange{}
	if request.Drain {
		change.Record = &storage.DrainRecord{Since: o.Now.Wall}
	}
	batch.SetDrain(request.Controller, change)
	for _, key := range drainKeys {
		batch.DependOn(key)
	}
	batch.Log(slog.LevelInfo, "controller drain changed", "controller", string(request.Controller), "draining", request.Drain)
	return nil, nil
}
