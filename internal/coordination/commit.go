package coordination

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// committer sends transactions and handles their outcomes: one at a time, and one beside it for
// what users ask for, which would otherwise wait behind the bulk of task state changes.
type committer struct {
	*stepContext

	agents      MachineTracker
	lease       *incarnationLease
	limits      *writeLimiter
	replication *replicaSync
	shards      *shardWriter
	store       *storeHealth
	upgrade     *formatUpgrade

	lastTransactionID      uint64
	pendingTransaction     *pendingTransaction
	pendingUserTransaction *pendingTransaction
	nextUserCommitAt       protocol.Instant // next one of those
	outcomeUnknown         bool             // a transaction had an unknown outcome
	nextCommitAt           protocol.Instant
	isPartial              bool // the last transaction could not take all changes of owned shards that were due
	consecutiveBusy        int
}

// registrationCondition ties a transaction to this run: once the run's key has gone or was
// fenced, nothing that it sent before can be applied any more.
func (c *committer) registrationCondition() protocol.Condition {
	return protocol.Condition{Key: storage.ControllerKey(c.cfg.ControllerID), ModRevision: c.lease.registrationRevision}
}

// commitBatch sends the next transaction if there is something to write.
func (c *Core) commitBatch() {
	c.commitUserBatch()
	if c.commits.pendingTransaction != nil || !c.replication.isLoaded || c.now.Monotonic < c.commits.nextCommitAt || c.lease.id == 0 {
		return
	}
	if c.replica.Revision < c.replication.minRevision && c.since(c.replication.minRevisionSince) < minRevisionTimeout {
		return
	}
	switch {
	case !c.lease.isRegistered():
		c.commits.register()
	case c.commits.outcomeUnknown:
		c.commits.sendWriteBarrier()
	case c.replica.Revision < c.replication.minRevision || c.upgrade.tryRaiseFormat():
	default:
		c.commitRecordBatch()
	}
}

// minRevisionTimeout is how long the replica is waited for before a run registers or sends a
// fence all the same.
const minRevisionTimeout = 2 * time.Second

// sendWriteBarrier rewrites this run's key, so that whatever was sent before is applied by now
// or never will be.
func (c *committer) sendWriteBarrier() {
	e := c.replica.Controllers[c.cfg.ControllerID]
	if e == nil || !c.limits.takeWriteTokens(1) {
		return
	}
	rec := e.Record
	rec.WriteBarrier++
	c.sendTransaction(&pendingTransaction{isWriteBarrier: true, transaction: protocol.Transaction{Conditions: []protocol.Condition{c.registrationCondition()},
		Operations: []protocol.Operation{{PutKey: storage.ControllerKey(c.cfg.ControllerID), Value: storage.MustMarshal(rec), Lease: c.lease.id}}}})
}

// commitRecordBatch sends what there is to write of jobs and machines.
func (c *Core) commitRecordBatch() {
	tokens := int(c.limits.writeLimiter.TokensAt(c.limiterTime()))
	maxOps := min(tokens, c.limits.maxTransactionOps)
	if maxOps < 1 {
		return
	}
	if len(c.stopper.gracefulStops)+len(c.agents.awaitingOwner)+len(c.ownership.expiredAt) == 0 && c.now.Monotonic < c.plan.nextPlanTime() {
		return
	}
	b := c.shards.newBatch(maxOps)
	c.shards.reencodeOversized(b)
	c.stopper.writeGracefulStops(b)
	c.writeOwnershipChanges(b)
	// What can wait does so until a fair batch can be paid for: a record is then
	// written once for many tasks, instead of with each of them. What users ask
	// for does not wait behind it: a few tokens are left for them.
	minBatchOps := min(c.limits.writeLimits().TransactionOps, int(c.limits.writeLimits().WritesPerSecond*c.cfg.WriteBudgetShare/2))
	if tokens >= max(minBatchOps, c.plan.pendingGangOps) && c.now.Monotonic >= c.plan.nextPlanTime() {
		b.opsLeft = min(b.opsLeft, tokens-c.limits.reservedUserTokens())
		c.writePlan(b)
	}
	c.commits.sendBatch(b, tokens)
}

