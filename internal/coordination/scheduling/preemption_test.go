package scheduling

import (
	"slices"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// TestVictims checks that only tasks of lower priority are victims, ordered by the work per core that is lost if
// they are stopped: the time to save a checkpoint for tasks that save one, or else their whole run time so far.
func TestVictims(t *testing.T) {
	fixture := newFixtureWithTwoMachineTypes(t)
	fixture.Now.Monotonic = fixture.Now.Monotonic.Add(time.Hour)
	job := fixture.newPendingJob(newArrayJob(1, 20), time.Minute)
	job.precedence = 1
	machine := newCandidate(&largeMachineType, "m-1", false)
	for _, running := range []struct {
		job         protocol.JobID
		precedence  int
		runningFor  time.Duration
		saveSeconds float64 // time to save a checkpoint, or 0 if the task saves none
	}{
		{"j-higher", 0, time.Second, 0},
		{"j-equal", 1, time.Second, 0},
		{"j-long", 2, time.Minute, 0},
		{"j-short", 2, 5 * time.Second, 0},
		{"j-checkpoint", 3, time.Hour / 2, 10},
	} {
		spec := newArrayJob(1, 20)
		spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = running.saveSeconds, running.saveSeconds
		alloc := allocation{job: running.job, attempt: 1, count: 1, precedence: running.precedence}
		fixture.addTasks(machine, spec, alloc, running.runningFor)
	}
	var got []protocol.JobID
	for _, victim := range fixture.preemptor.victims(machine, job) {
		got = append(got, victim.job)
	}
	if want := []protocol.JobID{"j-short", "j-checkpoint", "j-long"}; !slices.Equal(got, want) {
		t.Errorf("got victims %v, want %v", got, want)
	}
	if got := fixture.preemptor.capacityAfterPreemption(machine, job); got != 14 {
		t.Errorf("%d tasks fit after the preemption, want 14", got)
	}
	if machine.free.Cores != 11 {
		t.Errorf("the machine has %v free cores after the computation, want 11 as before", machine.free.Cores)
	}
}
