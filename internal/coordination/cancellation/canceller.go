package cancellation

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// SuccessorElection elects one controller as the successor for a key. IsSuccessor reports whether this
// controller is elected.
type SuccessorElection interface {
	IsSuccessor(key string) bool
}

// PeerNotifier exchanges statuses with the other controllers. ExpediteStatus makes it send the next
// status early, and HasHeardFrom reports whether an incarnation has sent a status within the given time.
type PeerNotifier interface {
	ExpediteStatus()
	HasHeardFrom(incarnation storage.Incarnation, within time.Duration) bool
}

// ForcedTerminator terminates machines on which a cancelled task is stuck.
type ForcedTerminator interface {
	IsTerminationConfirmed(id protocol.MachineID) bool
	TerminateUnrecorded(id protocol.MachineID)
}

// Canceller drives the two steps of a cancellation, the request and its confirmation. The package
// comment explains why there are two steps. Several controllers may drive the cancellation of one job at
// the same time, because the writes are conditional on the revision of the job's record.
type Canceller struct {
	*step.Context

	agents            *agents.Table
	calls             *agents.Caller
	committer         *commit.Committer
	lease             *commit.Lease
	successorElection SuccessorElection
	peerNotifier      PeerNotifier
	replication       *commit.Replication
	forcedTerminator  ForcedTerminator

	// When this controller began to drive the cancellation of a job.
	requestedAt map[protocol.JobID]protocol.Instant

	// The fields below are exchanged with the other controllers until a cancellation is confirmed.

	// Requests that the replica does not contain yet.
	peerRequests map[protocol.JobID]peerRequest
	// By job and sender, the newest revision of the sender's replica at which the sender acknowledged the
	// request.
	peerAcks map[protocol.JobID]map[storage.Incarnation]protocol.Revision
	// Requests that this incarnation acknowledges.
	localAcks map[protocol.JobID]bool
	// Whether every controller concerned knows the request.
	fullyAcknowledged map[protocol.JobID]bool
	// Requests in the last status of this controller, with the time of that status.
	lastSentRequests map[protocol.JobID]protocol.Instant

	requestRotation, ackRotation rotation // positions at which the next status continues
}

// newCanceller returns a canceller without cancellations.
func newCanceller(ctx *step.Context) *Canceller {
	return &Canceller{
		Context:           ctx,
		requestedAt:       map[protocol.JobID]protocol.Instant{},
		peerRequests:      map[protocol.JobID]peerRequest{},
		peerAcks:          map[protocol.JobID]map[storage.Incarnation]protocol.Revision{},
		fullyAcknowledged: map[protocol.JobID]bool{},
		lastSentRequests:  map[protocol.JobID]protocol.Instant{},
	}
}

// CancelRequested reports whether a job is cancelled or its cancellation has been requested, according to
// the replica or to another controller. If so, no task of the job may start or continue to run.
func (c *Canceller) CancelRequested(id protocol.JobID) bool {
	if c.isCancelRecorded(id) {
		return true
	}
	_, ok := c.peerRequests[id]
	return ok
}

// IsCancelling reports whether CancelRequested holds or this controller is about to record a cancellation of the
// job. From then on it places and starts no task of the job: the cancellation may be recorded at any moment, and
// the user is told at once.
func (c *Canceller) IsCancelling(id protocol.JobID) bool {
	return c.isRequester(id) || c.CancelRequested(id)
}

// isCancelRecorded reports whether the replica records a job as cancelled or its cancellation as
// requested.
func (c *Canceller) isCancelRecorded(id protocol.JobID) bool {
	entry := c.Replica.Jobs[id]
	return entry != nil && entry.Record.IsCancelledOrCancelling()
}

// timeSinceCancelRequest returns the time for which CancelRequested has been true. Once the confirmation
// is recorded, the time starts at the confirmation, like the time limit for stopping the tasks.
func (c *Canceller) timeSinceCancelRequest(id protocol.JobID) time.Duration {
	elapsed := time.Duration(0)
	if c.isCancelRecorded(id) {
		elapsed = step.MillisToDuration(c.Now.Wall - c.Replica.Jobs[id].Record.CancelUpdatedAt)
	}
	if request, ok := c.peerRequests[id]; ok {
		elapsed = max(elapsed, c.Since(request.receivedAt))
	}
	return elapsed
}
