package commit

import (
	"time"

	"golang.org/x/time/rate"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// minTransactionOps is the lowest value to which the maximum number of operations in a
	// transaction is reduced after a refusal. With fewer operations, completed tasks could not move from a shard to the
	// record of their job.
	minTransactionOps = 2
	// shrinkDuration is how long transactions stay small after one was built too large, if none is applied
	// meanwhile. A change that needs several operations waits for so long.
	shrinkDuration = time.Second
	// minBurst is the minimum capacity of the token bucket, in write tokens.
	minBurst = 4
	// userTokensDivisor determines the number of write tokens that are reserved for users' requests:
	// the operations of a full transaction divided by userTokensDivisor.
	userTokensDivisor = 8
	// minBatchSeconds is the number of seconds for which the write budget is saved up for a batch.
	minBatchSeconds = 0.5
	// plainJobRecordReserve is the number of bytes of a value that a job's record in the plain format
	// reserves for the job's description.
	plainJobRecordReserve = 1500
	// writeRateBackoff is the factor by which a refusal reduces the write rate. minWriteRateShare
	// is the minimum write rate as a fraction of an even share of the store's limit.
	writeRateBackoff  = 0.8
	minWriteRateShare = 0.7
	// writeRateSteps is the number of successful transactions that raise the write rate from zero
	// to its maximum.
	writeRateSteps = 100
)

// WriteLimiter limits the write rate and the size of transactions of this controller.
type WriteLimiter struct {
	*step.Context

	limiter           *rate.Limiter
	writeRate         float64          // operations per second that this controller allows itself
	maxTransactionOps int              // present maximum number of operations in a transaction
	shrunkAt          protocol.Instant // when maxTransactionOps was reduced for a transaction that was not sent, or 0
	observed          observedLimits
	needsNewerFormat  bool // a record can only be written in a newer storage format
}

// WriteLimits returns the limits for everything that is written now. Once the packed format is in
// use, because all controllers can read it, they are the stricter of the current and the announced
// limits. The announced limits may take effect at any time from then on, without notice. Limits that
// the store's refusals show apply in addition.
func (w *WriteLimiter) WriteLimits() step.WriteLimits {
	if w.StorageFormat() < storage.FormatPacked {
		return w.observed.strictest(w.Config.CurrentLimits())
	}
	return w.observed.strictest(w.AdmissionLimits())
}

// AdmissionLimits returns the limits that the record of a new job must meet permanently. They are the
// stricter of the current and the announced limits.
func (w *WriteLimiter) AdmissionLimits() step.WriteLimits {
	if w.Config.AnnouncedLimits == nil {
		return w.Config.CurrentLimits()
	}
	return w.Config.CurrentLimits().Strictest(*w.Config.AnnouncedLimits)
}

// StorageFormat returns the newest format that may be written.
func (w *WriteLimiter) StorageFormat() storage.Format { return w.Replica.Format.Record.WriteFormat }

// UpdateWriteLimiter sets the write rate, the burst and the size of transactions from the present
// write limits.
func (w *WriteLimiter) UpdateWriteLimiter() {
	limits := w.WriteLimits()
	w.writeRate, w.maxTransactionOps = w.maxWriteRate(limits), limits.TransactionOps
	burst := max(int(w.writeRate), limits.TransactionOps+w.ReservedUserTokens(), minBurst)
	if w.limiter == nil {
		w.limiter = rate.NewLimiter(rate.Limit(w.writeRate), burst)
		return
	}
	w.limiter.SetLimitAt(w.LimiterTime(), rate.Limit(w.writeRate))
	w.limiter.SetBurstAt(w.LimiterTime(), burst)
}

// maxWriteRate returns the maximum number of operations per second that this controller may write.
func (w *WriteLimiter) maxWriteRate(limits step.WriteLimits) float64 {
	return limits.WritesPerSecond * w.Config.WriteBudgetShare
}

