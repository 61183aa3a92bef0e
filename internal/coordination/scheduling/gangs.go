package scheduling

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// gangScheduler places gangs, which run either all of their tasks or none.
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

// placeGang places all tasks of a gang that are not completed, or none.
func (g *gangScheduler) placeGang(batch *commit.Batch, job *PendingJob, candidates []*Candidate) {
	if job.placedTasks > 0 {
		g.retainGangMachines(job, candidates)
		g.completeGang(batch, job)
		return
	}
	spec := job.record.Spec
	tasks := spec.TaskCount - job.completedTaskCount
	if tasks <= 0 || g.queue.quotaHeadroom(candidates, spec) < tasks {
		return
	}
	placer := &gangPlacer{gangs: g, batch: batch, job: job, candidates: candidates, zones: anyZone, tasks: tasks}
	if spec.SingleZone {
		placer.zones = g.catalog.Zones()
	}
	placer.placeOrPreempt()
}

// retainGangMachines retains the machines on which a gang has tasks.
func (g *gangScheduler) retainGangMachines(job *PendingJob, candidates []*Candidate) {
	for _, machine := range candidates {
		for i := range machine.allocations {
			if machine.allocations[i].job == job.id {
				g.plan.retainMachine(machine)
			}
		}
	}
}

// completeGang writes the missing tasks of a gang that did not fit in one transaction. It does not
// complete an attempt that has lost a task. The other tasks of that attempt end, and the gang restarts
// as a whole. Until then the plan has its missing tasks where they can start.
func (g *gangScheduler) completeGang(batch *commit.Batch, job *PendingJob) {
	unplacedTasks := job.unplacedTasks()
	attempts := attemptsOf(g.jobs, job.id)
	if unplacedTasks <= 0 {
		attempts.finishGangWrite()
		return
	}
	attempt := g.jobs.HighestAttempt(job.id, batch)
	if isStopping := job.record.GracefulStopAttempt >= attempt; isStopping {
		return
	}
	placements := g.distributeOnFreeCapacity(batch, job, job.pinnedZone(), unplacedTasks)
	switch {
	case !attempts.isWritingGang(attempt, g.Now.Monotonic):
		g.planRestart(job, placements)
	case g.acquirer.canWritePlacements(batch, job):
		g.writeMissingTasks(batch, job, placements, attempt)
	}
}

// writeMissingTasks writes placements of an attempt of which some tasks are written already, as far as the batch
// has capacity.
func (g *gangScheduler) writeMissingTasks(
	batch *commit.Batch, job *PendingJob, placements []placement, attempt protocol.Attempt,
) {
	for _, chosen := range placements {
		if chosen.machine.isProvisioning || !g.scheduler.fitsTransaction(batch, chosen.machine, job.record.Spec) {
			return
		}
		tasks := g.acquirer.pendingTasks(batch, job, chosen.count)
		g.writeGangTasks(batch, job, chosen.machine, tasks, attempt)
		job.recordAllocation(chosen.machine, len(tasks), attempt)
	}
}

// planRestart plans the missing tasks of a gang whose attempt has lost a task, so that the machines are there
// when the rest of the attempt has ended. That takes long if a machine pulls the gang's image. After maxRestartHold
// other jobs may use the machines, but they are not scaled in.
func (g *gangScheduler) planRestart(job *PendingJob, placements []placement) {
	isHeld := attemptsOf(g.jobs, job.id).incompleteFor(g.Now.Monotonic) <= maxRestartHold
	for _, chosen := range placements {
		g.plan.retainMachine(chosen.machine)
		if isHeld {
			job.recordAllocation(chosen.machine, chosen.count, 0)
		}
	}
}

// writeGangTasks assigns tasks of a gang to a machine.
func (g *gangScheduler) writeGangTasks(
	batch *commit.Batch, job *PendingJob, machine *Candidate, tasks []int, attempt protocol.Attempt,
) {
	batch.AssignTasks(machine.id, job.id, tasks, attempt)
	g.scheduler.expediteHeartbeat(batch, machine.id)
	g.scheduler.recordPlacement(batch, job, machine, len(tasks), attempt)
}
