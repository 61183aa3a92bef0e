package cancellation

import (
	"testing"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestMustForceScaleIn checks that a machine with a task of a cancelled job is terminated after 2/5 of the
// time limit of 40 s if the machine is silent, and after 3/5 in any case, also once the agent's lease has
// expired and the task is no longer assigned.
func TestMustForceScaleIn(t *testing.T) {
	for _, test := range []struct {
		name            string
		cancellationAge time.Duration
		taskState       protocol.TaskState
		isSilent        bool
		isIsolated      bool
		want            bool
		isLost          bool // the agent's lease has expired
	}{
		{"silent at 16 s", 16 * time.Second, protocol.TaskRunning, true, false, false, false},
		{"silent after 16 s", 16*time.Second + time.Millisecond, protocol.TaskRunning, true, false, true, false},
		{"silent to an isolated controller", 20 * time.Second, protocol.TaskRunning, true, true, false, false},
		{"in contact after 16 s", 20 * time.Second, protocol.TaskRunning, false, false, false, false},
		{"in contact at 24 s", 24 * time.Second, protocol.TaskRunning, false, false, false, false},
		{"in contact after 24 s", 24*time.Second + time.Millisecond, protocol.TaskRunning, false, false, true, false},
		{"isolated controller after 24 s", 24*time.Second + time.Millisecond, protocol.TaskRunning, true, true, true, false},
		{"task exited", 30 * time.Second, protocol.TaskExited, true, false, false, false},
		{"lost, silent after 16 s", 16*time.Second + time.Millisecond, protocol.TaskRunning, true, false, true, true},
		{"lost, isolated controller at 24 s", 24 * time.Second, protocol.TaskRunning, true, true, false, true},
		{"lost, isolated controller after 24 s", 24*time.Second + time.Millisecond, protocol.TaskRunning, true, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.putJob(t, func(record *storage.JobRecord) {
				record.CancelRequested, record.CancelUpdatedAt = true, fixture.Now.Wall
			})
			entry, state := fixture.putOwnedMachine(t, test.taskState)
			if test.isLost {
				entry.Record.Assignments, entry.Record.LostJobs = nil, []protocol.JobID{testJob}
			}
			fixture.Advance(test.cancellationAge)
			if !test.isSilent {
				state.LastContactAt = fixture.Now.Monotonic
			}
			if got := fixture.canceller.MustForceScaleIn(state, &entry.Record, test.isIsolated); got != test.want {
				t.Errorf("MustForceScaleIn = %v, want %v", got, test.want)
			}
		})
	}
}
