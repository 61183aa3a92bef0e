package coordination

import "tillerarch/internal/coordination/commit"

// remoteOpsDivisor determines how many operations of a batch are reserved for shards of other
// controllers while tasks of owned jobs are planned there: one in remoteOpsDivisor. Without the
// reservation, changes of owned shards would fill every batch.
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

// hasUserChanges reports whether users have submitted or cancelled jobs that are not written yet.
func (c *Core) hasUserChanges() bool {
	return c.requests.Users.HasSubmissions() || c.cancellation.Canceller.HasRequests()
}

// commitUserBatch commits new and cancelled jobs.
func (c *Core) commitUserBatch() {
	_, maxOps := c.commit.Limits.Budget()
	batch := c.commit.ShardWriter.NewBatch(maxOps)
	c.requests.Users.WriteUserRequests(batch)
	c.commit.Committer.SendUserBatch(batch)
}

// commitRecordBatch commits the pending changes of jobs, machines and shards.
func (c *Core) commitRecordBatch() {
	tokens, maxOps := c.commit.Limits.Budget()
	isPlanDue := c.ctx.Now.Monotonic >= c.scheduling.Plan.NextPlanTime()
	if maxOps < 1 || !isPlanDue && !c.hasUrgentChanges() {
		return
	}
	batch := c.commit.ShardWriter.NewBatch(maxOps)
	c.commit.ShardWriter.RewriteOversizedRecords(batch)
	c.agents.Stopper.WriteGracefulStops(batch)
	c.writeOwnershipChanges(batch)
	// Changes that are not urgent wait until the write limit allows a batch of at least MinBatchOps or
	// PendingGangOps, whichever is larger, so that a record is written once for many tasks. A few
	// tokens are left for users' requests.
	if isPlanDue && tokens >= max(c.commit.Limits.MinBatchOps(), c.scheduling.Plan.PendingGangOps()) {
		batch.LimitOps(tokens - c.commit.Limits.ReservedUserTokens())
		c.writePlan(batch)
	}
	c.commit.Committer.SendBatch(batch, tokens)
}

// hasUrgentChanges reports whether there are changes that do not wait for the next plan.
func (c *Core) hasUrgentChanges() bool {
	return c.agents.Stopper.HasGracefulStops() ||
		len(c.agents.Table.AwaitingOwner()) > 0 ||
		c.ownership.Manager.HasExpiredOwners()
}

// writeOwnershipChanges writes changes of ownership into the batch: adoptions of machines without an
// owner whose agents send heartbeats to this controller, failovers and transfers.
func (c *Core) writeOwnershipChanges(batch *commit.Batch) {
	hasExpiredOwners := c.ownership.Manager.HasExpiredOwners()
	c.ownership.Manager.WriteAdoptions(batch)
	if hasExpiredOwners {
		c.ownership.Manager.WriteFailovers(batch)
	}
	c.ownership.Transfers.AdvanceTransfers(batch)
	c.requests.Operators.WriteOperatorRequests(batch)
	if !hasExpiredOwners {
		c.ownership.Transfers.Rebalance(batch)
	}
}

// writePlan writes the changes of owned machines and the next plan into the batch.
func (c *Core) writePlan(batch *commit.Batch) {
	// A gang is written completely or not at all. A gang that did not fit into the last batch, because
	// a steady stream of other changes came before it, is written first into this batch.
	placesGangFirst := c.scheduling.Plan.TakePendingGangOps() > 0
	if placesGangFirst {
		c.scheduling.Scheduler.PlacePendingJobs(batch)
	}
	c.commit.ShardWriter.SplitShards(batch)
	c.commit.ShardWriter.MergeShards(batch)
	c.commit.ShardWriter.ConsolidateCompletedTasks(batch)
	reservedOps := 0
	if c.scheduling.Plan.HasPendingRemotePlacements() && c.commit.Committer.IsBatchPartial() {
		reservedOps = batch.OpsLeft() / remoteOpsDivisor
	}
	batch.ReserveOps(reservedOps)
	c.ownership.Manager.HandOffMachines(batch)
	c.agents.Reconciler.WriteMachines(batch)
	batch.ReleaseOps(reservedOps)
	c.provisioning.Provisioner.RecordGrantedMachines(batch)
	c.provisioning.Terminator.WriteTerminations(batch)
	c.provisioning.Inventory.AdoptOrphanedInstances(batch)
	if !placesGangFirst {
		c.scheduling.Scheduler.PlacePendingJobs(batch)
	}
}
