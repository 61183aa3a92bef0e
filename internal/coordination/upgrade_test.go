package coordination

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

var announced = WriteLimits{RPS: 18, TxnOps: 4, ValueBytes: 2048}

// putMember makes a run of a controller live.
func putMember(t *testing.T, c *Core, member protocol.Member, reads bk.Format) {
	t.Helper()
	key := bk.MemberKey(member)
	run := bk.Run(fmt.Sprintf("%s#%d", member, c.replica.Stamp(key)+1))
	data := bk.JSON(bk.MemberRecord{Run: run, Reads: reads})
	if _, err := c.replica.Put(key, data, c.replica.Stamp(key)+100); err != nil {
		t.Fatal(err)
	}
	c.observeVersions()
}

// The format is raised only once every controller has been seen to read the packed one,
// and never while a run of an older version lives.
func TestFormatIsRaisedForAllOnly(t *testing.T) {
	const packed, plain, away = bk.FormatPacked, bk.FormatPlain, bk.Format(-1)
	for _, c := range []struct {
		name    string
		seen    []bk.Format // of the two others, earlier
		now     []bk.Format // and now
		none    bool        // no limits are announced
		refused bool        // a write within today's limits was refused
		want    bool
	}{
		{"all read it", []bk.Format{away, away}, []bk.Format{packed, packed}, false, false, true},
		{"no limits are announced", []bk.Format{away, away}, []bk.Format{packed, packed}, true, false, false},
		{"one is old", []bk.Format{away, away}, []bk.Format{packed, plain}, false, false, false},
		{"one has not been seen", []bk.Format{away, away}, []bk.Format{packed, away}, false, false, false},
		{"one was seen to read it and is away", []bk.Format{packed, packed}, []bk.Format{packed, away}, false, false, true},
		{"one came back old", []bk.Format{packed, packed}, []bk.Format{packed, plain}, false, false, false},
		{"the new limits hold, one has not been seen", []bk.Format{away, away}, []bk.Format{packed, away}, false, true, true},
		{"the new limits seem to hold, one is old", []bk.Format{away, away}, []bk.Format{packed, plain}, false, true, false},
	} {
		core, _ := begin(t)
		core.cfg.Members = []protocol.Member{"stall-1", "stall-2"}
		if !c.none {
			core.cfg.NextLimits = &announced
		}
		core.upgrade.refused = c.refused
		putMember(t, core, "stall-0", packed)
		for _, formats := range [][]bk.Format{c.seen, c.now} {
			for i, f := range formats {
				member := core.cfg.Members[i]
				if f == away {
					core.replica.Delete(bk.MemberKey(member), core.replica.Stamp(bk.MemberKey(member))+1)
				} else {
					putMember(t, core, member, f)
				}
			}
		}
		if got := core.mayRaiseFormat(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// The limits on what is written are today's until the format is raised, and the tighter
// of both from then on.
func TestLimitsFollowTheFormat(t *testing.T) {
	core, _ := begin(t)
	core.cfg.NextLimits = &WriteLimits{RPS: 1000, TxnOps: 4, ValueBytes: 2048}
	if got, want := core.limits(), (WriteLimits{RPS: 100, TxnOps: 8, ValueBytes: 8192}); got != want {
		t.Errorf("before: %+v", got)
	}
	core.replicaPut(bk.FormatKey, bk.JSON(bk.FormatRecord{Write: bk.FormatPacked}), 50)
	if got, want := core.limits(), (WriteLimits{RPS: 100, TxnOps: 4, ValueBytes: 2048}); got != want || core.txCap != 4 {
		t.Errorf("after: %+v, %d changes in a transaction", got, core.txCap)
	}
	value := func(n int) protocol.Then { return protocol.Then{Put: "k", Data: make([]byte, n)} }
	for _, c := range []struct {
		then []protocol.Then
		when int
		want bool
	}{
		{[]protocol.Then{value(2048), value(1), value(1), value(1)}, 16, true},
		{[]protocol.Then{value(2049)}, 1, false},
		{[]protocol.Then{value(1), value(1), value(1), value(1), value(1)}, 1, false},
		{[]protocol.Then{value(1)}, 17, false},
	} {
		if got := core.limits().keepsTo(&protocol.Multi{When: make([]protocol.When, c.when), Then: c.then}); got != c.want {
			t.Errorf("%d changes, %d conditions: %v", len(c.then), c.when, got)
		}
	}
}

// crowdedPage is a page as the version in production could leave it: near a value of
// 8 KiB, with nothing on it that packs well.
func crowdedPage(t *testing.T, c *Core, owner bk.Run) (machines int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(9, 9))
	var lines []string
	for size := 0; size < 7400; machines++ {
		m := bk.MachineRecord{Session: 1, Addr: "10.1.0.1:1", Type: "large", Zone: "a", Since: protocol.Millis(rng.Int64N(1 << 40))}
		for range 12 {
			m.Assign(protocol.Task{Job: protocol.JobID(fmt.Sprintf("j-%06d", rng.IntN(1e6))), Index: rng.IntN(1000)}, protocol.Attempt(rng.IntN(1000)))
		}
		lines = append(lines, m.Line(protocol.MachineID(fmt.Sprintf("m-%06d", machines))))
		size += len(lines[machines]) + 3
	}
	c.replicaPut(bk.PageKey("crowded"), bk.EncodePage(owner, 3, lines, map[protocol.JobID]bk.Ranges{"j-1": bk.Range(4, 9)}), 60)
	return machines
}

// A page that was written before the format was raised can neither be put as it is nor
// does it pack into one value. It is taken over, or rewritten by its owner, in parts that
// fit, in one transaction, with no machine lost and all tokens raised alike.
func TestCrowdedPageIsRewrittenInParts(t *testing.T) {
	for _, c := range []struct {
		name  string
		owner bk.Run
		epoch bk.Epoch
	}{{"of a dead run", "stall-1#1", 4}, {"of this run", "", 3}} {
		core, step := begin(t)
		core.cfg.NextLimits = &announced
		if c.owner == "" {
			c.owner = core.run
		}
		core.replicaPut(bk.FormatKey, bk.JSON(bk.FormatRecord{Write: bk.FormatPacked}), 50)
		machines := crowdedPage(t, core, c.owner)
		if ops := core.pageOps("crowded"); ops < 2 || ops > announced.TxnOps {
			t.Fatalf("%s: %d changes for a page of %d bytes", c.name, ops, core.replica.Pages["crowded"].Size)
		}
		var sent *protocol.Multi
		for i := 0; i < 400 && sent == nil; i++ {
			for _, e := range step(50*time.Millisecond, Tick{}) {
				if v, ok := e.(Commit); ok && len(v.Multi.Then) > 1 {
					sent = &v.Multi
				} else if ok {
					step(0, CommitResult{ID: v.ID, Outcome: bk.Applied, Answer: protocol.MultiAnswer{Rev: core.replica.Rev + 1}})
				}
			}
			step(0, ExtendResult{Hold: 7})
			step(0, FollowResult{From: core.replica.Rev, News: &protocol.Followed{Rev: core.replica.Rev}})
		}
		if sent == nil || !announced.keepsTo(sent) {
			t.Fatalf("%s: %+v", c.name, sent)
		}
		step(0, CommitResult{ID: core.tx.id, Outcome: bk.Applied, Answer: protocol.MultiAnswer{Rev: 70}})
		if len(core.replica.Machines) != machines {
			t.Errorf("%s: %d machines of %d are left", c.name, len(core.replica.Machines), machines)
		}
		for id, m := range core.replica.Machines {
			if m.Rec.Owner != core.run || m.Rec.Epoch != c.epoch || len(m.Rec.Assigned) == 0 {
				t.Errorf("%s: %s of %s at epoch %d", c.name, id, m.Rec.Owner, m.Rec.Epoch)
			}
		}
		if got := core.replica.Pages["crowded"].Done["j-1"]; got.Len() != 6 {
			t.Errorf("%s: done tasks are %v", c.name, got)
		}
	}
}

// A transaction that the state service calls too large is never sent again as it is, and
// shows that the announced limits hold if it kept to today's.
func TestTooLargeTransaction(t *testing.T) {
	core, _ := begin(t)
	core.cfg.NextLimits = &announced
	small := &protocol.Multi{Then: []protocol.Then{{Put: "k", Data: make([]byte, 100)}}}
	large := &protocol.Multi{Then: []protocol.Then{{Put: "k", Data: make([]byte, 3000)}}}
	before := core.txCap
	if core.tooLarge(small); core.upgrade.refused {
		t.Error("a small transaction that is refused says nothing of the limits")
	}
	if core.tooLarge(large); !core.upgrade.refused || core.txCap >= before || core.txCap < minTxnOps {
		t.Errorf("refused %v, %d changes in the next one", core.upgrade.refused, core.txCap)
	}
}

// Jobs whose description would not leave room in a record are refused for good.
func TestLongDescription(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	random := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte('!' + rng.IntN(90))
		}
		return string(b)
	}
	for _, c := range []struct {
		types int
		next  *WriteLimits
		want  bool
	}{{1, &announced, true}, {50, &announced, false}, {30, nil, true}} {
		core, _ := begin(t)
		core.cfg.NextLimits = c.next
		j := &protocol.Job{UID: "j-1", Class: "l", Team: "core", Shape: protocol.Batch, Rank: "low", Tasks: 1, Image: "b"}
		for range c.types {
			j.Types = append(j.Types, protocol.Sku(random(100)))
		}
		if got := core.recordFits(j); got != c.want {
			t.Errorf("%d types: %v", c.types, got)
		}
	}
}

