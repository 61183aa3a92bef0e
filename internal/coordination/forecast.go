package coordination

import (
	"time"

	"tillerarch/internal/protocol"
)

// Tasks that can wait need no machine of their own where one that is in use will be
// free in time. The forecast says where that is; rentals leave such tasks out.

const (
	// slackSpent is the part of a job's slack that may be spent on waiting for machines
	// in use. Run times are estimates, so the rest stays in reserve.
	slackSpent = 0.5
	// bootSpent is the part of the shortest boot that is waited in any case: a machine
	// that is rented now would come later.
	bootSpent = 0.5
	// overrun is the part of a task's run time that one which has run longer than
	// expected is taken to need still.
	overrun = 0.25
)

// runTime is how long a task of the job runs: as seen here, else as its owner reckons.
func (c *Core) runTime(id protocol.JobID, d *protocol.Job) time.Duration {
	if j := c.jobs[id]; j != nil && j.runs >= slowSamples {
		return j.runTime / time.Duration(j.runs)
	}
	return protocol.Seconds(d.EstimateS)
}

// endsAt estimates when what a job has on a machine will have ended.
func (c *Core) endsAt(r *room, h *held) protocol.Instant {
	now := c.now.Steady
	if h.desc.Daemon() {
		return now.Add(noEnd)
	}
	begin, known := c.assignedAt[assignment{r.id, h.job, h.try}]
	if !known {
		begin = now
	}
	run := c.runTime(h.job, h.desc)
	ends := begin.Add(run + c.cfg.Report/4)
	return max(ends, now.Add(time.Duration(overrun*float64(run))))
}

// fitsBy tells how many tasks of a job a machine could begin by a time, besides those
// that are to follow what runs there already.
func (c *Core) fitsBy(r *room, d *protocol.Job, by protocol.Instant) int {
	free := room{cores: r.cores - r.followers.cores, accels: r.accels - r.followers.accels, mem: r.mem - r.followers.mem}
	for i := range r.used {
		if h := &r.used[i]; c.endsAt(r, h) <= by {
			free.take(h.desc, -h.n)
		}
	}
	return free.fits(d)
}

// patience is how long a job's tasks may wait for machines that are in use.
func (c *Core) patience(q *queued) time.Duration {
	boot := c.quickest(q.rec.Desc, func(f *protocol.Flavor) time.Duration { return protocol.Seconds(f.ReadyS) })
	slack := time.Duration(0)
	if !q.late && !q.aged {
		slack = millis(q.startBy - c.now.Wall)
	}
	return max(time.Duration(slackSpent*float64(slack)), time.Duration(bootSpent*float64(boot)))
}

// tasksToFollow sets aside what will be free soon enough for up to n tasks of a job, and
// tells for how many that is.
func (c *Core) tasksToFollow(q *queued, rooms []*room, n int) int {
	d := q.rec.Desc
	if d.Zone != "" || d.OneZone || d.Spread {
		return 0 // where they may be depends on more than room
	}
	by := c.now.Steady.Add(c.patience(q))
	found := 0
	for _, r := range rooms {
		if found >= n {
			break
		}
		if r.coming || r.closed || q.leaves[r.rec.Type] || machineFits(r.fl, d) == 0 || !c.mayUse(d, r) {
			continue
		}
		if k := min(c.fitsBy(r, d, by), n-found); k > 0 {
			found += k
			r.followers.cores += float64(k) * d.Cores
			r.followers.accels += float64(k) * d.Accelerators
			r.followers.mem += float64(k) * d.MemGB
		}
	}
	return found
}
