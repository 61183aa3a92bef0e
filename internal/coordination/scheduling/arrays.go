package scheduling

import (
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
)

const (
	// maxTasksPerWrite bounds the tasks of an array that one write assigns to a machine.
	maxTasksPerWrite = 200
	// maxReservedTasks is for how many tasks of a starved array machines are reserved: the first
	// task that is placed ends the starvation.
	maxReservedTasks = 4
)

// anyZone is the list of zones for tasks that are not bound to one.
var anyZone = []protocol.Zone{""}

// arrayPlacer places tasks of one array in a pass.
type arrayPlacer struct {
	scheduler      *Scheduler
	batch          *commit.Batch
	job            *PendingJob
	candidates     []*Candidate
	unplacedTasks  int   // tasks that have no machine
	placeableTasks int   // how many of them may be placed now
	canWrite       bool  // this incarnation writes the job's placements now
	pendingTasks   []int // indices of the tasks to place, if canWrite
}

// placeArray places up to maxTasks tasks of an array. With ownerShards only the shards of the
// job's owner are used, and what is left waits; else it is unmet demand.
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
		// Its tasks fit nowhere while others take all capacity as it becomes free.
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
	quota := s.queue.quotaHeadroom(candidates, spec)
	// The encoded set of done tasks must fit the job's record: gaps in it are bounded by the
	// tasks in progress.
	recordHeadroom := max(s.acquirer.maxTasksInProgress(spec.TaskCount)-job.placedTasks, 0)
	placer.placeableTasks = min(placer.unplacedTasks, maxTasks, quota, recordHeadroom)
	placer.canWrite = s.acquirer.canPlaceNow(batch, job)
	if placer.canWrite {
		placer.pendingTasks = s.acquirer.pendingTasks(batch, job, placer.placeableTasks)
		placer.placeableTasks = min(placer.placeableTasks, len(placer.pendingTasks))
	}
	return placer
}

// placeOnMachine places as many tasks of the array on the machine as fit.
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

// recordUnplacedTasks handles tasks that may be placed and have found no machine. Those that can wait for
// machines in use get a backfill reservation; the rest is demand, reported by the job's owner.
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
