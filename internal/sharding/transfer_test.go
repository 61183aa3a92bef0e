package sharding

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tillerarch/internal/storage"
)

var testTimeouts = TransferTimeouts{
	GangPlacement:    10 * time.Second,
	Proposal:         20 * time.Second,
	Quiesce:          10 * time.Second,
	TokenObservation: 14 * time.Second,
}

// One controller is responsible for each step: the source until the commit and the target after it, the
// other of these two if that controller is dead, and the shard's successor if both are dead. Every phase
// ends when its condition holds or its timeout has passed.
func TestNextStep(t *testing.T) {
	const source, target, third = storage.Incarnation("a#1"), storage.Incarnation("b#1"), storage.Incarnation("c#1")
	noStep := TransferStep{}
	prepare := TransferStep{Phase: storage.TransferPrepared}
	commit := TransferStep{Phase: storage.TransferCommitted}
	closeTransfer := TransferStep{Phase: storage.TransferClosed}
	abort := func(reason string) TransferStep { return TransferStep{storage.TransferAborted, reason} }
	withPhaseAge := func(age time.Duration) func(*TransferStatus) {
		return func(status *TransferStatus) { status.PhaseAge = age }
	}
	reservedFor := func(age time.Duration) func(*TransferStatus) {
		return func(status *TransferStatus) { status.ReservedForGang, status.PhaseAge = true, age }
	}
	superseded := func(status *TransferStatus) { status.Superseded = true }
	quiesced := func(status *TransferStatus) { status.Quiesced = true }
	tokenObserved := func(status *TransferStatus) { status.TargetTokenObserved = true }
	ownedBy := func(owner storage.Incarnation) func(*TransferStatus) {
		return func(status *TransferStatus) { status.Owner = owner }
	}
	sourceDead := func(status *TransferStatus) { status.SourceAlive = false }
	targetDead := func(status *TransferStatus) { status.TargetAlive = false }
	bothDead := func(status *TransferStatus) { status.SourceAlive, status.TargetAlive = false, false }
	successor := func(status *TransferStatus) { status.IsSuccessor = true }
	type setters []func(*TransferStatus)
	for _, test := range []struct {
		name  string
		phase storage.TransferPhase
		self  storage.Incarnation
		set   setters
		want  TransferStep
	}{
		{"source accepts a proposal", storage.TransferProposed, source, nil, prepare},
		{"target does not accept a proposal", storage.TransferProposed, target, nil, noStep},
		{"shard reserved for a gang", storage.TransferProposed, source, setters{reservedFor(9 * time.Second)}, noStep},
		{"shard reserved for a gang for too long", storage.TransferProposed, source, setters{reservedFor(11 * time.Second)}, prepare},
		{"proposal timed out", storage.TransferProposed, source, setters{withPhaseAge(21 * time.Second)}, abort(ReasonNotAccepted)},
		{"superseded", storage.TransferProposed, source, setters{superseded}, abort(ReasonSuperseded)},
		{"not quiesced", storage.TransferPrepared, source, nil, noStep},
		{"quiesced", storage.TransferPrepared, source, setters{quiesced}, commit},
		{"quiesced, seen by the target", storage.TransferPrepared, target, setters{quiesced}, noStep},
		{"quiescing timed out", storage.TransferPrepared, source, setters{withPhaseAge(11 * time.Second)}, abort(ReasonNotQuiesced)},
		{"shard gone", storage.TransferPrepared, source, setters{ownedBy("")}, abort(ReasonShardGone)},
		{"shard has another owner", storage.TransferPrepared, source, setters{ownedBy(third)}, abort(ReasonOwnerChanged)},
		{"target dead", storage.TransferPrepared, source, setters{targetDead, quiesced}, abort(ReasonTargetGone)},
		{"source dead, failover to come", storage.TransferPrepared, target, setters{sourceDead}, noStep},
		{"source dead, failover done", storage.TransferPrepared, target, setters{sourceDead, ownedBy(third)},
			abort(ReasonOwnerChanged)},
		{"both dead, seen by the successor", storage.TransferPrepared, third, setters{bothDead, successor},
			abort(ReasonSourceGone)},
		{"both dead, seen by a controller that is not the successor", storage.TransferPrepared, third, setters{bothDead}, noStep},
		{"token not observed", storage.TransferCommitted, target, nil, noStep},
		{"token observed", storage.TransferCommitted, target, setters{tokenObserved}, closeTransfer},
		{"token observed, seen by the source", storage.TransferCommitted, source, setters{tokenObserved}, noStep},
		{"target dead after the commit", storage.TransferCommitted, source, setters{targetDead}, closeTransfer},
		{"token observation timed out", storage.TransferCommitted, target, setters{withPhaseAge(15 * time.Second)}, closeTransfer},
		{"both dead after the commit", storage.TransferCommitted, third, setters{bothDead, successor}, closeTransfer},
		{"closed", storage.TransferClosed, target, setters{tokenObserved}, noStep},
		{"aborted", storage.TransferAborted, source, setters{quiesced}, noStep},
	} {
		t.Run(test.name, func(t *testing.T) {
			status := TransferStatus{
				Transfer:    storage.TransferRecord{Shard: "p", Source: source, Target: target, Phase: test.phase},
				Self:        test.self,
				Owner:       source,
				SourceAlive: true,
				TargetAlive: true,
			}
			if test.phase == storage.TransferCommitted {
				status.Owner = target
			}
			for _, set := range test.set {
				set(&status)
			}
			if got := NextStep(status, testTimeouts); got != test.want {
				t.Errorf("next step %+v, want %+v", got, test.want)
			}
		})
	}
}

