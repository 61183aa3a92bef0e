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

// sendOperatorRequest is what an operator hears of a request; it waits for the answer.
func sendOperatorRequest(t *testing.T, w *World, controller *Controller, request func(step.RequestID) step.Input) step.Effect {
	t.Helper()
	var reply step.Effect
	controller.DeliverOperatorRequest(request, func(e step.Effect) { reply = e })
	for end := w.Now + 8*time.Second; reply == nil && w.Now < end; {
		w.Advance(50 * time.Millisecond)
	}
	if reply == nil {
		t.Fatal("no answer to an operator's request")
	}
	return reply
}

// requestTransfer is what an operator hears who asks for a move.
func (w *World) requestTransfer(t *testing.T, controller *Controller, request requests.TransferRequest) requests.TransferReply {
	t.Helper()
	return sendOperatorRequest(t, w, controller, func(id step.RequestID) step.Input {
		request.Req = id
		return request
	}).(requests.TransferReply)
}

// shardsOf lists the pages of a controller.
func (w *World) shardsOf(controller *Controller) (ids []storage.ShardID) {
	for id, shard := range w.History.shards {
		if shard.Owner.Controller() == controller.ID && len(shard.Machines) > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// What an operator asks for is accepted once it is on record, and only once; what can't be
// done is refused with the reason.
func TestTransferRequests(t *testing.T) {
	type world struct {
		*World
		a, b *Controller
		page storage.ShardID // one of a's
	}
	for _, c := range []struct {
		name      string
		prepare   func(w world)
		request   func(w world) requests.TransferRequest
		refused   string // part of the reason; empty: accepted
		transient bool
		phase     storage.TransferPhase // it is answered with
	}{
		{"a page by name", nil, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: w.page, Target: w.b.ID}
		}, "", false, storage.TransferProposed},
		{"any page of a controller", nil, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: w.a.ID, Target: w.b.ID}
		}, "", false, storage.TransferProposed},
		{"no name", nil, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Shard: w.page, Target: w.b.ID}
		}, "needs a name", false, ""},
		{"neither page nor controller", nil, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Target: w.b.ID}
		}, "neither", false, ""},
		{"an unknown page", nil, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: "nowhere", Target: w.b.ID}
		}, `no page "nowhere"`, false, ""},
		{"an unknown taker", nil, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: w.page, Target: "stall-9"}
		}, `no controller "stall-9"`, false, ""},
		{"an unknown giver", nil, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: "stall-9", Target: w.b.ID}
		}, `no controller "stall-9"`, false, ""},
		{"to its owner", nil, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: w.page, Target: w.a.ID}
		}, "already", false, ""},
		{"from a controller to itself", nil, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: w.a.ID, Target: w.a.ID}
		}, "the same", false, ""},
		{"a page that is on its way", func(w world) {
			w.requestTransfer(t, w.b, requests.TransferRequest{Name: "first", Shard: w.page, Target: w.b.ID})
		}, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: w.page, Target: w.b.ID}
		}, `move "first"`, true, ""},
		{"to a controller of the version in production", func(w world) {
			w.b.Kill()
			w.b.RunsProductionVersion = true
			w.b.Start()
			w.Advance(15 * time.Second)
		}, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Source: w.a.ID, Target: w.b.ID}
		}, "take no part", false, ""},
		{"the state service is away", func(w world) {
			w.Store.Unavailable = true
			w.Advance(10 * time.Second)
		}, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: w.page, Target: w.b.ID}
		}, "state service", true, ""},
		{"the state service goes as it is asked", func(w world) { w.Store.Unavailable = true }, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: w.page, Target: w.b.ID}
		}, "again under the same name", true, ""},
		{"the same name again", func(w world) {
			w.requestTransfer(t, w.b, requests.TransferRequest{Name: "m", Shard: w.page, Target: w.b.ID})
			w.Advance(20 * time.Second)
		}, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Shard: w.page, Target: w.b.ID}
		}, "", false, storage.TransferClosed},
		{"abort of an unknown move", nil, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Abort: true}
		}, `no move "m"`, false, ""},
		{"abort in time", func(w world) {
			w.requestTransfer(t, w.b, requests.TransferRequest{Name: "m", Shard: w.page, Target: w.b.ID})
		}, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Abort: true}
		}, "", false, storage.TransferAborted},
		{"abort too late", func(w world) {
			w.requestTransfer(t, w.b, requests.TransferRequest{Name: "m", Shard: w.page, Target: w.b.ID})
			w.Advance(20 * time.Second)
		}, func(w world) requests.TransferRequest {
			return requests.TransferRequest{Name: "m", Abort: true}
		}, "closed already", false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTransferWorld(t, 3)
			w.Config.MinRebalanceInterval = time.Hour
			for _, controller := range w.Controllers {
				controller.Start()
			}
			w.Advance(12 * time.Second)
			cluster := world{World: w}
			for _, controller := range w.Controllers {
				if shards := w.shardsOf(controller); len(shards) > 0 && cluster.a == nil {
					cluster.a, cluster.page = controller, shards[0]
				} else if cluster.b == nil {
					cluster.b = controller
				}
			}
			if c.prepare != nil {
				c.prepare(cluster)
			}
			receiver := cluster.b
			if receiver.RunsProductionVersion {
				receiver = cluster.a
			}
			writes := w.History.TransferWrites
			reply := w.requestTransfer(t, receiver, c.request(cluster))
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

// A drained controller gives all its pages while jobs run, and is given none, also as
// another process; then it takes part again. The last one can't be drained.
func TestDrainController(t *testing.T) {
	w := newTransferWorld(t, 12)
	ids := submitMixedJobs(w, 20)
	drain := func(at, target *Controller, on bool) requests.DrainReply {
		return sendOperatorRequest(t, w, at, func(id step.RequestID) step.Input {
			return requests.DrainRequest{Req: id, Controller: target.ID, Drain: on}
		}).(requests.DrainReply)
	}
	w.Advance(12 * time.Second)
	a, b, c := w.Controllers[0], w.Controllers[1], w.Controllers[2]
	for range 2 { // asked again it does nothing more
		if r := drain(b, a, true); r.Err != nil || !r.Status.Draining {
			t.Fatalf("%+v", r)
		}
	}
	w.Advance(30 * time.Second)
	if left := w.MachinesOwnedBy(a); left > 0 {
		t.Errorf("%d machines are left", left)
	}
	a.restartIfAlive(time.Second)
	w.Advance(30 * time.Second)
	if left := w.MachinesOwnedBy(a); left > 0 {
		t.Errorf("%d machines were given to the next process", left)
	}
	if r := drain(b, b, true); r.Err != nil {
		t.Errorf("%+v", r)
	}
	if r := drain(b, c, true); r.Err == nil || !strings.Contains(r.Err.Error(), "no other controller") {
		t.Errorf("the last one: %+v", r)
	}
	if r := drain(b, &Controller{ID: "stall-9"}, true); r.Err == nil || !strings.Contains(r.Err.Error(), "stall-9") {
		t.Errorf("an unknown one: %+v", r)
	}
	w.Advance(20 * time.Second)
	if w.MachinesOwnedBy(a)+w.MachinesOwnedBy(b) > 0 || w.MachinesOwnedBy(c) == 0 {
		t.Errorf("shares of %d, %d and %d machines", w.MachinesOwnedBy(a), w.MachinesOwnedBy(b), w.MachinesOwnedBy(c))
	}
	for _, controller := range []*Controller{a, b} {
		if r := drain(c, controller, false); r.Err != nil || r.Status.Draining {
			t.Errorf("%+v", r)
		}
	}
	w.Advance(100 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if len(w.shardsOf(a))+len(w.shardsOf(b)) == 0 {
		t.Errorf("nothing has come back")
	}
	checkTransfers(t, w, 12, ids, 3)
}

// A controller that comes back late is given pages by moves on record, unasked, until the
// shares are even; then nothing moves any more.
func TestRebalancingConverges(t *testing.T) {
	w := newTransferWorld(t, 9)
	w.Config.ValueBytes = 1024 // few machines on a page; no jobs are to be placed
	for _, controller := range w.Controllers {
		controller.Start()
	}
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
		t.Errorf("%d pages passed, shares of %d to %d pages, broken %v", transferred, least, most, w.Rules.Violations)
	}
	w.Advance(60 * time.Second)
	if w.History.ShardsTransferred != transferred {
		t.Errorf("%d pages moved behind that", w.History.ShardsTransferred-transferred)
	}
}

// Between its preparation and its transfer a page is sent no start, and each worker has
// reported behind the last one it was sent: the taker finds nothing on its way.
func TestNoStartsInFlightAtTransfer(t *testing.T) {
	const inFlightAllowance = 500 * time.Millisecond // those that left before the write was known
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
				t.Errorf("%s: %s took a start %v behind the preparation", r.Name, id, m.lastStartAt-prepared[r.Name])
			}
			if m.heartbeatSentAt < m.lastStartAt {
				t.Errorf("%s: %s has not reported since it took a start at %v, now %v", r.Name, id, m.lastStartAt, w.Now)
			}
		}
	})
	w.Advance(70 * time.Second)
	if checked < 100 || len(w.Rules.Violations) > 0 {
		t.Errorf("%d machines checked, broken %v", checked, w.Rules.Violations)
	}
}

