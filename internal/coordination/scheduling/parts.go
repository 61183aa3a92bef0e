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
	Queue      *Queue
	Capacity   *CandidateLister
	Contention *ContentionTracker
	Backfill   *Backfill
	Plan       *Plan
	Acquirer   *JobAcquirer
	Scheduler  *Scheduler
	Gangs      *GangScheduler
	Services   *ServiceScheduler
	Preemption *Preemptor
}

// New makes the parts. They can be used once they are connected with those of other packages.
func New(ctx *step.Context) *Parts {
	p := &Parts{
		Queue:      &Queue{Context: ctx},
		Capacity:   &CandidateLister{Context: ctx},
		Contention: NewContentionTracker(ctx),
		Backfill:   &Backfill{Context: ctx},
		Plan:       &Plan{Context: ctx},
		Acquirer:   &JobAcquirer{Context: ctx},
		Scheduler:  NewScheduler(ctx),
		Gangs:      &GangScheduler{Context: ctx},
		Services:   &ServiceScheduler{Context: ctx},
		Preemption: &Preemptor{Context: ctx},
	}
	p.Capacity.queue = p.Queue
	p.Contention.plan = p.Plan
	p.Backfill.capacity = p.Capacity
	p.Scheduler.acquirer = p.Acquirer
	p.Scheduler.backfill = p.Backfill
	p.Scheduler.capacity = p.Capacity
	p.Scheduler.contention = p.Contention
	p.Scheduler.gangs = p.Gangs
	p.Scheduler.plan = p.Plan
	p.Scheduler.queue = p.Queue
	p.Scheduler.services = p.Services
	p.Gangs.acquirer = p.Acquirer
	p.Gangs.capacity = p.Capacity
	p.Gangs.plan = p.Plan
	p.Gangs.preemption = p.Preemption
	p.Gangs.queue = p.Queue
	p.Gangs.scheduler = p.Scheduler
	p.Services.acquirer = p.Acquirer
	p.Services.capacity = p.Capacity
	p.Services.plan = p.Plan
	p.Services.preemption = p.Preemption
	p.Services.queue = p.Queue
	p.Services.scheduler = p.Scheduler
	p.Preemption.gangs = p.Gangs
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
	Commits     *commit.Committer
	Stopper     *agents.TaskStopper
}

// Connect gives the parts what they need of other packages.
func (p *Parts) Connect(d Dependencies) {
	p.Queue.catalog = d.Catalog
	p.Capacity.agents = d.Agents
	p.Capacity.catalog = d.Catalog
	p.Capacity.lease = d.Lease
	p.Capacity.provisioner = d.Provisioner
	p.Capacity.spot = d.Spot
	p.Capacity.terminator = d.Terminator
	p.Capacity.transfers = d.Transfers
	p.Contention.catalog = d.Catalog
	p.Contention.provisioner = d.Provisioner
	p.Contention.spot = d.Spot
	p.Backfill.agents = d.Agents
	p.Backfill.catalog = d.Catalog
	p.Backfill.jobs = d.Jobs
	p.Acquirer.jobs = d.Jobs
	p.Acquirer.lease = d.Lease
	p.Acquirer.limits = d.Limits
	p.Acquirer.ownership = d.Ownership
	p.Scheduler.catalog = d.Catalog
	p.Scheduler.jobs = d.Jobs
	p.Scheduler.lease = d.Lease
	p.Scheduler.commits = d.Commits
	p.Gangs.catalog = d.Catalog
	p.Gangs.jobs = d.Jobs
	p.Gangs.limits = d.Limits
	p.Services.agents = d.Agents
	p.Services.catalog = d.Catalog
	p.Services.jobs = d.Jobs
	p.Services.lease = d.Lease
	p.Preemption.agents = d.Agents
	p.Preemption.lease = d.Lease
	p.Preemption.limits = d.Limits
	p.Preemption.stopper = d.Stopper
}
