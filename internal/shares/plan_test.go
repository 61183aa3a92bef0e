package shares

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	bk "tillerarch/internal/bookkeeping"
)

var testPolicy = Policy{MaxMoves: 1, MaxArriving: 2}

func pagesOf(owner bk.Run, n int) (pages []Page) {
	for i := range n {
		pages = append(pages, Page{ID: bk.PageID(fmt.Sprintf("%s-%d", owner, i)), Owner: owner, Size: 1})
	}
	return pages
}

func TestPlan(t *testing.T) {
	a, b, c := Controller{Run: "a#1", Fit: true}, Controller{Run: "b#1", Fit: true}, Controller{Run: "c#1", Fit: true}
	strained := Controller{Run: "a#1", Strained: true}
	unfit := Controller{Run: "b#1"}
	demanding := Controller{Run: "b#1", Fit: true, Demand: 100}
	for _, test := range []struct {
		name        string
		controllers []Controller
		pages       []Page
		arriving    map[bk.Run]int
		policy      Policy
		to          bk.Run // empty: nothing moves
	}{
		{"far fewer", []Controller{a, b}, append(pagesOf("a#1", 8), pagesOf("b#1", 4)...), nil, testPolicy, "b#1"},
		{"a little fewer", []Controller{a, b}, append(pagesOf("a#1", 8), pagesOf("b#1", 6)...), nil, testPolicy, ""},
		{"one more is no reason", []Controller{a, b}, append(pagesOf("a#1", 2), pagesOf("b#1", 1)...), nil, testPolicy, ""},
		{"the one with fewest", []Controller{a, b, c}, append(pagesOf("a#1", 8), pagesOf("b#1", 2)...), nil, testPolicy, "c#1"},
		{"an unfit one gets none", []Controller{a, unfit}, pagesOf("a#1", 8), nil, testPolicy, ""},
		{"enough on their way", []Controller{a, b}, pagesOf("a#1", 8), map[bk.Run]int{"b#1": 2}, testPolicy, ""},
		{"a strained one gives its last", []Controller{strained, b}, append(pagesOf("a#1", 1), pagesOf("b#1", 6)...), nil, testPolicy, "b#1"},
		{"a drained one gives its last", []Controller{{Run: "a#1", Draining: true}, b}, append(pagesOf("a#1", 1), pagesOf("b#1", 6)...), nil, testPolicy, "b#1"},
		{"a drained one gets none", []Controller{a, {Run: "b#1", Fit: true, Draining: true}}, pagesOf("a#1", 8), nil, testPolicy, ""},
		{"nothing to give", []Controller{a, b}, pagesOf("b#1", 6), nil, testPolicy, ""},
		{"fixed pages stay", []Controller{a, b}, []Page{{ID: "p", Owner: "a#1", Size: 5, Fixed: true}}, nil, testPolicy, ""},
		{"demand draws machines", []Controller{a, demanding}, append(pagesOf("a#1", 6), pagesOf("b#1", 6)...), nil,
			Policy{MaxMoves: 1, MaxArriving: 2, ByDemand: 0.5}, "b#1"},
		{"demand that is not looked at", []Controller{a, demanding}, append(pagesOf("a#1", 6), pagesOf("b#1", 6)...), nil, testPolicy, ""},
	} {
		moves := Plan(Snapshot{Self: "a#1", Controllers: test.controllers, Pages: test.pages, Arriving: test.arriving}, test.policy)
		if test.to == "" && len(moves) != 0 || test.to != "" && (len(moves) != 1 || moves[0].To != test.to || moves[0].From != "a#1") {
			t.Errorf("%s: %v", test.name, moves)
		}
	}
}

// The cheapest page goes first.
func TestPlanTakesTheCheapest(t *testing.T) {
	pages := pagesOf("a#1", 6)
	for i := range pages {
		pages[i].Cost = float64((i + 3) % 6)
	}
	s := Snapshot{Self: "a#1", Controllers: []Controller{{Run: "a#1", Fit: true}, {Run: "b#1", Fit: true}}, Pages: pages}
	if moves := Plan(s, testPolicy); len(moves) != 1 || moves[0].Page != pages[3].ID {
		t.Errorf("%v of %v", moves, pages)
	}
}

