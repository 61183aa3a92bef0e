package coordination

import (
	"cmp"
	"log/slog"
	"slices"
	"sort"
	"time"

	"tillerarch/internal/protocol"
)

// placeGang places all tasks of a gang that are not done, or none.
func (c *Core) placeGang(b *batch, q *queued, rooms []*room) {
	d := q.rec.Desc
	left := d.Tasks - q.done
	if q.placed > 0 {
		c.keepGang(q, rooms)
		c.finishGang(b, q, rooms)
		return
	}
	if left <= 0 || c.teamRoom(rooms, d) < left {
		return
	}
	zones := []protocol.Zone{""}
	if d.OneZone {
		zones = c.zones()
	}
	best := c.gangChoice(b, q, rooms, zones, left)
	switch {
	case best == nil:
		c.makeRoom(b, q, rooms, zones, left)
	case c.gangWritable(b, q, best):
		c.writeGang(b, q, best, left)
	default:
		for _, s := range best {
			q.put(s.r, s.n, 0)
			c.planned.busy[s.r.id] = true
			c.planned.expects[s.r.id] = true
		}
	}
}

// keepGang keeps the machines on which a gang has tasks.
func (c *Core) keepGang(q *queued, rooms []*room) {
	for _, r := range rooms {
		for _, h := range r.used {
			if h.job == q.id {
				c.planned.busy[r.id] = true
			}
		}
	}
}

// gangChoice chooses where the tasks of a gang go; nil: room is to be made for them. To
// stop what ranks lower is quicker than to wait for a machine that boots, or for an
// image where others have it.
func (c *Core) gangChoice(b *batch, q *queued, rooms []*room, zones []protocol.Zone, left int) []share {
	var best []share
	for _, z := range zones {
		s := c.gangShares(b, q, rooms, z, left, nil)
		if s != nil && (best == nil || shareCost(s) < shareCost(best)) {
			best = s
		}
	}
	d := q.rec.Desc
	if kept := c.roomKept(q, rooms, left); kept != nil {
		if slices.ContainsFunc(kept, func(s share) bool { return s.r.fits(d) < s.n }) {
			return nil // once it is empty
		}
		return kept
	}
	if best != nil && c.recordable(best) && (c.slow(best, d, true) && c.cheapestRoom(q, rooms, zones, left, true) != nil ||
		c.slow(best, d, false) && c.cheapestRoom(q, rooms, zones, left, false) != nil) {
		return nil
	}
	return best
}

// gangWritable tells whether this run writes the choice now. A gang too large for one
// transaction is written in several; nobody starts a task of it before the last one.
func (c *Core) gangWritable(b *batch, q *queued, choice []share) bool {
	ours := c.ours(b, q) && c.now.Steady >= c.jstate(q.id).notBefore
	var ids []protocol.MachineID
	for _, s := range choice {
		if s.r.coming {
			return false
		}
		ids = append(ids, s.r.id)
		ours = ours && b.roomy(s.r.rec)
	}
	if !ours {
		return false
	}
	fits, alone := b.fits(ids)
	if alone == 0 || fits {
		return true
	}
	if c.gangNeeds == 0 {
		c.gangNeeds = alone + c.kept()
	}
	return false
}

// writeGang writes as much of the choice as the transaction takes.
func (c *Core) writeGang(b *batch, q *queued, choice []share, left int) {
	open := c.openTasks(b, q, left)
	try := c.jstate(q.id).next
	b.marks = append(b.marks, func() { c.jstate(q.id).building = try })
	for _, s := range choice {
		if c.writable(b, s.r, q.rec.Desc) {
			b.assign(s.r.id, q.id, open[:s.n], try)
			c.hurry(b, s.r.id)
			c.placed(b, q, s.r, s.n, try)
		}
		open = open[s.n:]
		q.put(s.r, s.n, try)
		c.planned.busy[s.r.id] = true
	}
}

