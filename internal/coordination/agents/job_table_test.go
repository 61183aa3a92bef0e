package agents

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestSlowMachine checks that a machine counts as slow if its tasks run longer than other tasks of the
// same jobs.
func TestSlowMachine(t *testing.T) {
	for _, test := range []struct {
		name          string
		seconds       []int // run times of the machine's tasks; the mean of the job is 10
		startedBefore bool  // the machine's tasks started before this ownership
		want          bool
	}{
		{"as fast as other machines", []int{10, 11, 9, 10, 11, 10}, false, false},
		{"one long task", []int{10, 40, 10, 10, 10, 10}, false, false},
		{"all tasks slow", []int{25, 24, 26, 25, 25, 26}, false, true},
		{"all tasks slow, starts not observed", []int{25, 24, 26, 25, 25, 26}, true, false},
		{"recovered after slow tasks", []int{25, 25, 25, 25, 10, 10, 10, 10, 10, 10}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			entry, state := fixture.addOwnedMachine(t, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1})
			jobState := fixture.Jobs.JobState(testJob)
			jobState.measuredTasks, jobState.measuredRuntime = 100, 1000*time.Second
			sequence := protocol.Sequence(0)
			receive := func(afterSeconds int, tasks ...protocol.TaskStatus) {
				t.Helper()
				sequence++
				fixture.advance(time.Duration(afterSeconds) * time.Second)
				fixture.receive(steptest.NewHeartbeat(entry, sequence, tasks...))
			}
			receive(0)
			for i, seconds := range test.seconds {
				if test.startedBefore {
					state.reset()
				}
				task := protocol.Task{Job: testJob, Index: i}
				receive(1, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
				receive(seconds, protocol.TaskStatus{
					Task:    task,
					Attempt: 1,
					State:   protocol.TaskExited,
					Reason:  protocol.ReasonDone,
				})
				fixture.Jobs.recordTaskRuntime(state, task)
			}
			if got := state.Slowdown.IsSlow(); got != test.want {
				t.Errorf("IsSlow() = %v with a run time ratio of %.2f, want the opposite", got, state.Slowdown.ratio)
			}
		})
	}
}
