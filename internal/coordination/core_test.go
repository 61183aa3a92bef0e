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

// registeredAt is the revision at which newReadyCore registers the core.
const registeredAt = 2

// shardEpoch is the epoch of the shard that addOwnedMachine adds.
const shardEpoch storage.ShardEpoch = 3

// newReadyCore returns a core that is registered and up to date, and a function that advances the
// clocks and then passes an input to the core.
func newReadyCore(t *testing.T) (*Core, func(after time.Duration, input step.Input) []step.Effect) {
	t.Helper()
	now := steptest.StartTime
	core := New(steptest.Config(), now)
	advance := func(after time.Duration, input step.Input) []step.Effect {
		now.Monotonic = now.Monotonic.Add(after)
		now.Wall += protocol.Millis(after.Milliseconds())
		return core.Step(now, input)
	}
	advance(0, step.Tick{})
	advance(0, step.GrantLeaseResult{LeaseID: 7})
	registrations := steptest.EffectsOf[step.Commit](advance(0, step.LoadRecordsResult{StartRevision: 1, EndRevision: 1}))
	if len(registrations) != 1 {
		t.Fatalf("%d transactions after the records are loaded, want only the registration", len(registrations))
	}
	advance(0, steptest.CommittedAt(registrations[0].ID, registeredAt))
	advance(0, steptest.UnchangedUntil(1, registeredAt))
	if !core.commit.Lease.IsRegistered() || !core.commit.Replication.IsUpToDate() {
		t.Fatal("the core is not registered and up to date")
	}
	return core, advance
}

// fixtureOf returns a fixture that works on the context of a core.
func fixtureOf(core *Core) steptest.Fixture { return steptest.Fixture{Context: core.ctx} }

// addOwnedMachine adds a shard with one machine that the core owns. It returns the machine and its
// state.
func addOwnedMachine(t *testing.T, core *Core, record storage.MachineRecord) (*storage.Machine, *agents.MachineState) {
	t.Helper()
	machine := fixtureOf(core).PutMachine(t, core.commit.Lease.Incarnation(), shardEpoch, "m-1", record)
	return machine, core.agents.Table.TrackOwnedMachine(machine, "m-1")
}

// When a paused process resumes, the controller reads responses of the store that arrived during the
// pause, and it has heard nothing from agents that could not reach it. The old responses must not make
// its replica up to date, and the missing heartbeats must not make its machines silent.
func TestProcessPause(t *testing.T) {
	for _, test := range []struct {
		name                     string
		pause                    time.Duration
		wantUpToDate, wantSilent bool
	}{
		{"no pause", 100 * time.Millisecond, true, false},
		{"shorter than the lease of the incarnation", 5 * time.Second, false, false},
		{"longer than all leases", 48 * time.Second, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			watch := func(after time.Duration) {
				revision := core.ctx.Replica.Revision
				advance(after, step.WatchResult{AfterRevision: revision, Response: &protocol.WatchResponse{Revision: revision}})
			}
			machine, state := addOwnedMachine(t, core, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1})
			advance(0, step.HeartbeatInput{RequestID: 1, Body: protocol.Encode(steptest.NewHeartbeat(machine, 1))})
			for range 40 { // the requests that are answered after the pause
				advance(50*time.Millisecond, step.Tick{})
			}
			watch(test.pause)
			advance(0, step.RenewLeaseResult{LeaseID: 7})
			advance(0, step.Tick{})
			isUpToDate, isSilent := core.commit.Replication.IsUpToDate(), core.agents.Table.IsSilent(state)
			if isUpToDate != test.wantUpToDate || isSilent != test.wantSilent {
				t.Errorf("after the pause: replica up to date %v, machine silent %v, want up to date only without a pause and not silent in any case",
					isUpToDate, isSilent)
			}
			for range 4 { // requests after the pause are answered
				advance(600*time.Millisecond, step.Tick{})
				advance(0, step.RenewLeaseResult{LeaseID: 7})
				watch(0)
			}
			if !core.commit.Replication.IsUpToDate() {
				t.Error("the replica is not up to date again after requests that began after the pause")
			}
			for range 10 {
				advance(time.Second, step.Tick{})
			}
			if !core.agents.Table.IsSilent(state) {
				t.Error("the machine is not silent although no heartbeat has arrived for longer than the timeout since the pause")
			}
		})
	}
}
