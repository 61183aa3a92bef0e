package shares

import (
	"time"

	bk "tillerarch/internal/bookkeeping"
)

// Progress is a move on record as one controller sees it.
type Progress struct {
	Move  bk.MoveRecord
	Self  bk.Run
	Owner bk.Run // of the page now; empty: there is no such page
	// How long this controller has seen the move in its phase.
	Age                time.Duration
	FromAlive, ToAlive bool
	Heir               bool // the move falls to this controller if both ends are gone
	Superseded         bool // an earlier move of the page is open
	GangWaits          bool // machines of the page are kept for a gang
	Settled            bool // nothing that the giver has sent to the page's workers is on its way
	Shown              bool // the page's workers have shown the taker's token
}

// Limits bound how long a move may stay in a phase.
type Limits struct {
	Gang    time.Duration // a proposal waits as long for a gang to be placed first
	Propose time.Duration // a proposal that its giver does not take up is dropped
	Settle  time.Duration // machines of a prepared page take no new task as long
	Show    time.Duration // and their workers are waited for as long behind the transfer
}

// Step is what a controller has to write next for a move. Empty Phase: nothing.
type Step struct {
	Phase bk.MovePhase
	Why   string // of an abort
}

// Reasons of aborted moves, as operators read them.
const (
	WhyPageGone    = "the page is gone"
	WhyOwner       = "the page has another owner"
	WhyTakerGone   = "the taker has ended"
	WhyGiverGone   = "the giver has ended"
	WhySuperseded  = "another move of the page came first"
	WhyNotTaken    = "the giver did not take it up"
	WhyNotSettled  = "what was on its way to the workers did not settle in time"
	WhyOperator    = "aborted by the operator"
	WhyTakenOver   = "the page was taken over from its dead owner"
	WhyLoad        = "the taker has less to do"
	WhyDrained     = "the giver is drained"
	WhyStrained    = "the giver falls behind"
	WhyReportThere = "the workers report there"
)

// Next tells what this controller has to write for an open move. Exactly one controller
// acts while all see the same records; where they don't, the stamps decide.
func Next(p Progress, limits Limits) Step {
	if !p.Move.Phase.Open() || !responsible(p) {
		return Step{}
	}
	if p.Move.Phase == bk.MoveTransferred {
		return afterTransfer(p, limits)
	}
	if why := obsolete(p); why != "" {
		return Step{bk.MoveAborted, why}
	}
	if p.Self != p.Move.From {
		return Step{} // the page's owner is dead: its heir takes the page over and ends the move
	}
	return beforeTransfer(p, limits)
}

// responsible tells whether it is for this controller to act: the giver until the
// transfer, the taker behind it, and the heir of the move if that one is gone.
func responsible(p Progress) bool {
	first, firstAlive, second, secondAlive := p.Move.From, p.FromAlive, p.Move.To, p.ToAlive
	if p.Move.Phase == bk.MoveTransferred {
		first, firstAlive, second, secondAlive = second, secondAlive, first, firstAlive
	}
	switch {
	case firstAlive:
		return p.Self == first
	case secondAlive:
		return p.Self == second
	}
	return p.Heir
}

// obsolete gives the reason why a move that is pending can't go on, if there is one.
func obsolete(p Progress) string {
	switch {
	case p.Owner == "":
		return WhyPageGone
	case p.Owner != p.Move.From:
		return WhyOwner
	case !p.FromAlive && !p.ToAlive:
		return WhyGiverGone
	case !p.ToAlive:
		return WhyTakerGone
	case p.Superseded:
		return WhySuperseded
	}
	return ""
}

// beforeTransfer is the giver's next step.
func beforeTransfer(p Progress, limits Limits) Step {
	if p.Move.Phase == bk.MoveProposed {
		switch {
		case p.Age > limits.Propose:
			return Step{bk.MoveAborted, WhyNotTaken}
		case p.GangWaits && p.Age < limits.Gang:
			return Step{}
		}
		return Step{Phase: bk.MovePrepared}
	}
	switch {
	case p.Settled:
		return Step{Phase: bk.MoveTransferred}
	case p.Age > limits.Settle:
		return Step{bk.MoveAborted, WhyNotSettled}
	}
	return Step{}
}

// afterTransfer closes a move once the workers know the taker, or the page has gone on to
// somebody else.
func afterTransfer(p Progress, limits Limits) Step {
	if p.Shown || p.Owner != p.Move.To || !p.ToAlive || p.Age > limits.Show {
		return Step{Phase: bk.MoveClosed}
	}
	return Step{}
}
