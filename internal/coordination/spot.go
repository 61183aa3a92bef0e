package coordination

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/shares"
)

type priceKey struct {
	sku  protocol.Sku
	zone protocol.Zone
}

// Threshold is the THRESHOLD rule (paper, 3.3.1) for one machine type in one
// zone. The steady price stands for the paper's bid, and where the paper takes
// a checkpoint, new spot placements and rentals halt (DESIGN).
type Threshold struct {
	Window time.Duration

	value  float64
	until  protocol.Instant // end of the window
	sum    float64
	count  int
	halted bool
	price  float64
	steady float64
}

// NewThreshold begins with (current price + steady price) / 2.
func NewThreshold(window time.Duration, now protocol.Instant, price, steady float64) *Threshold {
	return &Threshold{Window: window, value: (price + steady) / 2, until: now.Add(window), price: price, steady: steady}
}

// Observe takes in the current prices. It tells whether a halt begins.
func (t *Threshold) Observe(now protocol.Instant, price, steady float64) (halts bool) {
	t.price, t.steady = price, steady
	if now >= t.until {
		// Recomputed each window from the window's average price.
		avg := price
		if t.count > 0 {
			avg = t.sum / float64(t.count)
		}
		t.value = (avg + steady) / 2
		t.until, t.sum, t.count, t.halted = now.Add(t.Window), 0, 0, false
	}
	t.sum += price
	t.count++
	if price > t.value && !t.halted {
		t.halted = true
		t.value = (price + steady) / 2
		return true
	}
	return false
}

// Value is the threshold in force.
func (t *Threshold) Value() float64 { return t.value }

// Open tells whether spot machines may be rented and filled.
func (t *Threshold) Open() bool { return !t.halted && t.price < t.steady }

// NearBoundary tells whether a machine of this age is within the margin of its
// next period boundary. Machines rented in one burst would reach it together,
// so each one's period is shifted by a part that its name gives.
func NearBoundary(id protocol.MachineID, age, period, margin time.Duration) bool {
	if period <= 0 || margin <= 0 || age < 0 {
		return false
	}
	session := time.Duration(shares.Weight("period", string(id)) % uint64(period))
	return period-(age+session)%period < margin
}
