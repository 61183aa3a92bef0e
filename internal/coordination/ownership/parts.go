package ownership

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
)

// Parts holds the parts of this package, connected with each other.
type Parts struct {
	Peers     *Peers
	Overload  *OverloadDetector
	Manager   *Manager
	Transfers *Transfers
}

// New returns the parts of this package. They can be used once Connect has connected them with the
// parts of other packages.
func New(ctx *step.Context) *Parts {
	parts := &Parts{
		Peers:     newPeers(ctx),
		Overload:  &OverloadDetector{Context: ctx},
		Manager:   newManager(ctx),
		Transfers: newTransfers(ctx),
	}
	parts.Peers.ownership = parts.Manager
	parts.Manager.overload = parts.Overload
	parts.Manager.transfers = parts.Transfers
	parts.Transfers.overload = parts.Overload
	parts.Transfers.ownership = parts.Manager
	parts.Transfers.peers = parts.Peers
	return parts
}

// Dependencies holds the parts of other packages that this package uses.
type Dependencies struct {
	Cancellations *cancellation.Canceller
	Lease         *commit.Lease
	Misdirected   *agents.MisdirectedHeartbeats
	Replication   *commit.Replication
	Store         *commit.StoreHealth
	Agents        *agents.Table
	Limits        *commit.WriteLimiter
	ShardWriter   *commit.ShardWriter
}

// Connect connects the parts with those of other packages.
func (p *Parts) Connect(dependencies Dependencies) {
	p.Peers.cancellations = dependencies.Cancellations
	p.Peers.lease = dependencies.Lease
	p.Peers.misdirected = dependencies.Misdirected
	p.Peers.replication = dependencies.Replication
	p.Peers.store = dependencies.Store
	p.Manager.agents = dependencies.Agents
	p.Manager.lease = dependencies.Lease
	p.Manager.limits = dependencies.Limits
	p.Manager.shardWriter = dependencies.ShardWriter
	p.Transfers.agents = dependencies.Agents
	p.Transfers.cancellations = dependencies.Cancellations
	p.Transfers.lease = dependencies.Lease
	p.Transfers.shardWriter = dependencies.ShardWriter
}
