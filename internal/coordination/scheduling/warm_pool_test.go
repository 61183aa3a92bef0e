package scheduling

import (
	"slices"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// TestWarmPool checks that idle machines are retained for work that cannot wait for a boot, cheapest first, as
// many as that work used at its peak, and that the others can be scaled in early. Where urgent work is at least
// half of all work, as in deployments with few machines, all machines are retained.
func TestWarmPool(t *testing.T) {
	for _, test := range []struct {
		name         string
		peakTasks    int // urgent tasks at the peak
		currentTasks int // urgent tasks after the peak
		slackSeconds int // how long the urgent tasks can wait
		otherTasks   int // tasks that can wait for a boot
		want         []protocol.MachineID
	}{
		{"as many as at the peak", 2, 0, 8, 100, []protocol.MachineID{"m-3", "m-4"}},
		{"as many as at the peak less the current tasks", 2, 1, 8, 100, []protocol.MachineID{"m-3"}},
		{"none for work that can wait", 2, 0, 600, 100, nil},
		{"all where most work is urgent", 2, 0, 8, 1, []protocol.MachineID{"m-1", "m-2", "m-3", "m-4"}},
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
				t.Errorf("retained machines %v, want %v", got, test.want)
			}
		})
	}
}
