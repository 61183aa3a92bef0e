package coordination

import (
	"cmp"
	"slices"
	"sort"
	"tillerarch/internal/protocol"
)

// preemptor finds the tasks whose preemption costs least, and stops them.
type preemptor struct {
	*stepContext

	agents  *agentTable
	gangs   *gangScheduler
	lease   *incarnationLease
	limits  *writeLimiter
	stopper *taskStopper
}

// expectedRemainingSeconds is for how many seconds more tasks are expected to run.
func (p *preemptor) expectedRemainingSeconds(machine *candidate, alloc allocation) float64 {
	if alloc.desc.IsService() {
		return unboundedRuntime.Seconds()
	}
	return max(alloc.desc.EstimatedRunSeconds-p.runningSeconds(machine, alloc), 5)
}

// runningSeconds is for how many seconds tasks have been assigned, as far as it is known.
func (p *preemptor) runningSeconds(machine *candidate, alloc allocation) float64 {
	if assignedAt, ok := p.agents.assignedAt[assignmentKey{machine: machine.id, job: alloc.job, attempt: alloc.attempt}]; ok {
		return p.since(assignedAt).Seconds()
	}
	return 0
}

// fitsJobRecord tells whether a choice of machines fits the job's record. One that
// does not would be refused with all else that is in its transaction.
func (p *preemptor) fitsJobRecord(placements []placement) bool {
	return len(placements) <= p.limits.jobRecordBudget()/14
}

// capacityAfterPreemption tells how many tasks of the gang fit once what ranks lower is gone.
func (p *preemptor) capacityAfterPreemption(machine *candidate, job *pendingJob) int {
	if machine.isProvisioning {
		return 0
	}
	simulated := *machine
	for _, alloc := range p.victims(machine, job) {
		simulated.allocate(alloc.desc, -alloc.count)
	}
	return simulated.capacityFor(job.record.Spec)
}

// currentReservation is the choice on record, as long as it still serves.
func (p *preemptor) currentReservation(job *pendingJob, candidates []*candidate, tasks int) []placement {
	if len(job.record.ReservedMachines) == 0 {
		return nil
	}
	return p.gangs.distributeGang(nil, job, job.reservedCandidates(candidates), "", tasks, func(machine *candidate) int { return p.capacityAfterPreemption(machine, job) })
}

// cheapestPreemption chooses the machines on which the least work is lost.
// warm: only of those that have the image.
func (p *preemptor) cheapestPreemption(job *pendingJob, candidates []*candidate, zones []protocol.Zone, tasks int, requireImage bool) []placement {
	cost := map[*candidate]float64{}
	var machines []*candidate
	for _, machine := range candidates {
		if !machine.isUnschedulable && !machine.isProvisioning && machine.machineType.CanFitTask(job.record.Spec) && (!requireImage || machine.state.hasImage(job.record.Spec.Image)) {
			machines = append(machines, machine)
		}
	}
	for _, machine := range machines {
		cost[machine] = p.preemptionCost(machine, job)
	}
	sort.SliceStable(machines, func(i, k int) bool { return cost[machines[i]] < cost[machines[k]] })
	for _, zone := range zones {
		if placements := p.gangs.distributeGang(nil, job, machines, zone, tasks, func(machine *candidate) int { return p.capacityAfterPreemption(machine, job) }); placements != nil {
			return placements
		}
	}
	return nil
}

// preemptionCost is what making room on a machine costs, in core-seconds: work lost,
// and cores that wait for tasks to save or for the image.
func (p *preemptor) preemptionCost(machine *candidate, job *pendingJob) float64 {
	d := job.record.Spec
	simulated, cost, waitSeconds := *machine, 0.0, 0.0
	for _, alloc := range p.victims(machine, job) {
		if simulated.capacityFor(d) > 0 {
			break
		}
		simulated.allocate(alloc.desc, -alloc.count)
		cost += p.lostWork(machine, alloc)
		if alloc.desc.CanCheckpoint() {
			waitSeconds = max(waitSeconds, alloc.desc.CheckpointSaveSeconds)
		}
	}
	if !machine.state.hasImage(d.Image) {
		waitSeconds += imageFetchSeconds(machine.machineType, d)
	}
	return cost + waitSeconds*d.Cores
}

