package catalog

import (
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
)

// SpotPricing decides from observed prices whether spot machines may be used.
type SpotPricing struct {
	*step.Context

	thresholds map[PriceKey]*SpotPriceThreshold
}

func NewSpotPricing(ctx *step.Context) *SpotPricing {
	return &SpotPricing{
		Context:    ctx,
		thresholds: map[PriceKey]*SpotPriceThreshold{},
	}
}

type PriceKey struct {
	MachineType protocol.MachineTypeName
	Zone        protocol.Zone
}

// SpotPriceThreshold is the THRESHOLD rule (paper, 3.3.1) for one machine type in one
// zone. The steady price stands for the paper's bid, and where the paper takes
// a checkpoint, new spot placements and rentals halt (DESIGN).
type SpotPriceThreshold struct {
	Window time.Duration

	value         float64
	windowEnd     protocol.Instant // end of the window
	priceSum      float64
	priceCount    int
	suspended     bool
	SpotPrice     float64
	onDemandPrice float64
}

// NewSpotPriceThreshold begins with (current price + steady price) / 2.
func NewSpotPriceThreshold(window time.Duration, now protocol.Instant, spotPrice, onDemandPrice float64) *SpotPriceThreshold {
	return &SpotPriceThreshold{Window: window, value: (spotPrice + onDemandPrice) / 2, windowEnd: now.Add(window), SpotPrice: spotPrice, onDemandPrice: onDemandPrice}
}

// Observe takes in the current prices. It tells whether a halt begins.
func (t *SpotPriceThreshold) Observe(now protocol.Instant, spotPrice, onDemandPrice float64) (newlySuspended bool) {
	t.SpotPrice, t.onDemandPrice = spotPrice, onDemandPrice
	if now >= t.windowEnd {
		// Recomputed each window from the window's average price.
		average := spotPrice
		if t.priceCount > 0 {
			average = t.priceSum / float64(t.priceCount)
		}
		t.value = (average + onDemandPrice) / 2
		t.windowEnd, t.priceSum, t.priceCount, t.suspended = now.Add(t.Window), 0, 0, false
	}
	t.priceSum += spotPrice
	t.priceCount++
	if spotPrice > t.value && !t.suspended {
		t.suspended = true
		t.value = (spotPrice + onDemandPrice) / 2
		return true
	}
	return false
}

// Value is the threshold in force.
func (t *SpotPriceThreshold) Value() float64 { return t.value }

// AllowsSpot tells whether spot machines may be rented and filled.
func (t *SpotPriceThreshold) AllowsSpot() bool { return !t.suspended && t.SpotPrice < t.onDemandPrice }

// IsNearPeriodBoundary tells whether a machine of this age is within the margin of its
// next period boundary. Machines rented in one burst would reach it together,
// so each one's period is shifted by a part that its name gives.
func IsNearPeriodBoundary(id protocol.MachineID, age, period, margin time.Duration) bool {
	if period <= 0 || margin <= 0 || age < 0 {
		return false
	}
	offset := time.Duration(sharding.RendezvousWeight("period", string(id)) % uint64(period))
	return period-(age+offset)%period < margin
}

// Threshold is the price threshold of a machine type in a zone, nil while no price is known.
func (sp *SpotPricing) Threshold(key PriceKey) *SpotPriceThreshold { return sp.thresholds[key] }

// Thresholds lists all price thresholds. It is not to be changed.
func (sp *SpotPricing) Thresholds() map[PriceKey]*SpotPriceThreshold { return sp.thresholds }

// CanUseSpot tells whether the job may use spot machines of a type. The rule
// gives them to jobs that keep checkpoints. The exception: where a task is so
// short that what a reclaim is expected to cost is less than what spot saves,
// it may do without (docs/design.md).
func (sp *SpotPricing) CanUseSpot(j *protocol.Job, machineType *protocol.MachineType) bool {
	if !j.AllowSpot {
		return false
	}
	return j.CanCheckpoint() || machineType.OnDemandPrice > 0 && j.EstimatedRunSeconds/3600*sp.Config.SpotPreemptionsPerHour < 1-machineType.SpotPrice/machineType.OnDemandPrice
}
