package commit

import (
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
)

// Parts holds the parts of this package, connected with each other.
type Parts struct {
	Store       *StoreHealth
	Lease       *Lease
	Replication *Replication
	Limits      *WriteLimiter
	Upgrade     *FormatUpgrade
	Committer   *Committer
	ShardWriter *ShardWriter
}

// New returns the parts of this package. They can be used once Connect has connected them with the
// parts of other packages.
func New(ctx *step.Context) *Parts {
	parts := &Parts{
		Store:       &StoreHealth{Context: ctx},
		Lease:       &Lease{Context: ctx},
		Replication: &Replication{Context: ctx},
		Limits:      &WriteLimiter{Context: ctx},
		Upgrade:     newFormatUpgrade(ctx),
		Committer:   &Committer{Context: ctx},
		ShardWriter: newShardWriter(ctx),
	}
	parts.Lease.store = parts.Store
	parts.Replication.lease = parts.Lease
	parts.Replication.limits = parts.Limits
	parts.Replication.store = parts.Store
	parts.Upgrade.committer = parts.Committer
	parts.Upgrade.lease = parts.Lease
	parts.Upgrade.limits = parts.Limits
	parts.Committer.lease = parts.Lease
	parts.Committer.limits = parts.Limits
	parts.Committer.replication = parts.Replication
	parts.Committer.shards = parts.ShardWriter
	parts.Committer.store = parts.Store
	parts.Committer.upgrade = parts.Upgrade
	parts.ShardWriter.committer = parts.Committer
	parts.ShardWriter.lease = parts.Lease
	parts.ShardWriter.limits = parts.Limits
	return parts
}

// Dependencies holds the parts of other packages that this package uses.
type Dependencies struct {
	MachineTracker    MachineTracker
	StoreReports      StoreReports
	SuccessorElection SuccessorElection
	Catalog           *catalog.Catalog
	TransferTracker   TransferTracker
}

// Connect connects the parts with those of other packages.
func (p *Parts) Connect(dependencies Dependencies) {
	p.Replication.agents = dependencies.MachineTracker
	p.Replication.peers = dependencies.StoreReports
	p.Upgrade.election = dependencies.SuccessorElection
	p.ShardWriter.catalog = dependencies.Catalog
	p.ShardWriter.election = dependencies.SuccessorElection
	p.ShardWriter.transfers = dependencies.TransferTracker
}
