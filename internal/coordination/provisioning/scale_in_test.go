package provisioning

import (
	"cmp"
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Each reason for scale-in, and what keeps a machine that looks much the same. A machine that is
// isolated with most others is given twice the time.
func TestScaleInReasons(t *testing.T) {
	const (
		silenceLimit = 29 * time.Second // AgentLeaseTTL and SilentScaleInDelay
		defaultAge   = protocol.Millis(600_000)
	)
	booted := storage.MachineRecord{MachineType: "small", Zone: "a", AgentEpoch: 2}
	booting := storage.MachineRecord{MachineType: "small", Zone: "a"}
	busy := booted
	busy.Assign(protocol.Task{Job: "j-1"}, 5)
	listed := func(state protocol.InstanceState, missedLists int) *listedInstance {
		return &listedInstance{instance: protocol.Instance{ID: "m-1", State: state}, missedLists: missedLists}
	}
	for _, c := range []struct {
		name      string
		record    storage.MachineRecord
		age       protocol.Millis // none: ten minutes
		elapsed   time.Duration   // since the ownership began
		silent    bool            // all the time elapsed
		isolated  bool
		listed    *listedInstance
		cancelled bool // job j-1 is, since the ownership began
		set       func(*agents.MachineState, *fakePlan)
		want      scaleInReason
	}{
		{name: "boots", record: booting, age: 50_000, elapsed: 50 * time.Second, silent: true, want: scaleInNone},
		{name: "has not booted in time", record: booting, elapsed: 41 * time.Second, silent: true,
			want: scaleInNeverBooted},
		{name: "has not booted in time, and is newly owned", record: booting, elapsed: 30 * time.Second, silent: true,
			want: scaleInNone},
		{name: "failed while it booted", record: booting, age: 1000, elapsed: time.Second,
			listed: listed(protocol.InstanceFailed, 0), want: scaleInBootFailed},
		{name: "boots, of an unknown type", record: storage.MachineRecord{MachineType: "gone", Zone: "a"},
			elapsed: time.Hour, silent: true, want: scaleInNone},
		{name: "is listed as failed but sends heartbeats", record: busy, elapsed: 10 * time.Second,
			listed: listed(protocol.InstanceFailed, 0), want: scaleInNone},
		{name: "is listed as failed and silent", record: busy, elapsed: 10 * time.Second, silent: true,
			isolated: true, listed: listed(protocol.InstanceFailed, 0), want: scaleInFailed},
		{name: "is missing from one list", record: busy, elapsed: 10 * time.Second, silent: true,
			listed: listed("", 1), want: scaleInNone},
		{name: "is missing from two lists", record: busy, elapsed: 10 * time.Second, silent: true,
			isolated: true, listed: listed("", 2), want: scaleInNotListed},
		{name: "is silent up to the limit", record: busy, elapsed: silenceLimit, silent: true, want: scaleInNone},
		{name: "is silent beyond the limit", record: busy, elapsed: silenceLimit + 1, silent: true, want: scaleInSilent},
		{name: "is silent with most others", record: busy, elapsed: 2 * silenceLimit, silent: true,
			isolated: true, want: scaleInNone},
		{name: "is silent with most others beyond twice the limit", record: busy, elapsed: 2*silenceLimit + 1, silent: true,
			isolated: true, want: scaleInSilent},
		{name: "is silent while a response is deferred", record: busy, elapsed: time.Minute, silent: true,
			set: func(m *agents.MachineState, _ *fakePlan) { m.DeferredRequest = 3 }, want: scaleInNone},
		{name: "commands are lost", record: busy, elapsed: time.Minute,
			set: func(m *agents.MachineState, _ *fakePlan) { m.CommandsLostAt = 1 }, want: scaleInCommandsLost},
		{name: "commands are lost for a moment", record: busy, elapsed: 10 * time.Second,
			set: func(m *agents.MachineState, _ *fakePlan) { m.CommandsLostAt = 1 }, want: scaleInNone},
		{name: "is faulty", record: booted, age: 1000, elapsed: time.Second,
			set: func(m *agents.MachineState, _ *fakePlan) { m.IsFaulty = true }, want: scaleInFaulty},
		{name: "is faulty and has tasks", record: busy, elapsed: time.Second,
			set: func(m *agents.MachineState, _ *fakePlan) { m.IsFaulty = true }, want: scaleInNone},
		{name: "a cancelled task may still stop", record: busy, elapsed: 24 * time.Second, cancelled: true,
			want: scaleInNone},
		{name: "a cancelled task does not stop", record: busy, elapsed: 25 * time.Second, cancelled: true,
			want: scaleInTaskDoesNotStop},
		{name: "is idle for a while", record: booted, elapsed: 20 * time.Second, want: scaleInNone},
		{name: "is idle for longer", record: booted, elapsed: 21 * time.Second, want: scaleInIdle},
		{name: "is idle and new", record: booted, age: 21_000, elapsed: 21 * time.Second, want: scaleInNone},
		{name: "is idle and kept in reserve", record: booted, elapsed: 80 * time.Second,
			set: func(_ *agents.MachineState, plan *fakePlan) { plan.retainsIdle = true }, want: scaleInNone},
		{name: "is idle and kept in reserve for too long", record: booted, elapsed: 81 * time.Second,
			set: func(_ *agents.MachineState, plan *fakePlan) { plan.retainsIdle = true }, want: scaleInIdle},
		{name: "is planned for", record: booted, elapsed: time.Hour,
			set: func(_ *agents.MachineState, plan *fakePlan) { plan.retains = true }, want: scaleInNone},
		{name: "runs a task that is on no record", record: booted, elapsed: time.Hour,
			set: func(m *agents.MachineState, _ *fakePlan) {
				m.LatestHeartbeat = &protocol.Heartbeat{Tasks: []protocol.TaskStatus{{State: protocol.TaskRunning}}}
			}, want: scaleInNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			parts := newTestParts(t)
			record := c.record
			record.AddedAt = parts.Now.Wall + protocol.Millis(c.elapsed.Milliseconds()) - cmp.Or(c.age, defaultAge)
			entry, state := parts.putMachine(t, 3, record)
			if c.cancelled {
				parts.putCancelledJob(t)
			}
			parts.Terminator.EvaluateScaleIn(entry, state, false)
			parts.Advance(c.elapsed)
			if !c.silent {
				state.LastContactAt = parts.Now.Monotonic
			}
			if c.listed != nil {
				parts.Inventory.listedInstances["m-1"] = c.listed
			}
			if c.set != nil {
				c.set(state, parts.plan)
			}
			parts.Terminator.BeginScaleInReview(0)
			parts.Terminator.EvaluateScaleIn(entry, state, c.isolated)
			got := scaleInNone
			for _, decision := range parts.Terminator.scaleInQueue {
				got = decision.reason
			}
			if got != c.want {
				t.Errorf("scale-in reason %q, want %q", got, c.want)
			}
		})
	}
}

