package cancellation

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// OwnerElection names the one controller to which a key falls.
type OwnerElection interface {
	IsSuccessor(key string) bool
}

// PeerNotifier sends the next status to the other controllers ahead of time, and knows when they
// were last heard from.
type PeerNotifier interface {
	ExpediteStatus()
	HasHeardFrom(incarnation storage.Incarnation, within time.Duration) bool
}

// ForcedTerminator terminates machines on which a cancelled task is stuck.
type ForcedTerminator interface {
	IsTerminationConfirmed(id protocol.MachineID) bool
	TerminateUnrecorded(id protocol.MachineID)
}

// Canceller takes jobs through the two steps of a cancellation, the request and its confirmation;
// the package comment says why there are two. Several controllers may drive the cancellation of
// one job at the same time: the writes depend on the revision of the job's record.
type Canceller struct {
	*step.Context

	agents      *agents.Table
	calls       *agents.Caller
	commits     *commit.Committer
	lease       *commit.Lease
	limits      *commit.WriteLimiter
	ownership   OwnerElection
	peers       PeerNotifier
	replication *commit.Replication
	terminator  ForcedTerminator

	requestedAt map[protocol.JobID]protocol.Instant // since when this controller drives them

	// What controllers tell each other of cancellations that are not confirmed yet.
	peerIntents       map[protocol.JobID]peerIntent                                // requests that the replica lacks so far
	peerAcks          map[protocol.JobID]map[storage.Incarnation]protocol.Revision // by sender, with its replica's revision
	localAcks         map[protocol.JobID]bool                                      // requests that this incarnation acknowledges
	fullyAcknowledged map[protocol.JobID]bool                                      // requests that every controller concerned knows
	intentSentAt      map[protocol.JobID]protocol.Instant                          // requests in the last status that was sent

	intentRotation, ackRotation rotation // what the next status begins with
}

// newCanceller makes a canceller that knows of no cancellation.
func newCanceller(ctx *step.Context) *Canceller {
	return &Canceller{
		Context:           ctx,
		requestedAt:       map[protocol.JobID]protocol.Instant{},
		peerIntents:       map[protocol.JobID]peerIntent{},
		peerAcks:          map[protocol.JobID]map[storage.Incarnation]protocol.Revision{},
		fullyAcknowledged: map[protocol.JobID]bool{},
		intentSentAt:      map[protocol.JobID]protocol.Instant{},
	}
}

// CancelRequested tells whether a job is cancelled or its cancellation requested, as far as the
// replica or another controller says: none of its tasks may start or go on.
func (c *Canceller) CancelRequested(id protocol.JobID) bool {
	if c.isCancelOnRecord(id) {
		return true
	}
	_, ok := c.peerIntents[id]
	return ok
}

func (c *Canceller) isCancelOnRecord(id protocol.JobID) bool {
	entry := c.Replica.Jobs[id]
	return entry != nil && entry.Record.IsCancelledOrPending()
}

// timeSinceCancelRequest is for how long CancelRequested has held. Once the confirmation is on
// record it counts from there, as the time limit for stopping the tasks does.
func (c *Canceller) timeSinceCancelRequest(id protocol.JobID) time.Duration {
	elapsed := time.Duration(0)
	if c.isCancelOnRecord(id) {
		elapsed = step.MillisToDuration(c.Now.Wall - c.Replica.Jobs[id].Record.CancelUpdatedAt)
	}
	if intent, ok := c.peerIntents[id]; ok {
		elapsed = max(elapsed, c.Since(intent.receivedAt))
	}
	return elapsed
}
