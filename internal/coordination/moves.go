package coordination

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
	"tillerarch/internal/shares"
)

// A page of machines goes to another controller while its jobs run. Where moves are on
// record (`moves.recorded`), the giver first lets the page come to rest: nothing new is
// placed there, no start is sent, and it waits until its workers have reported behind the
// last one. Else, and where there is no time for it, the page passes in one write; what
// was on its way is then settled by the taker, on the usual proofs.

// moveWatch is since when this process has seen a move in its phase.
type moveWatch struct {
	stamp protocol.Stamp
	since protocol.Instant
}

// Bounds of the moves under way.
const (
	maxArriving  = 2 // to one controller
	maxPlanned   = 1 // of one plan
	gangPatience = 10 * time.Second
)

// moveLimits are how long a move may stay in each phase.
func (c *Core) moveLimits() shares.Limits {
	settle := c.severalReports() + c.cfg.ReportHold + c.cfg.IdleHold
	return shares.Limits{Gang: gangPatience, Propose: gangPatience + settle, Settle: settle, Show: c.cfg.Lease}
}

// planMoves begins the moves that the load asks for, one at a time: writing what starts
// and ends is the owner's work, and each may write only so much.
func (c *Core) planMoves(b *batch) {
	gap, why := c.cfg.BalanceGap, shares.WhyLoad
	strained := c.strained()
	if strained {
		gap, why = gap/3, shares.WhyStrained
	} else if c.replica.Draining(c.cfg.Member) {
		gap, why = gap/3, shares.WhyDrained
	}
	if c.since(c.lastRebalanceAt) < gap || !b.hasRoom(1) {
		return
	}
	policy := shares.Policy{MaxMoves: maxPlanned, MaxArriving: maxArriving, ByDemand: c.cfg.MoveByDemand}
	for _, move := range shares.Plan(c.shareSnapshot(strained), policy) {
		if b.pages[move.Page] != nil || !b.hasRoom(c.pageOps(move.Page)) {
			continue
		}
		c.lastRebalanceAt = c.now.Steady
		if strained {
			c.ownership.gaveAt = c.now.Steady // and nobody gives it any for a while
		}
		if strained || !c.recordsMoves(move.To) {
			c.givePage(b, move.Page, move.To, why)
		} else {
			c.openMove(b, move, bk.MovePrepared, why, "")
		}
	}
}

// recordsMoves tells whether a move to a run goes on record: not if its version does not
// know the records.
func (c *Core) recordsMoves(to bk.Run) bool {
	e := c.replica.Members[to.Member()]
	return c.cfg.RecordMoves && e != nil && e.Rec.Moves
}

// shareSnapshot is what moves are planned from.
func (c *Core) shareSnapshot(strained bool) shares.Snapshot {
	s := shares.Snapshot{Self: c.run, Arriving: map[bk.Run]int{}}
	demand := c.demandByClaim()
	s.Controllers = append(s.Controllers, shares.Controller{Run: c.run, Strained: strained, Demand: demand[c.run],
		Draining: c.replica.Draining(c.cfg.Member)})
	for member, p := range c.peers {
		if c.since(p.at) <= 3*time.Second && p.hint.StateOK && p.hint.Fit && c.replica.Alive(p.hint.Run) {
			s.Controllers = append(s.Controllers, shares.Controller{Run: p.hint.Run, Fit: true, Demand: demand[p.hint.Run],
				Draining: c.replica.Draining(member)})
		}
	}
	onTheWay := map[bk.PageID]bk.Run{}
	for _, e := range c.replica.Moves {
		if e.Rec.Phase.Open() {
			s.Arriving[e.Rec.To]++
			onTheWay[e.Rec.Page] = e.Rec.To
		}
	}
	kept := c.keptForGangs()
	for id, p := range c.replica.Pages {
		page := shares.Page{ID: id, Owner: p.Owner, Size: 1, Fixed: len(p.Machines) == 0}
		if to, moving := onTheWay[id]; moving {
			page.Owner, page.Fixed = to, true
		} else if p.Owner == c.run && !page.Fixed {
			page.Cost, page.Fixed = c.moveCost(p, kept)
		}
		s.Pages = append(s.Pages, page)
	}
	return s
}

// moveCost is what a move of an own page would hold up: the tasks that it has yet to
// start. fixed: machines of it are kept for a gang.
func (c *Core) moveCost(p *bk.Page, kept map[protocol.MachineID]bool) (cost float64, fixed bool) {
	if !c.cfg.RecordMoves {
		return 0, false // nothing is held up
	}
	for _, id := range p.Machines {
		if kept[id] {
			return 0, true
		}
		if e, m := c.replica.Machines[id], c.machines[id]; e != nil && m != nil {
			cost += float64(len(m.inflight))
		}
	}
	return cost, false
}

