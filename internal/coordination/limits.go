package coordination

import (
	"golang.org/x/time/rate"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// writeLimiter bounds what this controller writes: the rate, and the size of transactions.
type writeLimiter struct {
	*stepContext

	writeLimiter      *rate.Limiter
	writeRate         float64 // writes a second that this node allows itself
	maxTransactionOps int     // changes that a transaction may have now
}

// WriteLimits are what the state service takes: changes a second of all controllers
// together, changes in a transaction, and bytes in a value.
type WriteLimits struct {
	WritesPerSecond float64
	TransactionOps  int
	ValueBytes      int
}

// strictest gives the smaller one of each limit.
func (l WriteLimits) strictest(other WriteLimits) WriteLimits {
	return WriteLimits{WritesPerSecond: min(l.WritesPerSecond, other.WritesPerSecond), TransactionOps: min(l.TransactionOps, other.TransactionOps), ValueBytes: min(l.ValueBytes, other.ValueBytes)}
}

// currentLimits are those that the state service has before any that are announced.
func (cfg *Config) currentLimits() WriteLimits {
	return WriteLimits{WritesPerSecond: cfg.WritesPerSecond, TransactionOps: cfg.TransactionOps, ValueBytes: cfg.ValueBytes}
}

// writeLimits are those that everything written now keeps to. From the moment at which all
// controllers read the packed format it is the tighter of today's and the announced
// ones: the announced ones may hold at any time from then on, and nobody says when.
func (w *writeLimiter) writeLimits() WriteLimits {
	if w.storageFormat() < storage.FormatPacked {
		return w.cfg.currentLimits()
	}
	return w.admissionLimits()
}

// admissionLimits are the limits that a new job's record must keep to for good.
func (w *writeLimiter) admissionLimits() WriteLimits {
	if w.cfg.AnnouncedLimits == nil {
		return w.cfg.currentLimits()
	}
	return w.cfg.currentLimits().strictest(*w.cfg.AnnouncedLimits)
}

// updateWriteLimiter makes the write budget follow the limits.
func (w *writeLimiter) updateWriteLimiter() {
	limits := w.writeLimits()
	maxRate := limits.WritesPerSecond * w.cfg.WriteBudgetShare
	w.writeRate, w.maxTransactionOps = maxRate, limits.TransactionOps
	burst := max(int(maxRate), limits.TransactionOps+w.reservedUserTokens(), 4)
	if w.writeLimiter == nil {
		w.writeLimiter = rate.NewLimiter(rate.Limit(w.writeRate), burst)
		return
	}
	w.writeLimiter.SetLimitAt(w.limiterTime(), rate.Limit(w.writeRate))
	w.writeLimiter.SetBurstAt(w.limiterTime(), burst)
}

// reservedUserTokens is the part of the write tokens that is left for what users ask for.
func (w *writeLimiter) reservedUserTokens() int { return max(w.writeLimits().TransactionOps/8, 1) }

// adaptWriteRate sets how much this node writes: all share one budget, and what one may
// take of it shows in refusals only.
func (w *writeLimiter) adaptWriteRate(wasBusy bool) {
	limits := w.writeLimits()
	maxRate := limits.WritesPerSecond * w.cfg.WriteBudgetShare
	if wasBusy {
		w.writeRate = max(w.writeRate*0.8, limits.WritesPerSecond/float64(w.cfg.PeerCount+1)*0.7)
	} else {
		w.writeRate = min(w.writeRate+maxRate/100, maxRate)
	}
	w.writeLimiter.SetLimitAt(w.limiterTime(), rate.Limit(w.writeRate))
}

// allows tells whether a transaction is within the limits. One that is not would be
// refused as a whole each time.
func (l WriteLimits) allows(transaction *protocol.Transaction) bool {
	if len(transaction.Operations) > l.TransactionOps || len(transaction.Conditions) > 4*l.TransactionOps {
		return false
	}
	size := 0
	for _, operation := range transaction.Operations {
		if len(operation.Value) > l.ValueBytes {
			return false
		}
		size += len(operation.Value) + len(operation.PutKey) + len(operation.DeleteKey)
	}
	return size <= protocol.MaxTransactionBytes
}

// minTransactionOps is the fewest changes that a transaction is cut down to: with fewer, what
// is done could not move from a page to its job.
const minTransactionOps = 2

// shrinkTransactions halves what the next transactions may hold, after one that was too large.
func (w *writeLimiter) shrinkTransactions() {
	w.maxTransactionOps = max(w.maxTransactionOps/2, minTransactionOps)
}

func (w *writeLimiter) takeWriteTokens(n int) bool { return w.writeLimiter.AllowN(w.limiterTime(), n) }

// storageFormat is the newest format that may be written.
func (w *writeLimiter) storageFormat() storage.Format { return w.replica.Format.Record.WriteFormat }

// jobRecordBudget is what a job's record may take besides its description.
func (w *writeLimiter) jobRecordBudget() int {
	if w.storageFormat() < storage.FormatPacked {
		return w.writeLimits().ValueBytes - 1500
	}
	return w.writeLimits().ValueBytes - w.writeLimits().ValueBytes/2
}
