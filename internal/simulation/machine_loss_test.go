package simulation

import (
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// Nearly all machines of a controller are gone at once, or hang for good: it must not take
// itself for cut off for ever, and keep their tasks from all others.
func TestMostMachinesAreLost(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(w *World, m *Machine)
		also func(w *World)
	}{
		{"gone from the list", func(w *World, m *Machine) { w.TerminateMachine(m.ID) }, func(*World) {}},
		{"gone with a controller", func(w *World, m *Machine) { w.TerminateMachine(m.ID) }, func(w *World) { w.Controllers[0].Kill() }},
		{"they hang, with a controller", func(w *World, m *Machine) { m.Hang(time.Hour) }, func(w *World) { w.Controllers[0].Kill() }},
	} {
		w := NewWorld(31, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.Config.IdleTimeoutFactor = 1000
		for _, controller := range w.Controllers {
			controller.Start()
		}
		for range 21 {
			w.AddMachine("small", "a", false, 0)
		}
		job := newArray("j-1", "l", "standard", 60, 1, 30)
		w.After(10*time.Second, func() { w.Submit(job) })
		w.Advance(25 * time.Second)
		lost := 0
		for _, id := range sortedMachineIDs(w) {
			if lost < 18 {
				c.lose(w, w.Machines[id])
				lost++
			}
		}
		c.also(w)
		w.Advance(220 * time.Second)
		on := 0
		for _, controller := range w.Controllers {
			on += w.MachinesOwnedBy(controller)
		}
		if !w.FinishedJobs[job.ID] || on != 3 || len(w.Rules.Violations) > 0 {
			t.Errorf("%s: done %v, %d machines on record of 3 that are left, broken %v", c.name, w.FinishedJobs[job.ID], on, w.Rules.Violations)
		}
	}
}

func sortedMachineIDs(w *World) (ids []protocol.MachineID) {
	for _, h := range w.Instances() {
		ids = append(ids, h.ID)
	}
	return ids
}