// Controllers that plan from the same snapshot, all in the same instant, come to rest: no
// page moves back and forth, whatever the demand, and nobody is given what it may not have.
func TestPlansComeToRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		policy := Policy{MaxMoves: rapid.IntRange(1, 3).Draw(t, "most"), MaxArriving: 2, ByDemand: rapid.Float64Range(0, 0.9).Draw(t, "by demand")}
		alone := rapid.Bool().Draw(t, "one after the other")
		rounds := 4*len(s.Pages) + 4
		for round := 0; ; round++ {
			if round == rounds {
				t.Fatalf("still moving behind %d rounds: %+v", round, s)
			}
			var moves []Move
			for _, c := range s.Controllers {
				s.Self = c.Run
				moves = append(moves, Plan(s, policy)...)
				if alone && len(moves) > 0 {
					break
				}
			}
			if len(moves) == 0 {
				return
			}
			arriving := map[bk.Run]int{}
			for _, m := range moves {
				i := slices.IndexFunc(s.Pages, func(p Page) bool { return p.ID == m.Page })
				j := slices.IndexFunc(s.Controllers, func(c Controller) bool { return c.Run == m.To })
				arriving[m.To]++
				if s.Pages[i].Owner != m.From || s.Pages[i].Fixed || !s.Controllers[j].Fit || s.Controllers[j].Strained || s.Controllers[j].Draining || m.From == m.To {
					t.Fatalf("%+v must not move: %+v", m, s)
				}
				if arriving[m.To] > policy.MaxArriving {
					continue // the stamps of the taker's slots let no more through
				}
				s.Pages[i].Owner = m.To
			}
		}
	})
}

func drawSnapshot(t *rapid.T) Snapshot {
	var s Snapshot
	n := rapid.IntRange(1, 5).Draw(t, "controllers")
	for i := range n {
		c := Controller{Run: bk.Run(fmt.Sprintf("c%d#1", i)), Demand: rapid.Float64Range(0, 1000).Draw(t, "demand")}
		switch rapid.IntRange(0, 5).Draw(t, "state") {
		case 0:
		case 1:
			c.Strained = true
		case 2:
			c.Fit, c.Draining = true, true
		default:
			c.Fit = true
		}
		s.Controllers = append(s.Controllers, c)
	}
	for i := range rapid.IntRange(0, 40).Draw(t, "pages") {
		owner := s.Controllers[rapid.IntRange(0, n-1).Draw(t, "owner")].Run
		s.Pages = append(s.Pages, Page{ID: bk.PageID(fmt.Sprint(i)), Owner: owner, Size: 1, Fixed: rapid.IntRange(0, 9).Draw(t, "fixed") == 0})
	}
	return s
}

// The same snapshot gives the same plan, in whatever order it is listed.
func TestPlanIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		s.Self = s.Controllers[0].Run
		policy := Policy{MaxMoves: 3, MaxArriving: 2, ByDemand: 0.5}
		first := Plan(s, policy)
		s.Pages = rapid.Permutation(s.Pages).Draw(t, "order")
		s.Controllers = rapid.Permutation(s.Controllers).Draw(t, "controllers in order")
		if second := Plan(s, policy); !slices.Equal(first, second) {
			t.Fatalf("%v, then %v", first, second)
		}
	})
}

// BenchmarkPlan is one plan over 4,000 machines on pages of 17.
func BenchmarkPlan(b *testing.B) {
	s := Snapshot{Self: "a#1", Controllers: []Controller{{Run: "a#1", Fit: true}, {Run: "b#1", Fit: true}, {Run: "c#1", Fit: true}}}
	s.Pages = append(append(pagesOf("a#1", 120), pagesOf("b#1", 80)...), pagesOf("c#1", 36)...)
	for b.Loop() {
		Plan(s, testPolicy)
	}
}
