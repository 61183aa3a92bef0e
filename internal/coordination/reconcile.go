package coordination

import (
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// writeHalts puts the orderly stop of gangs on record. Every owner of a machine
// with one of the tasks reads it there at once and sends the stop directly, so
// that all tasks hear of it within gang_peer_s.
func (c *Core) writeHalts(b *batch) {
	for _, id := range sorted(c.halts) {
		e := c.replica.Jobs[id]
		if e == nil || e.Rec.Stage.Final() || e.Rec.Halt >= c.halts[id] {
			delete(c.halts, id)
		} else if b.hasRoom(b.needs("", id)) {
			b.job(id).Halt = c.halts[id]
			b.log(slog.LevelInfo, "gang stops in order", "job", string(id), "attempt", uint64(c.halts[id]))
		}
	}
}

// writeMachines brings the records of owned machines in line with what their
// workers report, page by page. Where a transaction cannot take all, the next
// one goes on with the page that was left.
func (c *Core) writeMachines(b *batch) {
	pages := c.ownPages()
	for i := range pages {
		k := (c.turn + i) % len(pages)
		for _, id := range c.replica.Pages[pages[k]].Machines {
			if e := c.replica.Machines[id]; e != nil && e.Rec.Page == pages[k] {
				c.reconcile(b, id, e)
			}
		}
		if !b.hasRoom(1) {
			c.turn, c.partial = k, true
			return
		}
	}
	c.turn, c.partial = 0, false
}

// requeue takes a task back from a machine where it provably is no more.
func (c *Core) requeue(b *batch, m *mstate, t protocol.Task, try protocol.Attempt) {
	b.machine(m.id).Unassign(t)
	m.barred[t] = try
	b.marks = append(b.marks, func() { delete(m.stops, t) })
}

// surelyExpired tells whether the worker's lease must have run out: this
// token was confirmed by the worker, so only this run's answers counted, and
// the last of them answered a report sent no later than it was received.
func (c *Core) surelyExpired(m *mstate, r *bk.MachineRecord) bool {
	if bk.EpochOf(m.confirmed) != r.Epoch || m.rep == nil {
		return false
	}
	// Before it showed this token, an earlier owner may have renewed its lease.
	last := m.confirmedAt
	if bk.EpochOf(m.token) == r.Epoch {
		last = max(last, m.answered)
	}
	// Steady clocks drift by up to 0.05% each; the rest is margin.
	wait := c.cfg.Lease + c.cfg.Lease/500 + 500*time.Millisecond
	return c.since(last) > wait && m.held == 0
}

func (c *Core) reconcile(b *batch, id protocol.MachineID, e *bk.Machine) {
	if b.machines[id] != nil || b.gone(id) || b.pages[e.Rec.Page] != nil && b.pages[e.Rec.Page].owner != c.run {
		return // being handed over in this transaction
	}
	m := c.own(e, id)
	rec := &e.Rec
	rep := m.rep

	if rec.Releasing || c.returned(id) {
		if c.returned(id) && b.hasRoom(b.needs(id)) {
			b.drop(id)
			b.log(slog.LevelInfo, "machine is gone", "machine", string(id), "tasks", len(rec.Assigned))
		}
		return
	}
	// A newer session: whatever was assigned in the old one has been killed.
	if rep != nil && rep.Session > rec.Session && rep.FencingToken <= rec.FencingToken {
		if rec.Session > 0 || len(rec.Assigned) == 0 {
			if !b.hasRoom(b.needs(id)) {
				return
			}
			r := b.machine(id)
			c.takeBackAll(b, m, r, "newer session")
			r.Session, r.Addr = rep.Session, rep.Addr
			if rec.Session == 0 {
				r.Type, r.Zone, r.Spot = rep.Type, rep.Zone, rep.Spot
			}
		}
		return
	}
	if len(rec.Assigned) > 0 && c.surelyExpired(m, rec) {
		if b.hasRoom(b.needs(id)) {
			c.takeBackAll(b, m, b.machine(id), "lease expired")
			b.machine(id).Drain = true
		}
		return
	}
	if proven := m.proven(rec); proven != nil {
		for i := range rec.Assigned {
			a := &rec.Assigned[i]
			a.Tasks.Each(func(n int) bool {
				return c.reconcileTask(b, m, rec, protocol.Task{Job: a.Job, Index: n}, a.Try)
			})
		}
	}
	if drain := c.wantsDrain(m, rec); drain != b.viewMachine(id).Drain && b.hasRoom(b.needs(id)) {
		b.machine(id).Drain = drain
		b.log(slog.LevelInfo, "machine drains", "machine", string(id), "on", drain, "recall", m.recallAt != 0,
			"silent_s", c.since(m.heardAt).Seconds())
	}
}

func (c *Core) takeBackAll(b *batch, m *mstate, r *bk.MachineRecord, why string) {
	for _, a := range r.Assigned {
		a.Tasks.Each(func(n int) bool {
			t := protocol.Task{Job: a.Job, Index: n}
			m.barred[t] = a.Try
			b.marks = append(b.marks, func() { delete(m.stops, t) })
			return true
		})
		b.log(slog.LevelInfo, "tasks requeued", "machine", string(m.id), "job", string(a.Job), "tasks", a.Tasks.String(), "why", why)
	}
	r.Assigned = nil
}

// reconcileTask compares one assigned task with the report. It returns false
// once the transaction is full.
func (c *Core) reconcileTask(b *batch, m *mstate, rec *bk.MachineRecord, t protocol.Task, try protocol.Attempt) bool {
	p := m.byTask[t]
	j := b.viewJob(t.Job)
	if p != nil && (p.Try != try || p.Stage != protocol.Ended) {
		return true // running, or an old attempt that the next answer reaps
	}
	if p == nil {
		// Not there. While a start may be in flight this proves nothing.
		if _, ok := m.inflight[t]; ok {
			return true
		}
		gone := j == nil || j.Stage.Final() || c.calledOff(t.Job) || j.Halt >= try && j.Halt > 0 || c.mstopped(m, t, try)
		if j != nil && !j.Stage.Final() && j.Desc.Gang() && c.gangBroken(t.Job, try) {
			gone = true
		}
		if m.barred[t] == try {
			gone = true // taken back already; that write was refused, or a later one assigned it anew
		}
		if rec.Drain && m.firstSeen[t] == 0 && (m.recallAt != 0 || m.faulty || m.deaf() || c.mute(m)) {
			gone = true
		}
		if gone {
			if !b.hasRoom(b.needs(m.id)) {
				return false
			}
			c.requeue(b, m, t, try)
		}
		return true
	}
	daemon := j != nil && j.Desc != nil && j.Desc.Daemon()
	if p.Cause == protocol.CauseDone && j != nil && !j.Stage.Final() && !daemon {
		if !b.hasRoom(b.needs(m.id)) {
			return false
		}
		b.taskDone(m.id, t)
		b.marks = append(b.marks, func() { c.paced(m, t) })
		c.requeue(b, m, t, try)
		b.finish(t.Job)
		clear(m.errJobs)
		return true
	}
	if !b.hasRoom(b.needs(m.id)) {
		return false
	}
	c.requeue(b, m, t, try)
	if daemon {
		b.failed[t.Job] = true // how soon it is tried again shows once this is written
	}
	if p.Cause == protocol.CauseDone && !daemon {
		return true
	}
	b.log(slog.LevelInfo, "task ended without being done", "task", t.String(), "attempt", uint64(try), "machine", string(m.id),
		"cause", string(p.Cause), "saved", p.Saved)
	if p.Cause == protocol.CauseError {
		c.onTaskError(m, t.Job)
	}
	return true
}

func (c *Core) mstopped(m *mstate, t protocol.Task, try protocol.Attempt) bool {
	s, ok := m.stops[t]
	return ok && s.try == try
}

// onTaskError tells a faulty machine from a job that fails everywhere.
func (c *Core) onTaskError(m *mstate, id protocol.JobID) {
	j := c.jstate(id)
	j.failedOn[m.id] = true
	if e := c.replica.Jobs[id]; len(j.failedOn) >= 2 && (e == nil || c.replica.Done(id).IsZero()) {
		c.log(slog.LevelWarn, "job fails on several machines", "job", string(id), "machines", len(j.failedOn))
		return
	}
	m.errJobs[id] = true
	m.restUntil = c.now.Steady.Add(20 * time.Second)
	if len(m.errJobs) >= 2 && !m.faulty {
		m.faulty = true
		c.log(slog.LevelWarn, "machine is faulty", "machine", string(m.id))
	}
}

func (c *Core) wantsDrain(m *mstate, r *bk.MachineRecord) bool {
	return m.recallAt != 0 || m.faulty || m.deaf() || c.doubted(m) || c.now.Steady < m.restUntil || r.Session > 0 && (c.silent(m) || c.mute(m))
}

// quiet tells whether a worker has missed a report for sure.
func (c *Core) quiet(m *mstate) bool {
	return m.held == 0 && c.unheard(m) > c.cfg.Report*5/4+1500*time.Millisecond
}

// silent tells whether a worker has missed several reports.
func (c *Core) silent(m *mstate) bool {
	return m.held == 0 && c.unheard(m) > c.severalReports()
}

// severalReports is the time in which several reports must have come from a worker that
// reaches this node.
func (c *Core) severalReports() time.Duration { return 2*c.cfg.Report + c.cfg.Report/2 + time.Second }

// mute tells whether no report has come from a worker for a while, whatever it says when
// it is asked: starts go out in answers to reports only, so what is placed there waits.
func (c *Core) mute(m *mstate) bool {
	return m.held == 0 && c.since(max(m.reportedAt, c.wokeAt)) > c.severalReports()
}

// unheard is for how long nothing has come from a worker while this process could
// have heard it: one that stood still for seconds takes none of that for silence.
func (c *Core) unheard(m *mstate) time.Duration { return c.since(max(m.heardAt, c.wokeAt)) }

// gangBroken tells whether an attempt of a gang has been incomplete too long
// to be one that is still being written.
func (c *Core) gangBroken(id protocol.JobID, try protocol.Attempt) bool {
	j := c.jstate(id)
	return j.brokenAt != 0 && j.seenTry == try && c.since(j.brokenAt) > 3*time.Second
}
