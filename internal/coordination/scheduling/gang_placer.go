package scheduling

import (
	"slices"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
)

// preemptionSeconds is the time that it takes to stop the tasks on a machine and to write the change to
// the store.
const preemptionSeconds = 6

// gangPlacer places one gang that has no placed task in a planning pass.
type gangPlacer struct {
	gangs      *gangScheduler
	batch      *commit.Batch
	job        *PendingJob
	candidates []*Candidate
	zones      []protocol.Zone // one of these takes all tasks; an empty zone means any zone
	tasks      int
}

// placeOrPreempt writes placements of the gang, plans placements that cannot be written now, or preempts
// tasks for the gang.
func (p *gangPlacer) placeOrPreempt() {
	chosen := p.choosePlacements()
	switch {
	case chosen == nil:
		p.preemptForGang()
	case p.canWritePlacements(chosen):
		p.writePlacements(chosen)
	default:
		p.planPlacements(chosen)
	}
}

// choosePlacements returns the placements of the gang's tasks. It returns nil if tasks have to be
// preempted first or the gang fits nowhere.
func (p *gangPlacer) choosePlacements() []placement {
	onFreeCapacity := p.cheapestOnFreeCapacity()
	preemptor := p.gangs.preemptor
	if reservation := preemptor.currentReservation(p.job, p.candidates, p.tasks); reservation != nil {
		if !hasFreeCapacity(reservation, p.job.record.Spec) {
			return nil // until the tasks there have been stopped
		}
		return reservation
	}
	if onFreeCapacity != nil && p.isPreemptionQuicker(onFreeCapacity) {
		return nil
	}
	return onFreeCapacity
}

// cheapestOnFreeCapacity distributes the gang over free capacity in the zone with the lowest cost. It
// returns nil if the gang does not fit.
func (p *gangPlacer) cheapestOnFreeCapacity() []placement {
	var best []placement
	for _, zone := range p.zones {
		placements := p.gangs.distributeOnFreeCapacity(p.batch, p.job, zone, p.tasks)
		if placements != nil && (best == nil || placementCost(placements) < placementCost(best)) {
			best = placements
		}
	}
	return best
}

// isPreemptionQuicker reports whether the gang starts sooner if tasks of lower priority are stopped.
// Preemption is quicker than waiting for a machine to boot, and quicker than fetching an image that other
// machines already have.
func (p *gangPlacer) isPreemptionQuicker(placements []placement) bool {
	if !p.gangs.preemptor.fitsJobRecord(placements) {
		return false
	}
	mustBoot := waitsForBoot(placements)
	if mustBoot || waitsForImage(placements, p.job.record.Spec) {
		if p.cheapestPreemption(true) != nil {
			return true
		}
	}
	return mustBoot && p.cheapestPreemption(false) != nil
}

// waitsForBoot reports whether one of the machines is not up yet.
func waitsForBoot(placements []placement) bool {
	return slices.ContainsFunc(placements, func(chosen placement) bool { return chosen.machine.isProvisioning })
}

// waitsForImage reports whether one of the machines takes longer to fetch the image than a preemption
// takes on another machine.
func waitsForImage(placements []placement, spec *protocol.Job) bool {
	return slices.ContainsFunc(placements, func(chosen placement) bool {
		isSlowFetch := catalog.ImageFetchSeconds(chosen.machine.machineType, spec) > preemptionSeconds
		return isSlowFetch && !chosen.machine.state.HasImage(spec.Image)
	})
}

// canWritePlacements reports whether this incarnation can write the placements now. A gang that is too
// large for one transaction is written in several, and none of its tasks starts before the last write.
func (p *gangPlacer) canWritePlacements(placements []placement) bool {
	gangs := p.gangs
	if waitsForBoot(placements) || !gangs.acquirer.canPlaceNow(p.batch, p.job) {
		return false
	}
	machines := make([]protocol.MachineID, 0, len(placements))
	for _, chosen := range placements {
		if !p.batch.HasShardHeadroom(chosen.machine.record) {
			return false
		}
		machines = append(machines, chosen.machine.id)
	}
	fits, opsWhenEmpty := p.batch.CanWriteMachines(machines)
	fitsNoTransaction := opsWhenEmpty == 0
	if fits || fitsNoTransaction {
		return true
	}
	if gangs.plan.pendingGangOps == 0 {
		gangs.plan.pendingGangOps = opsWhenEmpty + gangs.limits.ReservedUserTokens()
	}
	return false
}

