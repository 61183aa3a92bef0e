package coordination

import (
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
	"tillerarch/internal/shares"
)

// ownership is what this process knows of how machines change their owners, beyond the
// records. What is to change is decided in package shares; this file and moves.go put it
// into transactions.
type ownership struct {
	deadAt  map[bk.Run]protocol.Instant // since when a run is known to be dead
	handing map[protocol.MachineID]bool // owned ones whose workers report to another controller
	gaveAt  protocol.Instant            // when machines last left because this controller was no good for them
}

func newOwnership() ownership {
	return ownership{deadAt: map[bk.Run]protocol.Instant{}, handing: map[protocol.MachineID]bool{}}
}

// unfitFor is how long a controller that was no good for its machines is given none.
const unfitFor = time.Minute

// fit tells whether this controller may be given machines.
func (c *Core) fit() bool {
	return c.strainAt == 0 && (c.ownership.gaveAt == 0 || c.since(c.ownership.gaveAt) > unfitFor)
}

// tickRuns notes since when runs are dead, so that takeovers spread out.
func (c *Core) tickRuns() {
	seen := map[bk.Run]bool{}
	note := func(r bk.Run) {
		if c.replica.Alive(r) {
			return // nobody's things are a dead run's too
		}
		seen[r] = true
		if _, ok := c.ownership.deadAt[r]; !ok {
			c.ownership.deadAt[r] = c.now.Steady
		}
	}
	for _, p := range c.replica.Pages {
		note(p.Owner)
	}
	for _, j := range c.replica.Open {
		note(j.Rec.Claim)
	}
	for r := range c.ownership.deadAt {
		if !seen[r] {
			delete(c.ownership.deadAt, r)
		}
	}
}

// heir tells whether this node is the one to take over what key names.
func (c *Core) heir(key string) bool {
	return c.heirAmong(key, func(protocol.Member) bool { return true })
}

// heirAmong tells the same where some controllers come before all others.
func (c *Core) heirAmong(key string, first func(protocol.Member) bool) bool {
	var living, preferred []protocol.Member
	for member, e := range c.replica.Members {
		if e.Rec.Run == "" {
			continue
		}
		living = append(living, member)
		if first(member) {
			preferred = append(preferred, member)
		}
	}
	if len(preferred) > 0 {
		living = preferred
	}
	return shares.Heir(living, key) == c.cfg.Member
}

// pageHeir tells whether this node is the one to take over a page: one that is on its
// way falls to the controller to which it goes.
func (c *Core) pageHeir(id bk.PageID) bool {
	if _, move := c.replica.MoveOf(id); move != nil && move.Rec.Phase.Pending() && c.replica.Alive(move.Rec.To) {
		return move.Rec.To == c.run
	}
	return c.heirAmong(bk.PageKey(id), func(m protocol.Member) bool { return !c.replica.Draining(m) })
}

// writeOwners writes what changes of ownership there are: machines that report here and
// have no owner, pages whose owner is dead and that fall to this node, moves.
func (c *Core) writeOwners(b *batch) {
	c.writeAdoptions(b)
	if len(c.ownership.deadAt) > 0 {
		c.writeTakeovers(b)
	}
	c.writeMoves(b)
	c.writeRequests(b)
	if len(c.ownership.deadAt) == 0 {
		c.planMoves(b)
	}
}

// writeAdoptions puts machines that report here and are on no record on a page, and takes
// over the pages of those whose owner is dead.
func (c *Core) writeAdoptions(b *batch) {
	for _, id := range sorted(c.adopting) {
		m := c.machines[id]
		if !b.canAdd() {
			break
		}
		e := c.replica.Machines[id]
		if e == nil {
			if !m.shown {
				continue
			}
			b.add(id, &bk.MachineRecord{Session: m.rep.Session, Addr: m.rep.Addr, Type: m.rep.Type, Zone: m.rep.Zone,
				Spot: m.rep.Spot, Since: c.now.Wall}, m.rep.FencingToken)
			b.log(slog.LevelInfo, "machine adopted", "machine", string(id), "type", string(m.rep.Type), "zone", string(m.rep.Zone))
		} else if at, dead := c.ownership.deadAt[e.Rec.Owner]; dead && b.hasRoom(c.takeoverOps(e.Rec.Page)) &&
			shares.TakeoverDue(c.since(at), c.pageHeir(e.Rec.Page), true) {
			// Not whoever hears of it first: when all come back, the first one
			// would have the whole fleet.
			c.takeOver(b, e.Rec.Page, m.rep.FencingToken)
		}
	}
}

// writeTakeovers takes over the pages of dead runs that fall to this node.
func (c *Core) writeTakeovers(b *batch) {
	for _, id := range sorted(c.replica.Pages) {
		p := c.replica.Pages[id]
		at, dead := c.ownership.deadAt[p.Owner]
		if !dead || b.pages[id] != nil || !b.hasRoom(c.takeoverOps(id)) || !shares.TakeoverDue(c.since(at), c.pageHeir(id), false) {
			continue
		}
		c.takeOver(b, id, 0)
	}
}

