package coordination

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// registeredAt is the revision of the registration that newReadyCore makes.
const registeredAt = 2

// shardEpoch is the epoch of the shard that addOwnedMachine adds.
const shardEpoch storage.ShardEpoch = 3

// newReadyCore brings a core to the point where it is registered and up to date.
func newReadyCore(t *testing.T) (*Core, func(after time.Duration, in step.Input) []step.Effect) {
	t.Helper()
	now := steptest.StartTime
	c := New(steptest.Config(), now)
	advance := func(after time.Duration, in step.Input) []step.Effect {
		now.Monotonic = now.Monotonic.Add(after)
		now.Wall += protocol.Millis(after.Milliseconds())
		return c.Step(now, in)
	}
	advance(0, step.Tick{})
	advance(0, step.GrantLeaseResult{LeaseID: 7})
	registrations := steptest.EffectsOf[step.Commit](advance(0, step.LoadRecordsResult{StartRevision: 1, EndRevision: 1}))
	if len(registrations) != 1 {
		t.Fatalf("%d transactions instead of the registration", len(registrations))
	}
	advance(0, steptest.CommittedAt(registrations[0].ID, registeredAt))
	advance(0, steptest.UnchangedUntil(1, registeredAt))
	if !c.commit.Lease.IsRegistered() || !c.commit.Replication.IsUpToDate() {
		t.Fatal("the core is not registered and up to date")
	}
	return c, advance
}

// fixtureOf gives the shared fixture for the context of a core.
func fixtureOf(c *Core) steptest.Fixture { return steptest.Fixture{Context: c.ctx} }

// addOwnedMachine gives the core a shard with one machine, and the state of that machine.
func addOwnedMachine(t *testing.T, c *Core, record storage.MachineRecord) (*storage.Machine, *agents.MachineState) {
	t.Helper()
	machine := fixtureOf(c).PutMachine(t, c.commit.Lease.Incarnation(), shardEpoch, "m-1", record)
	return machine, c.agents.Table.TrackOwnedMachine(machine, "m-1")
}

// A controller whose process was paused reads, when it resumes, answers that lay in its
// sockets, and nothing from agents that could not reach it: the first do not make its
// replica up to date, the second does not make its machines silent.
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
			advance(0, step.HeartbeatInput{RequestID: 1, Body: protocol.Encode(steptest.NewHeartbeat(entry, 1))})
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
				t.Error("silence after the pause is not noticed")
			}
		})
	}
}
