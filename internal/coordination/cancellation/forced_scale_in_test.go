package cancellation

import (
	"testing"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestMustForceScaleIn checks that a machine with a task of a cancelled job is terminated after 2/5 of the
// time limit of 40 s if the machine is silent, and after 3/5 in any case.
func TestMustForceScaleIn(t *testing.T) {
	for _, test := range []struct {
		name            string
		cancellationAge time.Duration
		taskState       protocol.TaskState
		isSilent        bool
		isIsolated      bool
		want            bool
	}{
		{"silent at 16 s", 16 * time.Second, protocol.TaskRunning, true, false, false},
		{"silent after 16 s", 16*time.Second + time.Millisecond, protocol.TaskRunning, true, false, true},
		{"silent to an isolated controller", 20 * time.Second, protocol.TaskRunning, true, true, false},
		{"in contact after 16 s", 20 * time.Second, protocol.TaskRunning, false, false, false},
		{"in contact at 24 s", 24 * time.Second, protocol.TaskRunning, false, false, false},
		{"in contact after 24 s", 24*time.Second + time.Millisecond, protocol.TaskRunning, false, false, true},
		{"isolated controller after 24 s", 24*time.Second + time.Millisecond, protocol.TaskRunning, true, true, true},
		{"task exited", 30 * time.Second, protocol.TaskExited, true, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.putJob(t, func(record *storage.JobRecord) {
				record.CancelRequested, record.CancelUpdatedAt = true, fixture.Now.Wall
			})
			entry, state := fixture.putOwnedMachine(t, test.taskState)
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
