package commit

import (
	"slices"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// transactionKind says what a transaction is for, and with it what its outcome means.
type transactionKind int

const (
	recordTransaction       transactionKind = iota // changes records of jobs, machines or the format
	userTransaction                                // holds what users asked for
	registrationTransaction                        // registers this incarnation
	writeBarrierTransaction                        // resolves unknown outcomes of transactions sent before
)

// pendingTransaction is a transaction that was sent and has no outcome yet.
type pendingTransaction struct {
	id          uint64
	kind        transactionKind
	sentAt      protocol.Instant
	transaction protocol.Transaction
	logsOnApply []step.Effect
}

func (t *pendingTransaction) hasConditionOn(key string) bool {
	return slices.ContainsFunc(t.transaction.Conditions, func(condition protocol.Condition) bool {
		return condition.Key == key
	})
}
