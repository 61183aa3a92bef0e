package scheduling

import (
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
)

const (
	// maxTasksPerWrite is the maximum number of tasks of an array that one write assigns to a machine.
	maxTasksPerWrite = 200
	// maxReservedTasks is the maximum number of tasks of a starved array that machines are reserved for.
	// The first task that is placed ends the starvation.
	maxReservedTasks = 4
)

// anyZone is the list of zones for tasks that may run in any zone.
var anyZone = []protocol.Zone{""}

// arrayPlacer places the tasks of one array in a planning pass.
type arrayPlacer struct {
	scheduler      *Scheduler
	batch          *commit.Batch
	job            *PendingJob
	candidates     []*Candidate
	unplacedTasks  int   // tasks without a machine
	placeableTasks int   // number of unplaced tasks that may be placed in this call
	canWrite       bool  // whether this incarnation may write the job's placements now
	pendingTasks   []int // indexes of the tasks to place, if canWrite
}

// placeArray places up to maxTasks tasks of an array. With scope ownerShards it uses only shards of
// the job's owner and leaves the other tasks to a later call. With scope allShards and unlimited
// maxTasks it records tasks without a machine as backfill reservations or unmet demand.
func (s *Scheduler) placeArray(
	batch *commit.Batch, job *PendingJob, candidates []*Candidate, maxTasks int, scope shardScope,
) {
	if job.unplacedTasks() <= 0 {
		return
	}
	placer := s.newArrayPlacer(batch, job, candidates, maxTasks)
	if job.avoidedTypes == nil {
		job.avoidedTypes = s.contention.typesToAvoid(job)
	}
	for _, machine := range s.rankedCandidates(batch, job, scope) {
		if placer.placeableTasks <= 0 {
			break
		}
		placer.placeOnMachine(machine)
	}
	if scope == ownerShards {
		return
	}
	if job.isStarved && job.placedTasks == 0 && placer.placeableTasks > 0 {
		// The tasks of the job fit nowhere because other jobs take all capacity as it becomes free.
		s.gangs.reserveForStarvedJob(batch, job, candidates, anyZone, min(placer.placeableTasks, maxReservedTasks))
	}
	if isUnbounded := maxTasks == protocol.MaxTasks; isUnbounded {
		placer.recordUnplacedTasks()
	}
}

func (s *Scheduler) newArrayPlacer(
	batch *commit.Batch, job *PendingJob, candidates []*Candidate, maxTasks int,
) *arrayPlacer {
	spec := job.record.Spec
	placer := &arrayPlacer{scheduler: s, batch: batch, job: job, candidates: candidates, unplacedTasks: job.unplacedTasks()}
	quotaHeadroom := s.queue.quotaHeadroom(candidates, spec)
	// The encoded set of completed tasks must fit the job's record. The number of tasks in progress bounds
	// the number of gaps in the set.
	recordHeadroom := max(s.acquirer.maxTasksInProgress(spec.TaskCount)-job.placedTasks, 0)
	placer.placeableTasks = min(placer.unplacedTasks, maxTasks, quotaHeadroom, recordHeadroom)
	placer.canWrite = s.acquirer.canPlaceNow(batch, job)
	if placer.canWrite {
		placer.pendingTasks = s.acquirer.pendingTasks(batch, job, placer.placeableTasks)
		placer.placeableTasks = min(placer.placeableTasks, len(placer.pendingTasks))
	}
	return placer
}

// placeOnMachine places as many tasks of the array on a machine as fit there.
func (p *arrayPlacer) placeOnMachine(machine *Candidate) {
	spec := p.job.record.Spec
	count := min(machine.free.CapacityFor(spec), p.placeableTasks, p.job.zoneHeadroom(machine.record.Zone))
	if count <= 0 {
		return
	}
	writeNow := p.canWrite && !machine.isProvisioning && p.scheduler.fitsTransaction(p.batch, machine, spec)
	if writeNow {
		count = min(count, maxTasksPerWrite)
	}
	var tasks []int
	if p.canWrite {
		tasks, p.pendingTasks = p.pendingTasks[:count], p.pendingTasks[count:]
	}
	p.scheduler.planTasks(p.batch, p.job, machine, count, writeNow, tasks)
	p.unplacedTasks -= count
	p.placeableTasks -= count
}

// recordUnplacedTasks handles tasks that may be placed but have no machine. It makes backfill
// reservations for those that can wait for busy machines. The job's owner records the others as
// unmet demand.
func (p *arrayPlacer) recordUnplacedTasks() {
	tasks := min(p.unplacedTasks, p.placeableTasks)
	if tasks <= 0 {
		return
	}
	scheduler, job := p.scheduler, p.job
	scheduler.contention.recordContention(job)
	if !job.isUrgent {
		tasks -= scheduler.backfill.reserveBackfill(job, p.candidates, tasks)
	}
	if tasks > 0 && job.record.Owner == scheduler.lease.Incarnation() {
		scheduler.plan.addDemand(job, tasks, job.pinnedZone(), job.isUrgent)
	}
}
