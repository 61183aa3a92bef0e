package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// Tasks get a backfill reservation where running ones end early enough, by their estimates, for the
// job's slack; each machine is reserved once.
func TestBackfillReservations(t *testing.T) {
	for _, c := range []struct {
		name            string
		estimateSeconds float64 // of the tasks that run there
		runningFor      time.Duration
		slack           time.Duration
		isStarved       bool
		isUnschedulable bool
		want            int
	}{
		{"it ends in time", 20, 15 * time.Second, 60 * time.Second, false, false, 2},
		{"it ends when the slack is used up", 60, 0, 60 * time.Second, false, false, 0},
		{"half of the slack is kept in reserve", 40, 0, 60 * time.Second, false, false, 0},
		{"a starved job waits for a boot's time at most", 20, 5 * time.Second, 60 * time.Second, true, false, 0},
		{"a task past its estimate is given more time", 200, 300 * time.Second, 60 * time.Second, false, false, 0},
		{"an unschedulable machine does not count", 20, 15 * time.Second, 60 * time.Second, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCoreWithTwoMachineTypes(t)
			job := f.newPendingJob(newArrayJob(4, 20), c.slack)
			job.isStarved = c.isStarved
			var candidates []*Candidate
			for _, id := range []protocol.MachineID{"m-1", "m-2"} {
				machine := newCandidate(&smallMachineType, id, false)
				machine.isUnschedulable = c.isUnschedulable
				running := allocation{job: "j-2", attempt: 1, count: 1}
				f.addTasks(machine, newArrayJob(4, c.estimateSeconds), running, c.runningFor)
				candidates = append(candidates, machine)
			}
			if got := f.backfill.reserveBackfill(job, candidates, 10); got != c.want {
				t.Errorf("%d tasks follow; wanted %d", got, c.want)
			}
			if got := f.backfill.reserveBackfill(job, candidates, 10); got != 0 {
				t.Errorf("%d more tasks follow on the same machines", got)
			}
		})
	}
}
