package commit

import (
	"slices"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// transactionKind is the purpose of a transaction, which determines how its outcome is handled.
type transactionKind int

const (
	recordTransaction       transactionKind = iota // changes records of jobs, machines or the format
	userTransaction                                // holds users' requests
	registrationTransaction                        // registers this incarnation
	writeBarrierTransaction                        // resolves unknown outcomes of transactions sent before
)

// pendingTransaction is a transaction whose outcome is not known yet.
type pendingTransaction struct {
	id          uint64
	kind        transactionKind
	sentAt      protocol.Instant
	transaction protocol.Transaction
	logsOnApply []step.Effect
}

// hasConditionOn reports whether the transaction is conditional on a key.
func (t *pendingTransaction) hasConditionOn(key string) bool {
	return slices.ContainsFunc(t.transaction.Conditions, func(condition protocol.Condition) bool {
		return condition.Key == key
	})
}
