package commit

import (
	"errors"
	"log/slog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
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
	NextUserCommitAt       protocol.Instant // next one of those
	OutcomeUnknown         bool             // a transaction had an unknown outcome
	NextCommitAt           protocol.Instant
	IsPartial              bool // the last transaction could not take all changes of owned shards that were due
	consecutiveBusy        int
}

// RegistrationCondition ties a transaction to this run: once the run's key has gone or was
// fenced, nothing that it sent before can be applied any more.
func (c *Committer) RegistrationCondition() protocol.Condition {
	return protocol.Condition{Key: storage.ControllerKey(c.Config.ControllerID), ModRevision: c.lease.RegistrationRevision}
}

// MinRevisionTimeout is how long the replica is waited for before a run registers or sends a
// fence all the same.
const MinRevisionTimeout = 2 * time.Second

// SendWriteBarrier rewrites this run's key, so that whatever was sent before is applied by now
// or never will be.
func (c *Committer) SendWriteBarrier() {
	e := c.Replica.Controllers[c.Config.ControllerID]
	if e == nil || !c.limits.TakeWriteTokens(1) {
		return
	}
	rec := e.Record
	rec.WriteBarrier++
	c.SendTransaction(&PendingTransaction{IsWriteBarrier: true, Transaction: protocol.Transaction{Conditions: []protocol.Condition{c.RegistrationCondition()},
		Operations: []protocol.Operation{{PutKey: storage.ControllerKey(c.Config.ControllerID), Value: storage.MustMarshal(rec), Lease: c.lease.ID}}}})
}

// SendBatch sends a transaction unless there is nothing in it.
func (c *Committer) SendBatch(b *Batch, tokens int) {
	if b.IsEmpty() {
		return
	}
	transaction := b.Transaction()
	transaction.Conditions = append(transaction.Conditions, c.RegistrationCondition())
	if !c.EnforceWriteLimits(&transaction) || !c.limits.TakeWriteTokens(len(transaction.Operations)) {
		return
	}
	for _, onSend := range b.OnSend {
		onSend()
	}
	c.Log(slog.LevelDebug, "transaction sent", "jobs", len(b.Jobs), "shards", len(b.Shards), "owned_shards", len(c.shards.OwnedShards()), "bytes", b.estimatedBytes,
		"write_tokens", tokens, "write_rate", c.limits.writeRate, "complete", !c.IsPartial)
	c.SendTransaction(&PendingTransaction{Transaction: transaction, LogsOnApply: b.LogsOnApply})
}

// rebuildDelay is the pause before a transaction that outgrew the limits is built anew.
const rebuildDelay = 100 * time.Millisecond

// EnforceWriteLimits tells whether a transaction can be sent. One that can't is built anew,
// with less in it.
func (c *Committer) EnforceWriteLimits(transaction *protocol.Transaction) bool {
	if c.limits.WriteLimits().Allows(transaction) {
		return true
	}
	c.Log(slog.LevelError, "transaction exceeds write limits, not sent", "count", len(transaction.Operations))
	c.limits.shrinkTransactions()
	c.NextCommitAt = c.Now.Monotonic.Add(rebuildDelay)
	c.NextUserCommitAt = c.NextCommitAt
	return false
}

func (c *Committer) SendTransaction(pending *PendingTransaction) {
	c.lastTransactionID++
	pending.ID, pending.sentAt = c.lastTransactionID, c.Now.Monotonic
	if pending.IsUserBatch {
		c.PendingUserTransaction = pending
	} else {
		c.PendingTransaction = pending
	}
	c.Emit(step.Commit{ID: pending.ID, Transaction: pending.Transaction})
}

// Register makes this run known. The key of an earlier run of this member is
// replaced: it was this machine's process, so it has ended or lost its lease.
func (c *Committer) Register() {
	if !c.limits.TakeWriteTokens(1) {
		return
	}
	key := storage.ControllerKey(c.Config.ControllerID)
	incarnation := storage.NewIncarnation(c.Config.ControllerID, c.lease.ID)
	c.SendTransaction(&PendingTransaction{registers: true, Transaction: protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, ModRevision: c.Replica.ModRevision(key)}},
		Operations: []protocol.Operation{{PutKey: key, Value: storage.MustMarshal(storage.ControllerRecord{Incarnation: incarnation, ReadableFormat: storage.FormatPacked, SupportsTransfers: c.Config.RecordTransfers}), Lease: c.lease.ID}}}})
}

// OnCommitResult takes in the outcome of a transaction.
func (c *Committer) OnCommitResult(v step.CommitResult) {
	pending, nextAt := c.PendingTransaction, &c.NextCommitAt
	if c.PendingUserTransaction != nil && c.PendingUserTransaction.ID == v.ID {
		pending, nextAt = c.PendingUserTransaction, &c.NextUserCommitAt
	}
	if pending == nil || pending.ID != v.ID {
		return
	}
	if pending.IsUserBatch {
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
		c.lease.RegistrationRevision, c.lease.ID = 0, 0
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
			c.OutcomeUnknown = true
		} else {
			c.lease.ID = 0 // register with a new lease; the old run's name is not used
		}
		delay = c.Jitter(200 * time.Millisecond)
	}
	return delay
}

// applyTransaction takes a transaction's changes into the replica.
func (c *Committer) applyTransaction(pending *PendingTransaction, revision protocol.Revision) {
	c.Effects = append(c.Effects, pending.LogsOnApply...)
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
		c.lease.Incarnation = storage.NewIncarnation(c.Config.ControllerID, c.lease.ID)
		c.lease.RegistrationRevision = modRevision
		c.replication.requireRevision(revision)
		c.Log(slog.LevelInfo, "controller registered", "incarnation", string(c.lease.Incarnation))
	case pending.IsWriteBarrier:
		// Transactions sent before are now either applied, and seen once
		// the replica is as new, or never will be.
		c.OutcomeUnknown = false
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
