package simulation

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// ask is what an operator hears of a request; it waits for the answer.
func ask(t *testing.T, w *World, n *Node, request func(coordination.RequestID) coordination.Input) coordination.Effect {
	t.Helper()
	var reply coordination.Effect
	n.Operator(request, func(e coordination.Effect) { reply = e })
	for end := w.Now + 8*time.Second; reply == nil && w.Now < end; {
		w.Run(50 * time.Millisecond)
	}
	if reply == nil {
		t.Fatal("no answer to an operator's request")
	}
	return reply
}

// asked is what an operator hears who asks for a move.
func (w *World) asked(t *testing.T, n *Node, request coordination.TransferRequest) coordination.TransferReply {
	t.Helper()
	return ask(t, w, n, func(id coordination.RequestID) coordination.Input {
		request.Req = id
		return request
	}).(coordination.TransferReply)
}

// shardsOf lists the pages of a controller.
func (w *World) pagesOf(n *Node) (ids []storage.ShardID) {
	for id, page := range w.History.pages {
		if page.Owner.Controller() == n.Member && len(page.Machines) > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// What an operator asks for is accepted once it is on record, and only once; what can't be
// done is refused with the reason.
func TestMoveRequests(t *testing.T) {
	type world struct {
		*World
		a, b *Node
		page storage.ShardID // one of a's
	}
	for _, c := range []struct {
		name      string
		prepare   func(w world)
		request   func(w world) coordination.TransferRequest
		refused   string // part of the reason; empty: accepted
		transient bool
		phase     storage.TransferPhase // it is answered with
	}{
		{"a page by name", nil, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Shard: w.page, Target: w.b.Member}
		}, "", false, storage.TransferProposed},
		{"any page of a controller", nil, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Source: w.a.Member, Target: w.b.Member}
		}, "", false, storage.TransferProposed},
		{"no name", nil, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Shard: w.page, Target: w.b.Member}
		}, "needs a name", false, ""},
		{"neither page nor controller", nil, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Target: w.b.Member}
		}, "neither", false, ""},
		{"an unknown page", nil, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Shard: "nowhere", Target: w.b.Member}
		}, `no page "nowhere"`, false, ""},
		{"an unknown taker", nil, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Shard: w.page, Target: "stall-9"}
		}, `no controller "stall-9"`, false, ""},
		{"an unknown giver", nil, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Source: "stall-9", Target: w.b.Member}
		}, `no controller "stall-9"`, false, ""},
		{"to its owner", nil, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Shard: w.page, Target: w.a.Member}
		}, "already", false, ""},
		{"from a controller to itself", nil, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Source: w.a.Member, Target: w.a.Member}
		}, "the same", false, ""},
		{"a page that is on its way", func(w world) {
			w.asked(t, w.b, coordination.TransferRequest{Name: "first", Shard: w.page, Target: w.b.Member})
		}, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Shard: w.page, Target: w.b.Member}
		}, `move "first"`, true, ""},
		{"to a controller of the version in production", func(w world) {
			w.b.Kill()
			w.b.Old = true
			w.b.Start()
			w.Run(15 * time.Second)
		}, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Source: w.a.Member, Target: w.b.Member}
		}, "take no part", false, ""},
		{"the state service is away", func(w world) {
			w.State.Down = true
			w.Run(10 * time.Second)
		}, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Shard: w.page, Target: w.b.Member}
		}, "state service", true, ""},
		{"the state service goes as it is asked", func(w world) { w.State.Down = true }, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Shard: w.page, Target: w.b.Member}
		}, "again under the same name", true, ""},
		{"the same name again", func(w world) {
			w.asked(t, w.b, coordination.TransferRequest{Name: "m", Shard: w.page, Target: w.b.Member})
			w.Run(20 * time.Second)
		}, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Shard: w.page, Target: w.b.Member}
		}, "", false, storage.TransferClosed},
		{"abort of an unknown move", nil, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Abort: true}
		}, `no move "m"`, false, ""},
		{"abort in time", func(w world) {
			w.asked(t, w.b, coordination.TransferRequest{Name: "m", Shard: w.page, Target: w.b.Member})
		}, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Abort: true}
		}, "", false, storage.TransferAborted},
		{"abort too late", func(w world) {
			w.asked(t, w.b, coordination.TransferRequest{Name: "m", Shard: w.page, Target: w.b.Member})
			w.Run(20 * time.Second)
		}, func(w world) coordination.TransferRequest {
			return coordination.TransferRequest{Name: "m", Abort: true}
		}, "closed already", false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := movingWorld(t, 3)
			w.Config.MinRebalanceInterval = time.Hour
			for _, n := range w.Nodes {
				n.Start()
			}
			w.Run(12 * time.Second)
			s := world{World: w}
			for _, n := range w.Nodes {
				if pages := w.pagesOf(n); len(pages) > 0 && s.a == nil {
					s.a, s.page = n, pages[0]
				} else if s.b == nil {
					s.b = n
				}
			}
			if c.prepare != nil {
				c.prepare(s)
			}
			asked := s.b
			if asked.Old {
				asked = s.a
			}
			puts := w.History.Puts
			reply := w.asked(t, asked, c.request(s))
			var refused *coordination.RequestError
			switch {
			case c.refused == "" && (reply.Err != nil || reply.Transfer.Phase != c.phase && !reply.Transfer.Phase.CanFollow(c.phase)):
				t.Errorf("%v, %+v", reply.Err, reply.Transfer)
			case c.refused != "" && (!errors.As(reply.Err, &refused) || !strings.Contains(refused.Reason, c.refused) || refused.Transient != c.transient):
				t.Errorf("%v, want %q, transient %v", reply.Err, c.refused, c.transient)
			case c.refused != "" && !c.transient && w.History.Puts != puts:
				t.Errorf("refused, and something is on record")
			}
			w.State.Down = false
			w.Run(40 * time.Second)
			if open := w.History.Open(); len(open) > 0 || len(w.Rules.Broken) > 0 {
				t.Errorf("open %v, broken %v", open, w.Rules.Broken)
			}
		})
	}
}