// A replica that ends soon after its placement, on whoever's machine, is paused ever
// longer, up to a bound; one that has run for a while begins anew at once, and so does
// one whose machine has begun a new session.
func TestReplicaPauses(t *testing.T) {
	c, step := begin(t)
	job := bk.JobRecord{Desc: &protocol.Job{UID: "j-1", Shape: protocol.Daemon, Tasks: 1}}
	c.replicaPut(bk.JobKey("j-1"), bk.JSON(job), 40)
	rec := bk.MachineRecord{Session: 1, Type: "small", Zone: "a"}
	stamp := protocol.Stamp(50)
	put := func(try protocol.Attempt) {
		r := rec
		if r.Assigned = nil; try > 0 {
			r.Assign(protocol.Task{Job: "j-1"}, try)
		}
		stamp++
		c.replicaPut(bk.PageKey("p"), bk.EncodePage("stall-1#1", 3, []string{r.Line("m-1")}, nil), stamp)
	}
	pause := func() time.Duration { return c.jstate("j-1").notBefore.Sub(c.now.Steady) }
	before := time.Duration(0)
	for try := range protocol.Attempt(12) {
		put(try + 1)
		step(time.Second, Tick{})
		put(0)
		if got := pause(); got < before || got <= 0 || got > maxPause || try == 11 && got != maxPause {
			t.Errorf("end %d: %v after %v", try, got, before)
		}
		before = pause()
	}
	for _, c := range []struct {
		name string
		end  func()
	}{
		{"it has run", func() {
			step(quickEnd+time.Second, Tick{})
			put(0)
		}},
		{"a new session", func() {
			rec.Session++
			put(0)
		}},
	} {
		put(99)
		c.end()
		if got := pause(); got > 0 {
			t.Errorf("%s: paused for %v", c.name, got)
		}
	}
}

