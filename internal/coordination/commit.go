package coordination

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// batch collects changes for one transaction. Every change rests on the stamps
// that the mirror has; the service refuses it if one of them has moved on.
type batch struct {
	c        *Core
	room     int // puts and deletes still allowed
	bytes    int // what the records in it are reckoned to take, written
	when     map[string]protocol.Stamp
	jobs     map[protocol.JobID]*bk.JobRecord
	pages    map[bk.PageID]*draft
	machines map[protocol.MachineID]*bk.MachineRecord
	teams    map[string]bool
	done     map[protocol.JobID]bk.Ranges // tasks that are done by what is in the batch
	roll     bool                         // a machine is put on record
	marks    []func()                     // what to remember once it is sent
	logs     []Effect                     // lines for the operator once it is applied
}

// draft is a page as the batch leaves it.
type draft struct {
	owner bk.Run
	epoch bk.Epoch
	ids   []protocol.MachineID
	done  map[protocol.JobID]bk.Ranges
	size  int
}

// Room that is left on a page for what is reckoned too small.
const pageSlack = 700

func (c *Core) newBatch(room int) *batch {
	return &batch{c: c, room: room, when: map[string]protocol.Stamp{}, jobs: map[protocol.JobID]*bk.JobRecord{},
		pages: map[bk.PageID]*draft{}, machines: map[protocol.MachineID]*bk.MachineRecord{}, teams: map[string]bool{}, done: map[protocol.JobID]bk.Ranges{}}
}

// on makes the transaction depend on a key as the mirror has it.
func (b *batch) on(key string) { b.when[key] = b.c.mir.Stamp(key) }

func (b *batch) open(key string, size int) {
	b.on(key)
	b.room--
	b.bytes += size
}

// hasRoom tells whether n more records can be changed, however large they are.
func (b *batch) hasRoom(n int) bool {
	return n == 0 && b.bytes < protocol.MaxTxnSize || b.room >= n && b.bytes+n*b.c.cfg.ValueBytes <= protocol.MaxTxnSize && len(b.when)+2*n < 4*b.c.cfg.TxnOps
}

// job gives a job's record to change; the caller has asked for room.
func (b *batch) job(id protocol.JobID) *bk.JobRecord {
	if r := b.jobs[id]; r != nil {
		return r
	}
	e := b.c.mir.Jobs[id]
	r := e.Rec
	b.open(bk.JobKey(id), e.Size+200)
	b.jobs[id] = &r
	return &r
}

// page gives a page to change; the caller has asked for room.
func (b *batch) page(id bk.PageID) *draft {
	if d := b.pages[id]; d != nil {
		return d
	}
	p := b.c.mir.Pages[id]
	d := &draft{owner: p.Owner, epoch: p.Epoch, ids: p.Machines, size: p.Size, done: map[protocol.JobID]bk.Ranges{}}
	for j, r := range p.Done {
		if e := b.c.mir.Jobs[j]; e == nil || !e.Rec.Stage.Final() {
			d.done[j] = r
		}
	}
	b.open(bk.PageKey(id), p.Size+pageSlack)
	b.pages[id] = d
	return d
}

// newPage begins a page that is not on record yet.
func (b *batch) newPage(owner bk.Run, epoch bk.Epoch) bk.PageID {
	b.c.pageSeq++
	id := bk.PageID(fmt.Sprintf("%s-%d", b.c.run, b.c.pageSeq))
	b.open(bk.PageKey(id), pageSlack)
	b.pages[id] = &draft{owner: owner, epoch: epoch, done: map[protocol.JobID]bk.Ranges{}}
	return id
}

// machine gives a machine's record to change; the caller has asked for room.
func (b *batch) machine(id protocol.MachineID) *bk.MachineRecord {
	if r := b.machines[id]; r != nil {
		return r
	}
	r := b.c.mir.Machines[id].Rec.Clone()
	b.page(r.Page)
	b.machines[id] = r
	return r
}

