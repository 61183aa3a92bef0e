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
func (p *Parts) Connect(dependencies Dependencies) {
	p.Canceller.agents = dependencies.Agents
	p.Canceller.calls = dependencies.Calls
	p.Canceller.committer = dependencies.Committer
	p.Canceller.lease = dependencies.Lease
	p.Canceller.limits = dependencies.Limits
	p.Canceller.successorElection = dependencies.SuccessorElection
	p.Canceller.peerNotifier = dependencies.PeerNotifier
	p.Canceller.replication = dependencies.Replication
	p.Canceller.forcedTerminator = dependencies.ForcedTerminator
}
