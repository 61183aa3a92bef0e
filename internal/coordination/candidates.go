package coordination

import (
	"log/slog"
	"math"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// candidate is a machine as the planner sees it.
type candidate struct {
	id                  protocol.MachineID
	state               *machineState // nil: nothing is remembered of it here
	record              *storage.MachineRecord
	machineType         *protocol.MachineType
	isProvisioning      bool // rented, but not up yet: nothing is written to it
	isUnschedulable     bool // takes no new task
	isNearSpotPeriodEnd bool // because its period is about to end
	cores               float64
	accelerators        float64
	memoryGB            float64
	allocations         []allocation
	// What tasks are to take that follow those which run there.
	backfillReservation struct{ cores, accels, mem float64 }
}

// allocation is what a job has on a machine.
type allocation struct {
	job        protocol.JobID
	attempt    protocol.Attempt
	count      int
	desc       *protocol.Job
	precedence int
}

const epsilon = 1e-6

func (c *candidate) capacityFor(j *protocol.Job) int {
	n := protocol.MaxTasks
	for _, resource := range [3][2]float64{{c.cores, j.Cores}, {c.accelerators, j.Accelerators}, {c.memoryGB, j.MemoryGB}} {
		if resource[1] > 0 {
			n = min(n, int(math.Floor(resource[0]/resource[1]+epsilon)))
		}
	}
	return max(n, 0)
}

func (c *candidate) allocate(j *protocol.Job, n int) {
	c.cores -= float64(n) * j.Cores
	c.accelerators -= float64(n) * j.Accelerators
	c.memoryGB -= float64(n) * j.MemoryGB
}

// isMachineAllowed tells whether the job's tasks may be on the machine at all.
func (c *Core) isMachineAllowed(j *protocol.Job, machine *candidate) bool {
	return j.AllowsPlacement(machine.record.MachineType, machine.record.Zone) && (!machine.record.Spot || c.canUseSpot(j, machine.machineType))
}

// canUseSpot tells whether the job may use spot machines of a type. The rule
// gives them to jobs that keep checkpoints. The exception: where a task is so
// short that what a reclaim is expected to cost is less than what spot saves,
// it may do without (docs/design.md).
func (c *Core) canUseSpot(j *protocol.Job, machineType *protocol.MachineType) bool {
	if !j.AllowSpot {
		return false
	}
	return j.CanCheckpoint() || machineType.OnDemandPrice > 0 && j.EstimatedRunSeconds/3600*c.cfg.SpotPreemptionsPerHour < 1-machineType.SpotPrice/machineType.OnDemandPrice
}

// listCandidates lists the machines, with what is left on them.
func (c *Core) listCandidates(b *batch) []*candidate {
	list := c.replica.SortedMachines()
	out := make([]*candidate, 0, len(list)+16)
	live := map[storage.Incarnation]bool{c.incarnation: true}
	for _, entry := range c.replica.Controllers {
		live[entry.Record.Incarnation] = true
	}
	machineTypes := map[protocol.MachineTypeName]*protocol.MachineType{}
	for i := range c.machineTypes {
		machineTypes[c.machineTypes[i].Name] = &c.machineTypes[i]
	}
	quiescedShards := c.shardsInTransfer(isPrepared)
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
		machine := &candidate{id: id, state: c.machineStates[id], record: record, machineType: machineType, cores: machineType.Cores, accelerators: machineType.Accelerators, memoryGB: machineType.MemoryGB, isProvisioning: record.AgentEpoch == 0}
		machine.isUnschedulable = record.Terminating || record.Cordoned || !live[record.Owner] || quiescedShards[record.Shard] || c.terminations[id] != nil
		for i := range record.Assignments {
			assigned := &record.Assignments[i]
			j := b.jobRecord(assigned.Job)
			if j == nil || j.Spec == nil {
				machine.isUnschedulable = true // what it takes is not known
				continue
			}
			precedence, ok := precedences[j.Spec]
			if !ok {
				precedence = c.precedenceOf(j.Spec)
				precedences[j.Spec] = precedence
			}
			n := assigned.Tasks.Len()
			machine.allocate(j.Spec, n)
			machine.allocations = append(machine.allocations, allocation{assigned.Job, assigned.Attempt, n, j.Spec, precedence})
		}
		if record.Spot && !machine.isUnschedulable {
			age := millisToDuration(c.now.Wall - record.AddedAt)
			machine.isNearSpotPeriodEnd = IsNearPeriodBoundary(id, age, c.cfg.SpotPeriod, c.cfg.SpotPeriodEndMargin)
			if threshold := c.spotThresholds[priceKey{record.MachineType, record.Zone}]; threshold != nil && !threshold.AllowsSpot() || machine.isNearSpotPeriodEnd {
				machine.isUnschedulable = true
			}
		}
		out = append(out, machine)
	}
	return append(out, c.provisioningCandidates()...)
}

// provisioningCandidates lists the machines of rental requests that are on no record yet.
func (c *Core) provisioningCandidates() []*candidate {
	var out []*candidate
	for _, name := range sortedKeys(c.provisioning.requests) {
		request := c.provisioning.requests[name]
		machineType := c.machineType(request.request.Type)
		if machineType == nil {
			continue
		}
		missing := request.request.Count
		if request.grantedMachines != nil {
			missing = 0
			for _, id := range request.grantedMachines {
				if c.replica.Machines[id] == nil {
					missing++
				}
			}
		}
		for range missing {
			out = append(out, &candidate{id: protocol.MachineID("~" + name), isProvisioning: true, machineType: machineType, cores: machineType.Cores, accelerators: machineType.Accelerators, memoryGB: machineType.MemoryGB,
				record: &storage.MachineRecord{MachineType: request.request.Type, Zone: request.request.Zone, Spot: request.request.Spot}})
		}
	}
	return out
}

// logFleet tells, every ten seconds, what is rented and how much of it is in use.
func (c *Core) logFleet(candidates []*candidate) {
	if c.now.Monotonic < c.nextFleetLogAt {
		return
	}
	c.nextFleetLogAt = c.now.Monotonic.Add(10 * time.Second)
	type totals struct {
		up, coming  int
		margin      int
		closed      int
		cores, used float64
	}
	byPool := map[poolKey]*totals{}
	for _, machine := range candidates {
		key := poolKey{machine.record.MachineType, "", machine.record.Spot}
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
	for key, threshold := range c.spotThresholds {
		c.log(slog.LevelDebug, "spot rule", "type", string(key.machineType), "zone", string(key.zone), "price", threshold.spotPrice, "threshold", threshold.value, "open", threshold.AllowsSpot())
	}
	for key, total := range byPool {
		c.log(slog.LevelDebug, "fleet", "type", string(key.machineType), "spot", key.spot, "up", total.up, "coming", total.coming, "cores", total.cores, "used", total.used, "margin", total.margin, "closed", total.closed)
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

func (c *Core) recordImage(id protocol.MachineID, machineType *protocol.MachineType, j *protocol.Job) {
	m := c.machineState(id)
	for i := range m.cachedImages {
		if m.cachedImages[i].name == j.Image {
			m.cachedImages = append(m.cachedImages[:i], m.cachedImages[i+1:]...)
			break
		}
	}
	m.cachedImages = append(m.cachedImages, cachedImage{j.Image, j.ImageGB})
	totalGB := 0.0
	for i := len(m.cachedImages) - 1; i >= 0; i-- {
		if totalGB += m.cachedImages[i].sizeGB; totalGB > machineType.LocalDiskGB {
			m.cachedImages = append([]cachedImage(nil), m.cachedImages[i+1:]...)
			break
		}
	}
}
