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

// TestMain sets a fixed seed and number of checks for the property tests of this package. These tests
// then draw the same cases on every run, and CI gets the same result for the same code. The flags
// -rapid.seed and -rapid.checks select other cases and more cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "16"} {
		if rapidFlag := flag.Lookup(name); rapidFlag.Value.String() == rapidFlag.DefValue {
			if err := rapidFlag.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// faultKind is the kind of a fault. Its value is a label in the output of rapid.
type faultKind string

const (
	controllerCrash   faultKind = "crash"
	controllerPause   faultKind = "pause"
	storeUnreachable  faultKind = "store unreachable"
	agentsUnreachable faultKind = "agents unreachable"
	peersUnreachable  faultKind = "peers unreachable"
	storeOutage       faultKind = "store outage"
	lostWriteReplies  faultKind = "lost write replies"
	delayedWrites     faultKind = "delayed writes"
)

var faultKinds = []faultKind{
	controllerCrash, controllerPause, storeUnreachable, agentsUnreachable,
	peersUnreachable, storeOutage, lostWriteReplies, delayedWrites,
}

// fault describes one temporary fault. controllerIndex is the index of the affected controller if the
// kind concerns a single controller.
type fault struct {
	kind              faultKind
	controllerIndex   int
	startAt, duration time.Duration
}

// randomFaultPeriod is the time during which shards are transferred and faults happen. The
// remaining faults are ended after it.
const randomFaultPeriod = 45 * time.Second

// schedule schedules the beginning and the end of the fault.
func (f fault) schedule(w *World) {
	controller := w.Controllers[f.controllerIndex]
	setFlagDuring := func(flag *bool) { w.setFlagsBetween(f.startAt, f.startAt+f.duration, flag) }
	setRateDuring := func(rate *float64, value float64) {
		w.After(f.startAt, func() { *rate = value })
		w.After(f.startAt+f.duration, func() { *rate = 0 })
	}
	switch f.kind {
	case controllerCrash:
		w.After(f.startAt, func() { controller.restartIfAlive(f.duration) })
	case controllerPause:
		w.After(f.startAt, func() {
			if controller.Alive && !controller.paused {
				controller.Pause(f.duration)
			}
		})
	case storeUnreachable:
		setFlagDuring(&controller.StoreUnreachable)
	case agentsUnreachable:
		setFlagDuring(&controller.AgentsUnreachable)
	case peersUnreachable:
		setFlagDuring(&controller.PeersUnreachable)
	case storeOutage:
		setFlagDuring(&w.Store.Unavailable)
	case lostWriteReplies:
		setRateDuring(&w.LostWriteReplyRate, 0.3)
	case delayedWrites:
		setRateDuring(&w.DelayedWriteRate, 0.1)
	}
}

// runTransfersUnderFaults runs a deployment in which shards are transferred while faults happen. It
// returns the rule violations and the jobs and transfers that have not ended some time after the faults.
func runTransfersUnderFaults(seed uint64, faults []fault) (problems []string) {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.restartWithConfig(func(config *step.Config) {
		config.RecordTransfers = true
		config.ValueBytes = 2500
		config.MinRebalanceInterval = time.Second
	})
	w.addSmallMachines(12, "a")
	jobIDs := submitMixedJobs(w, 10)
	w.requestRandomTransfers(900*time.Millisecond, randomFaultPeriod)
	for _, plannedFault := range faults {
		plannedFault.schedule(w)
	}
	w.Advance(randomFaultPeriod)
	w.endFaults()
	w.Advance(150 * time.Second)
	w.Rules.CheckFinal(w.Now)
	problems = append(problems, w.Rules.Violations...)
	for _, name := range w.History.OpenTransfers() {
		problems = append(problems, "transfer has not ended: "+name)
	}
	for _, id := range jobIDs {
		if w.Jobs[id] != nil && !w.FinishedJobs[id] {
			problems = append(problems, string(id)+" has not ended")
		}
	}
	return problems
}

// TestTransfersUnderRandomFaults lets faults of all kinds happen at random times and in any order
// while shards are transferred. Rapid shrinks a failing case to the fewest faults that violate a
// rule.
func TestTransfersUnderRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		var faults []fault
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			faults = append(faults, fault{
				kind:            rapid.SampledFrom(faultKinds).Draw(t, "kind"),
				controllerIndex: rapid.IntRange(0, 2).Draw(t, "controller"),
				startAt:         time.Duration(rapid.IntRange(3000, int(randomFaultPeriod.Milliseconds())-1000).Draw(t, "at")) * time.Millisecond,
				duration:        time.Duration(rapid.SampledFrom([]int{150, 2500, 9000, 16000}).Draw(t, "duration")) * time.Millisecond,
			})
		}
		if problems := runTransfersUnderFaults(seed, faults); len(problems) > 0 {
			t.Errorf("%s", strings.Join(problems, "\n"))
		}
	})
}

// TestTransferRegressions repeats the failures that rapid found in TestTransfersUnderRandomFaults,
// shrunk to the fewest faults.
func TestTransferRegressions(t *testing.T) {
	for _, test := range []struct {
		name   string
		seed   uint64
		faults []fault
	}{
		{"a shard without machines is transferred and deleted in the same write", 0x219, []fault{
			{kind: agentsUnreachable, controllerIndex: 0, startAt: 35280 * time.Millisecond, duration: 9 * time.Second},
			{kind: delayedWrites, controllerIndex: 1, startAt: 14736 * time.Millisecond, duration: 150 * time.Millisecond},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if problems := runTransfersUnderFaults(test.seed, test.faults); len(problems) > 0 {
				t.Errorf("%s", strings.Join(problems, "\n"))
			}
		})
	}
}
