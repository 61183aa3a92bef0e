package simulation

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
)

// TestMostMachinesAreLost terminates nearly all machines of a deployment at once, or lets them hang
// for an hour. A controller must not conclude permanently that its own network is partitioned,
// because it would then keep the tasks of the lost machines from being placed on other machines.
func TestMostMachinesAreLost(t *testing.T) {
	for _, test := range []struct {
		name             string
		loseMachine      func(w *World, m *Machine)
		injectOtherFault func(w *World)
	}{
		{"gone from the cloud's list", terminateMachine, noFault},
		{"gone from the cloud's list, and a controller fails", terminateMachine, killFirstController},
		{"machines hang, and a controller fails", hangForOneHour, killFirstController},
	} {
		w := NewWorld(31, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.restartWithConfig(func(config *step.Config) { config.IdleTimeoutFactor = 1000 })
		w.addSmallMachines(21, "a")
		job := newArray("j-1", "l", "standard", 60, 1, 30)
		w.After(10*time.Second, func() { w.Submit(job) })
		w.Advance(25 * time.Second)
		for _, instance := range w.Instances()[:18] {
			test.loseMachine(w, w.Machines[instance.ID])
		}
		test.injectOtherFault(w)
		w.Advance(220 * time.Second)
		ownedMachines := 0
		for _, controller := range w.Controllers {
			ownedMachines += w.OwnedMachineCount(controller)
		}
		if !w.FinishedJobs[job.ID] || ownedMachines != 3 || len(w.Rules.Violations) > 0 {
			t.Errorf("%s: job finished %v, want true; %d machines are recorded in the store, want the 3 that are left; rule violations %v",
				test.name, w.FinishedJobs[job.ID], ownedMachines, w.Rules.Violations)
		}
	}
}

func terminateMachine(w *World, m *Machine) { w.TerminateMachine(m.ID) }

func hangForOneHour(_ *World, m *Machine) { m.Hang(time.Hour) }

func killFirstController(w *World) { w.Controllers[0].Kill() }
