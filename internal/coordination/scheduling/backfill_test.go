package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// Tasks get a backfill reservation where running ones end early enough, by their estimates, for the
// job's slack; each machine is reserved once.
func TestBackfillReservations(t *testing.T) {
	for _, test := range []struct {
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
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			job := fixture.newPendingJob(newArrayJob(4, 20), test.slack)
			job.isStarved = test.isStarved
			var candidates []*Candidate
			for _, id := range []protocol.MachineID{"m-1", "m-2"} {
				machine := newCandidate(&smallMachineType, id, false)
				machine.isUnschedulable = test.isUnschedulable
				running := allocation{job: "j-2", attempt: 1, count: 1}
				fixture.addTasks(machine, newArrayJob(4, test.estimateSeconds), running, test.runningFor)
				candidates = append(candidates, machine)
			}
			if got := fixture.backfill.reserveBackfill(job, candidates, 10); got != test.want {
				t.Errorf("%d tasks follow; wanted %d", got, test.want)
			}
			if got := fixture.backfill.reserveBackfill(job, candidates, 10); got != 0 {
				t.Errorf("%d more tasks follow on the same machines", got)
			}
		})
	}
}
