package coordination

import (
	"slices"
	"strings"
	"testing"

	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Small machines are cheap by the core and slow to boot, large ones the other way round.
var (
	smallMachineType = protocol.MachineType{Name: "small", Cores: 4, MemoryGB: 8, OnDemandPrice: 0.16, SpotPrice: 0.06, BootSeconds: 40, ImagePullGBPerSecond: 0.25, Zones: []protocol.Zone{"a", "b"}}
	largeMachineType = protocol.MachineType{Name: "large", Cores: 16, MemoryGB: 32, OnDemandPrice: 0.64, SpotPrice: 0.27, BootSeconds: 15, ImagePullGBPerSecond: 0.8, Zones: []protocol.Zone{"a", "b"}}
)

func newCoreWithTwoMachineTypes(t *testing.T) *Core {
	t.Helper()
	c, advance := newReadyCore(t)
	advance(0, step.ListMachineTypesResult{MachineTypes: []protocol.MachineType{smallMachineType, largeMachineType}})
	return c
}

func newArrayJob(cores, estimate float64) *protocol.Job {
	return &protocol.Job{ID: "j-1", Class: "lane", Team: "core", Kind: protocol.KindArray, TaskCount: 10, Cores: cores, MemoryGB: cores, AllowSpot: true,
		Image: "b", EstimatedRunSeconds: estimate}
}

// Work that can wait is rented the cheapest machines only: else steady machines at
// several times the price would be asked for while spot ones are on their way. Work
// that is urgent asks for all at once.
func TestProvisioningPools(t *testing.T) {
	smallSpotPool := provisioning.PoolKey{MachineType: "small", Zone: "a", Spot: true}
	inOtherZone := func(p provisioning.PoolKey) provisioning.PoolKey { p.Zone = "b"; return p }
	for _, c := range []struct {
		name    string
		cores   float64
		urgent  bool
		refused []provisioning.PoolKey
		want    []string // type and kind of the requests
	}{
		{"what can wait takes the cheapest", 4, false, nil, []string{"small spot", "small spot"}},
		{"and the next only once that has no more", 4, false, []provisioning.PoolKey{smallSpotPool, inOtherZone(smallSpotPool)}, []string{"large spot", "large spot"}},
		{"one zone is left", 4, false, []provisioning.PoolKey{smallSpotPool}, []string{"small spot"}},
		{"what is urgent takes all", 4, true, nil, []string{"small spot", "small spot", "large spot", "large spot", "small steady", "small steady", "large steady", "large steady"}},
		{"large tasks fit one type", 16, false, nil, []string{"large spot", "large spot"}},
	} {
		core := newCoreWithTwoMachineTypes(t)
		core.Effects = nil
		for _, p := range c.refused {
			core.provisioning.Provisioner.ExhaustedAt[p] = core.Now.Monotonic
		}
		core.provisioning.Provisioner.ProvisionForDemand(provisioning.UnmetDemand{Job: "j-1", Desc: newArrayJob(c.cores, 20), Tasks: 5000, Urgent: c.urgent}, map[provisioning.PoolKey]bool{}, 0)
		var got []string
		for _, e := range core.Effects {
			if v, ok := e.(step.ProvisionMachines); ok {
				kind := " steady"
				if v.Request.Spot {
					kind = " spot"
				}
				got = append(got, string(v.Request.Type)+kind)
			}
		}
		slices.Sort(got)
		slices.Sort(c.want)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %s; wanted %s", c.name, strings.Join(got, ", "), strings.Join(c.want, ", "))
		}
	}
}
