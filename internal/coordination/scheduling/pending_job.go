package scheduling

import (
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// PendingJob is an unfinished job in one planning pass: where it stands in the queue, when its
// tasks have to start, and how far its placement is.
type PendingJob struct {
	id     protocol.JobID
	record *storage.JobRecord
	queuePosition
	startDeadline
	placementProgress
}

// queuePosition decides in which order jobs are served. It is fixed once the queue is sorted.
type queuePosition struct {
	precedence      int             // Queue.precedenceOf: a smaller one may preempt a larger one
	queuePrecedence int             // by which it is served: precedence, or less if promoted
	dueAt           protocol.Millis // the first objective that can still be met
	isLate          bool            // no objective can be met any more
	isStarved       bool            // has waited so long without a start that it goes before all others
	isLongRunning   bool            // has been unfinished for so long that it gets a part of the fleet first
}

// startDeadline is when the job's tasks have to start.
type startDeadline struct {
	latestStart        protocol.Millis // for all objectives that can still be met
	initialLatestStart protocol.Millis // the same at the submission
	isUrgent           bool            // they have to start sooner than provisioned machines can be relied on
}

// placementProgress counts the job's tasks; placing tasks advances it during the pass.
type placementProgress struct {
	doneTasks    int
	placedTasks  int // on record and planned in this pass
	tasksByZone  map[protocol.Zone]int
	avoidedTypes map[protocol.MachineTypeName]bool // nil: not decided yet
}

// isServedBefore orders the queue: starved jobs by age, then all others by precedence, lateness
// and due time.
func (j *PendingJob) isServedBefore(other *PendingJob) bool {
	switch {
	case j.isStarved != other.isStarved:
		return j.isStarved
	case j.isStarved && j.record.SubmittedAt != other.record.SubmittedAt:
		return j.record.SubmittedAt < other.record.SubmittedAt
	case j.queuePrecedence != other.queuePrecedence:
		return j.queuePrecedence < other.queuePrecedence
	case j.isLate != other.isLate:
		return other.isLate
	case j.dueAt != other.dueAt:
		return j.dueAt < other.dueAt
	}
	return j.id < other.id
}

// hasSamePrecedence tells whether only their due times put one job before the other.
func (j *PendingJob) hasSamePrecedence(other *PendingJob) bool {
	return j.queuePrecedence == other.queuePrecedence && j.isLate == other.isLate && !j.isStarved && !other.isStarved
}

// timeUntilLatestStart is how long the job's tasks may still wait before an objective is missed.
func (j *PendingJob) timeUntilLatestStart(now step.Now) time.Duration {
	return step.MillisToDuration(j.latestStart - now.Wall)
}

// unplacedTasks counts the tasks that are neither done nor placed.
func (j *PendingJob) unplacedTasks() int {
	return j.record.Spec.TaskCount - j.doneTasks - j.placedTasks
}

// zoneHeadroom tells how many more tasks of the job may be in the zone. A job that spreads over
// zones has at most half of its tasks in one of them.
func (j *PendingJob) zoneHeadroom(zone protocol.Zone) int {
	spec := j.record.Spec
	if spec.SingleZone {
		for other, tasks := range j.tasksByZone {
			if other != zone && tasks > 0 {
				return 0
			}
		}
	}
	if spec.SpreadZones {
		return max(halfRoundedUp(spec.TaskCount)-j.tasksByZone[zone], 0)
	}
	return protocol.MaxTasks
}

// halfRoundedUp is half of a number of tasks, rounded up.
func halfRoundedUp(tasks int) int { return (tasks + 1) / 2 }

// pinnedZone is the zone that the job is bound to by its placed tasks, empty if it is free.
func (j *PendingJob) pinnedZone() protocol.Zone {
	if j.record.Spec.SingleZone {
		for zone, tasks := range j.tasksByZone {
			if tasks > 0 {
				return zone
			}
		}
	}
	return ""
}

// recordAllocation allocates tasks of the job on the machine; attempt is 0 unless they are written
// under that number.
func (j *PendingJob) recordAllocation(machine *Candidate, count int, attempt protocol.Attempt) {
	machine.free.Allocate(j.record.Spec, count)
	machine.allocations = append(machine.allocations, allocation{
		job:        j.id,
		attempt:    attempt,
		count:      count,
		spec:       j.record.Spec,
		precedence: j.precedence,
	})
	j.tasksByZone[machine.record.Zone] += count
	j.placedTasks += count
}
