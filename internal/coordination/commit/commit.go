package commit

import (
	"errors"
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Committer sends transactions and handles their outcomes: one at a time, and one beside it for
// what users ask for, which would otherwise wait behind the bulk of task state changes.
type Committer struct {
	*step.Context

	agents      MachineTracker
	lease       *Lease
	limits      *WriteLimiter
	replication *Replication
	shards      *ShardWriter
	store       *StoreHealth
	upgrade     *FormatUpgrade

	lastTransactionID      uint64
	PendingTransaction     *PendingTransaction
	PendingUserTransaction *PendingTransaction
	nextUserCommitAt       protocol.Instant // next one of those
	outcomeUnknown         bool             // a transaction had an unknown outcome
	nextCommitAt           protocol.Instant
	isPartial              bool // the last transaction could not take all changes of owned shards that were due
	consecutiveBusy        int
}

// registrationCondition ties a transaction to this run: once the run's key has gone or was
// fenced, nothing that it sent before can be applied any more.
func (c *Committer) registrationCondition() protocol.Condition {
	return protocol.Condition{Key: storage.ControllerKey(c.Config.ControllerID), ModRevision: c.lease.RegistrationRevision}
}

// minRevisionTimeout is how long the replica is waited for before a run registers or sends a
// fence all the same.
const minRevisionTimeout = 2 * time.Second

// sendWriteBarrier rewrites this run's key, so that whatever was sent before is applied by now
// or never will be.
func (c *Committer) sendWriteBarrier() {
	e := c.Replica.Controllers[c.Config.ControllerID]
	if e == nil || !c.limits.TakeWriteTokens(1) {
		return
	}
	rec := e.Record
	rec.WriteBarrier++
	c.sendTransaction(&PendingTransaction{IsWriteBarrier: true, Transaction: protocol.Transaction{Conditions: []protocol.Condition{c.registrationCondition()},
		Operations: []protocol.Operation{{PutKey: storage.ControllerKey(c.Config.ControllerID), Value: storage.MustMarshal(rec), Lease: c.lease.id}}}})
}

// ReadyForUserBatch tells whether a batch of users' requests may be sent now.
func (c *Committer) ReadyForUserBatch() bool {
	return c.PendingUserTransaction == nil && c.replication.isLoaded && c.Now.Monotonic >= c.nextUserCommitAt &&
		c.lease.IsRegistered() && !c.outcomeUnknown && !c.replication.isBehind()
}

// ReadyForRecordBatch sends what goes before any batch of records (the registration, a write
// barrier, the change of the storage format). It tells whether such a batch may be sent now.
func (c *Committer) ReadyForRecordBatch() bool {
	if c.PendingTransaction != nil || !c.replication.isLoaded || c.Now.Monotonic < c.nextCommitAt || !c.lease.IsGranted() {
		return false
	}
	isBehind := c.replication.isBehind()
	if isBehind && c.Since(c.replication.minRevisionSince) < minRevisionTimeout {
		return false
	}
	switch {
	case !c.lease.IsRegistered():
		c.register()
	case c.outcomeUnknown:
		c.sendWriteBarrier()
	default:
		return !isBehind && !c.upgrade.tryRaiseFormat()
	}
	return false
}

// SendUserBatch sends a transaction of users' requests unless there is nothing in it.
func (c *Committer) SendUserBatch(b *Batch) {
	if pending, ok := c.prepare(b); ok {
		pending.isUserBatch = true
		c.sendTransaction(pending)
	}
}

// prepare makes the transaction of a batch and takes the tokens for it. It fails if there is
// nothing to write, or not now.
func (c *Committer) prepare(b *Batch) (pending *PendingTransaction, ok bool) {
	if b.IsEmpty() {
		return nil, false
	}
	transaction := b.Transaction()
	transaction.Conditions = append(transaction.Conditions, c.registrationCondition())
	if !c.enforceWriteLimits(&transaction) || !c.limits.TakeWriteTokens(len(transaction.Operations)) {
		return nil, false
	}
	return &PendingTransaction{Transaction: transaction, logsOnApply: b.logsOnApply}, true
}

// SendBatch sends a transaction unless there is nothing in it.
func (c *Committer) SendBatch(b *Batch, tokens int) {
	pending, ok := c.prepare(b)
	if !ok {
		return
	}
	for _, onSend := range b.onSend {
		onSend()
	}
	c.Log(slog.LevelDebug, "transaction sent", "jobs", len(b.jobs), "shards", len(b.shards), "owned_shards", len(c.shards.OwnedShards()),
		"bytes", b.estimatedBytes, "write_tokens", tokens, "write_rate", c.limits.writeRate, "complete", !c.isPartial)
	c.sendTransaction(pending)
}

// rebuildDelay is the pause before a transaction that outgrew the limits is built anew.
const rebuildDelay = 100 * time.Millisecond

// enforceWriteLimits tells whether a transaction can be sent. One that can't is built anew,
// with less in it.
func (c *Committer) enforceWriteLimits(transaction *protocol.Transaction) bool {
	if c.limits.WriteLimits().Allows(transaction) {
		return true
	}
	c.Log(slog.LevelError, "transaction exceeds write limits, not sent", "count", len(transaction.Operations))
	c.limits.shrinkTransactions()
	c.nextCommitAt = c.Now.Monotonic.Add(rebuildDelay)
	c.nextUserCommitAt = c.nextCommitAt
	return false
}

func (c *Committer) sendTransaction(pending *PendingTransaction) {
	c.lastTransactionID++
	pending.ID, pending.sentAt = c.lastTransactionID, c.Now.Monotonic
	if pending.isUserBatch {
		c.PendingUserTransaction = pending
	} else {
		c.PendingTransaction = pending
	}
	c.Emit(step.Commit{ID: pending.ID, Transaction: pending.Transaction})
}

// register makes this run known. The key of an earlier run of this member is
// replaced: it was this machine's process, so it has ended or lost its lease.
func (c *Committer) register() {
	if !c.limits.TakeWriteTokens(1) {
		return
	}
	key := storage.ControllerKey(c.Config.ControllerID)
	incarnation := storage.NewIncarnation(c.Config.ControllerID, c.lease.id)
	c.sendTransaction(&PendingTransaction{registers: true, Transaction: protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, ModRevision: c.Replica.ModRevision(key)}},
		Operations: []protocol.Operation{{PutKey: key, Value: storage.MustMarshal(storage.ControllerRecord{Incarnation: incarnation, ReadableFormat: storage.FormatPacked, SupportsTransfers: c.Config.RecordTransfers}), Lease: c.lease.id}}}})
}

