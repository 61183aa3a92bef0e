package coordination

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// A job of shape daemon is a standing service: its tasks are replicas that run until
// their user cancels the job. It is never done, has no end to plan with, and every
// second in which a replica does not run counts. So replicas are urgent at all times,
// go where their image is already, and take the place of lower ranked tasks where that
// is quicker than to fetch an image or to rent a machine.

const (
	// slowFetch is a fetch that takes longer than to make room on a machine which has
	// the image.
	slowFetch = 3 * time.Second
	// smallTypes is how many times the cores of the smallest type that fits a machine
	// may have to take replicas before all others are full: one that never ends would
	// keep gangs off a large machine for good.
	smallTypes = 4
	// replicaRun is what stopping a replica is taken to cost, in seconds of its run.
	replicaRun = 60
	// spotReplica puts spot machines behind all others for replicas.
	spotReplica = 400
	// quickEnd is the time from its placement within which the end of a replica counts as
	// a failure.
	quickEnd = 20 * time.Second
	// Bounds of the pause before a replica of a job that fails again and again.
	firstPause = time.Second
	maxPause   = 30 * time.Second
	// noEnd stands for the end of what does not end.
	noEnd = 24 * time.Hour
	// moveAhead is how long before its machine is taken a replica is stopped, so that
	// it can begin elsewhere at once.
	moveAhead = 3 * time.Second
)

// placeReplicas places the replicas of a daemon that do not run.
func (c *Core) placeReplicas(b *batch, q *queued, rooms []*room) {
	d := q.rec.Desc
	p := replicaPlacement{c: c, b: b, q: q, rooms: rooms, left: min(d.Tasks-q.placed, c.teamRoom(rooms, d)),
		here: map[protocol.MachineID]int{}, used: map[protocol.MachineID]int{}}
	if p.left <= 0 {
		return
	}
	p.ours = c.ours(b, q) && c.now.Steady >= c.jstate(q.id).notBefore && !b.failed[q.id]
	if p.ours {
		p.open = c.openTasks(b, q, p.left)
		p.left = min(p.left, len(p.open))
	}
	for id := range c.replica.On(q.id) {
		for a := range c.replica.Machines[id].Rec.Of(q.id) {
			p.here[id] += a.Tasks.Len()
		}
	}
	q.leaves = c.largeTypes(d)
	warm := func(r *room) bool { return c.fetchTime(r, d) < slowFetch }
	anywhere := func(*room) bool { return true }
	p.onFree(warm)
	p.byStopping(warm)
	p.byChoice(warm)
	// One on each machine that has to fetch the image: the more machines have it, the
	// more of the next replicas begin at once.
	p.spread = true
	p.onFree(anywhere)
	p.spread = false
	p.onFree(anywhere)
	p.byStopping(anywhere)
	p.byChoice(anywhere)
	// To run beside each other is better than not to run.
	p.crowd = true
	p.onFree(anywhere)
	q.leaves = nil
	p.onFree(anywhere)
	if p.left > 0 && q.rec.Claim == c.run {
		c.demand = append(c.demand, unmetDemand{job: q.id, desc: d, tasks: p.left, zone: q.onlyZone(), order: q.order,
			sent: q.rec.Sent, urgent: true})
	}
}

// replicaPlacement is one pass over the replicas of one job.
type replicaPlacement struct {
	c     *Core
	b     *batch
	q     *queued
	rooms []*room
	ours  bool  // this run writes the job's placements
	open  []int // replicas to place, where it does
	left  int
	here  map[protocol.MachineID]int // replicas of the job on a machine
	used  map[protocol.MachineID]int // replicas that the choice on record has been used for
	// How many replicas of the job a machine may have: spread: one; crowd: any number.
	spread, crowd bool
}

// most is how many more replicas of the job the machine should have: half of them at
// most, as long as there are others, so that the loss of one does not stop the service.
func (p *replicaPlacement) most(r *room) int {
	most := (p.q.rec.Desc.Tasks + 1) / 2
	switch {
	case p.spread:
		most = 1
	case p.crowd:
		most = p.q.rec.Desc.Tasks
	}
	return min(max(most-p.here[r.id], 0), p.left, p.q.zoneRoom(r.rec.Zone))
}

// onFree places replicas where there is room.
func (p *replicaPlacement) onFree(good func(*room) bool) {
	if p.left <= 0 {
		return
	}
	for _, r := range p.c.candidates(p.b, p.q, false) {
		if n := min(r.fits(p.q.rec.Desc), p.most(r)); n > 0 && good(r) {
			p.take(r, n)
		}
	}
}

