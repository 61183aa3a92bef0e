package scheduling

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// No machines are provisioned for tasks that can wait until a machine in use is predicted to be free.
const (
	// backfillSlackFraction is the part of a job's slack that may be spent on waiting for
	// machines in use. Run times are estimates, so the rest stays in reserve.
	backfillSlackFraction = 0.5
	// bootWaitFraction is the part of the shortest boot that is waited in any case: a machine
	// that is provisioned now would come later.
	bootWaitFraction = 0.5
	// overrunFraction is the part of a task's estimated run time that one which has run longer
	// than estimated is expected to need still.
	overrunFraction = 0.25
	// endDetectionDivisor: a task's end is known here 1/endDetectionDivisor of a heartbeat interval
	// later.
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

// reserveBackfill reserves what will be free soon enough for up to that many tasks of a job, and tells
// for how many it has done so.
func (bp *backfillPlanner) reserveBackfill(job *PendingJob, candidates []*Candidate, tasks int) int {
	spec := job.record.Spec
	if spec.Zone != "" || spec.SingleZone || spec.SpreadZones {
		return 0 // where its tasks may be depends on more than capacity
	}
	deadline := bp.Now.Monotonic.Add(bp.maxCapacityWait(job))
	reserved := 0
	for _, machine := range candidates {
		if reserved >= tasks {
			break
		}
		if !bp.canBackfillOn(job, machine) {
			continue
		}
		if count := min(bp.capacityByDeadline(machine, spec, deadline), tasks-reserved); count > 0 {
			reserved += count
			machine.backfillReservation.Allocate(spec, -count)
		}
	}
	return reserved
}

// canBackfillOn tells whether tasks of the job could run on the machine once others there have ended.
func (bp *backfillPlanner) canBackfillOn(job *PendingJob, machine *Candidate) bool {
	if machine.isProvisioning || machine.isUnschedulable || job.avoidedTypes[machine.record.MachineType] {
		return false
	}
	spec := job.record.Spec
	return catalog.MachineTypeCapacity(machine.machineType, spec) > 0 && bp.lister.isMachineAllowed(spec, machine)
}

// maxCapacityWait is how long a job's tasks may wait for machines that are in use.
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

// capacityByDeadline tells how many tasks of a job could start on a machine by the deadline, besides those that
// have a backfill reservation there.
func (bp *backfillPlanner) capacityByDeadline(machine *Candidate, spec *protocol.Job, deadline protocol.Instant) int {
	free := machine.free.Without(machine.backfillReservation)
	for i := range machine.allocations {
		if alloc := &machine.allocations[i]; bp.estimatedEnd(machine, alloc) <= deadline {
			free.Allocate(alloc.spec, -alloc.count)
		}
	}
	return free.CapacityFor(spec)
}

// estimatedEnd estimates when the tasks of an allocation will have ended.
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

// assignmentKey is the key under which an allocation's start is remembered.
func assignmentKey(machine *Candidate, alloc *allocation) agents.AssignmentKey {
	return agents.AssignmentKey{Machine: machine.id, Job: alloc.job, Attempt: alloc.attempt}
}
