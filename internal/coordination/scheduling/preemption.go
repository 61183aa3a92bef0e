package scheduling

import (
	"cmp"
	"slices"
	"sort"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Preemptor finds the tasks whose preemption costs least, and stops them.
type Preemptor struct {
	*step.Context

	agents  *agents.Table
	gangs   *GangScheduler
	lease   *commit.Lease
	limits  *commit.WriteLimiter
	stopper *agents.TaskStopper
}

// expectedRemainingSeconds is for how many seconds more tasks are expected to run.
func (p *Preemptor) expectedRemainingSeconds(machine *Candidate, alloc Allocation) float64 {
	if alloc.Desc.IsService() {
		return unboundedRuntime.Seconds()
	}
	return max(alloc.Desc.EstimatedRunSeconds-p.runningSeconds(machine, alloc), 5)
}

// runningSeconds is for how many seconds tasks have been assigned, as far as it is known.
func (p *Preemptor) runningSeconds(machine *Candidate, alloc Allocation) float64 {
	if assignedAt, ok := p.agents.AssignedSince(agents.AssignmentKey{Machine: machine.ID, Job: alloc.Job, Attempt: alloc.Attempt}); ok {
		return p.Since(assignedAt).Seconds()
	}
	return 0
}

// fitsJobRecord tells whether a choice of machines fits the job's record. One that
// does not would be refused with all else that is in its transaction.
func (p *Preemptor) fitsJobRecord(placements []placement) bool {
	return len(placements) <= p.limits.JobRecordBudget()/14
}

// capacityAfterPreemption tells how many tasks of the gang fit once what ranks lower is gone.
func (p *Preemptor) capacityAfterPreemption(machine *Candidate, job *PendingJob) int {
	if machine.isProvisioning {
		return 0
	}
	simulated := *machine
	for _, alloc := range p.victims(machine, job) {
		simulated.Allocate(alloc.Desc, -alloc.Count)
	}
	return simulated.CapacityFor(job.Record.Spec)
}

// currentReservation is the choice on record, as long as it still serves.
func (p *Preemptor) currentReservation(job *PendingJob, candidates []*Candidate, tasks int) []placement {
	if len(job.Record.ReservedMachines) == 0 {
		return nil
	}
	return p.gangs.distributeGang(nil, job, job.reservedCandidates(candidates), "", tasks, func(machine *Candidate) int { return p.capacityAfterPreemption(machine, job) })
}

// cheapestPreemption chooses the machines on which the least work is lost.
// warm: only of those that have the image.
func (p *Preemptor) cheapestPreemption(job *PendingJob, candidates []*Candidate, zones []protocol.Zone, tasks int, requireImage bool) []placement {
	cost := map[*Candidate]float64{}
	var machines []*Candidate
	for _, machine := range candidates {
		if !machine.IsUnschedulable && !machine.isProvisioning && machine.MachineType.CanFitTask(job.Record.Spec) && (!requireImage || machine.state.HasImage(job.Record.Spec.Image)) {
			machines = append(machines, machine)
		}
	}
	for _, machine := range machines {
		cost[machine] = p.preemptionCost(machine, job)
	}
	sort.SliceStable(machines, func(i, k int) bool { return cost[machines[i]] < cost[machines[k]] })
	for _, zone := range zones {
		if placements := p.gangs.distributeGang(nil, job, machines, zone, tasks, func(machine *Candidate) int { return p.capacityAfterPreemption(machine, job) }); placements != nil {
			return placements
		}
	}
	return nil
}

// preemptionCost is what making room on a machine costs, in core-seconds: work lost,
// and cores that wait for tasks to save or for the image.
func (p *Preemptor) preemptionCost(machine *Candidate, job *PendingJob) float64 {
	d := job.Record.Spec
	simulated, cost, waitSeconds := *machine, 0.0, 0.0
	for _, alloc := range p.victims(machine, job) {
		if simulated.CapacityFor(d) > 0 {
			break
		}
		simulated.Allocate(alloc.Desc, -alloc.Count)
		cost += p.lostWork(machine, alloc)
		if alloc.Desc.CanCheckpoint() {
			waitSeconds = max(waitSeconds, alloc.Desc.CheckpointSaveSeconds)
		}
	}
	if !machine.state.HasImage(d.Image) {
		waitSeconds += catalog.ImageFetchSeconds(machine.MachineType, d)
	}
	return cost + waitSeconds*d.Cores
}

// lostWork is the work, in core-seconds, that stopping the tasks would throw away.
func (p *Preemptor) lostWork(machine *Candidate, alloc Allocation) float64 {
	if alloc.Desc.CanCheckpoint() {
		return float64(alloc.Count) * alloc.Desc.Cores * alloc.Desc.CheckpointSaveSeconds
	}
	if alloc.Desc.IsService() {
		return float64(alloc.Count) * alloc.Desc.Cores * replicaStopCostSeconds
	}
	return float64(alloc.Count) * alloc.Desc.Cores * p.runningSeconds(machine, alloc)
}

// victims lists what ranks lower on a machine, least loss per core first.
func (p *Preemptor) victims(machine *Candidate, job *PendingJob) []Allocation {
	var out []Allocation
	for _, alloc := range machine.Allocations {
		if alloc.precedence > job.precedence {
			out = append(out, alloc)
		}
	}
	loss := func(alloc Allocation) float64 {
		return p.lostWork(machine, alloc) / max(float64(alloc.Count)*alloc.Desc.Cores, catalog.Epsilon)
	}
	slices.SortStableFunc(out, func(a, z Allocation) int { return cmp.Compare(loss(a), loss(z)) })
	return out
}

// preemptTasks stops up to most of a job's tasks on an owned machine for one of higher rank,
// those that are being stopped already among them.
func (p *Preemptor) preemptTasks(machine *Candidate, alloc Allocation, preemptor *PendingJob, maxTasks int) {
	if !p.lease.OwnsMachine(machine.Record) || p.Now.Wall-preemptor.Record.SubmittedAt < 500 {
		return
	}
	state := p.agents.Lookup(machine.ID)
	if state == nil {
		return
	}
	if alloc.Desc.IsGang() && alloc.Desc.TaskCount > 1 && alloc.Desc.CanCheckpoint() {
		p.stopper.RequestGracefulStop(alloc.Job, alloc.Attempt) // all its tasks must hear of it, not only those here
		return
	}
	grace := 0.0
	if alloc.Desc.CanCheckpoint() {
		grace = alloc.Desc.CheckpointSaveSeconds + 0.5
	}
	for i := range machine.Record.Assignments {
		assigned := &machine.Record.Assignments[i]
		if assigned.Job != alloc.Job || assigned.Attempt != alloc.Attempt {
			continue
		}
		assigned.Tasks.Each(func(index int) bool {
			if state.HasStopRequest(protocol.Task{Job: assigned.Job, Index: index}, assigned.Attempt) {
				maxTasks--
			}
			return true
		})
		assigned.Tasks.Each(func(index int) bool {
			task := protocol.Task{Job: assigned.Job, Index: index}
			if maxTasks > 0 && !state.HasStopRequest(task, assigned.Attempt) {
				p.stopper.RequestStop(state, task, assigned.Attempt, grace, "preempted for "+string(preemptor.ID))
				maxTasks--
			}
			return maxTasks > 0
		})
	}
}

// rankedVictims lists the victims on a machine, those that are being stopped already first.
func (p *Preemptor) rankedVictims(machine *Candidate, job *PendingJob) []Allocation {
	victims := p.victims(machine, job)
	slices.SortStableFunc(victims, func(a, z Allocation) int {
		return cmp.Compare(p.countStopping(machine, z), p.countStopping(machine, a))
	})
	return victims
}

// countStopping counts the tasks that a stop is under way for.
func (p *Preemptor) countStopping(machine *Candidate, alloc Allocation) int {
	if machine.state == nil {
		return 0
	}
	return machine.state.CountStopRequests(alloc.Job, alloc.Attempt)
}
