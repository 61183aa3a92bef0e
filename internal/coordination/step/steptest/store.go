package steptest

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// EffectsOf returns the effects of type E.
func EffectsOf[E step.Effect](effects []step.Effect) []E {
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// HasEffect reports whether there is an effect of type E.
func HasEffect[E step.Effect](effects []step.Effect) bool { return len(EffectsOf[E](effects)) > 0 }

// ReplyStatus returns the HTTP status of the first reply among the effects, or 0 if there is none.
func ReplyStatus(effects []step.Effect) int {
	if replies := EffectsOf[step.Reply](effects); len(replies) > 0 {
		return replies[0].Status
	}
	return 0
}

// CommittedAt returns the result of a transaction that was applied at a revision.
func CommittedAt(id uint64, revision protocol.Revision) step.CommitResult {
	return step.CommitResult{
		ID:      id,
		Outcome: storage.OutcomeApplied,
		Result:  protocol.TransactionResult{Revision: revision},
	}
}

// UnchangedUntil returns the result of a watch request that found no changed record between the
// revisions after and revision.
func UnchangedUntil(after, revision protocol.Revision) step.WatchResult {
	return step.WatchResult{
		AfterRevision: after,
		Response:      &protocol.WatchResponse{Revision: revision},
	}
}
