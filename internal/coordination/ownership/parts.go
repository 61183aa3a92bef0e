package ownership

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
)

// Parts are the parts of the ownership of shards, connected with each other.
type Parts struct {
	Peers     *Peers
	Overload  *OverloadDetector
	Manager   *Manager
	Transfers *Transfers
}

// New makes the parts. They can be used once they are connected with those of other packages.
func New(ctx *step.Context) *Parts {
	p := &Parts{
		Peers:     newPeers(ctx),
		Overload:  &OverloadDetector{Context: ctx},
		Manager:   newManager(ctx),
		Transfers: newTransfers(ctx),
	}
	p.Peers.ownership = p.Manager
	p.Manager.overload = p.Overload
	p.Manager.transfers = p.Transfers
	p.Transfers.overload = p.Overload
	p.Transfers.ownership = p.Manager
	p.Transfers.peers = p.Peers
	return p
}

// Dependencies are what the parts need of other packages.
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

// Connect gives the parts what they need of other packages.
func (p *Parts) Connect(d Dependencies) {
	p.Peers.cancellations = d.Cancellations
	p.Peers.lease = d.Lease
	p.Peers.misdirected = d.Misdirected
	p.Peers.replication = d.Replication
	p.Peers.store = d.Store
	p.Manager.agents = d.Agents
	p.Manager.lease = d.Lease
	p.Manager.limits = d.Limits
	p.Manager.shardWriter = d.ShardWriter
	p.Transfers.agents = d.Agents
	p.Transfers.cancellations = d.Cancellations
	p.Transfers.lease = d.Lease
	p.Transfers.shardWriter = d.ShardWriter
}
