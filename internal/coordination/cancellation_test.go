package coordination

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// putCancellingJob puts a job whose cancellation has been requested into the replica.
func putCancellingJob(t *testing.T, core *Core, modRevision protocol.ModRevision) {
	t.Helper()
	putRecord(t, core, storage.JobKey("j-1"),
		[]byte(`{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1},"w":true,"o":1000000000000}`), modRevision)
}

// An owned machine is quiescent for a job if no task of the job can start there, and no earlier owner
// can keep one running. A task that still pulls its image would begin to run after the confirmation of
// the cancellation.
func TestMachineQuiescent(t *testing.T) {
	task := protocol.Task{Job: "j-1"}
	taskStatus := func(state protocol.TaskState) protocol.TaskStatus {
		return protocol.TaskStatus{Task: task, Attempt: 5, State: state}
	}
	for _, test := range []struct {
		name  string
		setUp func(core *Core, machine *storage.Machine, state *agents.MachineState)
		want  bool
	}{
		{"no heartbeat yet", func(*Core, *storage.Machine, *agents.MachineState) {}, false},
		{"task never started", func(core *Core, machine *storage.Machine, state *agents.MachineState) {
			state.RecordHeartbeat(steptest.NewHeartbeat(machine, 1), core.ctx.Now.Monotonic)
		}, true},
		{"task running", func(core *Core, machine *storage.Machine, state *agents.MachineState) {
			state.RecordHeartbeat(steptest.NewHeartbeat(machine, 1, taskStatus(protocol.TaskRunning)), core.ctx.Now.Monotonic)
		}, true},
		{"task pulling its image", func(core *Core, machine *storage.Machine, state *agents.MachineState) {
			state.RecordHeartbeat(steptest.NewHeartbeat(machine, 1, taskStatus(protocol.TaskPullingImage)), core.ctx.Now.Monotonic)
		}, false},
		{"start command in flight", func(core *Core, machine *storage.Machine, state *agents.MachineState) {
			state.RecordHeartbeat(steptest.NewHeartbeat(machine, 1), core.ctx.Now.Monotonic)
			state.InflightStarts[task] = 5
		}, false},
		{"fencing token of an earlier ownership", func(core *Core, machine *storage.Machine, state *agents.MachineState) {
			heartbeat := steptest.NewHeartbeat(machine, 1, taskStatus(protocol.TaskRunning))
			heartbeat.FencingToken = storage.ShardEpoch(2).FencingToken(0)
			state.RecordHeartbeat(heartbeat, core.ctx.Now.Monotonic)
		}, false},
		{"newer agent epoch", func(core *Core, machine *storage.Machine, state *agents.MachineState) {
			heartbeat := steptest.NewHeartbeat(machine, 1)
			heartbeat.AgentEpoch++
			state.RecordHeartbeat(heartbeat, core.ctx.Now.Monotonic)
		}, true},
		{"termination confirmed", func(core *Core, machine *storage.Machine, state *agents.MachineState) {
			core.provisioning.Terminator.TerminateUnrecorded("m-1")
			confirmation := step.TerminateMachinesResult{Machines: []protocol.MachineID{"m-1"}}
			core.provisioning.Terminator.OnTerminateMachinesResult(confirmation)
		}, true},
		{"termination not confirmed yet", func(core *Core, machine *storage.Machine, state *agents.MachineState) {
			core.provisioning.Terminator.TerminateUnrecorded("m-1")
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, _ := newReadyCore(t)
			putCancellingJob(t, core, 2)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			record.Assign(task, 5)
			machine, state := addOwnedMachine(t, core, record)
			test.setUp(core, machine, state)
			if pending := core.scheduling.Queue.ListPendingJobs(core.commit.ShardWriter.NewBatch(8), nil); len(pending) != 0 {
				t.Error("the cancelling job is pending placement, want it left out of the pending jobs")
			}
			if got := core.cancellation.Canceller.IsMachineQuiescent("m-1", "j-1"); got != test.want {
				t.Errorf("machine quiescent: %v, want %v", got, test.want)
			}
			if got := core.cancellation.Canceller.IsCancelFullyAcknowledged("j-1"); got != test.want {
				t.Errorf("cancellation fully acknowledged: %v, want %v", got, test.want)
			}
		})
	}
}

// A cancellation request that a controller receives from a peer binds the controller while its own
// replica is stalled: the controller stops the job's task in its responses, starts no task of the job,
// and acknowledges the request. It forgets the request once the replica has reached the request's
// revision.
func TestPeerCancelRequestIsBinding(t *testing.T) {
	for _, test := range []struct {
		name     string
		revision protocol.Revision
		want     bool
	}{
		{"newer than the replica", 50, true},
		{"older than the replica", 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			putRecord(t, core, storage.JobKey("j-1"), []byte(`{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`), 2)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			record.Assign(protocol.Task{Job: "j-1"}, 5)
			record.Assign(protocol.Task{Job: "j-1", Index: 1}, 5)
			machine, state := addOwnedMachine(t, core, record)
			running := protocol.TaskStatus{Task: protocol.Task{Job: "j-1"}, Attempt: 5, State: protocol.TaskRunning}
			state.RecordHeartbeat(steptest.NewHeartbeat(machine, 1, running), core.ctx.Now.Monotonic)
			advance(0, step.PeerStatusInput{Status: step.PeerStatus{
				ControllerID:   "stall-1",
				CancelRequests: []step.CancelRequest{{Job: "j-1", Revision: test.revision}},
			}})

			starts, stops, acknowledged := 0, 0, false
			heartbeat := steptest.NewHeartbeat(machine, 2, running)
			effects := advance(0, step.HeartbeatInput{RequestID: 1, Body: protocol.Encode(heartbeat)})
			for _, command := range commandsIn(t, effects) {
				switch command.Type {
				case protocol.CommandStart:
					starts++
				case protocol.CommandStop:
					stops++
				}
			}
			for _, effect := range advance(60*time.Millisecond, step.Tick{}) {
				if sent, ok := effect.(step.SendPeerStatus); ok && len(sent.Status.CancelAcks) == 1 {
					acknowledged = true
				}
			}
			if starts != boolToInt(!test.want) || stops != boolToInt(test.want) || acknowledged != test.want {
				t.Errorf("%d starts, %d stops, acknowledged %v; want one acknowledged stop if the request binds, else one start",
					starts, stops, acknowledged)
			}

			advance(0, steptest.UnchangedUntil(core.ctx.Replica.Revision, 50))
			advance(60*time.Millisecond, step.Tick{})
			if core.cancellation.Canceller.CancelRequested("j-1") {
				t.Error("the request still binds the controller although the replica has reached the request's revision")
			}
		})
	}
}

