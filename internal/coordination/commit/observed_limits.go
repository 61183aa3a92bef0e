package commit

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

const (
	// observedLimitTTL is how long a limit is kept that was concluded from refusals.
	observedLimitTTL = 2 * time.Minute
	// minObservedValueBytes is the lowest limit of a value that is concluded from refusals. A refusal of
	// smaller values has another reason.
	minObservedValueBytes = 1 << 10
)

// observedLimits holds limits that the store did not announce and that its refusals show. The store
// does not say which limit a transaction exceeds.
type observedLimits struct {
	valueBytes int // 0 if no refusal shows a limit
	valueAt    protocol.Instant
	refusedOps int // operations that the limit must allow for the transaction that was refused last, or 0
	refusedAt  protocol.Instant
}

// strictest returns the stricter of the given and the observed limits.
func (o *observedLimits) strictest(limits step.WriteLimits) step.WriteLimits {
	if o.valueBytes > 0 {
		limits.ValueBytes = min(limits.ValueBytes, o.valueBytes)
	}
	if o.refusedOps > 0 {
		limits.TransactionOps = min(limits.TransactionOps, max(o.refusedOps-1, minTransactionOps))
	}
	return limits
}

// expire forgets limits that were observed longer than observedLimitTTL ago, because they may be
// stricter than the store's.
func (o *observedLimits) expire(now protocol.Instant) {
	if o.valueBytes > 0 && now.Sub(o.valueAt) > observedLimitTTL {
		o.valueBytes = 0
	}
	if o.refusedOps > 0 && now.Sub(o.refusedAt) > observedLimitTTL {
		o.refusedOps = 0
	}
}

// observeRefusal adapts the limits after the store has refused a transaction as invalid. A transaction
// of several operations, or of many conditions, is tried again with fewer. If it has as few as possible,
// its largest value is taken to be too large, and half of that for the limit. observeRefusal reports
// false if the values are so small that the size cannot be the reason.
func (w *WriteLimiter) observeRefusal(transaction *protocol.Transaction) (isSizeSuspected bool) {
	w.observed.expire(w.Now.Monotonic)
	w.shrinkTransactions()
	if requiredOps := step.RequiredTransactionOps(transaction); requiredOps > minTransactionOps {
		w.observed.refusedOps, w.observed.refusedAt = requiredOps, w.Now.Monotonic
		return true
	}
	largest := protocol.Operation{}
	for _, operation := range transaction.Operations {
		if len(operation.Value) > len(largest.Value) {
			largest = operation
		}
	}
	if len(largest.Value) <= minObservedValueBytes {
		return false
	}
	w.observed.valueBytes = max(len(largest.Value)/2, minObservedValueBytes)
	w.observed.valueAt = w.Now.Monotonic
	w.observed.refusedOps = 0 // the value was the reason
	w.Log(slog.LevelWarn, "store refuses a value within the known limits, lower value limit assumed",
		"key", largest.PutKey, "bytes", len(largest.Value), "value_limit", w.observed.valueBytes)
	return true
}

// observeAnnounced applies the announced limits before the storage format that meets them is in use,
// because a refusal has shown that they are active.
func (w *WriteLimiter) observeAnnounced(announced step.WriteLimits) {
	w.observed.valueBytes, w.observed.valueAt = announced.ValueBytes, w.Now.Monotonic
	w.observed.refusedOps, w.observed.refusedAt = announced.TransactionOps+1, w.Now.Monotonic
	w.shrinkTransactions()
}
