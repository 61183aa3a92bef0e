package coordination

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// plan is what the last pass of the planner found.
type plan struct {
	at        protocol.Instant
	busy      map[protocol.MachineID]bool // machines that the plan wants to keep
	abroad    bool                        // tasks of own jobs wait to be written to others' pages
	expects   map[protocol.MachineID]bool // those on which it has tasks that are not written yet
	free      []*room                     // machines that may still take something
	contended map[protocol.Sku]bool       // machine types that tasks have waited for of late
	reserved  map[int]bool                // orders in which a job waits for machines to empty
}

func (c *Core) nextPlan() protocol.Instant { return c.planned.at.Add(c.cfg.FlushGap) }

func (c *Core) flavor(s protocol.Sku) *protocol.Flavor {
	for i := range c.flavors {
		if c.flavors[i].Sku == s {
			return &c.flavors[i]
		}
	}
	return nil
}

// zoneRoom tells how many more tasks of the job may be in the zone.
func (q *queued) zoneRoom(z protocol.Zone) int {
	d := q.rec.Desc
	if d.OneZone {
		for o, n := range q.zones {
			if o != z && n > 0 {
				return 0
			}
		}
	}
	if d.Spread {
		return max((d.Tasks+1)/2-q.zones[z], 0)
	}
	return protocol.MaxTasks
}

// teamRoom tells how many more tasks of the job its team's limit allows.
func (c *Core) teamRoom(rooms []*room, j *protocol.Job) int {
	t := c.cfg.Teams[j.Team]
	if !t.limited() {
		return protocol.MaxTasks
	}
	cores, accels := 0.0, 0.0
	for _, r := range rooms {
		for _, h := range r.used {
			if h.desc.Team == j.Team {
				cores += float64(h.n) * h.desc.Cores
				accels += float64(h.n) * h.desc.Accelerators
			}
		}
	}
	n := protocol.MaxTasks
	if t.CoresMax > 0 && j.Cores > 0 {
		n = min(n, int(math.Floor((t.CoresMax-cores)/j.Cores+eps)))
	}
	if t.AccelsMax > 0 && j.Accelerators > 0 {
		n = min(n, int(math.Floor((t.AccelsMax-accels)/j.Accelerators+eps)))
	}
	return max(n, 0)
}

// place plans where all queued tasks go, in order, and writes the part of it
// that belongs to jobs claimed by this run. Jobs that others have claimed are
// planned just the same, so that all nodes keep the same room for them.
func (c *Core) place(b *batch) {
	c.planned.at = c.now.Steady
	c.planned.busy = map[protocol.MachineID]bool{}
	c.planned.abroad = false
	c.planned.expects = map[protocol.MachineID]bool{}
	c.demand = c.demand[:0]
	if len(c.flavors) == 0 {
		return
	}
	rooms := c.rooms(b)
	c.logFleet(rooms)
	c.planned.reserved = map[int]bool{}
	c.planned.free = slices.DeleteFunc(slices.Clone(rooms), func(r *room) bool { return r.closed })
	queue := c.queue(b, rooms)
	c.warm.observe(c.now.Steady, queue)
	c.warm.choose(rooms, c.mayUse)
	c.planned.contended = c.contended()
	c.placeOld(b, queue, rooms)
	for len(queue) > 0 {
		n := 1
		for n < len(queue) && queue[n].alike(queue[0]) {
			n++
		}
		c.placeGroup(b, queue[:n], rooms)
		queue = queue[n:]
	}
}

// placeGroup places jobs that differ in their dues only. Where the news of own pages
// is more than a transaction takes, what is free on a page goes first to arrays whose
// claimant owns it, and then to those of others: a controller writes its own pages all
// the time, one of another's is a change more, which comes late while the room waits
// for it. Elsewhere the order of dues alone serves better.
func (c *Core) placeGroup(b *batch, group []*queued, rooms []*room) {
	for _, q := range group {
		c.claim(b, q)
		if q.rec.Desc.Gang() {
			c.placeGang(b, q, rooms)
		} else if q.rec.Desc.Daemon() {
			c.placeReplicas(b, q, rooms)
		} else if len(group) > 1 && c.partial {
			c.placeArray(b, q, rooms, protocol.MaxTasks, true)
		}
	}
	for _, q := range group {
		if q.rec.Desc.Shape == protocol.Batch {
			c.placeArray(b, q, rooms, protocol.MaxTasks, false)
		}
	}
}

