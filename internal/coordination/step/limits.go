package step

import (
	"tillerarch/internal/protocol"
)

// WriteLimits are what the state service takes: changes a second of all controllers
// together, changes in a transaction, and bytes in a value.
type WriteLimits struct {
	WritesPerSecond float64
	TransactionOps  int
	ValueBytes      int
}

// Strictest gives the smaller one of each limit.
func (l WriteLimits) Strictest(other WriteLimits) WriteLimits {
	return WriteLimits{WritesPerSecond: min(l.WritesPerSecond, other.WritesPerSecond), TransactionOps: min(l.TransactionOps, other.TransactionOps), ValueBytes: min(l.ValueBytes, other.ValueBytes)}
}

// CurrentLimits are those that the state service has before any that are announced.
func (cfg *Config) CurrentLimits() WriteLimits {
	return WriteLimits{WritesPerSecond: cfg.WritesPerSecond, TransactionOps: cfg.TransactionOps, ValueBytes: cfg.ValueBytes}
}

// Allows tells whether a transaction is within the limits. One that is not would be
// refused as a whole each time.
func (l WriteLimits) Allows(transaction *protocol.Transaction) bool {
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
