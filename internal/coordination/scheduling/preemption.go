package scheduling

import (
	"cmp"
	"slices"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// reservedMachineBytes is the encoded size of one reserved machine in a job's record.
const reservedMachineBytes = 14

// preemptor finds the tasks that cost least to preempt, and stops them.
type preemptor struct {
	*step.Context

	agents  *agents.Table
	gangs   *gangScheduler
	lease   *commit.Lease
	limits  *commit.WriteLimiter
	stopper *agents.TaskStopper
}

// currentReservation returns placements on the machines that the job's record reserves. It returns nil
// if there is no reservation or the tasks do not fit there anymore.
func (p *preemptor) currentReservation(job *PendingJob, candidates []*Candidate, tasks int) []placement {
	if len(job.record.ReservedMachines) == 0 {
		return nil
	}
	capacity := func(machine *Candidate) int { return p.capacityAfterPreemption(machine, job) }
	return p.gangs.distributeTasks(job, job.reservedCandidates(candidates), "", tasks, capacity)
}

// cheapestPreemption returns placements on the machines that lose the least work, all in one of the zones.
// With requireImage, it considers only machines that have the image. It returns nil if the tasks fit in
// none of the zones.
func (p *preemptor) cheapestPreemption(
	job *PendingJob, candidates []*Candidate, zones []protocol.Zone, tasks int, requireImage bool,
) []placement {
	cost := map[*Candidate]float64{}
	var machines []*Candidate
	for _, machine := range candidates {
		if !canPreemptOn(machine, job.record.Spec, requireImage) {
			continue
		}
		cost[machine] = p.preemptionCost(machine, job)
		machines = append(machines, machine)
	}
	slices.SortStableFunc(machines, func(left, right *Candidate) int { return cmp.Compare(cost[left], cost[right]) })
	capacity := func(machine *Candidate) int { return p.capacityAfterPreemption(machine, job) }
	return p.gangs.distributeInFirstZone(job, machines, zones, tasks, capacity)
}

// canPreemptOn reports whether tasks on a machine may be preempted for the job.
func canPreemptOn(machine *Candidate, spec *protocol.Job, requireImage bool) bool {
	if machine.isUnschedulable || machine.isProvisioning || !machine.machineType.CanFitTask(spec) {
		return false
	}
	return !requireImage || machine.state.HasImage(spec.Image)
}

// fitsJobRecord reports whether a reservation fits the job's record. The store would reject a record that
// is too large, together with everything else in its transaction.
func (p *preemptor) fitsJobRecord(placements []placement) bool {
	return len(placements) <= p.limits.JobRecordBudget()/reservedMachineBytes
}

// capacityAfterPreemption returns how many tasks of the job fit on a machine once all victims are stopped.
func (p *preemptor) capacityAfterPreemption(machine *Candidate, job *PendingJob) int {
	if machine.isProvisioning {
		return 0
	}
	free := machine.free
	for _, victim := range p.victims(machine, job) {
		free.Allocate(victim.spec, -victim.count)
	}
	return free.CapacityFor(job.record.Spec)
}

// preemptionCost returns the cost of a preemption on a machine in core-seconds: the lost work, and the
// time that cores wait for checkpoints or for the image.
func (p *preemptor) preemptionCost(machine *Candidate, job *PendingJob) float64 {
	spec := job.record.Spec
	free, cost, waitSeconds := machine.free, 0.0, 0.0
	for _, victim := range p.victims(machine, job) {
		if free.CapacityFor(spec) > 0 {
			break
		}
		free.Allocate(victim.spec, -victim.count)
		cost += p.lostWork(machine, victim)
		if victim.spec.CanCheckpoint() {
			waitSeconds = max(waitSeconds, victim.spec.CheckpointSaveSeconds)
		}
	}
	if !machine.state.HasImage(spec.Image) {
		waitSeconds += catalog.ImageFetchSeconds(machine.machineType, spec)
	}
	return cost + waitSeconds*spec.Cores
}
