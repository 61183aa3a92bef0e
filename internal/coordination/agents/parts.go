package agents

import (
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
)

// Parts holds the parts of this package, connected with each other.
type Parts struct {
	Table       *Table
	Misdirected *MisdirectedHeartbeats
	Heartbeats  *HeartbeatHandler
	Calls       *Caller
	Reconciler  *Reconciler
	Stopper     *TaskStopper
	Monitor     *Monitor
	Jobs        *JobTable
}

// New returns the parts of this package. They can be used once Connect has connected them with the
// parts of other packages.
func New(ctx *step.Context) *Parts {
	parts := &Parts{
		Table:       newTable(ctx),
		Misdirected: newMisdirectedHeartbeats(ctx),
		Heartbeats:  &HeartbeatHandler{Context: ctx},
		Calls:       &Caller{Context: ctx},
		Reconciler:  &Reconciler{Context: ctx},
		Stopper:     newTaskStopper(ctx),
		Monitor:     &Monitor{Context: ctx},
		Jobs:        newJobTable(ctx),
	}
	parts.Misdirected.calls = parts.Calls
	parts.Heartbeats.agents = parts.Table
	parts.Heartbeats.calls = parts.Calls
	parts.Heartbeats.jobs = parts.Jobs
	parts.Heartbeats.misdirected = parts.Misdirected
	parts.Calls.agents = parts.Table
	parts.Calls.misdirected = parts.Misdirected
	parts.Reconciler.agents = parts.Table
	parts.Reconciler.jobs = parts.Jobs
	parts.Stopper.agents = parts.Table
	parts.Stopper.calls = parts.Calls
	parts.Stopper.heartbeats = parts.Heartbeats
	parts.Stopper.jobs = parts.Jobs
	parts.Monitor.agents = parts.Table
	parts.Monitor.calls = parts.Calls
	parts.Monitor.jobs = parts.Jobs
	parts.Monitor.stopper = parts.Stopper
	return parts
}

// Dependencies holds the parts of other packages that this package uses.
type Dependencies struct {
	Catalog             *catalog.Catalog
	RemovalRecorder     RemovalRecorder
	CancellationChecker CancellationChecker
	Lease               *commit.Lease
	PlacementForecast   PlacementForecast
	Replication         *commit.Replication
	QuiesceChecker      QuiesceChecker
	Committer           *commit.Committer
	ShardWriter         *commit.ShardWriter
	TerminationChecker  TerminationChecker
	ScaleInEvaluator    ScaleInEvaluator
}

// Connect connects the parts with those of other packages.
func (p *Parts) Connect(dependencies Dependencies) {
	p.Table.catalog = dependencies.Catalog
	p.Table.removals = dependencies.RemovalRecorder
	p.Heartbeats.cancellations = dependencies.CancellationChecker
	p.Heartbeats.catalog = dependencies.Catalog
	p.Heartbeats.lease = dependencies.Lease
	p.Heartbeats.forecast = dependencies.PlacementForecast
	p.Heartbeats.replication = dependencies.Replication
	p.Heartbeats.transfers = dependencies.QuiesceChecker
	p.Calls.lease = dependencies.Lease
	p.Reconciler.committer = dependencies.Committer
	p.Reconciler.cancellations = dependencies.CancellationChecker
	p.Reconciler.shards = dependencies.ShardWriter
	p.Reconciler.terminations = dependencies.TerminationChecker
	p.Stopper.cancellations = dependencies.CancellationChecker
	p.Monitor.shards = dependencies.ShardWriter
	p.Monitor.scaleIn = dependencies.ScaleInEvaluator
}
