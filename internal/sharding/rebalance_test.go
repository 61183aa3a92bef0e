package sharding

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tillerarch/internal/storage"
)

var testPolicy = RebalancePolicy{MaxTransfers: 1, MaxIncomingTransfers: 2}

func shardsOf(owner storage.Incarnation, n int) (shards []Shard) {
	for i := range n {
		shards = append(shards, Shard{ID: storage.ShardID(fmt.Sprintf("%s-%d", owner, i)), Owner: owner, Load: 1})
	}
	return shards
}

func TestPlanRebalance(t *testing.T) {
	a, b, c := Controller{Incarnation: "a#1", Eligible: true}, Controller{Incarnation: "b#1", Eligible: true}, Controller{Incarnation: "c#1", Eligible: true}
	overloaded := Controller{Incarnation: "a#1", Overloaded: true}
	ineligible := Controller{Incarnation: "b#1"}
	demanding := Controller{Incarnation: "b#1", Eligible: true, DemandCores: 100}
	for _, test := range []struct {
		name        string
		controllers []Controller
		pages       []Shard
		arriving    map[storage.Incarnation]int
		policy      RebalancePolicy
		to          storage.Incarnation // empty: nothing moves
	}{
		{"far fewer", []Controller{a, b}, append(shardsOf("a#1", 8), shardsOf("b#1", 4)...), nil, testPolicy, "b#1"},
		{"a little fewer", []Controller{a, b}, append(shardsOf("a#1", 8), shardsOf("b#1", 6)...), nil, testPolicy, ""},
		{"one more is no reason", []Controller{a, b}, append(shardsOf("a#1", 2), shardsOf("b#1", 1)...), nil, testPolicy, ""},
		{"the one with fewest", []Controller{a, b, c}, append(shardsOf("a#1", 8), shardsOf("b#1", 2)...), nil, testPolicy, "c#1"},
		{"an unfit one gets none", []Controller{a, ineligible}, shardsOf("a#1", 8), nil, testPolicy, ""},
		{"enough on their way", []Controller{a, b}, shardsOf("a#1", 8), map[storage.Incarnation]int{"b#1": 2}, testPolicy, ""},
		{"a strained one gives its last", []Controller{overloaded, b}, append(shardsOf("a#1", 1), shardsOf("b#1", 6)...), nil, testPolicy, "b#1"},
		{"a drained one gives its last", []Controller{{Incarnation: "a#1", Draining: true}, b}, append(shardsOf("a#1", 1), shardsOf("b#1", 6)...), nil, testPolicy, "b#1"},
		{"a drained one gets none", []Controller{a, {Incarnation: "b#1", Eligible: true, Draining: true}}, shardsOf("a#1", 8), nil, testPolicy, ""},
		{"nothing to give", []Controller{a, b}, shardsOf("b#1", 6), nil, testPolicy, ""},
		{"fixed pages stay", []Controller{a, b}, []Shard{{ID: "p", Owner: "a#1", Load: 5, Pinned: true}}, nil, testPolicy, ""},
		{"demand draws machines", []Controller{a, demanding}, append(shardsOf("a#1", 6), shardsOf("b#1", 6)...), nil,
			RebalancePolicy{MaxTransfers: 1, MaxIncomingTransfers: 2, DemandWeight: 0.5}, "b#1"},
		{"demand that is not looked at", []Controller{a, demanding}, append(shardsOf("a#1", 6), shardsOf("b#1", 6)...), nil, testPolicy, ""},
	} {
		transfers := PlanRebalance(Snapshot{Self: "a#1", Controllers: test.controllers, Shards: test.pages, IncomingTransfers: test.arriving}, test.policy)
		if test.to == "" && len(transfers) != 0 || test.to != "" && (len(transfers) != 1 || transfers[0].Target != test.to || transfers[0].Source != "a#1") {
			t.Errorf("%s: %v", test.name, transfers)
		}
	}
}

// The cheapest page goes first.
func TestPlanRebalancePicksCheapestShard(t *testing.T) {
	shards := shardsOf("a#1", 6)
	for i := range shards {
		shards[i].TransferCost = float64((i + 3) % 6)
	}
	s := Snapshot{Self: "a#1", Controllers: []Controller{{Incarnation: "a#1", Eligible: true}, {Incarnation: "b#1", Eligible: true}}, Shards: shards}
	if transfers := PlanRebalance(s, testPolicy); len(transfers) != 1 || transfers[0].Shard != shards[3].ID {
		t.Errorf("%v of %v", transfers, shards)
	}
}

