package coordination

import (
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// putCancellingJob puts a job on record whose withdrawal has begun.
func putCancellingJob(t *testing.T, c *Core, modRevision protocol.ModRevision) {
	t.Helper()
	if _, err := c.ctx.Replica.Put(storage.JobKey("j-1"), []byte(`{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1},"w":true,"o":1000000000000}`), modRevision); err != nil {
		t.Fatal(err)
	}
}

// What lets an owned machine be settled: nothing of a job that is called off can begin
// there, and nobody else keeps a task of it. A task that has its start but not yet its
// image would begin behind the confirmation.
func TestMachineQuiescent(t *testing.T) {
	task := protocol.Task{Job: "j-1"}
	taskStatus := func(s protocol.TaskState) protocol.TaskStatus {
		return protocol.TaskStatus{Task: task, Attempt: 5, State: s}
	}
	for _, c := range []struct {
		name string
		do   func(core *Core, e *storage.Machine, m *agents.MachineState)
		want bool
	}{
		{"no report yet", func(*Core, *storage.Machine, *agents.MachineState) {}, false},
		{"never started", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			m.RecordHeartbeat(newHeartbeat(e, 1), core.ctx.Now.Monotonic)
		}, true},
		{"runs", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			m.RecordHeartbeat(newHeartbeat(e, 1, taskStatus(protocol.TaskRunning)), core.ctx.Now.Monotonic)
		}, true},
		{"fetches its image", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			m.RecordHeartbeat(newHeartbeat(e, 1, taskStatus(protocol.TaskPullingImage)), core.ctx.Now.Monotonic)
		}, false},
		{"its start is on its way", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			m.RecordHeartbeat(newHeartbeat(e, 1), core.ctx.Now.Monotonic)
			m.InflightStarts[task] = 5
		}, false},
		{"the worker has shown an earlier token only", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			r := newHeartbeat(e, 1, taskStatus(protocol.TaskRunning))
			r.FencingToken = storage.ShardEpoch(2).FencingToken(0)
			m.RecordHeartbeat(r, core.ctx.Now.Monotonic)
		}, false},
		{"a newer session", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			r := newHeartbeat(e, 1)
			r.AgentEpoch++
			m.RecordHeartbeat(r, core.ctx.Now.Monotonic)
		}, true},
		{"released, and that answered", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			core.provisioning.Terminator.TerminateUnrecorded("m-1")
			core.provisioning.Terminator.OnTerminateResult(step.TerminateMachinesResult{Machines: []protocol.MachineID{"m-1"}})
		}, true},
		{"released, with no answer yet", func(core *Core, e *storage.Machine, m *agents.MachineState) {
			core.provisioning.Terminator.TerminateUnrecorded("m-1")
		}, false},
	} {
		core, _ := newReadyCore(t)
		putCancellingJob(t, core, 2)
		rec := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
		rec.Assign(task, 5)
		e, m := addOwnedMachine(t, core, rec)
		c.do(core, e, m)
		if pending := core.scheduling.Queue.ListPendingJobs(core.commit.Shards.NewBatch(8), nil); len(pending) != 0 {
			t.Errorf("%s: the job is still placed", c.name)
		}
		if got := core.cancellation.Canceller.IsMachineQuiescent("m-1", "j-1"); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		if got := core.cancellation.Canceller.IsCancelFullyAcknowledged("j-1"); got != c.want {
			t.Errorf("%s: all aware %v", c.name, got)
		}
	}
}