// canAdd tells whether one more machine can be put on record.
func (b *batch) canAdd() bool { return b.hasRoom(2) }

// add puts a machine that is not on record on a page of this run, with a baton
// above the one that its worker has seen. The caller has asked canAdd.
func (b *batch) add(id protocol.MachineID, r *bk.MachineRecord, above protocol.Baton) {
	if !b.roll {
		b.open(bk.RollKey, 100)
		b.roll = true
	}
	size := b.c.lineSize(r.Build)
	page := bk.PageID("")
	fits := func(p bk.PageID, d *draft) bool {
		return d.owner == b.c.run && d.epoch > bk.EpochOf(above) && b.pageLoad(d.ids)+size <= b.c.cfg.ValueBytes
	}
	for _, p := range sorted(b.pages) {
		if fits(p, b.pages[p]) {
			page = p
			break
		}
	}
	if page == "" {
		for _, p := range b.c.ownPages() {
			e := b.c.mir.Pages[p]
			if b.pages[p] == nil && fits(p, &draft{owner: e.Owner, epoch: e.Epoch, ids: e.Machines}) {
				page = p
				break
			}
		}
	}
	if page == "" {
		page = b.newPage(b.c.run, max(bk.EpochOf(above)+1, 1))
	}
	b.put(page, id, r)
}

func (b *batch) put(page bk.PageID, id protocol.MachineID, r *bk.MachineRecord) {
	d := b.page(page)
	d.ids = append(d.ids[:len(d.ids):len(d.ids)], id)
	d.size += len(r.Line(id)) + 3
	b.bytes += len(r.Line(id)) + 3
	r.Page, r.Owner, r.Epoch, r.Baton = page, d.owner, d.epoch, d.epoch.Baton(r.Bump)
	b.machines[id] = r
}

// drop takes a machine off its page.
func (b *batch) drop(id protocol.MachineID) {
	r := b.viewMachine(id)
	d := b.page(r.Page)
	d.ids = slices.DeleteFunc(slices.Clone(d.ids), func(x protocol.MachineID) bool { return x == id })
	delete(b.machines, id)
}

// move puts a machine on another page.
func (b *batch) move(id protocol.MachineID, page bk.PageID) {
	r := b.machine(id)
	b.drop(id)
	b.put(page, id, r)
}

// gone tells whether the batch takes the machine off the records.
func (b *batch) gone(id protocol.MachineID) bool {
	e := b.c.mir.Machines[id]
	if e == nil || b.machines[id] != nil {
		return false
	}
	d := b.pages[e.Rec.Page]
	return d != nil && !slices.Contains(d.ids, id)
}

// assign writes tasks of a job to a machine; the caller has asked for room.
func (b *batch) assign(id protocol.MachineID, job protocol.JobID, pieces []int, try protocol.Attempt) {
	r := b.machine(id)
	for _, p := range pieces {
		r.Assign(protocol.Task{Job: job, Piece: p}, try)
	}
	b.page(r.Page).size += 24 + 3*len(pieces)
	b.bytes += 24 + 3*len(pieces)
}

// nudge raises the machine's own part of its baton: its owner sends it to the
// worker, and the worker reports at once, instead of some seconds later.
func (b *batch) nudge(id protocol.MachineID) {
	if r := b.machine(id); r.Bump < bk.MaxBump {
		r.Bump++
		r.Baton = r.Epoch.Baton(r.Bump)
	}
}

// roomy tells whether the machine's page can take more assignments: a page
// stays well within a value, so that whatever ends there can be written.
func (b *batch) roomy(r *bk.MachineRecord) bool {
	size := 0
	if d := b.pages[r.Page]; d != nil {
		size = d.size
	} else if p := b.c.mir.Pages[r.Page]; p != nil {
		size = p.Size
	}
	return size < b.c.cfg.ValueBytes*7/8
}

