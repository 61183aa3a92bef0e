package step

import (
	"tillerarch/internal/protocol"
)

// WriteLimits holds the limits of the key-value store on writes.
type WriteLimits struct {
	WritesPerSecond float64 // operations per second of all controllers together
	TransactionOps  int     // operations in a transaction
	ValueBytes      int     // size of a value
}

// conditionsPerOperation is the number of conditions that the store accepts in a transaction for
// each operation that it accepts.
const conditionsPerOperation = 4

// MaxConditions returns the largest number of conditions in a transaction.
func (l WriteLimits) MaxConditions() int { return conditionsPerOperation * l.TransactionOps }

// RequiredTransactionOps returns the lowest limit of operations in a transaction under which the number
// of operations and of conditions of the transaction are allowed.
func RequiredTransactionOps(transaction *protocol.Transaction) int {
	conditions := len(transaction.Conditions)
	return max(len(transaction.Operations), (conditions+conditionsPerOperation-1)/conditionsPerOperation)
}

// Strictest returns the smaller value of each limit.
func (l WriteLimits) Strictest(other WriteLimits) WriteLimits {
	return WriteLimits{
		WritesPerSecond: min(l.WritesPerSecond, other.WritesPerSecond),
		TransactionOps:  min(l.TransactionOps, other.TransactionOps),
		ValueBytes:      min(l.ValueBytes, other.ValueBytes),
	}
}

// Allows reports whether a transaction is within the limits. The store refuses a larger transaction
// as a whole, however often it is sent.
func (l WriteLimits) Allows(transaction *protocol.Transaction) bool {
	if len(transaction.Operations) > l.TransactionOps || len(transaction.Conditions) > l.MaxConditions() {
		return false
	}
	for _, operation := range transaction.Operations {
		if len(operation.Value) > l.ValueBytes {
			return false
		}
	}
	return transaction.Size() <= protocol.MaxTransactionBytes
}
