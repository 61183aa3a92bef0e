package coordination

import (
	"log/slog"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// selfWhen ties a transaction to this run: once the run's key has gone or was
// fenced, nothing that it sent before can be applied any more.
func (c *Core) selfWhen() protocol.When {
	return protocol.When{Key: bk.MemberKey(c.cfg.Member), Stamp: c.self}
}

// flush sends the next transaction if there is something to write.
func (c *Core) flush() {
	c.flushUsers()
	if c.tx != nil || !c.replication.loaded || c.now.Steady < c.flushAt || c.lease.id == 0 {
		return
	}
	if c.replica.Rev < c.minRev && c.since(c.minRevAt) < minRevWait {
		return
	}
	switch {
	case !c.registered():
		c.register()
	case c.fence:
		c.sendFence()
	case c.replica.Rev < c.minRev || c.raiseFormat():
	default:
		c.flushRecords()
	}
}

// minRevWait is how long the replica is waited for before a run registers or sends a
// fence all the same.
const minRevWait = 2 * time.Second

// sendFence rewrites this run's key, so that whatever was sent before is applied by now
// or never will be.
func (c *Core) sendFence() {
	e := c.replica.Members[c.cfg.Member]
	if e == nil || !c.spend(1) {
		return
	}
	rec := e.Rec
	rec.Fence++
	c.send(&txn{fence: true, multi: protocol.Multi{When: []protocol.When{c.selfWhen()},
		Then: []protocol.Then{{Put: bk.MemberKey(c.cfg.Member), Data: bk.JSON(rec), Tenancy: c.lease.id}}}})
}

// flushRecords sends what there is to write of jobs and machines.
func (c *Core) flushRecords() {
	tokens := int(c.tokens.TokensAt(c.steady()))
	room := min(tokens, c.txCap)
	if room < 1 {
		return
	}
	if len(c.halts)+len(c.adopting)+len(c.ownership.deadAt) == 0 && c.now.Steady < c.nextPlan() {
		return
	}
	b := c.newBatch(room)
	c.repack(b)
	c.writeHalts(b)
	c.writeOwners(b)
	// What can wait does so until a fair batch can be paid for: a record is then
	// written once for many tasks, instead of with each of them. What users ask
	// for does not wait behind it: a few tokens are left for them.
	fair := min(c.limits().TxnOps, int(c.limits().RPS*c.cfg.WriteShare/2))
	if tokens >= max(fair, c.gangNeeds) && c.now.Steady >= c.nextPlan() {
		b.room = min(b.room, tokens-c.kept())
		c.writePlan(b)
	}
	c.sendBatch(b, tokens)
}

// writePlan puts the news of own machines and the next plan into the transaction.
func (c *Core) writePlan(b *batch) {
	// A gang is written whole or not at all. One that found no room behind
	// what ends all the time goes first the next time.
	first := c.gangNeeds > 0
	c.gangNeeds = 0
	if first {
		c.place(b)
	}
	c.splitPages(b)
	c.joinPages(b)
	c.settleDone(b)
	// Own pages have news all the time; some room is left for others' pages, or what
	// is free there would wait for ever.
	keep := 0
	if c.planned.abroad && c.partial {
		keep = b.room / 4
	}
	b.room -= keep
	c.handOver(b)
	c.writeMachines(b)
	b.room += keep
	c.recordRentals(b)
	c.writeReleases(b)
	c.strangers(b)
	if !first {
		c.place(b)
	}
}

// sendBatch sends a transaction unless there is nothing in it.
func (c *Core) sendBatch(b *batch, tokens int) {
	if b.empty() {
		return
	}
	m := b.multi()
	m.When = append(m.When, c.selfWhen())
	if !c.withinLimits(&m) || !c.spend(len(m.Then)) {
		return
	}
	for _, f := range b.marks {
		f()
	}
	c.log(slog.LevelDebug, "transaction", "jobs", len(b.jobs), "pages", len(b.pages), "of", len(c.ownPages()), "bytes", b.bytes,
		"tokens", tokens, "rate", c.rate, "whole", !c.partial)
	c.send(&txn{multi: m, logs: b.logs})
}

// flushUsers sends new and withdrawn jobs.
func (c *Core) flushUsers() {
	if c.userTx != nil || !c.replication.loaded || c.now.Steady < c.userAt || c.lease.id == 0 || !c.registered() || c.fence || c.replica.Rev < c.minRev ||
		len(c.submits)+len(c.cancellations.wanted) == 0 {
		return
	}
	b := c.newBatch(min(int(c.tokens.TokensAt(c.steady())), c.txCap))
	if c.writeUsers(b); b.empty() {
		return
	}
	m := b.multi()
	m.When = append(m.When, c.selfWhen())
	if c.withinLimits(&m) && c.spend(len(m.Then)) {
		c.send(&txn{multi: m, logs: b.logs, user: true})
	}
}

// rebuildDelay is the pause before a transaction that outgrew the limits is built anew.
const rebuildDelay = 100 * time.Millisecond

// withinLimits tells whether a transaction can be sent. One that can't is built anew,
// with less in it.
func (c *Core) withinLimits(m *protocol.Multi) bool {
	if c.limits().keepsTo(m) {
		return true
	}
	c.log(slog.LevelError, "transaction outgrew the limits and is not sent", "changes", len(m.Then))
	c.shrink()
	c.flushAt = c.now.Steady.Add(rebuildDelay)
	c.userAt = c.flushAt
	return false
}

func (c *Core) spend(n int) bool { return c.tokens.AllowN(c.steady(), n) }

func (c *Core) send(t *txn) {
	c.txID++
	t.id, t.sent = c.txID, c.now.Steady
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
	run := bk.NewRun(c.cfg.Member, c.lease.id)
	c.send(&txn{reg: true, multi: protocol.Multi{
		When: []protocol.When{{Key: key, Stamp: c.replica.Stamp(key)}},
		Then: []protocol.Then{{Put: key, Data: bk.JSON(bk.MemberRecord{Run: run, Reads: bk.FormatPacked, Moves: c.cfg.RecordMoves}), Tenancy: c.lease.id}}}})
}

// committed takes in the outcome of a transaction.
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
	c.noteOutcome(t, &v)
	*next = c.now.Steady.Add(c.settleTxn(t, &v))
}