// writePlan puts the news of own machines and the next plan into the transaction.
func (c *Core) writePlan(b *batch) {
	// A gang is written whole or not at all. One that found no room behind
	// what ends all the time goes first the next time.
	gangFirst := c.plan.pendingGangOps > 0
	c.plan.pendingGangOps = 0
	if gangFirst {
		c.scheduler.placePendingJobs(b)
	}
	c.shards.splitShards(b)
	c.shards.mergeShards(b)
	c.shards.consolidateDoneTasks(b)
	// Own pages have news all the time; some room is left for others' pages, or what
	// is free there would wait for ever.
	reservedOps := 0
	if c.plan.hasPendingRemotePlacements && c.commits.isPartial {
		reservedOps = b.opsLeft / 4
	}
	b.opsLeft -= reservedOps
	c.ownership.handOffMachines(b)
	c.reconciler.writeMachines(b)
	b.opsLeft += reservedOps
	c.provisioner.recordGrantedMachines(b)
	c.terminator.writeTerminations(b)
	c.inventory.adoptOrphanedInstances(b)
	if !gangFirst {
		c.scheduler.placePendingJobs(b)
	}
}

// sendBatch sends a transaction unless there is nothing in it.
func (c *committer) sendBatch(b *batch, tokens int) {
	if b.isEmpty() {
		return
	}
	transaction := b.transaction()
	transaction.Conditions = append(transaction.Conditions, c.registrationCondition())
	if !c.enforceWriteLimits(&transaction) || !c.limits.takeWriteTokens(len(transaction.Operations)) {
		return
	}
	for _, onSend := range b.onSend {
		onSend()
	}
	c.log(slog.LevelDebug, "transaction sent", "jobs", len(b.jobs), "shards", len(b.shards), "owned_shards", len(c.shards.ownedShards()), "bytes", b.estimatedBytes,
		"write_tokens", tokens, "write_rate", c.limits.writeRate, "complete", !c.isPartial)
	c.sendTransaction(&pendingTransaction{transaction: transaction, logsOnApply: b.logsOnApply})
}

// commitUserBatch sends new and withdrawn jobs.
func (c *Core) commitUserBatch() {
	if c.commits.pendingUserTransaction != nil || !c.replication.isLoaded || c.now.Monotonic < c.commits.nextUserCommitAt || c.lease.id == 0 || !c.lease.isRegistered() || c.commits.outcomeUnknown || c.replica.Revision < c.replication.minRevision ||
		len(c.users.submissions)+len(c.cancellations.requestedAt) == 0 {
		return
	}
	b := c.shards.newBatch(min(int(c.limits.writeLimiter.TokensAt(c.limiterTime())), c.limits.maxTransactionOps))
	if c.users.writeUserRequests(b); b.isEmpty() {
		return
	}
	transaction := b.transaction()
	transaction.Conditions = append(transaction.Conditions, c.commits.registrationCondition())
	if c.commits.enforceWriteLimits(&transaction) && c.limits.takeWriteTokens(len(transaction.Operations)) {
		c.commits.sendTransaction(&pendingTransaction{transaction: transaction, logsOnApply: b.logsOnApply, isUserBatch: true})
	}
}

// rebuildDelay is the pause before a transaction that outgrew the limits is built anew.
const rebuildDelay = 100 * time.Millisecond

// enforceWriteLimits tells whether a transaction can be sent. One that can't is built anew,
// with less in it.
func (c *committer) enforceWriteLimits(transaction *protocol.Transaction) bool {
	if c.limits.writeLimits().allows(transaction) {
		return true
	}
	c.log(slog.LevelError, "transaction exceeds write limits, not sent", "count", len(transaction.Operations))
	c.limits.shrinkTransactions()
	c.nextCommitAt = c.now.Monotonic.Add(rebuildDelay)
	c.nextUserCommitAt = c.nextCommitAt
	return false
}

func (c *committer) sendTransaction(pending *pendingTransaction) {
	c.lastTransactionID++
	pending.id, pending.sentAt = c.lastTransactionID, c.now.Monotonic
	if pending.isUserBatch {
		c.pendingUserTransaction = pending
	} else {
		c.pendingTransaction = pending
	}
	c.emit(Commit{ID: pending.id, Transaction: pending.transaction})
}

