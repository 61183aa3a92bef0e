package scheduling

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// CandidateLister lists machines with their free capacity as candidates for placement.
type CandidateLister struct {
	*step.Context

	agents      *agents.Table
	catalog     *catalog.Catalog
	lease       *commit.Lease
	provisioner *provisioning.Provisioner
	queue       *Queue
	spot        *catalog.SpotPricing
	terminator  *provisioning.Terminator
	transfers   *ownership.Transfers

	nextFleetLogAt protocol.Instant
}

// Candidate is a machine as the planner sees it.
type Candidate struct {
	catalog.Resources // that are free

	ID                  protocol.MachineID
	state               *agents.MachineState // nil: nothing is remembered of it here
	Record              *storage.MachineRecord
	MachineType         *protocol.MachineType
	isProvisioning      bool // rented, but not up yet: nothing is written to it
	IsUnschedulable     bool // takes no new task
	isNearSpotPeriodEnd bool // because its period is about to end
	Allocations         []Allocation
	// What tasks are to take that follow those which run there.
	backfillReservation catalog.Resources
}

// Allocation is what a job has on a machine.
type Allocation struct {
	Job        protocol.JobID
	Attempt    protocol.Attempt
	Count      int
	Desc       *protocol.Job
	precedence int
}

// IsMachineAllowed tells whether the job's tasks may be on the machine at all.
func (l *CandidateLister) IsMachineAllowed(j *protocol.Job, machine *Candidate) bool {
	return j.AllowsPlacement(machine.Record.MachineType, machine.Record.Zone) && (!machine.Record.Spot || l.spot.CanUseSpot(j, machine.MachineType))
}

// listCandidates lists the machines, with what is left on them.
func (l *CandidateLister) listCandidates(b *commit.Batch) []*Candidate {
	list := l.Replica.SortedMachines()
	out := make([]*Candidate, 0, len(list)+16)
	live := map[storage.Incarnation]bool{l.lease.Incarnation(): true}
	for _, entry := range l.Replica.Controllers {
		live[entry.Record.Incarnation] = true
	}
	machineTypes := map[protocol.MachineTypeName]*protocol.MachineType{}
	for i := range l.catalog.MachineTypes() {
		machineTypes[l.catalog.MachineTypes()[i].Name] = &l.catalog.MachineTypes()[i]
	}
	quiescedShards := l.transfers.ShardsInTransfer(ownership.IsPrepared)
	precedences := map[*protocol.Job]int{}
	for _, entry := range list {
		id, record := entry.ID, &entry.Record
		if b.ChangesShard(record.Shard) {
			if b.RemovesMachine(id) {
				continue
			}
			record = b.MachineRecord(id)
		}
		machineType := machineTypes[record.MachineType]
		if machineType == nil {
			continue
		}
		machine := &Candidate{ID: id, state: l.agents.Lookup(id), Record: record, MachineType: machineType, Resources: catalog.CapacityOf(machineType), isProvisioning: record.AgentEpoch == 0}
		machine.IsUnschedulable = record.Terminating || record.Cordoned || !live[record.Owner] || quiescedShards[record.Shard] || l.terminator.IsTerminating(id)
		for i := range record.Assignments {
			assigned := &record.Assignments[i]
			j := b.JobRecord(assigned.Job)
			if j == nil || j.Spec == nil {
				machine.IsUnschedulable = true // what it takes is not known
				continue
			}
			precedence, ok := precedences[j.Spec]
			if !ok {
				precedence = l.queue.precedenceOf(j.Spec)
				precedences[j.Spec] = precedence
			}
			n := assigned.Tasks.Len()
			machine.Allocate(j.Spec, n)
			machine.Allocations = append(machine.Allocations, Allocation{Job: assigned.Job, Attempt: assigned.Attempt, Count: n, Desc: j.Spec, precedence: precedence})
		}
		if record.Spot && !machine.IsUnschedulable {
			age := step.MillisToDuration(l.Now.Wall - record.AddedAt)
			machine.isNearSpotPeriodEnd = catalog.IsNearPeriodBoundary(id, age, l.Config.SpotPeriod, l.Config.SpotPeriodEndMargin)
			if threshold := l.spot.Threshold(catalog.PriceKey{MachineType: record.MachineType, Zone: record.Zone}); threshold != nil && !threshold.AllowsSpot() || machine.isNearSpotPeriodEnd {
				machine.IsUnschedulable = true
			}
		}
		out = append(out, machine)
	}
	return append(out, l.provisioningCandidates()...)
}

// provisioningCandidates lists the machines of rental requests that are on no record yet.
func (l *CandidateLister) provisioningCandidates() []*Candidate {
	var out []*Candidate
	for _, request := range l.provisioner.PendingRequests() {
		pool := request.Pool()
		machineType := l.catalog.MachineType(pool.MachineType)
		if machineType == nil {
			continue
		}
		for range request.MachinesToCome(l.Replica) {
			out = append(out, &Candidate{ID: protocol.MachineID("~" + request.Name()), isProvisioning: true, MachineType: machineType, Resources: catalog.CapacityOf(machineType),
				Record: &storage.MachineRecord{MachineType: pool.MachineType, Zone: pool.Zone, Spot: pool.Spot}})
		}
	}
	return out
}

// logFleet tells, every ten seconds, what is rented and how much of it is in use.
func (l *CandidateLister) logFleet(candidates []*Candidate) {
	if l.Now.Monotonic < l.nextFleetLogAt {
		return
	}
	l.nextFleetLogAt = l.Now.Monotonic.Add(10 * time.Second)
	type totals struct {
		up, coming  int
		margin      int
		closed      int
		cores, used float64
	}
	byPool := map[provisioning.PoolKey]*totals{}
	for _, machine := range candidates {
		key := provisioning.PoolKey{MachineType: machine.Record.MachineType, Zone: "", Spot: machine.Record.Spot}
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
		if machine.IsUnschedulable {
			byPool[key].closed++
		}
		byPool[key].cores += machine.MachineType.Cores
		byPool[key].used += machine.MachineType.Cores - machine.Cores
	}
	for key, threshold := range l.spot.Thresholds() {
		l.Log(slog.LevelDebug, "spot price threshold", "machine_type", string(key.MachineType), "zone", string(key.Zone), "price", threshold.SpotPrice, "threshold", threshold.Value(), "spot_allowed", threshold.AllowsSpot())
	}
	for key, total := range byPool {
		l.Log(slog.LevelDebug, "fleet utilization", "machine_type", string(key.MachineType), "spot", key.Spot, "running", total.up, "provisioning", total.coming, "cores_total", total.cores, "cores_allocated", total.used, "near_spot_period_end", total.margin, "unschedulable", total.closed)
	}
}

// AwaitsHeartbeat tells whether what is written to a machine goes out with its next
// report only: none of it waits for an answer here.
func (l *CandidateLister) AwaitsHeartbeat(machine *Candidate) bool {
	state := l.agents.Lookup(machine.ID)
	return machine.Record.Owner == l.lease.Incarnation() && state != nil && state.DeferredRequest == 0
}
