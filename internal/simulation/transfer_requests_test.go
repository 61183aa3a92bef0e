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

// sendOperatorRequest sends an operator's request and waits for the reply.
func sendOperatorRequest(t *testing.T, w *World, controller *Controller, request func(step.RequestID) step.Input) step.Effect {
	t.Helper()
	var reply step.Effect
	controller.DeliverOperatorRequest(request, func(e step.Effect) { reply = e })
	for end := w.Now + 8*time.Second; reply == nil && w.Now < end; {
		w.Advance(50 * time.Millisecond)
	}
	if reply == nil {
		t.Fatal("no reply to an operator's request")
	}
	return reply
}

// requestTransfer requests a transfer as an operator and returns the reply.
func (w *World) requestTransfer(t *testing.T, controller *Controller, request requests.TransferRequest) requests.TransferReply {
	t.Helper()
	return sendOperatorRequest(t, w, controller, func(id step.RequestID) step.Input {
		request.RequestID = id
		return request
	}).(requests.TransferReply)
}

// transferRequestWorld is a deployment with two controllers that take part in transfers.
type transferRequestWorld struct {
	*World
	source, target *Controller
	shard          storage.ShardID // one of source's
}

func newTransferRequestWorld(t *testing.T) transferRequestWorld {
	t.Helper()
	w := newTransferWorld(t, 3)
	w.restartWithConfig(func(config *step.Config) { config.MinRebalanceInterval = time.Hour })
	w.Advance(12 * time.Second)
	cluster := transferRequestWorld{World: w}
	for _, controller := range w.Controllers {
		if shards := w.shardsOf(controller); len(shards) > 0 && cluster.source == nil {
			cluster.source, cluster.shard = controller, shards[0]
		} else if cluster.target == nil {
			cluster.target = controller
		}
	}
	return cluster
}

// byName requests a transfer of the shard to the target.
func (w transferRequestWorld) byName(name string) requests.TransferRequest {
	return requests.TransferRequest{Name: name, Shard: w.shard, Target: w.target.ID}
}

// A transfer is accepted once its proposal is on record, and only once for each name; what
// cannot be done is refused with the reason.
func TestTransferRequests(t *testing.T) {
	for _, c := range []struct {
		name      string
		prepare   func(w transferRequestWorld) // may be nil
		request   func(w transferRequestWorld) requests.TransferRequest
		refused   string // part of the reason; empty: accepted
		transient bool
		phase     storage.TransferPhase // in the reply, if it is accepted
	}{
		{"a shard by name", nil, func(w transferRequestWorld) requests.TransferRequest {
			return w.byName("m")
		}, "", false, storage.TransferProposed},
		{"any shard of a controller", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: w.source.ID, Target: w.target.ID}
		}, "", false, storage.TransferProposed},
		{"no name", nil, func(w transferRequestWorld) requests.TransferRequest {
			return w.byName("")
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
		{"to its owner", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: w.shard, Target: w.source.ID}
		}, "already", false, ""},
		{"from a controller to itself", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: w.source.ID, Target: w.source.ID}
		}, "the same", false, ""},
		{"a shard in transfer", func(w transferRequestWorld) {
			w.requestTransfer(t, w.target, w.byName("first"))
		}, func(w transferRequestWorld) requests.TransferRequest {
			return w.byName("m")
		}, `move "first"`, true, ""},
		{"to a controller of the version in production", func(w transferRequestWorld) {
			w.target.replaceVersion(true)
			w.Advance(15 * time.Second)
		}, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: w.source.ID, Target: w.target.ID}
		}, "take no part", false, ""},
		{"the store is away", func(w transferRequestWorld) {
			w.Store.Unavailable = true
			w.Advance(10 * time.Second)
		}, func(w transferRequestWorld) requests.TransferRequest {
			return w.byName("m")
		}, "state service", true, ""},
		{"the store fails as the request arrives", func(w transferRequestWorld) {
			w.Store.Unavailable = true
		}, func(w transferRequestWorld) requests.TransferRequest {
			return w.byName("m")
		}, "again under the same name", true, ""},
		{"the same name again", func(w transferRequestWorld) {
			w.requestTransfer(t, w.target, w.byName("m"))
			w.Advance(20 * time.Second)
		}, func(w transferRequestWorld) requests.TransferRequest {
			return w.byName("m")
		}, "", false, storage.TransferClosed},
		{"abort of an unknown transfer", nil, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Abort: true}
		}, `no move "m"`, false, ""},
		{"abort in time", func(w transferRequestWorld) {
			w.requestTransfer(t, w.target, w.byName("m"))
		}, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Abort: true}
		}, "", false, storage.TransferAborted},
		{"abort too late", func(w transferRequestWorld) {
			w.requestTransfer(t, w.target, w.byName("m"))
			w.Advance(20 * time.Second)
		}, func(w transferRequestWorld) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Abort: true}
		}, "closed already", false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTransferRequestWorld(t)
			if c.prepare != nil {
				c.prepare(w)
			}
			receiver := w.target
			if receiver.RunsProductionVersion {
				receiver = w.source
			}
			writes := w.History.TransferWrites
			reply := w.requestTransfer(t, receiver, c.request(w))
			var refused *requests.RequestError
			switch {
			case c.refused == "" && (reply.Err != nil || reply.Transfer.Phase != c.phase && !reply.Transfer.Phase.CanFollow(c.phase)):
				t.Errorf("%v, %+v", reply.Err, reply.Transfer)
			case c.refused != "" && (!errors.As(reply.Err, &refused) || !strings.Contains(refused.Reason, c.refused) || refused.Transient != c.transient):
				t.Errorf("%v, want %q, transient %v", reply.Err, c.refused, c.transient)
			case c.refused != "" && !c.transient && w.History.TransferWrites != writes:
				t.Errorf("refused, and something is on record")
			}
			w.Store.Unavailable = false
			w.Advance(40 * time.Second)
			if open := w.History.OpenTransfers(); len(open) > 0 || len(w.Rules.Violations) > 0 {
				t.Errorf("open %v, broken %v", open, w.Rules.Violations)
			}
		})
	}
}