// takeoverOps is how many changes it takes to take over a page, and to end its move.
func (c *Core) takeoverOps(id bk.PageID) int {
	ops := c.pageOps(id)
	if _, move := c.replica.MoveOf(id); move != nil && move.Rec.Phase.Pending() {
		ops++
	}
	return ops
}

// takeOver makes this run the owner of a page, with all machines on it. A move that the
// dead owner had begun ends with it.
func (c *Core) takeOver(b *batch, id bk.PageID, above protocol.FencingToken) {
	d := b.page(id)
	if d.owner == c.run {
		return
	}
	b.log(slog.LevelInfo, "page taken over", "page", string(id), "machines", len(d.ids), "from", string(d.owner), "epoch", uint64(d.epoch+1))
	d.owner = c.run
	d.epoch = max(d.epoch, bk.EpochOf(above)) + 1
	c.endMoveByTakeover(b, id)
}

// givePage makes another run the owner of a page, with all machines on it. It rests on
// that run's key: a page never goes to a run that has ended.
func (c *Core) givePage(b *batch, id bk.PageID, to bk.Run, why string) {
	d := b.page(id)
	b.on(bk.MemberKey(to.Member()))
	d.owner = to
	d.epoch++
	b.log(slog.LevelInfo, "page handed over", "page", string(id), "machines", len(d.ids), "to", string(to), "why", why)
}

// handOver moves machines that report to another controller to a page of it. A
// page most of whose machines do so goes over as a whole: one change, where a node
// that has lost its workers has hundreds to give. There is nothing to prepare: what
// this node sends does not reach those workers.
func (c *Core) handOver(b *batch) {
	ids, wanted := c.straying()
	for _, id := range sorted(wanted) {
		best, all := bk.Run(""), 0
		for _, to := range sorted(wanted[id]) {
			if all += wanted[id][to]; best == "" || wanted[id][to] > wanted[id][best] {
				best = to
			}
		}
		page := c.replica.Pages[id]
		if shares.WholePage(len(page.Machines), all, c.talking(page)) && b.hasRoom(c.pageOps(id)) && b.pages[id] == nil {
			c.ownership.gaveAt = c.now.Steady
			c.givePage(b, id, best, shares.WhyReportThere)
		}
	}
	c.handOverSingly(b, ids)
}

// straying lists the owned machines whose workers report to another controller and not
// here, and for each page how many report to which.
func (c *Core) straying() (ids []protocol.MachineID, wanted map[bk.PageID]map[bk.Run]int) {
	wanted = map[bk.PageID]map[bk.Run]int{}
	for _, id := range sorted(c.ownership.handing) {
		e := c.replica.Machines[id]
		if e == nil || !c.mine(&e.Rec) {
			delete(c.ownership.handing, id)
			continue
		}
		// What an earlier ownership was told is forgotten first.
		m := c.own(e, id)
		if m.handTo == "" || c.since(m.handAt) > c.cfg.Report+4*time.Second {
			delete(c.ownership.handing, id)
			continue
		}
		if !c.quiet(m) || !c.replica.Alive(m.handTo) || e.Rec.Releasing {
			continue
		}
		if wanted[e.Rec.Page] == nil {
			wanted[e.Rec.Page] = map[bk.Run]int{}
		}
		wanted[e.Rec.Page][m.handTo]++
		ids = append(ids, id)
	}
	return ids, wanted
}

// handOverSingly moves machines to new pages of the controllers that their workers reach.
func (c *Core) handOverSingly(b *batch, ids []protocol.MachineID) {
	to := map[bk.Run]bk.PageID{}
	for _, id := range ids {
		m, e := c.machines[id], c.replica.Machines[id]
		if d := b.pages[e.Rec.Page]; d != nil && d.owner != c.run || !b.hasRoom(2) {
			continue
		}
		// A page takes what fits into a value, whatever still begins there.
		if page := to[m.handTo]; page == "" || b.pages[page].size+c.written(len(c.replica.Line(id))) > c.limits().ValueBytes*3/4 {
			to[m.handTo] = b.newPage(m.handTo, e.Rec.Epoch+1)
			b.on(bk.MemberKey(m.handTo.Member()))
		}
		if page := to[m.handTo]; b.pages[page].epoch > e.Rec.Epoch {
			b.move(id, page)
			b.machines[id].Drain = false
			c.ownership.gaveAt = c.now.Steady
			b.log(slog.LevelInfo, "machine handed over, its worker reports there", "machine", string(id), "to", string(m.handTo))
		}
	}
}

// talking counts the machines of an own page whose workers have been heard of lately.
func (c *Core) talking(p *bk.Page) (n int) {
	for _, id := range p.Machines {
		if e := c.replica.Machines[id]; e != nil && e.Rec.Session > 0 && !c.quiet(c.own(e, id)) {
			n++
		}
	}
	return n
}