// What this run is responsible for is rewritten unasked once the format is raised: a page
// as one packed value instead of two halves, and a job whose done tasks have many gaps.
func TestOwnRecordsAreRepacked(t *testing.T) {
	core, step := begin(t)
	core.cfg.NextLimits = &announced
	var lines []string
	for i := range 60 {
		m := bk.MachineRecord{Session: 1, Addr: fmt.Sprintf("10.1.0.%d:9000", i), Type: "small", Zone: "a", Since: 1e12}
		lines = append(lines, m.Line(protocol.MachineID(fmt.Sprintf("m-%06d", i))))
	}
	core.replicaPut(bk.PageKey("idle"), bk.EncodePage(core.run, 3, lines, nil), 40)
	var done bk.Ranges
	for n := 0; n < 1800; n += 2 {
		done = done.Add(n)
	}
	job := bk.JobRecord{Desc: &protocol.Job{UID: "j-1", Class: "l", Team: "core", Shape: protocol.Batch, Rank: "low", Tasks: 1800, Cores: 1},
		Claim: core.run, Next: 1024, Done: done}
	core.replicaPut(bk.JobKey("j-1"), bk.JSON(job), 41)
	core.replicaPut(bk.FormatKey, bk.JSON(bk.FormatRecord{Write: bk.FormatPacked}), 50)
	pages, jobs := 0, 0
	for range 20 {
		for _, e := range step(50*time.Millisecond, Tick{}) {
			v, ok := e.(Commit)
			if !ok {
				continue
			}
			if !announced.keepsTo(&v.Multi) {
				t.Errorf("too large: %d changes", len(v.Multi.Then))
			}
			for _, then := range v.Multi.Then {
				switch then.Put {
				case bk.PageKey("idle"):
					pages++
				case bk.JobKey("j-1"):
					jobs++
				}
			}
			step(0, CommitResult{ID: v.ID, Outcome: bk.Applied, Answer: protocol.MultiAnswer{Rev: core.replica.Rev + 60}})
		}
		step(0, FollowResult{From: core.replica.Rev, News: &protocol.Followed{Rev: core.replica.Rev + 61}})
	}
	if pages != 1 || jobs == 0 || len(core.replica.Pages) != 1 || core.replica.Done("j-1").String() != done.String() {
		t.Errorf("the page is written %d times, the job %d times; %d pages", pages, jobs, len(core.replica.Pages))
	}
}
