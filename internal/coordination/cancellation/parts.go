package cancellation

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
)

// Parts are the parts of cancellations, connected with each other.
type Parts struct {
	Canceller *Canceller
}

// New makes the parts. They can be used once they are connected with those of other packages.
func New(ctx *step.Context) *Parts {
	return &Parts{Canceller: newCanceller(ctx)}
}

// Dependencies are what the parts need of other packages.
type Dependencies struct {
	Agents            *agents.Table
	Calls             *agents.Caller
	Committer         *commit.Committer
	Lease             *commit.Lease
	Limits            *commit.WriteLimiter
	SuccessorElection SuccessorElection
	PeerNotifier      PeerNotifier
	Replication       *commit.Replication
	ForcedTerminator  ForcedTerminator
}

// Connect gives the parts what they need of other packages.
func (p *Parts) Connect(d Dependencies) {
	p.Canceller.agents = d.Agents
	p.Canceller.calls = d.Calls
	p.Canceller.committer = d.Committer
	p.Canceller.lease = d.Lease
	p.Canceller.limits = d.Limits
	p.Canceller.successorElection = d.SuccessorElection
	p.Canceller.peerNotifier = d.PeerNotifier
	p.Canceller.replication = d.Replication
	p.Canceller.forcedTerminator = d.ForcedTerminator
}
