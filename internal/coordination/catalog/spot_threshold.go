package catalog

import (
	"time"

	"tillerarch/internal/protocol"
)

// SpotPriceThreshold is the THRESHOLD rule (paper, 3.3.1) for one machine type in one zone, as the
// users' DESIGN document adapts it: the on-demand price stands for the paper's bid, and where the paper
// takes a checkpoint, new placements on spot machines and their provisioning are suspended until
// the threshold is recomputed. It is not kept across restarts.
type SpotPriceThreshold struct {
	SpotPrice     float64 // that was observed last
	onDemandPrice float64

	value       float64
	isSuspended bool // the price has been above the threshold in this window

	window     time.Duration
	windowEnd  protocol.Instant
	priceSum   float64 // of the prices observed in this window
	priceCount int
}

// newSpotPriceThreshold begins with the mean of the current spot price and the on-demand price
// (paper, 3.3.1: "also applied when the virtual machine is started").
func newSpotPriceThreshold(
	window time.Duration, now protocol.Instant, spotPrice, onDemandPrice float64,
) *SpotPriceThreshold {
	return &SpotPriceThreshold{
		SpotPrice:     spotPrice,
		onDemandPrice: onDemandPrice,
		value:         thresholdFor(spotPrice, onDemandPrice),
		window:        window,
		windowEnd:     now.Add(window),
	}
}

// thresholdFor is both formulas of the paper: (price + bid) / 2, for the average price of a window
// and for the price that triggered a checkpoint.
func thresholdFor(price, onDemandPrice float64) float64 { return (price + onDemandPrice) / 2 }

// observePrices applies the rule to the current prices. It tells whether they begin a suspension.
func (t *SpotPriceThreshold) observePrices(now protocol.Instant, spotPrice, onDemandPrice float64) (newlySuspended bool) {
	t.SpotPrice, t.onDemandPrice = spotPrice, onDemandPrice
	if now >= t.windowEnd {
		t.value = thresholdFor(t.averagePrice(), onDemandPrice)
		t.windowEnd, t.priceSum, t.priceCount, t.isSuspended = now.Add(t.window), 0, 0, false
	}
	t.priceSum += spotPrice
	t.priceCount++
	if t.isSuspended || spotPrice <= t.value {
		return false
	}
	t.isSuspended = true
	t.value = thresholdFor(spotPrice, onDemandPrice)
	return true
}

// averagePrice is the average of the window that ends, the current price if none was observed in it.
func (t *SpotPriceThreshold) averagePrice() float64 {
	if t.priceCount == 0 {
		return t.SpotPrice
	}
	return t.priceSum / float64(t.priceCount)
}

// Value is the threshold in force.
func (t *SpotPriceThreshold) Value() float64 { return t.value }

// AllowsSpot tells whether spot machines may be provisioned and given tasks.
func (t *SpotPriceThreshold) AllowsSpot() bool {
	return !t.isSuspended && t.SpotPrice < t.onDemandPrice
}
