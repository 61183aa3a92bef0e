package coordination

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// registrationCondition ties a transaction to this run: once the run's key has gone or was
// fenced, nothing that it sent before can be applied any more.
func (c *Core) registrationCondition() protocol.Condition {
	return protocol.Condition{Key: storage.ControllerKey(c.cfg.ControllerID), ModRevision: c.registrationRevision}
}

// commitBatch sends the next transaction if there is something to write.
func (c *Core) commitBatch() {
	c.commitUserBatch()
	if c.pendingTransaction != nil || !c.replication.isLoaded || c.now.Monotonic < c.nextCommitAt || c.lease.id == 0 {
		return
	}
	if c.replica.Revision < c.minRevision && c.since(c.minRevisionSince) < minRevisionTimeout {
		return
	}
	switch {
	case !c.isRegistered():
		c.register()
	case c.outcomeUnknown:
		c.sendWriteBarrier()
	case c.replica.Revision < c.minRevision || c.tryRaiseFormat():
	default:
		c.commitRecordBatch()
	}
}

// minRevisionTimeout is how long the replica is waited for before a run registers or sends a
// fence all the same.
const minRevisionTimeout = 2 * time.Second

// sendWriteBarrier rewrites this run's key, so that whatever was sent before is applied by now
// or never will be.
func (c *Core) sendWriteBarrier() {
	e := c.replica.Controllers[c.cfg.ControllerID]
	if e == nil || !c.takeWriteTokens(1) {
		return
	}
	rec := e.Record
	rec.WriteBarrier++
	c.sendTransaction(&pendingTransaction{isWriteBarrier: true, transaction: protocol.Transaction{Conditions: []protocol.Condition{c.registrationCondition()},
		Operations: []protocol.Operation{{PutKey: storage.ControllerKey(c.cfg.ControllerID), Value: storage.MustMarshal(rec), Lease: c.lease.id}}}})
}

// commitRecordBatch sends what there is to write of jobs and machines.
func (c *Core) commitRecordBatch() {
	tokens := int(c.writeLimiter.TokensAt(c.limiterTime()))
	maxOps := min(tokens, c.maxTransactionOps)
	if maxOps < 1 {
		return
	}
	if len(c.gracefulStops)+len(c.awaitingOwner)+len(c.ownership.expiredAt) == 0 && c.now.Monotonic < c.nextPlanTime() {
		return
	}
	b := c.newBatch(maxOps)
	c.reencodeOversized(b)
	c.writeGracefulStops(b)
	c.writeOwnershipChanges(b)
	// What can wait does so until a fair batch can be paid for: a record is then
	// written once for many tasks, instead of with each of them. What users ask
	// for does not wait behind it: a few tokens are left for them.
	minBatchOps := min(c.writeLimits().TransactionOps, int(c.writeLimits().WritesPerSecond*c.cfg.WriteBudgetShare/2))
	if tokens >= max(minBatchOps, c.pendingGangOps) && c.now.Monotonic >= c.nextPlanTime() {
		b.opsLeft = min(b.opsLeft, tokens-c.reservedUserTokens())
		c.writePlan(b)
	}
	c.sendBatch(b, tokens)
}

// writePlan puts the news of own machines and the next plan into the transaction.
func (c *Core) writePlan(b *batch) {
	// A gang is written whole or not at all. One that found no room behind
	// what ends all the time goes first the next time.
	gangFirst := c.pendingGangOps > 0
	c.pendingGangOps = 0
	if gangFirst {
		c.placePendingJobs(b)
	}
	c.splitShards(b)
	c.mergeShards(b)
	c.consolidateDoneTasks(b)
	// Own pages have news all the time; some room is left for others' pages, or what
	// is free there would wait for ever.
	reservedOps := 0
	if c.lastPlan.hasPendingRemotePlacements && c.lastCommitWasPartial {
		reservedOps = b.opsLeft / 4
	}
	b.opsLeft -= reservedOps
	c.handOffMachines(b)
	c.writeMachines(b)
	b.opsLeft += reservedOps
	c.recordGrantedMachines(b)
	c.writeTerminations(b)
	c.adoptOrphanedInstances(b)
	if !gangFirst {
		c.placePendingJobs(b)
	}
}

