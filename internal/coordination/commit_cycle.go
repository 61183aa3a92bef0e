package coordination

import "tillerarch/internal/coordination/commit"

// remoteOpsDivisor gives the part of a batch, one operation in so many, that is reserved for
// shards of other controllers while tasks of owned jobs are planned there: changes of owned
// shards would fill every batch.
const remoteOpsDivisor = 4

// commitBatches sends the next transactions if there is something to write.
func (c *Core) commitBatches() {
	if c.hasUserChanges() && c.commit.Committer.ReadyForUserBatch() {
		c.commitUserBatch()
	}
	if c.commit.Committer.PrepareForRecordBatch() {
		c.commitRecordBatch()
	}
}

// hasUserChanges tells whether users have submitted or cancelled jobs that are not written yet.
func (c *Core) hasUserChanges() bool {
	return c.requests.Users.HasSubmissions() || c.cancellation.Canceller.HasRequests()
}

// commitUserBatch commits new and cancelled jobs.
func (c *Core) commitUserBatch() {
	_, maxOps := c.commit.Limits.Budget()
	b := c.commit.ShardWriter.NewBatch(maxOps)
	c.requests.Users.WriteUserRequests(b)
	c.commit.Committer.SendUserBatch(b)
}

// commitRecordBatch commits what there is to write of jobs and machines.
func (c *Core) commitRecordBatch() {
	tokens, maxOps := c.commit.Limits.Budget()
	isPlanDue := c.ctx.Now.Monotonic >= c.scheduling.Plan.NextPlanTime()
	if maxOps < 1 || !isPlanDue && !c.hasUrgentChanges() {
		return
	}
	b := c.commit.ShardWriter.NewBatch(maxOps)
	c.commit.ShardWriter.ReencodeOversizedRecords(b)
	c.agents.Stopper.WriteGracefulStops(b)
	c.writeOwnershipChanges(b)
	// What can wait does so until the write limit allows a batch of a fair size: a record is then
	// written once for many tasks. A few tokens are left for users' requests.
	if isPlanDue && tokens >= max(c.commit.Limits.MinBatchOps(), c.scheduling.Plan.PendingGangOps()) {
		b.LimitOps(tokens - c.commit.Limits.ReservedUserTokens())
		c.writePlan(b)
	}
	c.commit.Committer.SendBatch(b, tokens)
}

// hasUrgentChanges tells whether there are changes that do not wait for the next plan.
func (c *Core) hasUrgentChanges() bool {
	return c.agents.Stopper.HasGracefulStops() ||
		len(c.agents.Table.AwaitingOwner()) > 0 ||
		c.ownership.Manager.HasExpiredOwners()
}

// writeOwnershipChanges writes changes of ownership into the batch: machines without an owner
// whose agents send heartbeats here, failovers, transfers.
func (c *Core) writeOwnershipChanges(b *commit.Batch) {
	hasExpiredOwners := c.ownership.Manager.HasExpiredOwners()
	c.ownership.Manager.WriteAdoptions(b)
	if hasExpiredOwners {
		c.ownership.Manager.WriteFailovers(b)
	}
	c.ownership.Transfers.AdvanceTransfers(b)
	c.requests.Operators.WriteOperatorRequests(b)
	if !hasExpiredOwners {
		c.ownership.Transfers.Rebalance(b)
	}
}

// writePlan writes the changes of owned machines and the next plan into the batch.
func (c *Core) writePlan(b *commit.Batch) {
	// A gang is written whole or not at all. One that did not fit into the last batch, behind
	// changes that come all the time, goes first in this one.
	gangFirst := c.scheduling.Plan.TakePendingGangOps() > 0
	if gangFirst {
		c.scheduling.Scheduler.PlacePendingJobs(b)
	}
	c.commit.ShardWriter.SplitShards(b)
	c.commit.ShardWriter.MergeShards(b)
	c.commit.ShardWriter.ConsolidateDoneTasks(b)
	reservedOps := 0
	if c.scheduling.Plan.HasPendingRemotePlacements() && c.commit.Committer.IsBatchPartial() {
		reservedOps = b.OpsLeft() / remoteOpsDivisor
	}
	b.ReserveOps(reservedOps)
	c.ownership.Manager.HandOffMachines(b)
	c.agents.Reconciler.WriteMachines(b)
	b.ReleaseOps(reservedOps)
	c.provisioning.Provisioner.RecordGrantedMachines(b)
	c.provisioning.Terminator.WriteTerminations(b)
	c.provisioning.Inventory.AdoptOrphanedInstances(b)
	if !gangFirst {
		c.scheduling.Scheduler.PlacePendingJobs(b)
	}
}
