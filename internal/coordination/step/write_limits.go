package step

import (
	"tillerarch/internal/protocol"
)

// WriteLimits are what the key-value store accepts.
type WriteLimits struct {
	WritesPerSecond float64 // operations of all controllers together
	TransactionOps  int     // operations in a transaction
	ValueBytes      int     // size of a value
}

// conditionsPerOperation is how many conditions the store accepts in a transaction for each
// operation that it accepts.
const conditionsPerOperation = 4

// MaxConditions is how many conditions a transaction may have.
func (l WriteLimits) MaxConditions() int { return conditionsPerOperation * l.TransactionOps }

// Strictest takes the smaller one of each limit.
func (l WriteLimits) Strictest(other WriteLimits) WriteLimits {
	return WriteLimits{
		WritesPerSecond: min(l.WritesPerSecond, other.WritesPerSecond),
		TransactionOps:  min(l.TransactionOps, other.TransactionOps),
		ValueBytes:      min(l.ValueBytes, other.ValueBytes),
	}
}

// Allows tells whether a transaction is within the limits. The store would refuse one that is
// not as a whole, however often it is sent.
func (l WriteLimits) Allows(transaction *protocol.Transaction) bool {
	if len(transaction.Operations) > l.TransactionOps || len(transaction.Conditions) > l.MaxConditions() {
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