// keptForGangs lists the machines on which room is made for gangs.
func (c *Core) keptForGangs() map[protocol.MachineID]bool {
	kept := map[protocol.MachineID]bool{}
	for _, e := range c.replica.Open {
		if e.Rec.Desc.Gang() {
			for _, id := range e.Rec.Room {
				kept[id] = true
			}
		}
	}
	return kept
}

// demandByClaim is how many cores the unfinished jobs of each controller ask for, as far
// as any machine can be meant.
func (c *Core) demandByClaim() map[bk.Run]float64 {
	demand := map[bk.Run]float64{}
	if c.cfg.MoveByDemand == 0 {
		return demand
	}
	for id, e := range c.replica.Open {
		if !e.Rec.CalledOff() {
			demand[e.Rec.Claim] += float64(e.Rec.Desc.Tasks-c.replica.Done(id).Len()) * e.Rec.Desc.Cores
		}
	}
	return demand
}

// openMove puts a move on record, in a slot of its taker that no open move has. It rests
// on the keys of both runs and on the page.
func (c *Core) openMove(b *batch, move shares.Move, phase bk.MovePhase, why, name string) {
	slot, ok := c.freeSlot(b, move.To.Member())
	if !ok {
		return // all are taken; it is tried again
	}
	if name == "" {
		c.lastTransferNumber++
		name = fmt.Sprintf("%s-%d", c.run, c.lastTransferNumber)
	}
	record := bk.MoveRecord{Name: name, Page: move.Page, From: move.From, To: move.To, Phase: phase, Why: why,
		Machines: len(c.replica.Pages[move.Page].Machines), Begun: c.now.Wall}
	if phase == bk.MovePrepared {
		record.Held = c.now.Wall
	}
	b.putMove(slot, &record)
	b.on(bk.PageKey(move.Page))
	b.on(bk.MemberKey(move.From.Member()))
	b.on(bk.MemberKey(move.To.Member()))
	b.log(slog.LevelInfo, "move of machines begins", "move", name, "page", string(move.Page), "machines", record.Machines,
		"from", string(move.From), "to", string(move.To), "phase", string(phase), "why", why)
}

// freeSlot gives the slot of a taker whose move ended first, or that never had one.
func (c *Core) freeSlot(b *batch, taker protocol.Member) (best bk.MoveSlot, ok bool) {
	var oldest protocol.Stamp
	for n := range bk.MoveSlots {
		slot := bk.NewMoveSlot(taker, n)
		if e := c.replica.Moves[slot]; b.moves[slot] != nil || e != nil && e.Rec.Phase.Open() {
			continue
		}
		if stamp := c.replica.Stamp(bk.MoveKey(slot)); !ok || stamp < oldest {
			best, oldest, ok = slot, stamp, true
		}
	}
	return best, ok
}

// writeMoves takes the moves on record as far as it is for this controller to do.
func (c *Core) writeMoves(b *batch) {
	if len(c.replica.Moves) == 0 {
		return
	}
	kept := c.keptForGangs()
	for _, slot := range sorted(c.replica.Moves) {
		e := c.replica.Moves[slot]
		watch := c.transferObservations[slot]
		if watch.stamp != e.Stamp {
			watch = moveWatch{e.Stamp, c.now.Steady}
			c.transferObservations[slot] = watch
		}
		if !e.Rec.Phase.Open() || b.moves[slot] != nil {
			continue
		}
		progress := c.moveProgress(slot, &e.Rec, kept)
		progress.Age = c.since(watch.since)
		if step := shares.Next(progress, c.moveLimits()); step.Phase != "" {
			c.stepMove(b, slot, step)
		}
	}
}

// moveProgress is how this controller sees a move.
func (c *Core) moveProgress(slot bk.MoveSlot, move *bk.MoveRecord, kept map[protocol.MachineID]bool) shares.Progress {
	p := shares.Progress{Move: *move, Self: c.run, FromAlive: c.replica.Alive(move.From), ToAlive: c.replica.Alive(move.To),
		Heir: c.heir(bk.MoveKey(slot))}
	first, _ := c.replica.MoveOf(move.Page)
	p.Superseded = first != slot
	page := c.replica.Pages[move.Page]
	if page == nil || len(page.Machines) == 0 {
		return p // one without machines is about to be deleted
	}
	p.Owner = page.Owner
	p.GangWaits = slices.ContainsFunc(page.Machines, func(id protocol.MachineID) bool { return kept[id] })
	if page.Owner == c.run {
		p.Settled = move.Phase == bk.MovePrepared && c.pageSettled(page)
		p.Shown = move.Phase == bk.MoveTransferred && c.pageShown(page)
	}
	return p
}

