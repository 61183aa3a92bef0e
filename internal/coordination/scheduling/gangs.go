package scheduling

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// gangScheduler places gangs: all tasks of a job or none.
type gangScheduler struct {
	*step.Context

	acquirer  *jobAcquirer
	lister    *candidateLister
	catalog   *catalog.Catalog
	jobs      *agents.JobTable
	limits    *commit.WriteLimiter
	plan      *Plan
	preemptor *preemptor
	queue     *Queue
	scheduler *Scheduler
}

// placeGang places all tasks of a gang that are not done, or none.
func (g *gangScheduler) placeGang(b *commit.Batch, job *PendingJob, candidates []*Candidate) {
	if job.placedTasks > 0 {
		g.retainGangMachines(job, candidates)
		g.completeGang(b, job)
		return
	}
	spec := job.record.Spec
	tasks := spec.TaskCount - job.doneTasks
	if tasks <= 0 || g.queue.quotaHeadroom(candidates, spec) < tasks {
		return
	}
	p := &gangPlacer{gangs: g, batch: b, job: job, candidates: candidates, zones: anyZone, tasks: tasks}
	if spec.SingleZone {
		p.zones = g.catalog.Zones()
	}
	p.place()
}

// retainGangMachines keeps the machines on which a gang has tasks.
func (g *gangScheduler) retainGangMachines(job *PendingJob, candidates []*Candidate) {
	for _, machine := range candidates {
		for i := range machine.allocations {
			if machine.allocations[i].job == job.id {
				g.plan.retainMachine(machine)
			}
		}
	}
}

// completeGang writes what is missing of a gang that did not fit one transaction. An attempt that
// has lost a task is not completed: its other tasks end, and the gang restarts as a whole.
func (g *gangScheduler) completeGang(b *commit.Batch, job *PendingJob) {
	unplaced := job.unplacedTasks()
	attempts := attemptsOf(g.jobs, job.id)
	if unplaced <= 0 {
		attempts.finishGang()
		return
	}
	if !g.acquirer.canWritePlacements(b, job) {
		return
	}
	attempt := g.jobs.HighestAttempt(job.id, b)
	isStopping := job.record.GracefulStopAttempt >= attempt
	if !attempts.isWritingGang(attempt, g.Now.Monotonic) || isStopping {
		return
	}
	for _, p := range g.distributeOnFree(b, job, job.pinnedZone(), unplaced) {
		if p.machine.isProvisioning || !g.scheduler.fitsTransaction(b, p.machine, job.record.Spec) {
			return
		}
		tasks := g.acquirer.pendingTasks(b, job, p.count)
		g.writeGangTasks(b, job, p.machine, tasks, attempt)
		job.recordAllocation(p.machine, len(tasks), attempt)
	}
}

// writeGangTasks assigns tasks of a gang to a machine.
func (g *gangScheduler) writeGangTasks(
	b *commit.Batch, job *PendingJob, machine *Candidate, tasks []int, attempt protocol.Attempt,
) {
	b.AssignTasks(machine.id, job.id, tasks, attempt)
	g.scheduler.expedite(b, machine.id)
	g.scheduler.recordPlacement(b, job, machine, len(tasks), attempt)
}
