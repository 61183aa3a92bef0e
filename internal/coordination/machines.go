package coordination

import (
	"log/slog"
	"strings"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// mstate is what this process remembers of a machine beyond its record.
type mstate struct {
	id protocol.MachineID

	rep         *protocol.Report // newest report
	byTask      map[protocol.Task]*protocol.TaskReport
	confirmed   protocol.Baton   // highest baton that the worker has shown
	confirmedAt protocol.Instant // when it first did
	beatShift   protocol.Shift   // order of the reports
	beatTally   protocol.Tally   //
	answered    protocol.Instant // receipt of the last report that was answered with 200
	baton       protocol.Baton   // under which it was
	heardAt     protocol.Instant // any sign of life, or the begin of this ownership

	held   ReqID // a report that waits for its answer
	heldAt protocol.Instant
	adopt  bool // it waits until this node owns the machine

	// Starts in the answer that the worker may not have carried out yet. A
	// report that lacks them proves nothing while they are in flight.
	inflight map[protocol.Task]protocol.Attempt
	// Attempts that are being taken back: never started from then on, since
	// the transaction that takes them back may still be applied.
	barred map[protocol.Task]protocol.Attempt
	stops  map[protocol.Task]stopOrder
	doAt   protocol.Instant
	doOut  bool

	firstSeen map[protocol.Task]protocol.Instant
	images    []image // most recently used last
	errJobs   map[protocol.JobID]bool
	restUntil protocol.Instant
	recallAt  protocol.Instant // 0: none; else when the cloud takes it
	idleSince protocol.Instant
	faulty    bool
	leave     string // why the machine is to go back
	handTo    bk.Run // a run to which the worker reports instead
	handAt    protocol.Instant
	ownedRun  bk.Run
	ownedBat  protocol.Baton
}

type image struct {
	name string
	gb   float64
}

type stopOrder struct {
	try   protocol.Attempt
	grace float64
}

// jstate is what this process remembers of a job beyond its record.
type jstate struct {
	next, end protocol.Attempt // attempts set aside for this claim
	claim     bk.Run
	failedOn  map[protocol.MachineID]bool
	given     int // tasks placed so far, each time counted
	notBefore protocol.Instant
	brokenAt  protocol.Instant
	withdrawn protocol.Instant
	seenTry   protocol.Attempt
	building  protocol.Attempt // of a gang whose assignment takes several transactions
}

func (c *Core) mstate(id protocol.MachineID) *mstate {
	m := c.machines[id]
	if m == nil {
		m = &mstate{id: id, heardAt: c.now.Steady}
		m.clear()
		c.machines[id] = m
	}
	return m
}

func (m *mstate) clear() {
	m.inflight = map[protocol.Task]protocol.Attempt{}
	m.barred = map[protocol.Task]protocol.Attempt{}
	m.stops = map[protocol.Task]stopOrder{}
	m.firstSeen = map[protocol.Task]protocol.Instant{}
	m.errJobs = map[protocol.JobID]bool{}
}

func (c *Core) jstate(id protocol.JobID) *jstate {
	j := c.jobs[id]
	if j == nil {
		j = &jstate{failedOn: map[protocol.MachineID]bool{}}
		c.jobs[id] = j
	}
	return j
}

// mine tells whether this run owns the machine, as far as it knows.
func (c *Core) mine(r *bk.MachineRecord) bool { return c.run != "" && r.Owner == c.run }

// own begins or goes on with the ownership of a machine: what an earlier
// owner was told proves nothing under a new baton.
func (c *Core) own(e *bk.Entry[bk.MachineRecord], id protocol.MachineID) *mstate {
	m := c.mstate(id)
	if m.ownedRun != e.Rec.Owner || m.ownedBat != e.Rec.Baton {
		m.ownedRun, m.ownedBat = e.Rec.Owner, e.Rec.Baton
		m.clear()
		m.answered, m.baton = 0, 0
		m.heardAt = c.now.Steady
		m.idleSince = 0
		m.handTo = ""
	}
	return m
}

// proven is the newest report if it was sent under the current baton and in
// the recorded session: only then does what it lacks prove anything.
func (m *mstate) proven(r *bk.MachineRecord) *protocol.Report {
	if m.rep == nil || m.rep.Baton != r.Baton || m.rep.Shift != r.Shift {
		return nil
	}
	return m.rep
}

func (m *mstate) take(r *protocol.Report, now protocol.Instant) {
	m.rep = r
	m.heardAt = now
	if r.Baton > m.confirmed {
		m.confirmed, m.confirmedAt = r.Baton, now
	}
	m.byTask = make(map[protocol.Task]*protocol.TaskReport, len(r.Pieces))
	for i := range r.Pieces {
		p := &r.Pieces[i]
		m.byTask[p.Task] = p
		if p.Stage != protocol.Ended && m.firstSeen[p.Task] == 0 {
			m.firstSeen[p.Task] = now
		}
	}
	for t := range m.firstSeen {
		if p := m.byTask[t]; p == nil || p.Stage == protocol.Ended {
			delete(m.firstSeen, t)
		}
	}
	for t, s := range m.stops {
		if p := m.byTask[t]; p != nil && p.Try != s.try {
			delete(m.stops, t)
		}
	}
	if r.RecallS != nil {
		at := now.Add(protocol.Seconds(*r.RecallS))
		if m.recallAt == 0 || at < m.recallAt {
			m.recallAt = at
		}
	} else {
		m.recallAt = 0
	}
}

func older(r *protocol.Report, shift protocol.Shift, tally protocol.Tally) bool {
	return r.Shift < shift || r.Shift == shift && r.Tally <= tally
}

func (c *Core) redirect(req ReqID, to protocol.Member) {
	c.reply(req, 421, protocol.Foreman{Foreman: to})
}

// beat handles a worker's report.
func (c *Core) beat(v BeatInput) {
	r, err := protocol.ParseReport(v.Body)
	if err != nil {
		c.reply(v.Req, 400, errorBody{err.Error()})
		return
	}
	if !c.loaded {
		c.reply(v.Req, 503, errorBody{"not ready"})
		return
	}
	e := c.mir.Machines[r.Stall]
	if e == nil || !c.mine(&e.Rec) {
		switch {
		case e != nil && c.mir.Alive(e.Rec.Owner) && e.Rec.Owner.Member() != c.cfg.Member:
			c.strayed[r.Stall] = c.now.Steady
			c.redirect(v.Req, e.Rec.Owner.Member())
		case c.stateDown() || !c.registered():
			c.redirect(v.Req, "")
		default:
			m := c.mstate(r.Stall)
			c.dropHeld(m)
			m.held, m.heldAt, m.adopt = v.Req, c.now.Steady, true
			m.take(r, c.now.Steady)
			m.beatShift, m.beatTally = r.Shift, r.Tally
		}
		return
	}
	if r.Baton > e.Rec.Baton {
		// Someone else is entitled by now, whatever the mirror says.
		c.redirect(v.Req, "")
		return
	}
	m := c.own(e, r.Stall)
	if older(r, m.beatShift, m.beatTally) || r.Shift < e.Rec.Shift {
		c.redirect(v.Req, "") // delivered late; its worker has long gone on
		return
	}
	c.dropHeld(m)
	m.beatShift, m.beatTally = r.Shift, r.Tally
	// One report is in flight at a time: the last answer has been carried out
	// or dropped by now.
	clear(m.inflight)
	if m.rep == nil || !older(r, m.rep.Shift, m.rep.Tally) {
		m.take(r, c.now.Steady)
	}
	m.heardAt = c.now.Steady
	m.held, m.heldAt, m.adopt = v.Req, c.now.Steady, false
	if !c.holdBeat(e, m) {
		c.answerBeat(e, m)
	}
}

func (c *Core) dropHeld(m *mstate) {
	if m.held != 0 {
		c.redirect(m.held, "")
		m.held = 0
	}
}

// holdBeat tells whether the answer should wait a moment for a write, so that
// it can carry the starts that take the place of what has ended.
func (c *Core) holdBeat(e *bk.Entry[bk.MachineRecord], m *mstate) bool {
	if c.stateDown() || !c.registered() {
		return false
	}
	r := m.rep
	if c.since(m.heldAt) >= c.cfg.BeatHold {
		return c.holdIdle(e, m)
	}
	if r.Shift != e.Rec.Shift {
		return r.Baton == e.Rec.Baton || e.Rec.Shift == 0
	}
	if r.Baton != e.Rec.Baton {
		return false
	}
	for i := range r.Pieces {
		p := &r.Pieces[i]
		if p.Stage == protocol.Ended {
			if try, ok := e.Rec.Attempt(p.Task); ok && try == p.Try {
				return true
			}
		}
	}
	return c.holdIdle(e, m)
}

// holdIdle tells whether the answer to a machine with nothing to do waits for
// something to do: a start that is written meanwhile goes out at once instead
// of with the next report. The worker waits longer than that for an answer, and
// nothing can happen on the machine that it would have to report.
func (c *Core) holdIdle(e *bk.Entry[bk.MachineRecord], m *mstate) bool {
	r, rec := m.rep, &e.Rec
	return c.since(m.heldAt) < c.cfg.IdleHold && c.fresh() && len(r.Pieces) == 0 && len(rec.Assigned) == 0 &&
		r.Baton == rec.Baton && r.Shift == rec.Shift && r.RecallS == nil && !rec.Releasing
}

func (c *Core) settleBeats() {
	for _, id := range pick(c.machines, func(m *mstate) bool { return m.held != 0 }) {
		m := c.machines[id]
		e := c.mir.Machines[id]
		if m.adopt {
			switch {
			case e != nil && c.mine(&e.Rec):
				m.adopt = false
				c.own(e, id)
				m.beatShift, m.beatTally = m.rep.Shift, m.rep.Tally
				if m.rep.Baton > e.Rec.Baton || m.rep.Shift < e.Rec.Shift {
					c.dropHeld(m)
				} else {
					c.answerBeat(e, m)
				}
			case e != nil && c.mir.Alive(e.Rec.Owner):
				c.redirect(m.held, e.Rec.Owner.Member())
				m.held = 0
			case c.stateDown() || c.since(m.heldAt) > 2500*time.Millisecond:
				c.dropHeld(m)
			}
			continue
		}
		if e == nil || !c.mine(&e.Rec) || m.rep.Baton > e.Rec.Baton {
			c.dropHeld(m)
		} else if !c.holdBeat(e, m) {
			c.answerBeat(e, m)
		}
	}
}

// answerBeat answers the report that is held: 200 with the orders.
func (c *Core) answerBeat(e *bk.Entry[bk.MachineRecord], m *mstate) {
	orders := c.orders(e, m, true)
	for _, o := range orders {
		if o.Verb == protocol.Start {
			m.inflight[o.Task] = o.Try
		}
	}
	o := protocol.Orders{Baton: e.Rec.Baton, Orders: orders}
	c.emit(Reply{Req: m.held, Status: 200, Body: o.Encode()})
	if m.heldAt > m.answered {
		m.answered, m.baton = m.heldAt, e.Rec.Baton
	}
	m.held = 0
}

// orders lists what the worker is to do. Starts and reaps go into answers to
// reports only: those are never carried out late.
func (c *Core) orders(e *bk.Entry[bk.MachineRecord], m *mstate, inAnswer bool) []protocol.Order {
	var out []protocol.Order
	rep, rec := m.rep, &e.Rec
	proven := m.proven(rec) != nil
	fresh := c.fresh()
	for i := range rep.Pieces {
		p := &rep.Pieces[i]
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
		j := c.mir.Jobs[p.Task.Job]
		if !assigned && fresh || j != nil && j.Rec.Stage == protocol.Withdrawn {
			grace = 0
		}
		if grace >= 0 {
			g := grace
			out = append(out, protocol.Order{Verb: protocol.Stop, Task: p.Task, Try: p.Try, WindDownS: &g})
		}
	}
	if !inAnswer || !fresh || rep.Shift != rec.Shift || rec.Releasing {
		return out
	}
	for i := range rec.Assigned {
		a := &rec.Assigned[i]
		j := c.mir.Jobs[a.Job]
		if j == nil || j.Rec.Stage.Final() || j.Rec.Halt >= a.Try && j.Rec.Halt > 0 {
			continue
		}
		if j.Rec.Desc.Gang() && !c.gangWhole(a.Job, &j.Rec, a.Try) {
			continue
		}
		a.Pieces.Each(func(n int) bool {
			t := protocol.Task{Job: a.Job, Piece: n}
			if p := m.byTask[t]; p != nil && (p.Try == a.Try || p.Stage != protocol.Ended || !proven) {
				return true // here already, or an old attempt that must go first
			}
			if try, ok := m.barred[t]; ok && try >= a.Try {
				return true
			}
			if _, ok := m.stops[t]; ok {
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
	have := j.Done
	for _, m := range c.mir.Machines {
		if m.Rec.Releasing {
			continue
		}
		for i := range m.Rec.Assigned {
			if a := &m.Rec.Assigned[i]; a.Job == id && a.Try == try {
				have = have.Union(a.Pieces)
			}
		}
	}
	return have.Len() == j.Desc.Pieces
}

// onDo takes the report that answers a direct command.
func (c *Core) onDo(v DoResult) {
	m := c.machines[v.Machine]
	if m == nil {
		return
	}
	m.doOut = false
	e := c.mir.Machines[v.Machine]
	if v.Err != nil || v.Report == nil || e == nil || !c.mine(&e.Rec) || v.Report.Stall != v.Machine {
		return
	}
	if m.rep == nil || !older(v.Report, m.rep.Shift, m.rep.Tally) {
		m.take(v.Report, c.now.Steady)
	}
}

// do sends a direct command, at most one at a time to a machine.
func (c *Core) do(e *bk.Entry[bk.MachineRecord], m *mstate, orders []protocol.Order, again time.Duration) {
	if m.doOut || m.doAt != 0 && c.since(m.doAt) < again || e.Rec.Addr == "" {
		return
	}
	shift := e.Rec.Shift
	if m.rep != nil && m.rep.Shift > shift {
		shift = m.rep.Shift
	}
	if shift == 0 {
		return
	}
	m.doOut, m.doAt = true, c.now.Steady
	c.emit(SendDo{m.id, e.Rec.Addr, protocol.Orders{Baton: e.Rec.Baton, Shift: shift, Orders: orders}})
}

// stop notes that a task is to stop.
func (c *Core) stop(m *mstate, t protocol.Task, try protocol.Attempt, grace float64, why string) {
	if s, ok := m.stops[t]; ok && s.try == try && s.grace <= grace {
		return
	}
	m.stops[t] = stopOrder{try, grace}
	c.log(slog.LevelInfo, "task is stopped", "task", t.String(), "attempt", uint64(try), "machine", string(m.id), "why", why)
}

func (c *Core) onDeleted(key string) {
	if id, ok := strings.CutPrefix(key, bk.MachineKey("")); ok {
		c.released[protocol.MachineID(id)] = c.now.Steady
		if m := c.machines[protocol.MachineID(id)]; m != nil {
			c.dropHeld(m)
			delete(c.machines, protocol.MachineID(id))
		}
	}
}

// writeHalts puts the orderly stop of gangs on record. Every owner of a machine
// with one of the tasks reads it there at once and sends the stop directly, so
// that all tasks hear of it within gang_peer_s.
func (c *Core) writeHalts(b *batch) {
	for _, id := range sorted(c.halts) {
		e := c.mir.Jobs[id]
		if e == nil || e.Rec.Stage.Final() || e.Rec.Halt >= c.halts[id] {
			delete(c.halts, id)
		} else if b.hasRoom(b.needs("", id)) {
			b.job(id).Halt = c.halts[id]
			b.log(slog.LevelInfo, "gang stops in order", "job", string(id), "attempt", uint64(c.halts[id]))
		}
	}
}

// writeTakeovers writes the ownership of machines that report here, and of
// those whose owner has been dead for a while and that fall to this node.
func (c *Core) writeTakeovers(b *batch) {
	for _, id := range pick(c.machines, func(m *mstate) bool { return m.adopt && m.held != 0 }) {
		m := c.machines[id]
		if !b.hasRoom(1) {
			continue
		}
		e := c.mir.Machines[id]
		if e == nil {
			b.open(bk.MachineKey(id))
			b.machines[id] = &bk.MachineRecord{Owner: c.run, Baton: m.rep.Baton + 1, Shift: m.rep.Shift, Addr: m.rep.Addr,
				Build: m.rep.Build, Yard: m.rep.Yard, Loaner: m.rep.Loaners, Since: c.now.Wall}
			b.log(slog.LevelInfo, "machine adopted", "machine", string(id), "type", string(m.rep.Build), "zone", string(m.rep.Yard))
		} else if !c.mir.Alive(e.Rec.Owner) {
			c.takeOver(b, id, m.rep)
		}
	}
	if len(c.deadAt) == 0 {
		return
	}
	for _, id := range b.ids() {
		e := c.mir.Machines[id]
		at, dead := c.deadAt[e.Rec.Owner]
		if !dead || b.machines[id] != nil || c.since(at) < 1500*time.Millisecond || !b.hasRoom(1) {
			continue
		}
		if c.heir(bk.MachineKey(id)) || c.since(at) > 15*time.Second {
			c.takeOver(b, id, nil)
		}
	}
}

func (c *Core) takeOver(b *batch, id protocol.MachineID, rep *protocol.Report) {
	r := b.machine(id)
	b.log(slog.LevelInfo, "machine taken over", "machine", string(id), "from", string(r.Owner), "baton", uint64(r.Baton+1))
	r.Owner = c.run
	r.Baton++
	if rep != nil {
		r.Baton = max(r.Baton, rep.Baton+1)
		if rep.Addr != "" {
			r.Addr = rep.Addr
		}
	}
}

// writeMachines brings the records of owned machines in line with what their
// workers report: one write per machine, whatever ended there.
func (c *Core) writeMachines(b *batch) {
	for _, id := range b.ids() {
		e := c.mir.Machines[id]
		if c.mine(&e.Rec) {
			c.reconcile(b, id, e)
		}
	}
}

// requeue takes a task back from a machine where it provably is no more.
func (c *Core) requeue(b *batch, m *mstate, t protocol.Task, try protocol.Attempt) {
	b.machine(m.id).Unassign(t)
	m.barred[t] = try
	b.marks = append(b.marks, func() { delete(m.stops, t) })
}

// surelyExpired tells whether the worker's lease must have run out: this
// baton was confirmed by the worker, so only this run's answers counted, and
// the last of them answered a report sent no later than it was received.
func (c *Core) surelyExpired(m *mstate, r *bk.MachineRecord) bool {
	if m.confirmed != r.Baton || m.rep == nil {
		return false
	}
	// Before it showed this baton, an earlier owner may have renewed its lease.
	last := m.confirmedAt
	if m.baton == r.Baton {
		last = max(last, m.answered)
	}
	// Steady clocks drift by up to 0.05% each; the rest is margin.
	wait := c.cfg.Lease + c.cfg.Lease/500 + 500*time.Millisecond
	return c.since(last) > wait && m.held == 0
}

func (c *Core) reconcile(b *batch, id protocol.MachineID, e *bk.Entry[bk.MachineRecord]) {
	if b.machines[id] != nil {
		return // being taken over in this transaction
	}
	m := c.own(e, id)
	rec := &e.Rec
	rep := m.rep

	if rec.Releasing {
		if rel := c.releasing[id]; rel != nil && rel.done && b.hasRoom(1) {
			key := bk.MachineKey(id)
			b.open(key)
			b.deletes[key] = true
			b.log(slog.LevelInfo, "machine is gone", "machine", string(id), "tasks", len(rec.Assigned))
		}
		return
	}
	if m.handTo != "" && c.since(m.handAt) < 4*time.Second && c.quiet(m) && c.mir.Alive(m.handTo) && b.hasRoom(1) {
		r := b.machine(id)
		r.Owner, r.Drain = m.handTo, false
		r.Baton++
		b.log(slog.LevelInfo, "machine handed over, its worker reports there", "machine", string(id), "to", string(m.handTo))
		return
	}
	// A newer session: whatever was assigned in the old one has been killed.
	if rep != nil && rep.Shift > rec.Shift && rep.Baton <= rec.Baton {
		if rec.Shift > 0 || len(rec.Assigned) == 0 {
			if !b.hasRoom(1) {
				return
			}
			r := b.machine(id)
			c.takeBackAll(b, m, r, "newer session")
			r.Shift, r.Addr = rep.Shift, rep.Addr
			if rec.Shift == 0 {
				r.Build, r.Yard, r.Loaner = rep.Build, rep.Yard, rep.Loaners
			}
		}
		return
	}
	if len(rec.Assigned) > 0 && c.surelyExpired(m, rec) {
		if b.hasRoom(1) {
			c.takeBackAll(b, m, b.machine(id), "lease expired")
			b.machine(id).Drain = true
		}
		return
	}
	if proven := m.proven(rec); proven != nil {
		for i := range rec.Assigned {
			a := &rec.Assigned[i]
			a.Pieces.Each(func(n int) bool {
				return c.reconcileTask(b, m, rec, protocol.Task{Job: a.Job, Piece: n}, a.Try)
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
		a.Pieces.Each(func(n int) bool {
			m.barred[protocol.Task{Job: a.Job, Piece: n}] = a.Try
			return true
		})
		b.log(slog.LevelInfo, "tasks requeued", "machine", string(m.id), "job", string(a.Job), "tasks", a.Pieces.String(), "why", why)
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
		gone := j == nil || j.Stage.Final() || j.Halt >= try && j.Halt > 0 || c.mstopped(m, t, try)
		if j != nil && !j.Stage.Final() && j.Desc.Gang() && c.gangBroken(t.Job, try) {
			gone = true
		}
		if m.barred[t] == try {
			gone = true // taken back already; that write was refused, or a later one assigned it anew
		}
		if rec.Drain && m.firstSeen[t] == 0 && (m.recallAt != 0 || m.faulty) {
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
	if p.Cause == protocol.CauseDone && j != nil && !j.Stage.Final() {
		if !b.hasRoom(b.needs(m.id, t.Job)) {
			return false
		}
		r := b.job(t.Job)
		r.Done = r.Done.Add(t.Piece)
		if r.Done.Len() == r.Desc.Pieces {
			b.log(slog.LevelInfo, "job done", "job", string(t.Job), "lane", r.Desc.Lane, "after_s", float64(c.now.Wall-r.Sent)/1000)
			*r = bk.JobRecord{Stage: protocol.Done, Count: r.Desc.Pieces, Sent: r.Sent}
		}
		c.requeue(b, m, t, try)
		clear(m.errJobs)
		return true
	}
	if !b.hasRoom(b.needs(m.id)) {
		return false
	}
	c.requeue(b, m, t, try)
	if p.Cause == protocol.CauseDone {
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
	if e := c.mir.Jobs[id]; len(j.failedOn) >= 2 && (e == nil || e.Rec.Done.IsZero()) {
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
	return m.recallAt != 0 || m.faulty || c.now.Steady < m.restUntil || r.Shift > 0 && c.silent(m)
}

// quiet tells whether a worker has missed a report for sure.
func (c *Core) quiet(m *mstate) bool {
	return m.held == 0 && c.since(m.heardAt) > c.cfg.Report*5/4+1500*time.Millisecond
}

// silent tells whether a worker has missed several reports.
func (c *Core) silent(m *mstate) bool {
	return m.held == 0 && c.since(m.heardAt) > 2*c.cfg.Report+c.cfg.Report/2+time.Second
}

// gangBroken tells whether an attempt of a gang has been incomplete too long
// to be one that is still being written.
func (c *Core) gangBroken(id protocol.JobID, try protocol.Attempt) bool {
	j := c.jstate(id)
	return j.brokenAt != 0 && j.seenTry == try && c.since(j.brokenAt) > 3*time.Second
}

// tickMachines looks after owned machines: stops that are due, silence, release.
func (c *Core) tickMachines() {
	if !c.loaded {
		return
	}
	c.watchGangs()
	total, quiet := 0, 0
	for id, e := range c.mir.Machines {
		if c.mine(&e.Rec) && e.Rec.Shift > 0 && !e.Rec.Releasing {
			total++
			if c.silent(c.own(e, id)) {
				quiet++
			}
		}
	}
	// If nearly all fall silent, it is this node that is cut off.
	cutOff := quiet > 3 && quiet*3 > total*2
	c.silentOwn = quiet
	for _, id := range sorted(c.mir.Machines) {
		e := c.mir.Machines[id]
		if !c.mine(&e.Rec) {
			if m := c.machines[id]; m != nil && m.held == 0 {
				m.ownedRun = ""
			}
			continue
		}
		m := c.own(e, id)
		c.tickStops(e, m)
		c.tickRelease(e, m, cutOff)
		if e.Rec.Shift > 0 && m.confirmed < e.Rec.Baton && c.since(m.heardAt) > 500*time.Millisecond {
			// The worker may still report to an owner that was cut off: the
			// higher baton makes that one's answers worthless.
			c.do(e, m, nil, 2*time.Second)
		}
	}
	for id, m := range c.machines {
		if c.mir.Machines[id] == nil && m.held == 0 {
			delete(c.machines, id)
		}
	}
	for id := range c.jobs {
		if e := c.mir.Jobs[id]; e == nil || e.Rec.Stage == protocol.Done {
			delete(c.jobs, id)
		}
	}
}

func (c *Core) watchGangs() {
	for id, e := range c.mir.Jobs {
		if e.Rec.Stage.Final() || e.Rec.Desc == nil || !e.Rec.Desc.Gang() || e.Rec.Desc.Pieces < 2 {
			continue
		}
		var try protocol.Attempt
		for _, m := range c.mir.Machines {
			for i := range m.Rec.Assigned {
				if a := &m.Rec.Assigned[i]; a.Job == id {
					try = max(try, a.Try)
				}
			}
		}
		j := c.jstate(id)
		if try == 0 || c.gangWhole(id, &e.Rec, try) {
			j.brokenAt = 0
		} else if j.brokenAt == 0 || j.seenTry != try {
			j.brokenAt = c.now.Steady
		}
		j.seenTry = try
	}
}

// tickStops decides which tasks of an owned machine must stop, and sends the
// stops directly: the next report may be seconds away.
func (c *Core) tickStops(e *bk.Entry[bk.MachineRecord], m *mstate) {
	if m.rep == nil {
		return
	}
	urgent := false
	var left time.Duration
	if m.recallAt != 0 {
		left = m.recallAt.Sub(c.now.Steady)
	}
	for i := range m.rep.Pieces {
		p := &m.rep.Pieces[i]
		if p.Stage == protocol.Ended {
			continue
		}
		je := c.mir.Jobs[p.Task.Job]
		if je == nil || je.Rec.Desc == nil {
			continue
		}
		d := je.Rec.Desc
		if je.Rec.Stage == protocol.Withdrawn {
			c.stop(m, p.Task, p.Try, 0, "withdrawn")
			urgent = true
			continue
		}
		if d.Gang() && c.gangBroken(p.Task.Job, p.Try) {
			c.stop(m, p.Task, p.Try, 0, "gang lost a task")
			urgent = true
		}
		if h := je.Rec.Halt; h > 0 && h >= p.Try {
			c.stop(m, p.Task, p.Try, d.StowS+1, "gang stops in order")
			urgent = true
		}
		if m.recallAt != 0 && d.Saves() && (!d.Gang() || d.Pieces == 1) && p.Stage == protocol.TaskRunning &&
			left < protocol.Seconds(d.StowS)+2*c.cfg.Report+time.Second && left > protocol.Seconds(d.StowS) {
			c.stop(m, p.Task, p.Try, d.StowS, "recall")
			urgent = true
		}
		if m.recallAt != 0 && d.Saves() && d.Gang() && d.Pieces > 1 && p.Stage == protocol.TaskRunning && je.Rec.Halt < p.Try &&
			left < protocol.Seconds(d.StowS)+2*c.cfg.Report+c.cfg.GangPeer+time.Second && left > protocol.Seconds(d.StowS) {
			c.halts[p.Task.Job] = p.Try
		}
		if s, ok := m.stops[p.Task]; ok && s.try == p.Try && p.Stage != protocol.Flushing {
			urgent = true
		}
	}
	if !urgent {
		return
	}
	if orders := c.orders(e, m, false); len(orders) > 0 {
		c.do(e, m, orders, time.Second)
	}
}
