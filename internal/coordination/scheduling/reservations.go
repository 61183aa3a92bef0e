package scheduling

import (
	"cmp"
	"log/slog"
	"slices"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
)

// reserveForStarvedJob reserves machines for a job that has waited too long and fits nowhere. No more tasks
// are placed on these machines until the tasks that run there have ended. Without the reservation, smaller
// jobs of the same precedence would take all capacity as it becomes free. Only one job of a precedence has
// a reservation, so that few machines are left empty. The result reports whether it is this job. The store
// contains the reservation, so that no controller places tasks on these machines.
func (g *gangScheduler) reserveForStarvedJob(
	batch *commit.Batch, job *PendingJob, candidates []*Candidate, zones []protocol.Zone, tasks int,
) bool {
	if g.plan.pass.reservedPrecedences[job.precedence] {
		return false
	}
	capacity := func(machine *Candidate) int { return capacityWhenDrained(machine, job) }
	placements := g.distributeInFirstZone(job, job.reservedCandidates(candidates), zones, tasks, capacity)
	if placements == nil {
		if !g.acquirer.canWritePlacements(batch, job) || !batch.HasCapacity(batch.OpsNeeded("", job.id)) {
			return false
		}
		placements = g.distributeInFirstZone(job, g.rankByDrainTime(candidates), zones, tasks, capacity)
		if placements == nil || !g.preemptor.fitsJobRecord(placements) {
			return false
		}
		recordReservation(batch, job.id, placements, "machines reserved for starved job")
	}
	g.plan.pass.reservedPrecedences[job.precedence] = true
	for _, chosen := range placements {
		chosen.machine.isUnschedulable = true
		chosen.machine.free.Cores = 0
		g.plan.retainMachine(chosen.machine)
	}
	return true
}

// capacityWhenDrained returns how many tasks of the job fit on a machine once all tasks have ended that the
// job may preempt or that have its precedence.
func capacityWhenDrained(machine *Candidate, job *PendingJob) int {
	if machine.isProvisioning {
		return 0
	}
	free := machine.free
	for i := range machine.allocations {
		if alloc := &machine.allocations[i]; alloc.precedence >= job.precedence {
			free.Allocate(alloc.spec, -alloc.count)
		}
	}
	return free.CapacityFor(job.record.Spec)
}

// rankByDrainTime returns the machines ordered by the remaining run time of their tasks, in seconds of the
// whole machine. Machines with few tasks, and those whose tasks have run longest, come first.
func (g *gangScheduler) rankByDrainTime(candidates []*Candidate) []*Candidate {
	remainingSeconds := map[*Candidate]float64{}
	for _, machine := range candidates {
		for i := range machine.allocations {
			alloc := &machine.allocations[i]
			usedFraction := alloc.cores() / machine.machineType.Cores
			remainingSeconds[machine] += usedFraction * g.preemptor.expectedRemainingSeconds(machine, alloc)
		}
	}
	machines := slices.Clone(candidates)
	slices.SortStableFunc(machines, func(left, right *Candidate) int {
		return cmp.Compare(remainingSeconds[left], remainingSeconds[right])
	})
	return machines
}

// recordReservation writes the machines that are reserved for a job to the job's record. The batch must
// have capacity for the change.
func recordReservation(batch *commit.Batch, id protocol.JobID, placements []placement, message string) {
	var machines []protocol.MachineID
	for _, chosen := range placements {
		machines = append(machines, chosen.machine.id)
	}
	batch.ReserveMachines(id, machines)
	batch.Log(slog.LevelInfo, message, "job", string(id), "machines", machines)
}

// reservedCandidates returns the candidates that the job's record reserves.
func (j *PendingJob) reservedCandidates(candidates []*Candidate) []*Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(machine *Candidate) bool {
		return !slices.Contains(j.record.ReservedMachines, machine.id)
	})
}
