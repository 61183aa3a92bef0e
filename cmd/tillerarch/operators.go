package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"tillerarch/internal/admin"
	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
)

// operators answers the admin service by asking the core.
type operators struct{ d *daemon }

// serveOperators listens for operators' tools. A failure there does not end the daemon.
func (d *daemon) serveOperators(address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		slog.Error("admin service is not there", "err", err)
		return
	}
	slog.Info("admin service", "listen", listener.Addr().String())
	err = admin.NewServer(operators{d}).Serve(admin.Limit(listener))
	slog.Error("admin service has ended", "err", err)
}

// askCore hands the core a request of an operator, made for the number that it gets, and
// waits for the answer.
func (d *daemon) askCore(ctx context.Context, request func(coordination.ReqID) coordination.Input) (coordination.Effect, error) {
	answer := make(chan coordination.Effect, 1)
	if !d.offer(message{operator: &operatorRequest{request, answer}}) {
		return nil, &admin.Refusal{Reason: "the controller is overloaded", Again: true}
	}
	select {
	case e := <-answer:
		return e, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// askFor asks the core and wants an answer of a type.
func askFor[Reply coordination.Effect](ctx context.Context, d *daemon, request func(coordination.ReqID) coordination.Input) (reply Reply, err error) {
	e, err := d.askCore(ctx, request)
	if err != nil {
		return reply, err
	}
	reply, ok := e.(Reply)
	if !ok {
		return reply, fmt.Errorf("unexpected answer %T", e)
	}
	return reply, nil
}

// Shares tells who owns which machines.
func (o operators) Shares(ctx context.Context, _ *admin.SharesRequest) (*admin.Shares, error) {
	reply, err := askFor[coordination.SharesReply](ctx, o.d, func(id coordination.ReqID) coordination.Input { return coordination.SharesRequest{Req: id} })
	if err != nil {
		return nil, err
	}
	return sharesMessage(&reply), nil
}

// Move has a move put on record.
func (o operators) Move(ctx context.Context, r *admin.MoveRequest) (*admin.Move, error) {
	return o.move(ctx, coordination.MoveRequest{Name: r.Name, Page: bk.PageID(r.Page), Of: protocol.Member(r.From), To: protocol.Member(r.To)})
}

// Drain has a controller's drain put on record, or its end.
func (o operators) Drain(ctx context.Context, r *admin.DrainRequest) (*admin.Controller, error) {
	reply, err := askFor[coordination.DrainReply](ctx, o.d, func(id coordination.ReqID) coordination.Input {
		return coordination.DrainRequest{Req: id, Member: protocol.Member(r.Member), Drain: r.Drain}
	})
	if err != nil {
		return nil, err
	}
	if reply.Err != nil {
		return nil, asRefusal(reply.Err)
	}
	c := controllerMessage(&reply.Share)
	return &c, nil
}

// asRefusal is why the core refused a request, as tools are told.
func asRefusal(err error) error {
	var refused *coordination.RequestError
	if errors.As(err, &refused) {
		return &admin.Refusal{Reason: refused.Reason, Again: refused.Transient}
	}
	return err
}

// Abort has the end of a move put on record.
func (o operators) Abort(ctx context.Context, r *admin.AbortRequest) (*admin.Move, error) {
	return o.move(ctx, coordination.MoveRequest{Name: r.Name, Abort: true})
}

func (o operators) move(ctx context.Context, request coordination.MoveRequest) (*admin.Move, error) {
	reply, err := askFor[coordination.MoveReply](ctx, o.d, func(id coordination.ReqID) coordination.Input {
		request.Req = id
		return request
	})
	if err != nil {
		return nil, err
	}
	if reply.Err != nil {
		return nil, asRefusal(reply.Err)
	}
	move := moveMessage(&reply.Move)
	return &move, nil
}

func sharesMessage(r *coordination.SharesReply) *admin.Shares {
	s := &admin.Shares{Revision: uint64(r.Revision), Stale: r.Stale}
	for _, c := range r.Members {
		s.Controllers = append(s.Controllers, controllerMessage(&c))
	}
	for _, p := range r.Pages {
		s.Pages = append(s.Pages, admin.Page{Page: string(p.Page), Owner: string(p.Owner), Epoch: uint64(p.Epoch), Machines: p.Machines, Tasks: p.Tasks})
	}
	for i := range r.Moves {
		s.Moves = append(s.Moves, moveMessage(&r.Moves[i]))
	}
	for _, m := range r.Plan {
		s.Plan = append(s.Plan, admin.Planned{Page: string(m.Page), From: string(m.From), To: string(m.To)})
	}
	return s
}

func controllerMessage(c *coordination.ControllerShare) admin.Controller {
	return admin.Controller{Member: string(c.Member), Run: string(c.Run), Pages: c.Pages, Machines: c.Machines, Moves: c.Moves, Draining: c.Draining}
}

func moveMessage(m *bk.MoveRecord) admin.Move {
	return admin.Move{Name: m.Name, Page: string(m.Page), From: string(m.From), To: string(m.To), Phase: string(m.Phase), Why: m.Why,
		Machines: m.Machines, Begun: wall(m.Begun), Prepared: wall(m.Held), Passed: wall(m.Passed), Ended: wall(m.Ended)}
}

// wall is a time on record as a time of day; none stays none.
func wall(at protocol.Millis) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(at)).UTC()
}
