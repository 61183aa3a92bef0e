package coordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// begin brings a core to the point where it is registered and up to date.
func begin(t *testing.T) (*Core, func(after time.Duration, in Input) []Effect) {
	t.Helper()
	now := Now{Steady: 1, Wall: 1e12}
	cfg := Config{Member: "stall-0", Teams: map[string]Team{"core": {}}, Report: 2 * time.Second, Lease: 14 * time.Second,
		Cancel: 40 * time.Second, WriteRPS: 100, TxnOps: 8, ValueBytes: 8192, Tuning: DefaultTuning()}
	c := New(cfg, now)
	step := func(after time.Duration, in Input) []Effect {
		now.Steady = now.Steady.Add(after)
		now.Wall += protocol.Millis(after.Milliseconds())
		return c.Step(now, in)
	}
	step(0, Tick{})
	step(0, GrantResult{Hold: 7})
	step(0, LoadResult{From: 1, Until: 1})
	step(0, CommitResult{ID: c.tx.id, Outcome: bk.Applied, Answer: protocol.MultiAnswer{Rev: 2}})
	step(0, FollowResult{From: 1, News: &protocol.Followed{Rev: 2}})
	if !c.registered() || !c.fresh() {
		t.Fatal("the core does not begin")
	}
	return c, step
}

