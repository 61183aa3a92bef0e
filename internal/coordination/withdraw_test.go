package coordination

import (
	"fmt"
	"testing"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// withdrawing puts a job on record whose withdrawal has begun.
func withdrawing(t *testing.T, c *Core, stamp protocol.Stamp) {
	t.Helper()
	if _, err := c.replica.Put(bk.JobKey("j-1"), []byte(`{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1},"w":true,"o":1000000000000}`), stamp); err != nil {
		t.Fatal(err)
	}
}

// What lets an owned machine be settled: nothing of a job that is called off can begin
// there, and nobody else keeps a task of it. A task that has its start but not yet its
// image would begin behind the confirmation.
func TestSettled(t *testing.T) {
	task := protocol.Task{Job: "j-1"}
	piece := func(s protocol.TaskStage) protocol.TaskReport {
		return protocol.TaskReport{Task: task, Try: 5, Stage: s}
	}
	for _, c := range []struct {
		name string
		do   func(core *Core, e *bk.Machine, m *mstate)
		want bool
	}{
		{"no report yet", func(*Core, *bk.Machine, *mstate) {}, false},
		{"never started", func(core *Core, e *bk.Machine, m *mstate) { m.take(report(e, 1), core.now.Steady) }, true},
		{"runs", func(core *Core, e *bk.Machine, m *mstate) {
			m.take(report(e, 1, piece(protocol.TaskRunning)), core.now.Steady)
		}, true},
		{"fetches its image", func(core *Core, e *bk.Machine, m *mstate) {
			m.take(report(e, 1, piece(protocol.Fetching)), core.now.Steady)
		}, false},
		{"its start is on its way", func(core *Core, e *bk.Machine, m *mstate) {
			m.take(report(e, 1), core.now.Steady)
			m.inflight[task] = 5
		}, false},
		{"the worker has shown an earlier token only", func(core *Core, e *bk.Machine, m *mstate) {
			r := report(e, 1, piece(protocol.TaskRunning))
			r.FencingToken = bk.Epoch(2).FencingToken(0)
			m.take(r, core.now.Steady)
		}, false},
		{"a newer session", func(core *Core, e *bk.Machine, m *mstate) {
			r := report(e, 1)
			r.Session++
			m.take(r, core.now.Steady)
		}, true},
		{"released, and that answered", func(core *Core, e *bk.Machine, m *mstate) {
			core.releasing["m-1"] = &release{done: true}
		}, true},
		{"released, with no answer yet", func(core *Core, e *bk.Machine, m *mstate) {
			core.releasing["m-1"] = &release{}
		}, false},
	} {
		core, _ := begin(t)
		withdrawing(t, core, 2)
		rec := bk.MachineRecord{Type: "s", Zone: "a", Session: 2}
		rec.Assign(task, 5)
		e, m := own(t, core, rec)
		c.do(core, e, m)
		if q := core.queue(core.newBatch(8), nil); len(q) != 0 {
			t.Errorf("%s: the job is still placed", c.name)
		}
		if got := core.settled("m-1", "j-1"); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		if got := core.allAware("j-1"); got != c.want {
			t.Errorf("%s: all aware %v", c.name, got)
		}
	}
}

// Whose word counts for another controller's machine: that of its owner's living run,
// said by a replica that knew of the ownership.
func TestAcknowledgements(t *testing.T) {
	for _, c := range []struct {
		name string
		hint Hint
		want bool
	}{
		{"its owner", Hint{Run: "stall-1#1", Rev: 6, Acks: []protocol.JobID{"j-1"}}, true},
		{"its owner, for another job", Hint{Run: "stall-1#1", Rev: 6, Acks: []protocol.JobID{"j-2"}}, false},
		{"its owner, from before it was", Hint{Run: "stall-1#1", Rev: 4, Acks: []protocol.JobID{"j-1"}}, false},
		{"another controller", Hint{Run: "stall-2#9", Rev: 6, Acks: []protocol.JobID{"j-1"}}, false},
		{"a run of it that has ended", Hint{Run: "stall-1#0", Rev: 6, Acks: []protocol.JobID{"j-1"}}, false},
		{"a run that nobody knows", Hint{Run: "stall-7#1", Rev: 6, Acks: []protocol.JobID{"j-1"}}, false},
		{"one that has not registered", Hint{Rev: 6, Acks: []protocol.JobID{"j-1"}}, false},
	} {
		core, step := begin(t)
		for key, data := range map[string]string{bk.MemberKey("stall-1"): `{"r":"stall-1#1"}`, bk.MemberKey("stall-2"): `{"r":"stall-2#9"}`} {
			if _, err := core.replica.Put(key, []byte(data), 2); err != nil {
				t.Fatal(err)
			}
		}
		rec := bk.MachineRecord{Type: "s", Zone: "a", Session: 2}
		rec.Assign(protocol.Task{Job: "j-1"}, 5)
		if _, err := core.replica.Put(bk.PageKey("p"), bk.EncodePage("stall-1#1", 3, []string{rec.Line("m-1")}, nil), 5); err != nil {
			t.Fatal(err)
		}
		withdrawing(t, core, 6)
		core.replica.Rev = 6
		c.hint.Member = c.hint.Run.Member()
		step(0, HintInput{c.hint})
		if got := core.allAware("j-1"); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		// An answer counts only as long as its run lives.
		core.replica.Delete(bk.MemberKey("stall-1"), 7)
		if core.allAware("j-1") {
			t.Errorf("%s: the word of a run that has ended counts", c.name)
		}
	}
}

// Who is told of an intent is bound by it while its own replica stands still: it stops the
// task in its answers, starts none, and says so; and it forgets it once the replica has moved on.
func TestToldIntentBinds(t *testing.T) {
	for _, c := range []struct {
		name string
		rev  protocol.Rev
		want bool
	}{{"newer than the replica", 50, true}, {"older: the replica would have it", 1, false}} {
		core, step := begin(t)
		if _, err := core.replica.Put(bk.JobKey("j-1"), []byte(`{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1}}`), 2); err != nil {
			t.Fatal(err)
		}
		rec := bk.MachineRecord{Type: "s", Zone: "a", Session: 2}
		rec.Assign(protocol.Task{Job: "j-1"}, 5)
		rec.Assign(protocol.Task{Job: "j-1", Index: 1}, 5)
		e, m := own(t, core, rec)
		m.take(report(e, 1, protocol.TaskReport{Task: protocol.Task{Job: "j-1"}, Try: 5, Stage: protocol.TaskRunning}), core.now.Steady)
		step(0, HintInput{Hint{Member: "stall-1", Intents: []Intent{{"j-1", c.rev}}}})
		starts, stops, acked := 0, 0, false
		for _, o := range core.orders(e, m, true) {
			switch o.Verb {
			case protocol.Start:
				starts++
			case protocol.Stop:
				stops++
			}
		}
		for _, e := range step(60*time.Millisecond, Tick{}) {
			if h, ok := e.(SendHint); ok && len(h.Hint.Acks) == 1 {
				acked = true
			}
		}
		if starts != btoi(!c.want) || stops != btoi(c.want) || acked != c.want {
			t.Errorf("%s: %d starts, %d stops, acknowledged %v", c.name, starts, stops, acked)
		}
		step(0, FollowResult{From: core.replica.Rev, News: &protocol.Followed{Rev: 50}})
		step(60*time.Millisecond, Tick{})
		if core.calledOff("j-1") {
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
func TestNoAnswerBehindTakeover(t *testing.T) {
	core, step := begin(t)
	rec := bk.MachineRecord{Type: "s", Zone: "a", Session: 2}
	e, _ := own(t, core, rec) // its page is newer than the replica: an own write that was answered
	if core.replica.Rev = 0; core.machines["m-1"].ownedRev == 0 {
		t.Fatal("the page has no revision")
	}
	status := func(out []Effect) int {
		for _, e := range out {
			if r, ok := e.(Reply); ok {
				return r.Status
			}
		}
		return 0
	}
	if s := status(step(0, ReportInput{Req: 1, Body: protocol.Encode(report(e, 1))})); s != 0 {
		t.Errorf("answered %d before the replica is as new", s)
	}
	if s := status(step(3100*time.Millisecond, Tick{})); s != 421 {
		t.Errorf("answered %d at last, the worker should look elsewhere", s)
	}
	step(0, ReportInput{Req: 2, Body: protocol.Encode(report(e, 2))})
	core.replica.Rev = 9
	if s := status(step(2600*time.Millisecond, Tick{})); s != 200 {
		t.Errorf("answered %d with the replica as new", s)
	}
}

// While a withdrawal waits for somebody who cannot be asked, the others are told of it once
// a second, not with every tick, whether this controller drives it or has only read of it.
func TestHintsAreFew(t *testing.T) {
	for _, drives := range []bool{true, false} {
		core, step := begin(t)
		rec := bk.MachineRecord{Type: "s", Zone: "a", Session: 2}
		rec.Assign(protocol.Task{Job: "j-1"}, 5)
		if _, err := core.replica.Put(bk.PageKey("p"), bk.EncodePage("stall-1#1", 3, []string{rec.Line("m-1")}, nil), 2); err != nil {
			t.Fatal(err)
		}
		withdrawing(t, core, 2)
		if drives {
			core.wantAbort("j-1")
		}
		hints, intents := 0, 0
		for range 60 { // 3 s
			for _, e := range step(50*time.Millisecond, Tick{}) {
				if h, ok := e.(SendHint); ok {
					hints++
					intents += len(h.Hint.Intents)
				}
			}
		}
		if hints > 6 || (intents > 0) != drives {
			t.Errorf("drives %v: %d messages with %d intents in 3 s", drives, hints, intents)
		}
	}
}

// Whatever the length of the list, each entry comes in its turn.
func TestRotation(t *testing.T) {
	ids := make([]protocol.JobID, 1000)
	for i := range ids {
		ids[i] = protocol.JobID(fmt.Sprintf("j-%04d", i))
	}
	for _, c := range []struct{ length, most, takes int }{{10, 200, 1}, {200, 200, 1}, {201, 200, 2}, {1000, 150, 7}} {
		var r rotation
		seen := map[protocol.JobID]bool{}
		for range c.takes {
			part := r.take(ids[:c.length], c.most)
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
