package catalog

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
)

// PriceKey names what has a spot price of its own.
type PriceKey struct {
	MachineType protocol.MachineTypeName
	Zone        protocol.Zone
}

// SpotPricing decides from observed prices whether spot machines may be used.
type SpotPricing struct {
	*step.Context

	thresholds map[PriceKey]*SpotPriceThreshold
}

func newSpotPricing(ctx *step.Context) *SpotPricing {
	return &SpotPricing{
		Context:    ctx,
		thresholds: map[PriceKey]*SpotPriceThreshold{},
	}
}

// Threshold is the price threshold of a machine type in a zone, nil while no price is known.
func (sp *SpotPricing) Threshold(key PriceKey) *SpotPriceThreshold { return sp.thresholds[key] }

// Thresholds gives all price thresholds. Callers must not change the map.
func (sp *SpotPricing) Thresholds() map[PriceKey]*SpotPriceThreshold { return sp.thresholds }

// CanUseSpot tells whether a job may use spot machines of a type. By the users' DESIGN document
// these are jobs that save checkpoints. The exception: tasks so short that the expected cost of
// preemptions is less than what spot saves (docs/design.md).
func (sp *SpotPricing) CanUseSpot(job *protocol.Job, machineType *protocol.MachineType) bool {
	if !job.AllowSpot {
		return false
	}
	return job.CanCheckpoint() || sp.savesDespitePreemptions(job, machineType)
}

// savesDespitePreemptions compares the part of a task that preemptions lose, at an hourly rate, with
// the part of its price that a spot machine saves.
func (sp *SpotPricing) savesDespitePreemptions(job *protocol.Job, machineType *protocol.MachineType) bool {
	if machineType.OnDemandPrice <= 0 {
		return false
	}
	const secondsPerHour = 3600
	expectedPreemptions := job.EstimatedRunSeconds / secondsPerHour * sp.Config.SpotPreemptionsPerHour
	return expectedPreemptions < 1-machineType.SpotPrice/machineType.OnDemandPrice
}

// observePrices updates the thresholds of a machine type's zones with its current prices.
func (sp *SpotPricing) observePrices(machineType *protocol.MachineType) {
	now := sp.Now.Monotonic
	for _, zone := range machineType.Zones {
		key := PriceKey{MachineType: machineType.Name, Zone: zone}
		threshold := sp.thresholds[key]
		if threshold == nil {
			sp.thresholds[key] = newSpotPriceThreshold(
				sp.Config.SpotPriceWindow, now, machineType.SpotPrice, machineType.OnDemandPrice)
			continue
		}
		if threshold.observePrices(now, machineType.SpotPrice, machineType.OnDemandPrice) {
			sp.Log(slog.LevelInfo, "spot provisioning suspended",
				"machine_type", string(machineType.Name), "zone", string(zone),
				"price", machineType.SpotPrice, "threshold", threshold.Value())
		}
	}
}

// IsNearPeriodBoundary tells whether a machine of an age is within a margin of the end of its
// period (paper, Algorithm 1; the users' DESIGN document: it takes no new task). Machines provisioned in
// one burst would get there together, so each one's period is shifted by an offset from its name.
func IsNearPeriodBoundary(id protocol.MachineID, age, period, margin time.Duration) bool {
	if period <= 0 || margin <= 0 || age < 0 {
		return false
	}
	offset := time.Duration(sharding.RendezvousWeight("period", string(id)) % uint64(period))
	return period-(age+offset)%period < margin
}
