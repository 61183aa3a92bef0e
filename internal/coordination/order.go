package coordination

import (
	"sort"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// task of a job in the planner's order.
type queued struct {
	id    protocol.JobID
	rec   *bk.JobRecord
	order int
	turn  int // the order in which it is served: that of its rank, or a better one
	due   protocol.Millis
	late  bool
	// The latest begin of its tasks that meets all aims that can still be met, and the
	// same as it was at the submission.
	startBy protocol.Millis
	beginBy protocol.Millis
	urgent  bool                  // they had to begin sooner than machines can be relied on to be rented
	leaves  map[protocol.Sku]bool // machine types that it leaves to others
	zones   map[protocol.Zone]int
	placed  int
	done    int
	aged    bool // has waited so long without beginning that it goes before all others
	old     bool // has been here so long that a part of the fleet goes to it first
}

// order ranks jobs: a smaller one goes first and may take the place of a
// larger one. A team within its guarantee goes before all others.
func (c *Core) order(j *protocol.Job) int {
	if c.guaranteed(j.Team) {
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
	for id, e := range c.replica.Open {
		if d := e.Rec.Desc; d.Team == desk {
			left := float64(d.Tasks - c.replica.Done(id).Len())
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
	for id := range c.replica.Open {
		r := b.viewJob(id)
		if r.Stage.Final() || r.Withdrawing || r.Desc == nil {
			continue
		}
		q := &queued{id: id, rec: r, order: c.order(r.Desc), zones: map[protocol.Zone]int{}, done: b.viewDone(id).Len()}
		q.turn = q.order
		c.urgency(q)
		q.urgent = c.urgent(q)
		byJob[id] = q
		out = append(out, q)
	}
	for _, r := range rooms {
		for _, h := range r.used {
			if q := byJob[h.job]; q != nil {
				q.placed += h.n
				q.zones[r.rec.Zone] += h.n
			}
		}
	}
	for _, q := range out {
		waited := millis(c.now.Wall - q.rec.Sent)
		q.aged = waited > c.cfg.AgeAfter && q.placed == 0 && q.done == 0
		q.old = waited > 2*c.cfg.AgeAfter && !q.aged && q.rec.Desc.Shape == protocol.Batch
	}
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

// leadMargin is how many times the least time that a job's tasks may run is set
// aside for them where a late end would miss an aim.
const leadMargin = 3

// urgency tells by when a job is to be served: the first of its class's aims, and
// of its deadline, that can still be met. What has missed all of them goes last
// within its rank. A job of low rank whose tasks should begin soon is served like
// the rank above: it stops nobody's work, but gets some of what becomes free.
func (c *Core) urgency(q *queued) {
	d, sent := q.rec.Desc, q.rec.Sent
	if d.Daemon() {
		// No replica can wait, whatever has become of the aims for the first ones.
		q.due, q.startBy, q.beginBy = sent, c.now.Wall, sent
		return
	}
	aims := c.cfg.Aims[d.Class]
	q.due, q.late = sent+protocol.Millis(600_000), true
	q.startBy, q.beginBy = q.due, q.due
	reach := func(within, lead time.Duration) {
		due := sent + protocol.Millis(within.Milliseconds())
		start := due - leadMargin*protocol.Millis(lead.Milliseconds())
		q.beginBy = min(q.beginBy, start)
		if c.now.Wall < start {
			q.startBy = min(q.startBy, start)
		}
		if c.now.Wall+protocol.Millis(lead.Milliseconds()) <= due && (q.late || due < q.due) {
			q.due, q.late = due, false
		}
	}
	run := protocol.Seconds(d.EstimateS / 2) // estimates are often wrong by half
	for _, w := range aims.Wait {
		reach(w, 0)
		if left := sent + protocol.Millis(w.Milliseconds()) - c.now.Wall; q.turn > 1 && left > 0 && 3*left < protocol.Millis(w.Milliseconds()) {
			q.turn--
		}
	}
	for _, w := range aims.Finished {
		reach(w, run)
	}
	if d.DeadlineS != nil {
		reach(protocol.Seconds(*d.DeadlineS), run)
		for _, n := range aims.Times {
			reach(protocol.Seconds(*d.DeadlineS*n), run)
		}
	}
	if len(aims.Wait)+len(aims.Finished) == 0 && d.DeadlineS == nil {
		q.late = false
	}
}

// alike tells whether nothing but their dues puts one job before the other.
func (q *queued) alike(o *queued) bool {
	return q.turn == o.turn && q.late == o.late && !q.aged && !o.aged
}
