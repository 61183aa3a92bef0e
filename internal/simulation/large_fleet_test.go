package simulation

import (
	"testing"
	"time"
)

// One of three controllers of 4,000 machines loses its agents. The others learn of each machine,
// and all are handed off before a lease expires: no bound of what controllers tell each other or
// ask agents stands in the way.
func TestLargeFleetHandOff(t *testing.T) {
	t.Parallel()
	const machines = 4000
	w := newLargeWorld(machines)
	w.Advance(20 * time.Second)
	isolated := w.Controllers[0]
	owned := w.OwnedMachineCount(isolated)
	isolated.AgentsUnreachable = true
	isolatedAt := w.Now
	for w.OwnedMachineCount(isolated) > 0 && w.Now < isolatedAt+w.AgentLeaseTTL {
		w.Advance(time.Second)
	}
	expiredLeases := 0
	for _, m := range w.Machines {
		if m.epoch > 1 {
			expiredLeases++
		}
	}
	t.Logf("%d machines handed off in %v", owned-w.OwnedMachineCount(isolated), w.Now-isolatedAt)
	if owned < machines/5 || w.OwnedMachineCount(isolated) > 0 || expiredLeases > 0 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d of %d machines are still with a controller that lost its agents %v ago; %d leases expired; broken %v",
			w.OwnedMachineCount(isolated), owned, w.Now-isolatedAt, expiredLeases, w.Rules.Violations)
	}
}
