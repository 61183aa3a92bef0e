package scheduling

import (
	"time"

	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Plan is the outcome of the scheduler's last planning pass.
//
// Scheduler.PlacePendingJobs starts it anew with reset. The schedulers of arrays, gangs and
// services fill the outcome during the pass; it outlives the pass and is read until the next
// one by the commit cycle, by provisioning (demand, machines to retain) and by the handling of
// heartbeats (machines with pending placements). Demand and pending gang operations are reset
// earlier, by their reader. The field pass is used during the pass only.
type Plan struct {
	*step.Context

	computedAt   protocol.Instant
	unmetDemands []provisioning.UnmetDemand
	// Machines that the plan uses.
	retainedMachines map[protocol.MachineID]bool
	// Machines on which tasks are planned that are not written.
	pendingPlacements map[protocol.MachineID]bool
	// Tasks of owned jobs are to be written to other controllers' shards.
	hasPendingRemotePlacements bool
	// Operations that a gang needs and that the last batch had no capacity for; kept
	// across passes until TakePendingGangOps.
	pendingGangOps int

	pass planningPass
}

// planningPass is what the steps of one pass share.
type planningPass struct {
	// Schedulable machines; those that are full are dropped as the pass finds them.
	availableCandidates []*Candidate
	// Types that tasks have waited for lately, as at the start of the pass.
	contendedTypes map[protocol.MachineTypeName]bool
	// Precedences in which a job has machines reserved: at most one job of each.
	reservedPrecedences map[int]bool
}

// ExpectsPlacement tells whether the plan has tasks for a machine that are not on record yet.
func (plan *Plan) ExpectsPlacement(id protocol.MachineID) bool {
	return plan.pendingPlacements[id]
}

// RetainsMachine tells whether the plan uses a machine.
func (plan *Plan) RetainsMachine(id protocol.MachineID) bool {
	return plan.retainedMachines[id]
}

// Age is the time since the plan was computed.
func (plan *Plan) Age() time.Duration { return plan.Since(plan.computedAt) }

// NextPlanTime is the earliest time of the next plan.
func (plan *Plan) NextPlanTime() protocol.Instant {
	return plan.computedAt.Add(plan.Config.MinCommitInterval)
}

// Demands lists the demand that no machine can take. It belongs to the plan, which fills it
// anew; its order may be changed.
func (plan *Plan) Demands() []provisioning.UnmetDemand { return plan.unmetDemands }

// ClearDemands drops the demand once machines have been requested for it.
func (plan *Plan) ClearDemands() { plan.unmetDemands = plan.unmetDemands[:0] }

// PendingGangOps is how many operations a gang needs that the last batch had no capacity for.
func (plan *Plan) PendingGangOps() int { return plan.pendingGangOps }

// TakePendingGangOps returns PendingGangOps and resets it.
func (plan *Plan) TakePendingGangOps() int {
	ops := plan.pendingGangOps
	plan.pendingGangOps = 0
	return ops
}

// HasPendingRemotePlacements tells whether tasks of owned jobs are still to be recorded on shards of
// other controllers.
func (plan *Plan) HasPendingRemotePlacements() bool { return plan.hasPendingRemotePlacements }

// reset drops the outcome of the pass before.
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

// expectPlacement records that tasks are planned on the machine that are not written in this pass.
func (plan *Plan) expectPlacement(machine *Candidate) {
	plan.pendingPlacements[machine.id] = true
}

// addDemand records tasks that no machine can take; zone is the only one they may be in, if not
// empty.
func (plan *Plan) addDemand(job *PendingJob, tasks int, zone protocol.Zone, isUrgent bool) {
	plan.unmetDemands = append(plan.unmetDemands, provisioning.UnmetDemand{
		Job:         job.id,
		Spec:        job.record.Spec,
		Tasks:       tasks,
		Zone:        zone,
		Precedence:  job.precedence,
		SubmittedAt: job.record.SubmittedAt,
		Urgent:      isUrgent,
	})
}
