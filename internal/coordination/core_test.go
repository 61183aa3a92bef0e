package coordination

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// newReadyCore brings a core to the point where it is registered and up to date.
func newReadyCore(t *testing.T) (*Core, func(after time.Duration, in step.Input) []step.Effect) {
	t.Helper()
	now := step.Now{Monotonic: 1, Wall: 1e12}
	cfg := step.Config{ControllerID: "stall-0", Quotas: map[string]step.Quota{"core": {}}, HeartbeatInterval: 2 * time.Second, AgentLeaseTTL: 14 * time.Second,
		CancelTimeout: 40 * time.Second, WritesPerSecond: 100, TransactionOps: 8, ValueBytes: 8192, Tuning: step.DefaultTuning()}
	c := New(cfg, now)
	advance := func(after time.Duration, in step.Input) []step.Effect {
		now.Monotonic = now.Monotonic.Add(after)
		now.Wall += protocol.Millis(after.Milliseconds())
		return c.Step(now, in)
	}
	advance(0, step.Tick{})
	advance(0, step.GrantLeaseResult{LeaseID: 7})
	advance(0, step.LoadRecordsResult{StartRevision: 1, EndRevision: 1})
	advance(0, step.CommitResult{ID: c.commit.Commits.PendingTransaction.ID, Outcome: storage.OutcomeApplied, Result: protocol.TransactionResult{Revision: 2}})
	advance(0, step.WatchResult{AfterRevision: 1, Response: &protocol.WatchResponse{Revision: 2}})
	if !c.commit.Lease.IsRegistered() || !c.commit.Replication.IsUpToDate() {
		t.Fatal("the core does not begin")
	}
	return c, advance
}

// New starts rest on a replica that is known to be up to date. Answered calls
// alone do not show that: the watch may stand still while a job is withdrawn.
func TestIsUpToDate(t *testing.T) {
	for _, c := range []struct {
		name          string
		calls, follow bool
		want          bool
	}{
		{"all answers", true, true, true},
		{"the watch stands still", true, false, false},
		{"nothing answers", false, false, false},
	} {
		core, advance := newReadyCore(t)
		for i := 0; i < 10; i++ {
			advance(time.Second, step.Tick{})
			if c.calls {
				advance(0, step.RenewLeaseResult{LeaseID: 7})
			} else {
				advance(0, step.RenewLeaseResult{LeaseID: 7, Err: commit.ErrNoUsableResponse})
			}
			if c.follow {
				advance(0, step.WatchResult{AfterRevision: core.Replica.Revision, Response: &protocol.WatchResponse{Revision: core.Replica.Revision}})
			}
		}
		if got := core.commit.Replication.IsUpToDate(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A transaction without outcome is followed by a fence, and by nothing else
// before the replica has all that was written until then.
func TestWriteBarrierAfterUnknownOutcome(t *testing.T) {
	c, advance := newReadyCore(t)
	advance(0, step.ListMachineTypesResult{MachineTypes: []protocol.MachineType{{Name: "s", Cores: 4, MemoryGB: 8, Zones: []protocol.Zone{"a"}}}})
	submit := func() []step.Effect {
		return advance(time.Second, step.UserInput{RequestID: 1, Type: protocol.RequestSubmit, Body: []byte(`{"uid":"j-1","lane":"l","desk":"core","shape":"batch","rank":"low",
"pieces":1,"cores":1,"accelerators":0,"mem_gb":1,"bundle":"b","pull_gb":0,"together":false,"scatter":false,"loaners":false,"reckon_s":1,"bookmark_s":0,"stow_s":0}`)})
	}
	commits := func(out []step.Effect) (n int, keys []string) {
		for _, e := range out {
			if v, ok := e.(step.Commit); ok {
				n++
				for _, t := range v.Transaction.Operations {
					keys = append(keys, t.PutKey)
				}
			}
		}
		return n, keys
	}
	if n, keys := commits(submit()); n != 1 || keys[0] != storage.JobKey("j-1") {
		t.Fatalf("%d commits of %v", n, keys)
	}
	// Whatever is sent rests on this run's own key: once that has gone, nothing
	// that is still on its way is applied.
	if !slices.Contains(c.commit.Commits.PendingUserTransaction.Transaction.Conditions, protocol.Condition{Key: storage.ControllerKey("stall-0"), ModRevision: c.commit.Lease.RegistrationRevision}) {
		t.Errorf("the transaction does not depend on the run's key: %v", c.commit.Commits.PendingUserTransaction.Transaction.Conditions)
	}
	advance(0, step.CommitResult{ID: c.commit.Commits.PendingUserTransaction.ID, Outcome: storage.OutcomeUnknown, Err: commit.ErrNoUsableResponse})
	advance(time.Second, step.RenewLeaseResult{LeaseID: 7})
	if c.commit.Commits.PendingTransaction == nil || !c.commit.Commits.PendingTransaction.IsWriteBarrier || c.commit.Commits.PendingTransaction.Transaction.Operations[0].PutKey != storage.ControllerKey("stall-0") || c.commit.Commits.PendingTransaction.Transaction.Operations[0].Lease != 7 {
		t.Fatalf("no fence: %+v", c.commit.Commits.PendingTransaction)
	}
	out := advance(0, step.CommitResult{ID: c.commit.Commits.PendingTransaction.ID, Outcome: storage.OutcomeApplied, Result: protocol.TransactionResult{Revision: 9}})
	out = append(out, submit()...)
	if n, keys := commits(out); n != 0 {
		t.Fatalf("%v is written before the replica is at the fence", keys)
	}
	if n, _ := commits(advance(0, step.WatchResult{AfterRevision: c.Replica.Revision, Response: &protocol.WatchResponse{Revision: 9}})); n != 1 {
		t.Fatal("nothing is written behind the fence")
	}
}

// addOwnedMachine gives the core a shard with one machine, and the state of that machine.
func addOwnedMachine(t *testing.T, c *Core, rec storage.MachineRecord) (*storage.Machine, *agents.MachineState) {
	t.Helper()
	key := storage.ShardKey("p")
	if _, err := c.Replica.Put(key, storage.EncodePlainShard(c.commit.Lease.Incarnation(), 3, []string{rec.EncodeLine("m-1")}, nil), c.Replica.ModRevision(key)+1); err != nil {
		t.Fatal(err)
	}
	machine := c.Replica.Machines["m-1"]
	return machine, c.agents.Table.TrackOwnedMachine(machine, "m-1")
}

func newHeartbeat(machine *storage.Machine, sequence protocol.Sequence, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "m-1", Addr: "a", Type: "s", Zone: "a", AgentEpoch: machine.Record.AgentEpoch, Sequence: sequence, FencingToken: machine.Record.FencingToken, Tasks: tasks}
}

// A controller whose process was paused reads, when it resumes, answers that lay in its
// sockets, and nothing from agents that could not reach it: neither makes its
// replica up to date, nor its machines silent.
func TestProcessPause(t *testing.T) {
	for _, c := range []struct {
		name               string
		pause              time.Duration
		isUpToDate, silent bool
	}{
		{"no pause", 100 * time.Millisecond, true, false},
		{"within its lease", 5 * time.Second, false, false},
		{"past all leases", 48 * time.Second, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			watch := func(after time.Duration) {
				revision := core.Replica.Revision
				advance(after, step.WatchResult{AfterRevision: revision, Response: &protocol.WatchResponse{Revision: revision}})
			}
			entry, m := addOwnedMachine(t, core, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1})
			advance(0, step.HeartbeatInput{RequestID: 1, Body: protocol.Encode(newHeartbeat(entry, 1))})
			for range 40 { // all is requested before the pause
				advance(50*time.Millisecond, step.Tick{})
			}
			watch(c.pause)
			advance(0, step.RenewLeaseResult{LeaseID: 7})
			advance(0, step.Tick{})
			isUpToDate, silent := core.commit.Replication.IsUpToDate(), core.agents.Table.IsSilent(m)
			if isUpToDate != c.isUpToDate || silent != c.silent {
				t.Errorf("up to date %v, silent %v", isUpToDate, silent)
			}
			for range 4 { // and what is requested now is answered
				advance(600*time.Millisecond, step.Tick{})
				advance(0, step.RenewLeaseResult{LeaseID: 7})
				watch(0)
			}
			if !core.commit.Replication.IsUpToDate() {
				t.Error("not up to date again")
			}
			for range 10 {
				advance(time.Second, step.Tick{})
			}
			if !core.agents.Table.IsSilent(m) {
				t.Error("silence behind the pause is not noticed")
			}
		})
	}
}