// commandsIn returns the commands in the only reply among the effects.
func commandsIn(t *testing.T, effects []step.Effect) []protocol.Command {
	t.Helper()
	replies := steptest.EffectsOf[step.Reply](effects)
	if len(replies) != 1 || replies[0].Status != http.StatusOK {
		t.Fatalf("%d replies %+v, want one with status 200", len(replies), replies)
	}
	var commands protocol.Commands
	if err := json.Unmarshal(replies[0].Body, &commands); err != nil {
		t.Fatal(err)
	}
	return commands.Commands
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// While a cancellation waits for the acknowledgement of an unreachable controller, statuses are sent
// about once a second and not at every tick. This holds for the controller that drives the
// cancellation and for one that has only read the request.
func TestPeerStatusRateIsBounded(t *testing.T) {
	for _, test := range []struct {
		name        string
		isRequester bool
	}{
		{"cancellation driven by this controller", true},
		{"cancellation driven by another controller", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			record.Assign(protocol.Task{Job: "j-1"}, 5)
			shard := storage.EncodePlainShard("stall-1#1", shardEpoch, []string{record.EncodeLine("m-1")}, nil)
			putRecord(t, core, storage.ShardKey("p"), shard, 2)
			putCancellingJob(t, core, 2)
			if test.isRequester {
				core.cancellation.Canceller.RequestCancellation("j-1")
			}
			messages, requestCount := 0, 0
			for range 60 { // 3 s
				for _, effect := range advance(50*time.Millisecond, step.Tick{}) {
					if sent, ok := effect.(step.SendPeerStatus); ok {
						messages++
						requestCount += len(sent.Status.CancelRequests)
					}
				}
			}
			if messages > 6 || (requestCount > 0) != test.isRequester {
				t.Errorf("%d statuses with %d requests in 3 s, want at most 6 statuses, and requests if and only if this controller drives the cancellation",
					messages, requestCount)
			}
		})
	}
}

// While a cancellation that takes one write is on its way, no task of the job is placed or started: the user is
// told as soon as the write is applied. Before the fix a task that was placed or started meanwhile began to run
// after that.
func TestNoStartWhileCancellationIsWritten(t *testing.T) {
	for _, test := range []struct {
		name       string
		isAssigned bool // the job's tasks are on record, and not started yet
	}{
		{"tasks assigned", true},
		{"no task assigned", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			advance(0, step.ListMachineTypesResult{MachineTypes: []protocol.MachineType{steptest.SmallMachineType()}})
			self := core.commit.Lease.Incarnation()
			job := storage.JobRecord{
				Spec:        &protocol.Job{ID: "j-1", Team: "core", Kind: protocol.KindArray, TaskCount: 2, Cores: 1},
				Owner:       self,
				NextAttempt: step.AttemptBlockSize,
			}
			putRecord(t, core, storage.JobKey("j-1"), storage.MustMarshal(job), 2)
			record := storage.MachineRecord{MachineType: steptest.SmallMachineType().Name, Zone: "a", AgentEpoch: 2}
			if test.isAssigned {
				record.Assign(protocol.Task{Job: "j-1"}, 5)
				record.Assign(protocol.Task{Job: "j-1", Index: 1}, 5)
			}
			machine, state := addOwnedMachine(t, core, record)
			state.RecordHeartbeat(steptest.NewHeartbeat(machine, 1), core.ctx.Now.Monotonic)
			sent := steptest.EffectsOf[step.Commit](advance(0, step.UserInput{RequestID: 1, Type: protocol.RequestCancel, Job: "j-1"}))
			if len(sent) != 1 {
				t.Fatalf("%d transactions after the user's request, want the cancellation in one write", len(sent))
			}
			heartbeat := steptest.NewHeartbeat(machine, 2)
			effects := advance(50*time.Millisecond, step.HeartbeatInput{RequestID: 2, Body: protocol.Encode(heartbeat)})
			for range 20 { // the answer may be deferred, and the next plan is due
				effects = append(effects, advance(50*time.Millisecond, step.Tick{})...)
			}
			for _, reply := range steptest.EffectsOf[step.Reply](effects) {
				if strings.Contains(string(reply.Body), string(protocol.CommandStart)) {
					t.Errorf("reply %s, want no start", reply.Body)
				}
			}
			for _, transaction := range steptest.EffectsOf[step.Commit](effects) {
				t.Errorf("transaction %+v, want no placement", transaction)
			}
		})
	}
}
