package cancellation

import (
	"maps"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Limits of the cancellation data in one peer status, and of the requests kept from peer statuses.
const (
	maxRequestsPerMessage = 150
	maxAcksPerMessage     = 200
	maxPeerRequests       = 2000
)

// requesterFailoverDelay is the age from which the successor of the job's key also drives a request,
// because the controller that began the request may have ended.
const requesterFailoverDelay = 4 * time.Second

// peerRequest is a cancellation request that is known only from the status of another controller.
type peerRequest struct {
	revision   protocol.Revision // at which the request was recorded
	receivedAt protocol.Instant
}

// UpdateAcknowledgements updates which requests this controller acknowledges and which requests all
// controllers concerned have acknowledged. It also takes over requests whose requester may have ended.
func (c *Canceller) UpdateAcknowledgements() {
	if !c.replication.IsLoaded() {
		return
	}
	c.forgetEndedCancellations()
	c.updateLocalAcks()
	for id := range c.Replica.CancellingJobs {
		if c.shouldTakeOverRequest(id) {
			c.RequestCancellation(id)
		}
		c.updateFullyAcknowledged(id)
	}
}

// forgetEndedCancellations forgets the requests that the replica contains by now. It also forgets the
// acknowledgements of requests that are confirmed or whose job has ended.
func (c *Canceller) forgetEndedCancellations() {
	maps.DeleteFunc(c.peerRequests, func(_ protocol.JobID, request peerRequest) bool {
		return c.Replica.Revision >= request.revision
	})
	maps.DeleteFunc(c.fullyAcknowledged, func(id protocol.JobID, _ bool) bool {
		return c.Replica.CancellingJobs[id] == nil
	})
	maps.DeleteFunc(c.peerAcks, func(id protocol.JobID, _ map[storage.Incarnation]protocol.Revision) bool {
		return c.Replica.CancellingJobs[id] == nil
	})
}

// updateLocalAcks determines the requests that this controller acknowledges. If there is a new one, the
// next status is sent without delay.
func (c *Canceller) updateLocalAcks() {
	previousAcks := c.localAcks
	c.localAcks = map[protocol.JobID]bool{}
	acknowledge := func(id protocol.JobID) {
		if !c.areOwnedMachinesQuiescent(id) {
			return
		}
		c.localAcks[id] = true
		if !previousAcks[id] {
			c.peerNotifier.ExpediteStatus()
		}
	}
	for id := range c.peerRequests {
		acknowledge(id)
	}
	for id := range c.Replica.CancellingJobs {
		acknowledge(id)
	}
}

// shouldTakeOverRequest reports whether this controller takes over a request that another controller
// began.
func (c *Canceller) shouldTakeOverRequest(id protocol.JobID) bool {
	return !c.isRequester(id) &&
		c.timeSinceCancelRequest(id) > requesterFailoverDelay &&
		c.successorElection.IsSuccessor(storage.JobKey(id))
}

// updateFullyAcknowledged records whether all controllers concerned know a request by now. If not, and
// this controller drives the request and has not sent it yet, the next status is sent without delay.
// Controllers that do not drive the request have nothing new to send.
func (c *Canceller) updateFullyAcknowledged(id protocol.JobID) {
	if c.fullyAcknowledged[id] {
		return
	}
	c.fullyAcknowledged[id] = c.IsCancelFullyAcknowledged(id)
	_, isRequestSent := c.lastSentRequests[id]
	if !c.fullyAcknowledged[id] && !isRequestSent && c.isRequester(id) {
		c.peerNotifier.ExpediteStatus()
	}
}

// IsCancelFullyAcknowledged reports whether every controller that could start a task of a job, or keep
// one running, knows that the cancellation of the job has been requested. The request must be recorded
// in the store.
func (c *Canceller) IsCancelFullyAcknowledged(jobID protocol.JobID) bool {
	if c.Replica.Revision < protocol.Revision(c.Replica.Jobs[jobID].ModRevision) {
		return false // the replica may lack assignments that were written before the request
	}
	for machineID := range c.Replica.MachinesWithJob(jobID) {
		if !c.isAcknowledgedForMachine(machineID, jobID) {
			return false
		}
	}
	return true
}

// isAcknowledgedForMachine reports whether the owner of a machine knows that the cancellation of a job
// has been requested, or the machine no longer exists. For a machine of this controller, it reports
// whether the machine is quiescent for the job.
func (c *Canceller) isAcknowledgedForMachine(machineID protocol.MachineID, jobID protocol.JobID) bool {
	record := &c.Replica.Machines[machineID].Record
	if c.lease.OwnsMachine(record) {
		return c.IsMachineQuiescent(machineID, jobID)
	}
	if c.forcedTerminator.IsTerminationConfirmed(machineID) {
		return true
	}
	// An acknowledgement covers the machines that the sender knew that it owned, and is valid as long as
	// the sender's incarnation is alive.
	ackRevision, isAcknowledged := c.peerAcks[jobID][record.Owner]
	ownedSince := protocol.Revision(c.Replica.Shards[record.Shard].OwnedSince)
	return isAcknowledged && c.Replica.IsAlive(record.Owner) && ackRevision >= ownedSince
}

// AddCancellationStatus adds to this controller's status the requests that this controller drives and
// that are not fully acknowledged, and the acknowledgements of this controller. Both are repeated until
// the request is confirmed. Those that do not fit into one status are sent in rotation.
func (c *Canceller) AddCancellationStatus(status *step.PeerStatus) {
	status.Revision = c.Replica.Revision
	var unacknowledged []protocol.JobID
	for _, id := range step.SortedKeys(c.requestedAt) {
		if c.Replica.CancellingJobs[id] != nil && !c.fullyAcknowledged[id] {
			unacknowledged = append(unacknowledged, id)
		}
	}
	clear(c.lastSentRequests)
	for _, id := range c.requestRotation.nextChunk(unacknowledged, maxRequestsPerMessage) {
		c.lastSentRequests[id] = c.Now.Monotonic
		status.CancelRequests = append(status.CancelRequests, step.CancelRequest{
			Job:      id,
			Revision: protocol.Revision(c.Replica.CancellingJobs[id].ModRevision),
		})
	}
	status.CancelAcks = c.ackRotation.nextChunk(step.SortedKeys(c.localAcks), maxAcksPerMessage)
}

// OnPeerCancellations records the requests and acknowledgements in another controller's status. It
// ignores acknowledgements of incarnations that have ended.
func (c *Canceller) OnPeerCancellations(status *step.PeerStatus) {
	for _, request := range status.CancelRequests[:min(len(status.CancelRequests), maxRequestsPerMessage)] {
		c.recordPeerRequest(request)
	}
	if !c.Replica.IsAlive(status.Incarnation) {
		return
	}
	for _, id := range status.CancelAcks[:min(len(status.CancelAcks), maxAcksPerMessage)] {
		c.recordPeerAck(id, status)
	}
}

// recordPeerRequest stores a request that the replica lacks. From then on the request binds this
// controller.
func (c *Canceller) recordPeerRequest(request step.CancelRequest) {
	_, isKnown := c.peerRequests[request.Job]
	isInReplica := c.Replica.Revision >= request.Revision
	if isKnown || isInReplica || !request.Job.IsValid() || len(c.peerRequests) >= maxPeerRequests {
		return
	}
	c.peerRequests[request.Job] = peerRequest{revision: request.Revision, receivedAt: c.Now.Monotonic}
	c.ShouldRecheckDeferredHeartbeats = true
}

// recordPeerAck stores the acknowledgement of a request to cancel a job, with the newest revision at
// which the sender has acknowledged the request.
func (c *Canceller) recordPeerAck(id protocol.JobID, status *step.PeerStatus) {
	if c.Replica.CancellingJobs[id] == nil {
		return
	}
	acks := c.peerAcks[id]
	if acks == nil {
		acks = map[storage.Incarnation]protocol.Revision{}
		c.peerAcks[id] = acks
	}
	acks[status.Incarnation] = max(acks[status.Incarnation], status.Revision)
}

// rotation selects consecutive chunks of a list in turn, so that a list of n chunks is covered by n
// consecutive calls of nextChunk.
type rotation struct{ offset int }

// nextChunk returns up to limit entries of ids. The next call continues after them.
func (r *rotation) nextChunk(ids []protocol.JobID, limit int) []protocol.JobID {
	if len(ids) <= limit {
		return ids
	}
	start := r.offset % len(ids)
	r.offset = start + limit
	return append(append([]protocol.JobID(nil), ids[start:]...), ids[:start]...)[:limit]
}
