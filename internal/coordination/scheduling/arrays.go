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
	scheduler  *Scheduler
	batch      *commit.Batch
	job        *PendingJob
	candidates []*Candidate
	unplaced   int   // tasks that have no machine
	allowance  int   // how many of them may be placed now
	canWrite   bool  // this incarnation writes the job's placements now
	pending    []int // indices of the tasks to place, if canWrite
}

// placeArray places up to maxTasks tasks of an array. With ownerShards only the shards of the
// job's owner are used, and what is left waits; else it is unmet demand.
func (s *Scheduler) placeArray(
	b *commit.Batch, job *PendingJob, candidates []*Candidate, maxTasks int, scope shardScope,
) {
	if job.unplacedTasks() <= 0 {
		return
	}
	p := s.newArrayPlacer(b, job, candidates, maxTasks)
	if job.avoidedTypes == nil {
		job.avoidedTypes = s.contention.typesToAvoid(job)
	}
	for _, machine := range s.rankedCandidates(b, job, scope) {
		if p.allowance <= 0 {
			break
		}
		p.placeOn(machine)
	}
	if scope == ownerShards {
		return
	}
	if job.isStarved && job.placedTasks == 0 && p.allowance > 0 {
		// Its tasks fit nowhere while others take all capacity as it becomes free.
		s.gangs.reserveForStarvedJob(b, job, candidates, anyZone, min(p.allowance, maxReservedTasks))
	}
	if isUnbounded := maxTasks == protocol.MaxTasks; isUnbounded {
		p.recordUnplaced()
	}
}

func (s *Scheduler) newArrayPlacer(
	b *commit.Batch, job *PendingJob, candidates []*Candidate, maxTasks int,
) *arrayPlacer {
	spec := job.record.Spec
	p := &arrayPlacer{scheduler: s, batch: b, job: job, candidates: candidates, unplaced: job.unplacedTasks()}
	quota := s.queue.quotaHeadroom(candidates, spec)
	// The encoded set of done tasks must fit the job's record: gaps in it are bounded by the
	// tasks in progress.
	recordHeadroom := max(s.acquirer.maxTasksInProgress(spec.TaskCount)-job.placedTasks, 0)
	p.allowance = min(p.unplaced, maxTasks, quota, recordHeadroom)
	p.canWrite = s.acquirer.canPlaceNow(b, job)
	if p.canWrite {
		p.pending = s.acquirer.pendingTasks(b, job, p.allowance)
		p.allowance = min(p.allowance, len(p.pending))
	}
	return p
}

// placeOn places as many tasks of the array on the machine as fit.
func (p *arrayPlacer) placeOn(machine *Candidate) {
	spec := p.job.record.Spec
	count := min(machine.free.CapacityFor(spec), p.allowance, p.job.zoneHeadroom(machine.record.Zone))
	if count <= 0 {
		return
	}
	writeNow := p.canWrite && !machine.isProvisioning && p.scheduler.fitsTransaction(p.batch, machine, spec)
	if writeNow {
		count = min(count, maxTasksPerWrite)
	}
	var tasks []int
	if p.canWrite {
		tasks, p.pending = p.pending[:count], p.pending[count:]
	}
	p.scheduler.planTasks(p.batch, p.job, machine, count, writeNow, tasks)
	p.unplaced -= count
	p.allowance -= count
}

// recordUnplaced handles tasks that may be placed and have found no machine. Those that can wait for
// machines in use get a backfill reservation; the rest is demand, reported by the job's owner.
func (p *arrayPlacer) recordUnplaced() {
	tasks := min(p.unplaced, p.allowance)
	if tasks <= 0 {
		return
	}
	s, job := p.scheduler, p.job
	s.contention.recordContention(job)
	if !job.isUrgent {
		tasks -= s.backfill.reserveBackfill(job, p.candidates, tasks)
	}
	if tasks > 0 && job.record.Owner == s.lease.Incarnation() {
		s.plan.addDemand(job, tasks, job.pinnedZone(), job.isUrgent)
	}
}
