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
				advance(0, step.WatchResult{AfterRevision: core.ctx.Replica.Revision, Response: &protocol.WatchResponse{Revision: core.ctx.Replica.Revision}})
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
	if n, _ := commits(advance(0, step.WatchResult{AfterRevision: c.ctx.Replica.Revision, Response: &protocol.WatchResponse{Revision: 9}})); n != 1 {
		t.Fatal("nothing is written behind the fence")
	}
}

// addOwnedMachine gives the core a page with one machine, and the state of that machine.
func addOwnedMachine(t *testing.T, c *Core, rec storage.MachineRecord) (*storage.Machine, *agents.MachineState) {
	t.Helper()
	key := storage.ShardKey("p")
	if _, err := c.ctx.Replica.Put(key, storage.EncodePlainShard(c.commit.Lease.Incarnation(), 3, []string{rec.EncodeLine("m-1")}, nil), c.ctx.Replica.ModRevision(key)+1); err != nil {
		t.Fatal(err)
	}
	machine := c.ctx.Replica.Machines["m-1"]
	return machine, c.agents.Table.TrackOwnedMachine(machine, "m-1")
}

func newHeartbeat(machine *storage.Machine, sequence protocol.Sequence, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "m-1", Addr: "a", Type: "s", Zone: "a", AgentEpoch: machine.Record.AgentEpoch, Sequence: sequence, FencingToken: machine.Record.FencingToken, Tasks: tasks}
}

// What keeps an assigned task from being started: a stop or a requeue of this
// attempt, not of an earlier one. (A stop whose task ended with its session once
// held back the task's next attempt on that machine for ever.)
func TestStartCommandsWithheld(t *testing.T) {
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
		core, _ := newReadyCore(t)
		if _, err := core.ctx.Replica.Put(storage.JobKey("j-1"), []byte(`{"d":{"uid":"j-1","shape":"batch","pieces":1,"cores":1}}`), 2); err != nil {
			t.Fatal(err)
		}
		task := protocol.Task{Job: "j-1"}
		rec := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
		rec.Assign(task, 5)
		e, m := addOwnedMachine(t, core, rec)
		m.RecordHeartbeat(newHeartbeat(e, 1), core.ctx.Now.Monotonic)
		if c.stop > 0 {
			m.StopRequests[task] = agents.StopRequest{Attempt: c.stop}
		}
		if c.barred > 0 {
			m.RevokedAttempts[task] = c.barred
		}
		if c.deaf {
			m.CommandsLostAt = core.ctx.Now.Monotonic
		}
		starts := 0
		for _, o := range core.agents.Heartbeats.CommandsFor(e, m, true) {
			if o.Type == protocol.CommandStart && o.Attempt == 5 {
				starts++
			}
		}
		if (starts == 1) != c.want {
			t.Errorf("%s: %d starts", c.name, starts)
		}
	}
}