// ReservedUserTokens returns the number of write tokens that are reserved for users' requests.
func (w *WriteLimiter) ReservedUserTokens() int {
	return max(w.WriteLimits().TransactionOps/userTokensDivisor, 1)
}

// Budget returns the number of operations that may be written now, and how many of them one
// transaction may hold.
func (w *WriteLimiter) Budget() (tokens, maxOps int) {
	if w.shrunkAt != 0 && w.Since(w.shrunkAt) >= shrinkDuration {
		w.resetTransactionOps()
	}
	tokens = int(w.limiter.TokensAt(w.LimiterTime()))
	return tokens, min(tokens, w.maxTransactionOps)
}

// MaxConditions returns the present maximum number of conditions in a transaction. It falls with the number of
// operations after a transaction that was too large.
func (w *WriteLimiter) MaxConditions() int {
	limits := w.WriteLimits()
	limits.TransactionOps = min(limits.TransactionOps, w.maxTransactionOps)
	return limits.MaxConditions()
}

// MinBatchOps returns the number of operations from which a batch is worth sending. It is the write
// budget of minBatchSeconds, but at most a full transaction.
func (w *WriteLimiter) MinBatchOps() int {
	limits := w.WriteLimits()
	return min(limits.TransactionOps, int(limits.WritesPerSecond*w.Config.WriteBudgetShare*minBatchSeconds))
}

// JobRecordBudget returns the number of bytes that a job's record may occupy besides the job's
// description. It assumes that the description fits the rest of a value, which is half of the value
// in the packed format and at most plainJobRecordReserve in the plain format.
func (w *WriteLimiter) JobRecordBudget() int {
	limits := w.WriteLimits()
	halfValue := limits.ValueBytes - maxSpecSize(limits)
	if w.StorageFormat() < storage.FormatPacked {
		return max(limits.ValueBytes-plainJobRecordReserve, halfValue)
	}
	return halfValue
}

// takeWriteTokens takes the tokens for n operations and reports whether there were enough.
func (w *WriteLimiter) takeWriteTokens(n int) bool { return w.limiter.AllowN(w.LimiterTime(), n) }

// adaptWriteRate adapts the write rate to the outcome of a transaction. All controllers share one
// write budget, and only refusals show how much of it the others use.
func (w *WriteLimiter) adaptWriteRate(wasThrottled bool) {
	limits := w.WriteLimits()
	if wasThrottled {
		evenShare := limits.WritesPerSecond / float64(w.Config.PeerCount+1)
		w.writeRate = max(w.writeRate*writeRateBackoff, evenShare*minWriteRateShare)
	} else {
		maxRate := w.maxWriteRate(limits)
		w.writeRate = min(w.writeRate+maxRate/writeRateSteps, maxRate)
	}
	w.limiter.SetLimitAt(w.LimiterTime(), rate.Limit(w.writeRate))
}

// shrinkTransactions halves the maximum number of operations in a transaction, after a transaction
// that was too large.
func (w *WriteLimiter) shrinkTransactions() {
	w.maxTransactionOps = max(w.maxTransactionOps/2, minTransactionOps)
}

// shrinkUnsentTransactions halves the maximum number of operations in a transaction, after a transaction that
// was built too large to be sent. It reports false if the number is 1 already.
func (w *WriteLimiter) shrinkUnsentTransactions() (isSmaller bool) {
	isSmaller = w.maxTransactionOps > 1
	w.maxTransactionOps = max(w.maxTransactionOps/2, 1)
	w.shrunkAt = w.Now.Monotonic
	return isSmaller
}

// resetTransactionOps allows transactions of full size again. After a refusal they grow step by step
// to one operation less than what was refused.
func (w *WriteLimiter) resetTransactionOps() {
	w.shrunkAt = 0
	w.observed.expire(w.Now.Monotonic)
	limits := w.WriteLimits()
	if w.observed.refusedOps == 0 {
		w.maxTransactionOps = limits.TransactionOps
		return
	}
	w.maxTransactionOps = min(w.maxTransactionOps+1, limits.TransactionOps)
}