// A drained controller hands off all its shards while jobs run and gets none, also in its next
// incarnation; then it takes part again. The last one cannot be drained.
func TestDrainController(t *testing.T) {
	w := newTransferWorld(t, 12)
	ids := submitMixedJobs(w, 20)
	drain := func(at, target *Controller, on bool) requests.DrainReply {
		return sendOperatorRequest(t, w, at, func(id step.RequestID) step.Input {
			return requests.DrainRequest{RequestID: id, Controller: target.ID, Drain: on}
		}).(requests.DrainReply)
	}
	w.Advance(12 * time.Second)
	a, b, c := w.Controllers[0], w.Controllers[1], w.Controllers[2]
	for range 2 { // a repeated request does nothing more
		if r := drain(b, a, true); r.Err != nil || !r.Status.Draining {
			t.Fatalf("%+v", r)
		}
	}
	w.Advance(30 * time.Second)
	if left := w.OwnedMachineCount(a); left > 0 {
		t.Errorf("%d machines are left", left)
	}
	a.restartIfAlive(time.Second)
	w.Advance(30 * time.Second)
	if left := w.OwnedMachineCount(a); left > 0 {
		t.Errorf("%d machines were given to the next incarnation", left)
	}
	if r := drain(b, b, true); r.Err != nil {
		t.Errorf("%+v", r)
	}
	if r := drain(b, c, true); r.Err == nil || !strings.Contains(r.Err.Error(), "no other controller") {
		t.Errorf("drain of the last controller: %+v", r)
	}
	if r := drain(b, &Controller{ID: "stall-9"}, true); r.Err == nil || !strings.Contains(r.Err.Error(), "stall-9") {
		t.Errorf("drain of an unknown controller: %+v", r)
	}
	w.Advance(20 * time.Second)
	if w.OwnedMachineCount(a)+w.OwnedMachineCount(b) > 0 || w.OwnedMachineCount(c) == 0 {
		t.Errorf("the controllers own %d, %d and %d machines", w.OwnedMachineCount(a), w.OwnedMachineCount(b), w.OwnedMachineCount(c))
	}
	for _, controller := range []*Controller{a, b} {
		if r := drain(c, controller, false); r.Err != nil || r.Status.Draining {
			t.Errorf("%+v", r)
		}
	}
	w.Advance(100 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if len(w.shardsOf(a))+len(w.shardsOf(b)) == 0 {
		t.Errorf("no shard has come back")
	}
	checkTransfers(t, w, 12, ids, 3)
}

// A controller that comes back late gets shards by transfers on record, without a request, until
// all own about as many; then nothing is transferred any more.
func TestRebalancingConverges(t *testing.T) {
	w := newTransferWorld(t, 9)
	w.restartWithConfig(func(config *step.Config) { config.ValueBytes = 1024 }) // few machines in a shard
	w.Controllers[0].Kill()
	w.Advance(20 * time.Second)
	w.Controllers[0].Start()
	w.Advance(60 * time.Second)
	transferred := w.History.ShardsTransferred
	least, most := 1000, 0
	for _, controller := range w.Controllers {
		least, most = min(least, len(w.shardsOf(controller))), max(most, len(w.shardsOf(controller)))
	}
	if transferred == 0 || most-least > 2 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d shards transferred, controllers own %d to %d, broken %v", transferred, least, most, w.Rules.Violations)
	}
	w.Advance(60 * time.Second)
	if w.History.ShardsTransferred != transferred {
		t.Errorf("%d shards transferred after that", w.History.ShardsTransferred-transferred)
	}
}

