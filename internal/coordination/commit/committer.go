package commit

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// minRevisionTimeout is how long an incarnation waits for the replica to reach the required
	// revision. After that it registers or sends a write barrier even if the replica is behind.
	minRevisionTimeout = 2 * time.Second
	// rebuildDelay is the pause before a transaction that exceeded the limits is built again.
	rebuildDelay = 100 * time.Millisecond
)

// Committer sends transactions and handles their outcomes. It sends one transaction at a time,
// and beside it one for users' requests, which would otherwise wait behind the bulk of task state
// changes.
//
// A transaction of an ended incarnation can never be applied, because each transaction has a
// condition on the revision of this controller's registration key (registrationCondition). The key
// lives as long as the lease under which it was put, and the next incarnation of the controller
// replaces it. In both cases the revision of the key changes, and the store refuses all
// transactions that were still on their way. A successor that sees the key deleted or replaced has
// therefore seen everything that the incarnation ever wrote.
//
// The same key resolves unknown outcomes. A transaction of unknown outcome may be applied now,
// later or never. The incarnation rewrites its own key (sendWriteBarrier), which changes the
// revision as well, so the earlier transaction has been applied by then or never will be. The
// incarnation sends nothing else until the replica has reached the revision of the write barrier
// and so shows whether the transaction was applied.
type Committer struct {
	*step.Context

	lease       *Lease
	limits      *WriteLimiter
	replication *Replication
	shards      *ShardWriter
	store       *StoreHealth
	upgrade     *FormatUpgrade

	lastTransactionID    uint64
	pending              *pendingTransaction // of any kind except userTransaction
	pendingUser          *pendingTransaction
	nextCommitAt         protocol.Instant
	nextUserCommitAt     protocol.Instant
	hasUnknownOutcome    bool // a transaction had an unknown outcome, and no write barrier has been applied since
	isBatchPartial       bool // the last batch lacked capacity for some due changes of owned shards
	consecutiveThrottles int
}

// IsBatchPartial reports whether the last batch lacked capacity for some of the changes of owned
// shards that were due.
func (c *Committer) IsBatchPartial() bool { return c.isBatchPartial }

// SetBatchPartial records whether the batch that is being built lacks capacity for some of the
// changes of owned shards that are due.
func (c *Committer) SetBatchPartial(partial bool) { c.isBatchPartial = partial }

// HasPendingConditionOn reports whether the pending transaction is conditional on a key. It ignores
// a pending transaction of users' requests.
func (c *Committer) HasPendingConditionOn(key string) bool {
	return c.pending != nil && c.pending.hasConditionOn(key)
}

// ReadyForUserBatch reports whether a batch of users' requests may be sent now.
func (c *Committer) ReadyForUserBatch() bool {
	return c.pendingUser == nil && c.replication.isLoaded && c.Now.Monotonic >= c.nextUserCommitAt &&
		c.lease.IsRegistered() && !c.hasUnknownOutcome && !c.replication.isBehind()
}

// PrepareForRecordBatch sends the transaction that must precede a batch of records, if one is due:
// the registration, a write barrier or the change of the storage format. It reports whether a
// batch of records may be sent now.
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

// SendUserBatch sends a batch of users' requests. It sends nothing if the batch is empty or exceeds
// the write limits or budget.
func (c *Committer) SendUserBatch(batch *Batch) {
	if pending, ok := c.prepareTransaction(batch); ok {
		pending.kind = userTransaction
		batch.notifySent()
		c.sendTransaction(pending)
	}
}

// SendBatch sends a batch of records. It sends nothing if the batch is empty or exceeds the write
// limits or budget. It logs tokens as the write tokens that were available to the batch.
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

// prepareTransaction returns the transaction of a batch and takes the write tokens for it. ok is
// false if the batch is empty or exceeds the write limits, or if there are too few tokens.
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

// enforceWriteLimits reports whether a transaction is within the write limits. A transaction that
// exceeds them is built again after rebuildDelay, without the records whose values are too large or, if
// there are none, with fewer operations and conditions. If it cannot be smaller, its records are left out
// of the next batches, so that no transaction that can never be sent delays the others.
func (c *Committer) enforceWriteLimits(transaction *protocol.Transaction) bool {
	limits := c.limits.WriteLimits()
	if limits.Allows(transaction) {
		return true
	}
	if !c.postponeOversizedValues(transaction, limits) {
		c.Log(slog.LevelError, "transaction exceeds write limits, not sent", "count", len(transaction.Operations),
			"max_count", limits.TransactionOps, "conditions", len(transaction.Conditions), "bytes", transaction.Size())
		if !c.limits.shrinkUnsentTransactions() {
			c.postponeRecords(transaction, "transaction too large")
		}
	}
	c.nextCommitAt = c.Now.Monotonic.Add(rebuildDelay)
	c.nextUserCommitAt = c.nextCommitAt
	return false
}

// postponeOversizedValues leaves the records of a transaction whose values are too large out of the next
// batches, and reports whether there are any. A newer storage format may be able to write them.
func (c *Committer) postponeOversizedValues(transaction *protocol.Transaction, limits step.WriteLimits) (found bool) {
	for _, operation := range transaction.Operations {
		if len(operation.Value) > limits.ValueBytes {
			c.postponeRecord(operation, "value too large")
			c.limits.needsNewerFormat = true
			found = true
		}
	}
	return found
}

// postponeRecords leaves all records that a transaction changes out of the next batches.
func (c *Committer) postponeRecords(transaction *protocol.Transaction, reason string) {
	for _, operation := range transaction.Operations {
		c.postponeRecord(operation, reason)
	}
}

// postponeRecord leaves the record that an operation changes out of the next batches.
func (c *Committer) postponeRecord(operation protocol.Operation, reason string) {
	key := operation.PutKey + operation.DeleteKey
	c.shards.postponeWrite(key)
	c.Log(slog.LevelError, "write of record postponed", "key", key, "reason", reason, "bytes", len(operation.Value),
		"value_limit", c.limits.WriteLimits().ValueBytes, "format", int(c.limits.StorageFormat()),
		"retry_s", postponeDelay.Seconds())
}

// registrationCondition returns the condition that keeps a transaction from being applied once this
// incarnation has ended. See Committer.
func (c *Committer) registrationCondition() protocol.Condition {
	return protocol.Condition{
		Key:         storage.ControllerKey(c.Config.ControllerID),
		ModRevision: c.lease.registrationRevision,
	}
}

// sendRegistration records this incarnation in the store. It replaces an earlier incarnation of the
// same controller, which was a process on this machine and has ended or lost its lease.
func (c *Committer) sendRegistration() {
	if !c.limits.takeWriteTokens(1) {
		return
	}
	key := storage.ControllerKey(c.Config.ControllerID)
	record := storage.ControllerRecord{
		Incarnation:       storage.NewIncarnation(c.Config.ControllerID, c.lease.id),
		ReadableFormat:    storage.NewestFormat,
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

// sendWriteBarrier rewrites the registration key of this incarnation. Once the rewrite is applied,
// every transaction sent before it has been applied or never will be.
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

// sendTransaction numbers a transaction and sends it. OnCommitResult receives its outcome.
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
