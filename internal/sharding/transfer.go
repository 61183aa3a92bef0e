package sharding

import (
	"time"

	"tillerarch/internal/storage"
)

// TransferStatus is a move on record as one controller sees it.
type TransferStatus struct {
	Transfer storage.TransferRecord
	Self     storage.Incarnation
	Owner    storage.Incarnation // of the page now; empty: there is no such page
	// How long this controller has seen the move in its phase.
	PhaseAge                 time.Duration
	SourceAlive, TargetAlive bool
	IsSuccessor              bool // the move falls to this controller if both ends are gone
	Superseded               bool // an earlier move of the page is open
	ReservedForGang          bool // machines of the page are kept for a gang
	Quiesced                 bool // nothing that the giver has sent to the page's workers is on its way
	TargetTokenObserved      bool // the page's workers have shown the taker's token
}

// TransferTimeouts bound how long a move may stay in a phase.
type TransferTimeouts struct {
	GangPlacement    time.Duration // a proposal waits as long for a gang to be placed first
	Proposal         time.Duration // a proposal that its giver does not take up is dropped
	Quiesce          time.Duration // machines of a prepared page take no new task as long
	TokenObservation time.Duration // and their workers are waited for as long behind the transfer
}

// TransferStep is what a controller has to write next for a move. Empty Phase: nothing.
type TransferStep struct {
	Phase  storage.TransferPhase
	Reason string // of an abort
}

// Reasons of aborted moves, as operators read them.
const (
	ReasonShardGone             = "the page is gone"
	ReasonOwnerChanged          = "the page has another owner"
	ReasonTargetGone            = "the taker has ended"
	ReasonSourceGone            = "the giver has ended"
	ReasonSuperseded            = "another move of the page came first"
	ReasonNotAccepted           = "the giver did not take it up"
	ReasonNotQuiesced           = "what was on its way to the workers did not settle in time"
	ReasonOperatorAbort         = "aborted by the operator"
	ReasonFailover              = "the page was taken over from its dead owner"
	ReasonLoadImbalance         = "the taker has less to do"
	ReasonSourceDraining        = "the giver is drained"
	ReasonSourceOverloaded      = "the giver falls behind"
	ReasonMisdirectedHeartbeats = "the workers report there"
)

// NextStep tells what this controller has to write for an open move. Exactly one controller
// acts while all see the same records; where they don't, the stamps decide.
func NextStep(status TransferStatus, timeouts TransferTimeouts) TransferStep {
	if !status.Transfer.Phase.IsOpen() || !isResponsible(status) {
		return TransferStep{}
	}
	if status.Transfer.Phase == storage.TransferCommitted {
		return stepAfterCommit(status, timeouts)
	}
	if reason := abortReason(status); reason != "" {
		return TransferStep{storage.TransferAborted, reason}
	}
	if status.Self != status.Transfer.Source {
		return TransferStep{} // the page's owner is dead: its heir takes the page over and ends the move
	}
	return stepBeforeCommit(status, timeouts)
}

// isResponsible tells whether it is for this controller to act: the giver until the
// transfer, the taker behind it, and the heir of the move if that one is gone.
func isResponsible(status TransferStatus) bool {
	primary, primaryAlive, fallback, fallbackAlive := status.Transfer.Source, status.SourceAlive, status.Transfer.Target, status.TargetAlive
	if status.Transfer.Phase == storage.TransferCommitted {
		primary, primaryAlive, fallback, fallbackAlive = fallback, fallbackAlive, primary, primaryAlive
	}
	switch {
	case primaryAlive:
		return status.Self == primary
	case fallbackAlive:
		return status.Self == fallback
	}
	return status.IsSuccessor
}

// abortReason gives the reason why a move that is pending can't go on, if there is one.
func abortReason(status TransferStatus) string {
	switch {
	case status.Owner == "":
		return ReasonShardGone
	case status.Owner != status.Transfer.Source:
		return ReasonOwnerChanged
	case !status.SourceAlive && !status.TargetAlive:
		return ReasonSourceGone
	case !status.TargetAlive:
		return ReasonTargetGone
	case status.Superseded:
		return ReasonSuperseded
	}
	return ""
}

// stepBeforeCommit is the giver's next step.
func stepBeforeCommit(status TransferStatus, timeouts TransferTimeouts) TransferStep {
	if status.Transfer.Phase == storage.TransferProposed {
		switch {
		case status.PhaseAge > timeouts.Proposal:
			return TransferStep{storage.TransferAborted, ReasonNotAccepted}
		case status.ReservedForGang && status.PhaseAge < timeouts.GangPlacement:
			return TransferStep{}
		}
		return TransferStep{Phase: storage.TransferPrepared}
	}
	switch {
	case status.Quiesced:
		return TransferStep{Phase: storage.TransferCommitted}
	case status.PhaseAge > timeouts.Quiesce:
		return TransferStep{storage.TransferAborted, ReasonNotQuiesced}
	}
	return TransferStep{}
}

// stepAfterCommit closes a move once the workers know the taker, or the page has gone on to
// somebody else.
func stepAfterCommit(status TransferStatus, timeouts TransferTimeouts) TransferStep {
	if status.TargetTokenObserved || status.Owner != status.Transfer.Target || !status.TargetAlive || status.PhaseAge > timeouts.TokenObservation {
		return TransferStep{Phase: storage.TransferClosed}
	}
	return TransferStep{}
}
