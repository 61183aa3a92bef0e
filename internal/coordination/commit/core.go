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
	IsUserBatch    bool // holds what users asked for
	LogsOnApply    []step.Effect
}