// Whose word counts for another controller's machine: that of its owner's living run,
// said by a replica that knew of the ownership.
func TestCancelAcknowledgements(t *testing.T) {
	for _, c := range []struct {
		name string
		hint step.PeerStatus
		want bool
	}{
		{"its owner", step.PeerStatus{Incarnation: "stall-1#1", Revision: 6, CancelAcks: []protocol.JobID{"j-1"}}, true},
		{"its owner, for another job", step.PeerStatus{Incarnation: "stall-1#1", Revision: 6, CancelAcks: []protocol.JobID{"j-2"}}, false},
		{"its owner, from before it was", step.PeerStatus{Incarnation: "stall-1#1", Revision: 4, CancelAcks: []protocol.JobID{"j-1"}}, false},
		{"another controller", step.PeerStatus{Incarnation: "stall-2#9", Revision: 6, CancelAcks: []protocol.JobID{"j-1"}}, false},
		{"a run of it that has ended", step.PeerStatus{Incarnation: "stall-1#0", Revision: 6, CancelAcks: []protocol.JobID{"j-1"}}, false},
		{"a run that nobody knows", step.PeerStatus{Incarnation: "stall-7#1", Revision: 6, CancelAcks: []protocol.JobID{"j-1"}}, false},
		{"one that has not registered", step.PeerStatus{Revision: 6, CancelAcks: []protocol.JobID{"j-1"}}, false},
	} {
		core, advance := newReadyCore(t)
		for key, data := range map[string]string{storage.ControllerKey("stall-1"): `{"r":"stall-1#1"}`, storage.ControllerKey("stall-2"): `{"r":"stall-2#9"}`} {
			if _, err := core.ctx.Replica.Put(key, []byte(data), 2); err != nil {
				t.Fatal(err)
			}
		}
		rec := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
		rec.Assign(protocol.Task{Job: "j-1"}, 5)
		if _, err := core.ctx.Replica.Put(storage.ShardKey("p"), storage.EncodePlainShard("stall-1#1", 3, []string{rec.EncodeLine("m-1")}, nil), 5); err != nil {
			t.Fatal(err)
		}
		putCancellingJob(t, core, 6)
		core.ctx.Replica.Revision = 6
		c.hint.ControllerID = c.hint.Incarnation.Controller()
		advance(0, step.PeerStatusInput{Status: c.hint})
		if got := core.cancellation.Canceller.IsCancelFullyAcknowledged("j-1"); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		// An answer counts only as long as its run lives.
		core.ctx.Replica.Delete(storage.ControllerKey("stall-1"), 7)
		if core.cancellation.Canceller.IsCancelFullyAcknowledged("j-1") {
			t.Errorf("%s: the word of a run that has ended counts", c.name)
		}
	}
}

