package coordination

import (
	"golang.org/x/time/rate"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

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
func (c *Core) writeLimits() WriteLimits {
	if c.storageFormat() < storage.FormatPacked {
		return c.cfg.currentLimits()
	}
	return c.admissionLimits()
}

// admissionLimits are the limits that a new job's record must keep to for good.
func (c *Core) admissionLimits() WriteLimits {
	if c.cfg.AnnouncedLimits == nil {
		return c.cfg.currentLimits()
	}
	return c.cfg.currentLimits().strictest(*c.cfg.AnnouncedLimits)
}

// updateWriteLimiter makes the write budget follow the limits.
func (c *Core) updateWriteLimiter() {
	limits := c.writeLimits()
	maxRate := limits.WritesPerSecond * c.cfg.WriteBudgetShare
	c.writeRate, c.maxTransactionOps = maxRate, limits.TransactionOps
	burst := max(int(maxRate), limits.TransactionOps+c.reservedUserTokens(), 4)
	if c.writeLimiter == nil {
		c.writeLimiter = rate.NewLimiter(rate.Limit(c.writeRate), burst)
		return
	}
	c.writeLimiter.SetLimitAt(c.limiterTime(), rate.Limit(c.writeRate))
	c.writeLimiter.SetBurstAt(c.limiterTime(), burst)
}

// reservedUserTokens is the part of the write tokens that is left for what users ask for.
func (c *Core) reservedUserTokens() int { return max(c.writeLimits().TransactionOps/8, 1) }

// adaptWriteRate sets how much this node writes: all share one budget, and what one may
// take of it shows in refusals only.
func (c *Core) adaptWriteRate(wasBusy bool) {
	limits := c.writeLimits()
	maxRate := limits.WritesPerSecond * c.cfg.WriteBudgetShare
	if wasBusy {
		c.writeRate = max(c.writeRate*0.8, limits.WritesPerSecond/float64(c.cfg.PeerCount+1)*0.7)
	} else {
		c.writeRate = min(c.writeRate+maxRate/100, maxRate)
	}
	c.writeLimiter.SetLimitAt(c.limiterTime(), rate.Limit(c.writeRate))
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
func (c *Core) shrinkTransactions() {
	c.maxTransactionOps = max(c.maxTransactionOps/2, minTransactionOps)
}
