package coordination

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// candidateLister lists machines with their free capacity as candidates for placement.
type candidateLister struct {
	*stepContext

	agents      *agentTable
	catalog     *machineCatalog
	lease       *incarnationLease
	provisioner *machineProvisioner
	queue       *jobQueue
	spot        *spotPricing
	terminator  *machineTerminator
	transfers   *transferManager

	nextFleetLogAt protocol.Instant
}

// candidate is a machine as the planner sees it.
type candidate struct {
	resources // that are free

	id                  protocol.MachineID
	state               *machineState // nil: nothing is remembered of it here
	record              *storage.MachineRecord
	machineType         *protocol.MachineType
	isProvisioning      bool // rented, but not up yet: nothing is written to it
	isUnschedulable     bool // takes no new task
	isNearSpotPeriodEnd bool // because its period is about to end
	allocations         []allocation
	// What tasks are to take that follow those which run there.
	backfillReservation resources
}

// allocation is what a job has on a machine.
type allocation struct {
	job        protocol.JobID
	attempt    protocol.Attempt
	count      int
	desc       *protocol.Job
	precedence int
}

// isMachineAllowed tells whether the job's tasks may be on the machine at all.
func (l *candidateLister) isMachineAllowed(j *protocol.Job, machine *candidate) bool {
	return j.AllowsPlacement(machine.record.MachineType, machine.record.Zone) && (!machine.record.Spot || l.spot.canUseSpot(j, machine.machineType))
}

// listCandidates lists the machines, with what is left on them.
func (l *candidateLister) listCandidates(b *batch) []*candidate {
	list := l.replica.SortedMachines()
	out := make([]*candidate, 0, len(list)+16)
	live := map[storage.Incarnation]bool{l.lease.incarnation: true}
	for _, entry := range l.replica.Controllers {
		live[entry.Record.Incarnation] = true
	}
	machineTypes := map[protocol.MachineTypeName]*protocol.MachineType{}
	for i := range l.catalog.machineTypes {
		machineTypes[l.catalog.machineTypes[i].Name] = &l.catalog.machineTypes[i]
	}
	quiescedShards := l.transfers.ShardsInTransfer(isPrepared)
	precedences := map[*protocol.Job]int{}
	for _, entry := range list {
		id, record := entry.ID, &entry.Record
		if b.shards[record.Shard] != nil {
			if b.removesMachine(id) {
				continue
			}
			record = b.machineRecord(id)
		}
		machineType := machineTypes[record.MachineType]
		if machineType == nil {
			continue
		}
		machine := &candidate{id: id, state: l.agents.machineStates[id], record: record, machineType: machineType, resources: capacityOf(machineType), isProvisioning: record.AgentEpoch == 0}
		machine.isUnschedulable = record.Terminating || record.Cordoned || !live[record.Owner] || quiescedShards[record.Shard] || l.terminator.terminations[id] != nil
		for i := range record.Assignments {
			assigned := &record.Assignments[i]
			j := b.jobRecord(assigned.Job)
			if j == nil || j.Spec == nil {
				machine.isUnschedulable = true // what it takes is not known
				continue
			}
			precedence, ok := precedences[j.Spec]
			if !ok {
				precedence = l.queue.precedenceOf(j.Spec)
				precedences[j.Spec] = precedence
			}
			n := assigned.Tasks.Len()
			machine.allocate(j.Spec, n)
			machine.allocations = append(machine.allocations, allocation{job: assigned.Job, attempt: assigned.Attempt, count: n, desc: j.Spec, precedence: precedence})
		}
		if record.Spot && !machine.isUnschedulable {
			age := millisToDuration(l.now.Wall - record.AddedAt)
			machine.isNearSpotPeriodEnd = IsNearPeriodBoundary(id, age, l.cfg.SpotPeriod, l.cfg.SpotPeriodEndMargin)
			if threshold := l.spot.spotThresholds[priceKey{machineType: record.MachineType, zone: record.Zone}]; threshold != nil && !threshold.AllowsSpot() || machine.isNearSpotPeriodEnd {
				machine.isUnschedulable = true
			}
		}
		out = append(out, machine)
	}
	return append(out, l.provisioningCandidates()...)
}

// provisioningCandidates lists the machines of rental requests that are on no record yet.
func (l *candidateLister) provisioningCandidates() []*candidate {
	var out []*candidate
	for _, name := range sortedKeys(l.provisioner.requests) {
		request := l.provisioner.requests[name]
		machineType := l.catalog.machineType(request.request.Type)
		if machineType == nil {
			continue
		}
		missing := request.request.Count
		if request.grantedMachines != nil {
			missing = 0
			for _, id := range request.grantedMachines {
				if l.replica.Machines[id] == nil {
					missing++
				}
			}
		}
		for range missing {
			out = append(out, &candidate{id: protocol.MachineID("~" + name), isProvisioning: true, machineType: machineType, resources: capacityOf(machineType),
				record: &storage.MachineRecord{MachineType: request.request.Type, Zone: request.request.Zone, Spot: request.request.Spot}})
		}
	}
	return out
}

// logFleet tells, every ten seconds, what is rented and how much of it is in use.
func (l *candidateLister) logFleet(candidates []*candidate) {
	if l.now.Monotonic < l.nextFleetLogAt {
		return
	}
	l.nextFleetLogAt = l.now.Monotonic.Add(10 * time.Second)
	type totals struct {
		up, coming  int
		margin      int
		closed      int
		cores, used float64
	}
	byPool := map[poolKey]*totals{}
	for _, machine := range candidates {
		key := poolKey{machineType: machine.record.MachineType, zone: "", spot: machine.record.Spot}
		if byPool[key] == nil {
			byPool[key] = &totals{}
		}
		if machine.isProvisioning {
			byPool[key].coming++
			continue
		}
		byPool[key].up++
		if machine.isNearSpotPeriodEnd {
			byPool[key].margin++
		}
		if machine.isUnschedulable {
			byPool[key].closed++
		}
		byPool[key].cores += machine.machineType.Cores
		byPool[key].used += machine.machineType.Cores - machine.cores
	}
	for key, threshold := range l.spot.spotThresholds {
		l.log(slog.LevelDebug, "spot price threshold", "machine_type", string(key.machineType), "zone", string(key.zone), "price", threshold.spotPrice, "threshold", threshold.Value(), "spot_allowed", threshold.AllowsSpot())
	}
	for key, total := range byPool {
		l.log(slog.LevelDebug, "fleet utilization", "machine_type", string(key.machineType), "spot", key.spot, "running", total.up, "provisioning", total.coming, "cores_total", total.cores, "cores_allocated", total.used, "near_spot_period_end", total.margin, "unschedulable", total.closed)
	}
}

func (m *machineState) hasImage(name string) bool {
	if m == nil {
		return false
	}
	for i := range m.cachedImages {
		if m.cachedImages[i].name == name {
			return true
		}
	}
	return false
}

// awaitsHeartbeat tells whether what is written to a machine goes out with its next
// report only: none of it waits for an answer here.
func (l *candidateLister) awaitsHeartbeat(machine *candidate) bool {
	state := l.agents.machineStates[machine.id]
	return machine.record.Owner == l.lease.incarnation && state != nil && state.deferredRequest == 0
}
