package standin

import (
	"fmt"
	"strings"
	"time"

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
)

// Freeze lets the controller stand still for a while: what comes in waits, and is
// read in one go when it goes on.
func (n *Node) Freeze(d time.Duration) {
	n.frozen = true
	life := n.life
	n.w.At(d, func() {
		if n.life != life || !n.Alive {
			return
		}
		n.frozen = false
		in := n.stuck
		n.stuck = nil
		for _, i := range in {
			n.step(i)
		}
	})
}

// Cost is what the steps of one kind of input took.
type Cost struct {
	Count int
	Time  time.Duration
}

// Costs are kept by the kind of input.
type Costs map[string]*Cost

func (c Costs) add(in coordination.Input, d time.Duration) {
	kind := strings.TrimPrefix(fmt.Sprintf("%T", in), "coordination.")
	if c[kind] == nil {
		c[kind] = &Cost{}
	}
	c[kind].Count++
	c[kind].Time += d
}

// apart tells whether a cut zone lies between a controller and a machine.
func (w *World) apart(n *Node, m *Worker) bool {
	for z, in := range w.Zone {
		if (m.Zone == z) != (n == in) {
			return true
		}
	}
	return false
}

// Lose takes a machine away with all that is on it.
func (w *World) Lose(id protocol.MachineID) {
	if m := w.Workers[id]; m != nil && !m.Gone {
		m.kill()
		m.Gone = true
	}
}

// Recall takes a machine away after a notice.
func (w *World) Recall(id protocol.MachineID, notice time.Duration) {
	if m := w.Workers[id]; m != nil && !m.Gone {
		m.recall = w.Now + notice
		m.changed = true
		w.At(notice, func() { w.Lose(id) })
	}
}