// New starts rest on a replica that is known to be up to date. Answered calls
// alone do not show that: the watch may stand still while a job is withdrawn.
func TestFresh(t *testing.T) {
	for _, c := range []struct {
		name          string
		calls, follow bool
		want          bool
	}{
		{"all answers", true, true, true},
		{"the watch stands still", true, false, false},
		{"nothing answers", false, false, false},
	} {
		core, step := begin(t)
		for i := 0; i < 10; i++ {
			step(time.Second, Tick{})
			if c.calls {
				step(0, ExtendResult{Hold: 7})
			} else {
				step(0, ExtendResult{Hold: 7, Err: errOutcome})
			}
			if c.follow {
				step(0, FollowResult{From: core.replica.Rev, News: &protocol.Followed{Rev: core.replica.Rev}})
			}
		}
		if got := core.fresh(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A transaction without outcome is followed by a fence, and by nothing else
// before the replica has all that was written until then.
func TestFenceAfterUnknownOutcome(t *testing.T) {
	c, step := begin(t)
	step(0, FlavorsResult{Flavors: []protocol.Flavor{{Sku: "s", Cores: 4, MemGB: 8, Zones: []protocol.Zone{"a"}}}})
	submit := func() []Effect {
		return step(time.Second, UserInput{Req: 1, Verb: protocol.Submit, Body: []byte(`{"uid":"j-1","lane":"l","desk":"core","shape":"batch","rank":"low",
"pieces":1,"cores":1,"accelerators":0,"mem_gb":1,"bundle":"b","pull_gb":0,"together":false,"scatter":false,"loaners":false,"reckon_s":1,"bookmark_s":0,"stow_s":0}`)})
	}
	commits := func(out []Effect) (n int, keys []string) {
		for _, e := range out {
			if v, ok := e.(Commit); ok {
				n++
				for _, t := range v.Multi.Then {
					keys = append(keys, t.Put)
				}
			}
		}
		return n, keys
	}
	if n, keys := commits(submit()); n != 1 || keys[0] != bk.JobKey("j-1") {
		t.Fatalf("%d commits of %v", n, keys)
	}
	// Whatever is sent rests on this run's own key: once that has gone, nothing
	// that is still on its way is applied.
	if !slices.Contains(c.userTx.multi.When, protocol.When{Key: bk.MemberKey("stall-0"), Stamp: c.self}) {
		t.Errorf("the transaction does not depend on the run's key: %v", c.userTx.multi.When)
	}
	step(0, CommitResult{ID: c.userTx.id, Outcome: bk.Unknown, Err: errOutcome})
	step(time.Second, ExtendResult{Hold: 7})
	if c.tx == nil || !c.tx.fence || c.tx.multi.Then[0].Put != bk.MemberKey("stall-0") || c.tx.multi.Then[0].Tenancy != 7 {
		t.Fatalf("no fence: %+v", c.tx)
	}
	out := step(0, CommitResult{ID: c.tx.id, Outcome: bk.Applied, Answer: protocol.MultiAnswer{Rev: 9}})
	out = append(out, submit()...)
	if n, keys := commits(out); n != 0 {
		t.Fatalf("%v is written before the replica is at the fence", keys)
	}
	if n, _ := commits(step(0, FollowResult{From: c.replica.Rev, News: &protocol.Followed{Rev: 9}})); n != 1 {
		t.Fatal("nothing is written behind the fence")
	}
}

// own gives the core a page with one machine, and the state of that machine.
func own(t *testing.T, c *Core, rec bk.MachineRecord) (*bk.Machine, *mstate) {
	t.Helper()
	key := bk.PageKey("p")
	if _, err := c.replica.Put(key, bk.EncodePage(c.run, 3, []string{rec.Line("m-1")}, nil), c.replica.Stamp(key)+1); err != nil {
		t.Fatal(err)
	}
	e := c.replica.Machines["m-1"]
	return e, c.own(e, "m-1")
}

func report(e *bk.Machine, tally protocol.Tally, pieces ...protocol.TaskReport) *protocol.Report {
	return &protocol.Report{Machine: "m-1", Addr: "a", Type: "s", Zone: "a", Session: e.Rec.Session, Tally: tally, FencingToken: e.Rec.FencingToken, Tasks: pieces}
}

// What keeps an assigned task from being started: a stop or a requeue of this
// attempt, not of an earlier one. (A stop whose task ended with its session once
// held back the task's next attempt on that machine for ever.)
func TestStartsHeldBack(t *testing.T) {
	for _, c := range []struct {
		name         string
		stop, barred protocol.Attempt
		deaf, want   bool
	}{
		{"nothing", 0, 0, false, true},
		{"stop of an earlier attempt", 4, 0, false, true},
		{"stop of this attempt", 5, 0, false, false},
		{"earlier attempt taken back", 0, 4, false, true},
		{"this attempt taken back", 0, 5, false, false},
		{"answers do not reach the worker", 0, 0, true, false},
	} {
		core, _ := begin(t)
		if _, err := core.replica.Put(bk.JobKey("j-1"), []byte(`{"d":{"uid":"j-1","shape":"batch","pieces":1,"cores":1}}`), 2); err != nil {
			t.Fatal(err)
		}
		task := protocol.Task{Job: "j-1"}
		rec := bk.MachineRecord{Type: "s", Zone: "a", Session: 2}
		rec.Assign(task, 5)
		e, m := own(t, core, rec)
		m.take(report(e, 1), core.now.Steady)
		if c.stop > 0 {
			m.stops[task] = stopOrder{try: c.stop}
		}
		if c.barred > 0 {
			m.barred[task] = c.barred
		}
		if c.deaf {
			m.deafAt = core.now.Steady
		}
		starts := 0
		for _, o := range core.orders(e, m, true) {
			if o.Verb == protocol.Start && o.Try == 5 {
				starts++
			}
		}
		if (starts == 1) != c.want {
			t.Errorf("%s: %d starts", c.name, starts)
		}
	}
}

// A machine is handed over for a report that its owner has not had, not for a
// copy of one that it has.
func TestSeenElsewhere(t *testing.T) {
	for _, c := range []struct {
		name    string
		session protocol.Session
		tally   protocol.Tally
		want    bool
	}{
		{"newer report", 2, 8, true},
		{"newer session", 3, 1, true},
		{"the same report", 2, 7, false},
		{"an earlier one", 2, 3, false},
		{"an earlier session", 1, 99, false},
	} {
		core, step := begin(t)
		e, m := own(t, core, bk.MachineRecord{Type: "s", Zone: "a", Session: 2})
		step(0, ReportInput{Req: 1, Body: protocol.Encode(report(e, 7))})
		if _, err := core.replica.Put(bk.MemberKey("stall-1"), []byte(`{"r":"stall-1#1"}`), 3); err != nil {
			t.Fatal(err)
		}
		step(0, HintInput{Hint{Member: "stall-1", Run: "stall-1#1", Seen: []Seen{{"m-1", c.session, c.tally}}}})
		if got := m.handTo == "stall-1#1"; got != c.want {
			t.Errorf("%s: handed over %v", c.name, got)
		}
	}
}

// Which node tells the load balancer that it can take requests.
func TestHealthy(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers int
		hints []bool // of other nodes: whether they reach the state service
		calls bool
		want  bool
	}{
		{"all is well", 2, nil, true, true},
		{"an outage that all see", 2, []bool{false, false}, false, true},
		{"it alone is cut off from the state service", 2, []bool{false, true}, false, false},
		{"it hears nobody at all", 2, nil, false, false},
		{"it is the only node", 0, nil, false, true},
	} {
		core, step := begin(t)
		core.cfg.Peers = c.peers
		for i := 0; i < 8; i++ {
			var err error
			if !c.calls {
				err = errOutcome
			}
			step(time.Second, ExtendResult{Hold: 7, Err: err})
			step(0, FollowResult{From: core.replica.Rev, News: &protocol.Followed{Rev: core.replica.Rev}, Err: err})
			for k, ok := range c.hints {
				step(0, HintInput{Hint{Member: protocol.Member(rune('a' + k)), StateOK: ok}})
			}
		}
		if got := core.Healthy(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A lease has surely expired only if the worker has shown this owner's epoch,
// counted from its last answered report: the machine's own part of the token
// changes nothing of that, a takeover changes everything.
func TestSurelyExpired(t *testing.T) {
	const epoch = 3 // as own writes it
	for _, c := range []struct {
		name      string
		confirmed protocol.FencingToken
		after     time.Duration
		want      bool
	}{
		{"within the lease", bk.Epoch(epoch).FencingToken(0), 13 * time.Second, false},
		{"at its end, clocks may drift", bk.Epoch(epoch).FencingToken(0), 14*time.Second + 300*time.Millisecond, false},
		{"behind it", bk.Epoch(epoch).FencingToken(0), 16 * time.Second, true},
		{"behind it, before the newest rise was shown", bk.Epoch(epoch).FencingToken(1), 16 * time.Second, true},
		{"the worker has shown an earlier owner's only", bk.Epoch(epoch - 1).FencingToken(9), 16 * time.Second, false},
	} {
		core, step := begin(t)
		e, m := own(t, core, bk.MachineRecord{Type: "s", Zone: "a", Session: 1, Bump: 2})
		r := report(e, 1)
		r.FencingToken = c.confirmed
		step(0, ReportInput{Req: 1, Body: protocol.Encode(r)})
		step(3*time.Second, Tick{}) // answered by now
		step(c.after-3*time.Second, ExtendResult{Hold: 7})
		if got := core.surelyExpired(m, &e.Rec); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A controller that stood still reads, when it goes on, answers that lay in its
// sockets, and nothing from workers that could not reach it: neither makes its
// replica fresh, nor its machines silent.
func TestStoodStill(t *testing.T) {
	for _, c := range []struct {
		name          string
		pause         time.Duration
		fresh, silent bool
	}{
		{"no pause", 100 * time.Millisecond, true, false},
		{"within its lease", 5 * time.Second, false, false},
		{"past all leases", 48 * time.Second, false, false},
	} {
		core, step := begin(t)
		e, m := own(t, core, bk.MachineRecord{Type: "s", Zone: "a", Session: 1})
		step(0, ReportInput{Req: 1, Body: protocol.Encode(report(e, 1))})
		for i := 0; i < 40; i++ { // all is asked for before the pause
			step(50*time.Millisecond, Tick{})
		}
		step(c.pause, FollowResult{From: core.replica.Rev, News: &protocol.Followed{Rev: core.replica.Rev}})
		step(0, ExtendResult{Hold: 7})
		step(0, Tick{})
		if core.fresh() != c.fresh || core.silent(m) != c.silent {
			t.Errorf("%s: fresh %v, silent %v", c.name, core.fresh(), core.silent(m))
		}
		for i := 0; i < 4; i++ { // and what is asked for now is answered
			step(600*time.Millisecond, Tick{})
			step(0, ExtendResult{Hold: 7})
			step(0, FollowResult{From: core.replica.Rev, News: &protocol.Followed{Rev: core.replica.Rev}})
		}
		if !core.fresh() {
			t.Errorf("%s: not fresh again", c.name)
		}
		for i := 0; i < 10; i++ {
			step(time.Second, Tick{})
		}
		if !core.silent(m) {
			t.Errorf("%s: silence behind the pause is not noticed", c.name)
		}
	}
}

// A node that has lost its workers gives their pages away whole, and what it must
// move machine by machine goes to pages that a value can hold. (Six hundred moved
// to one page were refused as malformed again and again.)
func TestHandOverMany(t *testing.T) {
	for _, c := range []struct {
		name  string
		pages int
		seen  int // of the 60 machines on each
		whole bool
		late  bool // the pages have changed hands since the machines were seen elsewhere
	}{{"most of each page", 2, 40, true, false}, {"some of each page", 6, 28, false, false}, {"of an earlier ownership", 2, 28, false, true}} {
		core, step := begin(t)
		step(0, FlavorsResult{Flavors: []protocol.Flavor{{Sku: "s", Cores: 4, MemGB: 8, Zones: []protocol.Zone{"a"}}}})
		if _, err := core.replica.Put(bk.MemberKey("stall-1"), []byte(`{"r":"stall-1#1"}`), 3); err != nil {
			t.Fatal(err)
		}
		var seen []Seen
		for p := 0; p < c.pages; p++ {
			var lines []string
			for i := 0; i < 60; i++ {
				id := protocol.MachineID(fmt.Sprintf("m-%06d", p*60+i))
				r := bk.MachineRecord{Addr: "10.1.0.1:9000", Type: "s", Zone: "a", Session: 1}
				for k := 0; k < 4; k++ {
					r.Assign(protocol.Task{Job: "j-000001", Index: 4*i + k}, protocol.Attempt(1000+k))
				}
				lines = append(lines, r.Line(id))
				if i < c.seen {
					seen = append(seen, Seen{id, 1, 9})
				}
			}
			if _, err := core.replica.Put(bk.PageKey(bk.PageID(fmt.Sprint("p-", p))), bk.EncodePage(core.run, 3, lines, nil), protocol.Stamp(4+p)); err != nil {
				t.Fatal(err)
			}
		}
		step(0, Tick{})
		for i := 0; i < 10; i++ { // all have fallen silent here
			step(600*time.Millisecond, Tick{})
			step(0, ExtendResult{Hold: 7})
		}
		step(0, HintInput{Hint{Member: "stall-1", Run: "stall-1#1", Seen: seen}})
		if c.late {
			for id, p := range core.replica.Pages {
				var lines []string
				for _, m := range p.Machines {
					lines = append(lines, core.replica.Line(m))
				}
				core.replica.Put(bk.PageKey(id), bk.EncodePage(core.run, 5, lines, nil), 99)
			}
		}
		b := core.newBatch(24)
		core.cfg.TxnOps = 24
		core.handOver(b)
		given, moved := 0, 0
		for id, d := range b.pages {
			if d.owner == core.run {
				continue
			}
			if d.owner == "" {
				t.Errorf("%s: a page is given to nobody", c.name)
			}
			if core.replica.Pages[id] != nil {
				given++
			} else {
				moved += len(d.ids)
			}
		}
		for _, then := range b.multi().Then {
			if len(then.Data) > core.cfg.ValueBytes {
				t.Errorf("%s: a value of %d bytes", c.name, len(then.Data))
			}
		}
		if (given > 0) != c.whole || (moved > 0) == (c.whole || c.late) {
			t.Errorf("%s: %d pages given, %d machines moved", c.name, given, moved)
		}
	}
}

// A process that begins in an outage takes requests, if only to send users away at
// once, unless it alone is cut off.
func TestHealthyInOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		hints []bool // of other nodes: whether they reach the state service
		want  bool
	}{
		{"not known yet", time.Second, []bool{false, false}, false},
		{"an outage that all see", 4 * time.Second, []bool{false, false}, true},
		{"it alone is cut off", 4 * time.Second, []bool{false, true}, false},
		{"it hears nobody", 4 * time.Second, nil, false},
	} {
		now := Now{Steady: 1, Wall: 1e12}
		core := New(Config{Member: "stall-0", Peers: 2, WriteRPS: 100, TxnOps: 8, ValueBytes: 8192, Tuning: DefaultTuning()}, now)
		for core.since(1) < c.after {
			core.Step(now, Tick{})
			core.Step(now, LoadResult{Err: errOutcome})
			for k, ok := range c.hints {
				core.Step(now, HintInput{Hint{Member: protocol.Member(rune('a' + k)), StateOK: ok}})
			}
			now.Steady = now.Steady.Add(500 * time.Millisecond)
			core.Step(now, Tick{})
		}
		if got := core.Healthy(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A page that has lost most of its machines is joined with another, with all that
// it knows to be done; never where a machine's token would fall.
func TestJoinPages(t *testing.T) {
	for _, c := range []struct {
		name           string
		small, large   int // machines on each
		eSmall, eLarge bk.Epoch
		want           bool
	}{
		{"one has few", 5, 30, 3, 3, true},
		{"the other's epoch is higher", 5, 30, 3, 4, true},
		{"the other's epoch is lower", 5, 30, 4, 3, false},
		{"both have many", 30, 30, 3, 3, false},
		{"the other is full", 5, 56, 3, 3, false},
	} {
		core, step := begin(t)
		step(0, FlavorsResult{Flavors: []protocol.Flavor{{Sku: "s", Cores: 4, MemGB: 8, Zones: []protocol.Zone{"a"}}}})
		n := 0
		put := func(id bk.PageID, epoch bk.Epoch, count int, done bk.Ranges) {
			var lines []string
			for range count {
				n++
				r := bk.MachineRecord{Addr: "10.1.0.1:9000", Type: "s", Zone: "a", Session: 1}
				lines = append(lines, r.Line(protocol.MachineID(fmt.Sprintf("m-%06d", n))))
			}
			data := bk.EncodePage(core.run, epoch, lines, map[protocol.JobID]bk.Ranges{"j-1": done})
			if _, err := core.replica.Put(bk.PageKey(id), data, 4); err != nil {
				t.Fatal(err)
			}
		}
		put("a", c.eSmall, c.small, bk.Range(0, 3))
		put("b", c.eLarge, c.large, bk.Range(4, 5))
		b := core.newBatch(8)
		core.joinPages(b)
		m := b.multi()
		if joined := len(m.Then) == 2; joined != c.want {
			t.Errorf("%s: joined %v", c.name, joined)
		}
		if !c.want {
			continue
		}
		for _, th := range m.Then {
			if th.Put != "" {
				core.replica.Put(th.Put, th.Data, 9)
			} else {
				core.replica.Delete(th.Delete, 9)
			}
		}
		if len(core.replica.Pages) != 1 || len(core.replica.Machines) != n || len(core.replica.Lost()) != 0 || core.replica.Done("j-1").String() != "0-5" {
			t.Errorf("%s: %d pages, %d of %d machines, done %s", c.name, len(core.replica.Pages), len(core.replica.Machines), n, core.replica.Done("j-1"))
		}
	}
}

// A machine that is merely slow is known by its tasks against others of their jobs.
func TestSlowMachine(t *testing.T) {
	for _, c := range []struct {
		name    string
		seconds []int // that its tasks run; others take 10
		before  bool  // its tasks had begun when this run took it over
		want    bool
	}{
		{"as others", []int{10, 11, 9, 10, 11, 10}, false, false},
		{"one long task", []int{10, 40, 10, 10, 10, 10}, false, false},
		{"all slow", []int{25, 24, 26, 25, 25, 26}, false, true},
		{"slow, not seen to begin", []int{25, 24, 26, 25, 25, 26}, true, false},
		{"was slow, has mended", []int{25, 25, 25, 25, 10, 10, 10, 10, 10, 10}, false, false},
	} {
		core, step := begin(t)
		e, m := own(t, core, bk.MachineRecord{Type: "s", Zone: "a", Session: 1})
		j := core.jstate("j-1")
		j.runs, j.runTime = 100, 1000*time.Second
		tally := protocol.Tally(0)
		beat := func(after int, pieces ...protocol.TaskReport) {
			tally++
			step(time.Duration(after)*time.Second, ReportInput{Req: ReqID(tally), Body: protocol.Encode(report(e, tally, pieces...))})
		}
		beat(0)
		for i, s := range c.seconds {
			if c.before {
				m.clear()
			}
			task := protocol.Task{Job: "j-1", Index: i}
			beat(1, protocol.TaskReport{Task: task, Try: 1, Stage: protocol.TaskRunning})
			beat(s, protocol.TaskReport{Task: task, Try: 1, Stage: protocol.Ended, Cause: protocol.CauseDone})
			core.paced(m, task)
		}
		if got := m.pace.slow(); got != c.want {
			t.Errorf("%s: slow %v, %.2f times", c.name, got, m.pace.ratio)
		}
	}
}

// A controller that computes several times slower than the others falls behind, says
// so, and gives pages away; a pause or a moment's peak is no reason.
func TestSlowController(t *testing.T) {
	for _, c := range []struct {
		name string
		gaps []time.Duration // of its ticks, each so often
		want bool
	}{
		{"in time", []time.Duration{50 * time.Millisecond}, false},
		{"slow all the while", []time.Duration{400 * time.Millisecond}, true},
		{"one pause", []time.Duration{4 * time.Second, 50 * time.Millisecond}, false},
	} {
		core, step := begin(t)
		if _, err := core.replica.Put(bk.MemberKey("stall-1"), []byte(`{"r":"stall-1#1"}`), 3); err != nil {
			t.Fatal(err)
		}
		own(t, core, bk.MachineRecord{Type: "s", Zone: "a", Session: 1})
		given := false
		for i := 0; i < 400; i++ {
			gap := c.gaps[min(i, len(c.gaps)-1)]
			step(0, ExtendResult{Hold: 7})
			step(0, FollowResult{From: core.replica.Rev, News: &protocol.Followed{Rev: core.replica.Rev}})
			step(0, HintInput{Hint{Member: "stall-1", Run: "stall-1#1", StateOK: true, Fit: true}})
			for _, e := range step(gap, Tick{}) {
				v, ok := e.(Commit)
				if !ok {
					continue
				}
				for _, th := range v.Multi.Then {
					given = given || th.Put == bk.PageKey("p") && strings.Contains(string(th.Data), "stall-1#1")
				}
				step(0, CommitResult{ID: v.ID, Outcome: bk.Applied, Answer: protocol.MultiAnswer{Rev: core.replica.Rev + 10}})
			}
		}
		if given != c.want || core.strained() != c.want {
			t.Errorf("%s: page given %v, strained %v", c.name, given, core.strained())
		}
	}
}