// While a page comes to rest it takes no task, running ones go on under their attempts, and
// it takes tasks again behind the transfer.
func TestShardQuiesces(t *testing.T) {
	w := newTransferWorld(t, 4)
	w.Config.MinRebalanceInterval = time.Hour
	for _, controller := range w.Controllers {
		controller.Start()
	}
	long := newArray("j-900001", "l", "standard", 20, 2, 60)
	w.After(8*time.Second, func() { w.Submit(long) })
	w.Advance(20 * time.Second)
	started := w.StartCommands
	var prepared, passed time.Duration
	w.onTransferPhase(storage.TransferPrepared, func(storage.TransferRecord) { prepared = w.Now })
	w.onTransferPhase(storage.TransferCommitted, func(storage.TransferRecord) { passed = w.Now })
	for i, controller := range w.Controllers {
		for _, shard := range w.shardsOf(controller) {
			w.requestTransfer(t, controller, requests.TransferRequest{Name: string(shard), Shard: shard, Target: w.Controllers[(i+1)%3].ID})
		}
	}
	w.Advance(20 * time.Second)
	if prepared == 0 || passed <= prepared || passed-prepared > 6*time.Second {
		t.Errorf("prepared at %v, passed at %v", prepared, passed)
	}
	if w.StartCommands != started || w.Rules.TasksStarted != 20 {
		t.Errorf("%d starts, %d before the pages moved; %d of 20 tasks begun", w.StartCommands, started, w.Rules.TasksStarted)
	}
	w.Advance(120 * time.Second)
	w.Rules.CheckFinal(w.Now)
	if !w.FinishedJobs[long.ID] || w.StartCommands != started || len(w.Rules.Violations) > 0 {
		t.Errorf("done %v, %d starts for %d, broken %v", w.FinishedJobs[long.ID], w.StartCommands, started, w.Rules.Violations)
	}
}
