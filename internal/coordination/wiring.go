package coordination

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/scheduling"
)

// connectParts passes to each package the parts of other packages that it depends on.
func (c *Core) connectParts() {
	c.commit.Connect(commit.Dependencies{
		MachineTracker:    c.agents.Table,
		StoreReports:      c.ownership.Peers,
		SuccessorElection: c.ownership.Manager,
		Catalog:           c.catalog.Catalog,
		TransferTracker:   c.ownership.Transfers,
	})
	c.agents.Connect(agents.Dependencies{
		Catalog:             c.catalog.Catalog,
		RemovalRecorder:     c.provisioning.Terminator,
		CancellationChecker: c.cancellation.Canceller,
		Lease:               c.commit.Lease,
		PlacementForecast:   c.scheduling.Plan,
		Replication:         c.commit.Replication,
		QuiesceChecker:      c.ownership.Transfers,
		Committer:           c.commit.Committer,
		ShardWriter:         c.commit.ShardWriter,
		TerminationChecker:  c.provisioning.Terminator,
		ScaleInEvaluator:    c.provisioning.Terminator,
	})
	c.cancellation.Connect(cancellation.Dependencies{
		Agents:            c.agents.Table,
		Calls:             c.agents.Calls,
		Committer:         c.commit.Committer,
		Lease:             c.commit.Lease,
		SuccessorElection: c.ownership.Manager,
		PeerNotifier:      c.ownership.Peers,
		Replication:       c.commit.Replication,
		ForcedTerminator:  c.provisioning.Terminator,
	})
	c.ownership.Connect(ownership.Dependencies{
		Cancellations: c.cancellation.Canceller,
		Lease:         c.commit.Lease,
		Misdirected:   c.agents.Misdirected,
		Replication:   c.commit.Replication,
		Store:         c.commit.Store,
		Agents:        c.agents.Table,
		Limits:        c.commit.Limits,
		ShardWriter:   c.commit.ShardWriter,
	})
	c.provisioning.Connect(provisioning.Dependencies{
		Ownership:      c.ownership.Manager,
		Replication:    c.commit.Replication,
		Catalog:        c.catalog.Catalog,
		Lease:          c.commit.Lease,
		DemandSource:   c.scheduling.Plan,
		Spot:           c.catalog.Spot,
		Agents:         c.agents.Table,
		Cancellations:  c.cancellation.Canceller,
		PlanUseChecker: c.scheduling.Plan,
		IdlePolicy:     c.scheduling.Scheduler,
	})
	c.scheduling.Connect(scheduling.Dependencies{
		Catalog:     c.catalog.Catalog,
		Agents:      c.agents.Table,
		Lease:       c.commit.Lease,
		Provisioner: c.provisioning.Provisioner,
		Spot:        c.catalog.Spot,
		Terminator:  c.provisioning.Terminator,
		Transfers:   c.ownership.Transfers,
		Jobs:        c.agents.Jobs,
		Limits:      c.commit.Limits,
		Ownership:   c.ownership.Manager,
		Committer:   c.commit.Committer,
		Stopper:     c.agents.Stopper,

		CancellationChecker: c.cancellation.Canceller,
	})
	c.requests.Connect(requests.Dependencies{
		Lease:         c.commit.Lease,
		Overload:      c.ownership.Overload,
		Replication:   c.commit.Replication,
		Transfers:     c.ownership.Transfers,
		Cancellations: c.cancellation.Canceller,
		Catalog:       c.catalog.Catalog,
		Limits:        c.commit.Limits,
		Store:         c.commit.Store,
	})
}
