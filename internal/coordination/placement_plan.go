package coordination

import "tillerarch/internal/protocol"

// placementPlan is what the last pass of the scheduler found.
type placementPlan struct {
	*stepContext

	pendingGangOps             int // changes that a gang needs which found no room in the last one
	unmetDemands               []unmetDemand
	computedAt                 protocol.Instant
	retainedMachines           map[protocol.MachineID]bool       // machines that the plan wants to keep
	hasPendingRemotePlacements bool                              // tasks of own jobs wait to be written to others' pages
	pendingPlacements          map[protocol.MachineID]bool       // those on which it has tasks that are not written yet
	availableCandidates        []*candidate                      // machines that may still take something
	contendedTypes             map[protocol.MachineTypeName]bool // machine types that tasks have waited for of late
	reservedPrecedences        map[int]bool                      // orders in which a job waits for machines to empty
}

func (plan *placementPlan) nextPlanTime() protocol.Instant {
	return plan.computedAt.Add(plan.cfg.MinCommitInterval)
}
