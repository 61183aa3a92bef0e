package scheduling

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
)

// Parts holds the parts of this package, connected with each other.
type Parts struct {
	Queue     *Queue
	Plan      *Plan
	Scheduler *Scheduler
	Services  *ServiceScheduler

	lister     *candidateLister
	contention *contentionTracker
	backfill   *backfillPlanner
	acquirer   *jobAcquirer
	gangs      *gangScheduler
	preemptor  *preemptor
}

// New returns the parts of this package. They can be used once Connect has connected them with the
// parts of other packages.
func New(ctx *step.Context) *Parts {
	parts := &Parts{
		Queue:      &Queue{Context: ctx},
		Plan:       &Plan{Context: ctx},
		Scheduler:  newScheduler(ctx),
		Services:   &ServiceScheduler{Context: ctx},
		lister:     &candidateLister{Context: ctx},
		contention: newContentionTracker(ctx),
		backfill:   &backfillPlanner{Context: ctx},
		acquirer:   &jobAcquirer{Context: ctx},
		gangs:      &gangScheduler{Context: ctx},
		preemptor:  &preemptor{Context: ctx},
	}
	parts.lister.queue = parts.Queue
	parts.contention.plan = parts.Plan
	parts.backfill.lister = parts.lister
	parts.Scheduler.acquirer = parts.acquirer
	parts.Scheduler.backfill = parts.backfill
	parts.Scheduler.lister = parts.lister
	parts.Scheduler.contention = parts.contention
	parts.Scheduler.gangs = parts.gangs
	parts.Scheduler.plan = parts.Plan
	parts.Scheduler.queue = parts.Queue
	parts.Scheduler.services = parts.Services
	parts.gangs.acquirer = parts.acquirer
	parts.gangs.lister = parts.lister
	parts.gangs.plan = parts.Plan
	parts.gangs.preemptor = parts.preemptor
	parts.gangs.queue = parts.Queue
	parts.gangs.scheduler = parts.Scheduler
	parts.Services.acquirer = parts.acquirer
	parts.Services.lister = parts.lister
	parts.Services.plan = parts.Plan
	parts.Services.preemptor = parts.preemptor
	parts.Services.queue = parts.Queue
	parts.Services.scheduler = parts.Scheduler
	parts.preemptor.gangs = parts.gangs
	return parts
}

// Dependencies holds the parts of other packages that this package uses.
type Dependencies struct {
	Catalog     *catalog.Catalog
	Agents      *agents.Table
	Lease       *commit.Lease
	Provisioner *provisioning.Provisioner
	Spot        *catalog.SpotPricing
	Terminator  *provisioning.Terminator
	Transfers   *ownership.Transfers
	Jobs        *agents.JobTable
	Limits      *commit.WriteLimiter
	Ownership   *ownership.Manager
	Committer   *commit.Committer
	Stopper     *agents.TaskStopper

	CancellationChecker CancellationChecker
}

// Connect connects the parts with those of other packages.
func (p *Parts) Connect(dependencies Dependencies) {
	p.Queue.catalog = dependencies.Catalog
	p.lister.agents = dependencies.Agents
	p.lister.catalog = dependencies.Catalog
	p.lister.lease = dependencies.Lease
	p.lister.provisioner = dependencies.Provisioner
	p.lister.spot = dependencies.Spot
	p.lister.terminator = dependencies.Terminator
	p.lister.transfers = dependencies.Transfers
	p.contention.catalog = dependencies.Catalog
	p.contention.provisioner = dependencies.Provisioner
	p.contention.spot = dependencies.Spot
	p.backfill.agents = dependencies.Agents
	p.backfill.catalog = dependencies.Catalog
	p.backfill.jobs = dependencies.Jobs
	p.acquirer.cancellations = dependencies.CancellationChecker
	p.acquirer.jobs = dependencies.Jobs
	p.acquirer.lease = dependencies.Lease
	p.acquirer.limits = dependencies.Limits
	p.acquirer.ownership = dependencies.Ownership
	p.Scheduler.catalog = dependencies.Catalog
	p.Scheduler.jobs = dependencies.Jobs
	p.Scheduler.lease = dependencies.Lease
	p.Scheduler.committer = dependencies.Committer
	p.gangs.catalog = dependencies.Catalog
	p.gangs.jobs = dependencies.Jobs
	p.gangs.limits = dependencies.Limits
	p.Services.agents = dependencies.Agents
	p.Services.catalog = dependencies.Catalog
	p.Services.jobs = dependencies.Jobs
	p.Services.lease = dependencies.Lease
	p.preemptor.agents = dependencies.Agents
	p.preemptor.lease = dependencies.Lease
	p.preemptor.limits = dependencies.Limits
	p.preemptor.stopper = dependencies.Stopper
}