// placeOld gives a quarter of the fleet's cores to arrays that have been here
// very long, oldest first. By due time they would come last, behind a stream of
// newer ones for ever; with all they ask for they would make those late too.
func (c *Core) placeOld(b *batch, queue []*queued, rooms []*room) {
	var old []*queued
	for _, q := range queue {
		if q.old {
			old = append(old, q)
		}
	}
	if len(old) == 0 {
		return
	}
	share := 0.0
	for _, r := range rooms {
		if !r.coming {
			share += r.fl.Cores / 4
		}
	}
	slices.SortStableFunc(old, func(a, z *queued) int { return cmp.Compare(a.rec.Sent, z.rec.Sent) })
	for _, q := range old {
		cores := max(q.rec.Desc.Cores, 0.01)
		share -= float64(q.placed) * cores
		if n := int(share / cores); n > 0 {
			c.claim(b, q)
			before := q.placed
			c.placeArray(b, q, rooms, n, false)
			share -= float64(q.placed-before) * cores
		}
	}
}

// claim takes over jobs whose claimant is dead, and sets attempts aside.
func (c *Core) claim(b *batch, q *queued) {
	j := c.jstate(q.id)
	if q.rec.Claim == c.run {
		if j.claim != c.run || q.rec.Next > j.end {
			j.claim, j.next, j.end = c.run, q.rec.Next-attemptBlock+1, q.rec.Next
		}
		if j.end-j.next > 8 {
			return
		}
	} else if at, dead := c.ownership.deadAt[q.rec.Claim]; !dead || c.since(at) < 500*time.Millisecond ||
		!c.heir(bk.JobKey(q.id)) && c.since(at) < 10*time.Second {
		return
	}
	if !b.hasRoom(b.needs("", q.id)) {
		return
	}
	r := b.job(q.id)
	if r.Claim != c.run {
		b.log(slog.LevelInfo, "job claimed", "job", string(q.id), "from", string(r.Claim))
	}
	r.Claim = c.run
	r.Next += attemptBlock
	q.rec = r
}

// ours tells whether this run may write placements of the job now. The replica
// must have all that was written before the claim.
func (c *Core) ours(b *batch, q *queued) bool {
	e := c.replica.Jobs[q.id]
	j := c.jstate(q.id)
	return e != nil && e.Rec.Claim == c.run && j.claim == c.run && j.next < j.end &&
		c.replica.Rev >= protocol.Rev(e.Stamp) && b.viewJob(q.id).Claim == c.run
}

// score ranks machines for a task: small types first, so that the large ones
// stay free for what fits nowhere else; then, in seconds, what it takes until
// the task runs: the image, and the wait for the machine's next report. Pages of
// other owners come later, as writing them means to collide with their owners.
func (c *Core) score(b *batch, q *queued, r *room) float64 {
	j := q.rec.Desc
	s := r.fl.Cores*10 + r.fl.Accelerators*1000
	if r.coming {
		return s + 1e6
	}
	m := r.m
	if j.Daemon() {
		s += c.fetchTime(r, j).Seconds()
	} else if !m.hasImage(j.Image) {
		s += min(fetchSeconds(r.fl, j), 60)
	}
	switch {
	case r.rec.Spot && j.Daemon():
		s += spotReplica
	case r.rec.Spot:
		s -= 5
	}
	if m != nil && m.pace.slow() {
		s += slowPenalty
	}
	if r.rec.Owner != q.rec.Claim {
		s += foreignPage
	} else if m == nil || m.held == 0 {
		s += c.cfg.Report.Seconds() / 2
	}
	if b.pages[r.rec.Page] == nil {
		s += 1
	}
	return s
}

// slowPenalty puts slow machines behind all others of their size: they still serve
// when there is nothing else, and go back first as they idle first.
const slowPenalty = 120

// foreignPage is how many seconds a page of one's own is better than another's.
const foreignPage = 8

