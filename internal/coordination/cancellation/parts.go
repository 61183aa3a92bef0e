package cancellation

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
)

// Parts holds the parts of this package.
type Parts struct {
	Canceller *Canceller
}

// New returns the parts of this package. They can be used once Connect has connected them with the
// parts of other packages.
func New(ctx *step.Context) *Parts {
	return &Parts{Canceller: newCanceller(ctx)}
}

// Dependencies holds the parts of other packages that this package uses.
type Dependencies struct {
	Agents            *agents.Table
	Calls             *agents.Caller
	Committer         *commit.Committer
	Lease             *commit.Lease
	SuccessorElection SuccessorElection
	PeerNotifier      PeerNotifier
	Replication       *commit.Replication
	ForcedTerminator  ForcedTerminator
}

// Connect connects the parts with those of other packages.
func (p *Parts) Connect(dependencies Dependencies) {
	p.Canceller.agents = dependencies.Agents
	p.Canceller.calls = dependencies.Calls
	p.Canceller.committer = dependencies.Committer
	p.Canceller.lease = dependencies.Lease
	p.Canceller.successorElection = dependencies.SuccessorElection
	p.Canceller.peerNotifier = dependencies.PeerNotifier
	p.Canceller.replication = dependencies.Replication
	p.Canceller.forcedTerminator = dependencies.ForcedTerminator
}
