package shares

import (
	"cmp"
	"slices"

	bk "tillerarch/internal/bookkeeping"
)

// Controller is a controller as the planner sees it.
type Controller struct {
	Run bk.Run
	// It may be given machines: its workers and the state service reach it, and it keeps
	// up with its work.
	Fit bool
	// It falls behind: whatever it has is better off elsewhere.
	Strained bool
	// An operator has it drained: it gives all it has, and gets none.
	Draining bool
	Demand   float64 // cores that the unfinished jobs it has claimed ask for
}

// Page is a page of machines as the planner sees it.
type Page struct {
	ID    bk.PageID
	Owner bk.Run // for a page on its way, the one that it goes to
	Size  float64
	Cost  float64 // what a move would hold up
	Fixed bool    // it stays: it is on its way, or a gang is about to be placed there
}

// Snapshot is what a plan rests on.
type Snapshot struct {
	Self        bk.Run
	Controllers []Controller
	Pages       []Page
	Arriving    map[bk.Run]int // open moves to each controller
}

// Policy bounds what is planned.
type Policy struct {
	MaxMoves    int     // of one plan
	MaxArriving int     // open moves to one controller
	ByDemand    float64 // part of the share that follows demand; the rest is even
}

// Move is a page that is to go from its owner to another controller.
type Move struct {
	Page bk.PageID
	From bk.Run
	To   bk.Run
}

// share is a controller's part of the load, and what it should be.
type share struct {
	Controller
	load     float64
	want     float64 // its part of all load, above 0
	arriving int
}

// leaves tells whether whatever the controller has is better off elsewhere.
func (s *share) leaves() bool { return s.Strained || s.Draining }

// level is the load by what is wanted: the same for all in a balanced fleet.
func (s *share) level() float64 { return s.load / s.want }

// Plan lists the moves that the snapshot's controller, as a giver, should begin. Every
// controller plans for itself from the same records. A move must lower the level of the
// giver below what it was and leave the taker under that, so that the sorted levels fall
// with every move and a sequence of moves ends. A taker must lie a quarter below the
// giver to begin with, so that small differences move nothing.
func Plan(s Snapshot, policy Policy) []Move {
	shares := sharesOf(s, policy)
	giver := shares[s.Self]
	if giver == nil {
		return nil
	}
	own := ownMovable(s)
	var moves []Move
	for len(moves) < policy.MaxMoves {
		taker := lowest(shares, giver, policy.MaxArriving)
		if taker == nil {
			break
		}
		i := slices.IndexFunc(own, func(p Page) bool { return improves(giver, taker, p.Size) })
		if i < 0 {
			break
		}
		page := own[i]
		own = slices.Delete(own, i, i+1)
		giver.load -= page.Size
		taker.load += page.Size
		taker.arriving++
		moves = append(moves, Move{Page: page.ID, From: giver.Run, To: taker.Run})
	}
	return moves
}

// sharesOf sums up what each controller has and should have.
func sharesOf(s Snapshot, policy Policy) map[bk.Run]*share {
	shares := map[bk.Run]*share{}
	demand, staying := 0.0, 0
	for _, c := range s.Controllers {
		shares[c.Run] = &share{Controller: c, arriving: s.Arriving[c.Run]}
		demand += c.Demand
		if !c.Draining {
			staying++
		}
	}
	for _, sh := range shares {
		sh.want = 1 / float64(max(staying, 1))
		if demand > 0 {
			sh.want = (1-policy.ByDemand)*sh.want + policy.ByDemand*sh.Demand/demand
		}
	}
	for _, p := range s.Pages {
		if sh := shares[p.Owner]; sh != nil {
			sh.load += p.Size
		}
	}
	return shares
}

// ownMovable lists the pages that the snapshot's controller may give, cheapest first.
func ownMovable(s Snapshot) []Page {
	var own []Page
	for _, p := range s.Pages {
		if p.Owner == s.Self && !p.Fixed {
			own = append(own, p)
		}
	}
	slices.SortFunc(own, func(a, z Page) int {
		return cmp.Or(cmp.Compare(a.Cost, z.Cost), cmp.Compare(Weight(string(a.ID), ""), Weight(string(z.ID), "")), cmp.Compare(a.ID, z.ID))
	})
	return own
}

// lowest is the controller that should be given a page, if there is one.
func lowest(shares map[bk.Run]*share, giver *share, maxArriving int) *share {
	var best *share
	for _, sh := range shares {
		if sh == giver || !sh.Fit || sh.leaves() || sh.arriving >= maxArriving || sh.want <= 0 {
			continue
		}
		if !giver.leaves() && 4*sh.level() >= 3*giver.level() {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(sh.level(), best.level()), cmp.Compare(sh.Run, best.Run)) < 0 {
			best = sh
		}
	}
	return best
}

// improves tells whether the levels of both are better off with a move.
func improves(giver, taker *share, size float64) bool {
	return giver.leaves() || (taker.load+size)/taker.want < giver.level()
}
