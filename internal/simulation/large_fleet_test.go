package simulation

import (
	"testing"
	"time"
)

// One of three controllers of 4,000 machines loses its workers. The others are told of each
// machine, and all are handed over before a lease has run out: no bound of what controllers
// tell each other, or ask workers, stands in the way.
func TestLargeFleetIsHandedOver(t *testing.T) {
	t.Parallel()
	const machines = 4000
	w := largeWorld(machines)
	w.Run(20 * time.Second)
	lost := w.Nodes[0]
	owned := w.OwnedBy(lost)
	lost.NoWorker = true
	cut := w.Now
	for w.OwnedBy(lost) > 0 && w.Now < cut+w.Lease {
		w.Run(time.Second)
	}
	sessions := 0
	for _, m := range w.Workers {
		if m.shift > 1 {
			sessions++
		}
	}
	t.Logf("%d machines handed over in %v", owned-w.OwnedBy(lost), w.Now-cut)
	if owned < machines/5 || w.OwnedBy(lost) > 0 || sessions > 0 || len(w.Rules.Broken) > 0 {
		t.Errorf("%d of %d machines are still with a controller that lost its workers %v ago; %d leases ran out; broken %v",
			w.OwnedBy(lost), owned, w.Now-cut, sessions, w.Rules.Broken)
	}
}