// A machine with a cancelled task that does not stop is terminated at once, with no mark on its
// record, only while no controller can write one.
func TestUnrecordedTermination(t *testing.T) {
	for _, c := range []struct {
		name                  string
		unavailableEverywhere bool
	}{
		{"a record can be written by some controller", false},
		{"the store is unavailable to all controllers", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			parts := newTestParts(t)
			parts.peers.StoreUnavailable = c.unavailableEverywhere
			record := storage.MachineRecord{MachineType: "small", Zone: "a", AgentEpoch: 2}
			record.Assign(protocol.Task{Job: "j-1"}, 5)
			entry, state := parts.putMachine(t, 3, record)
			parts.putCancelledJob(t)
			parts.Terminator.EvaluateScaleIn(entry, state, false)
			if parts.Terminator.IsTerminating("m-1") {
				t.Fatal("terminated before the cancellation's time is over")
			}
			parts.Advance(25 * time.Second)
			state.LastContactAt = parts.Now.Monotonic
			parts.Terminator.EvaluateScaleIn(entry, state, false)
			if got := parts.Terminator.IsTerminating("m-1"); got != c.unavailableEverywhere {
				t.Errorf("terminating: %v, want %v", got, c.unavailableEverywhere)
			}
		})
	}
}

// putCancelledJob puts job j-1 on record, whose cancellation was requested just now.
func (p *testParts) putCancelledJob(t *testing.T) {
	t.Helper()
	job := []byte(`{"d":{"uid":"j-1","shape":"batch","pieces":1,"cores":1},"w":true,"o":1000000000000}`)
	p.Put(t, storage.JobKey("j-1"), job, 2)
}

// An idle period ends with work, with the ownership that it was seen under, and when the machine
// is forgotten: a machine is never scaled in for idleness that this owner has not seen.
func TestIdlePeriodEnds(t *testing.T) {
	const almostIdleTooLong = 19 * time.Second // of 20 s
	idle := storage.MachineRecord{MachineType: "small", Zone: "a", AgentEpoch: 2, AddedAt: 1}
	for _, c := range []struct {
		name   string
		change func(*testing.T, *testParts)
		want   scaleInReason
	}{
		{"not by itself", func(*testing.T, *testParts) {}, scaleInIdle},
		{"with work", func(_ *testing.T, parts *testParts) {
			parts.plan.retains = true
			parts.review()
			parts.plan.retains = false
		}, scaleInNone},
		{"with a new ownership", func(t *testing.T, parts *testParts) { parts.putMachine(t, 4, idle) }, scaleInNone},
		{"with a machine that is forgotten", func(_ *testing.T, parts *testParts) {
			entry := parts.Replica.Machines["m-1"]
			delete(parts.Replica.Machines, "m-1")
			parts.agents.Table.PruneMachineStates()
			parts.Terminator.ForgetRemovedMachines()
			parts.Replica.Machines["m-1"] = entry
		}, scaleInNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			parts := newTestParts(t)
			parts.putMachine(t, 3, idle)
			parts.review()
			parts.Advance(almostIdleTooLong)
			c.change(t, parts)
			if reason := parts.review(); reason != scaleInNone {
				t.Fatalf("scaled in early: %q", reason)
			}
			parts.Advance(2 * time.Second)
			if reason := parts.review(); reason != c.want {
				t.Errorf("scale-in reason %q, want %q", reason, c.want)
			}
			if want := 1; len(parts.Terminator.idlePeriods) != want {
				t.Errorf("%d idle periods are kept, want %d", len(parts.Terminator.idlePeriods), want)
			}
		})
	}
}

// review evaluates machine m-1, whose agent has just sent a heartbeat, and gives the reason.
func (p *testParts) review() scaleInReason {
	entry := p.Replica.Machines["m-1"]
	state := p.agents.Table.TrackOwnedMachine(entry, "m-1")
	state.LastContactAt = p.Now.Monotonic
	p.Terminator.BeginScaleInReview(0)
	p.Terminator.EvaluateScaleIn(entry, state, false)
	if len(p.Terminator.scaleInQueue) == 0 {
		return scaleInNone
	}
	return p.Terminator.scaleInQueue[0].reason
}