// transferModel is a transfer between three controllers. The controllers may die, their replicas
// may be behind, and their writes are conditional on the revision of the transfer.
type transferModel struct {
	transfer      storage.TransferRecord
	revision      int
	owner         storage.Incarnation
	alive         map[storage.Incarnation]bool
	views         map[storage.Incarnation]TransferStatus // the status that each controller last read
	viewRevisions map[storage.Incarnation]int            // the revision at which each controller last read it
}

// modelIncarnations holds the incarnations of a transferModel in the order of succession.
var modelIncarnations = []storage.Incarnation{"a#1", "b#1", "c#1"}

// refresh brings the replica of a controller up to date. Facts that are not recorded are drawn at
// random.
func (m *transferModel) refresh(incarnation storage.Incarnation, t *rapid.T) {
	alive := m.aliveIncarnations()
	m.views[incarnation] = TransferStatus{
		Transfer:            m.transfer,
		Self:                incarnation,
		Owner:               m.owner,
		SourceAlive:         m.alive[m.transfer.Source],
		TargetAlive:         m.alive[m.transfer.Target],
		IsSuccessor:         len(alive) > 0 && alive[0] == incarnation,
		Quiesced:            rapid.Bool().Draw(t, "quiesced"),
		TargetTokenObserved: rapid.Bool().Draw(t, "token observed"),
		ReservedForGang:     rapid.Bool().Draw(t, "reserved for gang"),
		PhaseAge:            time.Duration(rapid.IntRange(0, 25).Draw(t, "age")) * time.Second,
	}
	m.viewRevisions[incarnation] = m.revision
}

// applyNextStep writes the next step of a controller, as NextStep returns it for the status that the
// controller last read.
func (m *transferModel) applyNextStep(incarnation storage.Incarnation, t *rapid.T) {
	status, hasView := m.views[incarnation]
	if !hasView || !m.alive[incarnation] || m.viewRevisions[incarnation] != m.revision {
		return // it has no view, it is dead, or its write would conflict
	}
	step := NextStep(status, testTimeouts)
	if step.Phase == "" {
		return
	}
	canCommit := m.alive[m.transfer.Source] && m.alive[m.transfer.Target] && m.owner == m.transfer.Source
	if step.Phase == storage.TransferCommitted && !canCommit {
		return // conflict, because a commit is conditional on the keys of both incarnations and of the shard
	}
	if !step.Phase.CanFollow(m.transfer.Phase) {
		t.Fatalf("%s writes the phase %s, which must not follow %s", incarnation, step.Phase, m.transfer.Phase)
	}
	if step.Phase == storage.TransferCommitted {
		m.owner = m.transfer.Target
	}
	m.transfer.Phase = step.Phase
	m.revision++
}

// TestTransferModel checks transfers while controllers die in any order and replicas are behind.
// Only allowed phases follow each other, the shard changes its owner only by a commit or a failover,
// and once no more controllers die, the live ones end the transfer.
func TestTransferModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &transferModel{
			transfer: storage.TransferRecord{
				Shard:  "p",
				Source: "a#1",
				Target: "b#1",
				Phase:  storage.TransferProposed,
			},
			owner:         "a#1",
			alive:         map[storage.Incarnation]bool{"a#1": true, "b#1": true, "c#1": true},
			views:         map[storage.Incarnation]TransferStatus{},
			viewRevisions: map[storage.Incarnation]int{},
		}
		drawIncarnation := func() storage.Incarnation {
			return rapid.SampledFrom(modelIncarnations).Draw(t, "incarnation")
		}
		t.Repeat(map[string]func(*rapid.T){
			"refresh": func(t *rapid.T) { model.refresh(drawIncarnation(), t) },
			"act":     func(t *rapid.T) { model.applyNextStep(drawIncarnation(), t) },
			"expire": func(t *rapid.T) {
				if incarnation := drawIncarnation(); len(model.aliveIncarnations()) > 1 {
					model.alive[incarnation] = false // permanently, because a new process has a new incarnation
				}
			},
			"take over": func(t *rapid.T) { model.failOver() },
			"": func(t *rapid.T) {
				proposed := model.transfer.Phase == storage.TransferProposed
				if proposed && model.owner == model.transfer.Target && model.alive[model.transfer.Source] {
					t.Fatalf("the target owns the shard without a commit, although the source is alive: %+v", model)
				}
			},
		})
		model.runToCompletion(t)
	})
}

// aliveIncarnations returns the live incarnations in the order of modelIncarnations.
func (m *transferModel) aliveIncarnations() (incarnations []storage.Incarnation) {
	for _, incarnation := range modelIncarnations {
		if m.alive[incarnation] {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

// failOver makes the successor of a dead owner the owner of the shard. While the transfer is
// pending, the successor is the target if the target is alive.
func (m *transferModel) failOver() {
	alive := m.aliveIncarnations()
	if m.alive[m.owner] || len(alive) == 0 {
		return
	}
	if m.transfer.Phase.IsPending() && m.alive[m.transfer.Target] {
		m.owner = m.transfer.Target
	} else {
		m.owner = alive[0]
	}
}

// runToCompletion lets the live controllers act until the transfer must have ended.
func (m *transferModel) runToCompletion(t *rapid.T) {
	for range 6 {
		m.failOver()
		for _, incarnation := range m.aliveIncarnations() {
			m.refresh(incarnation, t)
			status := m.views[incarnation]
			status.Quiesced, status.TargetTokenObserved = true, true
			status.ReservedForGang, status.PhaseAge = false, time.Second
			m.views[incarnation] = status
			m.applyNextStep(incarnation, t)
		}
	}
	if m.transfer.Phase.IsOpen() {
		t.Fatalf("the transfer is still open after the live controllers have acted, want it ended: %+v", m)
	}
}
