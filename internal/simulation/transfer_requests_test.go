package simulation

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// sendOperatorRequest sends an operator's request to a controller and returns the reply. The test fails
// if there is no reply within eight seconds.
func sendOperatorRequest(t *testing.T, w *World, controller *Controller, request func(step.RequestID) step.Input) step.Effect {
	t.Helper()
	var reply step.Effect
	controller.DeliverOperatorRequest(request, func(effect step.Effect) { reply = effect })
	for deadline := w.Now + 8*time.Second; reply == nil && w.Now < deadline; {
		w.Advance(50 * time.Millisecond)
	}
	if reply == nil {
		t.Fatal("an operator's request got no reply within 8 s")
	}
	return reply
}

// requestTransfer sends an operator's transfer request to a controller and returns the reply.
func (w *World) requestTransfer(t *testing.T, controller *Controller, request requests.TransferRequest) requests.TransferReply {
	t.Helper()
	return sendOperatorRequest(t, w, controller, func(id step.RequestID) step.Input {
		request.RequestID = id
		return request
	}).(requests.TransferReply)
}

// transferRequestWorld is a deployment with a source and a target for requested transfers.
type transferRequestWorld struct {
	*World
	source, target *Controller
	shard          storage.ShardID // owned by source
}

// newTransferRequestWorld returns a deployment whose controllers rebalance shards at most once an hour.
// The source is the first controller that owns a shard with machines, and the target is another controller.
func newTransferRequestWorld(t *testing.T) transferRequestWorld {
	t.Helper()
	w := newTransferWorld(t, 3)
	w.restartWithConfig(func(config *step.Config) { config.MinRebalanceInterval = time.Hour })
	w.Advance(12 * time.Second)
	requestWorld := transferRequestWorld{World: w}
	for _, controller := range w.Controllers {
		if shards := w.shardsOf(controller); len(shards) > 0 && requestWorld.source == nil {
			requestWorld.source, requestWorld.shard = controller, shards[0]
		} else if requestWorld.target == nil {
			requestWorld.target = controller
		}
	}
	return requestWorld
}

// newShardTransferRequest returns a request to transfer the shard to the target.
func (w transferRequestWorld) newShardTransferRequest(name string) requests.TransferRequest {
	return requests.TransferRequest{Name: name, Shard: w.shard, Target: w.target.ID}
}