// A drained controller gives all its pages while jobs run, and is given none, also as
// another process; then it takes part again. The last one can't be drained.
func TestDrainedController(t *testing.T) {
	w := movingWorld(t, 12)
	ids := submitMix(w, 20)
	drain := func(at, member *Node, on bool) coordination.DrainReply {
		return ask(t, w, at, func(id coordination.RequestID) coordination.Input {
			return coordination.DrainRequest{Req: id, Controller: member.Member, Drain: on}
		}).(coordination.DrainReply)
	}
	w.Run(12 * time.Second)
	a, b, c := w.Nodes[0], w.Nodes[1], w.Nodes[2]
	for range 2 { // asked again it does nothing more
		if r := drain(b, a, true); r.Err != nil || !r.Status.Draining {
			t.Fatalf("%+v", r)
		}
	}
	w.Run(30 * time.Second)
	if left := w.OwnedBy(a); left > 0 {
		t.Errorf("%d machines are left", left)
	}
	w.bounce(w.History.living[storage.ControllerKey(a.Member)], time.Second)
	w.Run(30 * time.Second)
	if left := w.OwnedBy(a); left > 0 {
		t.Errorf("%d machines were given to the next process", left)
	}
	if r := drain(b, b, true); r.Err != nil {
		t.Errorf("%+v", r)
	}
	if r := drain(b, c, true); r.Err == nil || !strings.Contains(r.Err.Error(), "no other controller") {
		t.Errorf("the last one: %+v", r)
	}
	if r := drain(b, &Node{Member: "stall-9"}, true); r.Err == nil || !strings.Contains(r.Err.Error(), "stall-9") {
		t.Errorf("an unknown one: %+v", r)
	}
	w.Run(20 * time.Second)
	if w.OwnedBy(a)+w.OwnedBy(b) > 0 || w.OwnedBy(c) == 0 {
		t.Errorf("shares of %d, %d and %d machines", w.OwnedBy(a), w.OwnedBy(b), w.OwnedBy(c))
	}
	for _, n := range []*Node{a, b} {
		if r := drain(c, n, false); r.Err != nil || r.Status.Draining {
			t.Errorf("%+v", r)
		}
	}
	w.Run(100 * time.Second)
	w.Rules.End(w.Now)
	if len(w.pagesOf(a))+len(w.pagesOf(b)) == 0 {
		t.Errorf("nothing has come back")
	}
	checkMoved(t, w, 12, ids, 3)
}

