package coordination

import (
	"cmp"
	"slices"
	"sort"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// task of a job in the planner's order.
type queued struct {
	id     protocol.JobID
	rec    *bk.JobRecord
	order  int
	turn   int   // the order in which it is served: that of its rank, or a better one
	aims   []aim // that can still be met, soonest first
	due    protocol.Millis
	late   bool // no aim can be met any more, or only at the cost of more jobs' aims
	zones  map[protocol.Zone]int
	placed int
	done   int
	aged   bool // has waited so long without beginning that it goes before all others
	old    bool // has been here so long that a part of the fleet goes to it first
}

// order ranks jobs: a smaller one goes first and may take the place of a
// larger one. A team within its guarantee goes before all others.
func (c *Core) order(j *protocol.Job) int {
	if c.guaranteed(j.Desk) {
		return -1
	}
	return j.Rank.Order()
}

// guaranteed tells whether a team's unfinished jobs fit into its guarantee.
func (c *Core) guaranteed(desk string) bool {
	t := c.cfg.Teams[desk]
	if t.Cores <= 0 && t.Accels <= 0 || len(c.cfg.Teams) < 2 {
		return false
	}
	cores, accels := 0.0, 0.0
	for id, e := range c.mir.Open {
		if d := e.Rec.Desc; d.Desk == desk {
			left := float64(d.Pieces - c.mir.Done(id).Len())
			cores += left * d.Cores
			accels += left * d.Accelerators
		}
	}
	return cores <= t.Cores+eps && accels <= t.Accels+eps
}

// queue lists the unfinished jobs in the order in which they are served.
func (c *Core) queue(b *batch, rooms []*room) []*queued {
	byJob := map[protocol.JobID]*queued{}
	var out []*queued
	for id := range c.mir.Open {
		r := b.viewJob(id)
		if r.Stage.Final() || r.Desc == nil {
			continue
		}
		q := &queued{id: id, rec: r, order: c.order(r.Desc), zones: map[protocol.Zone]int{}, done: b.viewDone(id).Len()}
		q.turn = q.order
		c.urgency(q)
		byJob[id] = q
		out = append(out, q)
	}
	for _, r := range rooms {
		for _, h := range r.used {
			if q := byJob[h.job]; q != nil {
				q.placed += h.n
				q.zones[r.rec.Yard] += h.n
			}
		}
	}
	for _, q := range out {
		waited := time.Duration(c.now.Wall-q.rec.Sent) * time.Millisecond
		q.aged = waited > c.cfg.AgeAfter && q.placed == 0 && q.done == 0
		q.old = waited > 2*c.cfg.AgeAfter && !q.aged && !q.rec.Desc.Gang()
	}
	c.shed(out, rooms)
	sort.Slice(out, func(i, k int) bool {
		a, z := out[i], out[k]
		switch {
		case a.aged != z.aged:
			return a.aged
		case a.aged && a.rec.Sent != z.rec.Sent:
			return a.rec.Sent < z.rec.Sent
		case a.turn != z.turn:
			return a.turn < z.turn
		case a.late != z.late:
			return z.late
		case a.due != z.due:
			return a.due < z.due
		}
		return a.id < z.id
	})
	return out
}

// aim is a time by which a job is to begin, or to be done.
type aim struct {
	due protocol.Millis
	run protocol.Millis // what its last task takes from its begin until the aim is met
}

// urgency lists the aims of the job's class, and of its deadline, that can still be
// met. What has missed all of them goes last within its rank. A job of low rank
// whose tasks should begin soon is served like the rank above: it stops nobody's
// work, but gets some of what becomes free.
func (c *Core) urgency(q *queued) {
	d, sent := q.rec.Desc, q.rec.Sent
	class := c.cfg.Aims[d.Lane]
	half := protocol.Seconds(d.ReckonS / 2) // estimates are often wrong by half
	reach := func(within, lead time.Duration, run float64) {
		due := sent + protocol.Millis(within.Milliseconds())
		if c.now.Wall+protocol.Millis(lead.Milliseconds()) <= due {
			q.aims = append(q.aims, aim{due, protocol.Millis(run * 1000)})
		}
	}
	for _, w := range class.Wait {
		reach(w, 0, 0)
		if left := sent + protocol.Millis(w.Milliseconds()) - c.now.Wall; q.turn > 1 && left > 0 && 3*left < protocol.Millis(w.Milliseconds()) {
			q.turn--
		}
	}
	for _, w := range class.Finished {
		reach(w, half, d.ReckonS)
	}
	if d.DueS != nil {
		reach(protocol.Seconds(*d.DueS), half, d.ReckonS)
		for _, n := range class.Times {
			reach(protocol.Seconds(*d.DueS*n), half, d.ReckonS)
		}
	}
	slices.SortFunc(q.aims, func(a, z aim) int { return cmp.Compare(a.due, z.due) })
	aimless := len(class.Wait)+len(class.Finished) == 0 && d.DueS == nil
	q.setDue(!aimless)
}

// setDue sets the order among jobs of a turn by the first aim that is left.
func (q *queued) setDue(has bool) {
	if len(q.aims) > 0 {
		q.due, q.late = q.aims[0].due, false
	} else {
		q.due, q.late = q.rec.Sent+protocol.Millis(600_000), has
	}
}

// alike tells whether nothing but their dues puts one job before the other.
func (q *queued) alike(o *queued) bool {
	return q.turn == o.turn && q.late == o.late && !q.aged && !o.aged
}

// shed gives up aims of the largest arrays where not all can be met: in the order
// of their dues alone each of them would come a little too late, one behind the
// other. It is Moore's rule for the fewest late jobs, over a fleet of cores
// in place of one machine: whenever a job would be late, the one of those before it
// that takes most lets its aim go, for its next one.
func (c *Core) shed(queue []*queued, rooms []*room) {
	cores := 0.0
	used := map[int]float64{}    // cores, by the turn of who uses them
	running := map[int]float64{} // core-seconds that are left of what runs
	for _, r := range rooms {
		if !r.closed && !r.coming {
			cores += r.fl.Cores
		}
	}
	turns := map[int][]*queued{}
	for _, q := range queue {
		n := float64(q.placed) * q.rec.Desc.Cores
		used[q.turn] += n
		running[q.turn] += n * q.rec.Desc.ReckonS / 2
		if !q.rec.Desc.Gang() && !q.aged && len(q.aims) > 0 && q.work() > 0 {
			turns[q.turn] = append(turns[q.turn], q)
		}
	}
	for _, turn := range sorted(turns) {
		left := cores
		for t, n := range used {
			if t < turn {
				left -= n
			}
		}
		left = max(left, cores/10)
		// Each round may send jobs on to their next aims; there are few of those.
		for round := 0; round < 4; round++ {
			if !c.shedOnce(turns[turn], left, running[turn]) {
				break
			}
		}
	}
}

func (c *Core) shedOnce(jobs []*queued, cores, sum float64) (again bool) {
	list := slices.DeleteFunc(slices.Clone(jobs), func(q *queued) bool { return len(q.aims) == 0 })
	slices.SortFunc(list, func(a, z *queued) int { return cmp.Or(cmp.Compare(a.due, z.due), cmp.Compare(a.id, z.id)) })
	var taken []*queued
	for _, q := range list {
		taken = append(taken, q)
		sum += q.work()
		for len(taken) > 0 && c.now.Wall+protocol.Millis(1000*sum/cores)+q.aims[0].run > q.due {
			most := 0
			for i, t := range taken {
				if t.work() > taken[most].work() {
					most = i
				}
			}
			t := taken[most]
			taken = slices.Delete(taken, most, most+1)
			sum -= t.work()
			t.aims = t.aims[1:]
			t.setDue(true)
			again = again || len(t.aims) > 0
			if t == q {
				break
			}
		}
	}
	return again
}

// work is what is still to be placed of a job, in core-seconds.
func (q *queued) work() float64 {
	d := q.rec.Desc
	return float64(max(d.Pieces-q.done-q.placed, 0)) * d.Cores * d.ReckonS
}
