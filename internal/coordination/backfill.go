package coordination

import (
	"time"

	"tillerarch/internal/protocol"
)

// backfillPlanner predicts which busy machines will be free soon enough for waiting tasks.
type backfillPlanner struct {
	*stepContext

	agents   *agentTable
	capacity *candidateLister
	catalog  *machineCatalog
	jobs     *jobTable
}

// Tasks that can wait need no machine of their own where one that is in use will be
// free in time. The forecast says where that is; rentals leave such tasks out.

const (
	// backfillSlackFraction is the part of a job's slack that may be spent on waiting for machines
	// in use. Run times are estimates, so the rest stays in reserve.
	backfillSlackFraction = 0.5
	// bootWaitFraction is the part of the shortest boot that is waited in any case: a machine
	// that is rented now would come later.
	bootWaitFraction = 0.5
	// overrunFraction is the part of a task's run time that one which has run longer than
	// expected is taken to need still.
	overrunFraction = 0.25
)

// estimatedEnd estimates when what a job has on a machine will have ended.
func (bp *backfillPlanner) estimatedEnd(machine *candidate, alloc *allocation) protocol.Instant {
	now := bp.now.Monotonic
	if alloc.desc.IsService() {
		return now.Add(unboundedRuntime)
	}
	startedAt, known := bp.agents.assignedAt[assignmentKey{machine: machine.id, job: alloc.job, attempt: alloc.attempt}]
	if !known {
		startedAt = now
	}
	runtime := bp.jobs.estimatedRuntime(alloc.job, alloc.desc)
	endAt := startedAt.Add(runtime + bp.cfg.HeartbeatInterval/4)
	return max(endAt, now.Add(time.Duration(overrunFraction*float64(runtime))))
}

// capacityBy tells how many tasks of a job a machine could begin by a time, besides those
// that are to follow what runs there already.
func (bp *backfillPlanner) capacityBy(machine *candidate, d *protocol.Job, deadline protocol.Instant) int {
	simulated := machine.resources.without(machine.backfillReservation)
	for i := range machine.allocations {
		if alloc := &machine.allocations[i]; bp.estimatedEnd(machine, alloc) <= deadline {
			simulated.allocate(alloc.desc, -alloc.count)
		}
	}
	return simulated.capacityFor(d)
}

// maxCapacityWait is how long a job's tasks may wait for machines that are in use.
func (bp *backfillPlanner) maxCapacityWait(job *pendingJob) time.Duration {
	boot := bp.catalog.shortestTime(job.record.Spec, func(machineType *protocol.MachineType) time.Duration {
		return protocol.Seconds(machineType.BootSeconds)
	})
	slack := time.Duration(0)
	if !job.isLate && !job.isStarved {
		slack = millisToDuration(job.latestStart - bp.now.Wall)
	}
	return max(time.Duration(backfillSlackFraction*float64(slack)), time.Duration(bootWaitFraction*float64(boot)))
}

// reserveBackfill sets aside what will be free soon enough for up to n tasks of a job, and
// tells for how many that is.
func (bp *backfillPlanner) reserveBackfill(job *pendingJob, candidates []*candidate, tasks int) int {
	d := job.record.Spec
	if d.Zone != "" || d.SingleZone || d.SpreadZones {
		return 0 // where they may be depends on more than room
	}
	deadline := bp.now.Monotonic.Add(bp.maxCapacityWait(job))
	reserved := 0
	for _, machine := range candidates {
		if reserved >= tasks {
			break
		}
		if machine.isProvisioning || machine.isUnschedulable || job.avoidedTypes[machine.record.MachineType] || machineTypeCapacity(machine.machineType, d) == 0 || !bp.capacity.isMachineAllowed(d, machine) {
			continue
		}
		if count := min(bp.capacityBy(machine, d, deadline), tasks-reserved); count > 0 {
			reserved += count
			machine.backfillReservation.allocate(d, -count)
		}
	}
	return reserved
}
