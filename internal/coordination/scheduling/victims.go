package scheduling

import (
	"cmp"
	"slices"

	"tillerarch/internal/coordination/catalog"
)

const (
	// replicaStopCostSeconds is what stopping a replica is taken to cost, in seconds of its run.
	replicaStopCostSeconds = 60
	// minRemainingSeconds is for how long a task is expected to run at least, however long it has
	// run already.
	minRemainingSeconds = 5
)

// victims lists the allocations of lower priority on a machine, the least loss per core first.
func (p *preemptor) victims(machine *Candidate, job *PendingJob) []*allocation {
	var victims []*allocation
	for i := range machine.allocations {
		if alloc := &machine.allocations[i]; alloc.precedence > job.precedence {
			victims = append(victims, alloc)
		}
	}
	lossPerCore := func(alloc *allocation) float64 {
		return p.lostWork(machine, alloc) / max(alloc.cores(), catalog.Epsilon)
	}
	slices.SortStableFunc(victims, func(left, right *allocation) int {
		return cmp.Compare(lossPerCore(left), lossPerCore(right))
	})
	return victims
}

// victimsStoppingFirst lists the victims on a machine, those with the most tasks that are being stopped
// already first.
func (p *preemptor) victimsStoppingFirst(machine *Candidate, job *PendingJob) []*allocation {
	victims := p.victims(machine, job)
	slices.SortStableFunc(victims, func(left, right *allocation) int {
		return cmp.Compare(countStoppingTasks(machine, right), countStoppingTasks(machine, left))
	})
	return victims
}

// countStoppingTasks counts the tasks that a stop is requested for.
func countStoppingTasks(machine *Candidate, alloc *allocation) int {
	if machine.state == nil {
		return 0
	}
	return machine.state.CountStopRequests(alloc.job, alloc.attempt)
}

// lostWork is the work, in core-seconds, that stopping the tasks would throw away.
func (p *preemptor) lostWork(machine *Candidate, alloc *allocation) float64 {
	if alloc.spec.CanCheckpoint() {
		return alloc.cores() * alloc.spec.CheckpointSaveSeconds
	}
	if alloc.spec.IsService() {
		return alloc.cores() * replicaStopCostSeconds
	}
	return alloc.cores() * p.runningSeconds(machine, alloc)
}

// expectedRemainingSeconds is for how many seconds more tasks are expected to run.
func (p *preemptor) expectedRemainingSeconds(machine *Candidate, alloc *allocation) float64 {
	if alloc.spec.IsService() {
		return unboundedRuntime.Seconds()
	}
	return max(alloc.spec.EstimatedRunSeconds-p.runningSeconds(machine, alloc), minRemainingSeconds)
}

// runningSeconds is for how many seconds tasks have been assigned, as far as it is known.
func (p *preemptor) runningSeconds(machine *Candidate, alloc *allocation) float64 {
	assignedAt, isKnown := p.agents.AssignedSince(assignmentKey(machine, alloc))
	if !isKnown {
		return 0
	}
	return p.Since(assignedAt).Seconds()
}
