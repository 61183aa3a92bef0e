package scheduling

import (
	"slices"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
)

// provisioningMachineCost is what a machine that is not up yet costs a gang, in machines: one
// that runs is better than any saving in their number.
const provisioningMachineCost = 1000

// placement is a number of tasks of a job on a machine.
type placement struct {
	machine *Candidate
	count   int
}

// placementCost compares placements of one gang: the fewer machines the better, and none that
// has to boot.
func placementCost(placements []placement) float64 {
	cost := 0.0
	for _, chosen := range placements {
		cost++
		if chosen.machine.isProvisioning {
			cost += provisioningMachineCost
		}
	}
	return cost
}

// hasFreeCapacity tells whether the tasks fit now.
func hasFreeCapacity(placements []placement, spec *protocol.Job) bool {
	return !slices.ContainsFunc(placements, func(chosen placement) bool {
		return chosen.machine.free.CapacityFor(spec) < chosen.count
	})
}

// distributeOnFreeCapacity distributes tasks over the free capacity of a zone (any, if empty); nil: they
// do not fit.
func (g *gangScheduler) distributeOnFreeCapacity(
	batch *commit.Batch, job *PendingJob, zone protocol.Zone, tasks int,
) []placement {
	machines := g.scheduler.rankedCandidates(batch, job, allShards)
	return g.distributeTasks(job, machines, zone, tasks, func(machine *Candidate) int {
		return machine.free.CapacityFor(job.record.Spec)
	})
}

// distributeTasks distributes tasks over the machines of a zone (any, if empty), first come first
// served, by the capacity that each is said to have; nil: they do not fit.
func (g *gangScheduler) distributeTasks(
	job *PendingJob, machines []*Candidate, zone protocol.Zone, tasks int, capacity func(*Candidate) int,
) []placement {
	var placements []placement
	tasksByZone := map[protocol.Zone]int{}
	for _, machine := range machines {
		if tasks == 0 {
			break
		}
		isInZone := zone == "" || machine.record.Zone == zone
		if !isInZone || machine.isUnschedulable || !g.lister.isMachineAllowed(job.record.Spec, machine) {
			continue
		}
		zoneHeadroom := job.zoneHeadroom(machine.record.Zone) - tasksByZone[machine.record.Zone]
		count := min(capacity(machine), tasks, zoneHeadroom)
		if count <= 0 {
			continue
		}
		tasksByZone[machine.record.Zone] += count
		placements = append(placements, placement{machine: machine, count: count})
		tasks -= count
	}
	if tasks > 0 {
		return nil
	}
	return placements
}

// distributeInFirstZone distributes tasks over the machines of the first zone that takes them all.
func (g *gangScheduler) distributeInFirstZone(
	job *PendingJob, machines []*Candidate, zones []protocol.Zone, tasks int, capacity func(*Candidate) int,
) []placement {
	for _, zone := range zones {
		if placements := g.distributeTasks(job, machines, zone, tasks, capacity); placements != nil {
			return placements
		}
	}
	return nil
}