// taskDone notes on the machine's page that a task is done; the caller has
// asked for room for the page.
func (b *batch) taskDone(id protocol.MachineID, t protocol.Task) {
	d := b.page(b.viewMachine(id).Page)
	if r, ok := d.done[t.Job]; ok {
		d.done[t.Job] = r.Add(t.Piece)
	} else {
		d.done[t.Job] = bk.Range(t.Piece, t.Piece)
		d.size += 16
	}
	d.size += 4
	b.bytes += 4
	b.done[t.Job] = b.done[t.Job].Add(t.Piece)
}

// viewDone is what is done of a job as the batch leaves it.
func (b *batch) viewDone(id protocol.JobID) bk.Ranges {
	r := b.c.mir.Done(id)
	if more, ok := b.done[id]; ok {
		r = r.Union(more)
	}
	return r
}

// finish calls a job done once all its tasks are.
func (b *batch) finish(id protocol.JobID) {
	if r := b.viewJob(id); r.Stage.Final() || b.viewDone(id).Len() < r.Desc.Pieces || !b.hasRoom(b.needs("", id)) {
		return
	}
	r := b.job(id)
	b.log(slog.LevelInfo, "job done", "job", string(id), "lane", r.Desc.Lane, "after_s", float64(b.c.now.Wall-r.Sent)/1000)
	*r = bk.JobRecord{Stage: protocol.Done, Count: r.Desc.Pieces, Sent: r.Sent}
	for _, d := range b.pages {
		delete(d.done, id)
	}
}

// settleDone moves what is done from own pages to the jobs' records: where a
// page fills up, or has no machines left.
func (c *Core) settleDone(b *batch) {
	for _, id := range sorted(c.mir.Open) {
		if j, e := c.jstate(id), c.mir.Open[id]; c.mir.Done(id).Len() < e.Rec.Desc.Pieces {
			j.completeAt = 0
		} else if j.completeAt == 0 && e.Rec.Claim != c.run {
			j.completeAt = c.now.Steady // its claimant writes it, if it lives
		} else if e.Rec.Claim == c.run || c.since(j.completeAt) > 1500*time.Millisecond {
			b.finish(id)
		}
	}
	for _, id := range c.ownPages() {
		p := c.mir.Pages[id]
		if len(p.Done) == 0 || p.Size < c.cfg.ValueBytes*3/4 && len(p.Machines) > 0 || b.pages[id] == nil && !b.hasRoom(2) {
			continue
		}
		d := b.page(id)
		for _, j := range sorted(d.done) {
			if c.mir.Jobs[j] == nil || !b.hasRoom(b.needs("", j)) {
				continue
			}
			if r := b.job(j); !r.Stage.Final() {
				r.Done = r.Done.Union(d.done[j])
			}
			delete(d.done, j)
		}
	}
}

// needs counts the records that a change would add to the batch.
func (b *batch) needs(m protocol.MachineID, jobs ...protocol.JobID) int {
	n := 0
	if e := b.c.mir.Machines[m]; m != "" && b.machines[m] == nil && (e == nil || b.pages[e.Rec.Page] == nil) {
		n++
	}
	for _, j := range jobs {
		if b.jobs[j] == nil {
			n++
		}
	}
	return n
}

// fits tells whether the pages of these machines and one job can be written
// besides what is in the batch; alone is how many changes they are where an empty
// batch could take them.
func (b *batch) fits(machines []protocol.MachineID) (fits bool, alone int) {
	seen := map[bk.PageID]bool{}
	n, size, all, whole := 1, b.c.cfg.ValueBytes, 1, b.c.cfg.ValueBytes
	for _, id := range machines {
		p := b.c.mir.Machines[id].Rec.Page
		if seen[p] {
			continue
		}
		seen[p] = true
		s := b.c.mir.Pages[p].Size + pageSlack
		all, whole = all+1, whole+s
		if b.pages[p] == nil {
			n, size = n+1, size+s
		}
	}
	if all <= b.c.cfg.TxnOps*3/4 && whole <= protocol.MaxTxnSize {
		alone = all
	}
	return b.room >= n && b.bytes+size <= protocol.MaxTxnSize && len(b.when)+2*n < 4*b.c.cfg.TxnOps, alone
}

