package cancellation

import (
	"maps"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Bounds of the cancellation data in one peer status, and of what is kept of it.
const (
	maxIntentsPerMessage = 150
	maxAcksPerMessage    = 200
	maxPeerIntents       = 2000
)

// requesterFailoverDelay is the age at which the successor of the job's key drives a request, too: the
// controller that began it may have ended.
const requesterFailoverDelay = 4 * time.Second

// peerIntent is a cancellation request known from another controller's status only.
type peerIntent struct {
	revision   protocol.Revision // at which it is on record
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

// forgetEndedCancellations drops intents that the replica has by now, and the acknowledgements of requests that have
// been confirmed or whose job has ended.
func (c *Canceller) forgetEndedCancellations() {
	maps.DeleteFunc(c.peerIntents, func(_ protocol.JobID, intent peerIntent) bool {
		return c.Replica.Revision >= intent.revision
	})
	maps.DeleteFunc(c.fullyAcknowledged, func(id protocol.JobID, _ bool) bool {
		return c.Replica.CancellingJobs[id] == nil
	})
	maps.DeleteFunc(c.peerAcks, func(id protocol.JobID, _ map[storage.Incarnation]protocol.Revision) bool {
		return c.Replica.CancellingJobs[id] == nil
	})
}

// updateLocalAcks finds the requests that this controller acknowledges. A new one is sent at once.
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
	for id := range c.peerIntents {
		acknowledge(id)
	}
	for id := range c.Replica.CancellingJobs {
		acknowledge(id)
	}
}

// shouldTakeOverRequest tells whether this controller takes over a request that another one began.
func (c *Canceller) shouldTakeOverRequest(id protocol.JobID) bool {
	return !c.isRequester(id) &&
		c.timeSinceCancelRequest(id) > requesterFailoverDelay &&
		c.successorElection.IsSuccessor(storage.JobKey(id))
}

// updateFullyAcknowledged records whether all controllers concerned know a request by now. If not, the
// controller that drives it sends it at once; the others have nothing new to send.
func (c *Canceller) updateFullyAcknowledged(id protocol.JobID) {
	if c.fullyAcknowledged[id] {
		return
	}
	c.fullyAcknowledged[id] = c.IsCancelFullyAcknowledged(id)
	_, isIntentSent := c.lastSentIntents[id]
	if !c.fullyAcknowledged[id] && !isIntentSent && c.isRequester(id) {
		c.peerNotifier.ExpediteStatus()
	}
}

// IsCancelFullyAcknowledged tells whether every controller that could start a task of the job, or
// keep one running, knows that its cancellation has been requested. The request is on record.
func (c *Canceller) IsCancelFullyAcknowledged(jobID protocol.JobID) bool {
	if c.Replica.Revision < protocol.Revision(c.Replica.Jobs[jobID].ModRevision) {
		return false // what was assigned before the request may be missing here
	}
	for machineID := range c.Replica.MachinesWithJob(jobID) {
		if !c.isAcknowledgedForMachine(machineID, jobID) {
			return false
		}
	}
	return true
}

// isAcknowledgedForMachine tells whether the owner of a machine knows that the cancellation of a job has
// been requested, or the machine no longer exists.
func (c *Canceller) isAcknowledgedForMachine(machineID protocol.MachineID, jobID protocol.JobID) bool {
	record := &c.Replica.Machines[machineID].Record
	if c.lease.OwnsMachine(record) {
		return c.IsMachineQuiescent(machineID, jobID)
	}
	if c.forcedTerminator.IsTerminationConfirmed(machineID) {
		return true
	}
	// An acknowledgement covers the machines that its sender knew to own, and ends with the
	// sender's incarnation.
	ackRevision, isAcknowledged := c.peerAcks[jobID][record.Owner]
	ownedSince := protocol.Revision(c.Replica.Shards[record.Shard].OwnedSince)
	return isAcknowledged && c.Replica.IsAlive(record.Owner) && ackRevision >= ownedSince
}

// AddCancellationStatus adds to this controller's status the requests that it drives and that are not
// acknowledged by all, and those that it acknowledges itself. Both are repeated until the request is
// confirmed; those that do not fit one status are sent in rotation.
func (c *Canceller) AddCancellationStatus(status *step.PeerStatus) {
	status.Revision = c.Replica.Revision
	var unacknowledged []protocol.JobID
	for _, id := range step.SortedKeys(c.requestedAt) {
		if c.Replica.CancellingJobs[id] != nil && !c.fullyAcknowledged[id] {
			unacknowledged = append(unacknowledged, id)
		}
	}
	clear(c.lastSentIntents)
	for _, id := range c.intentRotation.nextChunk(unacknowledged, maxIntentsPerMessage) {
		c.lastSentIntents[id] = c.Now.Monotonic
		status.CancelIntents = append(status.CancelIntents, step.CancelIntent{
			Job:      id,
			Revision: protocol.Revision(c.Replica.CancellingJobs[id].ModRevision),
		})
	}
	status.CancelAcks = c.ackRotation.nextChunk(step.SortedKeys(c.localAcks), maxAcksPerMessage)
}

// OnPeerCancellations records the intents and acknowledgements in another controller's status.
func (c *Canceller) OnPeerCancellations(status *step.PeerStatus) {
	for _, intent := range status.CancelIntents[:min(len(status.CancelIntents), maxIntentsPerMessage)] {
		c.recordPeerIntent(intent)
	}
	if !c.Replica.IsAlive(status.Incarnation) {
		return
	}
	for _, id := range status.CancelAcks[:min(len(status.CancelAcks), maxAcksPerMessage)] {
		c.recordPeerAck(id, status)
	}
}

// recordPeerIntent keeps a request that the replica lacks; from then on it binds this controller.
func (c *Canceller) recordPeerIntent(intent step.CancelIntent) {
	_, isKnown := c.peerIntents[intent.Job]
	isInReplica := c.Replica.Revision >= intent.Revision
	if isKnown || isInReplica || !intent.Job.IsValid() || len(c.peerIntents) >= maxPeerIntents {
		return
	}
	c.peerIntents[intent.Job] = peerIntent{revision: intent.Revision, receivedAt: c.Now.Monotonic}
	c.ShouldRecheckDeferredHeartbeats = true
}

// recordPeerAck keeps the acknowledgement of the request to cancel a job, with the newest revision
// at which its sender has given it.
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

// rotation cuts a list into chunks in turn, so that each entry is in one of as many consecutive chunks
// as the list has.
type rotation struct{ offset int }

// nextChunk gives the next entries; the following call continues after them.
func (r *rotation) nextChunk(ids []protocol.JobID, limit int) []protocol.JobID {
	if len(ids) <= limit {
		return ids
	}
	start := r.offset % len(ids)
	r.offset = start + limit
	return append(append([]protocol.JobID(nil), ids[start:]...), ids[:start]...)[:limit]
}
