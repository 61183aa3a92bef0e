package agents

import (
	"net/http"
	"testing"
	"time"

	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestResponseDeferred checks that a response waits only while a write may soon result in commands for
// it, and not if it has commands already or if none can result.
func TestResponseDeferred(t *testing.T) {
	const attempt = protocol.Attempt(5)
	task := protocol.Task{Job: testJob}
	running := protocol.TaskStatus{Task: task, Attempt: attempt, State: protocol.TaskRunning}
	exited := protocol.TaskStatus{Task: task, Attempt: attempt, State: protocol.TaskExited, Reason: protocol.ReasonDone}
	notice := 60.0

	for _, test := range []struct {
		name       string
		isAssigned bool // whether the record assigns the task to the machine
		tasks      []protocol.TaskStatus
		change     func(*agentsFixture, *storage.Machine, *MachineState, *protocol.Heartbeat)
		after      time.Duration // if above 0, the response is deferred first and checked after this time
		want       bool          // whether the response waits
	}{
		{"idle", false, nil, nil, 0, true},
		{"idle, wait has timed out", false, nil, nil, 2600 * time.Millisecond, false},
		{"idle, preemption notice", false, nil,
			func(_ *agentsFixture, _ *storage.Machine, _ *MachineState, heartbeat *protocol.Heartbeat) {
				heartbeat.PreemptionNoticeSeconds = &notice
			}, 0, false},
		{"idle, cordoned", false, nil,
			func(_ *agentsFixture, entry *storage.Machine, _ *MachineState, _ *protocol.Heartbeat) {
				entry.Record.Cordoned = true
			}, 0, false},
		{"assigned task not started yet", true, nil, nil, 0, false},
		{"task running", true, []protocol.TaskStatus{running}, nil, 0, false},
		{"exit of a task not recorded yet", true, []protocol.TaskStatus{exited}, nil, 0, true},
		{"exit of a task not recorded in time", true,
			[]protocol.TaskStatus{exited}, nil, 800 * time.Millisecond, false},
		{"exit of an unassigned task", false, []protocol.TaskStatus{exited}, nil, 0, false},
		{"new agent epoch not recorded yet", true, nil,
			func(_ *agentsFixture, _ *storage.Machine, _ *MachineState, heartbeat *protocol.Heartbeat) {
				heartbeat.AgentEpoch++
			}, 0, true},
		{"agent lacks the current token", false, nil,
			func(_ *agentsFixture, _ *storage.Machine, _ *MachineState, heartbeat *protocol.Heartbeat) {
				heartbeat.FencingToken--
			}, 0, false},
		{"replica may lack writes of the previous owner", true, nil,
			func(fixture *agentsFixture, _ *storage.Machine, state *MachineState, _ *protocol.Heartbeat) {
				state.ownershipRevision = fixture.Replica.Revision + 1
			}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.putJob(t, `{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2, TokenCounter: 1}
			if test.isAssigned {
				record.Assign(task, attempt)
			}
			entry, state := fixture.addOwnedMachine(t, record)
			fixture.Replica.Revision = max(fixture.Replica.Revision, state.ownershipRevision)
			heartbeat := steptest.NewHeartbeat(entry, 1, test.tasks...)
			if test.change != nil {
				test.change(fixture, entry, state, heartbeat)
			}
			fixture.receive(heartbeat)
			if test.after > 0 {
				if steptest.ReplyStatus(fixture.Effects) != 0 {
					t.Fatal("heartbeat was answered at once, want a deferred response")
				}
				fixture.advance(test.after)
				fixture.tick()
			}
			if got := state.isDeferred(); got != test.want || (steptest.ReplyStatus(fixture.Effects) == 0) != test.want {
				t.Errorf("response deferred: %v, reply status %d (0 means no reply), want no reply if the case wants the response to wait, and a reply otherwise",
					got, steptest.ReplyStatus(fixture.Effects))
			}
		})
	}
}

// TestNoResponseBeforeReplicaCatchesUp checks that a controller that takes over a shard answers no
// heartbeat before its replica includes the write of the takeover. An older replica may lack a
// cancellation request that the previous owner recorded.
func TestNoResponseBeforeReplicaCatchesUp(t *testing.T) {
	fixture := newFixture(t)
	// The machine's shard is newer than the replica, as after an applied write of this controller.
	entry, state := fixture.addOwnedMachine(t, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2})
	if fixture.Replica.Revision = 0; state.ownershipRevision == 0 {
		t.Fatal("ownership revision is 0, want the revision of the shard")
	}
	fixture.receive(steptest.NewHeartbeat(entry, 1))
	if status := steptest.ReplyStatus(fixture.Effects); status != 0 {
		t.Errorf("got status %d before the replica has caught up, want no response", status)
	}
	fixture.advance(ownershipCatchUpTimeout + 100*time.Millisecond)
	fixture.tick()
	if status := steptest.ReplyStatus(fixture.Effects); status != http.StatusMisdirectedRequest {
		t.Errorf("got status %d after the timeout, want a redirect so that the agent tries another controller", status)
	}
	fixture.receive(steptest.NewHeartbeat(entry, 2))
	fixture.Replica.Revision = 9
	fixture.advance(2600 * time.Millisecond)
	fixture.tick()
	if status := steptest.ReplyStatus(fixture.Effects); status != http.StatusOK {
		t.Errorf("got status %d with an up-to-date replica, want 200", status)
	}
}
