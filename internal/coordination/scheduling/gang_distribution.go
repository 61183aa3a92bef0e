package scheduling

import (
	"slices"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
)

// provisioningMachineCost is the cost of a machine that is not up yet, in running machines. A running
// machine is better than any reduction of the number of machines.
const provisioningMachineCost = 1000

// placement is a number of tasks of a job on one machine.
type placement struct {
	machine *Candidate
	count   int
}

// placementCost returns the cost by which placements of one gang are compared. Fewer machines cost less,
// and machines that still have to boot cost most.
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

// hasFreeCapacity reports whether the free capacity of each machine suffices for its tasks.
func hasFreeCapacity(placements []placement, spec *protocol.Job) bool {
	return !slices.ContainsFunc(placements, func(chosen placement) bool {
		return chosen.machine.free.CapacityFor(spec) < chosen.count
	})
}

// distributeOnFreeCapacity distributes tasks over the free capacity of a zone, or of all zones if zone
// is empty. It returns nil if the tasks do not fit.
func (g *gangScheduler) distributeOnFreeCapacity(
	batch *commit.Batch, job *PendingJob, zone protocol.Zone, tasks int,
) []placement {
	machines := g.scheduler.rankedCandidates(batch, job, allShards)
	return g.distributeTasks(job, machines, zone, tasks, func(machine *Candidate) int {
		return machine.free.CapacityFor(job.record.Spec)
	})
}

// distributeTasks distributes tasks over the machines of a zone, or of all zones if zone is empty. It
// fills the machines in the given order up to the result of capacity, and returns nil if the tasks do
// not fit.
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

// distributeInFirstZone distributes tasks over the machines of the first zone that has capacity for all
// of them. An empty zone includes all machines. It returns nil if the tasks fit in none of the zones.
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