// viewMachine is the record as the batch leaves it.
func (b *batch) viewMachine(id protocol.MachineID) *bk.MachineRecord {
	if r := b.machines[id]; r != nil {
		return r
	}
	if e := b.c.mir.Machines[id]; e != nil {
		return &e.Rec
	}
	return nil
}

// viewJob is the record as the batch leaves it.
func (b *batch) viewJob(id protocol.JobID) *bk.JobRecord {
	if r := b.jobs[id]; r != nil {
		return r
	}
	if e := b.c.mir.Jobs[id]; e != nil {
		return &e.Rec
	}
	return nil
}

// log notes a decision; the operator reads it once the decision is on record.
// A transaction that is refused is built again, with the same lines.
func (b *batch) log(l slog.Level, msg string, args ...any) {
	b.logs = append(b.logs, Log{l, msg, args})
}

func (b *batch) empty() bool { return len(b.jobs) == 0 && len(b.pages) == 0 }

func (b *batch) multi() protocol.Multi {
	var m protocol.Multi
	for _, k := range sorted(b.when) {
		m.When = append(m.When, protocol.When{Key: k, Stamp: b.when[k]})
	}
	for _, id := range sorted(b.jobs) {
		m.Then = append(m.Then, protocol.Then{Put: bk.JobKey(id), Data: bk.JSON(b.jobs[id])})
	}
	for _, id := range sorted(b.pages) {
		d := b.pages[id]
		if len(d.ids) == 0 && len(d.done) == 0 {
			if b.when[bk.PageKey(id)] != 0 {
				m.Then = append(m.Then, protocol.Then{Delete: bk.PageKey(id)})
			}
			continue
		}
		lines := make([]string, len(d.ids))
		for i, x := range d.ids {
			if r := b.machines[x]; r != nil {
				lines[i] = r.Line(x)
			} else {
				lines[i] = b.c.mir.Line(x)
			}
		}
		m.Then = append(m.Then, protocol.Then{Put: bk.PageKey(id), Data: bk.EncodePage(d.owner, d.epoch, lines, d.done)})
	}
	if b.roll {
		m.Then = append(m.Then, protocol.Then{Put: bk.RollKey, Data: bk.JSON(bk.RollRecord{By: b.c.run})})
	}
	for _, t := range sorted(b.teams) {
		m.Then = append(m.Then, protocol.Then{Put: bk.TeamKey(t), Data: bk.JSON(bk.TeamRecord{By: b.c.run, N: b.c.txID})})
	}
	return m
}

// lineSize is what a machine of a type is reckoned to take of a page: more
// cores have more assignments.
func (c *Core) lineSize(s protocol.Sku) int {
	cores := 4.0
	if f := c.flavor(s); f != nil {
		cores = f.Cores
	}
	return 64 + 18*int(min(max(cores, 2), 20))
}

func (b *batch) pageLoad(ids []protocol.MachineID) int {
	n := 0
	for _, id := range ids {
		if r := b.viewMachine(id); r != nil {
			n += b.c.lineSize(r.Build)
		}
	}
	return n
}

// ownPages lists the pages of this run.
func (c *Core) ownPages() []bk.PageID {
	return pick(c.mir.Pages, func(p *bk.Page) bool { return c.run != "" && p.Owner == c.run })
}

// splitPages cuts own pages in two that come near the size of a value.
func (c *Core) splitPages(b *batch) {
	for _, id := range c.ownPages() {
		p := c.mir.Pages[id]
		if p.Size < c.cfg.ValueBytes*15/16 || len(p.Machines) < 2 || b.pages[id] != nil || !b.hasRoom(2) {
			continue
		}
		b.page(id)
		to := b.newPage(p.Owner, p.Epoch)
		for _, m := range p.Machines[len(p.Machines)/2:] {
			b.move(m, to)
		}
	}
}