// TestTransferRequests checks that a transfer request is accepted once the transfer's proposal is
// recorded in the store, and that only one transfer begins for each name. A request that cannot be
// carried out is refused with a reason.
func TestTransferRequests(t *testing.T) {
	for _, test := range []struct {
		name          string
		prepare       func(w transferRequestWorld) // may be nil
		newRequest    func(w transferRequestWorld) requests.TransferRequest
		wantRefusal   string                // part of the reason; empty if the request is accepted
		wantTransient bool                  // the refusal says that a later request may succeed
		wantPhase     storage.TransferPhase // of the transfer in the reply to an accepted request
	}{
		{"a given shard", nil, func(w transferRequestWorld) requests.TransferRequest {
			return w.newShardTransferRequest("m")
		}, "", false, storage.TransferProposed},
		{"any shard of a controller", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: w.source.ID, Target: w.target.ID}
		}, "", false, storage.TransferProposed},
		{"no name", nil, func(w transferRequestWorld) requests.TransferRequest {
			return w.newShardTransferRequest("")
		}, "needs a name", false, ""},
		{"neither shard nor controller", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Target: w.target.ID}
		}, "neither", false, ""},
		{"an unknown shard", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: "nowhere", Target: w.target.ID}
		}, `no page "nowhere"`, false, ""},
		{"an unknown target", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: w.shard, Target: "stall-9"}
		}, `no controller "stall-9"`, false, ""},
		{"an unknown source", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: "stall-9", Target: w.target.ID}
		}, `no controller "stall-9"`, false, ""},
		{"to the owner of the shard", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: w.shard, Target: w.source.ID}
		}, "already", false, ""},
		{"from a controller to itself", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: w.source.ID, Target: w.source.ID}
		}, "the same", false, ""},
		{"a shard that is in transfer", func(w transferRequestWorld) {
			w.requestTransfer(t, w.target, w.newShardTransferRequest("first"))
		}, func(w transferRequestWorld) requests.TransferRequest {
			return w.newShardTransferRequest("m")
		}, `move "first"`, true, ""},
		{"to a controller of the version in production", func(w transferRequestWorld) {
			w.target.replaceVersion(true)
			w.Advance(15 * time.Second)
		}, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: w.source.ID, Target: w.target.ID}
		}, "take no part", false, ""},
		{"the store is unavailable", func(w transferRequestWorld) {
			w.Store.Unavailable = true
			w.Advance(10 * time.Second)
		}, func(w transferRequestWorld) requests.TransferRequest {
			return w.newShardTransferRequest("m")
		}, "state service", true, ""},
		{"the store becomes unavailable when the request arrives", func(w transferRequestWorld) {
			w.Store.Unavailable = true
		}, func(w transferRequestWorld) requests.TransferRequest {
			return w.newShardTransferRequest("m")
		}, "again under the same name", true, ""},
		{"a repeated request of the same name", func(w transferRequestWorld) {
			w.requestTransfer(t, w.target, w.newShardTransferRequest("m"))
			w.Advance(20 * time.Second)
		}, func(w transferRequestWorld) requests.TransferRequest {
			return w.newShardTransferRequest("m")
		}, "", false, storage.TransferClosed},
		{"abort of an unknown transfer", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Abort: true}
		}, `no move "m"`, false, ""},
		{"abort of a pending transfer", func(w transferRequestWorld) {
			w.requestTransfer(t, w.target, w.newShardTransferRequest("m"))
		}, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Abort: true}
		}, "", false, storage.TransferAborted},
		{"abort of a closed transfer", func(w transferRequestWorld) {
			w.requestTransfer(t, w.target, w.newShardTransferRequest("m"))
			w.Advance(20 * time.Second)
		}, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Abort: true}
		}, "closed already", false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newTransferRequestWorld(t)
			if test.prepare != nil {
				test.prepare(w)
			}
			receiver := w.target
			if receiver.RunsProductionVersion {
				receiver = w.source
			}
			writesBefore := w.History.TransferWrites
			reply := w.requestTransfer(t, receiver, test.newRequest(w))
			var refusal *requests.RequestError
			switch {
			case test.wantRefusal == "" && (reply.Err != nil || reply.Transfer.Phase != test.wantPhase && !reply.Transfer.Phase.CanFollow(test.wantPhase)):
				t.Errorf("reply with error %v and transfer %+v, want no error and the expected phase or the next one", reply.Err, reply.Transfer)
			case test.wantRefusal != "" && (!errors.As(reply.Err, &refusal) || !strings.Contains(refusal.Reason, test.wantRefusal) || refusal.Transient != test.wantTransient):
				t.Errorf("reply with error %v, want a refusal with reason %q and transient %v", reply.Err, test.wantRefusal, test.wantTransient)
			case test.wantRefusal != "" && !test.wantTransient && w.History.TransferWrites != writesBefore:
				t.Errorf("a transfer record was written for a refused request")
			}
			w.Store.Unavailable = false
			w.Advance(40 * time.Second)
			if open := w.History.OpenTransfers(); len(open) > 0 || len(w.Rules.Violations) > 0 {
				t.Errorf("open transfers %v and rule violations %v at the end, want none", open, w.Rules.Violations)
			}
		})
	}
}

