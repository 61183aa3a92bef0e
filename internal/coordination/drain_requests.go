package coordination

import (
	"log/slog"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// SetDrainingRequest asks for a controller to be drained, or to be no longer. It is answered once
// that is on record; asked again it does nothing more.
type DrainRequest struct {
	Req        RequestID
	Controller protocol.ControllerID
	Drain      bool
}

// DrainReply answers a SetDrainingRequest.
type DrainReply struct {
	Req    RequestID
	Status ControllerStatus // of the controller as it is now
	Err    error
}

// onDrainRequest takes a request in.
func (c *Core) onDrainRequest(v DrainRequest) {
	c.enqueueOperatorRequest(&operatorRequest{
		rejection: func(err *RequestError) Effect { return DrainReply{Req: v.Req, Err: err} },
		tryWrite:  func(b *batch) (Effect, *RequestError) { return c.writeDrain(b, &v) },
	}, c.checkDrain(&v))
}

// checkDrain refuses to drain a controller that nobody knows, and the last one that could
// take machines.
func (c *Core) checkDrain(v *DrainRequest) *RequestError {
	if !v.Drain || c.replica.IsDraining(v.Controller) {
		return nil
	}
	if c.replica.Controllers[v.Controller] == nil {
		return newPermanentError("no controller %q is up", v.Controller)
	}
	for controller := range c.replica.Controllers {
		if controller != v.Controller && !c.replica.IsDraining(controller) {
			return nil
		}
	}
	return newPermanentError("no other controller is up that could take the machines of %q", v.Controller)
}

// writeDrain writes one request. It rests on the keys of all other drains, so that two
// requests of the same instant do not drain the last controllers.
func (c *Core) writeDrain(b *batch, v *DrainRequest) (Effect, *RequestError) {
	if v.Drain == c.replica.IsDraining(v.Controller) {
		return DrainReply{Req: v.Req, Status: c.controllerStatus(v.Controller)}, nil
	}
	if err := c.checkDrain(v); err != nil {
		return nil, err
	}
	if !b.hasCapacity(1) || b.drains[v.Controller] != nil {
		return nil, nil
	}
	change := &drainChange{}
	if v.Drain {
		change.record = &storage.DrainRecord{Since: c.now.Wall}
	}
	b.setDrain(v.Controller, change)
	for controller := range c.replica.Controllers {
		b.dependOn(storage.DrainKey(controller))
	}
	b.log(slog.LevelInfo, "controller is drained", "controller", string(v.Controller), "on", v.Drain)
	return nil, nil
}

// controllerStatus is what a controller owns.
func (c *Core) controllerStatus(controller protocol.ControllerID) ControllerStatus {
	status := ControllerStatus{ID: controller, Draining: c.replica.IsDraining(controller)}
	if e := c.replica.Controllers[controller]; e != nil {
		status.Incarnation, status.RecordsTransfers = e.Record.Incarnation, e.Record.SupportsTransfers
	}
	for _, shard := range c.replica.Shards {
		if status.Incarnation != "" && shard.Owner == status.Incarnation {
			status.Shards++
			status.Machines += len(shard.Machines)
		}
	}
	return status
}