// pageSettled tells whether nothing that this owner has sent to the page's workers is on
// its way, and whether they do what cancellations want. A worker that is silent is not
// waited for: an answer that it has not carried out within seconds it never will.
func (c *Core) pageSettled(page *bk.Page) bool {
	return c.eachTalking(page, func(e *bk.Machine, m *mstate) bool {
		return len(m.inflight) == 0 && c.cancellationsSettled(e)
	})
}

// cancellationsSettled tells whether no task of a job that is called off can begin on an
// owned machine any more.
func (c *Core) cancellationsSettled(e *bk.Machine) bool {
	for i := range e.Rec.Assigned {
		if job := e.Rec.Assigned[i].Job; c.calledOff(job) && !c.settled(e.ID, job) {
			return false
		}
	}
	return true
}

// pageShown tells whether the workers of an owned page know its owner: they have shown
// its token, so that an earlier one commands nothing.
func (c *Core) pageShown(page *bk.Page) bool {
	return c.eachTalking(page, func(e *bk.Machine, m *mstate) bool { return bk.EpochOf(m.confirmed) == e.Rec.Epoch })
}

// eachTalking asks the same of all machines of an owned page that are up and not silent.
func (c *Core) eachTalking(page *bk.Page, ask func(*bk.Machine, *mstate) bool) bool {
	for _, id := range page.Machines {
		e := c.replica.Machines[id]
		if e == nil || !c.mine(&e.Rec) || e.Rec.Session == 0 || e.Rec.Releasing {
			continue
		}
		if m := c.own(e, id); !c.silent(m) && !ask(e, m) {
			return false
		}
	}
	return true
}

// stepMove writes the next phase of a move.
func (c *Core) stepMove(b *batch, slot bk.MoveSlot, step shares.Step) {
	before := c.replica.Moves[slot].Rec
	ops := 1
	if step.Phase == bk.MoveTransferred {
		ops += c.pageOps(before.Page)
		if b.pages[before.Page] != nil {
			return // it changes in this transaction already; the next one does it
		}
	}
	if !b.hasRoom(ops) {
		return
	}
	record := before
	record.Phase = step.Phase
	switch step.Phase {
	case bk.MovePrepared:
		record.Held = c.now.Wall
		b.on(bk.PageKey(record.Page))
	case bk.MoveTransferred:
		record.Passed = c.now.Wall
		record.Machines = len(c.replica.Pages[record.Page].Machines)
		c.givePage(b, record.Page, record.To, record.Why)
	case bk.MoveAborted:
		record.Why, record.Ended = step.Why, c.now.Wall
	case bk.MoveClosed:
		record.Ended = c.now.Wall
	}
	b.putMove(slot, &record)
	level := slog.LevelDebug
	if !step.Phase.Open() {
		level = slog.LevelInfo
	}
	b.log(level, "move of machines", "move", record.Name, "page", string(record.Page), "phase", string(record.Phase), "why", record.Why,
		"held_ms", int64(max(record.Passed-record.Held, 0)), "took_ms", int64(max(record.Ended-record.Begun, 0)))
}

// endMoveByTakeover ends the pending move of a page that this run takes over: it is
// where it was to go, or it is over.
func (c *Core) endMoveByTakeover(b *batch, id bk.PageID) {
	slot, e := c.replica.MoveOf(id)
	if e == nil || !e.Rec.Phase.Pending() || b.moves[slot] != nil {
		return
	}
	record := e.Rec
	if record.To == c.run {
		record.Phase, record.Passed = bk.MoveTransferred, c.now.Wall
	} else {
		record.Phase, record.Ended, record.Why = bk.MoveAborted, c.now.Wall, shares.WhyTakenOver
	}
	b.putMove(slot, &record)
}

// movingPages lists the pages that have a move in one of the phases.
func (c *Core) movingPages(in func(bk.MovePhase) bool) map[bk.PageID]bool {
	moving := map[bk.PageID]bool{}
	for _, e := range c.replica.Moves {
		if in(e.Rec.Phase) {
			moving[e.Rec.Page] = true
		}
	}
	return moving
}

// isPrepared tells whether nothing new may begin on a page with a move in this phase.
func isPrepared(phase bk.MovePhase) bool { return phase == bk.MovePrepared }

// atRest tells whether nothing new may begin on a page. It is asked for each report.
func (c *Core) atRest(page bk.PageID) bool {
	for _, e := range c.replica.Moves {
		if e.Rec.Page == page && isPrepared(e.Rec.Phase) {
			return true
		}
	}
	return false
}
