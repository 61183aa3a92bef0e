package agents

import (
	"time"

	"tillerarch/internal/protocol"
)

// machineHealth holds the reasons not to place more tasks on a machine that is reachable.
type machineHealth struct {
	Slowdown         slowdown
	jobsWithErrors   map[protocol.JobID]bool // jobs with a failed task on the machine since a task last completed there
	stuckImagePulls  int                     // image pulls that were given up since a task last completed on the machine
	quarantinedUntil protocol.Instant
	IsFaulty         bool
	preemptionAt     protocol.Instant // when the cloud preempts the machine, zero without a preemption notice
}

const (
	// quarantineTime is how long a machine gets no new task after a task has failed there.
	quarantineTime = 20 * time.Second
	// faultyJobCount is the number of jobs that must fail on a machine before the machine counts as
	// faulty.
	faultyJobCount = 2
	// faultyPullCount is the number of stuck image pulls from which a machine counts as faulty.
	faultyPullCount = 2
	// minRuntimeSamples is the number of tasks that must have been measured before their run times
	// are used, because a single long task is no evidence of a slow machine.
	minRuntimeSamples = 4
	// slowMachineRatio is the slowdown above which a machine counts as slow. The run times of one
	// job's tasks, as measured through heartbeats, differ by less.
	slowMachineRatio = 1.8
)

// isPreempted reports whether the cloud has announced the preemption of the machine.
func (h *machineHealth) isPreempted() bool { return h.preemptionAt != 0 }

// recordPreemptionNotice records the preemption notice of a heartbeat: the seconds until the
// preemption, or nil if there is no notice. A later notice can only bring the preemption forward.
func (h *machineHealth) recordPreemptionNotice(seconds *float64, now protocol.Instant) {
	if seconds == nil {
		h.preemptionAt = 0
		return
	}
	preemptionAt := now.Add(protocol.Seconds(*seconds))
	if h.preemptionAt == 0 || preemptionAt < h.preemptionAt {
		h.preemptionAt = preemptionAt
	}
}

// recordTaskError quarantines the machine after a task of a job has failed there. It reports whether
// the machine has become faulty with this error.
func (h *machineHealth) recordTaskError(id protocol.JobID, now protocol.Instant) (becameFaulty bool) {
	h.jobsWithErrors[id] = true
	return h.quarantine(len(h.jobsWithErrors) >= faultyJobCount, now)
}

// recordStuckPull quarantines the machine after an image pull there was given up. It reports whether the machine
// has become faulty with it.
func (h *machineHealth) recordStuckPull(now protocol.Instant) (becameFaulty bool) {
	h.stuckImagePulls++
	return h.quarantine(h.stuckImagePulls >= faultyPullCount, now)
}

// quarantine keeps new tasks from the machine for quarantineTime, and for ever if it is faulty. It reports whether
// the machine has become faulty with this.
func (h *machineHealth) quarantine(isFaulty bool, now protocol.Instant) (becameFaulty bool) {
	h.quarantinedUntil = now.Add(quarantineTime)
	becameFaulty = isFaulty && !h.IsFaulty
	h.IsFaulty = h.IsFaulty || isFaulty
	return becameFaulty
}

// recordCompletion forgets the errors of the machine after a task has completed there.
func (h *machineHealth) recordCompletion() {
	clear(h.jobsWithErrors)
	h.stuckImagePulls = 0
}

// slowdown is the run time of a machine's tasks as a multiple of the mean run time of their jobs'
// tasks. The ratio is a moving average over the last few tasks.
type slowdown struct {
	samples int
	ratio   float64
}

// IsSlow reports whether a machine is definitely slower than other machines. A difference of a tenth
// is normal between machines, and run times also differ between the tasks of a job.
func (s slowdown) IsSlow() bool { return s.samples >= minRuntimeSamples && s.ratio > slowMachineRatio }

// recordRatio adds the run time ratio of one task, and reports whether the result of IsSlow has changed.
func (s *slowdown) recordRatio(ratio float64) (hasChanged bool) {
	wasSlow := s.IsSlow()
	if s.samples++; s.samples == 1 {
		s.ratio = ratio
	} else {
		s.ratio += (ratio - s.ratio) / minRuntimeSamples
	}
	return s.IsSlow() != wasSlow
}
