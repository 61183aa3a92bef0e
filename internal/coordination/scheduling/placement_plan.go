package scheduling

import (
	"time"

	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Plan is what the last pass of the scheduler found.
type Plan struct {
	*step.Context

	pendingGangOps             int // changes that a gang needs which found no room in the last one
	unmetDemands               []provisioning.UnmetDemand
	computedAt                 protocol.Instant
	retainedMachines           map[protocol.MachineID]bool       // machines that the plan wants to keep
	hasPendingRemotePlacements bool                              // tasks of own jobs wait to be written to others' pages
	pendingPlacements          map[protocol.MachineID]bool       // those on which it has tasks that are not written yet
	availableCandidates        []*Candidate                      // machines that may still take something
	ContendedTypes             map[protocol.MachineTypeName]bool // machine types that tasks have waited for of late
	reservedPrecedences        map[int]bool                      // orders in which a job waits for machines to empty
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

// Demands lists the demand that no machine can take. It belongs to the plan, which fills it
// anew; its order may be changed.
func (plan *Plan) Demands() []provisioning.UnmetDemand { return plan.unmetDemands }

// ClearDemands drops the demand once machines have been requested for it.
func (plan *Plan) ClearDemands() { plan.unmetDemands = plan.unmetDemands[:0] }

// PendingGangOps is how many operations a gang needs that found no room in the last batch.
func (plan *Plan) PendingGangOps() int { return plan.pendingGangOps }

// TakePendingGangOps gives PendingGangOps and resets it.
func (plan *Plan) TakePendingGangOps() int {
	ops := plan.pendingGangOps
	plan.pendingGangOps = 0
	return ops
}

// HasPendingRemotePlacements tells whether tasks of own jobs wait to be recorded on shards of
// other controllers.
func (plan *Plan) HasPendingRemotePlacements() bool { return plan.hasPendingRemotePlacements }

// NextPlanTime is the earliest time of the next plan.
func (plan *Plan) NextPlanTime() protocol.Instant {
	return plan.computedAt.Add(plan.Config.MinCommitInterval)
}
