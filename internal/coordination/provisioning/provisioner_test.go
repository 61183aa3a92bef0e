package provisioning

import (
	"slices"
	"strings"
	"testing"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// TestProvisioningPools checks that only the cheapest machines are requested for work that can wait.
// Otherwise on-demand machines at several times the price would be requested while spot machines are being
// provisioned. For urgent work, machines are requested from all pools at once.
func TestProvisioningPools(t *testing.T) {
	smallSpotPool := PoolKey{MachineType: "small", Zone: "a", Spot: true}
	inOtherZone := func(pool PoolKey) PoolKey { pool.Zone = "b"; return pool }
	for _, test := range []struct {
		name           string
		cores          float64
		isUrgent       bool
		exhaustedPools []PoolKey
		wantPools      []string // machine type, and spot or on-demand, of each request
	}{
		{"deferrable work: only the cheapest pools", 4, false, nil, []string{"small spot", "small spot"}},
		{"deferrable work: the next pools once the cheapest are exhausted", 4, false, []PoolKey{
			smallSpotPool, inOtherZone(smallSpotPool),
		}, []string{"large spot", "large spot"}},
		{"deferrable work: one zone of the cheapest pools is left", 4, false, []PoolKey{smallSpotPool}, []string{"small spot"}},
		{"urgent work: all pools", 4, true, nil, []string{
			"small spot", "small spot", "large spot", "large spot",
			"small on-demand", "small on-demand", "large on-demand", "large on-demand",
		}},
		{"large tasks fit only one machine type", 16, false, nil, []string{"large spot", "large spot"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			parts := newTestParts(t)
			parts.Effects = nil
			for _, pool := range test.exhaustedPools {
				parts.Provisioner.MarkPoolExhausted(pool)
			}
			job := &protocol.Job{
				ID:                  "j-1",
				Class:               "lane",
				Team:                "core",
				Kind:                protocol.KindArray,
				TaskCount:           10,
				Cores:               test.cores,
				MemoryGB:            test.cores,
				AllowSpot:           true,
				Image:               "b",
				EstimatedRunSeconds: 20,
			}
			demand := UnmetDemand{Job: "j-1", Spec: job, TaskCount: 5000, IsUrgent: test.isUrgent}
			parts.Provisioner.provisionForDemand(demand, map[PoolKey]bool{}, 0)
			got := requestedPools(parts.Effects)
			slices.Sort(test.wantPools)
			if !slices.Equal(got, test.wantPools) {
				t.Errorf("%s: requested pools %s, want %s", test.name, strings.Join(got, ", "), strings.Join(test.wantPools, ", "))
			}
		})
	}
}

// requestedPools returns the machine type of each provision request and whether it is for spot or
// on-demand machines, in sorted order.
func requestedPools(effects []step.Effect) []string {
	var pools []string
	for _, effect := range effects {
		provision, ok := effect.(step.ProvisionMachines)
		if !ok {
			continue
		}
		kind := " on-demand"
		if provision.Request.Spot {
			kind = " spot"
		}
		pools = append(pools, string(provision.Request.Type)+kind)
	}
	slices.Sort(pools)
	return pools
}
