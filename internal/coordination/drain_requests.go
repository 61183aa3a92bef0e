package coordination

import (
	"log/slog"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// DrainRequest asks for a controller to be drained, or to be no longer. It is answered once
// that is on record; asked again it does nothing more.
type DrainRequest struct {
	Req    ReqID
	Member protocol.Member
	Drain  bool
}

// DrainReply answers a DrainRequest.
type DrainReply struct {
	Req   ReqID
	Share ControllerShare // of the controller as it is now
	Err   error
}

// onDrainRequest takes a request in.
func (c *Core) onDrainRequest(v DrainRequest) {
	c.request(&pendingRequest{
		refused: func(err *RequestError) Effect { return DrainReply{Req: v.Req, Err: err} },
		write:   func(b *batch) (Effect, *RequestError) { return c.writeDrain(b, &v) },
	}, c.checkDrain(&v))
}

// checkDrain refuses to drain a controller that nobody knows, and the last one that could
// take machines.
func (c *Core) checkDrain(v *DrainRequest) *RequestError {
	if !v.Drain || c.replica.Draining(v.Member) {
		return nil
	}
	if c.replica.Members[v.Member] == nil {
		return refusal("no controller %q is up", v.Member)
	}
	for member := range c.replica.Members {
		if member != v.Member && !c.replica.Draining(member) {
			return nil
		}
	}
	return refusal("no other controller is up that could take the machines of %q", v.Member)
}

// writeDrain writes one request. It rests on the keys of all other drains, so that two
// requests of the same instant do not drain the last controllers.
func (c *Core) writeDrain(b *batch, v *DrainRequest) (Effect, *RequestError) {
	if v.Drain == c.replica.Draining(v.Member) {
		return DrainReply{Req: v.Req, Share: c.shareOf(v.Member)}, nil
	}
	if err := c.checkDrain(v); err != nil {
		return nil, err
	}
	if !b.hasRoom(1) || b.drains[v.Member] != nil {
		return nil, nil
	}
	change := &drainChange{}
	if v.Drain {
		change.record = &bk.DrainRecord{Since: c.now.Wall}
	}
	b.setDrain(v.Member, change)
	for member := range c.replica.Members {
		b.on(bk.DrainKey(member))
	}
	b.log(slog.LevelInfo, "controller is drained", "controller", string(v.Member), "on", v.Drain)
	return nil, nil
}

// shareOf is what a controller owns.
func (c *Core) shareOf(member protocol.Member) ControllerShare {
	share := ControllerShare{Member: member, Draining: c.replica.Draining(member)}
	if e := c.replica.Members[member]; e != nil {
		share.Run, share.Moves = e.Rec.Run, e.Rec.Moves
	}
	for _, p := range c.replica.Pages {
		if share.Run != "" && p.Owner == share.Run {
			share.Pages++
			share.Machines += len(p.Machines)
		}
	}
	return share
}