// selfWhen ties a transaction to this run: once the run's key has gone or was
// fenced, nothing that it sent before can be applied any more.
func (c *Core) selfWhen() protocol.When {
	return protocol.When{Key: bk.MemberKey(c.cfg.Member), Stamp: c.self}
}

// flush sends the next transaction if there is something to write.
func (c *Core) flush() {
	now := c.now.Steady
	c.flushUsers()
	if c.tx != nil || !c.loaded || now < c.flushAt || c.hold == 0 {
		return
	}
	if c.mir.Rev < c.minRev && c.since(c.minRevAt) < 2*time.Second {
		return
	}
	if !c.registered() {
		c.register()
		return
	}
	if c.fence {
		e := c.mir.Members[c.cfg.Member]
		if e == nil || !c.spend(1) {
			return
		}
		rec := e.Rec
		rec.Fence++
		c.send(&txn{fence: true, multi: protocol.Multi{When: []protocol.When{c.selfWhen()},
			Then: []protocol.Then{{Put: bk.MemberKey(c.cfg.Member), Data: bk.JSON(rec), Tenancy: c.hold}}}})
		return
	}
	if c.mir.Rev < c.minRev {
		return
	}
	tokens := int(c.tokens.TokensAt(c.steady()))
	room := min(tokens, c.txCap)
	if room < 1 {
		return
	}
	if len(c.halts)+len(c.adopting)+len(c.deadAt) == 0 && now < c.nextPlan() {
		return
	}
	b := c.newBatch(room)
	c.writeHalts(b)
	c.writeTakeovers(b)
	// What can wait does so until a fair batch can be paid for: a record is then
	// written once for many tasks, instead of with each of them. What users ask
	// for does not wait behind it: a few tokens are left for them.
	fair := min(c.cfg.TxnOps, int(c.cfg.WriteRPS*c.cfg.WriteShare/2))
	if tokens >= max(fair, c.gangNeeds) && now >= c.nextPlan() {
		b.room = min(b.room, tokens-c.kept())
		// A gang is written whole or not at all. One that found no room behind
		// what ends all the time goes first the next time.
		first := c.gangNeeds > 0
		c.gangNeeds = 0
		if first {
			c.place(b)
		}
		c.splitPages(b)
		c.settleDone(b)
		c.writeMachines(b)
		c.writeCloud(b)
		if !first {
			c.place(b)
		}
	}
	if b.empty() {
		return
	}
	m := b.multi()
	m.When = append(m.When, c.selfWhen())
	if !c.spend(len(m.Then)) {
		return
	}
	for _, f := range b.marks {
		f()
	}
	c.log(slog.LevelDebug, "transaction", "jobs", len(b.jobs), "pages", len(b.pages), "of", len(c.ownPages()), "bytes", b.bytes,
		"tokens", tokens, "rate", c.rate, "whole", c.turn == 0)
	c.send(&txn{multi: m, logs: b.logs})
}

// flushUsers sends new and withdrawn jobs.
func (c *Core) flushUsers() {
	if c.userTx != nil || !c.loaded || c.now.Steady < c.userAt || c.hold == 0 || !c.registered() || c.fence || c.mir.Rev < c.minRev ||
		len(c.submits)+len(c.aborts) == 0 {
		return
	}
	b := c.newBatch(min(int(c.tokens.TokensAt(c.steady())), c.txCap))
	if c.writeUsers(b); b.empty() {
		return
	}
	m := b.multi()
	m.When = append(m.When, c.selfWhen())
	if c.spend(len(m.Then)) {
		c.send(&txn{multi: m, logs: b.logs, user: true})
	}
}

func (c *Core) spend(n int) bool { return c.tokens.AllowN(c.steady(), n) }

func (c *Core) send(t *txn) {
	c.txID++
	t.id = c.txID
	if t.user {
		c.userTx = t
	} else {
		c.tx = t
	}
	c.emit(Commit{t.id, t.multi})
}

