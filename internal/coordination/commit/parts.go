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
	Committer   *Committer
	ShardWriter *ShardWriter
}

// New creates the parts. They can be used once they are connected with those of other packages.
func New(ctx *step.Context) *Parts {
	p := &Parts{
		Store:       &StoreHealth{Context: ctx},
		Lease:       &Lease{Context: ctx},
		Replication: &Replication{Context: ctx},
		Limits:      &WriteLimiter{Context: ctx},
		Upgrade:     newFormatUpgrade(ctx),
		Committer:   &Committer{Context: ctx},
		ShardWriter: newShardWriter(ctx),
	}
	p.Lease.store = p.Store
	p.Replication.lease = p.Lease
	p.Replication.limits = p.Limits
	p.Replication.store = p.Store
	p.Upgrade.committer = p.Committer
	p.Upgrade.lease = p.Lease
	p.Upgrade.limits = p.Limits
	p.Committer.lease = p.Lease
	p.Committer.limits = p.Limits
	p.Committer.replication = p.Replication
	p.Committer.shards = p.ShardWriter
	p.Committer.store = p.Store
	p.Committer.upgrade = p.Upgrade
	p.ShardWriter.committer = p.Committer
	p.ShardWriter.lease = p.Lease
	p.ShardWriter.limits = p.Limits
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
	p.Upgrade.election = d.SuccessorElection
	p.ShardWriter.catalog = d.Catalog
	p.ShardWriter.transfers = d.TransferTracker
}
