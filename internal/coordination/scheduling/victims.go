package scheduling

import (
	"cmp"
	"slices"

	"tillerarch/internal/coordination/catalog"
)

const (
	// replicaStopCostSeconds is the assumed cost of stopping a replica, in seconds of its run time.
	replicaStopCostSeconds = 60
	// minRemainingSeconds is the minimum expected remaining run time of a task, however long it has run.
	minRemainingSeconds = 5
)

// victims returns the allocations of lower priority on a machine, least loss per core first.
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

// victimsStoppingFirst returns the victims on a machine, ordered by the number of tasks that are being
// stopped already, largest number first.
func (p *preemptor) victimsStoppingFirst(machine *Candidate, job *PendingJob) []*allocation {
	victims := p.victims(machine, job)
	slices.SortStableFunc(victims, func(left, right *allocation) int {
		return cmp.Compare(countStoppingTasks(machine, right), countStoppingTasks(machine, left))
	})
	return victims
}

// countStoppingTasks returns the number of tasks for which a stop is requested.
func countStoppingTasks(machine *Candidate, alloc *allocation) int {
	if machine.state == nil {
		return 0
	}
	return machine.state.CountStopRequests(alloc.job, alloc.attempt)
}

// lostWork returns the work, in core-seconds, that is lost if the tasks are stopped.
func (p *preemptor) lostWork(machine *Candidate, alloc *allocation) float64 {
	if alloc.spec.CanCheckpoint() {
		return alloc.cores() * alloc.spec.CheckpointSaveSeconds
	}
	if alloc.spec.IsService() {
		return alloc.cores() * replicaStopCostSeconds
	}
	return alloc.cores() * p.runningSeconds(machine, alloc)
}

// expectedRemainingSeconds returns the expected remaining run time of the tasks.
func (p *preemptor) expectedRemainingSeconds(machine *Candidate, alloc *allocation) float64 {
	if alloc.spec.IsService() {
		return unboundedRuntime.Seconds()
	}
	return max(alloc.spec.EstimatedRunSeconds-p.runningSeconds(machine, alloc), minRemainingSeconds)
}

// runningSeconds returns the time since the tasks were assigned, or 0 if that is unknown.
func (p *preemptor) runningSeconds(machine *Candidate, alloc *allocation) float64 {
	assignedAt, isKnown := p.agents.AssignedSince(assignmentKey(machine, alloc))
	if !isKnown {
		return 0
	}
	return p.Since(assignedAt).Seconds()
}
