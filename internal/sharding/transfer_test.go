package sharding

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tillerarch/internal/storage"
)

var testTimeouts = TransferTimeouts{GangPlacement: 10 * time.Second, Proposal: 20 * time.Second, Quiesce: 10 * time.Second, TokenObservation: 14 * time.Second}

func TestNextStep(t *testing.T) {
	const source, target, third = storage.Incarnation("a#1"), storage.Incarnation("b#1"), storage.Incarnation("c#1")
	for _, test := range []struct {
		name  string
		phase storage.TransferPhase
		self  storage.Incarnation
		set   func(*TransferStatus)
		want  TransferStep
	}{
		{"the giver takes a proposal up", storage.TransferProposed, source, nil, TransferStep{Phase: storage.TransferPrepared}},
		{"nobody else does", storage.TransferProposed, target, nil, TransferStep{}},
		{"a gang goes first", storage.TransferProposed, source, func(status *TransferStatus) { status.ReservedForGang, status.PhaseAge = true, 9*time.Second }, TransferStep{}},
		{"but not for ever", storage.TransferProposed, source, func(status *TransferStatus) { status.ReservedForGang, status.PhaseAge = true, 11*time.Second }, TransferStep{Phase: storage.TransferPrepared}},
		{"too old a proposal", storage.TransferProposed, source, func(status *TransferStatus) { status.PhaseAge = 21 * time.Second }, TransferStep{storage.TransferAborted, ReasonNotAccepted}},
		{"another move came first", storage.TransferProposed, source, func(status *TransferStatus) { status.Superseded = true }, TransferStep{storage.TransferAborted, ReasonSuperseded}},
		{"not settled", storage.TransferPrepared, source, nil, TransferStep{}},
		{"settled", storage.TransferPrepared, source, func(status *TransferStatus) { status.Quiesced = true }, TransferStep{Phase: storage.TransferCommitted}},
		{"settled, as the taker sees it", storage.TransferPrepared, target, func(status *TransferStatus) { status.Quiesced = true }, TransferStep{}},
		{"does not settle", storage.TransferPrepared, source, func(status *TransferStatus) { status.PhaseAge = 11 * time.Second }, TransferStep{storage.TransferAborted, ReasonNotQuiesced}},
		{"the page is gone", storage.TransferPrepared, source, func(status *TransferStatus) { status.Owner = "" }, TransferStep{storage.TransferAborted, ReasonShardGone}},
		{"the page went elsewhere", storage.TransferPrepared, source, func(status *TransferStatus) { status.Owner = third }, TransferStep{storage.TransferAborted, ReasonOwnerChanged}},
		{"the taker has ended", storage.TransferPrepared, source, func(status *TransferStatus) { status.TargetAlive, status.Quiesced = false, true }, TransferStep{storage.TransferAborted, ReasonTargetGone}},
		{"the giver has ended: its heir takes the page over", storage.TransferPrepared, target, func(status *TransferStatus) { status.SourceAlive = false }, TransferStep{}},
		{"the giver has ended, the page was taken over", storage.TransferPrepared, target, func(status *TransferStatus) { status.SourceAlive, status.Owner = false, third }, TransferStep{storage.TransferAborted, ReasonOwnerChanged}},
		{"both have ended", storage.TransferPrepared, third, func(status *TransferStatus) {
			status.SourceAlive, status.TargetAlive, status.IsSuccessor = false, false, true
		}, TransferStep{storage.TransferAborted, ReasonSourceGone}},
		{"both have ended, another one is the heir", storage.TransferPrepared, third, func(status *TransferStatus) { status.SourceAlive, status.TargetAlive = false, false }, TransferStep{}},
		{"the workers do not know the taker", storage.TransferCommitted, target, nil, TransferStep{}},
		{"the workers know the taker", storage.TransferCommitted, target, func(status *TransferStatus) { status.TargetTokenObserved = true }, TransferStep{Phase: storage.TransferClosed}},
		{"the giver has nothing more to do", storage.TransferCommitted, source, func(status *TransferStatus) { status.TargetTokenObserved = true }, TransferStep{}},
		{"the taker has ended: the giver closes", storage.TransferCommitted, source, func(status *TransferStatus) { status.TargetAlive = false }, TransferStep{Phase: storage.TransferClosed}},
		{"some workers never show it", storage.TransferCommitted, target, func(status *TransferStatus) { status.PhaseAge = 15 * time.Second }, TransferStep{Phase: storage.TransferClosed}},
		{"both have ended behind the transfer", storage.TransferCommitted, third, func(status *TransferStatus) {
			status.SourceAlive, status.TargetAlive, status.IsSuccessor = false, false, true
		}, TransferStep{Phase: storage.TransferClosed}},
		{"closed", storage.TransferClosed, target, func(status *TransferStatus) { status.TargetTokenObserved = true }, TransferStep{}},
		{"aborted", storage.TransferAborted, source, func(status *TransferStatus) { status.Quiesced = true }, TransferStep{}},
	} {
		status := TransferStatus{Transfer: storage.TransferRecord{Shard: "p", Source: source, Target: target, Phase: test.phase}, Self: test.self, Owner: source, SourceAlive: true, TargetAlive: true}
		if test.phase == storage.TransferCommitted {
			status.Owner = target
		}
		if test.set != nil {
			test.set(&status)
		}
		if got := NextStep(status, testTimeouts); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// transferModel is a move in a fleet of three controllers that end and come back, whose replicas
// may be behind, and whose writes rest on the stamp of the move.
type transferModel struct {
	transfer      storage.TransferRecord
	revision      int
	owner         storage.Incarnation
	alive         map[storage.Incarnation]bool
	views         map[storage.Incarnation]TransferStatus // what each controller last read
	viewRevisions map[storage.Incarnation]int            // and the stamp of it
}

var modelIncarnations = []storage.Incarnation{"a#1", "b#1", "c#1"}

// refresh brings a controller's replica up to date.
func (m *transferModel) refresh(incarnation storage.Incarnation, t *rapid.T) {
	successor := storage.Incarnation("")
	for _, r := range modelIncarnations {
		if m.alive[r] && successor == "" {
			successor = r
		}
	}
	m.views[incarnation] = TransferStatus{Transfer: m.transfer, Self: incarnation, Owner: m.owner, SourceAlive: m.alive[m.transfer.Source], TargetAlive: m.alive[m.transfer.Target], IsSuccessor: successor == incarnation,
		Quiesced: rapid.Bool().Draw(t, "settled"), TargetTokenObserved: rapid.Bool().Draw(t, "shown"), ReservedForGang: rapid.Bool().Draw(t, "gang"),
		PhaseAge: time.Duration(rapid.IntRange(0, 25).Draw(t, "age")) * time.Second}
	m.viewRevisions[incarnation] = m.revision
}

// applyNextStep lets a controller write what it has to, from what it last read.
func (m *transferModel) applyNextStep(incarnation storage.Incarnation, t *rapid.T) {
	status, known := m.views[incarnation]
	if !known || !m.alive[incarnation] || m.viewRevisions[incarnation] != m.revision {
		return // its write would be refused
	}
	step := NextStep(status, testTimeouts)
	if step.Phase == "" {
		return
	}
	if step.Phase == storage.TransferCommitted && (!m.alive[m.transfer.Source] || !m.alive[m.transfer.Target] || m.owner != m.transfer.Source) {
		return // refused: it rests on both runs' keys and on the page
	}
	if !step.Phase.CanFollow(m.transfer.Phase) {
		t.Fatalf("%s writes %s behind %s", incarnation, step.Phase, m.transfer.Phase)
	}
	if step.Phase == storage.TransferCommitted {
		m.owner = m.transfer.Target
	}
	m.transfer.Phase = step.Phase
	m.revision++
}

// Whatever ends, in whatever order and with whatever replicas, phases follow each other as
// they should, the page changes its owner by a transfer or a takeover only, and once all is
// calm somebody brings the move to its end.
func TestTransferModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &transferModel{transfer: storage.TransferRecord{Shard: "p", Source: "a#1", Target: "b#1", Phase: storage.TransferProposed}, owner: "a#1",
			alive: map[storage.Incarnation]bool{"a#1": true, "b#1": true, "c#1": true}, views: map[storage.Incarnation]TransferStatus{}, viewRevisions: map[storage.Incarnation]int{}}
		drawIncarnation := func() storage.Incarnation { return rapid.SampledFrom(modelIncarnations).Draw(t, "run") }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) { m.refresh(drawIncarnation(), t) },
			"act":  func(t *rapid.T) { m.applyNextStep(drawIncarnation(), t) },
			"end": func(t *rapid.T) {
				if r := drawIncarnation(); len(m.aliveIncarnations()) > 1 {
					m.alive[r] = false // for good: a new process has a new run
				}
			},
			"take over": func(t *rapid.T) { m.failOver() },
			"": func(t *rapid.T) {
				if m.transfer.Phase == storage.TransferProposed && m.owner == m.transfer.Target && m.alive[m.transfer.Source] {
					t.Fatalf("the page has gone without a transfer: %+v", m)
				}
			},
		})
		m.runToCompletion(t)
	})
}

func (m *transferModel) aliveIncarnations() (incarnations []storage.Incarnation) {
	for _, r := range modelIncarnations {
		if m.alive[r] {
			incarnations = append(incarnations, r)
		}
	}
	return incarnations
}

// failOver gives the page of a dead owner to its heir.
func (m *transferModel) failOver() {
	if m.alive[m.owner] || len(m.aliveIncarnations()) == 0 {
		return
	}
	if m.owner = m.aliveIncarnations()[0]; m.transfer.Phase.IsPending() && m.alive[m.transfer.Target] {
		m.owner = m.transfer.Target
	}
}

// runToCompletion lets the calm controllers go on until the move is at its end.
func (m *transferModel) runToCompletion(t *rapid.T) {
	for range 6 {
		m.failOver()
		for _, r := range m.aliveIncarnations() {
			m.refresh(r, t)
			status := m.views[r]
			status.Quiesced, status.TargetTokenObserved, status.ReservedForGang, status.PhaseAge = true, true, false, time.Second
			m.views[r] = status
			m.applyNextStep(r, t)
		}
	}
	if m.transfer.Phase.IsOpen() {
		t.Fatalf("the move hangs: %+v", m)
	}
}
