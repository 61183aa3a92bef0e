package cancellation

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// SuccessorElection tells whether this controller is the successor for a key: exactly one controller is.
type SuccessorElection interface {
	IsSuccessor(key string) bool
}

// PeerNotifier sends the next status to the other controllers ahead of time, and knows which of them
// have sent theirs lately.
type PeerNotifier interface {
	ExpediteStatus()
	HasHeardFrom(incarnation storage.Incarnation, within time.Duration) bool
}

// ForcedTerminator terminates machines on which a cancelled task is stuck.
type ForcedTerminator interface {
	IsTerminationConfirmed(id protocol.MachineID) bool
	TerminateUnrecorded(id protocol.MachineID)
}

// Canceller drives the two steps of a cancellation, the request and its confirmation; the package
// comment says why there are two. Several controllers may drive the cancellation of
// one job at the same time: the writes depend on the revision of the job's record.
type Canceller struct {
	*step.Context

	agents            *agents.Table
	calls             *agents.Caller
	committer         *commit.Committer
	lease             *commit.Lease
	limits            *commit.WriteLimiter
	successorElection SuccessorElection
	peerNotifier      PeerNotifier
	replication       *commit.Replication
	forcedTerminator  ForcedTerminator

	// Since when this controller drives the cancellation of a job.
	requestedAt map[protocol.JobID]protocol.Instant

	// The fields below are exchanged with the other controllers until a cancellation is confirmed.

	// Requests that the replica lacks so far.
	peerIntents map[protocol.JobID]peerIntent
	// By sender, the newest revision of its replica at which it acknowledged the request.
	peerAcks map[protocol.JobID]map[storage.Incarnation]protocol.Revision
	// Requests that this incarnation acknowledges.
	localAcks map[protocol.JobID]bool
	// Requests that every controller concerned knows.
	fullyAcknowledged map[protocol.JobID]bool
	// Requests in the last status that was sent.
	lastSentIntents map[protocol.JobID]protocol.Instant

	intentRotation, ackRotation rotation // where the next status begins
}

// newCanceller makes a canceller that knows of no cancellation.
func newCanceller(ctx *step.Context) *Canceller {
	return &Canceller{
		Context:           ctx,
		requestedAt:       map[protocol.JobID]protocol.Instant{},
		peerIntents:       map[protocol.JobID]peerIntent{},
		peerAcks:          map[protocol.JobID]map[storage.Incarnation]protocol.Revision{},
		fullyAcknowledged: map[protocol.JobID]bool{},
		lastSentIntents:   map[protocol.JobID]protocol.Instant{},
	}
}

// CancelRequested tells whether a job is cancelled or its cancellation requested, as far as the
// replica or another controller says: none of its tasks may start or go on.
func (c *Canceller) CancelRequested(id protocol.JobID) bool {
	if c.isCancelRecorded(id) {
		return true
	}
	_, ok := c.peerIntents[id]
	return ok
}

func (c *Canceller) isCancelRecorded(id protocol.JobID) bool {
	entry := c.Replica.Jobs[id]
	return entry != nil && entry.Record.IsCancelledOrCancelling()
}

// timeSinceCancelRequest is for how long CancelRequested has been true. Once the confirmation is on
// record it counts from there, as the time limit for stopping the tasks does.
func (c *Canceller) timeSinceCancelRequest(id protocol.JobID) time.Duration {
	elapsed := time.Duration(0)
	if c.isCancelRecorded(id) {
		elapsed = step.MillisToDuration(c.Now.Wall - c.Replica.Jobs[id].Record.CancelUpdatedAt)
	}
	if intent, ok := c.peerIntents[id]; ok {
		elapsed = max(elapsed, c.Since(intent.receivedAt))
	}
	return elapsed
}