// sendBatch sends a transaction unless there is nothing in it.
func (c *Core) sendBatch(b *batch, tokens int) {
	if b.isEmpty() {
		return
	}
	transaction := b.transaction()
	transaction.Conditions = append(transaction.Conditions, c.registrationCondition())
	if !c.enforceWriteLimits(&transaction) || !c.takeWriteTokens(len(transaction.Operations)) {
		return
	}
	for _, onSend := range b.onSend {
		onSend()
	}
	c.log(slog.LevelDebug, "transaction", "jobs", len(b.jobs), "pages", len(b.shards), "of", len(c.ownedShards()), "bytes", b.estimatedBytes,
		"tokens", tokens, "rate", c.writeRate, "whole", !c.lastCommitWasPartial)
	c.sendTransaction(&pendingTransaction{transaction: transaction, logsOnApply: b.logsOnApply})
}

// commitUserBatch sends new and withdrawn jobs.
func (c *Core) commitUserBatch() {
	if c.pendingUserTransaction != nil || !c.replication.isLoaded || c.now.Monotonic < c.nextUserCommitAt || c.lease.id == 0 || !c.isRegistered() || c.outcomeUnknown || c.replica.Revision < c.minRevision ||
		len(c.submissions)+len(c.cancellations.requestedAt) == 0 {
		return
	}
	b := c.newBatch(min(int(c.writeLimiter.TokensAt(c.limiterTime())), c.maxTransactionOps))
	if c.writeUserRequests(b); b.isEmpty() {
		return
	}
	transaction := b.transaction()
	transaction.Conditions = append(transaction.Conditions, c.registrationCondition())
	if c.enforceWriteLimits(&transaction) && c.takeWriteTokens(len(transaction.Operations)) {
		c.sendTransaction(&pendingTransaction{transaction: transaction, logsOnApply: b.logsOnApply, isUserBatch: true})
	}
}

// rebuildDelay is the pause before a transaction that outgrew the limits is built anew.
const rebuildDelay = 100 * time.Millisecond

// enforceWriteLimits tells whether a transaction can be sent. One that can't is built anew,
// with less in it.
func (c *Core) enforceWriteLimits(transaction *protocol.Transaction) bool {
	if c.writeLimits().allows(transaction) {
		return true
	}
	c.log(slog.LevelError, "transaction outgrew the limits and is not sent", "changes", len(transaction.Operations))
	c.shrinkTransactions()
	c.nextCommitAt = c.now.Monotonic.Add(rebuildDelay)
	c.nextUserCommitAt = c.nextCommitAt
	return false
}

func (c *Core) takeWriteTokens(n int) bool { return c.writeLimiter.AllowN(c.limiterTime(), n) }

func (c *Core) sendTransaction(pending *pendingTransaction) {
	c.lastTransactionID++
	pending.id, pending.sentAt = c.lastTransactionID, c.now.Monotonic
	if pending.isUserBatch {
		c.pendingUserTransaction = pending
	} else {
		c.pendingTransaction = pending
	}
	c.emit(Commit{pending.id, pending.transaction})
}

// register makes this run known. The key of an earlier run of this member is
// replaced: it was this machine's process, so it has ended or lost its lease.
func (c *Core) register() {
	if !c.takeWriteTokens(1) {
		return
	}
	key := storage.ControllerKey(c.cfg.ControllerID)
	incarnation := storage.NewIncarnation(c.cfg.ControllerID, c.lease.id)
	c.sendTransaction(&pendingTransaction{registers: true, transaction: protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, ModRevision: c.replica.ModRevision(key)}},
		Operations: []protocol.Operation{{PutKey: key, Value: storage.MustMarshal(storage.ControllerRecord{Incarnation: incarnation, ReadableFormat: storage.FormatPacked, SupportsTransfers: c.cfg.RecordTransfers}), Lease: c.lease.id}}}})
}

// onCommitResult takes in the outcome of a transaction.
func (c *Core) onCommitResult(v CommitResult) {
	pending, nextAt := c.pendingTransaction, &c.nextCommitAt
	if c.pendingUserTransaction != nil && c.pendingUserTransaction.id == v.ID {
		pending, nextAt = c.pendingUserTransaction, &c.nextUserCommitAt
	}
	if pending == nil || pending.id != v.ID {
		return
	}
	if pending.isUserBatch {
		c.pendingUserTransaction = nil
	} else {
		c.pendingTransaction = nil
	}
	c.recordOutcome(pending, &v)
	*nextAt = c.now.Monotonic.Add(c.handleOutcome(pending, &v))
}

