package scheduling

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Backfill predicts which busy machines will be free soon enough for waiting tasks.
type Backfill struct {
	*step.Context

	agents   *agents.Table
	capacity *CandidateLister
	catalog  *catalog.Catalog
	jobs     *agents.JobTable
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
func (bp *Backfill) estimatedEnd(machine *Candidate, alloc *Allocation) protocol.Instant {
	now := bp.Now.Monotonic
	if alloc.Desc.IsService() {
		return now.Add(unboundedRuntime)
	}
	startedAt, known := bp.agents.AssignedSince(agents.AssignmentKey{Machine: machine.ID, Job: alloc.Job, Attempt: alloc.Attempt})
	if !known {
		startedAt = now
	}
	runtime := bp.jobs.EstimatedRuntime(alloc.Job, alloc.Desc)
	endAt := startedAt.Add(runtime + bp.Config.HeartbeatInterval/4)
	return max(endAt, now.Add(time.Duration(overrunFraction*float64(runtime))))
}

// capacityBy tells how many tasks of a job a machine could begin by a time, besides those
// that are to follow what runs there already.
func (bp *Backfill) capacityBy(machine *Candidate, d *protocol.Job, deadline protocol.Instant) int {
	simulated := machine.Resources.Without(machine.backfillReservation)
	for i := range machine.Allocations {
		if alloc := &machine.Allocations[i]; bp.estimatedEnd(machine, alloc) <= deadline {
			simulated.Allocate(alloc.Desc, -alloc.Count)
		}
	}
	return simulated.CapacityFor(d)
}

// maxCapacityWait is how long a job's tasks may wait for machines that are in use.
func (bp *Backfill) maxCapacityWait(job *PendingJob) time.Duration {
	boot := bp.catalog.ShortestTime(job.Record.Spec, func(machineType *protocol.MachineType) time.Duration {
		return protocol.Seconds(machineType.BootSeconds)
	})
	slack := time.Duration(0)
	if !job.IsLate && !job.IsStarved {
		slack = step.MillisToDuration(job.LatestStart - bp.Now.Wall)
	}
	return max(time.Duration(backfillSlackFraction*float64(slack)), time.Duration(bootWaitFraction*float64(boot)))
}

// ReserveBackfill sets aside what will be free soon enough for up to n tasks of a job, and
// tells for how many that is.
func (bp *Backfill) ReserveBackfill(job *PendingJob, candidates []*Candidate, tasks int) int {
	d := job.Record.Spec
	if d.Zone != "" || d.SingleZone || d.SpreadZones {
		return 0 // where they may be depends on more than room
	}
	deadline := bp.Now.Monotonic.Add(bp.maxCapacityWait(job))
	reserved := 0
	for _, machine := range candidates {
		if reserved >= tasks {
			break
		}
		if machine.isProvisioning || machine.IsUnschedulable || job.avoidedTypes[machine.Record.MachineType] || catalog.MachineTypeCapacity(machine.MachineType, d) == 0 || !bp.capacity.IsMachineAllowed(d, machine) {
			continue
		}
		if count := min(bp.capacityBy(machine, d, deadline), tasks-reserved); count > 0 {
			reserved += count
			machine.backfillReservation.Allocate(d, -count)
		}
	}
	return reserved
}