// TestDrainController checks that a drained controller transfers all its shards to other controllers
// while jobs run and gets none, also in its next incarnation. It gets shards again after the end of
// the drain. The last controller that is not drained cannot be drained.
func TestDrainController(t *testing.T) {
	w := newTransferWorld(t, 12)
	jobIDs := submitMixedJobs(w, 20)
	requestDrain := func(receiver, target *Controller, isDraining bool) requests.DrainReply {
		return sendOperatorRequest(t, w, receiver, func(id step.RequestID) step.Input {
			return requests.DrainRequest{RequestID: id, Controller: target.ID, Drain: isDraining}
		}).(requests.DrainReply)
	}
	w.Advance(12 * time.Second)
	first, second, third := w.Controllers[0], w.Controllers[1], w.Controllers[2]
	for range 2 { // the repeated request has no further effect
		if reply := requestDrain(second, first, true); reply.Err != nil || !reply.Status.Draining {
			t.Fatalf("drain of the first controller: reply %+v, want it draining and no error", reply)
		}
	}
	w.Advance(30 * time.Second)
	if left := w.OwnedMachineCount(first); left > 0 {
		t.Errorf("the drained controller owns %d machines, want 0", left)
	}
	first.restartIfAlive(time.Second)
	w.Advance(30 * time.Second)
	if left := w.OwnedMachineCount(first); left > 0 {
		t.Errorf("the next incarnation of the drained controller owns %d machines, want 0", left)
	}
	if reply := requestDrain(second, second, true); reply.Err != nil {
		t.Errorf("drain of the second controller: reply %+v, want no error", reply)
	}
	if reply := requestDrain(second, third, true); reply.Err == nil || !strings.Contains(reply.Err.Error(), "no other controller") {
		t.Errorf("drain of the last controller: reply %+v, want a refusal because there is no other controller", reply)
	}
	if reply := requestDrain(second, &Controller{ID: "stall-9"}, true); reply.Err == nil || !strings.Contains(reply.Err.Error(), "stall-9") {
		t.Errorf("drain of an unknown controller: reply %+v, want a refusal that names the controller", reply)
	}
	w.Advance(20 * time.Second)
	if w.OwnedMachineCount(first)+w.OwnedMachineCount(second) > 0 || w.OwnedMachineCount(third) == 0 {
		t.Errorf("the controllers own %d, %d and %d machines, want all machines owned by the third", w.OwnedMachineCount(first), w.OwnedMachineCount(second), w.OwnedMachineCount(third))
	}
	for _, controller := range []*Controller{first, second} {
		if reply := requestDrain(third, controller, false); reply.Err != nil || reply.Status.Draining {
			t.Errorf("end of a drain: reply %+v, want the controller not draining and no error", reply)
		}
	}
	w.Advance(100 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if len(w.shardsOf(first))+len(w.shardsOf(second)) == 0 {
		t.Errorf("the first and the second controller own no shard after their drains have ended")
	}
	checkTransfers(t, w, 12, jobIDs, 3)
}

// TestRebalancingConverges checks that a controller that starts later than the others gets shards by
// recorded transfers, without a request, until all controllers own about the same number. No shard is
// transferred after that.
func TestRebalancingConverges(t *testing.T) {
	w := newTransferWorld(t, 9)
	w.restartWithConfig(func(config *step.Config) { config.ValueBytes = 1024 }) // so that few machines fit into a shard
	w.Controllers[0].Kill()
	w.Advance(20 * time.Second)
	w.Controllers[0].Start()
	w.Advance(60 * time.Second)
	transferredShards := w.History.ShardsTransferred
	minOwned, maxOwned := 1000, 0
	for _, controller := range w.Controllers {
		minOwned, maxOwned = min(minOwned, len(w.shardsOf(controller))), max(maxOwned, len(w.shardsOf(controller)))
	}
	if transferredShards == 0 || maxOwned-minOwned > 2 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d shards were transferred, want some; controllers own %d to %d shards, want at most 2 apart; rule violations %v", transferredShards, minOwned, maxOwned, w.Rules.Violations)
	}
	w.Advance(60 * time.Second)
	if w.History.ShardsTransferred != transferredShards {
		t.Errorf("%d shards were transferred after the shards were balanced, want 0", w.History.ShardsTransferred-transferredShards)
	}
}

