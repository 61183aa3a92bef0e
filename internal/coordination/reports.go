package coordination

import (
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// stray notes a report of a machine that another run owns. If its worker answers
// here, its owner is told: the way between those two may be broken. (A worker
// that answers nobody, or a late copy, is no reason to hand anything over.)
func (c *Core) stray(r *protocol.Report) {
	s, ok := c.strayed[r.Machine]
	if ok && (r.Session < s.session || r.Session == s.session && r.Tally <= s.tally) || r.Addr == "" || len(c.strayed) >= c.maxStrayed() {
		return
	}
	if c.doing < c.maxDoing() {
		c.strayed[r.Machine] = stray{at: c.now.Steady, session: r.Session, tally: r.Tally}
		c.doing++
		c.emit(SendShow{r.Machine, r.Addr})
	}
}

// maxStrayed bounds the reports of others' machines that are kept in mind: a controller
// that has lost its workers may send all of them here.
func (c *Core) maxStrayed() int { return max(len(c.replica.Machines), 500) }

func (c *Core) redirect(req ReqID, to protocol.Member) {
	c.reply(req, 421, protocol.Redirect{Redirect: to})
}

// report handles a worker's report.
func (c *Core) report(v ReportInput) {
	r, err := protocol.ParseReport(v.Body)
	if err != nil {
		c.reply(v.Req, 400, errorBody{err.Error()})
		return
	}
	if !c.replication.loaded {
		c.reply(v.Req, 503, errorBody{"not ready"})
		return
	}
	e := c.replica.Machines[r.Machine]
	if e == nil || !c.mine(&e.Rec) {
		switch {
		case e != nil && c.replica.Alive(e.Rec.Owner) && e.Rec.Owner.Member() != c.cfg.Member:
			c.stray(r)
			c.redirect(v.Req, e.Rec.Owner.Member())
		case c.stateDown() || !c.registered():
			c.redirect(v.Req, "")
		default:
			m := c.mstate(r.Machine)
			if older(r, m.lastSession, m.lastTally) || e != nil && r.Session < e.Rec.Session {
				c.redirect(v.Req, "") // a late copy
				return
			}
			c.dropHeld(m)
			m.take(r, c.now.Steady)
			m.lastSession, m.lastTally = r.Session, r.Tally
			c.keep(m, v.Req, true)
			if e == nil {
				// It may be a copy that outlived its machine. Only a worker that
				// answers shows that there still is one.
				c.show(m, r.Addr)
			}
		}
		return
	}
	if r.FencingToken > e.Rec.FencingToken {
		// Someone else is entitled by now, whatever the replica says.
		c.redirect(v.Req, "")
		return
	}
	m := c.own(e, r.Machine)
	if older(r, m.lastSession, m.lastTally) || r.Session < e.Rec.Session {
		c.redirect(v.Req, "") // delivered late; its worker has long gone on
		return
	}
	c.dropHeld(m)
	m.lastSession, m.lastTally = r.Session, r.Tally
	c.heed(e, m, r)
	// One report is in flight at a time: the last answer has been carried out
	// or dropped by now.
	clear(m.inflight)
	if m.rep == nil || !older(r, m.rep.Session, m.rep.Tally) {
		m.take(r, c.now.Steady)
	}
	m.heardAt, m.reportedAt = c.now.Steady, c.now.Steady
	c.keep(m, v.Req, false)
	if !c.holdReport(e, m) {
		c.answerReport(e, m)
	}
}

// keep lets a report wait for its answer.
func (c *Core) keep(m *mstate, req ReqID, adopt bool) {
	m.held, m.heldAt, m.adopt = req, c.now.Steady, adopt
	c.holding[m.id] = true
	if adopt {
		c.adopting[m.id] = true
	}
}

// unhold gives the waiting report to whoever answers it now.
func (c *Core) unhold(m *mstate) ReqID {
	req := m.held
	m.held = 0
	delete(c.holding, m.id)
	delete(c.adopting, m.id)
	return req
}

func (c *Core) dropHeld(m *mstate) {
	if m.held != 0 {
		c.redirect(c.unhold(m), "")
	}
}

// heed notices a worker whose reports arrive while answers may not reach it: it
// does not show the token, nor the starts, that the last answer had, or its
// session has ended. Whether it hears is then asked directly.
func (c *Core) heed(e *bk.Machine, m *mstate, r *protocol.Report) {
	switch {
	case r.Session > m.owedSession && m.owedSession != 0, m.owed && (r.FencingToken < m.token || !m.showsStarts(r)):
		c.doubt(m)
	case m.owed:
		c.hears(m)
	}
	m.owed, m.owedSession = false, r.Session
}

func (c *Core) doubt(m *mstate) {
	if m.doubtAt == 0 {
		m.doubtAt = c.now.Steady
	}
}

// hears notes that something that was sent to the worker has arrived.
func (c *Core) hears(m *mstate) {
	if m.deafAt != 0 {
		c.log(slog.LevelInfo, "the machine hears again", "machine", string(m.id))
	}
	m.doubtAt, m.fails, m.deafAt = 0, 0, 0
}

// showsStarts tells whether the report shows any start that was on its way.
func (m *mstate) showsStarts(r *protocol.Report) bool {
	if len(m.inflight) == 0 {
		return true
	}
	for i := range r.Tasks {
		if try, ok := m.inflight[r.Tasks[i].Task]; ok && try == r.Tasks[i].Try {
			return true
		}
	}
	return false
}

// deaf tells whether what is sent to the worker is known not to arrive.
func (m *mstate) deaf() bool { return m.deafAt != 0 }

// doubted tells whether it has been unsure for a while that the worker hears.
func (c *Core) doubted(m *mstate) bool {
	return m.doubtAt != 0 && c.since(m.doubtAt) > 3*time.Second
}

// holdReport tells whether the answer should wait a moment for a write, so that
// it can carry the starts that take the place of what has ended.
func (c *Core) holdReport(e *bk.Machine, m *mstate) bool {
	if c.replica.Rev < m.ownedRev {
		return c.since(m.heldAt) < 3*time.Second
	}
	if c.stateDown() || !c.registered() {
		return false
	}
	r := m.rep
	if m.deaf() || m.confirmed < e.Rec.FencingToken {
		return false
	}
	if c.since(m.heldAt) >= c.reportHold() {
		return c.holdIdle(e, m)
	}
	if r.Session != e.Rec.Session {
		return bk.EpochOf(r.FencingToken) == e.Rec.Epoch || e.Rec.Session == 0
	}
	if bk.EpochOf(r.FencingToken) != e.Rec.Epoch {
		return false
	}
	for i := range r.Tasks {
		p := &r.Tasks[i]
		if p.Stage == protocol.Ended {
			if try, ok := e.Rec.Attempt(p.Task); ok && try == p.Try {
				return true
			}
		}
	}
	return c.expecting(e, m) || c.holdIdle(e, m)
}

// expecting tells whether the plan has tasks for the machine that its owner waits to
// see on record, most often those of a job that another controller has claimed. The
// answer waits for them within reportHold: without that a core that has become free
// stays so for half a report interval on average, where tasks are short a tenth of
// all cores.
func (c *Core) expecting(e *bk.Machine, m *mstate) bool {
	rec := &e.Rec
	if !c.planned.expects[m.id] || !c.fresh() || rec.Releasing || rec.Drain || m.rep.RecallS != nil {
		return false
	}
	for i := range rec.Assigned {
		if j := c.replica.Jobs[rec.Assigned[i].Job]; j == nil || j.Rec.Desc == nil || j.Rec.Desc.Gang() || !c.allShown(m, &rec.Assigned[i]) {
			return false // there is something to start
		}
	}
	return true
}

// reportHold is how long a report with news waits for the write. Where reports are
// far apart it waits longer: the next one, which would take what this answer
// lacks, is that much later.
func (c *Core) reportHold() time.Duration {
	return max(c.cfg.ReportHold, min(c.cfg.Report*3/8, 3*time.Second))
}

// holdIdle tells whether the answer to a machine with room waits for something
// to do: a start that is written meanwhile goes out at once instead of with the
// next report. The worker waits longer than that for an answer. While tasks
// run there it waits only where reports are so far apart that it pays.
func (c *Core) holdIdle(e *bk.Machine, m *mstate) bool {
	r, rec := m.rep, &e.Rec
	if c.since(m.heldAt) >= c.cfg.IdleHold || !c.fresh() || bk.EpochOf(r.FencingToken) != rec.Epoch || r.Session != rec.Session || r.RecallS != nil ||
		rec.Releasing || rec.Drain {
		return false
	}
	if len(r.Tasks) == 0 && len(rec.Assigned) == 0 {
		return true
	}
	if c.cfg.Report < 2*c.cfg.IdleHold {
		return false
	}
	fl := c.flavor(rec.Type)
	if fl == nil {
		return false
	}
	free := fl.Cores
	for i := range rec.Assigned {
		j := c.replica.Jobs[rec.Assigned[i].Job]
		if j == nil || j.Rec.Desc == nil || j.Rec.Desc.Gang() {
			return false
		}
		free -= float64(rec.Assigned[i].Tasks.Len()) * j.Rec.Desc.Cores
		if !c.allShown(m, &rec.Assigned[i]) {
			return false // there is something to start
		}
	}
	for i := range r.Tasks {
		if p := &r.Tasks[i]; p.Stage == protocol.Ended {
			return false // to be reaped
		}
	}
	return free >= fl.Cores/3
}

// allShown tells whether the report shows all tasks of an assignment.
func (c *Core) allShown(m *mstate, a *bk.Assigned) bool {
	all := true
	a.Tasks.Each(func(n int) bool {
		p := m.byTask[protocol.Task{Job: a.Job, Index: n}]
		all = p != nil && p.Try == a.Try
		return all
	})
	return all
}

func (c *Core) settleReports() {
	if !c.stirred {
		return
	}
	c.stirred = false
	for _, id := range sorted(c.holding) {
		m := c.machines[id]
		e := c.replica.Machines[id]
		if m.adopt {
			switch {
			case e != nil && c.mine(&e.Rec):
				m.adopt = false
				delete(c.adopting, id)
				c.own(e, id)
				if m.rep.FencingToken > e.Rec.FencingToken || m.rep.Session < e.Rec.Session {
					c.dropHeld(m)
				} else if c.replica.Rev >= m.ownedRev {
					c.answerReport(e, m)
				}
			case e != nil && c.replica.Alive(e.Rec.Owner):
				c.redirect(c.unhold(m), e.Rec.Owner.Member())
			case c.stateDown() || c.since(m.heldAt) > 2500*time.Millisecond:
				c.dropHeld(m)
			}
			continue
		}
		if e != nil && !c.mine(&e.Rec) && c.replica.Alive(e.Rec.Owner) {
			c.redirect(c.unhold(m), e.Rec.Owner.Member())
		} else if e == nil || !c.mine(&e.Rec) || m.rep.FencingToken > e.Rec.FencingToken {
			c.dropHeld(m)
		} else if !c.holdReport(e, m) {
			c.answerReport(e, m)
		}
	}
}

// answerReport answers the report that is held: 200 with the orders.
func (c *Core) answerReport(e *bk.Machine, m *mstate) {
	if c.replica.Rev < m.ownedRev {
		// The replica may lack what was written before this run became the owner: a job
		// may have been withdrawn that nobody told this run of.
		c.dropHeld(m)
		return
	}
	orders := c.orders(e, m, true)
	for _, o := range orders {
		if o.Verb == protocol.Start {
			m.inflight[o.Task] = o.Try
		}
	}
	m.owed = len(m.inflight) > 0 || m.rep.FencingToken < e.Rec.FencingToken
	o := protocol.Orders{FencingToken: e.Rec.FencingToken, Orders: orders}
	c.emit(Reply{Req: c.unhold(m), Status: 200, Body: o.Encode()})
	if m.heldAt > m.answered {
		m.answered, m.token = m.heldAt, e.Rec.FencingToken
	}
}

// orders lists what the worker is to do. Starts and reaps go into answers to
// reports only: those are never carried out late.
func (c *Core) orders(e *bk.Machine, m *mstate, inAnswer bool) []protocol.Order {
	var out []protocol.Order
	rep, rec := m.rep, &e.Rec
	proven := m.proven(rec) != nil
	fresh := c.fresh()
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		try, ok := rec.Attempt(p.Task)
		assigned := ok && try == p.Try
		if p.Stage == protocol.Ended {
			if inAnswer && proven && !assigned && fresh {
				out = append(out, protocol.Order{Verb: protocol.Reap, Task: p.Task, Try: p.Try})
			}
			continue
		}
		grace := -1.0
		if s, ok := m.stops[p.Task]; ok && s.try == p.Try {
			if p.Stage != protocol.Flushing || s.grace == 0 {
				grace = s.grace
			}
		}
		if !assigned && fresh || c.calledOff(p.Task.Job) {
			grace = 0
		}
		if grace >= 0 {
			g := grace
			out = append(out, protocol.Order{Verb: protocol.Stop, Task: p.Task, Try: p.Try, WindDownS: &g})
		}
	}
	if !inAnswer || !fresh || rep.Session != rec.Session || rec.Releasing || m.deaf() || c.atRest(rec.Page) {
		return out
	}
	for i := range rec.Assigned {
		a := &rec.Assigned[i]
		j := c.replica.Jobs[a.Job]
		if j == nil || j.Rec.Stage.Final() || c.calledOff(a.Job) || j.Rec.Halt >= a.Try && j.Rec.Halt > 0 {
			continue
		}
		if j.Rec.Desc.Gang() && !c.gangWhole(a.Job, &j.Rec, a.Try) {
			continue
		}
		a.Tasks.Each(func(n int) bool {
			t := protocol.Task{Job: a.Job, Index: n}
			if p := m.byTask[t]; p != nil && (p.Try == a.Try || p.Stage != protocol.Ended || !proven) {
				return true // here already, or an old attempt that must go first
			}
			if try, ok := m.barred[t]; ok && try >= a.Try {
				return true
			}
			// A stop of an earlier attempt, which may have ended unseen with its
			// session, does not hold back the next one.
			if s, ok := m.stops[t]; ok && s.try >= a.Try {
				return true
			}
			out = append(out, protocol.Order{Verb: protocol.Start, Task: t, Try: a.Try})
			return true
		})
	}
	return out
}

