package sharding

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tillerarch/internal/storage"
)

var testPolicy = RebalancePolicy{MaxTransfers: 1, MaxIncomingTransfers: 2}

// shardsOf returns shards of an owner, each with a load of 1.
func shardsOf(owner storage.Incarnation, count int) (shards []Shard) {
	for i := range count {
		shards = append(shards, Shard{ID: storage.ShardID(fmt.Sprintf("%s-%d", owner, i)), Owner: owner, Load: 1})
	}
	return shards
}

// A shard is transferred to the eligible controller with the least load if the loads differ enough.
// An overloaded or draining source transfers even its last shard.
func TestPlanRebalance(t *testing.T) {
	controllerA := Controller{Incarnation: "a#1", Eligible: true}
	controllerB := Controller{Incarnation: "b#1", Eligible: true}
	controllerC := Controller{Incarnation: "c#1", Eligible: true}
	overloadedA := Controller{Incarnation: "a#1", Overloaded: true}
	drainingA := Controller{Incarnation: "a#1", Draining: true}
	ineligibleB := Controller{Incarnation: "b#1"}
	drainingB := Controller{Incarnation: "b#1", Eligible: true, Draining: true}
	demandingB := Controller{Incarnation: "b#1", Eligible: true, DemandCores: 100}
	shards := func(ownedByA, ownedByB int) []Shard {
		return append(shardsOf("a#1", ownedByA), shardsOf("b#1", ownedByB)...)
	}
	byDemand := RebalancePolicy{MaxTransfers: 1, MaxIncomingTransfers: 2, DemandWeight: 0.5}
	for _, test := range []struct {
		name        string
		controllers []Controller
		shards      []Shard
		incoming    map[storage.Incarnation]int
		policy      RebalancePolicy
		wantTarget  storage.Incarnation // empty if no transfer is expected
	}{
		{"target has far fewer shards", []Controller{controllerA, controllerB}, shards(8, 4), nil, testPolicy, "b#1"},
		{"target has slightly fewer shards", []Controller{controllerA, controllerB}, shards(8, 6), nil, testPolicy, ""},
		{"difference of one shard", []Controller{controllerA, controllerB}, shards(2, 1), nil, testPolicy, ""},
		{
			"target with the fewest shards",
			[]Controller{controllerA, controllerB, controllerC}, shards(8, 2), nil, testPolicy, "c#1",
		},
		{"ineligible target", []Controller{controllerA, ineligibleB}, shards(8, 0), nil, testPolicy, ""},
		{
			"target with the maximum of incoming transfers",
			[]Controller{controllerA, controllerB}, shards(8, 0), map[storage.Incarnation]int{"b#1": 2}, testPolicy, "",
		},
		{
			"overloaded source transfers its last shard",
			[]Controller{overloadedA, controllerB}, shards(1, 6), nil, testPolicy, "b#1",
		},
		{
			"draining source transfers its last shard",
			[]Controller{drainingA, controllerB}, shards(1, 6), nil, testPolicy, "b#1",
		},
		{"draining target", []Controller{controllerA, drainingB}, shards(8, 0), nil, testPolicy, ""},
		{"nothing to transfer", []Controller{controllerA, controllerB}, shards(0, 6), nil, testPolicy, ""},
		{
			"pinned shard",
			[]Controller{controllerA, controllerB},
			[]Shard{{ID: "p", Owner: "a#1", Load: 5, Pinned: true}}, nil, testPolicy, "",
		},
		{"target with demand", []Controller{controllerA, demandingB}, shards(6, 6), nil, byDemand, "b#1"},
		{"target with demand, which has no weight", []Controller{controllerA, demandingB}, shards(6, 6), nil, testPolicy, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			transfers := PlanRebalance(Snapshot{
				Self:              "a#1",
				Controllers:       test.controllers,
				Shards:            test.shards,
				IncomingTransfers: test.incoming,
			}, test.policy)
			if test.wantTarget == "" {
				if len(transfers) != 0 {
					t.Errorf("transfers %v, want none", transfers)
				}
				return
			}
			if len(transfers) != 1 || transfers[0].Target != test.wantTarget || transfers[0].Source != "a#1" {
				t.Errorf("transfers %v, want one from a#1 to %s", transfers, test.wantTarget)
			}
		})
	}
}

// The shard of the lowest transfer cost is transferred first.
func TestPlanRebalancePicksCheapestShard(t *testing.T) {
	shards := shardsOf("a#1", 6)
	for i := range shards {
		shards[i].TransferCost = float64((i + 3) % 6)
	}
	snapshot := Snapshot{
		Self:        "a#1",
		Controllers: []Controller{{Incarnation: "a#1", Eligible: true}, {Incarnation: "b#1", Eligible: true}},
		Shards:      shards,
	}
	if transfers := PlanRebalance(snapshot, testPolicy); len(transfers) != 1 || transfers[0].Shard != shards[3].ID {
		t.Errorf("transfers %v, want one of the cheapest shard of %v", transfers, shards)
	}
}

