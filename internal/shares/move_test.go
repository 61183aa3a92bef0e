package shares

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	bk "tillerarch/internal/bookkeeping"
)

var testLimits = Limits{Gang: 10 * time.Second, Propose: 20 * time.Second, Settle: 10 * time.Second, Show: 14 * time.Second}

func TestNext(t *testing.T) {
	const giver, taker, third = bk.Run("a#1"), bk.Run("b#1"), bk.Run("c#1")
	for _, test := range []struct {
		name  string
		phase bk.MovePhase
		self  bk.Run
		set   func(*Progress)
		want  Step
	}{
		{"the giver takes a proposal up", bk.MoveProposed, giver, nil, Step{Phase: bk.MovePrepared}},
		{"nobody else does", bk.MoveProposed, taker, nil, Step{}},
		{"a gang goes first", bk.MoveProposed, giver, func(p *Progress) { p.GangWaits, p.Age = true, 9*time.Second }, Step{}},
		{"but not for ever", bk.MoveProposed, giver, func(p *Progress) { p.GangWaits, p.Age = true, 11*time.Second }, Step{Phase: bk.MovePrepared}},
		{"too old a proposal", bk.MoveProposed, giver, func(p *Progress) { p.Age = 21 * time.Second }, Step{bk.MoveAborted, WhyNotTaken}},
		{"another move came first", bk.MoveProposed, giver, func(p *Progress) { p.Superseded = true }, Step{bk.MoveAborted, WhySuperseded}},
		{"not settled", bk.MovePrepared, giver, nil, Step{}},
		{"settled", bk.MovePrepared, giver, func(p *Progress) { p.Settled = true }, Step{Phase: bk.MoveTransferred}},
		{"settled, as the taker sees it", bk.MovePrepared, taker, func(p *Progress) { p.Settled = true }, Step{}},
		{"does not settle", bk.MovePrepared, giver, func(p *Progress) { p.Age = 11 * time.Second }, Step{bk.MoveAborted, WhyNotSettled}},
		{"the page is gone", bk.MovePrepared, giver, func(p *Progress) { p.Owner = "" }, Step{bk.MoveAborted, WhyPageGone}},
		{"the page went elsewhere", bk.MovePrepared, giver, func(p *Progress) { p.Owner = third }, Step{bk.MoveAborted, WhyOwner}},
		{"the taker has ended", bk.MovePrepared, giver, func(p *Progress) { p.ToAlive, p.Settled = false, true }, Step{bk.MoveAborted, WhyTakerGone}},
		{"the giver has ended: its heir takes the page over", bk.MovePrepared, taker, func(p *Progress) { p.FromAlive = false }, Step{}},
		{"the giver has ended, the page was taken over", bk.MovePrepared, taker, func(p *Progress) { p.FromAlive, p.Owner = false, third }, Step{bk.MoveAborted, WhyOwner}},
		{"both have ended", bk.MovePrepared, third, func(p *Progress) { p.FromAlive, p.ToAlive, p.Heir = false, false, true }, Step{bk.MoveAborted, WhyGiverGone}},
		{"both have ended, another one is the heir", bk.MovePrepared, third, func(p *Progress) { p.FromAlive, p.ToAlive = false, false }, Step{}},
		{"the workers do not know the taker", bk.MoveTransferred, taker, nil, Step{}},
		{"the workers know the taker", bk.MoveTransferred, taker, func(p *Progress) { p.Shown = true }, Step{Phase: bk.MoveClosed}},
		{"the giver has nothing more to do", bk.MoveTransferred, giver, func(p *Progress) { p.Shown = true }, Step{}},
		{"the taker has ended: the giver closes", bk.MoveTransferred, giver, func(p *Progress) { p.ToAlive = false }, Step{Phase: bk.MoveClosed}},
		{"some workers never show it", bk.MoveTransferred, taker, func(p *Progress) { p.Age = 15 * time.Second }, Step{Phase: bk.MoveClosed}},
		{"both have ended behind the transfer", bk.MoveTransferred, third, func(p *Progress) { p.FromAlive, p.ToAlive, p.Heir = false, false, true }, Step{Phase: bk.MoveClosed}},
		{"closed", bk.MoveClosed, taker, func(p *Progress) { p.Shown = true }, Step{}},
		{"aborted", bk.MoveAborted, giver, func(p *Progress) { p.Settled = true }, Step{}},
	} {
		p := Progress{Move: bk.MoveRecord{Page: "p", From: giver, To: taker, Phase: test.phase}, Self: test.self, Owner: giver, FromAlive: true, ToAlive: true}
		if test.phase == bk.MoveTransferred {
			p.Owner = taker
		}
		if test.set != nil {
			test.set(&p)
		}
		if got := Next(p, testLimits); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// moveModel is a move in a fleet of three controllers that end and come back, whose replicas
// may be behind, and whose writes rest on the stamp of the move.
type moveModel struct {
	move   bk.MoveRecord
	stamp  int
	owner  bk.Run
	alive  map[bk.Run]bool
	seen   map[bk.Run]Progress // what each controller last read
	seenAt map[bk.Run]int      // and the stamp of it
}

var modelRuns = []bk.Run{"a#1", "b#1", "c#1"}

// read brings a controller's replica up to date.
func (m *moveModel) read(run bk.Run, t *rapid.T) {
	heir := bk.Run("")
	for _, r := range modelRuns {
		if m.alive[r] && heir == "" {
			heir = r
		}
	}
	m.seen[run] = Progress{Move: m.move, Self: run, Owner: m.owner, FromAlive: m.alive[m.move.From], ToAlive: m.alive[m.move.To], Heir: heir == run,
		Settled: rapid.Bool().Draw(t, "settled"), Shown: rapid.Bool().Draw(t, "shown"), GangWaits: rapid.Bool().Draw(t, "gang"),
		Age: time.Duration(rapid.IntRange(0, 25).Draw(t, "age")) * time.Second}
	m.seenAt[run] = m.stamp
}

// act lets a controller write what it has to, from what it last read.
func (m *moveModel) act(run bk.Run, t *rapid.T) {
	p, known := m.seen[run]
	if !known || !m.alive[run] || m.seenAt[run] != m.stamp {
		return // its write would be refused
	}
	step := Next(p, testLimits)
	if step.Phase == "" {
		return
	}
	if step.Phase == bk.MoveTransferred && (!m.alive[m.move.From] || !m.alive[m.move.To] || m.owner != m.move.From) {
		return // refused: it rests on both runs' keys and on the page
	}
	if !step.Phase.Follows(m.move.Phase) {
		t.Fatalf("%s writes %s behind %s", run, step.Phase, m.move.Phase)
	}
	if step.Phase == bk.MoveTransferred {
		m.owner = m.move.To
	}
	m.move.Phase = step.Phase
	m.stamp++
}

// Whatever ends, in whatever order and with whatever replicas, phases follow each other as
// they should, the page changes its owner by a transfer or a takeover only, and once all is
// calm somebody brings the move to its end.
func TestMoveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &moveModel{move: bk.MoveRecord{Page: "p", From: "a#1", To: "b#1", Phase: bk.MoveProposed}, owner: "a#1",
			alive: map[bk.Run]bool{"a#1": true, "b#1": true, "c#1": true}, seen: map[bk.Run]Progress{}, seenAt: map[bk.Run]int{}}
		run := func() bk.Run { return rapid.SampledFrom(modelRuns).Draw(t, "run") }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) { m.read(run(), t) },
			"act":  func(t *rapid.T) { m.act(run(), t) },
			"end": func(t *rapid.T) {
				if r := run(); len(m.living()) > 1 {
					m.alive[r] = false // for good: a new process has a new run
				}
			},
			"take over": func(t *rapid.T) { m.takeOver() },
			"": func(t *rapid.T) {
				if m.move.Phase == bk.MoveProposed && m.owner == m.move.To && m.alive[m.move.From] {
					t.Fatalf("the page has gone without a transfer: %+v", m)
				}
			},
		})
		m.rest(t)
	})
}

func (m *moveModel) living() (runs []bk.Run) {
	for _, r := range modelRuns {
		if m.alive[r] {
			runs = append(runs, r)
		}
	}
	return runs
}

// takeOver gives the page of a dead owner to its heir.
func (m *moveModel) takeOver() {
	if m.alive[m.owner] || len(m.living()) == 0 {
		return
	}
	if m.owner = m.living()[0]; m.move.Phase.Pending() && m.alive[m.move.To] {
		m.owner = m.move.To
	}
}

// rest lets the calm controllers go on until the move is at its end.
func (m *moveModel) rest(t *rapid.T) {
	for range 6 {
		m.takeOver()
		for _, r := range m.living() {
			m.read(r, t)
			p := m.seen[r]
			p.Settled, p.Shown, p.GangWaits, p.Age = true, true, false, time.Second
			m.seen[r] = p
			m.act(r, t)
		}
	}
	if m.move.Phase.Open() {
		t.Fatalf("the move hangs: %+v", m)
	}
}