// recordOutcome takes in what an outcome says of the state service and its budget.
func (c *Core) recordOutcome(pending *pendingTransaction, v *CommitResult) {
	err := v.Err
	switch {
	case v.Outcome == storage.OutcomeUnavailable || v.Outcome == storage.OutcomeUnknown:
		if err == nil {
			err = errNoUsableResponse
		}
	default:
		err = nil
	}
	c.recordContact(pending.sentAt, err)
	if v.Outcome != storage.OutcomeThrottled {
		c.consecutiveBusy = 0
	}
	switch v.Outcome {
	case storage.OutcomeApplied, storage.OutcomeConflict, storage.OutcomeThrottled:
		c.adaptWriteRate(v.Outcome == storage.OutcomeThrottled)
	}
}

// handleOutcome draws the consequences of an outcome, and tells how long the next
// transaction has to wait.
func (c *Core) handleOutcome(pending *pendingTransaction, v *CommitResult) (delay time.Duration) {
	switch v.Outcome {
	case storage.OutcomeApplied:
		c.applyTransaction(pending, v.Result.Revision)
	case storage.OutcomeConflict:
		c.log(slog.LevelDebug, "transaction refused, records have moved on", "keys", v.Result.FailedKeys)
		c.requireRevision(v.Result.Revision)
		delay = c.jitter(20 * time.Millisecond)
		c.checkRegistration()
	case storage.OutcomeThrottled:
		c.consecutiveBusy++
		delay = c.jitter(min(50*time.Millisecond<<min(c.consecutiveBusy, 4), time.Second))
	case storage.OutcomeLeaseExpired:
		c.registrationRevision, c.lease.id = 0, 0
	case storage.OutcomeUnavailable:
		delay = c.jitter(300 * time.Millisecond)
	case storage.OutcomeInvalid:
		c.log(slog.LevelError, "transaction called malformed", "err", errorText(v.Err))
		// Whatever made it too large, a smaller one gets on.
		c.onTransactionTooLarge(&pending.transaction)
		delay = 200 * time.Millisecond
	case storage.OutcomeUnknown:
		// It may be applied now, later or never. Only a fence settles it.
		c.log(slog.LevelWarn, "transaction without outcome", "err", errorText(v.Err))
		if !pending.registers {
			c.outcomeUnknown = true
		} else {
			c.lease.id = 0 // register with a new lease; the old run's name is not used
		}
		delay = c.jitter(200 * time.Millisecond)
	}
	return delay
}

// applyTransaction takes a transaction's changes into the replica.
func (c *Core) applyTransaction(pending *pendingTransaction, revision protocol.Revision) {
	c.effects = append(c.effects, pending.logsOnApply...)
	modRevision := protocol.ModRevision(revision)
	for _, operation := range pending.transaction.Operations {
		if operation.PutKey != "" {
			c.putInReplica(operation.PutKey, operation.Value, modRevision)
		} else {
			c.replica.Delete(operation.DeleteKey, modRevision)
		}
	}
	c.onMachinesRemoved()
	c.maxTransactionOps = c.writeLimits().TransactionOps
	switch {
	case pending.registers:
		c.incarnation = storage.NewIncarnation(c.cfg.ControllerID, c.lease.id)
		c.registrationRevision = modRevision
		c.requireRevision(revision)
		c.log(slog.LevelInfo, "run registered", "run", string(c.incarnation))
	case pending.isWriteBarrier:
		// Transactions sent before are now either applied, and seen once
		// the replica is as new, or never will be.
		c.outcomeUnknown = false
		c.registrationRevision = modRevision
		c.requireRevision(revision)
	}
}

func (c *Core) requireRevision(revision protocol.Revision) {
	c.minRevision, c.minRevisionSince = max(c.minRevision, revision), c.now.Monotonic
}

func (t *pendingTransaction) hasConditionOn(key string) bool {
	for _, condition := range t.transaction.Conditions {
		if condition.Key == key {
			return true
		}
	}
	return false
}

// hasPendingConditionOn tells whether the transaction under way depends on a key.
func (c *Core) hasPendingConditionOn(key string) bool {
	return c.pendingTransaction != nil && c.pendingTransaction.hasConditionOn(key)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
