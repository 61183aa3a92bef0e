package simulation

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tillerarch/internal/coordination/step"
)

// TestMain lets the property tests of this package draw the same cases on every run, so that CI
// has one verdict; -rapid.seed and -rapid.checks ask for others and for more.
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

// faultKind is what fails. Its value is a label in rapid's output.
type faultKind string

const (
	crash             faultKind = "crash"
	pause             faultKind = "pause"
	storeUnreachable  faultKind = "store unreachable"
	agentsUnreachable faultKind = "agents unreachable"
	peersUnreachable  faultKind = "peers unreachable"
	storeOutage       faultKind = "store outage"
	lostWriteReplies  faultKind = "lost write replies"
	delayedWrites     faultKind = "delayed writes"
)

var faultKinds = []faultKind{
	crash, pause, storeUnreachable, agentsUnreachable, peersUnreachable, storeOutage, lostWriteReplies, delayedWrites,
}

// fault is something that fails for a while, at one controller if its kind concerns one.
type fault struct {
	kind         faultKind
	controller   int
	at, duration time.Duration
}

// faultDuration is how long shards are transferred and faults happen; then all faults end.
const faultDuration = 45 * time.Second

// schedule plans the fault.
func (f fault) schedule(w *World) {
	controller := w.Controllers[f.controller]
	setDuring := func(flag *bool) { w.setFlagsBetween(f.at, f.at+f.duration, flag) }
	setRateDuring := func(rate *float64, value float64) {
		w.After(f.at, func() { *rate = value })
		w.After(f.at+f.duration, func() { *rate = 0 })
	}
	switch f.kind {
	case crash:
		w.After(f.at, func() { controller.restartIfAlive(f.duration) })
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

// runFaults transfers shards while faults happen, and lists what is wrong in the end.
func runFaults(seed uint64, faults []fault) (problems []string) {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.restartWithConfig(func(config *step.Config) {
		config.RecordTransfers = true
		config.ValueBytes = 2500
		config.MinRebalanceInterval = time.Second
	})
	w.addSmallMachines(12, "a")
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
		problems = append(problems, "transfer does not end: "+name)
	}
	for _, id := range ids {
		if w.Jobs[id] != nil && !w.FinishedJobs[id] {
			problems = append(problems, string(id)+" has not ended")
		}
	}
	return problems
}

// Anything fails at any time, in any order, while shards are transferred: what rapid finds is
// shrunk to the fewest faults that break a rule.
func TestTransfersUnderRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		var faults []fault
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			faults = append(faults, fault{
				kind:       rapid.SampledFrom(faultKinds).Draw(t, "kind"),
				controller: rapid.IntRange(0, 2).Draw(t, "controller"),
				at:         time.Duration(rapid.IntRange(3000, int(faultDuration.Milliseconds())-1000).Draw(t, "at")) * time.Millisecond,
				duration:   time.Duration(rapid.SampledFrom([]int{150, 2500, 9000, 16000}).Draw(t, "duration")) * time.Millisecond,
			})
		}
		if problems := runFaults(seed, faults); len(problems) > 0 {
			t.Errorf("%s", strings.Join(problems, "\n"))
		}
	})
}

// What rapid has found, shrunk.
func TestTransferRegressions(t *testing.T) {
	for _, c := range []struct {
		name   string
		seed   uint64
		faults []fault
	}{
		{"a shard without machines is transferred, and deleted in the same write", 0x219, []fault{
			{kind: agentsUnreachable, controller: 0, at: 35280 * time.Millisecond, duration: 9 * time.Second},
			{kind: delayedWrites, controller: 1, at: 14736 * time.Millisecond, duration: 150 * time.Millisecond},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if problems := runFaults(c.seed, c.faults); len(problems) > 0 {
				t.Errorf("%s", strings.Join(problems, "\n"))
			}
		})
	}
}
