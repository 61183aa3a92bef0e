package sharding

import (
	"time"

	"tillerarch/internal/storage"
)

// TransferStatus is a transfer on record as one controller sees it.
type TransferStatus struct {
	Transfer            storage.TransferRecord
	Self                storage.Incarnation // who sees it
	Owner               storage.Incarnation // of the shard now; empty: there is no such shard
	PhaseAge            time.Duration       // since this controller first saw the transfer in its phase
	SourceAlive         bool
	TargetAlive         bool
	IsSuccessor         bool // this controller acts if source and target are gone
	Superseded          bool // an earlier transfer of the shard is open
	ReservedForGang     bool // machines of the shard are reserved for a gang
	Quiesced            bool // nothing that the source has sent to the shard's agents is in flight
	TargetTokenObserved bool // the shard's agents have shown the target's fencing token
}

// TransferTimeouts bound how long a transfer may stay in a phase.
type TransferTimeouts struct {
	GangPlacement    time.Duration // how long a proposal waits for a gang to be placed first
	Proposal         time.Duration // after it, a proposal that its source has not accepted is aborted
	Quiesce          time.Duration // how long machines of a prepared shard get no new task
	TokenObservation time.Duration // after the commit, how long agents may take to show the token
}

// TransferStep is what a controller has to write next for a transfer; nothing if Phase is
// empty.
type TransferStep struct {
	Phase  storage.TransferPhase
	Reason string // of an abort
}

// Reasons of transfers and of their aborts. They are stored and shown to operators, in the
// words of the documentation: giver is the source, taker the target, page the shard.
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

// NextStep tells what this controller has to write for an open transfer. Exactly one
// controller acts while all see the same records; while they don't, the revisions that their
// transactions are conditional on let one through.
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
		return TransferStep{} // the owner is dead: the shard's successor takes it over and ends the transfer
	}
	return stepBeforeCommit(status, timeouts)
}

// isResponsible tells whether it is for this controller to act: up to the commit the source,
// after it the target; the other one if that is gone, and the successor if both are.
func isResponsible(status TransferStatus) bool {
	primary, primaryAlive := status.Transfer.Source, status.SourceAlive
	fallback, fallbackAlive := status.Transfer.Target, status.TargetAlive
	if status.Transfer.Phase == storage.TransferCommitted {
		primary, fallback = fallback, primary
		primaryAlive, fallbackAlive = fallbackAlive, primaryAlive
	}
	switch {
	case primaryAlive:
		return status.Self == primary
	case fallbackAlive:
		return status.Self == fallback
	}
	return status.IsSuccessor
}

// abortReason is the reason why a pending transfer can't go on, if there is one.
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

// stepBeforeCommit is the source's next step for a transfer that can go on.
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

// stepAfterCommit closes a transfer once there is nothing left to wait for: the agents know
// the target, or have had their time, or the target is dead or no longer the owner.
func stepAfterCommit(status TransferStatus, timeouts TransferTimeouts) TransferStep {
	if status.TargetTokenObserved ||
		status.Owner != status.Transfer.Target ||
		!status.TargetAlive ||
		status.PhaseAge > timeouts.TokenObservation {
		return TransferStep{Phase: storage.TransferClosed}
	}
	return TransferStep{}
}