// take places n replicas on a machine that has room for them.
func (p *replicaPlacement) take(r *room, n int) {
	c := p.c
	written := p.ours && !r.coming && c.writable(p.b, r, p.q.rec.Desc)
	c.putTasks(p.b, p.q, r, n, written, p.nextOpen(n))
	p.here[r.id] += n
	p.left -= n
}

func (p *replicaPlacement) nextOpen(n int) []int {
	if !p.ours {
		return nil
	}
	next := p.open[:n]
	p.open = p.open[n:]
	return next
}

// byStopping makes room for replicas on own machines by stopping what ranks lower. The
// claimant of the job chooses among its own machines only: no other controller makes
// room for the same replicas then, and nothing has to be written before.
func (p *replicaPlacement) byStopping(good func(*room) bool) {
	if p.left <= 0 || !p.ours {
		return
	}
	for _, r := range p.cheapest(func(r *room) bool { return p.c.mine(r.rec) && good(r) }) {
		p.stopOn(r, p.left, true)
	}
}

// byChoice makes room where own machines don't do, on those of other controllers too:
// the claimant puts its choice on record, a machine once for each replica, and their
// owners stop tasks there.
func (p *replicaPlacement) byChoice(good func(*room) bool) {
	c, q := p.c, p.q
	if p.left <= 0 {
		return
	}
	chosen := p.cheapest(func(r *room) bool { return p.leftOf(q.rec.Room, r) > 0 && good(r) })
	room := 0
	for _, r := range chosen {
		room += min(c.freeable(r, q), p.most(r), p.leftOf(q.rec.Room, r))
	}
	if p.ours && room < p.left && p.b.hasRoom(p.b.needs("", q.id)) {
		if better := p.choose(good, room); better != nil {
			chosen = better
		}
	}
	onRecord := c.replica.Jobs[q.id].Rec.Room
	for _, r := range chosen {
		before := p.left
		p.stopOn(r, p.leftOf(p.b.viewJob(q.id).Room, r), slices.Contains(onRecord, r.id))
		p.used[r.id] += before - p.left
	}
}

// leftOf counts the replicas that a choice has for a machine and that this pass has not
// provided for yet.
func (p *replicaPlacement) leftOf(choice []protocol.MachineID, r *room) int {
	n := -p.used[r.id]
	for _, id := range choice {
		if id == r.id {
			n++
		}
	}
	return n
}

// choose puts machines on record on which room is made, if that is for more replicas than
// the choice on record is.
func (p *replicaPlacement) choose(good func(*room) bool, onRecord int) []*room {
	var choice []share
	left := p.left
	for _, r := range p.cheapest(good) {
		for range min(p.c.freeable(r, p.q), p.most(r), left) {
			choice = append(choice, share{r, 1})
			left--
		}
	}
	if len(choice) <= onRecord || !p.c.recordable(choice) {
		return nil
	}
	p.b.writeRoom(p.q.id, choice, "room is made for replicas")
	var rooms []*room
	for _, s := range choice {
		rooms = append(rooms, s.r)
	}
	return slices.Compact(rooms)
}

// cheapest lists machines on which lower ranked tasks can be stopped for replicas, those
// first where that costs least.
func (p *replicaPlacement) cheapest(good func(*room) bool) []*room {
	c := p.c
	cost := map[*room]float64{}
	var list []*room
	for _, r := range p.rooms {
		if !r.coming && !r.closed && !p.q.leaves[r.rec.Type] && c.mayUse(p.q.rec.Desc, r) && good(r) && c.freeable(r, p.q) > 0 {
			cost[r] = c.stopCost(r, p.q)
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, z *room) int { return cmp.Compare(cost[a], cost[z]) })
	return list
}

// stopOn keeps what up to most replicas are to take of a machine, and stops lower ranked
// tasks there if that is decided and the machine is this run's.
func (p *replicaPlacement) stopOn(r *room, most int, decided bool) {
	c := p.c
	n := min(c.freeable(r, p.q), p.most(r), most)
	if n <= 0 {
		return
	}
	if decided && c.mine(r.rec) && r.m != nil {
		c.stopFor(r, p.q, n)
	}
	p.q.put(r, n, 0)
	c.planned.busy[r.id] = true
	c.planned.expects[r.id] = true
	p.here[r.id] += n
	p.nextOpen(n)
	p.left -= n
}

// stopFor stops as few lower ranked tasks on an own machine as n replicas need.
func (c *Core) stopFor(r *room, q *queued, n int) {
	need := *r
	for _, h := range c.stoppable(r, q) {
		k := 0
		for k < h.n && need.fits(q.rec.Desc) < n {
			need.take(h.desc, -1)
			k++
		}
		if k > 0 {
			c.preempt(r, h, q, k)
		}
	}
}

