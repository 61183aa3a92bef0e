package scheduling

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/provisioning"
)

// fleetLogInterval is the time between two log entries about the utilization of the fleet.
const fleetLogInterval = 10 * time.Second

// poolUtilization is the total utilization of the machines of one type, either spot or on demand.
type poolUtilization struct {
	running, provisioning, nearSpotPeriodEnd, unschedulable int

	totalCores, allocatedCores float64
}

func (u *poolUtilization) addMachine(machine *Candidate) {
	if machine.isProvisioning {
		u.provisioning++
		return
	}
	u.running++
	if machine.isNearSpotPeriodEnd {
		u.nearSpotPeriodEnd++
	}
	if machine.isUnschedulable {
		u.unschedulable++
	}
	u.totalCores += machine.machineType.Cores
	u.allocatedCores += machine.machineType.Cores - machine.free.Cores
}

// logFleet logs the provisioned machines and their utilization once per fleetLogInterval.
func (l *candidateLister) logFleet(candidates []*Candidate) {
	if l.Now.Monotonic < l.nextFleetLogAt {
		return
	}
	l.nextFleetLogAt = l.Now.Monotonic.Add(fleetLogInterval)
	byPool := map[provisioning.PoolKey]*poolUtilization{}
	for _, machine := range candidates {
		key := provisioning.PoolKey{MachineType: machine.record.MachineType, Zone: "", Spot: machine.record.Spot}
		if byPool[key] == nil {
			byPool[key] = &poolUtilization{}
		}
		byPool[key].addMachine(machine)
	}
	for key, threshold := range l.spot.Thresholds() {
		l.Log(slog.LevelDebug, "spot price threshold",
			"machine_type", string(key.MachineType),
			"zone", string(key.Zone),
			"price", threshold.SpotPrice,
			"threshold", threshold.Value(),
			"spot_allowed", threshold.AllowsSpot())
	}
	for key, pool := range byPool {
		l.Log(slog.LevelDebug, "fleet utilization",
			"machine_type", string(key.MachineType),
			"spot", key.Spot,
			"running", pool.running,
			"provisioning", pool.provisioning,
			"cores_total", pool.totalCores,
			"cores_allocated", pool.allocatedCores,
			"near_spot_period_end", pool.nearSpotPeriodEnd,
			"unschedulable", pool.unschedulable)
	}
}