// register makes this run known. The key of an earlier run of this member is
// replaced: it was this machine's process, so it has ended or lost its lease.
func (c *Core) register() {
	if !c.spend(1) {
		return
	}
	key := bk.MemberKey(c.cfg.Member)
	run := bk.NewRun(c.cfg.Member, c.hold)
	c.send(&txn{reg: true, multi: protocol.Multi{
		When: []protocol.When{{Key: key, Stamp: c.mir.Stamp(key)}},
		Then: []protocol.Then{{Put: key, Data: bk.JSON(bk.MemberRecord{Run: run}), Tenancy: c.hold}}}})
}

func (c *Core) committed(v CommitResult) {
	t, next := c.tx, &c.flushAt
	if c.userTx != nil && c.userTx.id == v.ID {
		t, next = c.userTx, &c.userAt
	}
	if t == nil || t.id != v.ID {
		return
	}
	if t.user {
		c.userTx = nil
	} else {
		c.tx = nil
	}
	now := c.now.Steady
	*next = now
	switch v.Outcome {
	case bk.Applied, bk.Conflict, bk.Busy, bk.NoLease, bk.Invalid:
		c.heard(nil)
	default:
		err := v.Err
		if err == nil {
			err = errOutcome
		}
		c.heard(err)
	}
	if v.Outcome != bk.Busy {
		c.busyCount = 0
	}
	switch v.Outcome {
	case bk.Applied, bk.Conflict, bk.Busy:
		c.adapt(v.Outcome == bk.Busy)
	}
	switch v.Outcome {
	case bk.Applied:
		c.out = append(c.out, t.logs...)
		stamp := protocol.Stamp(v.Answer.Rev)
		for _, th := range t.multi.Then {
			if th.Put != "" {
				c.mirrorPut(th.Put, th.Data, stamp)
			} else {
				c.mir.Delete(th.Delete, stamp)
			}
		}
		c.onLost()
		c.txCap = c.cfg.TxnOps
		switch {
		case t.reg:
			c.run = bk.NewRun(c.cfg.Member, c.hold)
			c.self = stamp
			c.waitRev(v.Answer.Rev)
			c.log(slog.LevelInfo, "run registered", "run", string(c.run))
		case t.fence:
			// Transactions sent before are now either applied, and seen once
			// the mirror is as new, or never will be.
			c.fence = false
			c.self = stamp
			c.waitRev(v.Answer.Rev)
		}
	case bk.Conflict:
		c.log(slog.LevelDebug, "transaction refused, records have moved on", "keys", v.Answer.Failed)
		c.waitRev(v.Answer.Rev)
		*next = now.Add(c.jitter(20 * time.Millisecond))
		c.checkSelf()
	case bk.Busy:
		c.busyCount++
		*next = now.Add(c.jitter(min(50*time.Millisecond<<min(c.busyCount, 4), time.Second)))
	case bk.NoLease:
		c.self, c.hold = 0, 0
	case bk.Refused:
		*next = now.Add(c.jitter(300 * time.Millisecond))
	case bk.Invalid:
		c.log(slog.LevelError, "transaction called malformed", "err", errText(v.Err))
		// Whatever made it too large, a smaller one gets on.
		c.txCap = max(c.txCap/2, 1)
		*next = now.Add(200 * time.Millisecond)
	case bk.Unknown:
		// It may be applied now, later or never. Only a fence settles it.
		c.log(slog.LevelWarn, "transaction without outcome", "err", errText(v.Err))
		if !t.reg {
			c.fence = true
		} else {
			c.hold = 0 // register with a new lease; the old run's name is not used
		}
		*next = now.Add(c.jitter(200 * time.Millisecond))
	}
}

func (c *Core) waitRev(r protocol.Rev) {
	c.minRev, c.minRevAt = max(c.minRev, r), c.now.Steady
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