// A controller that comes back late is given pages by moves on record, unasked, until the
// shares are even; then nothing moves any more.
func TestPlannedMovesComeToRest(t *testing.T) {
	w := movingWorld(t, 9)
	w.Config.ValueBytes = 1024 // few machines on a page; no jobs are to be placed
	for _, n := range w.Nodes {
		n.Start()
	}
	w.Nodes[0].Kill()
	w.Run(20 * time.Second)
	w.Nodes[0].Start()
	w.Run(60 * time.Second)
	passed := w.History.Passed
	least, most := 1000, 0
	for _, n := range w.Nodes {
		least, most = min(least, len(w.pagesOf(n))), max(most, len(w.pagesOf(n)))
	}
	if passed == 0 || most-least > 2 || len(w.Rules.Broken) > 0 {
		t.Errorf("%d pages passed, shares of %d to %d pages, broken %v", passed, least, most, w.Rules.Broken)
	}
	w.Run(60 * time.Second)
	if w.History.Passed != passed {
		t.Errorf("%d pages moved behind that", w.History.Passed-passed)
	}
}

// Between its preparation and its transfer a page is sent no start, and each worker has
// reported behind the last one it was sent: the taker finds nothing on its way.
func TestNothingIsOnItsWayAtTheTransfer(t *testing.T) {
	const answerOnItsWay = 500 * time.Millisecond // those that left before the write was known
	w := movingWorld(t, 6)
	n := 0
	w.Every(300*time.Millisecond, func() {
		n++
		w.Submit(array(protocol.JobID(fmt.Sprintf("j-%06d", n)), "l", "standard", 8, 1, 2))
	})
	w.moveAround(700*time.Millisecond, 60*time.Second)
	prepared := map[string]time.Duration{}
	w.onPhase(storage.TransferPrepared, func(r storage.TransferRecord) { prepared[r.Name] = w.Now })
	checked := 0
	w.onPhase(storage.TransferCommitted, func(r storage.TransferRecord) {
		for _, id := range w.machinesOf(r.Shard) {
			m := w.Workers[id]
			if m == nil || m.Gone || m.ordered == 0 {
				continue
			}
			checked++
			if m.ordered > prepared[r.Name]+answerOnItsWay {
				t.Errorf("%s: %s took a start %v behind the preparation", r.Name, id, m.ordered-prepared[r.Name])
			}
			if m.sentAt < m.ordered {
				t.Errorf("%s: %s has not reported since it took a start at %v, now %v", r.Name, id, m.ordered, w.Now)
			}
		}
	})
	w.Run(70 * time.Second)
	if checked < 100 || len(w.Rules.Broken) > 0 {
		t.Errorf("%d machines checked, broken %v", checked, w.Rules.Broken)
	}
}

// While a page comes to rest it takes no task, running ones go on under their attempts, and
// it takes tasks again behind the transfer.
func TestPageComesToRest(t *testing.T) {
	w := movingWorld(t, 4)
	w.Config.MinRebalanceInterval = time.Hour
	for _, n := range w.Nodes {
		n.Start()
	}
	long := array("j-900001", "l", "standard", 20, 2, 60)
	w.At(8*time.Second, func() { w.Submit(long) })
	w.Run(20 * time.Second)
	started := w.Starts
	var prepared, passed time.Duration
	w.onPhase(storage.TransferPrepared, func(storage.TransferRecord) { prepared = w.Now })
	w.onPhase(storage.TransferCommitted, func(storage.TransferRecord) { passed = w.Now })
	for i, n := range w.Nodes {
		for _, page := range w.pagesOf(n) {
			w.asked(t, n, coordination.TransferRequest{Name: string(page), Shard: page, Target: w.Nodes[(i+1)%3].Member})
		}
	}
	w.Run(20 * time.Second)
	if prepared == 0 || passed <= prepared || passed-prepared > 6*time.Second {
		t.Errorf("prepared at %v, passed at %v", prepared, passed)
	}
	if w.Starts != started || w.Rules.Started != 20 {
		t.Errorf("%d starts, %d before the pages moved; %d of 20 tasks begun", w.Starts, started, w.Rules.Started)
	}
	w.Run(120 * time.Second)
	w.Rules.End(w.Now)
	if !w.Done[long.ID] || w.Starts != started || len(w.Rules.Broken) > 0 {
		t.Errorf("done %v, %d starts for %d, broken %v", w.Done[long.ID], w.Starts, started, w.Rules.Broken)
	}
}
