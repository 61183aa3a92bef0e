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

// writeTakeovers writes the ownership of machines that report here, and of
// pages whose owner has been dead for a while and that fall to this node.
func (c *Core) writeTakeovers(b *batch) {
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
		} else if at, dead := c.deadAt[e.Rec.Owner]; dead && b.hasRoom(c.pageOps(e.Rec.Page)) && (c.since(at) > time.Second && c.heir(bk.PageKey(e.Rec.Page)) || c.since(at) > 4*time.Second) {
			// Not whoever hears of it first: when all come back, the first one
			// would have the whole fleet.
			c.takeOver(b, e.Rec.Page, m.rep.FencingToken)
		}
	}
	if len(c.deadAt) == 0 {
		c.balance(b)
		return
	}
	for _, id := range sorted(c.replica.Pages) {
		p := c.replica.Pages[id]
		at, dead := c.deadAt[p.Owner]
		if !dead || b.pages[id] != nil || c.since(at) < 1500*time.Millisecond || !b.hasRoom(c.pageOps(id)) {
			continue
		}
		if c.heir(bk.PageKey(id)) || c.since(at) > 15*time.Second {
			c.takeOver(b, id, 0)
		}
	}
}

// balance gives a page to a controller that has far fewer, one at a time: writing
// what starts and ends is the owner's work, and each may write only so much.
func (c *Core) balance(b *batch) {
	gap, why := c.cfg.BalanceGap, "page handed over, its new owner has fewer"
	strained := c.strained()
	if strained {
		gap, why = gap/3, "page handed over, this controller falls behind"
	}
	if c.since(c.balancedAt) < gap {
		return
	}
	pages := map[bk.Run]int{}
	for _, p := range c.replica.Pages {
		pages[p.Owner]++
	}
	mine := pages[c.run]
	var to bk.Run
	for _, m := range sorted(c.peers) {
		p := c.peers[m]
		if c.since(p.at) > 3*time.Second || !p.hint.StateOK || !p.hint.Fit || !c.replica.Alive(p.hint.Run) ||
			!strained && (4*pages[p.hint.Run] >= 3*mine || pages[p.hint.Run]+1 >= mine) {
			continue
		}
		if to == "" || pages[p.hint.Run] < pages[to] {
			to = p.hint.Run
		}
	}
	if to == "" || mine == 0 || !b.hasRoom(1) {
		return
	}
	own := c.ownPages()
	id := own[c.rng.IntN(len(own))]
	if b.pages[id] != nil || !b.hasRoom(c.pageOps(id)) {
		return
	}
	c.balancedAt = c.now.Steady
	if strained {
		c.gaveAt = c.now.Steady // and nobody gives it any for a while
	}
	c.givePage(b, id, to, why)
}

// takeOver makes this run the owner of a page, with all machines on it.
func (c *Core) takeOver(b *batch, id bk.PageID, above protocol.FencingToken) {
	d := b.page(id)
	if d.owner == c.run {
		return
	}
	b.log(slog.LevelInfo, "page taken over", "page", string(id), "machines", len(d.ids), "from", string(d.owner), "epoch", uint64(d.epoch+1))
	d.owner = c.run
	d.epoch = max(d.epoch, bk.EpochOf(above)) + 1
}

// writeMachines brings the records of owned machines in line with what their
// workers report, page by page. Where a transaction cannot take all, the next
// one goes on with the page that was left.
func (c *Core) writeMachines(b *batch) {
	pages := c.ownPages()
	c.handOver(b)
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

// handOver moves machines that report to another controller to a page of it. A
// page most of whose machines do so goes over as a whole: one change, where a node
// that has lost its workers has hundreds to give.
func (c *Core) handOver(b *batch) {
	var ids []protocol.MachineID
	want := map[bk.PageID]map[bk.Run]int{}
	for _, id := range sorted(c.handing) {
		e := c.replica.Machines[id]
		if e == nil || !c.mine(&e.Rec) {
			delete(c.handing, id)
			continue
		}
		// What an earlier ownership was told is forgotten first.
		m := c.own(e, id)
		if m.handTo == "" || c.since(m.handAt) > c.cfg.Report+4*time.Second {
			delete(c.handing, id)
			continue
		}
		if !c.quiet(m) || !c.replica.Alive(m.handTo) || e.Rec.Releasing {
			continue
		}
		if want[e.Rec.Page] == nil {
			want[e.Rec.Page] = map[bk.Run]int{}
		}
		want[e.Rec.Page][m.handTo]++
		ids = append(ids, id)
	}
	for _, id := range sorted(want) {
		best, all := bk.Run(""), 0
		for _, to := range sorted(want[id]) {
			if all += want[id][to]; best == "" || want[id][to] > want[id][best] {
				best = to
			}
		}
		if c.mostOf(c.replica.Pages[id], all) && b.hasRoom(c.pageOps(id)) && b.pages[id] == nil {
			c.gaveAt = c.now.Steady
			c.givePage(b, id, best, "page handed over, its workers report there")
		}
	}
	to := map[bk.Run]bk.PageID{}
	for _, id := range ids {
		m, e := c.machines[id], c.replica.Machines[id]
		if d := b.pages[e.Rec.Page]; d != nil && d.owner != c.run || !b.hasRoom(2) {
			continue
		}
		// A page takes what fits into a value, whatever still begins there.
		if page := to[m.handTo]; page == "" || b.pages[page].size+c.written(len(c.replica.Line(id))) > c.limits().ValueBytes*3/4 {
			to[m.handTo] = b.newPage(m.handTo, e.Rec.Epoch+1)
		}
		if page := to[m.handTo]; b.pages[page].epoch > e.Rec.Epoch {
			b.move(id, page)
			b.machines[id].Drain = false
			c.gaveAt = c.now.Steady
			b.log(slog.LevelInfo, "machine handed over, its worker reports there", "machine", string(id), "to", string(m.handTo))
		}
	}
}

// mostOf tells whether n machines are most of those of a page that talk: of what is
// silent here and everywhere nothing can be said.
func (c *Core) mostOf(p *bk.Page, n int) bool {
	talk := 0
	for _, id := range p.Machines {
		if e := c.replica.Machines[id]; e != nil && e.Rec.Session > 0 && !c.quiet(c.own(e, id)) {
			talk++
		}
	}
	return n > 2 && n > 2*talk && 2*n > len(p.Machines)
}

// givePage makes another run the owner of a page, with all machines on it.
func (c *Core) givePage(b *batch, id bk.PageID, to bk.Run, why string) {
	d := b.page(id)
	d.owner = to
	d.epoch++
	b.log(slog.LevelInfo, why, "page", string(id), "machines", len(d.ids), "to", string(to))
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
