package coordination

import (
	"math"
	"testing"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/protocol"
)

// The formulas of the paper (3.3.1), with the steady price for the bid.
func TestSpotPriceThreshold(t *testing.T) {
	const window = 60 * time.Second
	at := func(s float64) protocol.Instant { return protocol.Instant(0).Add(protocol.Seconds(s)) }
	type observation struct {
		at, price float64
		halts     bool
		threshold float64
		open      bool
	}
	for _, c := range []struct {
		name  string
		first float64
		see   []observation
	}{
		{"begins with (current + steady) / 2", 0.2, []observation{{10, 0.2, false, 0.6, true}}},
		{"halts above it, then (triggering + steady) / 2", 0.2, []observation{
			{10, 0.7, true, 0.85, false},
			{20, 0.3, false, 0.85, false}, // until recomputed
			{30, 0.9, false, 0.85, false}, // one halt at a time
		}},
		{"at the threshold is not above it", 0.2, []observation{{10, 0.6, false, 0.6, true}}},
		{"recomputed each window from its average", 0.2, []observation{
			{10, 0.2, false, 0.6, true}, {20, 0.4, false, 0.6, true},
			{60, 0.3, false, 0.65, true}, // (0.3 + 1) / 2
			{120, 0.5, false, 0.65, true},
		}},
		{"a halt ends with the window", 0.2, []observation{
			{10, 0.7, true, 0.85, false}, {60, 0.4, false, 0.85, true},
		}},
		{"dearer than steady is never open", 0.2, []observation{{10, 1.2, true, 1.1, false}, {60, 1.2, true, 1.1, false}}},
	} {
		threshold := catalog.NewSpotPriceThreshold(window, at(0), c.first, 1)
		for _, s := range c.see {
			if h := threshold.Observe(at(s.at), s.price, 1); h != s.halts || math.Abs(threshold.Value()-s.threshold) > 1e-9 || threshold.AllowsSpot() != s.open {
				t.Errorf("%s: at %v halts %v, threshold %v, open %v", c.name, s.at, h, threshold.Value(), threshold.AllowsSpot())
			}
		}
	}
}

// Every machine is near its boundary for the margin in each period, and those
// rented together are not so together.
func TestIsNearPeriodBoundary(t *testing.T) {
	const period, margin = 300 * time.Second, 10 * time.Second
	nearAtSecond := make([]int, 300)
	for m := 0; m < 20; m++ {
		id := protocol.MachineID("m-0000" + string(rune('a'+m)))
		near := 0
		for s := 0; s < 300; s++ {
			if catalog.IsNearPeriodBoundary(id, time.Duration(s)*time.Second, period, margin) {
				near++
				nearAtSecond[s]++
			}
		}
		if near != 10 && near != 9 {
			t.Errorf("%s is near its boundary for %d s", id, near)
		}
	}
	for s, n := range nearAtSecond {
		if n > 8 {
			t.Errorf("%d of 20 machines reach their margin together at %d s", n, s)
		}
	}
	if catalog.IsNearPeriodBoundary("m-1", time.Minute, period, 0) || catalog.IsNearPeriodBoundary("m-1", -time.Second, period, margin) {
		t.Error("no margin and no age are near no boundary")
	}
}