// gangWhole tells whether every task of the gang is assigned with the attempt
// or done: only then may any of them start.
func (c *Core) gangWhole(id protocol.JobID, j *bk.JobRecord, try protocol.Attempt) bool {
	have := c.replica.Done(id)
	for mid := range c.replica.On(id) {
		m := c.replica.Machines[mid]
		if m.Rec.Releasing {
			continue
		}
		for a := range m.Rec.Of(id) {
			if a.Try == try {
				have = have.Union(a.Tasks)
			}
		}
	}
	return have.Len() == j.Desc.Tasks
}

// onDo takes the report that answers a direct command.
func (c *Core) onDo(v DoResult) {
	c.doing--
	ok := v.Err == nil && v.Report != nil && v.Report.Machine == v.Machine
	if s, is := c.strayed[v.Machine]; is && ok {
		s.shown = true
		c.strayed[v.Machine] = s
	}
	m := c.machines[v.Machine]
	if m == nil {
		return
	}
	m.doOut = false
	e := c.replica.Machines[v.Machine]
	if e == nil && m.adopt && ok {
		if !older(v.Report, m.lastSession, m.lastTally) {
			m.take(v.Report, c.now.Steady)
			m.shown = true
		}
		return
	}
	if e == nil || !c.mine(&e.Rec) {
		// Asked as a last resort: what its worker shows is no less true.
		if e != nil && ok && (m.rep == nil || !older(v.Report, m.rep.Session, m.rep.Tally)) {
			m.take(v.Report, c.now.Steady)
		}
		return
	}
	if !ok {
		if m.fails == 0 {
			m.failAt = m.doAt
		}
		m.fails++
		c.doubt(m)
		// It talks all the while: it is no dead machine, and no cut one.
		if m.fails >= 2 && m.heardAt > m.failAt && m.deafAt == 0 {
			m.deafAt = c.now.Steady
			c.log(slog.LevelWarn, "nothing that is sent reaches the machine", "machine", string(m.id))
		}
		return
	}
	if m.rep == nil || !older(v.Report, m.rep.Session, m.rep.Tally) {
		m.take(v.Report, c.now.Steady)
		c.hears(m)
	}
}

