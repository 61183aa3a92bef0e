package sharding

import (
	"time"

	"tillerarch/internal/storage"
)

// TransferStatus holds a recorded transfer and what one controller knows about it.
type TransferStatus struct {
	Transfer            storage.TransferRecord
	Self                storage.Incarnation // incarnation of the controller whose view this is
	Owner               storage.Incarnation // current owner of the shard, empty if the shard does not exist
	PhaseAge            time.Duration       // time since this controller first saw the transfer in its phase
	SourceAlive         bool
	TargetAlive         bool
	IsSuccessor         bool // this controller completes the transfer if source and target have ended
	Superseded          bool // an earlier transfer of the shard is open
	ReservedForGang     bool // machines of the shard are reserved for a gang
	Quiesced            bool // no command of the source to the shard's agents is in flight
	TargetTokenObserved bool // the shard's agents have shown the target's fencing token
}

// TransferTimeouts limits the time that a transfer spends in each phase.
type TransferTimeouts struct {
	GangPlacement    time.Duration // how long a proposal waits for a gang to be placed on the shard
	Proposal         time.Duration // how long a proposal waits for its source to accept it, before it is aborted
	Quiesce          time.Duration // how long the machines of a prepared shard get no new task
	TokenObservation time.Duration // how long the agents may take to show the target's token after the commit
}

// TransferStep is the next write of a controller for a transfer. An empty Phase means that the
// controller has nothing to write.
type TransferStep struct {
	Phase  storage.TransferPhase
	Reason string // reason of an abort
}

// Reasons of transfers and of their aborts. The texts are stored and shown to operators, and use
// the terms of the operators' documentation: the giver is the source, the taker is the target, and
// a page is a shard.
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

// NextStep returns the next write of this controller for an open transfer. While all controllers
// see the same records, exactly one of them is responsible for the transfer. While their replicas
// differ, several may write, but their transactions are conditional on revisions, so that only one
// of them succeeds.
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
		return TransferStep{} // the source is dead, and the shard's successor ends the transfer by a failover
	}
	return stepBeforeCommit(status, timeouts)
}

// isResponsible reports whether this controller advances the transfer. The source is responsible
// until the commit, and the target after it. If the responsible controller has ended, the other of
// the two is responsible, and if both have ended, the successor is.
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

// abortReason returns the reason why a pending transfer cannot continue. It returns an empty
// string if the transfer can continue.
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

// stepBeforeCommit returns the source's next step for a pending transfer that can continue.
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

// stepAfterCommit returns the step that closes a committed transfer, once there is nothing left to
// wait for: the agents have shown the target's token, the time for that is over, the target has
// ended, or the shard has another owner.
func stepAfterCommit(status TransferStatus, timeouts TransferTimeouts) TransferStep {
	if status.TargetTokenObserved ||
		status.Owner != status.Transfer.Target ||
		!status.TargetAlive ||
		status.PhaseAge > timeouts.TokenObservation {
		return TransferStep{Phase: storage.TransferClosed}
	}
	return TransferStep{}
}
