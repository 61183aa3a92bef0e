package coordination

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// putCancellingJob puts a job on record whose cancellation has been requested.
func putCancellingJob(t *testing.T, c *Core, modRevision protocol.ModRevision) {
	t.Helper()
	putRecord(t, c, storage.JobKey("j-1"),
		[]byte(`{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1},"w":true,"o":1000000000000}`), modRevision)
}

// What makes an owned machine quiescent: no task of a cancelled job can start there, and no other
// owner keeps one running. A task that has been started but still pulls its image would begin
// after the confirmation.
func TestMachineQuiescent(t *testing.T) {
	task := protocol.Task{Job: "j-1"}
	taskStatus := func(s protocol.TaskState) protocol.TaskStatus {
		return protocol.TaskStatus{Task: task, Attempt: 5, State: s}
	}
	for _, c := range []struct {
		name  string
		setUp func(core *Core, e *storage.Machine, m *agents.MachineState)
		want  bool
	}{
		{"no heartbeat yet", func(*Core, *storage.Machine, *agents.MachineState) {}, false},
		{"task never started", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			m.RecordHeartbeat(steptest.NewHeartbeat(e, 1), core.ctx.Now.Monotonic)
		}, true},
		{"task running", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			m.RecordHeartbeat(steptest.NewHeartbeat(e, 1, taskStatus(protocol.TaskRunning)), core.ctx.Now.Monotonic)
		}, true},
		{"task pulling its image", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			m.RecordHeartbeat(steptest.NewHeartbeat(e, 1, taskStatus(protocol.TaskPullingImage)), core.ctx.Now.Monotonic)
		}, false},
		{"start command in flight", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			m.RecordHeartbeat(steptest.NewHeartbeat(e, 1), core.ctx.Now.Monotonic)
			m.InflightStarts[task] = 5
		}, false},
		{"fencing token of an earlier ownership", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			r := steptest.NewHeartbeat(e, 1, taskStatus(protocol.TaskRunning))
			r.FencingToken = storage.ShardEpoch(2).FencingToken(0)
			m.RecordHeartbeat(r, core.ctx.Now.Monotonic)
		}, false},
		{"newer agent epoch", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			r := steptest.NewHeartbeat(e, 1)
			r.AgentEpoch++
			m.RecordHeartbeat(r, core.ctx.Now.Monotonic)
		}, true},
		{"termination confirmed", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			core.provisioning.Terminator.TerminateUnrecorded("m-1")
			confirmation := step.TerminateMachinesResult{Machines: []protocol.MachineID{"m-1"}}
			core.provisioning.Terminator.OnTerminateMachinesResult(confirmation)
		}, true},
		{"termination not confirmed yet", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			core.provisioning.Terminator.TerminateUnrecorded("m-1")
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, _ := newReadyCore(t)
			putCancellingJob(t, core, 2)
			rec := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			rec.Assign(task, 5)
			e, m := addOwnedMachine(t, core, rec)
			c.setUp(core, e, m)
			if pending := core.scheduling.Queue.ListPendingJobs(core.commit.ShardWriter.NewBatch(8), nil); len(pending) != 0 {
				t.Error("the job is still placed")
			}
			if got := core.cancellation.Canceller.IsMachineQuiescent("m-1", "j-1"); got != c.want {
				t.Errorf("quiescent: %v, want %v", got, c.want)
			}
			if got := core.cancellation.Canceller.IsCancelFullyAcknowledged("j-1"); got != c.want {
				t.Errorf("fully acknowledged: %v, want %v", got, c.want)
			}
		})
	}
}

// A controller that learns of a cancellation request from a peer is bound by it while its own replica is
// stalled: it stops the task in its responses, starts none, and acknowledges; and it forgets the
// request once the replica has reached it.
func TestPeerIntentIsBinding(t *testing.T) {
	for _, c := range []struct {
		name     string
		revision protocol.Revision
		want     bool
	}{
		{"newer than the replica", 50, true},
		{"older: the replica would have it", 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			putRecord(t, core, storage.JobKey("j-1"), []byte(`{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`), 2)
			rec := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			rec.Assign(protocol.Task{Job: "j-1"}, 5)
			rec.Assign(protocol.Task{Job: "j-1", Index: 1}, 5)
			e, m := addOwnedMachine(t, core, rec)
			running := protocol.TaskStatus{Task: protocol.Task{Job: "j-1"}, Attempt: 5, State: protocol.TaskRunning}
			m.RecordHeartbeat(steptest.NewHeartbeat(e, 1, running), core.ctx.Now.Monotonic)
			advance(0, step.PeerStatusInput{Status: step.PeerStatus{
				ControllerID:  "stall-1",
				CancelIntents: []step.CancelIntent{{Job: "j-1", Revision: c.revision}},
			}})

			starts, stops, acknowledged := 0, 0, false
			heartbeat := steptest.NewHeartbeat(e, 2, running)
			answer := advance(0, step.HeartbeatInput{RequestID: 1, Body: protocol.Encode(heartbeat)})
			for _, command := range commandsIn(t, answer) {
				switch command.Type {
				case protocol.CommandStart:
					starts++
				case protocol.CommandStop:
					stops++
				}
			}
			for _, effect := range advance(60*time.Millisecond, step.Tick{}) {
				if v, ok := effect.(step.SendPeerStatus); ok && len(v.Status.CancelAcks) == 1 {
					acknowledged = true
				}
			}
			if starts != btoi(!c.want) || stops != btoi(c.want) || acknowledged != c.want {
				t.Errorf("%d starts, %d stops, acknowledged %v", starts, stops, acknowledged)
			}

			advance(0, steptest.UnchangedUntil(core.ctx.Replica.Revision, 50))
			advance(60*time.Millisecond, step.Tick{})
			if core.cancellation.Canceller.CancelRequested("j-1") {
				t.Error("still bound though its replica has gone past the request")
			}
		})
	}
}

// commandsIn are the commands in the only reply among the effects.
func commandsIn(t *testing.T, effects []step.Effect) []protocol.Command {
	t.Helper()
	replies := steptest.EffectsOf[step.Reply](effects)
	if len(replies) != 1 || replies[0].Status != http.StatusOK {
		t.Fatalf("%d replies: %+v", len(replies), replies)
	}
	var body protocol.Commands
	if err := json.Unmarshal(replies[0].Body, &body); err != nil {
		t.Fatal(err)
	}
	return body.Commands
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// While a cancellation waits for a controller that cannot be reached, it is announced to the others
// once a second, not with every tick, whether this controller drives it or has only read of it.
func TestPeerStatusRateIsBounded(t *testing.T) {
	for _, c := range []struct {
		name        string
		isRequester bool
	}{
		{"cancellation driven by this controller", true},
		{"cancellation driven by another controller", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			rec := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			rec.Assign(protocol.Task{Job: "j-1"}, 5)
			shard := storage.EncodePlainShard("stall-1#1", shardEpoch, []string{rec.EncodeLine("m-1")}, nil)
			putRecord(t, core, storage.ShardKey("p"), shard, 2)
			putCancellingJob(t, core, 2)
			if c.isRequester {
				core.cancellation.Canceller.RequestCancellation("j-1")
			}
			messages, intents := 0, 0
			for range 60 { // 3 s
				for _, effect := range advance(50*time.Millisecond, step.Tick{}) {
					if v, ok := effect.(step.SendPeerStatus); ok {
						messages++
						intents += len(v.Status.CancelIntents)
					}
				}
			}
			if messages > 6 || (intents > 0) != c.isRequester {
				t.Errorf("%d messages with %d requests in 3 s", messages, intents)
			}
		})
	}
}