// Direct commands under way at once: after a takeover there are hundreds of
// workers to be told, and each call takes a socket. Those of a large fleet grow with it, as
// the machines do that hang at once, each of which holds a call for seconds.
const (
	fewestDoing = 24
	doingPart   = 32 // of the machines on record, one in so many
)

func (c *Core) maxDoing() int { return max(fewestDoing, len(c.replica.Machines)/doingPart) }

// do sends a direct command, at most one at a time to a machine.
func (c *Core) do(e *bk.Machine, m *mstate, orders []protocol.Order, again time.Duration) {
	if m.doOut || m.doAt != 0 && c.since(m.doAt) < again || e.Rec.Addr == "" || len(orders) == 0 && c.doing >= c.maxDoing() {
		return
	}
	session := e.Rec.Session
	if m.rep != nil && m.rep.Session > session {
		session = m.rep.Session
	}
	if session == 0 {
		return
	}
	m.doOut, m.doAt = true, c.now.Steady
	c.doing++
	c.emit(SendDo{m.id, e.Rec.Addr, protocol.Orders{FencingToken: e.Rec.FencingToken, Session: session, Orders: orders}})
}

// show asks the worker of a machine that this run does not own for its report.
func (c *Core) show(m *mstate, addr string) {
	if m.doOut || m.shown || addr == "" || c.doing >= 2*c.maxDoing() {
		return
	}
	m.doOut, m.doAt = true, c.now.Steady
	c.doing++
	c.emit(SendShow{m.id, addr})
}

// stop notes that a task is to stop.
func (c *Core) stop(m *mstate, t protocol.Task, try protocol.Attempt, grace float64, why string) {
	if s, ok := m.stops[t]; ok && s.try == try && s.grace <= grace {
		return
	}
	m.stops[t] = stopOrder{try, grace}
	c.log(slog.LevelInfo, "task is stopped", "task", t.String(), "attempt", uint64(try), "machine", string(m.id), "why", why)
}
