package coordination

import (
	"golang.org/x/time/rate"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// WriteLimits are what the state service takes: changes a second of all controllers
// together, changes in a transaction, and bytes in a value.
type WriteLimits struct {
	RPS        float64
	TxnOps     int
	ValueBytes int
}

// tighter gives the smaller one of each limit.
func (l WriteLimits) tighter(o WriteLimits) WriteLimits {
	return WriteLimits{RPS: min(l.RPS, o.RPS), TxnOps: min(l.TxnOps, o.TxnOps), ValueBytes: min(l.ValueBytes, o.ValueBytes)}
}

// todaysLimits are those that the state service has before any that are announced.
func (cfg *Config) todaysLimits() WriteLimits {
	return WriteLimits{RPS: cfg.WriteRPS, TxnOps: cfg.TxnOps, ValueBytes: cfg.ValueBytes}
}

// limits are those that everything written now keeps to. From the moment at which all
// controllers read the packed format it is the tighter of today's and the announced
// ones: the announced ones may hold at any time from then on, and nobody says when.
func (c *Core) limits() WriteLimits {
	if c.format() < bk.FormatPacked {
		return c.cfg.todaysLimits()
	}
	return c.acceptable()
}

// acceptable are the limits that a new job's record must keep to for good.
func (c *Core) acceptable() WriteLimits {
	if c.cfg.NextLimits == nil {
		return c.cfg.todaysLimits()
	}
	return c.cfg.todaysLimits().tighter(*c.cfg.NextLimits)
}

// applyLimits makes the write budget follow the limits.
func (c *Core) applyLimits() {
	l := c.limits()
	full := l.RPS * c.cfg.WriteShare
	c.rate, c.txCap = full, l.TxnOps
	burst := max(int(full), l.TxnOps+c.kept(), 4)
	if c.tokens == nil {
		c.tokens = rate.NewLimiter(rate.Limit(c.rate), burst)
		return
	}
	c.tokens.SetLimitAt(c.steady(), rate.Limit(c.rate))
	c.tokens.SetBurstAt(c.steady(), burst)
}

// kept is the part of the write tokens that is left for what users ask for.
func (c *Core) kept() int { return max(c.limits().TxnOps/8, 1) }

// adapt sets how much this node writes: all share one budget, and what one may
// take of it shows in refusals only.
func (c *Core) adapt(refused bool) {
	l := c.limits()
	full := l.RPS * c.cfg.WriteShare
	if refused {
		c.rate = max(c.rate*0.8, l.RPS/float64(c.cfg.Peers+1)*0.7)
	} else {
		c.rate = min(c.rate+full/100, full)
	}
	c.tokens.SetLimitAt(c.steady(), rate.Limit(c.rate))
}

// keepsTo tells whether a transaction is within the limits. One that is not would be
// refused as a whole each time.
func (l WriteLimits) keepsTo(m *protocol.Multi) bool {
	if len(m.Then) > l.TxnOps || len(m.When) > 4*l.TxnOps {
		return false
	}
	size := 0
	for _, t := range m.Then {
		if len(t.Data) > l.ValueBytes {
			return false
		}
		size += len(t.Data) + len(t.Put) + len(t.Delete)
	}
	return size <= protocol.MaxTxnSize
}

// minTxnOps is the fewest changes that a transaction is cut down to: with fewer, what
// is done could not move from a page to its job.
const minTxnOps = 2

// shrink halves what the next transactions may hold, after one that was too large.
func (c *Core) shrink() { c.txCap = max(c.txCap/2, minTxnOps) }
