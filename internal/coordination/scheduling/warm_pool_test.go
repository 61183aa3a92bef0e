package scheduling

import (
	"slices"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// Idle machines are kept for work that cannot wait for a boot, the cheapest first, as many as it
// had at its peak; the others are scaled in early. Where urgent work is most of all, as at
// deployments with few machines, none is.
func TestWarmPool(t *testing.T) {
	for _, test := range []struct {
		name         string
		peakTasks    int // urgent tasks at the peak
		currentTasks int // and later
		slackSeconds int // how long they may wait
		otherTasks   int // tasks that can wait
		want         []protocol.MachineID
	}{
		{"as many as at the peak", 2, 0, 8, 100, []protocol.MachineID{"m-3", "m-4"}},
		{"less what is there now", 2, 1, 8, 100, []protocol.MachineID{"m-3"}},
		{"none for work that can wait", 2, 0, 600, 100, nil},
		{"all where most is urgent", 2, 0, 8, 1, []protocol.MachineID{"m-1", "m-2", "m-3", "m-4"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			newJob := func(tasks int, class string, slack time.Duration) *PendingJob {
				spec := newArrayJob(4, 20)
				spec.TaskCount, spec.Class = tasks, class
				return fixture.newPendingJob(spec, slack)
			}
			candidates := []*Candidate{
				newCandidate(&smallMachineType, "m-1", false),
				newCandidate(&smallMachineType, "m-2", false),
				newCandidate(&smallMachineType, "m-3", true),
				newCandidate(&smallMachineType, "m-4", true),
			}
			slack := time.Duration(test.slackSeconds) * time.Second
			other := newJob(test.otherTasks, "other", 10*time.Minute)
			pool := &fixture.Scheduler.warmPool
			pool.updatePeaks(fixture.Now.Monotonic, []*PendingJob{newJob(test.peakTasks, "urgent", slack), other})
			pool.updatePeaks(fixture.Now.Monotonic, []*PendingJob{newJob(test.currentTasks, "urgent", slack), other})
			pool.selectRetainedMachines(candidates, fixture.lister.isMachineAllowed)
			var got []protocol.MachineID
			for _, machine := range candidates {
				if fixture.Scheduler.RetainsIdleMachine(machine.id) {
					got = append(got, machine.id)
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("%v are kept; wanted %v", got, test.want)
			}
		})
	}
}
