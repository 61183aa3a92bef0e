package agents

import (
	"time"

	"tillerarch/internal/protocol"
)

// machineHealth is what speaks against placing more tasks on a machine that is reachable.
type machineHealth struct {
	Slowdown         slowdown
	jobsWithErrors   map[protocol.JobID]bool // jobs whose tasks failed here since a task was last completed
	quarantinedUntil protocol.Instant
	IsFaulty         bool
	preemptionAt     protocol.Instant // when the cloud takes the machine; 0: no notice
}

const (
	// quarantineTime is how long a machine gets no task after one has failed there.
	quarantineTime = 20 * time.Second
	// faultyJobCount is how many jobs must fail on a machine before the fault is the machine's.
	faultyJobCount = 2
	// minRuntimeSamples is how many tasks must have been measured: one long task says nothing.
	minRuntimeSamples = 4
	// slowMachineRatio is the least slowdown of a slow machine: the estimates of one job's
	// tasks, seen through heartbeats, differ by less.
	slowMachineRatio = 1.8
)

// isPreempted tells whether the cloud has given notice that it takes the machine.
func (h *machineHealth) isPreempted() bool { return h.preemptionAt != 0 }

// recordPreemptionNotice takes in the notice of a heartbeat, nil for none. A later heartbeat may
// only bring the preemption forward.
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

// recordTaskError quarantines the machine, and tells whether that shows it to be faulty.
func (h *machineHealth) recordTaskError(id protocol.JobID, now protocol.Instant) (becameFaulty bool) {
	h.jobsWithErrors[id] = true
	h.quarantinedUntil = now.Add(quarantineTime)
	if len(h.jobsWithErrors) < faultyJobCount || h.IsFaulty {
		return false
	}
	h.IsFaulty = true
	return true
}

// slowdown is how long a machine's tasks run, as a multiple of what others of the same
// jobs do, smoothed over the last few.
type slowdown struct {
	samples int
	ratio   float64
}

// IsSlow tells whether a machine is surely slower than its like: a tenth is usual,
// and tasks differ by themselves.
func (s slowdown) IsSlow() bool { return s.samples >= minRuntimeSamples && s.ratio > slowMachineRatio }

// recordRatio takes in one task, and tells whether the machine has become slow or ceased to be.
func (s *slowdown) recordRatio(ratio float64) (hasChanged bool) {
	wasSlow := s.IsSlow()
	if s.samples++; s.samples == 1 {
		s.ratio = ratio
	} else {
		s.ratio += (ratio - s.ratio) / minRuntimeSamples
	}
	return s.IsSlow() != wasSlow
}