// candidates lists the machines that can take a task of the job, best first,
// machines of one page together; home: those on its claimant's pages only.
func (c *Core) candidates(b *batch, q *queued, home bool) []*room {
	type scored struct {
		r *room
		s float64
	}
	var out []scored
	left := c.planned.free[:0]
	for _, r := range c.planned.free {
		if r.cores <= eps || r.mem <= eps {
			continue // full by now, for all that come later
		}
		left = append(left, r)
		if !q.leaves[r.rec.Type] && (!home || r.rec.Owner == q.rec.Claim) && r.fits(q.rec.Desc) > 0 && c.mayUse(q.rec.Desc, r) {
			out = append(out, scored{r, c.score(b, q, r)})
		}
	}
	c.planned.free = left
	slices.SortFunc(out, func(a, z scored) int {
		return cmp.Or(cmp.Compare(a.s, z.s), cmp.Compare(a.r.rec.Page, z.r.rec.Page), cmp.Compare(a.r.id, z.r.id))
	})
	rooms := make([]*room, len(out))
	for i := range out {
		rooms[i] = out[i].r
	}
	return rooms
}

// put notes n planned tasks of the job on the machine.
func (q *queued) put(r *room, n int, try protocol.Attempt) {
	r.take(q.rec.Desc, n)
	r.used = append(r.used, held{q.id, try, n, q.rec.Desc, q.order})
	q.zones[r.rec.Zone] += n
	q.placed += n
}

// openTasks lists up to max tasks that are neither done nor assigned, in order.
func (c *Core) openTasks(b *batch, q *queued, max int) []int {
	have := b.viewDone(q.id)
	add := func(rec *bk.MachineRecord) {
		for a := range rec.Of(q.id) {
			have = have.Union(a.Tasks)
		}
	}
	for id := range c.replica.On(q.id) {
		if !b.gone(id) {
			add(b.viewMachine(id))
		}
	}
	for id := range b.machines {
		if !c.replica.On(q.id)[id] {
			add(b.machines[id])
		}
	}
	return have.Gaps(q.rec.Desc.Tasks, max)
}

// spans tells how many tasks of a job may be under way so that what is done of
// it can be written, in whatever order they end.
func (c *Core) spans(pieces int) int {
	span := 2*len(strconv.Itoa(pieces)) + 2 // "lo-hi,"
	room := c.freeForJob()
	if c.format() >= bk.FormatPacked {
		if pieces/6 <= room { // a bit each, as base64
			return pieces
		}
		span = 6 // two varints of two bytes at most, for most of the runs
	}
	if pieces/3*span <= room {
		return pieces
	}
	return room / span
}

// freeForJob is what a job's record may take besides its description.
func (c *Core) freeForJob() int {
	if c.format() < bk.FormatPacked {
		return c.limits().ValueBytes - 1500
	}
	return c.limits().ValueBytes - c.limits().ValueBytes/2
}

// placeArray places up to most tasks of an array; home: on its claimant's pages only.
// Else what is left behind it is unmet demand.
func (c *Core) placeArray(b *batch, q *queued, rooms []*room, most int, home bool) {
	d := q.rec.Desc
	left := d.Tasks - q.done - q.placed
	if left <= 0 {
		return
	}
	// The written form of what is done must stay within a value: gaps in it
	// are bounded by the tasks under way.
	limit := min(left, most, c.teamRoom(rooms, d), max(c.spans(d.Tasks)-q.placed, 0))
	ours := c.ours(b, q)
	j := c.jstate(q.id)
	if ours && c.now.Steady < j.notBefore {
		ours = false
	}
	var open []int
	if ours {
		open = c.openTasks(b, q, limit)
		limit = min(limit, len(open))
	}
	if q.leaves == nil {
		q.leaves = c.leaves(q)
	}
	for _, r := range c.candidates(b, q, home) {
		if limit <= 0 {
			break
		}
		n := min(r.fits(d), limit, q.zoneRoom(r.rec.Zone))
		if n <= 0 {
			continue
		}
		written := ours && !r.coming && c.writable(b, r, d)
		var tasks []int
		if ours {
			if written {
				n = min(n, 200)
			}
			tasks, open = open[:n], open[n:]
		}
		c.putTasks(b, q, r, n, written, tasks)
		left -= n
		limit -= n
	}
	if home {
		return
	}
	if q.aged && q.placed == 0 && limit > 0 {
		// Its tasks fit into no gap that others leave: some machines are emptied.
		c.reserve(b, q, rooms, []protocol.Zone{""}, min(limit, 4))
	}
	if n := min(left, limit); n > 0 && most == protocol.MaxTasks {
		c.unplaced(q, rooms, n)
	}
}

