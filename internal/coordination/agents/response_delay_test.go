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

	for _, c := range []struct {
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
			func(_ *fixture, _ *storage.Machine, _ *MachineState, h *protocol.Heartbeat) {
				h.PreemptionNoticeSeconds = &notice
			}, 0, false},
		{"idle, drained", false, nil,
			func(_ *fixture, e *storage.Machine, _ *MachineState, _ *protocol.Heartbeat) { e.Record.Cordoned = true }, 0, false},
		{"a task is to be started", true, nil, nil, 0, false},
		{"a task runs", true, []protocol.TaskStatus{running}, nil, 0, false},
		{"the end of a task is to be recorded", true, []protocol.TaskStatus{exited}, nil, 0, true},
		{"the end of a task is not recorded in time", true,
			[]protocol.TaskStatus{exited}, nil, 800 * time.Millisecond, false},
		{"a task that is not assigned is to be forgotten", false, []protocol.TaskStatus{exited}, nil, 0, false},
		{"a new agent epoch is to be recorded", true, nil,
			func(_ *fixture, _ *storage.Machine, _ *MachineState, h *protocol.Heartbeat) { h.AgentEpoch++ }, 0, true},
		{"the agent lacks the token", false, nil,
			func(_ *fixture, _ *storage.Machine, _ *MachineState, h *protocol.Heartbeat) { h.FencingToken-- }, 0, false},
		{"the replica may lack what the earlier owner wrote", true, nil,
			func(f *fixture, _ *storage.Machine, m *MachineState, _ *protocol.Heartbeat) {
				m.ownershipRevision = f.Replica.Revision + 1
			}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.putJob(t, `{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2, TokenCounter: 1}
			if c.isAssigned {
				record.Assign(task, attempt)
			}
			entry, m := f.addOwnedMachine(t, record)
			f.Replica.Revision = max(f.Replica.Revision, m.ownershipRevision)
			heartbeat := steptest.NewHeartbeat(entry, 1, c.tasks...)
			if c.change != nil {
				c.change(f, entry, m, heartbeat)
			}
			f.receive(heartbeat)
			if c.after > 0 {
				if steptest.ReplyStatus(f.Effects) != 0 {
					t.Fatal("answered at once")
				}
				f.advance(c.after)
				f.tick()
			}
			if got := m.isDeferred(); got != c.want || (steptest.ReplyStatus(f.Effects) == 0) != c.want {
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
	entry, m := f.addOwnedMachine(t, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2})
	if f.Replica.Revision = 0; m.ownershipRevision == 0 {
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