// Controllers that plan from the same snapshot, all at the same time or one after the other, reach
// a state without further transfers. No shard passes back and forth, whatever the demand, and no
// controller gets a shard that it must not get.
func TestRebalanceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		policy := RebalancePolicy{
			MaxTransfers:         rapid.IntRange(1, 3).Draw(t, "transfers of a plan"),
			MaxIncomingTransfers: 2,
			DemandWeight:         rapid.Float64Range(0, 0.9).Draw(t, "demand weight"),
		}
		oneAtATime := rapid.Bool().Draw(t, "one after the other")
		rounds := 4*len(snapshot.Shards) + 4
		for round := 0; ; round++ {
			if round == rounds {
				t.Fatalf("transfers are still planned after %d rounds, want none: %+v", round, snapshot)
			}
			var transfers []Transfer
			for _, controller := range snapshot.Controllers {
				snapshot.Self = controller.Incarnation
				transfers = append(transfers, PlanRebalance(snapshot, policy)...)
				if oneAtATime && len(transfers) > 0 {
					break
				}
			}
			if len(transfers) == 0 {
				return
			}
			incomingCounts := map[storage.Incarnation]int{}
			for _, transfer := range transfers {
				shard := &snapshot.Shards[slices.IndexFunc(snapshot.Shards, func(shard Shard) bool {
					return shard.ID == transfer.Shard
				})]
				target := snapshot.Controllers[slices.IndexFunc(snapshot.Controllers, func(candidate Controller) bool {
					return candidate.Incarnation == transfer.Target
				})]
				incomingCounts[transfer.Target]++
				if shard.Owner != transfer.Source || shard.Pinned || transfer.Source == transfer.Target ||
					!target.Eligible || target.Overloaded || target.Draining {
					t.Fatalf("the plan contains the invalid transfer %+v: %+v", transfer, snapshot)
				}
				if incomingCounts[transfer.Target] > policy.MaxIncomingTransfers {
					continue // further writes conflict on the revisions of the target's transfer slots
				}
				shard.Owner = transfer.Target
			}
		}
	})
}

// drawSnapshot draws a snapshot of 1 to 5 controllers and up to 40 shards, without Self.
func drawSnapshot(t *rapid.T) Snapshot {
	var snapshot Snapshot
	controllerCount := rapid.IntRange(1, 5).Draw(t, "controllers")
	for i := range controllerCount {
		controller := Controller{
			Incarnation: storage.Incarnation(fmt.Sprintf("c%d#1", i)),
			DemandCores: rapid.Float64Range(0, 1000).Draw(t, "demand"),
		}
		switch rapid.IntRange(0, 5).Draw(t, "state") {
		case 0: // not eligible
		case 1:
			controller.Overloaded = true
		case 2:
			controller.Eligible, controller.Draining = true, true
		default:
			controller.Eligible = true
		}
		snapshot.Controllers = append(snapshot.Controllers, controller)
	}
	for i := range rapid.IntRange(0, 40).Draw(t, "shards") {
		owner := snapshot.Controllers[rapid.IntRange(0, controllerCount-1).Draw(t, "owner")].Incarnation
		snapshot.Shards = append(snapshot.Shards, Shard{
			ID:     storage.ShardID(fmt.Sprint(i)),
			Owner:  owner,
			Load:   1,
			Pinned: rapid.IntRange(0, 9).Draw(t, "pinned") == 0,
		})
	}
	return snapshot
}

// Equal snapshots lead to equal plans, in whatever order a snapshot lists controllers and shards.
func TestPlanRebalanceIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		snapshot.Self = snapshot.Controllers[0].Incarnation
		policy := RebalancePolicy{MaxTransfers: 3, MaxIncomingTransfers: 2, DemandWeight: 0.5}
		first := PlanRebalance(snapshot, policy)
		snapshot.Shards = rapid.Permutation(snapshot.Shards).Draw(t, "order of shards")
		snapshot.Controllers = rapid.Permutation(snapshot.Controllers).Draw(t, "order of controllers")
		if second := PlanRebalance(snapshot, policy); !slices.Equal(first, second) {
			t.Fatalf("plan %v after a change of order, want %v", second, first)
		}
	})
}

// BenchmarkPlanRebalance measures one plan for 4,000 machines in shards of 17.
func BenchmarkPlanRebalance(b *testing.B) {
	snapshot := Snapshot{Self: "a#1"}
	for _, owner := range []struct {
		incarnation storage.Incarnation
		shards      int
	}{{"a#1", 120}, {"b#1", 80}, {"c#1", 36}} {
		snapshot.Controllers = append(snapshot.Controllers, Controller{Incarnation: owner.incarnation, Eligible: true})
		snapshot.Shards = append(snapshot.Shards, shardsOf(owner.incarnation, owner.shards)...)
	}
	for b.Loop() {
		PlanRebalance(snapshot, testPolicy)
	}
}