// Who is told of an intent is bound by it while its own replica stands still: it stops the
// task in its answers, starts none, and says so; and it forgets it once the replica has moved on.
func TestPeerIntentIsBinding(t *testing.T) {
	for _, c := range []struct {
		name string
		rev  protocol.Revision
		want bool
	}{{"newer than the replica", 50, true}, {"older: the replica would have it", 1, false}} {
		core, advance := newReadyCore(t)
		if _, err := core.ctx.Replica.Put(storage.JobKey("j-1"), []byte(`{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`), 2); err != nil {
			t.Fatal(err)
		}
		rec := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
		rec.Assign(protocol.Task{Job: "j-1"}, 5)
		rec.Assign(protocol.Task{Job: "j-1", Index: 1}, 5)
		e, m := addOwnedMachine(t, core, rec)
		m.RecordHeartbeat(newHeartbeat(e, 1, protocol.TaskStatus{Task: protocol.Task{Job: "j-1"}, Attempt: 5, State: protocol.TaskRunning}), core.ctx.Now.Monotonic)
		advance(0, step.PeerStatusInput{Status: step.PeerStatus{ControllerID: "stall-1", CancelIntents: []step.CancelIntent{{Job: "j-1", Revision: c.rev}}}})
		starts, stops, acked := 0, 0, false
		for _, o := range core.agents.Heartbeats.CommandsFor(e, m, true) {
			switch o.Type {
			case protocol.CommandStart:
				starts++
			case protocol.CommandStop:
				stops++
			}
		}
		for _, e := range advance(60*time.Millisecond, step.Tick{}) {
			if h, ok := e.(step.SendPeerStatus); ok && len(h.Status.CancelAcks) == 1 {
				acked = true
			}
		}
		if starts != btoi(!c.want) || stops != btoi(c.want) || acked != c.want {
			t.Errorf("%s: %d starts, %d stops, acknowledged %v", c.name, starts, stops, acked)
		}
		advance(0, step.WatchResult{AfterRevision: core.ctx.Replica.Revision, Response: &protocol.WatchResponse{Revision: 50}})
		advance(60*time.Millisecond, step.Tick{})
		if core.cancellation.Canceller.CancelRequested("j-1") {
			t.Errorf("%s: still bound though its replica has gone past it", c.name)
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Who takes a page over answers no report before its replica has that write: it may lack
// a withdrawal that the owner before knew of.
func TestNoResponseBeforeReplicaCatchesUp(t *testing.T) {
	core, advance := newReadyCore(t)
	rec := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
	e, _ := addOwnedMachine(t, core, rec) // its page is newer than the replica: an own write that was answered
	if core.ctx.Replica.Revision = 0; core.agents.Table.Lookup("m-1").OwnershipRevision == 0 {
		t.Fatal("the page has no revision")
	}
	status := func(out []step.Effect) int {
		for _, e := range out {
			if r, ok := e.(step.Reply); ok {
				return r.Status
			}
		}
		return 0
	}
	if s := status(advance(0, step.HeartbeatInput{RequestID: 1, Body: protocol.Encode(newHeartbeat(e, 1))})); s != 0 {
		t.Errorf("answered %d before the replica is as new", s)
	}
	if s := status(advance(3100*time.Millisecond, step.Tick{})); s != 421 {
		t.Errorf("answered %d at last, the worker should look elsewhere", s)
	}
	advance(0, step.HeartbeatInput{RequestID: 2, Body: protocol.Encode(newHeartbeat(e, 2))})
	core.ctx.Replica.Revision = 9
	if s := status(advance(2600*time.Millisecond, step.Tick{})); s != 200 {
		t.Errorf("answered %d with the replica as new", s)
	}
}

// While a withdrawal waits for somebody who cannot be asked, the others are told of it once
// a second, not with every tick, whether this controller drives it or has only read of it.
func TestPeerStatusRateIsBounded(t *testing.T) {
	for _, isRequester := range []bool{true, false} {
		core, advance := newReadyCore(t)
		rec := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
		rec.Assign(protocol.Task{Job: "j-1"}, 5)
		if _, err := core.ctx.Replica.Put(storage.ShardKey("p"), storage.EncodePlainShard("stall-1#1", 3, []string{rec.EncodeLine("m-1")}, nil), 2); err != nil {
			t.Fatal(err)
		}
		putCancellingJob(t, core, 2)
		if isRequester {
			core.cancellation.Canceller.RequestCancellation("j-1")
		}
		messages, intents := 0, 0
		for range 60 { // 3 s
			for _, e := range advance(50*time.Millisecond, step.Tick{}) {
				if h, ok := e.(step.SendPeerStatus); ok {
					messages++
					intents += len(h.Status.CancelIntents)
				}
			}
		}
		if messages > 6 || (intents > 0) != isRequester {
			t.Errorf("drives %v: %d messages with %d intents in 3 s", isRequester, messages, intents)
		}
	}
}

// Whatever the length of the list, each entry comes in its turn.
func TestRotationCoversAll(t *testing.T) {
	ids := make([]protocol.JobID, 1000)
	for i := range ids {
		ids[i] = protocol.JobID(fmt.Sprintf("j-%04d", i))
	}
	for _, c := range []struct{ length, most, takes int }{{10, 200, 1}, {200, 200, 1}, {201, 200, 2}, {1000, 150, 7}} {
		var r cancellation.Rotation
		seen := map[protocol.JobID]bool{}
		for range c.takes {
			part := r.NextChunk(ids[:c.length], c.most)
			if len(part) != min(c.length, c.most) {
				t.Errorf("%+v: %d at once", c, len(part))
			}
			for _, id := range part {
				seen[id] = true
			}
		}
		if len(seen) != c.length {
			t.Errorf("%+v: %d seen", c, len(seen))
		}
	}
}
