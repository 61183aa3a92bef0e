package coordination

import (
	"fmt"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
	"tillerarch/internal/shares"
)

// MoveRequest asks for a page to be moved, or for a move to be aborted. It is answered
// once it is on record, with the move as it is there; asked again under the same name it
// does nothing more.
type MoveRequest struct {
	Req   ReqID
	Name  string          // of the move
	Abort bool            // end the move of that name instead
	Page  bk.PageID       // which page; or
	Of    protocol.Member // any one of this controller's
	To    protocol.Member
}

// maxMoveName is the longest name of a move, in bytes.
const maxMoveName = 100

// MoveReply answers a MoveRequest.
type MoveReply struct {
	Req  ReqID
	Move bk.MoveRecord
	Err  error
}

// SharesRequest asks who owns which machines, and which moves there are.
type SharesRequest struct{ Req ReqID }

// SharesReply answers a SharesRequest from one revision of the records.
type SharesReply struct {
	Req      ReqID
	Revision protocol.Rev
	Stale    bool // the state service may have gone on without this controller
	Members  []ControllerShare
	Pages    []PageShare
	Moves    []bk.MoveRecord
	Plan     []shares.Move // what this controller would begin now
}

// ControllerShare is what a controller owns.
type ControllerShare struct {
	Member   protocol.Member
	Run      bk.Run
	Pages    int
	Machines int
	Moves    bool // its version takes part in moves on record
	Draining bool
}

// PageShare is a page with its owner.
type PageShare struct {
	Page     bk.PageID
	Owner    bk.Run
	Epoch    bk.Epoch
	Machines int
	Tasks    int
}

// noPart refuses a move from or to a controller that would not act on its record.
func noPart(member protocol.Member) *RequestError {
	return refusal("controller %q runs a version, or with settings, that take no part in moves on record", member)
}

// onMoveRequest takes a request in.
func (c *Core) onMoveRequest(v MoveRequest) {
	c.request(&pendingRequest{
		refused: func(err *RequestError) Effect { return MoveReply{Req: v.Req, Err: err} },
		write: func(b *batch) (Effect, *RequestError) {
			move, done, err := c.writeMoveRequest(b, &v)
			if !done || err != nil {
				return nil, err
			}
			return MoveReply{Req: v.Req, Move: move}, nil
		},
	}, c.checkMoveRequest(&v))
}

// checkMoveRequest refuses what can be refused from the records at once.
func (c *Core) checkMoveRequest(v *MoveRequest) *RequestError {
	if v.Name == "" || len(v.Name) > maxMoveName {
		return refusal("a move needs a name of 1 to %d bytes", maxMoveName)
	}
	if v.Abort || c.moveNamed(v.Name) != nil {
		return nil
	}
	if !c.cfg.RecordMoves {
		return refusal("moves are not on record here: moves.recorded is off")
	}
	if v.Of != "" && c.replica.Members[v.Of] == nil {
		return refusal("no controller %q is up", v.Of)
	}
	taker := c.replica.Members[v.To]
	switch {
	case taker == nil:
		return refusal("no controller %q is up", v.To)
	case v.Page != "" && c.replica.Pages[v.Page] == nil:
		return refusal("no page %q", v.Page)
	case v.Page == "" && v.Of == "":
		return refusal("neither a page nor a controller to take one from is named")
	}
	return nil
}

// moveNamed gives the newest move of a name.
func (c *Core) moveNamed(name string) *bk.Entry[bk.MoveRecord] {
	var newest *bk.Entry[bk.MoveRecord]
	for _, e := range c.replica.Moves {
		if e.Rec.Name == name && (newest == nil || e.Stamp > newest.Stamp) {
			newest = e
		}
	}
	return newest
}

