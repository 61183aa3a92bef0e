package commit

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

type PendingTransaction struct {
	ID             uint64
	sentAt         protocol.Instant
	Transaction    protocol.Transaction
	IsWriteBarrier bool
	registers      bool // registers this run
	isUserBatch    bool // holds what users asked for
	logsOnApply    []step.Effect
}
