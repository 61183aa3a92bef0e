package catalog

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
)

// PriceKey identifies a machine type in a zone, which has a spot price of its own.
type PriceKey struct {
	MachineType protocol.MachineTypeName
	Zone        protocol.Zone
}

// SpotPricing decides from the observed prices whether spot machines may be used.
type SpotPricing struct {
	*step.Context

	thresholds map[PriceKey]*SpotPriceThreshold
}

// newSpotPricing returns a SpotPricing without observed prices.
func newSpotPricing(ctx *step.Context) *SpotPricing {
	return &SpotPricing{
		Context:    ctx,
		thresholds: map[PriceKey]*SpotPriceThreshold{},
	}
}

// Threshold returns the price threshold of a machine type in a zone, or nil if no price has been
// observed.
func (sp *SpotPricing) Threshold(key PriceKey) *SpotPriceThreshold { return sp.thresholds[key] }

// Thresholds returns all price thresholds. Callers must not change the map.
func (sp *SpotPricing) Thresholds() map[PriceKey]*SpotPriceThreshold { return sp.thresholds }

// CanUseSpot reports whether a job may use spot machines of a type. The users' DESIGN document allows
// spot machines for jobs that save checkpoints. Jobs without checkpoints may use them as well if
// their tasks are so short that the expected cost of preemptions is less than the savings of spot
// machines (docs/design.md).
func (sp *SpotPricing) CanUseSpot(job *protocol.Job, machineType *protocol.MachineType) bool {
	if !job.AllowSpot {
		return false
	}
	return job.CanCheckpoint() || sp.savesDespitePreemptions(job, machineType)
}

// savesDespitePreemptions reports whether the fraction of a task that preemptions are expected to
// lose, at the configured hourly rate, is less than the fraction of its price that a spot machine saves.
func (sp *SpotPricing) savesDespitePreemptions(job *protocol.Job, machineType *protocol.MachineType) bool {
	if machineType.OnDemandPrice <= 0 {
		return false
	}
	const secondsPerHour = 3600
	expectedPreemptions := job.EstimatedRunSeconds / secondsPerHour * sp.Config.SpotPreemptionsPerHour
	return expectedPreemptions < 1-machineType.SpotPrice/machineType.OnDemandPrice
}

// observePrices updates the thresholds of a machine type in all its zones with the type's current
// prices.
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

// IsNearPeriodBoundary reports whether a machine of the given age is within margin of the end of its
// period (paper, Algorithm 1). According to the users' DESIGN document, such a machine takes no new
// task. Machines that are provisioned in one burst would reach the end together, so the period of
// each machine is shifted by an offset that is derived from the machine's ID.
func IsNearPeriodBoundary(id protocol.MachineID, age, period, margin time.Duration) bool {
	if period <= 0 || margin <= 0 || age < 0 {
		return false
	}
	offset := time.Duration(sharding.RendezvousWeight("period", string(id)) % uint64(period))
	return period-(age+offset)%period < margin
}
