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
				revision := core.ctx.Replica.Revision
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
