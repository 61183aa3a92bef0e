package catalog

import (
	"time"

	"tillerarch/internal/protocol"
)

// SpotPriceThreshold applies the THRESHOLD rule (paper, 3.3.1) to one machine type in one zone, as the
// users' DESIGN document adapts the rule. The on-demand price takes the place of the paper's bid. Where
// the paper takes a checkpoint, new placements on spot machines and their provisioning are suspended
// until the threshold is recomputed. The threshold is not kept across restarts.
type SpotPriceThreshold struct {
	SpotPrice     float64 // the price that was observed last
	onDemandPrice float64

	value       float64
	isSuspended bool // the price has been above the threshold in this window

	window     time.Duration
	windowEnd  protocol.Instant
	priceSum   float64 // sum of the prices observed in this window
	priceCount int
}

// newSpotPriceThreshold returns a threshold that is initially the mean of the current spot price and
// the on-demand price (paper, 3.3.1: "also applied when the virtual machine is started").
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

// thresholdFor returns (price + bid) / 2. The paper uses this formula twice, for the average price of
// a window and for the price that triggered a checkpoint.
func thresholdFor(price, onDemandPrice float64) float64 { return (price + onDemandPrice) / 2 }

// observePrices applies the rule to the current prices. It reports whether they start a suspension.
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

// averagePrice returns the average price of the window that ends, or the current price if no price was
// observed in the window.
func (t *SpotPriceThreshold) averagePrice() float64 {
	if t.priceCount == 0 {
		return t.SpotPrice
	}
	return t.priceSum / float64(t.priceCount)
}

// Value returns the current threshold.
func (t *SpotPriceThreshold) Value() float64 { return t.value }

// AllowsSpot reports whether spot machines may be provisioned and may take new tasks.
func (t *SpotPriceThreshold) AllowsSpot() bool {
	return !t.isSuspended && t.SpotPrice < t.onDemandPrice
}
