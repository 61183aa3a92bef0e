package simulation

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The property tests of this package draw the same cases on every run, so that CI has one
// verdict; -rapid.seed and -rapid.checks ask for others and for more.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "16"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// failureKind is what fails.
type failureKind string

const (
	crash          failureKind = "crash"
	freeze         failureKind = "freeze"
	noStateService failureKind = "no state service"
	noWorkers      failureKind = "no workers"
	noPeers        failureKind = "no peers"
	outage         failureKind = "outage"
	lostAnswers    failureKind = "lost answers"
	lateWrites     failureKind = "late writes"
)

var failureKinds = []failureKind{crash, freeze, noStateService, noWorkers, noPeers, outage, lostAnswers, lateWrites}

// failure is something that fails for a while, at one controller if it concerns one.
type failure struct {
	kind       failureKind
	controller int
	at, lasts  time.Duration
}

// busyTime is how long pages move and things fail; then all troubles are over.
const busyTime = 45 * time.Second

// plan lets a failure happen in its time.
func (f failure) plan(w *World) {
	n := w.Nodes[f.controller]
	flag := func(on *bool) {
		w.At(f.at, func() { *on = true })
		w.At(f.at+f.lasts, func() { *on = false })
	}
	part := func(of *float64, value float64) {
		w.At(f.at, func() { *of = value })
		w.At(f.at+f.lasts, func() { *of = 0 })
	}
	switch f.kind {
	case crash:
		w.At(f.at, func() {
			if n.Alive {
				n.Kill()
				w.At(f.lasts, n.Start)
			}
		})
	case freeze:
		w.At(f.at, func() {
			if n.Alive && !n.frozen {
				n.Freeze(f.lasts)
			}
		})
	case noStateService:
		flag(&n.NoState)
	case noWorkers:
		flag(&n.NoWorker)
	case noPeers:
		flag(&n.NoPeers)
	case outage:
		flag(&w.State.Down)
	case lostAnswers:
		part(&w.Unheard, 0.3)
	case lateWrites:
		part(&w.Late, 0.1)
	}
}

// playFailures moves pages about while things fail, and says what is wrong in the end.
func playFailures(seed uint64, failures []failure) (wrong []string) {
	w := NewWorld(seed, 3, testFlavors, testTeams())
	w.Rules.Limits["tight"] = 10
	w.Config.RecordTransfers = true
	w.Config.ValueBytes = 2500
	w.Config.MinRebalanceInterval = time.Second
	for _, n := range w.Nodes {
		n.Start()
	}
	for range 12 {
		w.Machine("small", "a", false, 0)
	}
	ids := submitMix(w, 10)
	w.moveAround(900*time.Millisecond, busyTime)
	for _, f := range failures {
		f.plan(w)
	}
	w.Run(busyTime)
	w.calm()
	w.Run(150 * time.Second)
	w.Rules.End(w.Now)
	wrong = append(wrong, w.Rules.Broken...)
	for _, name := range w.History.Open() {
		wrong = append(wrong, "move hangs: "+name)
	}
	for _, id := range ids {
		if w.Jobs[id] != nil && !w.Done[id] {
			wrong = append(wrong, string(id)+" has not come to its end")
		}
	}
	return wrong
}

// Anything fails at any time, in any order, while pages move: what rapid finds is shrunk
// to the fewest failures that break a rule.
func TestMovesAtRandom(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		var failures []failure
		for range rapid.IntRange(0, 8).Draw(t, "failures") {
			failures = append(failures, failure{
				kind:       rapid.SampledFrom(failureKinds).Draw(t, "kind"),
				controller: rapid.IntRange(0, 2).Draw(t, "controller"),
				at:         time.Duration(rapid.IntRange(3000, int(busyTime.Milliseconds())-1000).Draw(t, "at")) * time.Millisecond,
				lasts:      time.Duration(rapid.SampledFrom([]int{150, 2500, 9000, 16000}).Draw(t, "lasts")) * time.Millisecond,
			})
		}
		if wrong := playFailures(seed, failures); len(wrong) > 0 {
			t.Errorf("%s", strings.Join(wrong, "\n"))
		}
	})
}

// What rapid has found, shrunk, once for each fault.
func TestMovesFoundAtRandom(t *testing.T) {
	for _, c := range []struct {
		found    string
		seed     uint64
		failures []failure
	}{
		{"a page without machines is moved, and deleted in the same write", 0x219, []failure{
			{noWorkers, 0, 35280 * time.Millisecond, 9 * time.Second}, {lateWrites, 1, 14736 * time.Millisecond, 150 * time.Millisecond}}},
	} {
		if wrong := playFailures(c.seed, c.failures); len(wrong) > 0 {
			t.Errorf("%s: %s", c.found, strings.Join(wrong, "\n"))
		}
	}
}
