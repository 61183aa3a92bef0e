package agents

import (
	"net/http"
	"testing"
	"time"

	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A response waits while a write may soon give it something to say, not when it has something to
// say already, or nothing can come.
func TestResponseDeferred(t *testing.T) {
	const attempt = protocol.Attempt(5)
	task := protocol.Task{Job: testJob}
	running := protocol.TaskStatus{Task: task, Attempt: attempt, State: protocol.TaskRunning}
	exited := protocol.TaskStatus{Task: task, Attempt: attempt, State: protocol.TaskExited, Reason: protocol.ReasonDone}
	notice := 60.0

	for _, test := range []struct {
		name       string
		isAssigned bool // the task is, on record
		tasks      []protocol.TaskStatus
		change     func(*fixture, *storage.Machine, *MachineState, *protocol.Heartbeat)
		after      time.Duration
		want       bool
	}{
		{"idle", false, nil, nil, 0, true},
		{"idle for long", false, nil, nil, 2600 * time.Millisecond, false},
		{"idle, about to be preempted", false, nil,
			func(_ *fixture, _ *storage.Machine, _ *MachineState, heartbeat *protocol.Heartbeat) {
				heartbeat.PreemptionNoticeSeconds = &notice
			}, 0, false},
		{"idle, drained", false, nil,
			func(_ *fixture, entry *storage.Machine, _ *MachineState, _ *protocol.Heartbeat) {
				entry.Record.Cordoned = true
			}, 0, false},
		{"a task is to be started", true, nil, nil, 0, false},
		{"a task runs", true, []protocol.TaskStatus{running}, nil, 0, false},
		{"the end of a task is to be recorded", true, []protocol.TaskStatus{exited}, nil, 0, true},
		{"the end of a task is not recorded in time", true,
			[]protocol.TaskStatus{exited}, nil, 800 * time.Millisecond, false},
		{"a task that is not assigned is to be forgotten", false, []protocol.TaskStatus{exited}, nil, 0, false},
		{"a new agent epoch is to be recorded", true, nil,
			func(_ *fixture, _ *storage.Machine, _ *MachineState, heartbeat *protocol.Heartbeat) {
				heartbeat.AgentEpoch++
			}, 0, true},
		{"the agent lacks the token", false, nil,
			func(_ *fixture, _ *storage.Machine, _ *MachineState, heartbeat *protocol.Heartbeat) {
				heartbeat.FencingToken--
			}, 0, false},
		{"the replica may lack what the earlier owner wrote", true, nil,
			func(f *fixture, _ *storage.Machine, state *MachineState, _ *protocol.Heartbeat) {
				state.ownershipRevision = f.Replica.Revision + 1
			}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.putJob(t, `{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2, TokenCounter: 1}
			if test.isAssigned {
				record.Assign(task, attempt)
			}
			entry, state := f.addOwnedMachine(t, record)
			f.Replica.Revision = max(f.Replica.Revision, state.ownershipRevision)
			heartbeat := steptest.NewHeartbeat(entry, 1, test.tasks...)
			if test.change != nil {
				test.change(f, entry, state, heartbeat)
			}
			f.receive(heartbeat)
			if test.after > 0 {
				if steptest.ReplyStatus(f.Effects) != 0 {
					t.Fatal("answered at once")
				}
				f.advance(test.after)
				f.tick()
			}
			if got := state.isDeferred(); got != test.want || (steptest.ReplyStatus(f.Effects) == 0) != test.want {
				t.Errorf("deferred %v, reply %d", got, steptest.ReplyStatus(f.Effects))
			}
		})
	}
}

// A controller that takes over a shard answers no heartbeat before its replica has that write: it
// may lack a cancellation request that the previous owner knew.
func TestNoResponseBeforeReplicaCatchesUp(t *testing.T) {
	f := newFixture(t)
	// The machine's shard is newer than the replica: an own write that was applied.
	entry, state := f.addOwnedMachine(t, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2})
	if f.Replica.Revision = 0; state.ownershipRevision == 0 {
		t.Fatal("the ownership has no revision")
	}
	f.receive(steptest.NewHeartbeat(entry, 1))
	if status := steptest.ReplyStatus(f.Effects); status != 0 {
		t.Errorf("answered %d before the replica has caught up", status)
	}
	f.advance(ownershipCatchUpTimeout + 100*time.Millisecond)
	f.tick()
	if status := steptest.ReplyStatus(f.Effects); status != http.StatusMisdirectedRequest {
		t.Errorf("answered %d at last, the agent should look for another controller", status)
	}
	f.receive(steptest.NewHeartbeat(entry, 2))
	f.Replica.Revision = 9
	f.advance(2600 * time.Millisecond)
	f.tick()
	if status := steptest.ReplyStatus(f.Effects); status != http.StatusOK {
		t.Errorf("answered %d with a replica that has caught up", status)
	}
}
