package simulation

import (
	"testing"
	"time"
)

// TestLargeFleetHandOff makes the agents unreachable from one of three controllers of 4,000 machines.
// The other controllers learn of each machine, and all machines are handed off before a lease
// expires: no bound on the messages between controllers or on the probes of agents prevents that.
func TestLargeFleetHandOff(t *testing.T) {
	t.Parallel()
	const machineCount = 4000
	w := newLargeWorld(machineCount)
	w.Advance(20 * time.Second)
	isolated := w.Controllers[0]
	initiallyOwned := w.OwnedMachineCount(isolated)
	isolated.AgentsUnreachable = true
	isolatedAt := w.Now
	for w.OwnedMachineCount(isolated) > 0 && w.Now < isolatedAt+w.AgentLeaseTTL {
		w.Advance(time.Second)
	}
	expiredLeaseCount := 0
	for _, machine := range w.Machines {
		if machine.epoch > 1 {
			expiredLeaseCount++
		}
	}
	t.Logf("%d machines handed off in %v", initiallyOwned-w.OwnedMachineCount(isolated), w.Now-isolatedAt)
	if initiallyOwned < machineCount/5 || w.OwnedMachineCount(isolated) > 0 || expiredLeaseCount > 0 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d of %d machines are still with a controller that lost its agents %v ago, want none; %d leases expired, want none; violations %v, want none",
			w.OwnedMachineCount(isolated), initiallyOwned, w.Now-isolatedAt, expiredLeaseCount, w.Rules.Violations)
	}
}
