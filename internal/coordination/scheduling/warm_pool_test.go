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
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			f := newCoreWithTwoMachineTypes(t)
			newJob := func(tasks int, class string, slack time.Duration) *PendingJob {
				spec := newArrayJob(4, 20)
				spec.TaskCount, spec.Class = tasks, class
				return f.newPendingJob(spec, slack)
			}
			candidates := []*Candidate{
				newCandidate(&smallMachineType, "m-1", false),
				newCandidate(&smallMachineType, "m-2", false),
				newCandidate(&smallMachineType, "m-3", true),
				newCandidate(&smallMachineType, "m-4", true),
			}
			slack := time.Duration(c.slackSeconds) * time.Second
			other := newJob(c.otherTasks, "other", 10*time.Minute)
			pool := &f.Scheduler.warmPool
			pool.observe(f.Now.Monotonic, []*PendingJob{newJob(c.peakTasks, "urgent", slack), other})
			pool.observe(f.Now.Monotonic, []*PendingJob{newJob(c.currentTasks, "urgent", slack), other})
			pool.selectRetained(candidates, f.lister.isMachineAllowed)
			var got []protocol.MachineID
			for _, machine := range candidates {
				if f.Scheduler.RetainsIdleMachine(machine.id) {
					got = append(got, machine.id)
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("%v are kept; wanted %v", got, c.want)
			}
		})
	}
}
