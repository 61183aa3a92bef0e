package simulation

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
)

// Nearly all machines of a controller are gone at once, or hang for good: it must not take itself
// for partitioned for ever and keep their tasks from all others.
func TestMostMachinesAreLost(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(w *World, m *Machine)
		also func(w *World)
	}{
		{"gone from the cloud's list", terminateMachine, noFault},
		{"gone from the cloud's list, with a controller", terminateMachine, killFirstController},
		{"they hang, with a controller", hangForLong, killFirstController},
	} {
		w := NewWorld(31, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.restartWithConfig(func(config *step.Config) { config.IdleTimeoutFactor = 1000 })
		w.addSmallMachines(21, "a")
		job := newArray("j-1", "l", "standard", 60, 1, 30)
		w.After(10*time.Second, func() { w.Submit(job) })
		w.Advance(25 * time.Second)
		for _, instance := range w.Instances()[:18] {
			c.lose(w, w.Machines[instance.ID])
		}
		c.also(w)
		w.Advance(220 * time.Second)
		owned := 0
		for _, controller := range w.Controllers {
			owned += w.OwnedMachineCount(controller)
		}
		if !w.FinishedJobs[job.ID] || owned != 3 || len(w.Rules.Violations) > 0 {
			t.Errorf("%s: done %v, %d machines on record of 3 that are left, broken %v", c.name, w.FinishedJobs[job.ID], owned, w.Rules.Violations)
		}
	}
}

func terminateMachine(w *World, m *Machine) { w.TerminateMachine(m.ID) }

func hangForLong(_ *World, m *Machine) { m.Hang(time.Hour) }

func killFirstController(w *World) { w.Controllers[0].Kill() }
