package scheduling

import (
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// PendingJob is an unfinished job in one planning pass. It consists of the job's position in the queue,
// the time when its tasks have to start, and the progress of its placement.
type PendingJob struct {
	id     protocol.JobID
	record *storage.JobRecord
	queuePosition
	startDeadline
	placementProgress
}

// queuePosition determines the order in which jobs are served. It is fixed once the queue is sorted.
type queuePosition struct {
	precedence      int             // from Queue.precedenceOf; a smaller one may preempt a larger one
	queuePrecedence int             // precedence in the queue, smaller than precedence if promoted
	dueAt           protocol.Millis // due time of the first objective that can still be met
	isLate          bool            // no objective can be met anymore
	isStarved       bool            // has waited so long without a start that it precedes all other jobs
	isLongRunning   bool            // has been unfinished for so long that it gets a part of the fleet first
}

// startDeadline is the time when the job's tasks have to start.
type startDeadline struct {
	latestStart        protocol.Millis // for all objectives that can still be met
	initialLatestStart protocol.Millis // latestStart as of the submission
	isUrgent           bool            // the tasks have to start sooner than provisioned machines can be relied on
}

// placementProgress counts the job's tasks. Each placement advances it during the pass.
type placementProgress struct {
	completedTaskCount int
	placedTasks        int // recorded in the store, or planned in this pass
	tasksByZone        map[protocol.Zone]int
	avoidedTypes       map[protocol.MachineTypeName]bool // nil if not determined yet
}

// isServedBefore reports whether the job precedes another one in the queue. Starved jobs precede all
// others, ordered by age. All other jobs are ordered by precedence, lateness and due time. The ID is the
// last criterion.
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

// hasSamePrecedence reports whether only the due times and IDs decide the order of the two jobs.
func (j *PendingJob) hasSamePrecedence(other *PendingJob) bool {
	return j.queuePrecedence == other.queuePrecedence && j.isLate == other.isLate && !j.isStarved && !other.isStarved
}

// timeUntilLatestStart returns how long the job's tasks can still wait before an objective is missed.
func (j *PendingJob) timeUntilLatestStart(now step.Now) time.Duration {
	return step.MillisToDuration(j.latestStart - now.Wall)
}

// unplacedTasks returns the number of tasks that are neither completed nor placed.
func (j *PendingJob) unplacedTasks() int {
	return j.record.Spec.TaskCount - j.completedTaskCount - j.placedTasks
}

// zoneHeadroom returns how many more tasks of the job may run in the zone. A job that spreads over zones
// has at most half of its tasks in one zone.
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

// halfRoundedUp returns half of a number of tasks, rounded up.
func halfRoundedUp(tasks int) int { return (tasks + 1) / 2 }

// pinnedZone returns the zone that the job's placed tasks bind it to. It returns an empty zone if the
// job is not bound.
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

// recordAllocation allocates tasks of the job on the machine. The attempt is the number under which they
// are written, or 0 if they are not written yet.
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