// A lease has surely expired only if the worker has shown this owner's epoch,
// counted from its last answered report: the machine's own part of the token
// changes nothing of that, a takeover changes everything.
func TestAgentLeaseExpired(t *testing.T) {
	const epoch = 3 // as own writes it
	for _, c := range []struct {
		name      string
		confirmed protocol.FencingToken
		after     time.Duration
		want      bool
	}{
		{"within the lease", storage.ShardEpoch(epoch).FencingToken(0), 13 * time.Second, false},
		{"at its end, clocks may drift", storage.ShardEpoch(epoch).FencingToken(0), 14*time.Second + 300*time.Millisecond, false},
		{"behind it", storage.ShardEpoch(epoch).FencingToken(0), 16 * time.Second, true},
		{"behind it, before the newest rise was shown", storage.ShardEpoch(epoch).FencingToken(1), 16 * time.Second, true},
		{"the worker has shown an earlier owner's only", storage.ShardEpoch(epoch - 1).FencingToken(9), 16 * time.Second, false},
	} {
		core, advance := newReadyCore(t)
		e, m := addOwnedMachine(t, core, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1, TokenCounter: 2})
		r := newHeartbeat(e, 1)
		r.FencingToken = c.confirmed
		advance(0, step.HeartbeatInput{RequestID: 1, Body: protocol.Encode(r)})
		advance(3*time.Second, step.Tick{}) // answered by now
		advance(c.after-3*time.Second, step.RenewLeaseResult{LeaseID: 7})
		if got := core.agents.Table.IsAgentLeaseExpired(m, &e.Record); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A controller that stood still reads, when it goes on, answers that lay in its
// sockets, and nothing from workers that could not reach it: neither makes its
// replica fresh, nor its machines silent.
func TestProcessPause(t *testing.T) {
	for _, c := range []struct {
		name          string
		pause         time.Duration
		fresh, silent bool
	}{
		{"no pause", 100 * time.Millisecond, true, false},
		{"within its lease", 5 * time.Second, false, false},
		{"past all leases", 48 * time.Second, false, false},
	} {
		core, advance := newReadyCore(t)
		e, m := addOwnedMachine(t, core, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1})
		advance(0, step.HeartbeatInput{RequestID: 1, Body: protocol.Encode(newHeartbeat(e, 1))})
		for i := 0; i < 40; i++ { // all is asked for before the pause
			advance(50*time.Millisecond, step.Tick{})
		}
		advance(c.pause, step.WatchResult{AfterRevision: core.ctx.Replica.Revision, Response: &protocol.WatchResponse{Revision: core.ctx.Replica.Revision}})
		advance(0, step.RenewLeaseResult{LeaseID: 7})
		advance(0, step.Tick{})
		if core.commit.Replication.IsUpToDate() != c.fresh || core.agents.Table.IsSilent(m) != c.silent {
			t.Errorf("%s: fresh %v, silent %v", c.name, core.commit.Replication.IsUpToDate(), core.agents.Table.IsSilent(m))
		}
		for i := 0; i < 4; i++ { // and what is asked for now is answered
			advance(600*time.Millisecond, step.Tick{})
			advance(0, step.RenewLeaseResult{LeaseID: 7})
			advance(0, step.WatchResult{AfterRevision: core.ctx.Replica.Revision, Response: &protocol.WatchResponse{Revision: core.ctx.Replica.Revision}})
		}
		if !core.commit.Replication.IsUpToDate() {
			t.Errorf("%s: not fresh again", c.name)
		}
		for i := 0; i < 10; i++ {
			advance(time.Second, step.Tick{})
		}
		if !core.agents.Table.IsSilent(m) {
			t.Errorf("%s: silence behind the pause is not noticed", c.name)
		}
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
			if _, err := core.ctx.Replica.Put(storage.ShardKey(id), data, 4); err != nil {
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
				core.ctx.Replica.Put(operation.PutKey, operation.Value, 9)
			} else {
				core.ctx.Replica.Delete(operation.DeleteKey, 9)
			}
		}
		if len(core.ctx.Replica.Shards) != 1 || len(core.ctx.Replica.Machines) != n || len(core.ctx.Replica.PopRemovedMachines()) != 0 || core.ctx.Replica.CompletedTasks("j-1").String() != "0-5" {
			t.Errorf("%s: %d pages, %d of %d machines, done %s", c.name, len(core.ctx.Replica.Shards), len(core.ctx.Replica.Machines), n, core.ctx.Replica.CompletedTasks("j-1"))
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
		core, advance := newReadyCore(t)
		e, m := addOwnedMachine(t, core, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1})
		j := core.agents.Jobs.JobState("j-1")
		j.MeasuredTasks, j.MeasuredRuntime = 100, 1000*time.Second
		sequence := protocol.Sequence(0)
		heartbeat := func(after int, tasks ...protocol.TaskStatus) {
			sequence++
			advance(time.Duration(after)*time.Second, step.HeartbeatInput{RequestID: step.RequestID(sequence), Body: protocol.Encode(newHeartbeat(e, sequence, tasks...))})
		}
		heartbeat(0)
		for i, s := range c.seconds {
			if c.before {
				m.Reset()
			}
			task := protocol.Task{Job: "j-1", Index: i}
			heartbeat(1, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
			heartbeat(s, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskExited, Reason: protocol.ReasonDone})
			core.agents.Jobs.RecordTaskRuntime(m, task)
		}
		if got := m.Slowdown.IsSlow(); got != c.want {
			t.Errorf("%s: slow %v, %.2f times", c.name, got, m.Slowdown.Ratio)
		}
	}
}
