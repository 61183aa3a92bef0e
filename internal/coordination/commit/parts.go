package commit

import (
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
)

// Parts are the parts of this package, connected with each other.
type Parts struct {
	Store       *StoreHealth
	Lease       *Lease
	Replication *Replication
	Limits      *WriteLimiter
	Upgrade     *FormatUpgrade
	Commits     *Committer
	Shards      *ShardWriter
}

// New creates the parts. They can be used once they are connected with those of other packages.
func New(ctx *step.Context) *Parts {
	p := &Parts{
		Store:       &StoreHealth{Context: ctx},
		Lease:       &Lease{Context: ctx},
		Replication: &Replication{Context: ctx},
		Limits:      &WriteLimiter{Context: ctx},
		Upgrade:     newFormatUpgrade(ctx),
		Commits:     &Committer{Context: ctx},
		Shards:      newShardWriter(ctx),
	}
	p.Lease.store = p.Store
	p.Replication.lease = p.Lease
	p.Replication.limits = p.Limits
	p.Replication.store = p.Store
	p.Upgrade.commits = p.Commits
	p.Upgrade.lease = p.Lease
	p.Upgrade.limits = p.Limits
	p.Commits.lease = p.Lease
	p.Commits.limits = p.Limits
	p.Commits.replication = p.Replication
	p.Commits.shards = p.Shards
	p.Commits.store = p.Store
	p.Commits.upgrade = p.Upgrade
	p.Shards.commits = p.Commits
	p.Shards.lease = p.Lease
	p.Shards.limits = p.Limits
	return p
}

// Dependencies are what the parts ask of other packages.
type Dependencies struct {
	MachineTracker    MachineTracker
	StoreReports      StoreReports
	SuccessorElection SuccessorElection
	Catalog           *catalog.Catalog
	TransferTracker   TransferTracker
}

// Connect gives the parts what they ask of other packages.
func (p *Parts) Connect(d Dependencies) {
	p.Replication.agents = d.MachineTracker
	p.Replication.peers = d.StoreReports
	p.Upgrade.ownership = d.SuccessorElection
	p.Commits.agents = d.MachineTracker
	p.Shards.catalog = d.Catalog
	p.Shards.transfers = d.TransferTracker
}
