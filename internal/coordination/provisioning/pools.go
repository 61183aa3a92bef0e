package provisioning

import (
	"cmp"
	"slices"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
)

// PoolKey identifies a pool: the machines of one type in one zone that are either spot or on-demand
// machines. The cloud runs out of each pool independently.
type PoolKey struct {
	MachineType protocol.MachineTypeName
	Zone        protocol.Zone
	Spot        bool
}

// pricedPool is a pool whose machines can run a job, with the cost of a task on these machines.
type pricedPool struct {
	key             PoolKey
	tasksPerMachine int
	costPerTask     float64 // price of a task per hour
}

// poolsByCost returns the pools whose machines can run the demand's tasks, in the order of their cost
// per task. Pools of equal cost are in the order of this controller's preference for their zones.
func (p *Provisioner) poolsByCost(demand UnmetDemand) []pricedPool {
	var pools []pricedPool
	for i := range p.catalog.MachineTypes() {
		machineType := &p.catalog.MachineTypes()[i]
		tasksPerMachine := catalog.MachineTypeCapacity(machineType, demand.Spec)
		if tasksPerMachine == 0 {
			continue
		}
		tasks := float64(min(tasksPerMachine, demand.TaskCount))
		for _, zone := range machineType.Zones {
			if !demand.allowsPool(machineType, zone) {
				continue
			}
			pools = append(pools, pricedPool{
				key:             PoolKey{MachineType: machineType.Name, Zone: zone, Spot: false},
				tasksPerMachine: tasksPerMachine,
				costPerTask:     machineType.OnDemandPrice / tasks,
			})
			if p.canProvisionSpot(demand.Spec, machineType, zone) {
				pools = append(pools, pricedPool{
					key:             PoolKey{MachineType: machineType.Name, Zone: zone, Spot: true},
					tasksPerMachine: tasksPerMachine,
					costPerTask:     machineType.SpotPrice / tasks,
				})
			}
		}
	}
	slices.SortStableFunc(pools, func(left, right pricedPool) int {
		// The preferred zone differs between controllers.
		return cmp.Or(
			cmp.Compare(left.costPerTask, right.costPerTask),
			cmp.Compare(p.zonePreference(right), p.zonePreference(left)))
	})
	return pools
}

// allowsPool reports whether the demand's tasks may be placed on machines of a type in a zone.
func (d *UnmetDemand) allowsPool(machineType *protocol.MachineType, zone protocol.Zone) bool {
	return d.Spec.AllowsPlacement(machineType.Name, zone) && (d.Zone == "" || zone == d.Zone)
}

// canProvisionSpot reports whether spot machines of a type in a zone may be provisioned for a job now.
func (p *Provisioner) canProvisionSpot(job *protocol.Job, machineType *protocol.MachineType, zone protocol.Zone) bool {
	if job.IsService() || !p.spot.CanUseSpot(job, machineType) {
		return false
	}
	threshold := p.spot.Threshold(catalog.PriceKey{MachineType: machineType.Name, Zone: zone})
	return threshold != nil && threshold.AllowsSpot()
}

// zonePreference returns the weight of this controller's preference for the zone of a pool.
func (p *Provisioner) zonePreference(pool pricedPool) uint64 {
	return sharding.RendezvousWeight(string(p.Config.ControllerID), string(pool.key.Zone))
}

// IsPoolExhausted reports whether the cloud had too few machines of a pool within the last
// NoCapacityBackoff.
func (p *Provisioner) IsPoolExhausted(pool PoolKey) bool {
	exhaustedAt, ok := p.exhaustedAt[pool]
	return ok && p.Since(exhaustedAt) < p.Config.NoCapacityBackoff
}

// MarkPoolExhausted records that the cloud has too few machines of a pool now.
func (p *Provisioner) MarkPoolExhausted(pool PoolKey) { p.exhaustedAt[pool] = p.Now.Monotonic }