// finishGang writes what is missing of a gang that did not fit one transaction.
func (c *Core) finishGang(b *batch, q *queued, rooms []*room) {
	left := q.rec.Desc.Tasks - q.done - q.placed
	j := c.jstate(q.id)
	if left <= 0 {
		j.building = 0
	}
	if left <= 0 || !c.ours(b, q) {
		return
	}
	try := c.lastTry(q.id, b)
	// Only an attempt that is still being written. One that has lost a task is
	// not mended: its other tasks end, and the gang starts anew as a whole.
	if try == 0 || try != j.building || q.rec.Halt >= try || j.brokenAt != 0 && c.since(j.brokenAt) > 2*time.Second {
		return
	}
	for _, s := range c.gangShares(b, q, rooms, q.onlyZone(), left, nil) {
		if s.r.coming || !c.writable(b, s.r, q.rec.Desc) {
			return
		}
		open := c.openTasks(b, q, s.n)
		b.assign(s.r.id, q.id, open, try)
		c.hurry(b, s.r.id)
		c.placed(b, q, s.r, len(open), try)
		q.put(s.r, len(open), try)
	}
}

// hurry makes the machine's worker report as soon as the placement is on record.
// A gang waits for the last of its machines: with reports some seconds apart
// that is nearly a whole interval each time.
func (c *Core) hurry(b *batch, id protocol.MachineID) {
	if c.cfg.Report >= 4*time.Second {
		b.nudge(id)
	}
}

type share struct {
	r *room
	n int
}

func shareCost(s []share) float64 {
	cost := 0.0
	for _, x := range s {
		cost += 1
		if x.r.coming {
			cost += 1000
		}
	}
	return cost
}

func (c *Core) zones() []protocol.Zone {
	seen := map[protocol.Zone]bool{}
	var out []protocol.Zone
	for i := range c.flavors {
		for _, z := range c.flavors[i].Zones {
			if !seen[z] {
				seen[z] = true
				out = append(out, z)
			}
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i] < out[k] })
	return out
}

// gangShares spreads n tasks over the machines of a zone (any, if empty).
// freed adds what could be made free on a machine.
func (c *Core) gangShares(b *batch, q *queued, rooms []*room, z protocol.Zone, n int, freed func(*room) int) []share {
	var out []share
	zones := map[protocol.Zone]int{}
	d := q.rec.Desc
	list := rooms
	if freed == nil {
		list = c.candidates(b, q, false)
	}
	for _, r := range list {
		if n == 0 {
			break
		}
		if z != "" && r.rec.Zone != z || r.closed || !c.mayUse(d, r) {
			continue
		}
		k := r.fits(d)
		if freed != nil {
			k = freed(r)
		}
		k = min(k, n, q.zoneRoom(r.rec.Zone)-zones[r.rec.Zone])
		if k <= 0 {
			continue
		}
		zones[r.rec.Zone] += k
		out = append(out, share{r, k})
		n -= k
	}
	if n > 0 {
		return nil
	}
	return out
}

// slow tells whether a gang would wait on these machines: for one that boots,
// or, if images count, for an image that takes longer than to make room elsewhere.
func (c *Core) slow(list []share, d *protocol.Job, images bool) bool {
	const roomMade = 6 // seconds that it takes to stop what runs, and to write it
	return slices.ContainsFunc(list, func(s share) bool {
		return s.r.coming || images && fetchSeconds(s.r.fl, d) > roomMade && !s.r.m.hasImage(d.Image)
	})
}

// makeRoom keeps machines for a gang that fits nowhere, while their owners stop
// what ranks lower there. The job's claimant chooses them and writes its choice
// down: if every owner chose for itself, two could make room for one gang.
func (c *Core) makeRoom(b *batch, q *queued, rooms []*room, zones []protocol.Zone, n int) {
	d := q.rec.Desc
	ours := c.ours(b, q)
	got := c.roomKept(q, rooms, n)
	if got == nil && q.aged {
		if c.reserve(b, q, rooms, zones, n) && ours {
			c.demand = append(c.demand, unmetDemand{job: q.id, desc: d, tasks: n, zone: d.Zone, order: q.order, sent: q.rec.Sent, urgent: true})
		}
		if c.planned.reserved[q.order] {
			return
		}
	}
	if got == nil && ours {
		if got = c.cheapestRoom(q, rooms, zones, n, true); got == nil {
			got = c.cheapestRoom(q, rooms, zones, n, false)
		}
		if !c.recordable(got) {
			got = nil
		}
		if got == nil {
			c.demand = append(c.demand, unmetDemand{job: q.id, desc: d, tasks: n, zone: d.Zone, order: q.order, sent: q.rec.Sent, urgent: true})
		} else if b.hasRoom(b.needs("", q.id)) {
			b.writeRoom(q.id, got, "room is made for a gang")
		}
	}
	written := c.replica.Jobs[q.id].Rec.Room
	for _, s := range got {
		need := *s.r
		for _, h := range c.victims(s.r, q) {
			if need.fits(d) >= s.n {
				break
			}
			need.take(h.desc, -h.n)
			if h.try > 0 && slices.Contains(written, s.r.id) {
				c.preempt(s.r, h, q, h.n)
			}
		}
		q.put(s.r, s.n, 0)
		c.planned.busy[s.r.id] = true
	}
}

