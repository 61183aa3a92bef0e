package commit

import (
	"golang.org/x/time/rate"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/storage"
)

const (
	// minTransactionOps is the fewest operations that a transaction is cut down to: with fewer,
	// what is done could not move from a shard to its job.
	minTransactionOps = 2
	// minBurst is the least number of write tokens that can be saved up.
	minBurst = 4
	// userTokensDivisor is the part of a transaction, one operation in so many, for which write tokens
	// are left to users' requests.
	userTokensDivisor = 8
	// minBatchSeconds is for how long the write budget is saved up for a batch.
	minBatchSeconds = 0.5
	// plainJobRecordReserve is the part of a value, in bytes, that a plain job record leaves to
	// the description of the job.
	plainJobRecordReserve = 1500
	// Factors of the write rate: after a refusal, and the least part of an even share of the
	// store's limit that it is reduced to.
	writeRateBackoff  = 0.8
	minWriteRateShare = 0.7
	// writeRateSteps is the number of successful transactions after which the full rate is
	// allowed again, starting at none.
	writeRateSteps = 100
)

// WriteLimiter bounds what this controller writes: the rate, and the size of transactions.
type WriteLimiter struct {
	*step.Context

	limiter           *rate.Limiter
	writeRate         float64 // operations a second that this controller allows itself
	maxTransactionOps int     // operations that a transaction may have now
}

// WriteLimits are those that everything written now keeps to. From the moment at which all
// controllers read the packed format they are the stricter of the current and the announced
// ones: the announced ones may hold at any time from then on, and nothing tells when.
func (w *WriteLimiter) WriteLimits() step.WriteLimits {
	if w.StorageFormat() < storage.FormatPacked {
		return w.Config.CurrentLimits()
	}
	return w.AdmissionLimits()
}

// AdmissionLimits are the limits that the record of a new job must keep to for good.
func (w *WriteLimiter) AdmissionLimits() step.WriteLimits {
	if w.Config.AnnouncedLimits == nil {
		return w.Config.CurrentLimits()
	}
	return w.Config.CurrentLimits().Strictest(*w.Config.AnnouncedLimits)
}

// StorageFormat is the newest format that may be written.
func (w *WriteLimiter) StorageFormat() storage.Format { return w.Replica.Format.Record.WriteFormat }

// UpdateWriteLimiter makes the write budget follow the limits.
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

// maxWriteRate is the most operations a second that this controller may write.
func (w *WriteLimiter) maxWriteRate(limits step.WriteLimits) float64 {
	return limits.WritesPerSecond * w.Config.WriteBudgetShare
}

// ReservedUserTokens is the number of write tokens that are left for what users ask for.
func (w *WriteLimiter) ReservedUserTokens() int {
	return max(w.WriteLimits().TransactionOps/userTokensDivisor, 1)
}

// Budget is how many operations are allowed now, and how many of them one transaction may have.
func (w *WriteLimiter) Budget() (tokens, maxOps int) {
	tokens = int(w.limiter.TokensAt(w.LimiterTime()))
	return tokens, min(tokens, w.maxTransactionOps)
}

// MinBatchOps is the number of operations from which a batch is worth sending: half a second's
// budget, or a full transaction.
func (w *WriteLimiter) MinBatchOps() int {
	limits := w.WriteLimits()
	return min(limits.TransactionOps, int(limits.WritesPerSecond*w.Config.WriteBudgetShare*minBatchSeconds))
}

// JobRecordBudget is what a job's record may take besides its description, in bytes. It
// takes it that the description needs no more than the rest of a value: half of it in the packed
// format, else plainJobRecordReserve.
func (w *WriteLimiter) JobRecordBudget() int {
	valueBytes := w.WriteLimits().ValueBytes
	if w.StorageFormat() < storage.FormatPacked {
		return valueBytes - plainJobRecordReserve
	}
	return valueBytes - valueBytes/2
}

// takeWriteTokens takes the tokens for n operations, and tells whether there were enough.
func (w *WriteLimiter) takeWriteTokens(n int) bool { return w.limiter.AllowN(w.LimiterTime(), n) }

// adaptWriteRate sets how much this controller writes: all share one budget, and how much of
// it others take shows in refusals only.
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

// shrinkTransactions halves what the next transactions may hold, after one that was too large.
func (w *WriteLimiter) shrinkTransactions() {
	w.maxTransactionOps = max(w.maxTransactionOps/2, minTransactionOps)
}

// resetTransactionOps allows transactions of full size again.
func (w *WriteLimiter) resetTransactionOps() {
	w.maxTransactionOps = w.WriteLimits().TransactionOps
}
