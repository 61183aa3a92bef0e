package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// TestBackfillReservations checks that tasks get a backfill reservation on machines whose running tasks are
// estimated to end early enough for the job's slack, and that no machine is reserved twice.
func TestBackfillReservations(t *testing.T) {
	for _, test := range []struct {
		name            string
		estimateSeconds float64 // of the tasks that run on the machines
		runningFor      time.Duration
		slack           time.Duration
		isStarved       bool
		isUnschedulable bool
		want            int
	}{
		{"running tasks end in time", 20, 15 * time.Second, 60 * time.Second, false, false, 2},
		{"running tasks end when the slack is used up", 60, 0, 60 * time.Second, false, false, 0},
		{"half of the slack is kept in reserve", 40, 0, 60 * time.Second, false, false, 0},
		{"a starved job waits for part of a boot time at most", 20, 5 * time.Second, 60 * time.Second, true, false, 0},
		{"a task past its estimate is expected to need more time", 200, 300 * time.Second, 60 * time.Second, false, false, 0},
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
				t.Errorf("reserved for %d tasks, want %d", got, test.want)
			}
			if got := fixture.backfill.reserveBackfill(job, candidates, 10); got != 0 {
				t.Errorf("second call reserved for %d more tasks on the same machines, want 0", got)
			}
		})
	}
}
