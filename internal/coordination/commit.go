package coordination

import (
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// batch collects changes for one transaction. Every change rests on the stamps
// that the mirror has; the service refuses it if one of them has moved on.
type batch struct {
	c        *Core
	room     int // puts and deletes still allowed
	when     map[string]protocol.Stamp
	order    []string
	jobs     map[protocol.JobID]*bk.JobRecord
	machines map[protocol.MachineID]*bk.MachineRecord
	teams    map[string]bool
	deletes  map[string]bool
	marks    []func()             // what to remember once it is sent
	known    []protocol.MachineID // all machines in order
	logs     []Effect             // lines for the operator once it is applied
}

func (c *Core) newBatch(room int) *batch {
	return &batch{c: c, room: room, when: map[string]protocol.Stamp{}, jobs: map[protocol.JobID]*bk.JobRecord{},
		machines: map[protocol.MachineID]*bk.MachineRecord{}, teams: map[string]bool{}, deletes: map[string]bool{}}
}

// on makes the transaction depend on a key as the mirror has it.
func (b *batch) on(key string) { b.when[key] = b.c.mir.Stamp(key) }

func (b *batch) open(key string) {
	b.on(key)
	b.order = append(b.order, key)
	b.room--
}

// ids lists all machines on record, in order.
func (b *batch) ids() []protocol.MachineID {
	if b.known == nil {
		b.known = sorted(b.c.mir.Machines)
	}
	return b.known
}

// hasRoom tells whether n more records can be changed.
func (b *batch) hasRoom(n int) bool {
	return b.room >= n && (len(b.order)+n)*b.c.cfg.ValueBytes/4 < protocol.MaxTxnSize && len(b.when)+2*n < 4*b.c.cfg.TxnOps
}

// job gives a job's record to change; the caller has asked for room.
func (b *batch) job(id protocol.JobID) *bk.JobRecord {
	if r := b.jobs[id]; r != nil {
		return r
	}
	r := b.c.mir.Jobs[id].Rec
	b.open(bk.JobKey(id))
	b.jobs[id] = &r
	return &r
}

// machine gives a machine's record to change; the caller has asked for room.
func (b *batch) machine(id protocol.MachineID) *bk.MachineRecord {
	if r := b.machines[id]; r != nil {
		return r
	}
	r := b.c.mir.Machines[id].Rec.Clone()
	b.open(bk.MachineKey(id))
	b.machines[id] = r
	return r
}

// needs counts the records that a change would add to the batch.
func (b *batch) needs(m protocol.MachineID, jobs ...protocol.JobID) int {
	n := 0
	if m != "" && b.machines[m] == nil {
		n++
	}
	for _, j := range jobs {
		if b.jobs[j] == nil {
			n++
		}
	}
	return n
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

func (b *batch) empty() bool { return len(b.order) == 0 && len(b.deletes) == 0 }

func (b *batch) multi() protocol.Multi {
	var m protocol.Multi
	for _, k := range sorted(b.when) {
		m.When = append(m.When, protocol.When{Key: k, Stamp: b.when[k]})
	}
	for _, k := range b.order {
		if b.deletes[k] {
			m.Then = append(m.Then, protocol.Then{Delete: k})
		}
	}
	for _, id := range sorted(b.jobs) {
		r := b.jobs[id]
		m.Then = append(m.Then, protocol.Then{Put: bk.JobKey(id), Data: bk.JSON(r)})
	}
	for _, id := range sorted(b.machines) {
		r := b.machines[id]
		if k := bk.MachineKey(id); !b.deletes[k] {
			m.Then = append(m.Then, protocol.Then{Put: k, Data: bk.JSON(r)})
		}
	}
	for _, t := range sorted(b.teams) {
		m.Then = append(m.Then, protocol.Then{Put: bk.TeamKey(t), Data: bk.JSON(bk.TeamRecord{By: b.c.run, N: b.c.txID})})
	}
	return m
}

// selfWhen ties a transaction to this run: once the run's key has gone or was
// fenced, nothing that it sent before can be applied any more.
func (c *Core) selfWhen() protocol.When {
	return protocol.When{Key: bk.MemberKey(c.cfg.Member), Stamp: c.self}
}

// flush sends the next transaction if there is something to write.
func (c *Core) flush() {
	now := c.now.Steady
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
	room := min(tokens, c.cfg.TxnOps)
	if room < 1 {
		return
	}
	b := c.newBatch(room)
	c.writeUsers(b)
	c.writeHalts(b)
	c.writeTakeovers(b)
	// What can wait does so until a fair batch can be paid for: a job's record
	// is then written once for many machines, instead of with each of them.
	fair := min(c.cfg.TxnOps, int(c.cfg.WriteRPS*c.cfg.WriteShare/2))
	if tokens >= fair && (!b.empty() || now >= c.nextPlan()) {
		c.writeMachines(b)
		c.writeCloud(b)
		c.place(b)
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
	c.send(&txn{multi: m, logs: b.logs})
}

func (c *Core) spend(n int) bool { return c.tokens.AllowN(c.steady(), n) }

func (c *Core) send(t *txn) {
	c.txID++
	t.id = c.txID
	c.tx = t
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
	t := c.tx
	if t == nil || t.id != v.ID {
		return
	}
	c.tx = nil
	now := c.now.Steady
	c.flushAt = now
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
	case bk.Applied:
		c.out = append(c.out, t.logs...)
		stamp := protocol.Stamp(v.Answer.Rev)
		for _, th := range t.multi.Then {
			if th.Put != "" {
				c.mirrorPut(th.Put, th.Data, stamp)
			} else if c.mir.Delete(th.Delete, stamp) {
				c.onDeleted(th.Delete)
			}
		}
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
		c.flushAt = now.Add(c.jitter(20 * time.Millisecond))
		c.checkSelf()
	case bk.Busy:
		c.busyCount++
		c.flushAt = now.Add(c.jitter(min(100*time.Millisecond<<min(c.busyCount, 4), time.Second)))
	case bk.NoLease:
		c.self, c.hold = 0, 0
	case bk.Refused:
		c.flushAt = now.Add(c.jitter(300 * time.Millisecond))
	case bk.Invalid:
		c.log(slog.LevelError, "transaction called malformed", "err", errText(v.Err))
		c.flushAt = now.Add(time.Second)
	case bk.Unknown:
		// It may be applied now, later or never. Only a fence settles it.
		c.log(slog.LevelWarn, "transaction without outcome", "err", errText(v.Err))
		if !t.reg {
			c.fence = true
		} else {
			c.hold = 0 // register with a new lease; the old run's name is not used
		}
		c.flushAt = now.Add(c.jitter(200 * time.Millisecond))
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
