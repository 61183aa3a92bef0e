package scheduling

import (
	"time"

	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Plan is the result of the scheduler's last planning pass.
//
// Scheduler.PlacePendingJobs resets the plan, and the schedulers of arrays, gangs and services fill it
// during the pass. Until the next pass, the commit cycle, provisioning (demand, machines to retain) and
// the heartbeat handlers (machines with pending placements) read it. The readers of the demand and of the
// pending gang operations reset these earlier. The field pass is used only during the pass.
type Plan struct {
	*step.Context

	computedAt   protocol.Instant
	unmetDemands []provisioning.UnmetDemand
	// retainedMachines holds the machines that the plan uses.
	retainedMachines map[protocol.MachineID]bool
	// pendingPlacements holds the machines on which tasks are planned but not written.
	pendingPlacements map[protocol.MachineID]bool
	// hasPendingRemotePlacements is set if tasks of owned jobs are to be written to other controllers'
	// shards.
	hasPendingRemotePlacements bool
	// pendingGangOps is the number of operations that a gang needs and for which the last batch had no
	// capacity. It is kept across passes until TakePendingGangOps.
	pendingGangOps int

	pass planningPass
}

// planningPass is the state that the steps of one pass share.
type planningPass struct {
	// availableCandidates holds the schedulable machines. The pass removes full machines as it finds them.
	availableCandidates []*Candidate
	// contendedTypes holds the machine types that tasks have recently waited for, as of the start of the
	// pass.
	contendedTypes map[protocol.MachineTypeName]bool
	// reservedPrecedences holds the precedences in which a starved job has reserved machines. At most one
	// job of each precedence may have reserved machines.
	reservedPrecedences map[int]bool
}

// ExpectsPlacement reports whether the plan has tasks for a machine that are not recorded in the store.
func (plan *Plan) ExpectsPlacement(id protocol.MachineID) bool {
	return plan.pendingPlacements[id]
}

// RetainsMachine reports whether the plan uses a machine.
func (plan *Plan) RetainsMachine(id protocol.MachineID) bool {
	return plan.retainedMachines[id]
}

// Age returns the time since the plan was computed.
func (plan *Plan) Age() time.Duration { return plan.Since(plan.computedAt) }

// NextPlanTime returns the earliest time of the next plan.
func (plan *Plan) NextPlanTime() protocol.Instant {
	return plan.computedAt.Add(plan.Config.MinCommitInterval)
}

// Demands returns the tasks for which no machine has capacity. The slice belongs to the plan, which
// reuses it. The caller may reorder the elements.
func (plan *Plan) Demands() []provisioning.UnmetDemand { return plan.unmetDemands }

// ClearDemands removes the demand once machines have been requested for it.
func (plan *Plan) ClearDemands() { plan.unmetDemands = plan.unmetDemands[:0] }

// PendingGangOps returns the number of operations that a gang needs and for which the last batch had no
// capacity.
func (plan *Plan) PendingGangOps() int { return plan.pendingGangOps }

// TakePendingGangOps returns PendingGangOps and resets it.
func (plan *Plan) TakePendingGangOps() int {
	ops := plan.pendingGangOps
	plan.pendingGangOps = 0
	return ops
}

// HasPendingRemotePlacements reports whether tasks of owned jobs are still to be written to shards of
// other controllers.
func (plan *Plan) HasPendingRemotePlacements() bool { return plan.hasPendingRemotePlacements }

// reset discards the result of the previous pass, except for the pending gang operations.
func (plan *Plan) reset() {
	plan.computedAt = plan.Now.Monotonic
	plan.retainedMachines = map[protocol.MachineID]bool{}
	plan.hasPendingRemotePlacements = false
	plan.pendingPlacements = map[protocol.MachineID]bool{}
	plan.ClearDemands()
}

// retainMachine records that the plan uses the machine.
func (plan *Plan) retainMachine(machine *Candidate) {
	plan.retainedMachines[machine.id] = true
}

// expectPlacement records that the plan has tasks for the machine that this pass does not write.
func (plan *Plan) expectPlacement(machine *Candidate) {
	plan.pendingPlacements[machine.id] = true
}

// addDemand records tasks for which no machine has capacity. If zone is not empty, the tasks may run
// only there.
func (plan *Plan) addDemand(job *PendingJob, tasks int, zone protocol.Zone, isUrgent bool) {
	plan.unmetDemands = append(plan.unmetDemands, provisioning.UnmetDemand{
		Job:         job.id,
		Spec:        job.record.Spec,
		TaskCount:   tasks,
		Zone:        zone,
		Precedence:  job.precedence,
		SubmittedAt: job.record.SubmittedAt,
		IsUrgent:    isUrgent,
	})
}
