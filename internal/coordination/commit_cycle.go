package coordination

import (
	"tillerarch/internal/coordination/commit"
)

// commitBatch sends the next transaction if there is something to write.
func (c *Core) commitBatch() {
	c.commitUserBatch()
	if c.commits.PendingTransaction != nil || !c.replication.IsLoaded || c.Now.Monotonic < c.commits.NextCommitAt || c.lease.ID == 0 {
		return
	}
	if c.Replica.Revision < c.replication.MinRevision && c.Since(c.replication.MinRevisionSince) < commit.MinRevisionTimeout {
		return
	}
	switch {
	case !c.lease.IsRegistered():
		c.commits.Register()
	case c.commits.OutcomeUnknown:
		c.commits.SendWriteBarrier()
	case c.Replica.Revision < c.replication.MinRevision || c.upgrade.TryRaiseFormat():
	default:
		c.commitRecordBatch()
	}
}

// commitRecordBatch sends what there is to write of jobs and machines.
func (c *Core) commitRecordBatch() {
	tokens := int(c.limits.WriteLimiter.TokensAt(c.LimiterTime()))
	maxOps := min(tokens, c.limits.MaxTransactionOps)
	if maxOps < 1 {
		return
	}
	if len(c.stopper.GracefulStops)+len(c.agents.AwaitingOwner)+len(c.ownership.ExpiredAt) == 0 && c.Now.Monotonic < c.plan.NextPlanTime() {
		return
	}
	b := c.shards.NewBatch(maxOps)
	c.shards.ReencodeOversized(b)
	c.stopper.WriteGracefulStops(b)
	c.writeOwnershipChanges(b)
	// What can wait does so until a fair batch can be paid for: a record is then
	// written once for many tasks, instead of with each of them. What users ask
	// for does not wait behind it: a few tokens are left for them.
	minBatchOps := min(c.limits.WriteLimits().TransactionOps, int(c.limits.WriteLimits().WritesPerSecond*c.Config.WriteBudgetShare/2))
	if tokens >= max(minBatchOps, c.plan.PendingGangOps) && c.Now.Monotonic >= c.plan.NextPlanTime() {
		b.OpsLeft = min(b.OpsLeft, tokens-c.limits.ReservedUserTokens())
		c.writePlan(b)
	}
	c.commits.SendBatch(b, tokens)
}

// writePlan puts the news of own machines and the next plan into the transaction.
func (c *Core) writePlan(b *commit.Batch) {
	// A gang is written whole or not at all. One that found no room behind
	// what ends all the time goes first the next time.
	gangFirst := c.plan.PendingGangOps > 0
	c.plan.PendingGangOps = 0
	if gangFirst {
		c.scheduler.PlacePendingJobs(b)
	}
	c.shards.SplitShards(b)
	c.shards.MergeShards(b)
	c.shards.ConsolidateDoneTasks(b)
	// Own pages have news all the time; some room is left for others' pages, or what
	// is free there would wait for ever.
	reservedOps := 0
	if c.plan.HasPendingRemotePlacements && c.commits.IsPartial {
		reservedOps = b.OpsLeft / 4
	}
	b.OpsLeft -= reservedOps
	c.ownership.HandOffMachines(b)
	c.reconciler.WriteMachines(b)
	b.OpsLeft += reservedOps
	c.provisioner.RecordGrantedMachines(b)
	c.terminator.WriteTerminations(b)
	c.inventory.AdoptOrphanedInstances(b)
	if !gangFirst {
		c.scheduler.PlacePendingJobs(b)
	}
}

// commitUserBatch sends new and withdrawn jobs.
func (c *Core) commitUserBatch() {
	if c.commits.PendingUserTransaction != nil || !c.replication.IsLoaded || c.Now.Monotonic < c.commits.NextUserCommitAt || c.lease.ID == 0 || !c.lease.IsRegistered() || c.commits.OutcomeUnknown || c.Replica.Revision < c.replication.MinRevision ||
		len(c.users.Submissions)+len(c.cancellations.RequestedAt) == 0 {
		return
	}
	b := c.shards.NewBatch(min(int(c.limits.WriteLimiter.TokensAt(c.LimiterTime())), c.limits.MaxTransactionOps))
	if c.users.WriteUserRequests(b); b.IsEmpty() {
		return
	}
	transaction := b.Transaction()
	transaction.Conditions = append(transaction.Conditions, c.commits.RegistrationCondition())
	if c.commits.EnforceWriteLimits(&transaction) && c.limits.TakeWriteTokens(len(transaction.Operations)) {
		c.commits.SendTransaction(&commit.PendingTransaction{Transaction: transaction, LogsOnApply: b.LogsOnApply, IsUserBatch: true})
	}
}