// reserve keeps machines for a job that has waited too long and fits nowhere,
// until what runs there has ended: nothing more is placed on them. Without it a
// stream of smaller jobs of its own rank would take each gap as it opens. One job
// of a rank at a time, so that few machines run empty. It tells whether the job
// is the one. The choice is on record, so that all controllers keep to it.
func (c *Core) reserve(b *batch, q *queued, rooms []*room, zones []protocol.Zone, n int) bool {
	if c.planned.reserved[q.order] {
		return false
	}
	d := q.rec.Desc
	// What an emptied machine takes, less what goes before this job.
	emptied := func(r *room) int {
		if r.coming {
			return 0
		}
		f := *r
		for _, h := range r.used {
			if h.order >= q.order {
				f.take(h.desc, -h.n)
			}
		}
		return f.fits(d)
	}
	pick := func(list []*room) []share {
		for _, z := range zones {
			if got := c.gangShares(nil, q, list, z, n, emptied); got != nil {
				return got
			}
		}
		return nil
	}
	got := pick(q.chosen(rooms))
	if got == nil {
		if !c.ours(b, q) || !b.hasRoom(b.needs("", q.id)) {
			return false
		}
		// Those that are emptiest, and where what runs has run longest.
		list := slices.Clone(rooms)
		cost := map[*room]float64{}
		for _, r := range list {
			for _, h := range r.used {
				cost[r] += float64(h.n) * h.desc.Cores / r.fl.Cores * c.expectedLeft(r, h)
			}
		}
		slices.SortStableFunc(list, func(a, z *room) int { return cmp.Compare(cost[a], cost[z]) })
		if got = pick(list); got == nil || !c.recordable(got) {
			return false
		}
		b.writeRoom(q.id, got, "machines are kept for a job that has waited long")
	}
	c.planned.reserved[q.order] = true
	for _, s := range got {
		s.r.closed = true
		s.r.cores = 0
		c.planned.busy[s.r.id] = true
	}
	return true
}

// expectedLeft is for how many seconds more tasks are expected to run.
func (c *Core) expectedLeft(r *room, h held) float64 {
	if h.desc.Daemon() {
		return noEnd.Seconds()
	}
	return max(h.desc.EstimateS-c.running(r, h), 5)
}

// running is for how many seconds tasks have been assigned, as far as it is known.
func (c *Core) running(r *room, h held) float64 {
	if at, ok := c.assignedAt[assignment{r.id, h.job, h.try}]; ok {
		return c.since(at).Seconds()
	}
	return 0
}

// writeRoom puts a choice of machines on record; the caller has asked for room.
func (b *batch) writeRoom(id protocol.JobID, choice []share, why string) {
	r := b.job(id)
	r.Room = nil
	for _, s := range choice {
		r.Room = append(r.Room, s.r.id)
	}
	b.log(slog.LevelInfo, why, "job", string(id), "machines", r.Room)
}

// chosen lists the machines of the choice on record.
func (q *queued) chosen(rooms []*room) []*room {
	return slices.DeleteFunc(slices.Clone(rooms), func(r *room) bool { return !slices.Contains(q.rec.Room, r.id) })
}

// recordable tells whether a choice of machines fits the job's record. One that
// does not would be refused with all else that is in its transaction.
func (c *Core) recordable(s []share) bool { return len(s) <= c.freeForJob()/14 }

// freeable tells how many tasks of the gang fit once what ranks lower is gone.
func (c *Core) freeable(r *room, q *queued) int {
	if r.coming {
		return 0
	}
	f := *r
	for _, h := range c.victims(r, q) {
		f.take(h.desc, -h.n)
	}
	return f.fits(q.rec.Desc)
}

