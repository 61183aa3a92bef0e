package cancellation

import (
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// unwrittenRequestTimeout is the time for which a request is kept that could not be recorded in the
// store. The user's call was rejected long before, but the user did request the cancellation.
const unwrittenRequestTimeout = 30 * time.Second

// RequestCancellation begins the cancellation of a job, or takes over a cancellation that another
// controller has begun.
func (c *Canceller) RequestCancellation(id protocol.JobID) {
	if !c.isRequester(id) {
		c.requestedAt[id] = c.Now.Monotonic
	}
}

// HasRequests reports whether this controller drives any cancellation.
func (c *Canceller) HasRequests() bool { return len(c.requestedAt) > 0 }

// isRequester reports whether this controller drives the cancellation of a job.
func (c *Canceller) isRequester(id protocol.JobID) bool {
	_, ok := c.requestedAt[id]
	return ok
}

// WriteCancellations writes the next step of each cancellation that this controller drives to the batch,
// as far as the batch has capacity. It forgets the cancellations of jobs that have ended or have no
// record.
func (c *Canceller) WriteCancellations(batch *commit.Batch) {
	for _, id := range step.SortedKeys(c.requestedAt) {
		entry := c.Replica.Jobs[id]
		switch {
		case entry == nil || entry.Record.State.IsTerminal():
			delete(c.requestedAt, id)
		case !batch.HasCapacity(batch.OpsNeeded("", id)):
			// The cancellation is written with a later batch.
		case entry.Record.CancelRequested:
			if c.canConfirm(id, &entry.Record) {
				c.writeConfirmation(batch, id)
			}
		case c.canCancelDirectly(batch, id):
			c.dependOnShards(batch, id)
			c.writeConfirmation(batch, id)
		default:
			c.writeRequest(batch, id)
		}
	}
}

// canConfirm reports whether the second step of a cancellation may be written. If all tasks of a job
// complete before that, the job is done and not cancelled. The owner of the job records that.
func (c *Canceller) canConfirm(id protocol.JobID, record *storage.JobRecord) bool {
	return c.fullyAcknowledged[id] && c.Replica.CompletedTasks(id).Len() < record.Spec.TaskCount
}

// canCancelDirectly reports whether a job can be cancelled in one write, without a preceding request. This
// requires that all assigned tasks of the job are on quiescent machines of this controller, and that only
// this controller can assign further tasks of the job. The write must depend on the shards of those
// machines (dependOnShards).
func (c *Canceller) canCancelDirectly(batch *commit.Batch, jobID protocol.JobID) bool {
	entry := c.Replica.Jobs[jobID]
	if entry.Record.Owner != c.lease.Incarnation() ||
		c.Replica.Revision < protocol.Revision(entry.ModRevision) ||
		c.committer.HasPendingConditionOn(storage.JobKey(jobID)) {
		return false
	}
	if !batch.HasCapacityWith(batch.OpsNeeded("", jobID), c.shardKeysOf(jobID)...) {
		return false
	}
	for machineID := range c.Replica.MachinesWithJob(jobID) {
		record := &c.Replica.Machines[machineID].Record
		if !c.lease.OwnsMachine(record) || !c.IsMachineQuiescent(machineID, jobID) {
			return false
		}
	}
	return true
}

// dependOnShards makes a batch conditional on the revisions of the shards of all machines with tasks of a
// job. If one of the shards is transferred in the meantime, either the transfer is written before the
// batch, which then fails, or the transfer is not written at all.
func (c *Canceller) dependOnShards(batch *commit.Batch, jobID protocol.JobID) {
	for _, key := range c.shardKeysOf(jobID) {
		batch.DependOn(key)
	}
}

// shardKeysOf returns the keys of the shards of all machines with tasks of a job. A key may occur repeatedly.
func (c *Canceller) shardKeysOf(jobID protocol.JobID) (keys []string) {
	for machineID := range c.Replica.MachinesWithJob(jobID) {
		keys = append(keys, storage.ShardKey(c.Replica.Machines[machineID].Record.Shard))
	}
	return keys
}

// writeRequest writes the first step of a cancellation, the request, to the batch.
func (c *Canceller) writeRequest(batch *commit.Batch, id protocol.JobID) {
	record := batch.MutableJob(id)
	record.CancelRequested = true
	record.CancelUpdatedAt = c.Now.Wall
}

// writeConfirmation writes the second step of a cancellation, the confirmation, to the batch.
func (c *Canceller) writeConfirmation(batch *commit.Batch, id protocol.JobID) {
	record := batch.MutableJob(id)
	record.State = protocol.JobCancelled
	record.CancelRequested = false
	record.CancelUpdatedAt = c.Now.Wall
}

// ExpireUnwrittenRequests forgets requests that could not be recorded in the store within
// unwrittenRequestTimeout.
func (c *Canceller) ExpireUnwrittenRequests() {
	for id, requestedAt := range c.requestedAt {
		if c.Replica.CancellingJobs[id] == nil && c.Since(requestedAt) > unwrittenRequestTimeout {
			delete(c.requestedAt, id)
		}
	}
}