// Between the preparation and the commit of a transfer no start is sent to the shard's machines,
// and each agent has sent a heartbeat after the last one: the target finds none in flight.
func TestNoStartsInFlightAtTransfer(t *testing.T) {
	const inFlightAllowance = 500 * time.Millisecond // for starts that were sent before the write was known
	w := newTransferWorld(t, 6)
	n := 0
	w.Every(300*time.Millisecond, func() {
		n++
		w.Submit(newArray(protocol.JobID(fmt.Sprintf("j-%06d", n)), "l", "standard", 8, 1, 2))
	})
	w.requestRandomTransfers(700*time.Millisecond, 60*time.Second)
	prepared := map[string]time.Duration{}
	w.onTransferPhase(storage.TransferPrepared, func(r storage.TransferRecord) { prepared[r.Name] = w.Now })
	checked := 0
	w.onTransferPhase(storage.TransferCommitted, func(r storage.TransferRecord) {
		for _, id := range w.shardMachines(r.Shard) {
			m := w.Machines[id]
			if m == nil || m.Terminated || m.lastStartAt == 0 {
				continue
			}
			checked++
			if m.lastStartAt > prepared[r.Name]+inFlightAllowance {
				t.Errorf("%s: %s accepted a start %v after the preparation", r.Name, id, m.lastStartAt-prepared[r.Name])
			}
			if m.heartbeatSentAt < m.lastStartAt {
				t.Errorf("%s: %s has sent no heartbeat since it accepted a start at %v, now %v", r.Name, id, m.lastStartAt, w.Now)
			}
		}
	})
	w.Advance(70 * time.Second)
	if checked < 100 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d machines checked, broken %v", checked, w.Rules.Violations)
	}
}

// While a shard is quiesced it gets no task and running ones go on under their attempts; it gets
// tasks again after the transfer.
func TestShardQuiesces(t *testing.T) {
	w := newTransferWorld(t, 4)
	w.restartWithConfig(func(config *step.Config) { config.MinRebalanceInterval = time.Hour })
	long := newArray("j-900001", "l", "standard", 20, 2, 60)
	w.After(8*time.Second, func() { w.Submit(long) })
	w.Advance(20 * time.Second)
	started := w.StartCommandCount
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
		t.Errorf("prepared at %v, committed at %v", preparedAt, committedAt)
	}
	if w.StartCommandCount != started || w.Rules.TasksStarted != 20 {
		t.Errorf("%d starts, %d before the transfers; %d of 20 tasks started", w.StartCommandCount, started, w.Rules.TasksStarted)
	}
	w.Advance(120 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs[long.ID] || w.StartCommandCount != started || len(w.Rules.Violations) > 0 {
		t.Errorf("done %v, %d starts for %d, broken %v", w.FinishedJobs[long.ID], w.StartCommandCount, started, w.Rules.Violations)
	}
}