// IsPartial tells whether the last transaction could not take all changes of owned shards
// that were due.
func (c *Committer) IsPartial() bool { return c.isPartial }

// SetPartial records whether the transaction that is being built lacks changes that are due.
func (c *Committer) SetPartial(partial bool) { c.isPartial = partial }

// OnCommitResult takes in the outcome of a transaction.
func (c *Committer) OnCommitResult(v step.CommitResult) {
	pending, nextAt := c.PendingTransaction, &c.nextCommitAt
	if c.PendingUserTransaction != nil && c.PendingUserTransaction.ID == v.ID {
		pending, nextAt = c.PendingUserTransaction, &c.nextUserCommitAt
	}
	if pending == nil || pending.ID != v.ID {
		return
	}
	if pending.isUserBatch {
		c.PendingUserTransaction = nil
	} else {
		c.PendingTransaction = nil
	}
	c.recordOutcome(pending, &v)
	*nextAt = c.Now.Monotonic.Add(c.handleOutcome(pending, &v))
}

// recordOutcome takes in what an outcome says of the state service and its budget.
func (c *Committer) recordOutcome(pending *PendingTransaction, v *step.CommitResult) {
	err := v.Err
	switch {
	case v.Outcome == storage.OutcomeUnavailable || v.Outcome == storage.OutcomeUnknown:
		if err == nil {
			err = ErrNoUsableResponse
		}
	default:
		err = nil
	}
	c.store.RecordContact(pending.sentAt, err)
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
func (c *Committer) handleOutcome(pending *PendingTransaction, v *step.CommitResult) (delay time.Duration) {
	switch v.Outcome {
	case storage.OutcomeApplied:
		c.applyTransaction(pending, v.Result.Revision)
	case storage.OutcomeConflict:
		c.Log(slog.LevelDebug, "transaction conflict", "keys", v.Result.FailedKeys)
		c.replication.requireRevision(v.Result.Revision)
		delay = c.Jitter(20 * time.Millisecond)
		c.lease.checkRegistration()
	case storage.OutcomeThrottled:
		c.consecutiveBusy++
		delay = c.Jitter(min(50*time.Millisecond<<min(c.consecutiveBusy, 4), time.Second))
	case storage.OutcomeLeaseExpired:
		c.lease.RegistrationRevision, c.lease.id = 0, 0
	case storage.OutcomeUnavailable:
		delay = c.Jitter(300 * time.Millisecond)
	case storage.OutcomeInvalid:
		c.Log(slog.LevelError, "transaction rejected as invalid", "error", errorText(v.Err))
		// Whatever made it too large, a smaller one gets on.
		c.upgrade.OnTransactionTooLarge(&pending.Transaction)
		delay = 200 * time.Millisecond
	case storage.OutcomeUnknown:
		// It may be applied now, later or never. Only a fence settles it.
		c.Log(slog.LevelWarn, "transaction outcome unknown", "error", errorText(v.Err))
		if !pending.registers {
			c.outcomeUnknown = true
		} else {
			c.lease.id = 0 // register with a new lease; the old run's name is not used
		}
		delay = c.Jitter(200 * time.Millisecond)
	}
	return delay
}

// applyTransaction takes a transaction's changes into the replica.
func (c *Committer) applyTransaction(pending *PendingTransaction, revision protocol.Revision) {
	c.Effects = append(c.Effects, pending.logsOnApply...)
	modRevision := protocol.ModRevision(revision)
	for _, operation := range pending.Transaction.Operations {
		if operation.PutKey != "" {
			c.replication.PutInReplica(operation.PutKey, operation.Value, modRevision)
		} else {
			c.Replica.Delete(operation.DeleteKey, modRevision)
		}
	}
	c.agents.OnMachinesRemoved()
	c.limits.MaxTransactionOps = c.limits.WriteLimits().TransactionOps
	switch {
	case pending.registers:
		c.lease.incarnation = storage.NewIncarnation(c.Config.ControllerID, c.lease.id)
		c.lease.RegistrationRevision = modRevision
		c.replication.requireRevision(revision)
		c.Log(slog.LevelInfo, "controller registered", "incarnation", string(c.lease.incarnation))
	case pending.IsWriteBarrier:
		// Transactions sent before are now either applied, and seen once
		// the replica is as new, or never will be.
		c.outcomeUnknown = false
		c.lease.RegistrationRevision = modRevision
		c.replication.requireRevision(revision)
	}
}

func (t *PendingTransaction) hasConditionOn(key string) bool {
	for _, condition := range t.Transaction.Conditions {
		if condition.Key == key {
			return true
		}
	}
	return false
}

// HasPendingConditionOn tells whether the transaction under way depends on a key.
func (c *Committer) HasPendingConditionOn(key string) bool {
	return c.PendingTransaction != nil && c.PendingTransaction.hasConditionOn(key)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

var ErrNoUsableResponse = errors.New("no usable answer")