// lostWork is the work, in core-seconds, that stopping the tasks would throw away.
func (p *preemptor) lostWork(machine *candidate, alloc allocation) float64 {
	if alloc.desc.CanCheckpoint() {
		return float64(alloc.count) * alloc.desc.Cores * alloc.desc.CheckpointSaveSeconds
	}
	if alloc.desc.IsService() {
		return float64(alloc.count) * alloc.desc.Cores * replicaStopCostSeconds
	}
	return float64(alloc.count) * alloc.desc.Cores * p.runningSeconds(machine, alloc)
}

// victims lists what ranks lower on a machine, least loss per core first.
func (p *preemptor) victims(machine *candidate, job *pendingJob) []allocation {
	var out []allocation
	for _, alloc := range machine.allocations {
		if alloc.precedence > job.precedence {
			out = append(out, alloc)
		}
	}
	loss := func(alloc allocation) float64 {
		return p.lostWork(machine, alloc) / max(float64(alloc.count)*alloc.desc.Cores, epsilon)
	}
	slices.SortStableFunc(out, func(a, z allocation) int { return cmp.Compare(loss(a), loss(z)) })
	return out
}

// preemptTasks stops up to most of a job's tasks on an owned machine for one of higher rank,
// those that are being stopped already among them.
func (p *preemptor) preemptTasks(machine *candidate, alloc allocation, preemptor *pendingJob, maxTasks int) {
	if !p.lease.ownsMachine(machine.record) || p.now.Wall-preemptor.record.SubmittedAt < 500 {
		return
	}
	state := p.agents.machineStates[machine.id]
	if state == nil {
		return
	}
	if alloc.desc.IsGang() && alloc.desc.TaskCount > 1 && alloc.desc.CanCheckpoint() {
		p.stopper.gracefulStops[alloc.job] = alloc.attempt // all its tasks must hear of it, not only those here
		return
	}
	grace := 0.0
	if alloc.desc.CanCheckpoint() {
		grace = alloc.desc.CheckpointSaveSeconds + 0.5
	}
	for i := range machine.record.Assignments {
		assigned := &machine.record.Assignments[i]
		if assigned.Job != alloc.job || assigned.Attempt != alloc.attempt {
			continue
		}
		assigned.Tasks.Each(func(index int) bool {
			if s, ok := state.stopRequests[protocol.Task{Job: assigned.Job, Index: index}]; ok && s.attempt == assigned.Attempt {
				maxTasks--
			}
			return true
		})
		assigned.Tasks.Each(func(index int) bool {
			task := protocol.Task{Job: assigned.Job, Index: index}
			if s, ok := state.stopRequests[task]; maxTasks > 0 && (!ok || s.attempt != assigned.Attempt) {
				p.stopper.requestStop(state, task, assigned.Attempt, grace, "preempted for "+string(preemptor.id))
				maxTasks--
			}
			return maxTasks > 0
		})
	}
}

// rankedVictims lists the victims on a machine, those that are being stopped already first.
func (p *preemptor) rankedVictims(machine *candidate, job *pendingJob) []allocation {
	victims := p.victims(machine, job)
	slices.SortStableFunc(victims, func(a, z allocation) int {
		return cmp.Compare(p.countStopping(machine, z), p.countStopping(machine, a))
	})
	return victims
}

// countStopping counts the tasks that a stop is under way for.
func (p *preemptor) countStopping(machine *candidate, alloc allocation) int {
	if machine.state == nil {
		return 0
	}
	n := 0
	for t, s := range machine.state.stopRequests {
		if t.Job == alloc.job && s.attempt == alloc.attempt {
			n++
		}
	}
	return n
}