// writePlacements writes as many of the placements as fit in the transaction.
func (p *gangPlacer) writePlacements(placements []placement) {
	gangs, job := p.gangs, p.job
	pendingTasks := gangs.acquirer.pendingTasks(p.batch, job, p.tasks)
	attempts := attemptsOf(gangs.jobs, job.id)
	attempt := attempts.nextAttempt()
	p.batch.OnSend(func() { attempts.beginGangWrite(attempt) })
	for _, chosen := range placements {
		if gangs.scheduler.fitsTransaction(p.batch, chosen.machine, job.record.Spec) {
			gangs.writeGangTasks(p.batch, job, chosen.machine, pendingTasks[:chosen.count], attempt)
		}
		pendingTasks = pendingTasks[chosen.count:]
		job.recordAllocation(chosen.machine, chosen.count, attempt)
		gangs.plan.retainMachine(chosen.machine)
	}
}

// planPlacements records in the plan placements that are not written in this pass.
func (p *gangPlacer) planPlacements(placements []placement) {
	for _, chosen := range placements {
		p.job.recordAllocation(chosen.machine, chosen.count, 0)
		p.gangs.plan.retainMachine(chosen.machine)
		p.gangs.plan.expectPlacement(chosen.machine)
	}
}

// preemptForGang reserves machines for a gang that fits nowhere, while their owners stop tasks of lower
// priority there. The job's owner chooses the machines and records the choice in the store. If each
// owner of machines chose by itself, two owners could preempt for one gang.
func (p *gangPlacer) preemptForGang() {
	gangs, job := p.gangs, p.job
	canWrite := gangs.acquirer.canWritePlacements(p.batch, job)
	placements := gangs.preemptor.currentReservation(job, p.candidates, p.tasks)
	if placements == nil && job.isStarved {
		if gangs.reserveForStarvedJob(p.batch, job, p.candidates, p.zones, p.tasks) && canWrite {
			p.addDemand()
		}
		if gangs.plan.pass.reservedPrecedences[job.precedence] {
			return
		}
	}
	if placements == nil && canWrite {
		placements = p.choosePreemption()
	}
	for _, chosen := range placements {
		p.preemptOnMachine(chosen)
		job.recordAllocation(chosen.machine, chosen.count, 0)
		gangs.plan.retainMachine(chosen.machine)
	}
}

// choosePreemption chooses the machines on which tasks are stopped for the gang, and records the choice.
// If there are none, it records the gang as unmet demand and returns nil.
func (p *gangPlacer) choosePreemption() []placement {
	placements := p.cheapestPreemption(true)
	if placements == nil {
		placements = p.cheapestPreemption(false)
	}
	if placements == nil || !p.gangs.preemptor.fitsJobRecord(placements) {
		p.addDemand()
		return nil
	}
	if p.batch.HasCapacity(p.batch.OpsNeeded("", p.job.id)) {
		recordReservation(p.batch, p.job.id, placements, "preemption planned for gang")
	}
	return placements
}

// cheapestPreemption returns placements on the machines that lose the least work. With requireImage, it
// considers only machines that have the image. It returns nil if there are too few machines.
func (p *gangPlacer) cheapestPreemption(requireImage bool) []placement {
	return p.gangs.preemptor.cheapestPreemption(p.job, p.candidates, p.zones, p.tasks, requireImage)
}

// preemptOnMachine stops as many tasks on a reserved machine as the gang's tasks need there. The store
// must contain the reservation before any task is stopped for it.
func (p *gangPlacer) preemptOnMachine(chosen placement) {
	recordedMachines := p.gangs.Replica.Jobs[p.job.id].Record.ReservedMachines
	isReserved := slices.Contains(recordedMachines, chosen.machine.id)
	free := chosen.machine.free
	for _, victim := range p.gangs.preemptor.victims(chosen.machine, p.job) {
		if free.CapacityFor(p.job.record.Spec) >= chosen.count {
			return
		}
		free.Allocate(victim.spec, -victim.count)
		isWritten := victim.attempt > 0
		if isWritten && isReserved {
			p.gangs.preemptor.preemptTasks(chosen.machine, victim, p.job, victim.count)
		}
	}
}

// addDemand records the gang as unmet demand.
func (p *gangPlacer) addDemand() {
	p.gangs.plan.addDemand(p.job, p.tasks, p.job.record.Spec.Zone, true)
}
