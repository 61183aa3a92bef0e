package coordination

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/scheduling"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

var announcedLimits = step.WriteLimits{WritesPerSecond: 18, TransactionOps: 4, ValueBytes: 2048}

// putController makes a run of a controller live.
func putController(t *testing.T, c *Core, controllerID protocol.ControllerID, readFormat storage.Format) {
	t.Helper()
	key := storage.ControllerKey(controllerID)
	incarnation := storage.Incarnation(fmt.Sprintf("%s#%d", controllerID, c.ctx.Replica.ModRevision(key)+1))
	data := storage.MustMarshal(storage.ControllerRecord{Incarnation: incarnation, ReadableFormat: readFormat})
	if _, err := c.ctx.Replica.Put(key, data, c.ctx.Replica.ModRevision(key)+100); err != nil {
		t.Fatal(err)
	}
	c.commit.Upgrade.RecordFormatSupport()
}

// The format is raised only once every controller has been seen to read the packed one,
// and never while a run of an older version lives.
func TestFormatRaisedOnlyWhenAllCanRead(t *testing.T) {
	const packed, plain, absent = storage.FormatPacked, storage.FormatPlain, storage.Format(-1)
	for _, c := range []struct {
		name    string
		seen    []storage.Format // of the two others, earlier
		now     []storage.Format // and now
		none    bool             // no limits are announced
		refused bool             // a write within today's limits was refused
		want    bool
	}{
		{"all read it", []storage.Format{absent, absent}, []storage.Format{packed, packed}, false, false, true},
		{"no limits are announced", []storage.Format{absent, absent}, []storage.Format{packed, packed}, true, false, false},
		{"one is old", []storage.Format{absent, absent}, []storage.Format{packed, plain}, false, false, false},
		{"one has not been seen", []storage.Format{absent, absent}, []storage.Format{packed, absent}, false, false, false},
		{"one was seen to read it and is away", []storage.Format{packed, packed}, []storage.Format{packed, absent}, false, false, true},
		{"one came back old", []storage.Format{packed, packed}, []storage.Format{packed, plain}, false, false, false},
		{"the new limits hold, one has not been seen", []storage.Format{absent, absent}, []storage.Format{packed, absent}, false, true, true},
		{"the new limits seem to hold, one is old", []storage.Format{absent, absent}, []storage.Format{packed, plain}, false, true, false},
	} {
		core, _ := newReadyCore(t)
		core.ctx.Config.PeerIDs = []protocol.ControllerID{"stall-1", "stall-2"}
		if !c.none {
			core.ctx.Config.AnnouncedLimits = &announcedLimits
		}
		core.commit.Upgrade.AreAnnouncedLimitsActive = c.refused
		putController(t, core, "stall-0", packed)
		for _, formats := range [][]storage.Format{c.seen, c.now} {
			for i, f := range formats {
				controllerID := core.ctx.Config.PeerIDs[i]
				if f == absent {
					core.ctx.Replica.Delete(storage.ControllerKey(controllerID), core.ctx.Replica.ModRevision(storage.ControllerKey(controllerID))+1)
				} else {
					putController(t, core, controllerID, f)
				}
			}
		}
		if got := core.commit.Upgrade.CanRaiseFormat(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// The limits on what is written are today's until the format is raised, and the tighter
// of both from then on.
func TestWriteLimitsFollowFormat(t *testing.T) {
	core, _ := newReadyCore(t)
	core.ctx.Config.AnnouncedLimits = &step.WriteLimits{WritesPerSecond: 1000, TransactionOps: 4, ValueBytes: 2048}
	if got, want := core.commit.Limits.WriteLimits(), (step.WriteLimits{WritesPerSecond: 100, TransactionOps: 8, ValueBytes: 8192}); got != want {
		t.Errorf("before: %+v", got)
	}
	core.commit.Replication.PutInReplica(storage.FormatKey, storage.MustMarshal(storage.FormatRecord{WriteFormat: storage.FormatPacked}), 50)
	if got, want := core.commit.Limits.WriteLimits(), (step.WriteLimits{WritesPerSecond: 100, TransactionOps: 4, ValueBytes: 2048}); got != want || core.commit.Limits.MaxTransactionOps != 4 {
		t.Errorf("after: %+v, %d changes in a transaction", got, core.commit.Limits.MaxTransactionOps)
	}
	value := func(n int) protocol.Operation { return protocol.Operation{PutKey: "k", Value: make([]byte, n)} }
	for _, c := range []struct {
		then []protocol.Operation
		when int
		want bool
	}{
		{[]protocol.Operation{value(2048), value(1), value(1), value(1)}, 16, true},
		{[]protocol.Operation{value(2049)}, 1, false},
		{[]protocol.Operation{value(1), value(1), value(1), value(1), value(1)}, 1, false},
		{[]protocol.Operation{value(1)}, 17, false},
	} {
		if got := core.commit.Limits.WriteLimits().Allows(&protocol.Transaction{Conditions: make([]protocol.Condition, c.when), Operations: c.then}); got != c.want {
			t.Errorf("%d changes, %d conditions: %v", len(c.then), c.when, got)
		}
	}
}

// putOversizedShard is a page as the version in production could leave it: near a value of
// 8 KiB, with nothing on it that packs well.
func putOversizedShard(t *testing.T, c *Core, owner storage.Incarnation) (machines int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(9, 9))
	var lines []string
	for size := 0; size < 7400; machines++ {
		m := storage.MachineRecord{AgentEpoch: 1, Address: "10.1.0.1:1", MachineType: "large", Zone: "a", AddedAt: protocol.Millis(rng.Int64N(1 << 40))}
		for range 12 {
			m.Assign(protocol.Task{Job: protocol.JobID(fmt.Sprintf("j-%06d", rng.IntN(1e6))), Index: rng.IntN(1000)}, protocol.Attempt(rng.IntN(1000)))
		}
		lines = append(lines, m.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%06d", machines))))
		size += len(lines[machines]) + 3
	}
	c.commit.Replication.PutInReplica(storage.ShardKey("crowded"), storage.EncodePlainShard(owner, 3, lines, map[protocol.JobID]storage.TaskSet{"j-1": storage.TaskRange(4, 9)}), 60)
	return machines
}

// A page that was written before the format was raised can neither be put as it is nor
// does it pack into one value. It is taken over, or rewritten by its owner, in parts that
// fit, in one transaction, with no machine lost and all tokens raised alike.
func TestOversizedShardIsSplitOnRewrite(t *testing.T) {
	for _, c := range []struct {
		name  string
		owner storage.Incarnation
		epoch storage.ShardEpoch
	}{{"of a dead run", "stall-1#1", 4}, {"of this run", "", 3}} {
		core, advance := newReadyCore(t)
		core.ctx.Config.AnnouncedLimits = &announcedLimits
		if c.owner == "" {
			c.owner = core.commit.Lease.Incarnation()
		}
		core.commit.Replication.PutInReplica(storage.FormatKey, storage.MustMarshal(storage.FormatRecord{WriteFormat: storage.FormatPacked}), 50)
		machines := putOversizedShard(t, core, c.owner)
		if ops := core.commit.Shards.ShardWriteOps("crowded"); ops < 2 || ops > announcedLimits.TransactionOps {
			t.Fatalf("%s: %d changes for a page of %d bytes", c.name, ops, core.ctx.Replica.Shards["crowded"].EncodedSize)
		}
		var sent *protocol.Transaction
		for i := 0; i < 400 && sent == nil; i++ {
			for _, e := range advance(50*time.Millisecond, step.Tick{}) {
				if v, ok := e.(step.Commit); ok && len(v.Transaction.Operations) > 1 {
					sent = &v.Transaction
				} else if ok {
					advance(0, step.CommitResult{ID: v.ID, Outcome: storage.OutcomeApplied, Result: protocol.TransactionResult{Revision: core.ctx.Replica.Revision + 1}})
				}
			}
			advance(0, step.RenewLeaseResult{LeaseID: 7})
			advance(0, step.WatchResult{AfterRevision: core.ctx.Replica.Revision, Response: &protocol.WatchResponse{Revision: core.ctx.Replica.Revision}})
		}
		if sent == nil || !announcedLimits.Allows(sent) {
			t.Fatalf("%s: %+v", c.name, sent)
		}
		advance(0, step.CommitResult{ID: core.commit.Commits.PendingTransaction.ID, Outcome: storage.OutcomeApplied, Result: protocol.TransactionResult{Revision: 70}})
		if len(core.ctx.Replica.Machines) != machines {
			t.Errorf("%s: %d machines of %d are left", c.name, len(core.ctx.Replica.Machines), machines)
		}
		for id, m := range core.ctx.Replica.Machines {
			if m.Record.Owner != core.commit.Lease.Incarnation() || m.Record.ShardEpoch != c.epoch || len(m.Record.Assignments) == 0 {
				t.Errorf("%s: %s of %s at epoch %d", c.name, id, m.Record.Owner, m.Record.ShardEpoch)
			}
		}
		if got := core.ctx.Replica.Shards["crowded"].CompletedTasks["j-1"]; got.Len() != 6 {
			t.Errorf("%s: done tasks are %v", c.name, got)
		}
	}
}

// A transaction that the state service calls too large is never sent again as it is, and
// shows that the announced limits hold if it kept to today's.
func TestTooLargeTransaction(t *testing.T) {
	core, _ := newReadyCore(t)
	core.ctx.Config.AnnouncedLimits = &announcedLimits
	small := &protocol.Transaction{Operations: []protocol.Operation{{PutKey: "k", Value: make([]byte, 100)}}}
	large := &protocol.Transaction{Operations: []protocol.Operation{{PutKey: "k", Value: make([]byte, 3000)}}}
	before := core.commit.Limits.MaxTransactionOps
	if core.commit.Upgrade.OnTransactionTooLarge(small); core.commit.Upgrade.AreAnnouncedLimitsActive {
		t.Error("a small transaction that is refused says nothing of the limits")
	}
	if core.commit.Upgrade.OnTransactionTooLarge(large); !core.commit.Upgrade.AreAnnouncedLimitsActive || core.commit.Limits.MaxTransactionOps >= before || core.commit.Limits.MaxTransactionOps < commit.MinTransactionOps {
		t.Errorf("refused %v, %d changes in the next one", core.commit.Upgrade.AreAnnouncedLimitsActive, core.commit.Limits.MaxTransactionOps)
	}
}

// Jobs whose description would not leave room in a record are refused for good.
func TestOversizedJobRejected(t *testing.T) {
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
		next  *step.WriteLimits
		want  bool
	}{{1, &announcedLimits, true}, {50, &announcedLimits, false}, {30, nil, true}} {
		core, _ := newReadyCore(t)
		core.ctx.Config.AnnouncedLimits = c.next
		j := &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "low", TaskCount: 1, Image: "b"}
		for range c.types {
			j.MachineTypes = append(j.MachineTypes, protocol.MachineTypeName(random(100)))
		}
		if got := core.requests.Users.JobRecordFits(j); got != c.want {
			t.Errorf("%d types: %v", c.types, got)
		}
	}
}

// A replica that ends soon after its placement, on whoever's machine, is paused ever
// longer, up to a bound; one that has run for a while begins anew at once, and so does
// one whose machine has begun a new session.
func TestReplicaRestartBackoff(t *testing.T) {
	c, advance := newReadyCore(t)
	job := storage.JobRecord{Spec: &protocol.Job{ID: "j-1", Kind: protocol.KindService, TaskCount: 1}}
	c.commit.Replication.PutInReplica(storage.JobKey("j-1"), storage.MustMarshal(job), 40)
	rec := storage.MachineRecord{AgentEpoch: 1, MachineType: "small", Zone: "a"}
	modRevision := protocol.ModRevision(50)
	put := func(attempt protocol.Attempt) {
		r := rec
		if r.Assignments = nil; attempt > 0 {
			r.Assign(protocol.Task{Job: "j-1"}, attempt)
		}
		modRevision++
		c.commit.Replication.PutInReplica(storage.ShardKey("p"), storage.EncodePlainShard("stall-1#1", 3, []string{r.EncodeLine("m-1")}, nil), modRevision)
	}
	backoff := func() time.Duration { return c.agents.Jobs.JobState("j-1").NotBefore.Sub(c.ctx.Now.Monotonic) }
	before := time.Duration(0)
	for attempt := range protocol.Attempt(12) {
		put(attempt + 1)
		advance(time.Second, step.Tick{})
		put(0)
		if got := backoff(); got < before || got <= 0 || got > scheduling.MaxRestartBackoff || attempt == 11 && got != scheduling.MaxRestartBackoff {
			t.Errorf("end %d: %v after %v", attempt, got, before)
		}
		before = backoff()
	}
	for _, c := range []struct {
		name string
		end  func()
	}{
		{"it has run", func() {
			advance(scheduling.EarlyExitWindow+time.Second, step.Tick{})
			put(0)
		}},
		{"a new session", func() {
			rec.AgentEpoch++
			put(0)
		}},
	} {
		put(99)
		c.end()
		if got := backoff(); got > 0 {
			t.Errorf("%s: paused for %v", c.name, got)
		}
	}
}

// What this run is responsible for is rewritten unasked once the format is raised: a page
// as one packed value instead of two halves, and a job whose done tasks have many gaps.
func TestOwnedRecordsAreReencoded(t *testing.T) {
	core, advance := newReadyCore(t)
	core.ctx.Config.AnnouncedLimits = &announcedLimits
	var lines []string
	for i := range 60 {
		m := storage.MachineRecord{AgentEpoch: 1, Address: fmt.Sprintf("10.1.0.%d:9000", i), MachineType: "small", Zone: "a", AddedAt: 1e12}
		lines = append(lines, m.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%06d", i))))
	}
	core.commit.Replication.PutInReplica(storage.ShardKey("idle"), storage.EncodePlainShard(core.commit.Lease.Incarnation(), 3, lines, nil), 40)
	var done storage.TaskSet
	for n := 0; n < 1800; n += 2 {
		done = done.Add(n)
	}
	job := storage.JobRecord{Spec: &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "low", TaskCount: 1800, Cores: 1},
		Owner: core.commit.Lease.Incarnation(), NextAttempt: 1024, CompletedTasks: done}
	core.commit.Replication.PutInReplica(storage.JobKey("j-1"), storage.MustMarshal(job), 41)
	core.commit.Replication.PutInReplica(storage.FormatKey, storage.MustMarshal(storage.FormatRecord{WriteFormat: storage.FormatPacked}), 50)
	shardWrites, jobWrites := 0, 0
	for range 20 {
		for _, e := range advance(50*time.Millisecond, step.Tick{}) {
			v, ok := e.(step.Commit)
			if !ok {
				continue
			}
			if !announcedLimits.Allows(&v.Transaction) {
				t.Errorf("too large: %d changes", len(v.Transaction.Operations))
			}
			for _, operation := range v.Transaction.Operations {
				switch operation.PutKey {
				case storage.ShardKey("idle"):
					shardWrites++
				case storage.JobKey("j-1"):
					jobWrites++
				}
			}
			advance(0, step.CommitResult{ID: v.ID, Outcome: storage.OutcomeApplied, Result: protocol.TransactionResult{Revision: core.ctx.Replica.Revision + 60}})
		}
		advance(0, step.WatchResult{AfterRevision: core.ctx.Replica.Revision, Response: &protocol.WatchResponse{Revision: core.ctx.Replica.Revision + 61}})
	}
	if shardWrites != 1 || jobWrites == 0 || len(core.ctx.Replica.Shards) != 1 || core.ctx.Replica.CompletedTasks("j-1").String() != done.String() {
		t.Errorf("the page is written %d times, the job %d times; %d pages", shardWrites, jobWrites, len(core.ctx.Replica.Shards))
	}
}
