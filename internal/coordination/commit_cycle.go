package coordination

import (
	"tillerarch/internal/coordination/commit"
)

// commitBatch sends the next transaction if there is something to write.
func (c *Core) commitBatch() {
	c.commitUserBatch()
	if c.commit.Commits.PendingTransaction != nil || !c.commit.Replication.IsLoaded || c.Now.Monotonic < c.commit.Commits.NextCommitAt || c.commit.Lease.ID == 0 {
		return
	}
	if c.Replica.Revision < c.commit.Replication.MinRevision && c.Since(c.commit.Replication.MinRevisionSince) < commit.MinRevisionTimeout {
		return
	}
	switch {
	case !c.commit.Lease.IsRegistered():
		c.commit.Commits.Register()
	case c.commit.Commits.OutcomeUnknown:
		c.commit.Commits.SendWriteBarrier()
	case c.Replica.Revision < c.commit.Replication.MinRevision || c.commit.Upgrade.TryRaiseFormat():
	default:
		c.commitRecordBatch()
	}
}

// commitRecordBatch sends what there is to write of jobs and machines.
func (c *Core) commitRecordBatch() {
	tokens := int(c.commit.Limits.WriteLimiter.TokensAt(c.LimiterTime()))
	maxOps := min(tokens, c.commit.Limits.MaxTransactionOps)
	if maxOps < 1 {
		return
	}
	if len(c.agents.Stopper.GracefulStops)+len(c.agents.Table.AwaitingOwner)+len(c.ownership.Manager.ExpiredAt) == 0 && c.Now.Monotonic < c.scheduling.Plan.NextPlanTime() {
		return
	}
	b := c.commit.Shards.NewBatch(maxOps)
	c.commit.Shards.ReencodeOversized(b)
	c.agents.Stopper.WriteGracefulStops(b)
	c.writeOwnershipChanges(b)
	// What can wait does so until a fair batch can be paid for: a record is then
	// written once for many tasks, instead of with each of them. What users ask
	// for does not wait behind it: a few tokens are left for them.
	minBatchOps := min(c.commit.Limits.WriteLimits().TransactionOps, int(c.commit.Limits.WriteLimits().WritesPerSecond*c.Config.WriteBudgetShare/2))
	if tokens >= max(minBatchOps, c.scheduling.Plan.PendingGangOps) && c.Now.Monotonic >= c.scheduling.Plan.NextPlanTime() {
		b.OpsLeft = min(b.OpsLeft, tokens-c.commit.Limits.ReservedUserTokens())
		c.writePlan(b)
	}
	c.commit.Commits.SendBatch(b, tokens)
}

// writePlan puts the news of own machines and the next plan into the transaction.
func (c *Core) writePlan(b *commit.Batch) {
	// A gang is written whole or not at all. One that found no room behind
	// what ends all the time goes first the next time.
	gangFirst := c.scheduling.Plan.PendingGangOps > 0
	c.scheduling.Plan.PendingGangOps = 0
	if gangFirst {
		c.scheduling.Scheduler.PlacePendingJobs(b)
	}
	c.commit.Shards.SplitShards(b)
	c.commit.Shards.MergeShards(b)
	c.commit.Shards.ConsolidateDoneTasks(b)
	// Own pages have news all the time; some room is left for others' pages, or what
	// is free there would wait for ever.
	reservedOps := 0
	if c.scheduling.Plan.HasPendingRemotePlacements && c.commit.Commits.IsPartial {
		reservedOps = b.OpsLeft / 4
	}
	b.OpsLeft -= reservedOps
	c.ownership.Manager.HandOffMachines(b)
	c.agents.Reconciler.WriteMachines(b)
	b.OpsLeft += reservedOps
	c.provisioning.Provisioner.RecordGrantedMachines(b)
	c.provisioning.Terminator.WriteTerminations(b)
	c.provisioning.Inventory.AdoptOrphanedInstances(b)
	if !gangFirst {
		c.scheduling.Scheduler.PlacePendingJobs(b)
	}
}

// commitUserBatch sends new and withdrawn jobs.
func (c *Core) commitUserBatch() {
	if c.commit.Commits.PendingUserTransaction != nil || !c.commit.Replication.IsLoaded || c.Now.Monotonic < c.commit.Commits.NextUserCommitAt || c.commit.Lease.ID == 0 || !c.commit.Lease.IsRegistered() || c.commit.Commits.OutcomeUnknown || c.Replica.Revision < c.commit.Replication.MinRevision ||
		len(c.requests.Users.Submissions)+len(c.cancellation.Canceller.RequestedAt) == 0 {
		return
	}
	b := c.commit.Shards.NewBatch(min(int(c.commit.Limits.WriteLimiter.TokensAt(c.LimiterTime())), c.commit.Limits.MaxTransactionOps))
	if c.requests.Users.WriteUserRequests(b); b.IsEmpty() {
		return
	}
	transaction := b.Transaction()
	transaction.Conditions = append(transaction.Conditions, c.commit.Commits.RegistrationCondition())
	if c.commit.Commits.EnforceWriteLimits(&transaction) && c.commit.Limits.TakeWriteTokens(len(transaction.Operations)) {
		c.commit.Commits.SendTransaction(&commit.PendingTransaction{Transaction: transaction, LogsOnApply: b.LogsOnApply, IsUserBatch: true})
	}
}
