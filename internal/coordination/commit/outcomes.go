package commit

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Pauses before the transaction that follows one with this outcome.
const (
	conflictDelay       = 20 * time.Millisecond
	minThrottleDelay    = 50 * time.Millisecond
	maxThrottleDelay    = time.Second
	maxThrottleDoubling = 4 // of minThrottleDelay
	unavailableDelay    = 300 * time.Millisecond
	invalidDelay        = 200 * time.Millisecond
	unknownOutcomeDelay = 200 * time.Millisecond
)

// OnCommitResult takes in the outcome of a transaction.
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

// recordOutcome takes in what an outcome says of the store and its write budget.
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

// contactError is the failure to reach the store that an outcome stands for, nil if the store
// gave a response.
func contactError(result *step.CommitResult) error {
	if result.Outcome != storage.OutcomeUnavailable && result.Outcome != storage.OutcomeUnknown {
		return nil
	}
	if result.Err == nil {
		return errNoUsableResponse
	}
	return result.Err
}

// handleOutcome draws the consequences of an outcome, and tells how long the next
// transaction has to wait.
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
		// Whatever made it too large, a smaller one passes.
		c.upgrade.onTransactionTooLarge(&pending.transaction)
		delay = invalidDelay
	case storage.OutcomeUnknown:
		c.Log(slog.LevelWarn, "transaction outcome unknown", "error", result.Err)
		c.onUnknownOutcome(pending)
		delay = c.Jitter(unknownOutcomeDelay)
	}
	return delay
}

// onUnknownOutcome sees to it that it becomes certain what happens to a transaction that may be
// applied now, later or never.
func (c *Committer) onUnknownOutcome(pending *pendingTransaction) {
	if pending.kind == registrationTransaction {
		// The next registration is under a new lease, so this incarnation's name is never used.
		c.lease.id = 0
		return
	}
	c.hasUnknownOutcome = true
}

// applyTransaction takes a transaction's changes into the replica.
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
		// Transactions sent before are now either applied, and seen once the replica has
		// reached this revision, or never will be.
		c.hasUnknownOutcome = false
		c.lease.registrationRevision = modRevision
		c.replication.requireRevision(revision)
	}
}
