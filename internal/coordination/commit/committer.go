package commit

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// minRevisionTimeout is how long the replica is waited for before an incarnation registers
	// or sends a write barrier all the same.
	minRevisionTimeout = 2 * time.Second
	// rebuildDelay is the pause before a transaction that outgrew the limits is built anew.
	rebuildDelay = 100 * time.Millisecond
)

// Committer sends transactions and handles their outcomes: one at a time, and one beside it for
// what users ask for, which would otherwise wait behind the bulk of task state changes.
//
// A transaction of an ended incarnation can never be applied. Each one has a condition on the
// revision of this controller's registration key (registrationCondition). The key lives as long
// as the lease under which it was put, and the next incarnation of the controller replaces it:
// either way its revision changes, and the store refuses whatever was still on its way. So a
// successor that sees the key gone or replaced has seen all that the incarnation ever wrote.
//
// The same key resolves an unknown outcome: such a transaction may be applied now, later or
// never. The incarnation then rewrites its own key (sendWriteBarrier), which changes the
// revision too: what was sent before is applied by then, or never will be. It sends nothing
// else until the replica has reached the revision of the barrier and so shows which.
type Committer struct {
	*step.Context

	lease       *Lease
	limits      *WriteLimiter
	replication *Replication
	shards      *ShardWriter
	store       *StoreHealth
	upgrade     *FormatUpgrade

	lastTransactionID    uint64
	pending              *pendingTransaction // of any kind but users' ones
	pendingUser          *pendingTransaction
	nextCommitAt         protocol.Instant
	nextUserCommitAt     protocol.Instant
	hasUnknownOutcome    bool // a transaction had an unknown outcome and no write barrier followed yet
	isBatchPartial       bool // the last batch could not take all changes of owned shards that were due
	consecutiveThrottles int
}

// IsBatchPartial tells whether the last transaction could not take all changes of owned shards
// that were due.
func (c *Committer) IsBatchPartial() bool { return c.isBatchPartial }

// SetBatchPartial records whether the transaction that is being built lacks changes that are due.
func (c *Committer) SetBatchPartial(partial bool) { c.isBatchPartial = partial }

// HasPendingConditionOn tells whether the transaction under way depends on a key.
func (c *Committer) HasPendingConditionOn(key string) bool {
	return c.pending != nil && c.pending.hasConditionOn(key)
}

// ReadyForUserBatch tells whether a batch of users' requests may be sent now.
func (c *Committer) ReadyForUserBatch() bool {
	return c.pendingUser == nil && c.replication.isLoaded && c.Now.Monotonic >= c.nextUserCommitAt &&
		c.lease.IsRegistered() && !c.hasUnknownOutcome && !c.replication.isBehind()
}

// PrepareForRecordBatch sends what goes before any batch of records (the registration, a write
// barrier, the change of the storage format). It tells whether such a batch may be sent now.
func (c *Committer) PrepareForRecordBatch() bool {
	if c.pending != nil || !c.replication.isLoaded || c.Now.Monotonic < c.nextCommitAt || !c.lease.isGranted() {
		return false
	}
	isBehind := c.replication.isBehind()
	if isBehind && c.Since(c.replication.minRevisionSince) < minRevisionTimeout {
		return false
	}
	switch {
	case !c.lease.IsRegistered():
		c.sendRegistration()
	case c.hasUnknownOutcome:
		c.sendWriteBarrier()
	default:
		return !isBehind && !c.upgrade.tryRaiseFormat()
	}
	return false
}

// SendUserBatch sends a transaction of users' requests unless there is nothing in it.
func (c *Committer) SendUserBatch(batch *Batch) {
	if pending, ok := c.prepareTransaction(batch); ok {
		pending.kind = userTransaction
		batch.notifySent()
		c.sendTransaction(pending)
	}
}

// SendBatch sends a transaction unless there is nothing in it.
func (c *Committer) SendBatch(batch *Batch, tokens int) {
	pending, ok := c.prepareTransaction(batch)
	if !ok {
		return
	}
	batch.notifySent()
	c.Log(slog.LevelDebug, "transaction sent", "jobs", len(batch.jobs), "shards", len(batch.shards),
		"owned_shards", len(c.shards.OwnedShards()), "bytes", batch.estimatedBytes, "write_tokens", tokens,
		"write_rate", c.limits.writeRate, "complete", !c.isBatchPartial)
	c.sendTransaction(pending)
}

// prepareTransaction makes the transaction of a batch and takes the tokens for it. It fails if there is
// nothing to write, or not now.
func (c *Committer) prepareTransaction(batch *Batch) (pending *pendingTransaction, ok bool) {
	if batch.isEmpty() {
		return nil, false
	}
	transaction := batch.Transaction()
	transaction.Conditions = append(transaction.Conditions, c.registrationCondition())
	if !c.enforceWriteLimits(&transaction) || !c.limits.takeWriteTokens(len(transaction.Operations)) {
		return nil, false
	}
	return &pendingTransaction{transaction: transaction, logsOnApply: batch.logsOnApply}, true
}

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

// registrationCondition ties a transaction to this incarnation, as Committer says.
func (c *Committer) registrationCondition() protocol.Condition {
	return protocol.Condition{
		Key:         storage.ControllerKey(c.Config.ControllerID),
		ModRevision: c.lease.registrationRevision,
	}
}

// sendRegistration puts this incarnation on record. It replaces an earlier incarnation of the same
// controller, which was a process on this machine: it has ended or lost its lease.
func (c *Committer) sendRegistration() {
	if !c.limits.takeWriteTokens(1) {
		return
	}
	key := storage.ControllerKey(c.Config.ControllerID)
	record := storage.ControllerRecord{
		Incarnation:       storage.NewIncarnation(c.Config.ControllerID, c.lease.id),
		ReadableFormat:    storage.FormatPacked,
		SupportsTransfers: c.Config.RecordTransfers,
	}
	c.sendTransaction(&pendingTransaction{
		kind: registrationTransaction,
		transaction: protocol.Transaction{
			Conditions: []protocol.Condition{{Key: key, ModRevision: c.Replica.ModRevision(key)}},
			Operations: []protocol.Operation{{PutKey: key, Value: storage.MustMarshal(record), Lease: c.lease.id}},
		},
	})
}

// sendWriteBarrier rewrites this incarnation's key, so that whatever was sent before is applied
// by now or never will be.
func (c *Committer) sendWriteBarrier() {
	registered := c.Replica.Controllers[c.Config.ControllerID]
	if registered == nil || !c.limits.takeWriteTokens(1) {
		return
	}
	key := storage.ControllerKey(c.Config.ControllerID)
	record := registered.Record
	record.WriteBarrier++
	c.sendTransaction(&pendingTransaction{
		kind: writeBarrierTransaction,
		transaction: protocol.Transaction{
			Conditions: []protocol.Condition{c.registrationCondition()},
			Operations: []protocol.Operation{{PutKey: key, Value: storage.MustMarshal(record), Lease: c.lease.id}},
		},
	})
}

// sendTransaction numbers a transaction and sends it. Its outcome comes with OnCommitResult.
func (c *Committer) sendTransaction(pending *pendingTransaction) {
	c.lastTransactionID++
	pending.id, pending.sentAt = c.lastTransactionID, c.Now.Monotonic
	if pending.kind == userTransaction {
		c.pendingUser = pending
	} else {
		c.pending = pending
	}
	c.Emit(step.Commit{ID: pending.id, Transaction: pending.transaction})
}