// roomKept is the choice on record, as long as it still serves.
func (c *Core) roomKept(q *queued, rooms []*room, n int) []share {
	if len(q.rec.Room) == 0 {
		return nil
	}
	return c.gangShares(nil, q, q.chosen(rooms), "", n, func(r *room) int { return c.freeable(r, q) })
}

// cheapestRoom chooses the machines on which the least work is lost.
// warm: only of those that have the image.
func (c *Core) cheapestRoom(q *queued, rooms []*room, zones []protocol.Zone, n int, warm bool) []share {
	cost := map[*room]float64{}
	var list []*room
	for _, r := range rooms {
		if !r.closed && !r.coming && r.fl.Fits(q.rec.Desc) && (!warm || r.m.hasImage(q.rec.Desc.Image)) {
			list = append(list, r)
		}
	}
	for _, r := range list {
		cost[r] = c.roomCost(r, q)
	}
	sort.SliceStable(list, func(i, k int) bool { return cost[list[i]] < cost[list[k]] })
	for _, z := range zones {
		if got := c.gangShares(nil, q, list, z, n, func(r *room) int { return c.freeable(r, q) }); got != nil {
			return got
		}
	}
	return nil
}

// roomCost is what making room on a machine costs, in core-seconds: work lost,
// and cores that wait for tasks to save or for the image.
func (c *Core) roomCost(r *room, q *queued) float64 {
	d := q.rec.Desc
	need, cost, wait := *r, 0.0, 0.0
	for _, h := range c.victims(r, q) {
		if need.fits(d) > 0 {
			break
		}
		need.take(h.desc, -h.n)
		cost += c.lost(r, h)
		if h.desc.Saves() {
			wait = max(wait, h.desc.SaveS)
		}
	}
	if !r.m.hasImage(d.Image) {
		wait += fetchSeconds(r.fl, d)
	}
	return cost + wait*d.Cores
}

// lost is the work, in core-seconds, that stopping the tasks would throw away.
func (c *Core) lost(r *room, h held) float64 {
	if h.desc.Saves() {
		return float64(h.n) * h.desc.Cores * h.desc.SaveS
	}
	if h.desc.Daemon() {
		return float64(h.n) * h.desc.Cores * replicaRun
	}
	return float64(h.n) * h.desc.Cores * c.running(r, h)
}

// assignment is the tasks of a job that one attempt has on a machine.
type assignment struct {
	machine protocol.MachineID
	job     protocol.JobID
	try     protocol.Attempt
}

// victims lists what ranks lower on a machine, least loss per core first.
func (c *Core) victims(r *room, q *queued) []held {
	var out []held
	for _, h := range r.used {
		if h.order > q.order {
			out = append(out, h)
		}
	}
	loss := func(h held) float64 { return c.lost(r, h) / max(float64(h.n)*h.desc.Cores, eps) }
	slices.SortStableFunc(out, func(a, z held) int { return cmp.Compare(loss(a), loss(z)) })
	return out
}

// preempt stops up to most of a job's tasks on an owned machine for one of higher rank,
// those that are being stopped already among them.
func (c *Core) preempt(r *room, h held, for_ *queued, most int) {
	if !c.mine(r.rec) || c.now.Wall-for_.rec.Sent < 500 {
		return
	}
	m := c.machines[r.id]
	if m == nil {
		return
	}
	if h.desc.Gang() && h.desc.Tasks > 1 && h.desc.Saves() {
		c.halts[h.job] = h.try // all its tasks must hear of it, not only those here
		return
	}
	grace := 0.0
	if h.desc.Saves() {
		grace = h.desc.SaveS + 0.5
	}
	for i := range r.rec.Assigned {
		a := &r.rec.Assigned[i]
		if a.Job != h.job || a.Try != h.try {
			continue
		}
		a.Tasks.Each(func(n int) bool {
			if s, ok := m.stops[protocol.Task{Job: a.Job, Index: n}]; ok && s.try == a.Try {
				most--
			}
			return true
		})
		a.Tasks.Each(func(n int) bool {
			t := protocol.Task{Job: a.Job, Index: n}
			if s, ok := m.stops[t]; most > 0 && (!ok || s.try != a.Try) {
				c.stop(m, t, a.Try, grace, "makes room for "+string(for_.id))
				most--
			}
			return most > 0
		})
	}
}
