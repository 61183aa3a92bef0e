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
		lose func(w *World, m *Worker)
		also func(w *World)
	}{
		{"gone from the list", func(w *World, m *Worker) { w.Lose(m.ID) }, func(*World) {}},
		{"gone with a controller", func(w *World, m *Worker) { w.Lose(m.ID) }, func(w *World) { w.Nodes[0].Kill() }},
		{"they hang, with a controller", func(w *World, m *Worker) { m.Hang(time.Hour) }, func(w *World) { w.Nodes[0].Kill() }},
	} {
		w := NewWorld(31, 3, testFlavors[:1], testTeams())
		w.NoHire = true
		w.Config.IdleTimeoutFactor = 1000
		for _, n := range w.Nodes {
			n.Start()
		}
		for range 21 {
			w.Machine("small", "a", false, 0)
		}
		d := array("j-1", "l", "standard", 60, 1, 30)
		w.At(10*time.Second, func() { w.Submit(d) })
		w.Run(25 * time.Second)
		lost := 0
		for _, id := range sortedMachines(w) {
			if lost < 18 {
				c.lose(w, w.Workers[id])
				lost++
			}
		}
		c.also(w)
		w.Run(220 * time.Second)
		on := 0
		for _, n := range w.Nodes {
			on += w.OwnedBy(n)
		}
		if !w.Done[d.ID] || on != 3 || len(w.Rules.Broken) > 0 {
			t.Errorf("%s: done %v, %d machines on record of 3 that are left, broken %v", c.name, w.Done[d.ID], on, w.Rules.Broken)
		}
	}
}

func sortedMachines(w *World) (ids []protocol.MachineID) {
	for _, h := range w.Hosts() {
		ids = append(ids, h.ID)
	}
	return ids
}
