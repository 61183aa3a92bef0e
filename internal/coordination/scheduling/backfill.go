package scheduling

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// No machine is provisioned for tasks that can wait until a busy machine is predicted to be free.
const (
	// backfillSlackFraction is the fraction of a job's slack that its tasks may spend on waiting for busy
	// machines. Run times are estimates, so the rest is kept in reserve.
	backfillSlackFraction = 0.5
	// bootWaitFraction is the fraction of the shortest boot time for which tasks may wait whatever their
	// slack, because a machine that is provisioned now would be up later than that.
	bootWaitFraction = 0.5
	// overrunFraction is the expected remaining run time of a task that has exceeded its estimated run
	// time, as a fraction of the estimate.
	overrunFraction = 0.25
	// endDetectionDivisor divides the heartbeat interval. The quotient is the expected delay until the
	// controller learns that a task has ended.
	endDetectionDivisor = 4
)

// backfillPlanner predicts which busy machines will be free soon enough for waiting tasks.
type backfillPlanner struct {
	*step.Context

	agents  *agents.Table
	lister  *candidateLister
	catalog *catalog.Catalog
	jobs    *agents.JobTable
}

// reserveBackfill makes backfill reservations for up to the given number of tasks of a job on machines
// that will be free soon enough, and returns the number of tasks that have a reservation.
func (bp *backfillPlanner) reserveBackfill(job *PendingJob, candidates []*Candidate, tasks int) int {
	spec := job.record.Spec
	if spec.Zone != "" || spec.SingleZone || spec.SpreadZones {
		return 0 // capacity alone does not decide where the tasks may run
	}
	deadline := bp.Now.Monotonic.Add(bp.maxCapacityWait(job))
	reservedTasks := 0
	for _, machine := range candidates {
		if reservedTasks >= tasks {
			break
		}
		if !bp.canBackfillOn(job, machine) {
			continue
		}
		if count := min(bp.capacityByDeadline(machine, spec, deadline), tasks-reservedTasks); count > 0 {
			reservedTasks += count
			machine.backfillReservation.Allocate(spec, -count)
		}
	}
	return reservedTasks
}

// canBackfillOn reports whether tasks of the job could run on the machine once other tasks there have ended.
func (bp *backfillPlanner) canBackfillOn(job *PendingJob, machine *Candidate) bool {
	if machine.isProvisioning || machine.isUnschedulable || job.avoidedTypes[machine.record.MachineType] {
		return false
	}
	spec := job.record.Spec
	return catalog.MachineTypeCapacity(machine.machineType, spec) > 0 && bp.lister.isMachineAllowed(spec, machine)
}

// maxCapacityWait returns how long a job's tasks may wait for busy machines.
func (bp *backfillPlanner) maxCapacityWait(job *PendingJob) time.Duration {
	shortestBoot := bp.catalog.ShortestTime(job.record.Spec, func(machineType *protocol.MachineType) time.Duration {
		return protocol.Seconds(machineType.BootSeconds)
	})
	slack := time.Duration(0)
	if !job.isLate && !job.isStarved {
		slack = job.timeUntilLatestStart(bp.Now)
	}
	slackWait := time.Duration(backfillSlackFraction * float64(slack))
	bootWait := time.Duration(bootWaitFraction * float64(shortestBoot))
	return max(slackWait, bootWait)
}

// capacityByDeadline returns how many tasks of a job could start on a machine by the deadline, in
// addition to those that have a backfill reservation there.
func (bp *backfillPlanner) capacityByDeadline(machine *Candidate, spec *protocol.Job, deadline protocol.Instant) int {
	free := machine.free.Without(machine.backfillReservation)
	for i := range machine.allocations {
		if alloc := &machine.allocations[i]; bp.estimatedEnd(machine, alloc) <= deadline {
			free.Allocate(alloc.spec, -alloc.count)
		}
	}
	return free.CapacityFor(spec)
}

// estimatedEnd estimates when all tasks of an allocation will have ended.
func (bp *backfillPlanner) estimatedEnd(machine *Candidate, alloc *allocation) protocol.Instant {
	now := bp.Now.Monotonic
	if alloc.spec.IsService() {
		return now.Add(unboundedRuntime)
	}
	startedAt, isKnown := bp.agents.AssignedSince(assignmentKey(machine, alloc))
	if !isKnown {
		startedAt = now
	}
	runtime := bp.jobs.EstimatedRuntime(alloc.job, alloc.spec)
	detectionDelay := bp.Config.HeartbeatInterval / endDetectionDivisor
	endAt := startedAt.Add(runtime + detectionDelay)
	minRemaining := time.Duration(overrunFraction * float64(runtime))
	return max(endAt, now.Add(minRemaining))
}

// assignmentKey returns the key under which package agents keeps the start time of an allocation.
func assignmentKey(machine *Candidate, alloc *allocation) agents.AssignmentKey {
	return agents.AssignmentKey{Machine: machine.id, Job: alloc.job, Attempt: alloc.attempt}
}
