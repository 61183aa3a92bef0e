package commit

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Pauses before the next transaction, by the outcome of the last one.
const (
	conflictDelay       = 20 * time.Millisecond
	minThrottleDelay    = 50 * time.Millisecond
	maxThrottleDelay    = time.Second
	maxThrottleDoubling = 4 // maximum number of times that minThrottleDelay is doubled
	unavailableDelay    = 300 * time.Millisecond
	invalidDelay        = 200 * time.Millisecond
	unknownOutcomeDelay = 200 * time.Millisecond
)

// OnCommitResult handles the outcome of a pending transaction. It ignores outcomes of other
// transactions.
func (c *Committer) OnCommitResult(result step.CommitResult) {
	switch {
	case c.pendingUser != nil && c.pendingUser.id == result.ID:
		pending := c.pendingUser
		c.pendingUser = nil
		c.recordOutcome(pending, &result)
		c.nextUserCommitAt = c.Now.Monotonic.Add(c.handleOutcome(pending, &result))
	case c.pending != nil && c.pending.id == result.ID:
		pending := c.pending
		c.pending = nil
		c.recordOutcome(pending, &result)
		c.nextCommitAt = c.Now.Monotonic.Add(c.handleOutcome(pending, &result))
	}
}

// recordOutcome updates the store's health and the write rate from an outcome.
func (c *Committer) recordOutcome(pending *pendingTransaction, result *step.CommitResult) {
	c.store.RecordContact(pending.sentAt, contactError(result))
	if result.Outcome != storage.OutcomeThrottled {
		c.consecutiveThrottles = 0
	}
	switch result.Outcome {
	case storage.OutcomeApplied, storage.OutcomeConflict, storage.OutcomeThrottled:
		c.limits.adaptWriteRate(result.Outcome == storage.OutcomeThrottled)
	}
}

// contactError returns the error of a transaction that got no response from the store, or nil if the
// store responded.
func contactError(result *step.CommitResult) error {
	if result.Outcome != storage.OutcomeUnavailable && result.Outcome != storage.OutcomeUnknown {
		return nil
	}
	if result.Err == nil {
		return errNoUsableResponse
	}
	return result.Err
}

// handleOutcome updates the replica, the lease and the limits from an outcome. It returns how long
// the next transaction has to wait.
func (c *Committer) handleOutcome(pending *pendingTransaction, result *step.CommitResult) (delay time.Duration) {
	switch result.Outcome {
	case storage.OutcomeApplied:
		c.applyTransaction(pending, result.Result.Revision)
	case storage.OutcomeConflict:
		c.Log(slog.LevelDebug, "transaction conflict", "keys", result.Result.FailedKeys)
		c.replication.requireRevision(result.Result.Revision)
		delay = c.Jitter(conflictDelay)
		c.lease.checkRegistration()
	case storage.OutcomeThrottled:
		c.consecutiveThrottles++
		delay = c.Jitter(min(minThrottleDelay<<min(c.consecutiveThrottles, maxThrottleDoubling), maxThrottleDelay))
	case storage.OutcomeLeaseExpired:
		c.lease.discardLease()
	case storage.OutcomeUnavailable:
		delay = c.Jitter(unavailableDelay)
	case storage.OutcomeInvalid:
		c.Log(slog.LevelError, "transaction rejected as invalid", "error", result.Err)
		c.handleRefusal(pending)
		delay = invalidDelay
	case storage.OutcomeUnknown:
		c.Log(slog.LevelWarn, "transaction outcome unknown", "error", result.Err)
		c.onUnknownOutcome(pending)
		delay = c.Jitter(unknownOutcomeDelay)
	}
	return delay
}

// handleRefusal handles a transaction that the store refused as invalid. Whichever limit it exceeded, a
// smaller one passes. If the size cannot be the reason, the records of the transaction are left out of
// the next batches, so that the others are written.
func (c *Committer) handleRefusal(pending *pendingTransaction) {
	if c.upgrade.onTransactionTooLarge(&pending.transaction) {
		return
	}
	c.postponeRecords(&pending.transaction, "refused by the store")
}

// onUnknownOutcome arranges for an unknown outcome to be resolved. The transaction may be applied
// now, later or never.
func (c *Committer) onUnknownOutcome(pending *pendingTransaction) {
	if pending.kind == registrationTransaction {
		// The next registration uses a new lease, so the incarnation of this lease is never used.
		c.lease.id = 0
		return
	}
	c.hasUnknownOutcome = true
}

// applyTransaction applies the changes of a transaction to the replica and emits the log lines of its
// batch. For a registration or a write barrier it updates the registration as well.
func (c *Committer) applyTransaction(pending *pendingTransaction, revision protocol.Revision) {
	c.Effects = append(c.Effects, pending.logsOnApply...)
	modRevision := protocol.ModRevision(revision)
	c.replication.applyOperations(pending.transaction.Operations, modRevision)
	c.limits.resetTransactionOps()
	switch pending.kind {
	case registrationTransaction:
		c.lease.incarnation = storage.NewIncarnation(c.Config.ControllerID, c.lease.id)
		c.lease.registrationRevision = modRevision
		c.replication.requireRevision(revision)
		c.Log(slog.LevelInfo, "controller registered", "incarnation", string(c.lease.incarnation))
	case writeBarrierTransaction:
		// Each transaction that was sent before the write barrier either has been applied, and shows
		// once the replica has reached this revision, or will never be applied.
		c.hasUnknownOutcome = false
		c.lease.registrationRevision = modRevision
		c.replication.requireRevision(revision)
	}
}