// putTasks plans n tasks for a machine, and writes them if this transaction does; tasks
// are those, where this run writes the job's placements at all.
func (c *Core) putTasks(b *batch, q *queued, r *room, n int, written bool, tasks []int) {
	if written {
		try := c.jstate(q.id).next
		b.assign(r.id, q.id, tasks, try)
		c.placed(b, q, r, n, try)
		// Whether a report waits at another owner is not known here: a replica can't wait
		// for the next one.
		if c.pressing(q) && (c.waitsForReport(r) || q.rec.Desc.Daemon() && r.rec.Owner != c.run) {
			c.hurry(b, r.id)
		}
	} else {
		c.planned.abroad = c.planned.abroad || tasks != nil && r.rec.Owner != c.run && !r.coming
		c.planned.expects[r.id] = true
	}
	q.put(r, n, 0)
	c.planned.busy[r.id] = true
}

// unplaced takes in that n tasks of an array have found no machine. What can wait for
// machines in use does so; the rest is demand.
func (c *Core) unplaced(q *queued, rooms []*room, n int) {
	c.noteContention(q)
	if !q.urgent {
		n -= c.tasksToFollow(q, rooms, n)
	}
	if n > 0 && q.rec.Claim == c.run {
		c.demand = append(c.demand, unmetDemand{job: q.id, desc: q.rec.Desc, tasks: n, zone: q.onlyZone(), order: q.order,
			sent: q.rec.Sent, urgent: q.urgent})
	}
}

// pressing tells whether a job's tasks have to begin sooner than all machines report
// by themselves.
func (c *Core) pressing(q *queued) bool {
	return !q.late && millis(q.startBy-c.now.Wall) < 2*c.cfg.Report
}

// waitsForReport tells whether what is written to a machine goes out with its next
// report only: none of it waits for an answer here.
func (c *Core) waitsForReport(r *room) bool {
	m := c.machines[r.id]
	return r.rec.Owner == c.run && m != nil && m.held == 0
}

// onlyZone is the zone that the job is bound to by its other tasks.
func (q *queued) onlyZone() protocol.Zone {
	if q.rec.Desc.OneZone {
		for z, n := range q.zones {
			if n > 0 {
				return z
			}
		}
	}
	return ""
}

// writable tells whether a placement on the machine fits the transaction.
func (c *Core) writable(b *batch, r *room, d *protocol.Job) bool {
	n := b.needs(r.id)
	if c.cfg.Teams[d.Team].limited() && !b.teams[d.Team] {
		n++
		if c.replica.Rev < protocol.Rev(c.replica.Teams[d.Team]) {
			return false
		}
	}
	return b.hasRoom(n) && b.roomy(r.rec)
}

// placed notes a written placement: it rests on the job's stamp, and on the
// team's where the team has a limit.
func (c *Core) placed(b *batch, q *queued, r *room, n int, try protocol.Attempt) {
	d := q.rec.Desc
	b.on(bk.JobKey(q.id))
	if c.cfg.Teams[d.Team].limited() && !b.teams[d.Team] {
		b.open(bk.TeamKey(d.Team), 100)
		b.teams[d.Team] = true
	}
	j := c.jstate(q.id)
	b.marks = append(b.marks, func() {
		j.next = max(j.next, try+1)
		// A job whose tasks come back again and again is tried ever less often:
		// it may fail everywhere until its user cancels it.
		if j.given += n; !d.Daemon() && j.given >= 4*d.Tasks {
			j.notBefore = c.now.Steady.Add(min(time.Duration(j.given/d.Tasks-3)*5*time.Second, 30*time.Second))
		}
	})
	b.log(slog.LevelDebug, "tasks placed", "job", string(q.id), "tasks", n, "attempt", uint64(try), "machine", string(r.id))
}
