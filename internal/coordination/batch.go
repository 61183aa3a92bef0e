package coordination

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// batch collects changes for one transaction. Every change rests on the stamps
// that the replica has; the service refuses it if one of them has moved on.
type batch struct {
	c        *Core
	room     int // puts and deletes still allowed
	bytes    int // what the records in it are reckoned to take, written
	when     map[string]protocol.Stamp
	jobs     map[protocol.JobID]*bk.JobRecord
	pages    map[bk.PageID]*draft
	machines map[protocol.MachineID]*bk.MachineRecord
	teams    map[string]bool
	moves    map[bk.MoveSlot]*bk.MoveRecord
	drains   map[protocol.Member]*drainChange
	done     map[protocol.JobID]bk.Ranges // tasks that are done by what is in the batch
	failed   map[protocol.JobID]bool      // daemons of which a replica has ended
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

// moveRecordSize is what a move's record is reckoned to take.
const moveRecordSize = 400

func (c *Core) newBatch(room int) *batch {
	return &batch{c: c, room: room, when: map[string]protocol.Stamp{}, jobs: map[protocol.JobID]*bk.JobRecord{},
		pages: map[bk.PageID]*draft{}, machines: map[protocol.MachineID]*bk.MachineRecord{}, teams: map[string]bool{}, moves: map[bk.MoveSlot]*bk.MoveRecord{}, drains: map[protocol.Member]*drainChange{}, done: map[protocol.JobID]bk.Ranges{}, failed: map[protocol.JobID]bool{}}
}

// on makes the transaction depend on a key as the replica has it.
func (b *batch) on(key string) { b.when[key] = b.c.replica.Stamp(key) }

func (b *batch) open(key string, size int) {
	b.on(key)
	b.room--
	b.bytes += size
}

// hasRoom tells whether n more records can be changed, however large they are.
func (b *batch) hasRoom(n int) bool {
	return n == 0 && b.bytes < protocol.MaxTxnSize || b.takes(n, n*b.c.limits().ValueBytes)
}

// takes tells whether n more records of this size together can be changed.
func (b *batch) takes(n, size int) bool {
	return b.room >= n && b.bytes+size <= protocol.MaxTxnSize && len(b.when)+2*n < 4*b.c.limits().TxnOps
}

// job gives a job's record to change; the caller has asked for room.
func (b *batch) job(id protocol.JobID) *bk.JobRecord {
	if r := b.jobs[id]; r != nil {
		return r
	}
	e := b.c.replica.Jobs[id]
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
	p := b.c.replica.Pages[id]
	ops := b.c.pageOps(id)
	d := &draft{owner: p.Owner, epoch: p.Epoch, ids: p.Machines, size: p.Size, done: map[protocol.JobID]bk.Ranges{}}
	if b.c.format() >= bk.FormatPacked {
		d.size = b.c.replica.PackedSize(id)
	}
	for j, r := range p.Done {
		if e := b.c.replica.Jobs[j]; e == nil || !e.Rec.Stage.Final() {
			d.done[j] = r
		}
	}
	b.open(bk.PageKey(id), p.Size+pageSlack)
	b.room -= ops - 1
	b.pages[id] = d
	return d
}

// newPage begins a page that is not on record yet.
func (b *batch) newPage(owner bk.Run, epoch bk.Epoch) bk.PageID {
	id := b.c.newPageID()
	b.open(bk.PageKey(id), pageSlack)
	b.pages[id] = &draft{owner: owner, epoch: epoch, done: map[protocol.JobID]bk.Ranges{}}
	return id
}

func (c *Core) newPageID() bk.PageID {
	c.pageSeq++
	return bk.PageID(fmt.Sprintf("%s-%d", c.run, c.pageSeq))
}

// machine gives a machine's record to change; the caller has asked for room.
func (b *batch) machine(id protocol.MachineID) *bk.MachineRecord {
	if r := b.machines[id]; r != nil {
		return r
	}
	r := b.c.replica.Machines[id].Rec.Clone()
	b.page(r.Page)
	b.machines[id] = r
	return r
}

// putMove writes a move's record; the caller has asked for room.
func (b *batch) putMove(slot bk.MoveSlot, record *bk.MoveRecord) {
	if b.moves[slot] == nil {
		b.open(bk.MoveKey(slot), moveRecordSize)
	}
	b.moves[slot] = record
}

// drainChange is what becomes of a controller's drain: no record ends it.
type drainChange struct{ record *bk.DrainRecord }

func (d *drainChange) then(member protocol.Member) protocol.Then {
	if d.record == nil {
		return protocol.Then{Delete: bk.DrainKey(member)}
	}
	return protocol.Then{Put: bk.DrainKey(member), Data: bk.JSON(d.record)}
}

// setDrain writes or ends a controller's drain; the caller has asked for room.
func (b *batch) setDrain(member protocol.Member, change *drainChange) {
	b.open(bk.DrainKey(member), 50)
	b.drains[member] = change
}

// canAdd tells whether one more machine can be put on record.
func (b *batch) canAdd() bool { return b.hasRoom(2) }

// add puts a machine that is not on record on a page of this run, with a token
// above the one that its worker has seen. The caller has asked canAdd.
func (b *batch) add(id protocol.MachineID, r *bk.MachineRecord, above protocol.FencingToken) {
	if !b.roll {
		b.open(bk.RollKey, 100)
		b.roll = true
	}
	size := b.c.lineSize(r.Type)
	page := bk.PageID("")
	fits := func(p bk.PageID, d *draft) bool {
		return d.owner == b.c.run && d.epoch > bk.EpochOf(above) && b.load(d)+size <= b.c.limits().ValueBytes
	}
	for _, p := range sorted(b.pages) {
		if fits(p, b.pages[p]) {
			page = p
			break
		}
	}
	if page == "" {
		for _, p := range b.c.ownPages() {
			e := b.c.replica.Pages[p]
			if b.pages[p] == nil && fits(p, &draft{owner: e.Owner, epoch: e.Epoch, ids: e.Machines, size: e.Size}) {
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
	d.size += b.c.written(len(r.Line(id)) + 3)
	b.bytes += len(r.Line(id)) + 3
	r.Page, r.Owner, r.Epoch, r.FencingToken = page, d.owner, d.epoch, d.epoch.FencingToken(r.Bump)
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
	e := b.c.replica.Machines[id]
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
		r.Assign(protocol.Task{Job: job, Index: p}, try)
	}
	b.page(r.Page).size += b.c.written(24 + 3*len(pieces))
	b.bytes += 24 + 3*len(pieces)
}

// nudge raises the machine's own part of its token: its owner sends it to the
// worker, and the worker reports at once, instead of some seconds later.
func (b *batch) nudge(id protocol.MachineID) {
	if r := b.machine(id); r.Bump < bk.MaxBump {
		r.Bump++
		r.FencingToken = r.Epoch.FencingToken(r.Bump)
	}
}

// roomy tells whether the machine's page can take more assignments: a page
// stays well within a value, so that whatever ends there can be written.
func (b *batch) roomy(r *bk.MachineRecord) bool {
	size := 0
	if d := b.pages[r.Page]; d != nil {
		size = d.size
	} else if p := b.c.replica.Pages[r.Page]; p != nil {
		size = p.Size
	}
	return size < b.c.limits().ValueBytes*7/8
}

// taskDone notes on the machine's page that a task is done; the caller has
// asked for room for the page.
func (b *batch) taskDone(id protocol.MachineID, t protocol.Task) {
	d := b.page(b.viewMachine(id).Page)
	if r, ok := d.done[t.Job]; ok {
		d.done[t.Job] = r.Add(t.Index)
	} else {
		d.done[t.Job] = bk.Range(t.Index, t.Index)
		d.size += b.c.written(16)
	}
	d.size += b.c.written(4)
	b.bytes += 4
	b.done[t.Job] = b.done[t.Job].Add(t.Index)
}

// viewDone is what is done of a job as the batch leaves it.
func (b *batch) viewDone(id protocol.JobID) bk.Ranges {
	r := b.c.replica.Done(id)
	if more, ok := b.done[id]; ok {
		r = r.Union(more)
	}
	return r
}

// finish calls a job done once all its tasks are.
func (b *batch) finish(id protocol.JobID) {
	if r := b.viewJob(id); r.Stage.Final() || b.viewDone(id).Len() < r.Desc.Tasks || !b.hasRoom(b.needs("", id)) {
		return
	}
	r := b.job(id)
	b.log(slog.LevelInfo, "job done", "job", string(id), "lane", r.Desc.Class, "after_s", float64(b.c.now.Wall-r.Sent)/1000)
	*r = bk.JobRecord{Stage: protocol.Done, Count: r.Desc.Tasks, Sent: r.Sent}
	for _, d := range b.pages {
		delete(d.done, id)
	}
}

// settleDone moves what is done from own pages to the jobs' records: where a
// page fills up, or has no machines left.
func (c *Core) settleDone(b *batch) {
	for _, id := range sorted(c.replica.Open) {
		if j, e := c.jstate(id), c.replica.Open[id]; c.replica.Done(id).Len() < e.Rec.Desc.Tasks {
			j.completeAt = 0
		} else if j.completeAt == 0 && e.Rec.Claim != c.run {
			j.completeAt = c.now.Steady // its claimant writes it, if it lives
		} else if e.Rec.Claim == c.run || c.since(j.completeAt) > 1500*time.Millisecond {
			b.finish(id)
		}
	}
	for _, id := range c.ownPages() {
		p := c.replica.Pages[id]
		if len(p.Done) == 0 || !c.fullOfDone(p) && len(p.Machines) > 0 || b.pages[id] == nil && !b.hasRoom(2) {
			continue
		}
		d := b.page(id)
		for _, j := range sorted(d.done) {
			if c.replica.Jobs[j] == nil || !b.hasRoom(b.needs("", j)) {
				continue
			}
			if r := b.job(j); !r.Stage.Final() {
				r.Done = r.Done.Union(d.done[j])
			}
			delete(d.done, j)
		}
	}
}

// fullOfDone tells whether the done tasks on a page are to move to their jobs' records: a
// change each, so not before the room is needed. A packed page that is full of machines
// is cut in two instead.
func (c *Core) fullOfDone(p *bk.Page) bool {
	limit := c.limits().ValueBytes
	if c.format() < bk.FormatPacked {
		return p.Size >= limit*3/4
	}
	const perJob, perSpan = 8, 2 // bytes, as packed
	size := 0
	for _, r := range p.Done {
		size += perJob + perSpan*r.Spans()
	}
	return size >= limit/4
}

// needs counts the records that a change would add to the batch.
func (b *batch) needs(m protocol.MachineID, jobs ...protocol.JobID) int {
	n := 0
	if e := b.c.replica.Machines[m]; m != "" && b.machines[m] == nil && e == nil {
		n++
	} else if m != "" && b.machines[m] == nil && b.pages[e.Rec.Page] == nil {
		n += b.c.pageOps(e.Rec.Page)
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
	n, size, all, whole := 1, b.c.limits().ValueBytes, 1, b.c.limits().ValueBytes
	for _, id := range machines {
		p := b.c.replica.Machines[id].Rec.Page
		if seen[p] {
			continue
		}
		seen[p] = true
		s, ops := b.c.replica.Pages[p].Size+pageSlack, b.c.pageOps(p)
		all, whole = all+ops, whole+s
		if b.pages[p] == nil {
			n, size = n+ops, size+s
		}
	}
	if all <= b.c.limits().TxnOps*3/4 && whole <= protocol.MaxTxnSize {
		alone = all
	}
	return b.takes(n, size), alone
}

// viewMachine is the record as the batch leaves it.
func (b *batch) viewMachine(id protocol.MachineID) *bk.MachineRecord {
	if r := b.machines[id]; r != nil {
		return r
	}
	if e := b.c.replica.Machines[id]; e != nil {
		return &e.Rec
	}
	return nil
}

// viewJob is the record as the batch leaves it.
func (b *batch) viewJob(id protocol.JobID) *bk.JobRecord {
	if r := b.jobs[id]; r != nil {
		return r
	}
	if e := b.c.replica.Jobs[id]; e != nil {
		return &e.Rec
	}
	return nil
}

// log notes a decision; the operator reads it once the decision is on record.
// A transaction that is refused is built again, with the same lines.
func (b *batch) log(l slog.Level, msg string, args ...any) {
	b.logs = append(b.logs, Log{l, msg, args})
}

func (b *batch) empty() bool {
	return len(b.jobs) == 0 && len(b.pages) == 0 && len(b.moves)+len(b.drains) == 0
}

func (b *batch) multi() protocol.Multi {
	var m protocol.Multi
	for _, id := range sorted(b.jobs) {
		m.Then = append(m.Then, protocol.Then{Put: bk.JobKey(id), Data: bk.EncodeJob(b.c.format(), b.jobs[id])})
	}
	for _, id := range sorted(b.pages) {
		d := b.pages[id]
		if len(d.ids) == 0 && len(d.done) == 0 {
			if b.when[bk.PageKey(id)] != 0 {
				m.Then = append(m.Then, protocol.Then{Delete: bk.PageKey(id)})
			}
			continue
		}
		m.Then = append(m.Then, b.encodePage(id, d)...)
	}
	for _, slot := range sorted(b.moves) {
		m.Then = append(m.Then, protocol.Then{Put: bk.MoveKey(slot), Data: bk.JSON(b.moves[slot])})
	}
	for _, member := range sorted(b.drains) {
		m.Then = append(m.Then, b.drains[member].then(member))
	}
	if b.roll {
		m.Then = append(m.Then, protocol.Then{Put: bk.RollKey, Data: bk.JSON(bk.RollRecord{By: b.c.run})})
	}
	for _, t := range sorted(b.teams) {
		m.Then = append(m.Then, protocol.Then{Put: bk.TeamKey(t), Data: bk.JSON(bk.TeamRecord{By: b.c.run, N: b.c.txID})})
	}
	for _, k := range sorted(b.when) {
		m.When = append(m.When, protocol.When{Key: k, Stamp: b.when[k]})
	}
	return m
}

// encodePage writes a page; one that has outgrown a value in several parts, all of them
// with the same owner and epoch. The new parts come first: a machine is on some page at
// every moment then.
func (b *batch) encodePage(id bk.PageID, d *draft) []protocol.Then {
	lines := make([]string, len(d.ids))
	for i, x := range d.ids {
		if r := b.machines[x]; r != nil {
			lines[i] = r.Line(x)
		} else {
			lines[i] = b.c.replica.Line(x)
		}
	}
	format := b.c.format()
	data := bk.EncodePageAs(format, d.owner, d.epoch, lines, d.done)
	if len(data) <= b.c.limits().ValueBytes || len(d.ids) < 2 || format < bk.FormatPacked {
		return []protocol.Then{{Put: bk.PageKey(id), Data: data}}
	}
	half := len(d.ids) / 2
	part := b.c.newPageID()
	b.on(bk.PageKey(part))
	parts := b.encodePage(part, &draft{owner: d.owner, epoch: d.epoch, ids: d.ids[half:]})
	return append(parts, b.encodePage(id, &draft{owner: d.owner, epoch: d.epoch, ids: d.ids[:half], done: d.done})...)
}

// packedShare is the part of its plain form that a page takes in the packed format; it
// is far less where its machines are alike.
const packedShare = 0.4

// written estimates what plain text takes of a page.
func (c *Core) written(plain int) int {
	if c.format() < bk.FormatPacked {
		return plain
	}
	return int(float64(plain)*packedShare) + 1
}

// lineSize is what a machine of a type is reckoned to take of a page: more
// cores have more assignments.
func (c *Core) lineSize(s protocol.Sku) int {
	cores := 4.0
	if f := c.flavor(s); f != nil {
		cores = f.Cores
	}
	return c.written(64 + 18*int(min(max(cores, 2), 20)))
}

func (b *batch) pageLoad(ids []protocol.MachineID) int {
	n := 0
	for _, id := range ids {
		if r := b.viewMachine(id); r != nil {
			n += b.c.lineSize(r.Type)
		}
	}
	return n
}

// load is what a page may come to take. What is packed hardly grows with the tasks of
// its machines, so there it is what the page takes now, and a quarter more.
func (b *batch) load(d *draft) int {
	if b.c.format() < bk.FormatPacked {
		return b.pageLoad(d.ids)
	}
	return d.size * 5 / 4
}

// ownPages lists the pages of this run.
func (c *Core) ownPages() []bk.PageID {
	return pick(c.replica.Pages, func(p *bk.Page) bool { return c.run != "" && p.Owner == c.run })
}

// joinPages puts what is left on a page that has lost most of its machines onto
// another page of this run: each page costs a change of its own whenever something
// begins or ends there. One at a time, and only to where tokens do not fall. Pages with an
// open move stay as they are until it has ended.
func (c *Core) joinPages(b *batch) {
	if c.now.Steady < c.joinAt || !b.hasRoom(2) {
		return
	}
	c.joinAt = c.now.Steady.Add(c.cfg.BalanceGap)
	moving := c.movingPages(bk.MovePhase.Open)
	own := slices.DeleteFunc(c.ownPages(), func(id bk.PageID) bool { return moving[id] })
	load := map[bk.PageID]int{}
	for _, id := range own {
		p := c.replica.Pages[id]
		load[id] = b.load(&draft{ids: p.Machines, size: p.Size})
	}
	slices.SortStableFunc(own, func(a, z bk.PageID) int { return cmp.Compare(load[a], load[z]) })
	for _, id := range own {
		p := c.replica.Pages[id]
		if load[id] > c.limits().ValueBytes/3 || len(p.Machines) == 0 || b.pages[id] != nil {
			continue
		}
		for _, to := range own {
			t := c.replica.Pages[to]
			if to == id || b.pages[to] != nil || t.Epoch < p.Epoch || len(t.Machines) == 0 ||
				load[to]+load[id] > c.limits().ValueBytes*7/8 || t.Size+p.Size > c.limits().ValueBytes*3/4 {
				continue
			}
			from := b.page(id)
			for _, m := range p.Machines {
				b.move(m, to)
			}
			into := b.page(to)
			for j, r := range from.done {
				into.done[j] = into.done[j].Union(r)
				into.size += 20 + len(r.String())
			}
			clear(from.done)
			b.log(slog.LevelInfo, "pages joined", "page", string(id), "machines", len(p.Machines), "to", string(to))
			return
		}
	}
}

// splitSize is the size from which a page is cut in two. What is packed changes its
// size less evenly, and is cut before it takes no more tasks.
func (c *Core) splitSize() int {
	if c.format() < bk.FormatPacked {
		return c.limits().ValueBytes * 15 / 16
	}
	return c.limits().ValueBytes * 7 / 8
}

// splitPages cuts own pages in two that come near the size of a value.
func (c *Core) splitPages(b *batch) {
	for _, id := range c.ownPages() {
		p := c.replica.Pages[id]
		if p.Size < c.splitSize() || len(p.Machines) < 2 || b.pages[id] != nil || !b.hasRoom(2) {
			continue
		}
		b.page(id)
		to := b.newPage(p.Owner, p.Epoch)
		for _, m := range p.Machines[len(p.Machines)/2:] {
			b.move(m, to)
		}
	}
}
