package catalog

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// instantAt returns the instant that is the given number of seconds after the zero instant.
func instantAt(seconds float64) protocol.Instant {
	return protocol.Instant(0).Add(protocol.Seconds(seconds))
}

// The threshold follows the formulas of the paper (3.3.1), with the on-demand price, here 1, in place
// of the bid.
func TestSpotPriceThreshold(t *testing.T) {
	const window = 60 * time.Second
	type observation struct {
		atSeconds, price   float64
		wantNewlySuspended bool
		wantThreshold      float64
		wantAllowed        bool
	}
	for _, test := range []struct {
		name         string
		firstPrice   float64
		observations []observation
	}{
		{"the initial threshold is (current + on-demand) / 2", 0.2, []observation{{10, 0.2, false, 0.6, true}}},
		{"a price above the threshold suspends and sets (triggering + on-demand) / 2", 0.2, []observation{
			{10, 0.7, true, 0.85, false},
			{20, 0.3, false, 0.85, false}, // until the threshold is recomputed
			{30, 0.9, false, 0.85, false}, // one suspension at a time
		}},
		{"a price at the threshold does not suspend", 0.2, []observation{{10, 0.6, false, 0.6, true}}},
		{"each window recomputes the threshold from its average price", 0.2, []observation{
			{10, 0.2, false, 0.6, true}, {20, 0.4, false, 0.6, true},
			{60, 0.3, false, 0.65, true}, // (0.3 + 1) / 2
			{120, 0.5, false, 0.65, true},
		}},
		{"a suspension ends with the window", 0.2, []observation{
			{10, 0.7, true, 0.85, false}, {60, 0.4, false, 0.85, true},
		}},
		{"a price above the on-demand price never allows spot", 0.2, []observation{
			{10, 1.2, true, 1.1, false}, {60, 1.2, true, 1.1, false},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			threshold := newSpotPriceThreshold(window, instantAt(0), test.firstPrice, 1)
			for _, observed := range test.observations {
				suspended := threshold.observePrices(instantAt(observed.atSeconds), observed.price, 1)
				if suspended != observed.wantNewlySuspended || math.Abs(threshold.Value()-observed.wantThreshold) > 1e-9 ||
					threshold.AllowsSpot() != observed.wantAllowed {
					t.Errorf("at %v s: newly suspended %v, threshold %v, spot allowed %v, want those of the observation",
						observed.atSeconds, suspended, threshold.Value(), threshold.AllowsSpot())
				}
			}
		})
	}
}

// Every machine is near its boundary for as long as the margin in each period. Machines that are
// provisioned together do not reach their boundaries together.
func TestIsNearPeriodBoundary(t *testing.T) {
	const period, margin = 300 * time.Second, 10 * time.Second
	nearAtSecond := make([]int, 300)
	for number := 0; number < 20; number++ {
		id := protocol.MachineID("m-0000" + string(rune('a'+number)))
		nearSeconds := 0
		for second := 0; second < 300; second++ {
			if IsNearPeriodBoundary(id, time.Duration(second)*time.Second, period, margin) {
				nearSeconds++
				nearAtSecond[second]++
			}
		}
		if nearSeconds != 10 && nearSeconds != 9 {
			t.Errorf("%s is near its boundary for %d s of a period, want 9 or 10 s", id, nearSeconds)
		}
	}
	for second, machines := range nearAtSecond {
		if machines > 8 {
			t.Errorf("%d of 20 machines are near their boundary at %d s, want at most 8", machines, second)
		}
	}
	if IsNearPeriodBoundary("m-1", time.Minute, period, 0) || IsNearPeriodBoundary("m-1", -time.Second, period, margin) {
		t.Error("a machine is near its boundary although the margin is 0 or its age is negative")
	}
}

// A price of one type above the threshold suspends spot use of that type in its zones, and is logged
// once for each zone.
func TestCatalogAppliesSpotPrices(t *testing.T) {
	ctx := &step.Context{
		Config: step.Config{Tuning: step.DefaultTuning()},
		Now:    step.Now{Monotonic: 1},
		Rand:   rand.New(rand.NewPCG(1, 1)),
	}
	parts := New(ctx)
	listWithSpotPrice := func(smallSpotPrice float64) {
		ctx.Now.Monotonic = ctx.Now.Monotonic.Add(10 * time.Second)
		parts.Catalog.OnListMachineTypesResult(step.ListMachineTypesResult{MachineTypes: []protocol.MachineType{
			{Name: "small", OnDemandPrice: 1, SpotPrice: smallSpotPrice, Zones: []protocol.Zone{"b", "a"}},
			{Name: "large", OnDemandPrice: 4, SpotPrice: 1, Zones: []protocol.Zone{"b"}},
		}})
	}
	listWithSpotPrice(0.2)
	listWithSpotPrice(0.7)
	listWithSpotPrice(0.7)
	for key, wantAllowed := range map[PriceKey]bool{
		{MachineType: "small", Zone: "a"}: false,
		{MachineType: "small", Zone: "b"}: false,
		{MachineType: "large", Zone: "b"}: true,
	} {
		if threshold := parts.Spot.Threshold(key); threshold == nil || threshold.AllowsSpot() != wantAllowed {
			t.Errorf("%v: threshold %+v, want spot allowed %v", key, threshold, wantAllowed)
		}
	}
	suspensions := 0
	for _, effect := range ctx.Effects {
		if line, ok := effect.(step.Log); ok && line.Level == slog.LevelInfo {
			suspensions++
		}
	}
	if suspensions != 2 || len(parts.Spot.Thresholds()) != 3 {
		t.Errorf("%d suspensions are logged and %d thresholds exist, want 2 and 3", suspensions, len(parts.Spot.Thresholds()))
	}
	if zones := parts.Catalog.Zones(); len(zones) != 2 || zones[0] != "a" || zones[1] != "b" {
		t.Errorf("zones are %v, want [a b]", zones)
	}
}

// Jobs may use spot machines if they save checkpoints or if their tasks are so short that preemptions
// cost less than spot machines save. At 4 preemptions per hour and savings of 60%, these are tasks of
// less than 540 s.
func TestCanUseSpot(t *testing.T) {
	ctx := &step.Context{Config: step.Config{Tuning: step.DefaultTuning()}}
	spot := New(ctx).Spot
	machineType := protocol.MachineType{OnDemandPrice: 1, SpotPrice: 0.4}
	for _, test := range []struct {
		name string
		job  protocol.Job
		want bool
	}{
		{"the user does not allow spot", protocol.Job{EstimatedRunSeconds: 1, CheckpointIntervalSeconds: 30}, false},
		{"saves checkpoints", protocol.Job{AllowSpot: true, EstimatedRunSeconds: 7200, CheckpointIntervalSeconds: 30}, true},
		{"short without checkpoints", protocol.Job{AllowSpot: true, EstimatedRunSeconds: 539}, true},
		{"long without checkpoints", protocol.Job{AllowSpot: true, EstimatedRunSeconds: 541}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := spot.CanUseSpot(&test.job, &machineType); got != test.want {
				t.Errorf("CanUseSpot() = %v, want %v", got, test.want)
			}
		})
	}
}
