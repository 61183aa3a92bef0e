package coordination

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// registeredAt is the revision of the registration that newReadyCore makes.
const registeredAt = 2

// newReadyCore brings a core to the point where it is registered and up to date.
func newReadyCore(t *testing.T) (*Core, func(after time.Duration, in step.Input) []step.Effect) {
	t.Helper()
	now := step.Now{Monotonic: 1, Wall: 1e12}
	cfg := step.Config{
		ControllerID:      "stall-0",
		Quotas:            map[string]step.Quota{"core": {}},
		HeartbeatInterval: 2 * time.Second,
		AgentLeaseTTL:     14 * time.Second,
		CancelTimeout:     40 * time.Second,
		WritesPerSecond:   100,
		TransactionOps:    8,
		ValueBytes:        8192,
		Tuning:            step.DefaultTuning(),
	}
	c := New(cfg, now)
	advance := func(after time.Duration, in step.Input) []step.Effect {
		now.Monotonic = now.Monotonic.Add(after)
		now.Wall += protocol.Millis(after.Milliseconds())
		return c.Step(now, in)
	}
	advance(0, step.Tick{})
	advance(0, step.GrantLeaseResult{LeaseID: 7})
	registrations := sentTransactions(advance(0, step.LoadRecordsResult{StartRevision: 1, EndRevision: 1}))
	if len(registrations) != 1 {
		t.Fatalf("%d transactions instead of the registration", len(registrations))
	}
	advance(0, committedAt(registrations[0].ID, registeredAt))
	advance(0, unchangedUntil(1, registeredAt))
	if !c.commit.Lease.IsRegistered() || !c.commit.Replication.IsUpToDate() {
		t.Fatal("the core is not registered and up to date")
	}
	return c, advance
}

// sentTransactions lists the transactions among the effects of a step.
func sentTransactions(effects []step.Effect) (commits []step.Commit) {
	for _, effect := range effects {
		if commit, ok := effect.(step.Commit); ok {
			commits = append(commits, commit)
		}
	}
	return commits
}

// committedAt is the result of a transaction that was applied at a revision.
func committedAt(id uint64, revision protocol.Revision) step.CommitResult {
	return step.CommitResult{
		ID:      id,
		Outcome: storage.OutcomeApplied,
		Result:  protocol.TransactionResult{Revision: revision},
	}
}

// unchangedUntil is the result of a watch request that no record has changed up to a revision.
func unchangedUntil(after, revision protocol.Revision) step.WatchResult {
	return step.WatchResult{
		AfterRevision: after,
		Response:      &protocol.WatchResponse{Revision: revision},
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