// register makes this run known. The key of an earlier run of this member is
// replaced: it was this machine's process, so it has ended or lost its lease.
func (c *committer) register() {
	if !c.limits.takeWriteTokens(1) {
		return
	}
	key := storage.ControllerKey(c.cfg.ControllerID)
	incarnation := storage.NewIncarnation(c.cfg.ControllerID, c.lease.id)
	c.sendTransaction(&pendingTransaction{registers: true, transaction: protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, ModRevision: c.replica.ModRevision(key)}},
		Operations: []protocol.Operation{{PutKey: key, Value: storage.MustMarshal(storage.ControllerRecord{Incarnation: incarnation, ReadableFormat: storage.FormatPacked, SupportsTransfers: c.cfg.RecordTransfers}), Lease: c.lease.id}}}})
}

// onCommitResult takes in the outcome of a transaction.
func (c *committer) onCommitResult(v CommitResult) {
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
func (c *committer) recordOutcome(pending *pendingTransaction, v *CommitResult) {
	err := v.Err
	switch {
	case v.Outcome == storage.OutcomeUnavailable || v.Outcome == storage.OutcomeUnknown:
		if err == nil {
			err = errNoUsableResponse
		}
	default:
		err = nil
	}
	c.store.recordContact(pending.sentAt, err)
	if v.Outcome != storage.OutcomeThrottled {
		c.consecutiveBusy = 0
	}
	switch v.Outcome {
	case storage.OutcomeApplied, storage.OutcomeConflict, storage.OutcomeThrottled:
		c.limits.adaptWriteRate(v.Outcome == storage.OutcomeThrottled)
	}
}

// handleOutcome draws the consequences of an outcome, and tells how long the next
// transaction has to wait.
func (c *committer) handleOutcome(pending *pendingTransaction, v *CommitResult) (delay time.Duration) {
	switch v.Outcome {
	case storage.OutcomeApplied:
		c.applyTransaction(pending, v.Result.Revision)
	case storage.OutcomeConflict:
		c.log(slog.LevelDebug, "transaction conflict", "keys", v.Result.FailedKeys)
		c.replication.requireRevision(v.Result.Revision)
		delay = c.jitter(20 * time.Millisecond)
		c.lease.checkRegistration()
	case storage.OutcomeThrottled:
		c.consecutiveBusy++
		delay = c.jitter(min(50*time.Millisecond<<min(c.consecutiveBusy, 4), time.Second))
	case storage.OutcomeLeaseExpired:
		c.lease.registrationRevision, c.lease.id = 0, 0
	case storage.OutcomeUnavailable:
		delay = c.jitter(300 * time.Millisecond)
	case storage.OutcomeInvalid:
		c.log(slog.LevelError, "transaction rejected as invalid", "error", errorText(v.Err))
		// Whatever made it too large, a smaller one gets on.
		c.upgrade.onTransactionTooLarge(&pending.transaction)
		delay = 200 * time.Millisecond
	case storage.OutcomeUnknown:
		// It may be applied now, later or never. Only a fence settles it.
		c.log(slog.LevelWarn, "transaction outcome unknown", "error", errorText(v.Err))
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
func (c *committer) applyTransaction(pending *pendingTransaction, revision protocol.Revision) {
	c.effects = append(c.effects, pending.logsOnApply...)
	modRevision := protocol.ModRevision(revision)
	for _, operation := range pending.transaction.Operations {
		if operation.PutKey != "" {
			c.replication.putInReplica(operation.PutKey, operation.Value, modRevision)
		} else {
			c.replica.Delete(operation.DeleteKey, modRevision)
		}
	}
	c.agents.OnMachinesRemoved()
	c.limits.maxTransactionOps = c.limits.writeLimits().TransactionOps
	switch {
	case pending.registers:
		c.lease.incarnation = storage.NewIncarnation(c.cfg.ControllerID, c.lease.id)
		c.lease.registrationRevision = modRevision
		c.replication.requireRevision(revision)
		c.log(slog.LevelInfo, "controller registered", "incarnation", string(c.lease.incarnation))
	case pending.isWriteBarrier:
		// Transactions sent before are now either applied, and seen once
		// the replica is as new, or never will be.
		c.outcomeUnknown = false
		c.lease.registrationRevision = modRevision
		c.replication.requireRevision(revision)
	}
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
func (c *committer) hasPendingConditionOn(key string) bool {
	return c.pendingTransaction != nil && c.pendingTransaction.hasConditionOn(key)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