// A page that has lost most of its machines is joined with another, with all that
// it knows to be done; never where a machine's token would fall.
func TestMergeShards(t *testing.T) {
	for _, c := range []struct {
		name           string
		small, large   int // machines on each
		eSmall, eLarge storage.ShardEpoch
		want           bool
	}{
		{"one has few", 5, 30, 3, 3, true},
		{"the other's epoch is higher", 5, 30, 3, 4, true},
		{"the other's epoch is lower", 5, 30, 4, 3, false},
		{"both have many", 30, 30, 3, 3, false},
		{"the other is full", 5, 56, 3, 3, false},
	} {
		core, advance := newReadyCore(t)
		advance(0, step.ListMachineTypesResult{MachineTypes: []protocol.MachineType{{Name: "s", Cores: 4, MemoryGB: 8, Zones: []protocol.Zone{"a"}}}})
		n := 0
		put := func(id storage.ShardID, epoch storage.ShardEpoch, count int, done storage.TaskSet) {
			var lines []string
			for range count {
				n++
				r := storage.MachineRecord{Address: "10.1.0.1:9000", MachineType: "s", Zone: "a", AgentEpoch: 1}
				lines = append(lines, r.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%06d", n))))
			}
			data := storage.EncodePlainShard(core.commit.Lease.Incarnation(), epoch, lines, map[protocol.JobID]storage.TaskSet{"j-1": done})
			if _, err := core.Replica.Put(storage.ShardKey(id), data, 4); err != nil {
				t.Fatal(err)
			}
		}
		put("a", c.eSmall, c.small, storage.TaskRange(0, 3))
		put("b", c.eLarge, c.large, storage.TaskRange(4, 5))
		b := core.commit.Shards.NewBatch(8)
		core.commit.Shards.MergeShards(b)
		transaction := b.Transaction()
		if merged := len(transaction.Operations) == 2; merged != c.want {
			t.Errorf("%s: joined %v", c.name, merged)
		}
		if !c.want {
			continue
		}
		for _, operation := range transaction.Operations {
			if operation.PutKey != "" {
				core.Replica.Put(operation.PutKey, operation.Value, 9)
			} else {
				core.Replica.Delete(operation.DeleteKey, 9)
			}
		}
		if len(core.Replica.Shards) != 1 || len(core.Replica.Machines) != n || len(core.Replica.PopRemovedMachines()) != 0 || core.Replica.CompletedTasks("j-1").String() != "0-5" {
			t.Errorf("%s: %d pages, %d of %d machines, done %s", c.name, len(core.Replica.Shards), len(core.Replica.Machines), n, core.Replica.CompletedTasks("j-1"))
		}
	}
}