// noteOutcome takes in what an outcome says of the state service and its budget.
func (c *Core) noteOutcome(t *txn, v *CommitResult) {
	err := v.Err
	switch {
	case v.Outcome == bk.Refused || v.Outcome == bk.Unknown:
		if err == nil {
			err = errOutcome
		}
	default:
		err = nil
	}
	c.heard(t.sent, err)
	if v.Outcome != bk.Busy {
		c.busyCount = 0
	}
	switch v.Outcome {
	case bk.Applied, bk.Conflict, bk.Busy:
		c.adapt(v.Outcome == bk.Busy)
	}
}

// settleTxn draws the consequences of an outcome, and tells how long the next
// transaction has to wait.
func (c *Core) settleTxn(t *txn, v *CommitResult) (wait time.Duration) {
	switch v.Outcome {
	case bk.Applied:
		c.applied(t, v.Answer.Rev)
	case bk.Conflict:
		c.log(slog.LevelDebug, "transaction refused, records have moved on", "keys", v.Answer.Failed)
		c.waitRev(v.Answer.Rev)
		wait = c.jitter(20 * time.Millisecond)
		c.checkSelf()
	case bk.Busy:
		c.busyCount++
		wait = c.jitter(min(50*time.Millisecond<<min(c.busyCount, 4), time.Second))
	case bk.NoLease:
		c.self, c.lease.id = 0, 0
	case bk.Refused:
		wait = c.jitter(300 * time.Millisecond)
	case bk.Invalid:
		c.log(slog.LevelError, "transaction called malformed", "err", errText(v.Err))
		// Whatever made it too large, a smaller one gets on.
		c.tooLarge(&t.multi)
		wait = 200 * time.Millisecond
	case bk.Unknown:
		// It may be applied now, later or never. Only a fence settles it.
		c.log(slog.LevelWarn, "transaction without outcome", "err", errText(v.Err))
		if !t.reg {
			c.fence = true
		} else {
			c.lease.id = 0 // register with a new lease; the old run's name is not used
		}
		wait = c.jitter(200 * time.Millisecond)
	}
	return wait
}

// applied takes a transaction's changes into the replica.
func (c *Core) applied(t *txn, rev protocol.Rev) {
	c.out = append(c.out, t.logs...)
	stamp := protocol.Stamp(rev)
	for _, th := range t.multi.Then {
		if th.Put != "" {
			c.replicaPut(th.Put, th.Data, stamp)
		} else {
			c.replica.Delete(th.Delete, stamp)
		}
	}
	c.onLost()
	c.txCap = c.limits().TxnOps
	switch {
	case t.reg:
		c.run = bk.NewRun(c.cfg.Member, c.lease.id)
		c.self = stamp
		c.waitRev(rev)
		c.log(slog.LevelInfo, "run registered", "run", string(c.run))
	case t.fence:
		// Transactions sent before are now either applied, and seen once
		// the replica is as new, or never will be.
		c.fence = false
		c.self = stamp
		c.waitRev(rev)
	}
}

func (c *Core) waitRev(r protocol.Rev) {
	c.minRev, c.minRevAt = max(c.minRev, r), c.now.Steady
}

func (t *txn) restsOn(key string) bool {
	for _, w := range t.multi.When {
		if w.Key == key {
			return true
		}
	}
	return false
}

// pendingRestsOn tells whether the transaction under way depends on a key.
func (c *Core) pendingRestsOn(key string) bool { return c.tx != nil && c.tx.restsOn(key) }

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
