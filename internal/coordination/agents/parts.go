package agents

import (
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
)

// Parts are the parts of this package, connected with each other.
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

// New makes the parts. They can be used once they are connected with those of other packages.
func New(ctx *step.Context) *Parts {
	p := &Parts{
		Table:       newTable(ctx),
		Misdirected: newMisdirectedHeartbeats(ctx),
		Heartbeats:  &HeartbeatHandler{Context: ctx},
		Calls:       &Caller{Context: ctx},
		Reconciler:  &Reconciler{Context: ctx},
		Stopper:     newTaskStopper(ctx),
		Monitor:     &Monitor{Context: ctx},
		Jobs:        newJobTable(ctx),
	}
	p.Misdirected.calls = p.Calls
	p.Heartbeats.agents = p.Table
	p.Heartbeats.calls = p.Calls
	p.Heartbeats.jobs = p.Jobs
	p.Heartbeats.misdirected = p.Misdirected
	p.Calls.agents = p.Table
	p.Calls.misdirected = p.Misdirected
	p.Reconciler.agents = p.Table
	p.Reconciler.jobs = p.Jobs
	p.Stopper.calls = p.Calls
	p.Stopper.heartbeats = p.Heartbeats
	p.Stopper.jobs = p.Jobs
	p.Monitor.agents = p.Table
	p.Monitor.calls = p.Calls
	p.Monitor.jobs = p.Jobs
	p.Monitor.stopper = p.Stopper
	return p
}

// Dependencies are what the parts need of other packages.
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

// Connect gives the parts what they need of other packages.
func (p *Parts) Connect(d Dependencies) {
	p.Table.catalog = d.Catalog
	p.Table.removals = d.RemovalRecorder
	p.Heartbeats.cancellations = d.CancellationChecker
	p.Heartbeats.catalog = d.Catalog
	p.Heartbeats.lease = d.Lease
	p.Heartbeats.forecast = d.PlacementForecast
	p.Heartbeats.replication = d.Replication
	p.Heartbeats.transfers = d.QuiesceChecker
	p.Calls.lease = d.Lease
	p.Reconciler.committer = d.Committer
	p.Reconciler.cancellations = d.CancellationChecker
	p.Reconciler.shards = d.ShardWriter
	p.Reconciler.terminations = d.TerminationChecker
	p.Stopper.cancellations = d.CancellationChecker
	p.Monitor.shards = d.ShardWriter
	p.Monitor.scaleIn = d.ScaleInEvaluator
}