// stoppable lists the victims on a machine, those that are being stopped already first.
func (c *Core) stoppable(r *room, q *queued) []held {
	list := c.victims(r, q)
	slices.SortStableFunc(list, func(a, z held) int { return cmp.Compare(c.beingStopped(r, z), c.beingStopped(r, a)) })
	return list
}

// beingStopped counts the tasks that a stop is under way for.
func (c *Core) beingStopped(r *room, h held) int {
	if r.m == nil {
		return 0
	}
	n := 0
	for t, s := range r.m.stops {
		if t.Job == h.job && s.try == h.try {
			n++
		}
	}
	return n
}

// stopCost is what it takes until one replica runs on a machine: work lost, and time.
// Tasks that are being stopped cost nothing more, so that a choice stays what it was.
func (c *Core) stopCost(r *room, q *queued) float64 {
	const perSecond = 10 // core-seconds that a second of a replica is worth
	need, cost, wait := *r, 0.0, 0.0
	for _, h := range c.stoppable(r, q) {
		stopping := c.beingStopped(r, h)
		for k := 0; k < h.n && need.fits(q.rec.Desc) == 0; k++ {
			need.take(h.desc, -1)
			if k >= stopping {
				cost += c.lost(r, h) / float64(h.n)
			}
			if h.desc.Saves() {
				wait = max(wait, h.desc.SaveS)
			}
		}
	}
	return cost + perSecond*(wait+c.fetchTime(r, q.rec.Desc).Seconds())
}

// fetchTime is how long this machine takes until it has the job's image.
func (c *Core) fetchTime(r *room, d *protocol.Job) time.Duration {
	if r.m.hasImage(d.Image) {
		return 0
	}
	fetch := protocol.Seconds(fetchSeconds(r.fl, d))
	if r.m.fetching() {
		fetch *= 2 // two images share the rate
	}
	return fetch
}

// fetching tells whether the newest report shows an image that is being fetched.
func (m *mstate) fetching() bool {
	if m == nil {
		return false
	}
	for _, p := range m.byTask {
		if p.Stage == protocol.Fetching {
			return true
		}
	}
	return false
}

// largeTypes lists the machine types that replicas leave to others as long as they can.
func (c *Core) largeTypes(d *protocol.Job) map[protocol.Sku]bool {
	smallest := 0.0
	for i := range c.flavors {
		if f := &c.flavors[i]; machineFits(f, d) > 0 && (smallest == 0 || f.Cores < smallest) {
			smallest = f.Cores
		}
	}
	large := map[protocol.Sku]bool{}
	for i := range c.flavors {
		if c.flavors[i].Cores > smallTypes*smallest {
			large[c.flavors[i].Sku] = true
		}
	}
	return large
}

// noteEndedReplicas finds replicas that have left a machine's record though the machine
// and its session go on: they have ended by themselves, or were stopped. All controllers
// see it, so whoever places the next ones knows how the last ones fared.
func (c *Core) noteEndedReplicas(id protocol.MachineID, before, after *bk.MachineRecord) {
	if after.Session != before.Session {
		return
	}
	for i := range before.Assigned {
		a := &before.Assigned[i]
		e := c.replica.Jobs[a.Job]
		if e == nil || e.Rec.Desc == nil || !e.Rec.Desc.Daemon() || e.Rec.CalledOff() {
			continue
		}
		left := 0
		for b := range after.Of(a.Job) {
			if b.Try == a.Try {
				left = b.Tasks.Len()
			}
		}
		if at, known := c.assignedAt[assignment{id, a.Job, a.Try}]; known && left < a.Tasks.Len() {
			c.replicasEnded(a.Job, c.since(at))
		}
	}
}

// replicasEnded takes in that replicas have ended a while after they were placed. Those
// that do so soon are tried ever less often, so that they neither use up the writes nor
// hide others.
func (c *Core) replicasEnded(id protocol.JobID, after time.Duration) {
	j := c.jstate(id)
	if after > quickEnd {
		j.quickEnds, j.notBefore = 0, 0
		clear(j.failedOn)
		return
	}
	pause := min(firstPause<<min(j.quickEnds, 8), maxPause)
	j.quickEnds++
	j.notBefore = c.now.Steady.Add(pause)
	c.log(slog.LevelInfo, "replica ended soon after its start", "job", string(id), "pause_s", pause.Seconds())
}

// mustMove tells whether a replica has to leave its machine: it will soon be taken, or
// is faulty.
func (c *Core) mustMove(m *mstate, d *protocol.Job) bool {
	if m.faulty {
		return true
	}
	return m.recallAt != 0 && m.recallAt.Sub(c.now.Steady) < protocol.Seconds(d.SaveS)+moveAhead
}
