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

// faultKind is what fails.
type faultKind string

const (
	crash             faultKind = "crash"
	pause             faultKind = "freeze"
	storeUnreachable  faultKind = "no state service"
	agentsUnreachable faultKind = "no workers"
	peersUnreachable  faultKind = "no peers"
	storeOutage       faultKind = "outage"
	lostWriteReplies  faultKind = "lost answers"
	delayedWrites     faultKind = "late writes"
)

var faultKinds = []faultKind{crash, pause, storeUnreachable, agentsUnreachable, peersUnreachable, storeOutage, lostWriteReplies, delayedWrites}

// fault is something that fails for a while, at one controller if it concerns one.
type fault struct {
	kind         faultKind
	controller   int
	at, duration time.Duration
}

// faultDuration is how long pages move and things fail; then all troubles are over.
const faultDuration = 45 * time.Second

// schedule lets a failure happen in its time.
func (f fault) schedule(w *World) {
	controller := w.Controllers[f.controller]
	setDuring := func(on *bool) {
		w.After(f.at, func() { *on = true })
		w.After(f.at+f.duration, func() { *on = false })
	}
	setRateDuring := func(rate *float64, value float64) {
		w.After(f.at, func() { *rate = value })
		w.After(f.at+f.duration, func() { *rate = 0 })
	}
	switch f.kind {
	case crash:
		w.After(f.at, func() {
			if controller.Alive {
				controller.Kill()
				w.After(f.duration, controller.Start)
			}
		})
	case pause:
		w.After(f.at, func() {
			if controller.Alive && !controller.paused {
				controller.Pause(f.duration)
			}
		})
	case storeUnreachable:
		setDuring(&controller.StoreUnreachable)
	case agentsUnreachable:
		setDuring(&controller.AgentsUnreachable)
	case peersUnreachable:
		setDuring(&controller.PeersUnreachable)
	case storeOutage:
		setDuring(&w.Store.Unavailable)
	case lostWriteReplies:
		setRateDuring(&w.LostWriteReplyRate, 0.3)
	case delayedWrites:
		setRateDuring(&w.DelayedWriteRate, 0.1)
	}
}

// runFaults moves pages about while things fail, and says what is wrong in the end.
func runFaults(seed uint64, faults []fault) (problems []string) {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.Rules.QuotaLimits["tight"] = 10
	w.Config.RecordTransfers = true
	w.Config.ValueBytes = 2500
	w.Config.MinRebalanceInterval = time.Second
	for _, controller := range w.Controllers {
		controller.Start()
	}
	for range 12 {
		w.AddMachine("small", "a", false, 0)
	}
	ids := submitMixedJobs(w, 10)
	w.requestRandomTransfers(900*time.Millisecond, faultDuration)
	for _, f := range faults {
		f.schedule(w)
	}
	w.Advance(faultDuration)
	w.endFaults()
	w.Advance(150 * time.Second)
	w.Rules.CheckFinal(w.Now)
	problems = append(problems, w.Rules.Violations...)
	for _, name := range w.History.OpenTransfers() {
		problems = append(problems, "move hangs: "+name)
	}
	for _, id := range ids {
		if w.Jobs[id] != nil && !w.FinishedJobs[id] {
			problems = append(problems, string(id)+" has not come to its end")
		}
	}
	return problems
}

// Anything fails at any time, in any order, while pages move: what rapid finds is shrunk
// to the fewest failures that break a rule.
func TestTransfersUnderRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		var faults []fault
		for range rapid.IntRange(0, 8).Draw(t, "failures") {
			faults = append(faults, fault{
				kind:       rapid.SampledFrom(faultKinds).Draw(t, "kind"),
				controller: rapid.IntRange(0, 2).Draw(t, "controller"),
				at:         time.Duration(rapid.IntRange(3000, int(faultDuration.Milliseconds())-1000).Draw(t, "at")) * time.Millisecond,
				duration:   time.Duration(rapid.SampledFrom([]int{150, 2500, 9000, 16000}).Draw(t, "lasts")) * time.Millisecond,
			})
		}
		if problems := runFaults(seed, faults); len(problems) > 0 {
			t.Errorf("%s", strings.Join(problems, "\n"))
		}
	})
}

// What rapid has found, shrunk, once for each fault.
func TestTransferRegressions(t *testing.T) {
	for _, c := range []struct {
		found    string
		seed     uint64
		failures []fault
	}{
		{"a page without machines is moved, and deleted in the same write", 0x219, []fault{
			{kind: agentsUnreachable, controller: 0, at: 35280 * time.Millisecond, duration: 9 * time.Second}, {kind: delayedWrites, controller: 1, at: 14736 * time.Millisecond, duration: 150 * time.Millisecond}}},
	} {
		if problems := runFaults(c.seed, c.failures); len(problems) > 0 {
			t.Errorf("%s: %s", c.found, strings.Join(problems, "\n"))
		}
	}
}
