package agents

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestImagePullOfIncompleteGang checks when a task of a gang whose attempt has lost a task is stopped. A pull that
// takes longer than the other tasks wait goes on, so that the next attempt finds the image. Before the fix it was
// given up in every attempt.
func TestImagePullOfIncompleteGang(t *testing.T) {
	const imageSeconds, gangWait = 30, 35 * time.Second
	for _, test := range []struct {
		name      string
		state     protocol.TaskState
		age       time.Duration // since the assignment of the task
		wantStop  bool
		wantStuck bool
	}{
		{"pull, the attempt is younger than the other tasks wait", protocol.TaskPullingImage, 34 * time.Second, true, false},
		{"pull, the other tasks have waited", protocol.TaskPullingImage, 40 * time.Second, false, false},
		{"pull on a slow machine with several images", protocol.TaskPullingImage, 150 * time.Second, false, false},
		{"pull that is stuck", protocol.TaskPullingImage, 160 * time.Second, true, true},
		{"image pulled", protocol.TaskAwaitingGang, 40 * time.Second, true, false},
		{"running", protocol.TaskRunning, 40 * time.Second, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.Config.GangWaitTimeout = gangWait
			fixture.Table.catalog.OnListMachineTypesResult(step.ListMachineTypesResult{MachineTypes: []protocol.MachineType{
				{Name: "s", Cores: 4, MemoryGB: 8, ImagePullGBPerSecond: 1, Zones: []protocol.Zone{"a"}},
			}})
			spec := &protocol.Job{ID: testJob, Kind: protocol.KindGang, TaskCount: 2, Cores: 1, Image: "b", ImageGB: imageSeconds}
			fixture.Put(t, storage.JobKey(testJob), storage.MustMarshal(storage.JobRecord{Spec: spec}), 2)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			task := protocol.Task{Job: testJob}
			record.Assign(task, 5) // the other task of the attempt is gone
			entry, state := fixture.addOwnedMachine(t, record)
			fixture.Table.RecordAssignments(testMachine, nil, &entry.Record)
			fixture.tick()
			fixture.advance(test.age)
			fixture.receive(steptest.NewHeartbeat(entry, 1, protocol.TaskStatus{Task: task, Attempt: 5, State: test.state}))
			fixture.tick()
			if got := state.HasStopRequest(task, 5); got != test.wantStop {
				t.Errorf("task stopped: %v, want the opposite", got)
			}
			if isQuarantined := state.quarantinedUntil > fixture.Now.Monotonic; isQuarantined != test.wantStuck {
				t.Errorf("machine quarantined: %v, want the opposite", isQuarantined)
			}
		})
	}
}