// writeMoveRequest writes one request. done: it is on record.
func (c *Core) writeMoveRequest(b *batch, r *MoveRequest) (move bk.MoveRecord, done bool, err *RequestError) {
	if e := c.moveNamed(r.Name); e != nil {
		if !r.Abort || e.Rec.Phase == bk.MoveAborted {
			return e.Rec, true, nil
		}
		if !e.Rec.Phase.Pending() {
			return e.Rec, false, refusal("the move is %s already", e.Rec.Phase)
		}
		c.abortMove(b, r.Name)
		return e.Rec, false, nil
	}
	if r.Abort {
		return move, false, refusal("no move %q", r.Name)
	}
	page, err := c.requestedPage(r)
	if err != nil {
		return move, false, err
	}
	taker := c.replica.Members[r.To]
	if taker == nil {
		return move, false, refusal("controller %q has ended", r.To)
	}
	from := c.replica.Pages[page].Owner
	for _, member := range []protocol.Member{from.Member(), r.To} {
		if !c.replica.Members[member].Rec.Moves {
			return move, false, noPart(member)
		}
	}
	if b.hasRoom(1) {
		c.openMove(b, shares.Move{Page: page, From: from, To: taker.Rec.Run}, bk.MoveProposed, "asked for by the operator", r.Name)
	}
	return move, false, nil
}

// abortMove writes the end of a pending move.
func (c *Core) abortMove(b *batch, name string) {
	for _, slot := range sorted(c.replica.Moves) {
		e := c.replica.Moves[slot]
		if e.Rec.Name == name && e.Rec.Phase.Pending() && b.moves[slot] == nil {
			c.stepMove(b, slot, shares.Step{Phase: bk.MoveAborted, Why: shares.WhyOperator})
		}
	}
}

// requestedPage is the page that a request means: the one it names, or one of the
// controller that it names with the fewest machines.
func (c *Core) requestedPage(r *MoveRequest) (bk.PageID, *RequestError) {
	if r.Page == "" {
		return c.smallestPage(r)
	}
	page := c.replica.Pages[r.Page]
	switch {
	case page == nil:
		return "", refusal("no page %q", r.Page)
	case !c.replica.Alive(page.Owner):
		return "", transient("the page's owner has ended; another controller takes it over")
	case page.Owner.Member() == r.To:
		return "", refusal("the page is %q's already", r.To)
	}
	if _, move := c.replica.MoveOf(r.Page); move != nil {
		return "", transient(fmt.Sprintf("the page is on its way with move %q", move.Rec.Name))
	}
	return r.Page, nil
}

func (c *Core) smallestPage(r *MoveRequest) (best bk.PageID, err *RequestError) {
	if r.Of == r.To {
		return "", refusal("giver and taker are the same")
	}
	for _, id := range sorted(c.replica.Pages) {
		page := c.replica.Pages[id]
		if _, move := c.replica.MoveOf(id); move != nil || page.Owner.Member() != r.Of || !c.replica.Alive(page.Owner) {
			continue
		}
		if best == "" || len(page.Machines) < len(c.replica.Pages[best].Machines) {
			best = id
		}
	}
	if best == "" {
		return "", transient(fmt.Sprintf("%q has no page that could move", r.Of))
	}
	return best, nil
}

// onSharesRequest tells who owns what, as of the replica's revision.
func (c *Core) onSharesRequest(v SharesRequest) {
	reply := SharesReply{Req: v.Req, Revision: c.replica.Rev, Stale: !c.fresh()}
	for _, id := range sorted(c.replica.Pages) {
		p := c.replica.Pages[id]
		share := PageShare{Page: id, Owner: p.Owner, Epoch: p.Epoch, Machines: len(p.Machines)}
		for _, mid := range p.Machines {
			if e := c.replica.Machines[mid]; e != nil {
				for i := range e.Rec.Assigned {
					share.Tasks += e.Rec.Assigned[i].Tasks.Len()
				}
			}
		}
		reply.Pages = append(reply.Pages, share)
	}
	for _, member := range sorted(c.replica.Members) {
		reply.Members = append(reply.Members, c.shareOf(member))
	}
	for _, slot := range sorted(c.replica.Moves) {
		reply.Moves = append(reply.Moves, c.replica.Moves[slot].Rec)
	}
	if c.registered() {
		policy := shares.Policy{MaxMoves: 2 * maxArriving, MaxArriving: maxArriving, ByDemand: c.cfg.MoveByDemand}
		reply.Plan = shares.Plan(c.shareSnapshot(c.strained()), policy)
	}
	c.emit(reply)
}
