package scheduling

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
)

// Parts are the parts of placement, connected with each other.
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

// New makes the parts. They can be used once they are connected with those of other packages.
func New(ctx *step.Context) *Parts {
	p := &Parts{
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
	p.lister.queue = p.Queue
	p.contention.plan = p.Plan
	p.backfill.lister = p.lister
	p.Scheduler.acquirer = p.acquirer
	p.Scheduler.backfill = p.backfill
	p.Scheduler.lister = p.lister
	p.Scheduler.contention = p.contention
	p.Scheduler.gangs = p.gangs
	p.Scheduler.plan = p.Plan
	p.Scheduler.queue = p.Queue
	p.Scheduler.services = p.Services
	p.gangs.acquirer = p.acquirer
	p.gangs.lister = p.lister
	p.gangs.plan = p.Plan
	p.gangs.preemptor = p.preemptor
	p.gangs.queue = p.Queue
	p.gangs.scheduler = p.Scheduler
	p.Services.acquirer = p.acquirer
	p.Services.lister = p.lister
	p.Services.plan = p.Plan
	p.Services.preemptor = p.preemptor
	p.Services.queue = p.Queue
	p.Services.scheduler = p.Scheduler
	p.preemptor.gangs = p.gangs
	return p
}

// Dependencies are what the parts need of other packages.
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
}

// Connect gives the parts what they need of other packages.
func (p *Parts) Connect(d Dependencies) {
	p.Queue.catalog = d.Catalog
	p.lister.agents = d.Agents
	p.lister.catalog = d.Catalog
	p.lister.lease = d.Lease
	p.lister.provisioner = d.Provisioner
	p.lister.spot = d.Spot
	p.lister.terminator = d.Terminator
	p.lister.transfers = d.Transfers
	p.contention.catalog = d.Catalog
	p.contention.provisioner = d.Provisioner
	p.contention.spot = d.Spot
	p.backfill.agents = d.Agents
	p.backfill.catalog = d.Catalog
	p.backfill.jobs = d.Jobs
	p.acquirer.jobs = d.Jobs
	p.acquirer.lease = d.Lease
	p.acquirer.limits = d.Limits
	p.acquirer.ownership = d.Ownership
	p.Scheduler.catalog = d.Catalog
	p.Scheduler.jobs = d.Jobs
	p.Scheduler.lease = d.Lease
	p.Scheduler.committer = d.Committer
	p.gangs.catalog = d.Catalog
	p.gangs.jobs = d.Jobs
	p.gangs.limits = d.Limits
	p.Services.agents = d.Agents
	p.Services.catalog = d.Catalog
	p.Services.jobs = d.Jobs
	p.Services.lease = d.Lease
	p.preemptor.agents = d.Agents
	p.preemptor.lease = d.Lease
	p.preemptor.limits = d.Limits
	p.preemptor.stopper = d.Stopper
}
