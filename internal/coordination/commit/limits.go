package commit

import (
	"golang.org/x/time/rate"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/storage"
)

// limiter bounds what this controller writes: the rate, and the size of transactions.
type WriteLimiter struct {
	*step.Context

	limiter           *rate.Limiter
	writeRate         float64 // writes a second that this node allows itself
	MaxTransactionOps int     // changes that a transaction may have now
}

// WriteLimits are those that everything written now keeps to. From the moment at which all
// controllers read the packed format it is the tighter of today's and the announced
// ones: the announced ones may hold at any time from then on, and nobody says when.
func (w *WriteLimiter) WriteLimits() step.WriteLimits {
	if w.StorageFormat() < storage.FormatPacked {
		return w.Config.CurrentLimits()
	}
	return w.AdmissionLimits()
}

// AdmissionLimits are the limits that a new job's record must keep to for good.
func (w *WriteLimiter) AdmissionLimits() step.WriteLimits {
	if w.Config.AnnouncedLimits == nil {
		return w.Config.CurrentLimits()
	}
	return w.Config.CurrentLimits().Strictest(*w.Config.AnnouncedLimits)
}

// UpdateWriteLimiter makes the write budget follow the limits.
func (w *WriteLimiter) UpdateWriteLimiter() {
	limits := w.WriteLimits()
	maxRate := limits.WritesPerSecond * w.Config.WriteBudgetShare
	w.writeRate, w.MaxTransactionOps = maxRate, limits.TransactionOps
	burst := max(int(maxRate), limits.TransactionOps+w.ReservedUserTokens(), 4)
	if w.limiter == nil {
		w.limiter = rate.NewLimiter(rate.Limit(w.writeRate), burst)
		return
	}
	w.limiter.SetLimitAt(w.LimiterTime(), rate.Limit(w.writeRate))
	w.limiter.SetBurstAt(w.LimiterTime(), burst)
}

// ReservedUserTokens is the part of the write tokens that is left for what users ask for.
func (w *WriteLimiter) ReservedUserTokens() int { return max(w.WriteLimits().TransactionOps/8, 1) }

// Budget is how many writes are allowed now, and how many of them one transaction may hold.
func (w *WriteLimiter) Budget() (tokens, maxOps int) {
	tokens = int(w.limiter.TokensAt(w.LimiterTime()))
	return tokens, min(tokens, w.MaxTransactionOps)
}

// MinBatchOps is the size from which a batch is worth sending before its time.
func (w *WriteLimiter) MinBatchOps() int {
	limits := w.WriteLimits()
	return min(limits.TransactionOps, int(limits.WritesPerSecond*w.Config.WriteBudgetShare/2))
}

// adaptWriteRate sets how much this node writes: all share one budget, and what one may
// take of it shows in refusals only.
func (w *WriteLimiter) adaptWriteRate(wasBusy bool) {
	limits := w.WriteLimits()
	maxRate := limits.WritesPerSecond * w.Config.WriteBudgetShare
	if wasBusy {
		w.writeRate = max(w.writeRate*0.8, limits.WritesPerSecond/float64(w.Config.PeerCount+1)*0.7)
	} else {
		w.writeRate = min(w.writeRate+maxRate/100, maxRate)
	}
	w.limiter.SetLimitAt(w.LimiterTime(), rate.Limit(w.writeRate))
}

// MinTransactionOps is the fewest changes that a transaction is cut down to: with fewer, what
// is done could not move from a page to its job.
const MinTransactionOps = 2

// shrinkTransactions halves what the next transactions may hold, after one that was too large.
func (w *WriteLimiter) shrinkTransactions() {
	w.MaxTransactionOps = max(w.MaxTransactionOps/2, MinTransactionOps)
}

func (w *WriteLimiter) TakeWriteTokens(n int) bool { return w.limiter.AllowN(w.LimiterTime(), n) }

// StorageFormat is the newest format that may be written.
func (w *WriteLimiter) StorageFormat() storage.Format { return w.Replica.Format.Record.WriteFormat }

// JobRecordBudget is what a job's record may take besides its description.
func (w *WriteLimiter) JobRecordBudget() int {
	if w.StorageFormat() < storage.FormatPacked {
		return w.WriteLimits().ValueBytes - 1500
	}
	return w.WriteLimits().ValueBytes - w.WriteLimits().ValueBytes/2
}