// TestNoStartsInFlightAtTransfer checks that no start command is sent to the machines of a shard
// between the preparation and the commit of its transfer. Each agent has sent a heartbeat since it
// accepted its last start command, so that no start command is in flight when the target becomes the
// owner.
func TestNoStartsInFlightAtTransfer(t *testing.T) {
	const inFlightAllowance = 500 * time.Millisecond // for starts that were sent before the source knew of the write
	w := newTransferWorld(t, 6)
	submittedJobs := 0
	w.Every(300*time.Millisecond, func() {
		submittedJobs++
		w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-%06d", submittedJobs)), "l", "standard", 8, 1, 2))
	})
	w.requestRandomTransfers(700*time.Millisecond, 60*time.Second)
	preparedAt := map[string]time.Duration{}
	w.onTransferPhase(storage.TransferPrepared, func(record storage.TransferRecord) { preparedAt[record.Name] = w.Now })
	checkedMachines := 0
	w.onTransferPhase(storage.TransferCommitted, func(record storage.TransferRecord) {
		for _, id := range w.shardMachines(record.Shard) {
			machine := w.Machines[id]
			if machine == nil || machine.Terminated || machine.lastStartAt == 0 {
				continue
			}
			checkedMachines++
			if machine.lastStartAt > preparedAt[record.Name]+inFlightAllowance {
				t.Errorf("transfer %s: machine %s accepted a start command %v after the preparation, want none by then", record.Name, id, machine.lastStartAt-preparedAt[record.Name])
			}
			if machine.heartbeatSentAt < machine.lastStartAt {
				t.Errorf("transfer %s: machine %s has sent no heartbeat since it accepted a start command at %v, want one by now, %v", record.Name, id, machine.lastStartAt, w.Now)
			}
		}
	})
	w.Advance(70 * time.Second)
	if checkedMachines < 100 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d machines were checked, want at least 100; rule violations %v", checkedMachines, w.Rules.Violations)
	}
}

// TestShardQuiesces checks that running tasks continue under their attempts while their shards quiesce
// and are transferred. No start command is sent during the transfers or after them, and the job
// finishes. The last commit of a transfer follows the last preparation within 6 s.
func TestShardQuiesces(t *testing.T) {
	w := newTransferWorld(t, 4)
	w.restartWithConfig(func(config *step.Config) { config.MinRebalanceInterval = time.Hour })
	longJob := newArray("j-900001", "l", "standard", 20, 2, 60)
	w.After(8*time.Second, func() { w.Submit(longJob) })
	w.Advance(20 * time.Second)
	startsBefore := w.StartCommandCount
	var preparedAt, committedAt time.Duration
	w.onTransferPhase(storage.TransferPrepared, func(storage.TransferRecord) { preparedAt = w.Now })
	w.onTransferPhase(storage.TransferCommitted, func(storage.TransferRecord) { committedAt = w.Now })
	for i, controller := range w.Controllers {
		for _, shard := range w.shardsOf(controller) {
			w.requestTransfer(t, controller, requests.TransferRequest{Name: string(shard), Shard: shard, Target: w.Controllers[(i+1)%3].ID})
		}
	}
	w.Advance(20 * time.Second)
	if preparedAt == 0 || committedAt <= preparedAt || committedAt-preparedAt > 6*time.Second {
		t.Errorf("last transfer prepared at %v and committed at %v, want a commit at most 6 s after the preparation", preparedAt, committedAt)
	}
	if w.StartCommandCount != startsBefore || w.Rules.TasksStarted != 20 {
		t.Errorf("%d start commands, want the same as the %d before the transfers; %d of 20 tasks started, want all", w.StartCommandCount, startsBefore, w.Rules.TasksStarted)
	}
	w.Advance(120 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs[longJob.ID] || w.StartCommandCount != startsBefore || len(w.Rules.Violations) > 0 {
		t.Errorf("job finished %v, want true; %d start commands, want %d; rule violations %v", w.FinishedJobs[longJob.ID], w.StartCommandCount, startsBefore, w.Rules.Violations)
	}
}