// Controllers that plan from the same snapshot, all in the same instant, come to rest: no
// page moves back and forth, whatever the demand, and nobody is given what it may not have.
func TestRebalanceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		policy := RebalancePolicy{MaxTransfers: rapid.IntRange(1, 3).Draw(t, "most"), MaxIncomingTransfers: 2, DemandWeight: rapid.Float64Range(0, 0.9).Draw(t, "by demand")}
		oneAtATime := rapid.Bool().Draw(t, "one after the other")
		rounds := 4*len(snapshot.Shards) + 4
		for round := 0; ; round++ {
			if round == rounds {
				t.Fatalf("still moving behind %d rounds: %+v", round, snapshot)
			}
			var transfers []Transfer
			for _, c := range snapshot.Controllers {
				snapshot.Self = c.Incarnation
				transfers = append(transfers, PlanRebalance(snapshot, policy)...)
				if oneAtATime && len(transfers) > 0 {
					break
				}
			}
			if len(transfers) == 0 {
				return
			}
			incoming := map[storage.Incarnation]int{}
			for _, transfer := range transfers {
				i := slices.IndexFunc(snapshot.Shards, func(p Shard) bool { return p.ID == transfer.Shard })
				j := slices.IndexFunc(snapshot.Controllers, func(c Controller) bool { return c.Incarnation == transfer.Target })
				incoming[transfer.Target]++
				if snapshot.Shards[i].Owner != transfer.Source || snapshot.Shards[i].Pinned || !snapshot.Controllers[j].Eligible || snapshot.Controllers[j].Overloaded || snapshot.Controllers[j].Draining || transfer.Source == transfer.Target {
					t.Fatalf("%+v must not move: %+v", transfer, snapshot)
				}
				if incoming[transfer.Target] > policy.MaxIncomingTransfers {
					continue // the stamps of the taker's slots let no more through
				}
				snapshot.Shards[i].Owner = transfer.Target
			}
		}
	})
}

func drawSnapshot(t *rapid.T) Snapshot {
	var s Snapshot
	n := rapid.IntRange(1, 5).Draw(t, "controllers")
	for i := range n {
		c := Controller{Incarnation: storage.Incarnation(fmt.Sprintf("c%d#1", i)), DemandCores: rapid.Float64Range(0, 1000).Draw(t, "demand")}
		switch rapid.IntRange(0, 5).Draw(t, "state") {
		case 0:
		case 1:
			c.Overloaded = true
		case 2:
			c.Eligible, c.Draining = true, true
		default:
			c.Eligible = true
		}
		s.Controllers = append(s.Controllers, c)
	}
	for i := range rapid.IntRange(0, 40).Draw(t, "pages") {
		owner := s.Controllers[rapid.IntRange(0, n-1).Draw(t, "owner")].Incarnation
		s.Shards = append(s.Shards, Shard{ID: storage.ShardID(fmt.Sprint(i)), Owner: owner, Load: 1, Pinned: rapid.IntRange(0, 9).Draw(t, "fixed") == 0})
	}
	return s
}

// The same snapshot gives the same plan, in whatever order it is listed.
func TestPlanRebalanceIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		s.Self = s.Controllers[0].Incarnation
		policy := RebalancePolicy{MaxTransfers: 3, MaxIncomingTransfers: 2, DemandWeight: 0.5}
		first := PlanRebalance(s, policy)
		s.Shards = rapid.Permutation(s.Shards).Draw(t, "order")
		s.Controllers = rapid.Permutation(s.Controllers).Draw(t, "controllers in order")
		if second := PlanRebalance(s, policy); !slices.Equal(first, second) {
			t.Fatalf("%v, then %v", first, second)
		}
	})
}

// BenchmarkPlanRebalance is one plan over 4,000 machines on pages of 17.
func BenchmarkPlanRebalance(b *testing.B) {
	s := Snapshot{Self: "a#1", Controllers: []Controller{{Incarnation: "a#1", Eligible: true}, {Incarnation: "b#1", Eligible: true}, {Incarnation: "c#1", Eligible: true}}}
	s.Shards = append(append(shardsOf("a#1", 120), shardsOf("b#1", 80)...), shardsOf("c#1", 36)...)
	for b.Loop() {
		PlanRebalance(s, testPolicy)
	}
}
