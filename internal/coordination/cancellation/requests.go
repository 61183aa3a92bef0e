package cancellation

import (
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// unwrittenRequestTimeout is how long a request is kept that could not be put on record. The
	// user's call has been rejected long before, but the cancellation was asked for.
	unwrittenRequestTimeout = 30 * time.Second

	// directCancelConditionsPerOp bounds the conditions of a batch with a direct cancellation, as
	// a multiple of the operations that a transaction may hold. The store takes four for each;
	// the rest is left to the other changes in the batch.
	directCancelConditionsPerOp = 3
)

// RequestCancellation begins the cancellation of a job, or takes over one that another controller
// has begun.
func (c *Canceller) RequestCancellation(id protocol.JobID) {
	if !c.isRequester(id) {
		c.requestedAt[id] = c.Now.Monotonic
	}
}

// HasRequests tells whether this controller drives any cancellation.
func (c *Canceller) HasRequests() bool { return len(c.requestedAt) > 0 }

// isRequester tells whether this controller drives the cancellation of a job.
func (c *Canceller) isRequester(id protocol.JobID) bool {
	_, ok := c.requestedAt[id]
	return ok
}

// WriteCancellations puts the next step of each cancellation into the batch.
func (c *Canceller) WriteCancellations(batch *commit.Batch) {
	for _, id := range step.SortedKeys(c.requestedAt) {
		entry := c.Replica.Jobs[id]
		switch {
		case entry == nil || entry.Record.State.IsTerminal():
			delete(c.requestedAt, id)
		case !batch.HasCapacity(1):
			// It goes into a later batch.
		case entry.Record.CancelRequested:
			if c.canConfirm(id, &entry.Record) {
				c.writeConfirmation(batch, id)
			}
		case c.canCancelDirectly(batch, id):
			c.dependOnShards(batch, id)
			c.writeConfirmation(batch, id)
		default:
			c.writeIntent(batch, id)
		}
	}
}

// canConfirm tells whether the second step of a cancellation may be written. A job whose tasks
// have all completed first is done, not cancelled; its owner records that.
func (c *Canceller) canConfirm(id protocol.JobID, record *storage.JobRecord) bool {
	return c.fullyAcknowledged[id] && c.Replica.CompletedTasks(id).Len() < record.Spec.TaskCount
}

// canCancelDirectly tells whether a job can be cancelled in one write, without a request before:
// its tasks are assigned to quiescent machines of this controller only, and no further ones can
// be, as this controller alone assigns them. The write must depend on the shards of those
// machines (dependOnShards).
func (c *Canceller) canCancelDirectly(batch *commit.Batch, jobID protocol.JobID) bool {
	entry := c.Replica.Jobs[jobID]
	if entry.Record.Owner != c.lease.Incarnation() ||
		c.Replica.Revision < protocol.Revision(entry.ModRevision) ||
		c.committer.HasPendingConditionOn(storage.JobKey(jobID)) {
		return false
	}
	maxConditions := directCancelConditionsPerOp * c.limits.WriteLimits().TransactionOps
	if batch.ConditionCount()+len(c.Replica.MachinesWithJob(jobID)) > maxConditions {
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

// dependOnShards makes a batch depend on the shards of all machines with tasks of a job: if one is
// transferred meanwhile, the transfer is written before the batch, which then fails, or not at all.
func (c *Canceller) dependOnShards(batch *commit.Batch, jobID protocol.JobID) {
	for machineID := range c.Replica.MachinesWithJob(jobID) {
		batch.DependOn(storage.ShardKey(c.Replica.Machines[machineID].Record.Shard))
	}
}

// writeIntent puts the first step of a cancellation into the batch.
func (c *Canceller) writeIntent(batch *commit.Batch, id protocol.JobID) {
	record := batch.MutableJob(id)
	record.CancelRequested = true
	record.CancelUpdatedAt = c.Now.Wall
}

// writeConfirmation puts the second step of a cancellation into the batch.
func (c *Canceller) writeConfirmation(batch *commit.Batch, id protocol.JobID) {
	record := batch.MutableJob(id)
	record.State = protocol.JobCancelled
	record.CancelRequested = false
	record.CancelUpdatedAt = c.Now.Wall
}

// ExpireUnwrittenRequests drops requests that could not be written to the store within
// unwrittenRequestTimeout.
func (c *Canceller) ExpireUnwrittenRequests() {
	for id, requestedAt := range c.requestedAt {
		if c.Replica.CancellingJobs[id] == nil && c.Since(requestedAt) > unwrittenRequestTimeout {
			delete(c.requestedAt, id)
		}
	}
}
