package provisioning

import (
	"cmp"
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestScaleInReasons checks each reason for scale-in, and the conditions under which a machine in a
// similar state is kept. A silent machine is kept twice as long if most other machines are silent too.
func TestScaleInReasons(t *testing.T) {
	const (
		silenceLimit = 29 * time.Second // AgentLeaseTTL plus SilentScaleInDelay
		defaultAge   = protocol.Millis(600_000)
	)
	booted := storage.MachineRecord{MachineType: "small", Zone: "a", AgentEpoch: 2}
	booting := storage.MachineRecord{MachineType: "small", Zone: "a"}
	busy := booted
	busy.Assign(protocol.Task{Job: "j-1"}, 5)
	listed := func(state protocol.InstanceState, missedListCount int) *listedInstance {
		return &listedInstance{instance: protocol.Instance{ID: "m-1", State: state}, missedListCount: missedListCount}
	}
	for _, test := range []struct {
		name           string
		record         storage.MachineRecord
		age            protocol.Millis // zero means defaultAge, which is ten minutes
		ownedFor       time.Duration   // time since the ownership began
		isSilent       bool            // during all of ownedFor
		isIsolated     bool
		listed         *listedInstance
		isJobCancelled bool // the cancellation of job j-1 was requested when the ownership began
		setUp          func(*agents.MachineState, *fakePlan)
		want           scaleInReason
	}{
		{name: "is booting", record: booting, age: 50_000, ownedFor: 50 * time.Second, isSilent: true, want: scaleInNone},
		{name: "has not booted in time", record: booting, ownedFor: 41 * time.Second, isSilent: true,
			want: scaleInNeverBooted},
		{name: "has not booted in time, and is newly owned", record: booting, ownedFor: 30 * time.Second, isSilent: true,
			want: scaleInNone},
		{name: "failed while it booted", record: booting, age: 1000, ownedFor: time.Second,
			listed: listed(protocol.InstanceFailed, 0), want: scaleInBootFailed},
		{name: "is booting, with an unknown machine type", record: storage.MachineRecord{MachineType: "gone", Zone: "a"},
			ownedFor: time.Hour, isSilent: true, want: scaleInNone},
		{name: "is listed as failed but sends heartbeats", record: busy, ownedFor: 10 * time.Second,
			listed: listed(protocol.InstanceFailed, 0), want: scaleInNone},
		{name: "is listed as failed and silent", record: busy, ownedFor: 10 * time.Second, isSilent: true,
			isIsolated: true, listed: listed(protocol.InstanceFailed, 0), want: scaleInFailed},
		{name: "is missing from one list", record: busy, ownedFor: 10 * time.Second, isSilent: true,
			listed: listed("", 1), want: scaleInNone},
		{name: "is missing from two lists", record: busy, ownedFor: 10 * time.Second, isSilent: true,
			isIsolated: true, listed: listed("", 2), want: scaleInNotListed},
		{name: "is silent up to the limit", record: busy, ownedFor: silenceLimit, isSilent: true, want: scaleInNone},
		{name: "is silent beyond the limit", record: busy, ownedFor: silenceLimit + 1, isSilent: true, want: scaleInSilent},
		{name: "is silent with most others", record: busy, ownedFor: 2 * silenceLimit, isSilent: true,
			isIsolated: true, want: scaleInNone},
		{name: "is silent with most others beyond twice the limit", record: busy, ownedFor: 2*silenceLimit + 1, isSilent: true,
			isIsolated: true, want: scaleInSilent},
		{name: "is silent while a response is deferred", record: busy, ownedFor: time.Minute, isSilent: true,
			setUp: func(m *agents.MachineState, _ *fakePlan) { m.DeferredRequest = 3 }, want: scaleInNone},
		{name: "commands have been lost for too long", record: busy, ownedFor: time.Minute,
			setUp: func(m *agents.MachineState, _ *fakePlan) { m.CommandsLostAt = 1 }, want: scaleInCommandsLost},
		{name: "commands have been lost for a short time", record: busy, ownedFor: 10 * time.Second,
			setUp: func(m *agents.MachineState, _ *fakePlan) { m.CommandsLostAt = 1 }, want: scaleInNone},
		{name: "is faulty", record: booted, age: 1000, ownedFor: time.Second,
			setUp: func(m *agents.MachineState, _ *fakePlan) { m.IsFaulty = true }, want: scaleInFaulty},
		{name: "is faulty and has tasks", record: busy, ownedFor: time.Second,
			setUp: func(m *agents.MachineState, _ *fakePlan) { m.IsFaulty = true }, want: scaleInNone},
		{name: "a cancelled task may still stop", record: busy, ownedFor: 24 * time.Second, isJobCancelled: true,
			want: scaleInNone},
		{name: "a cancelled task does not stop", record: busy, ownedFor: 25 * time.Second, isJobCancelled: true,
			want: scaleInTaskDoesNotStop},
		{name: "is idle up to the idle timeout", record: booted, ownedFor: 20 * time.Second, want: scaleInNone},
		{name: "is idle beyond the idle timeout", record: booted, ownedFor: 21 * time.Second, want: scaleInIdle},
		{name: "is idle and newly provisioned", record: booted, age: 21_000, ownedFor: 21 * time.Second, want: scaleInNone},
		{name: "is idle and kept in reserve", record: booted, ownedFor: 80 * time.Second,
			setUp: func(_ *agents.MachineState, plan *fakePlan) { plan.retainsIdleMachine = true }, want: scaleInNone},
		{name: "is idle and kept in reserve for too long", record: booted, ownedFor: 81 * time.Second,
			setUp: func(_ *agents.MachineState, plan *fakePlan) { plan.retainsIdleMachine = true }, want: scaleInIdle},
		{name: "is used by the plan", record: booted, ownedFor: time.Hour,
			setUp: func(_ *agents.MachineState, plan *fakePlan) { plan.retainsMachine = true }, want: scaleInNone},
		{name: "runs a task that is not recorded", record: booted, ownedFor: time.Hour,
			setUp: func(m *agents.MachineState, _ *fakePlan) {
				m.LatestHeartbeat = &protocol.Heartbeat{Tasks: []protocol.TaskStatus{{State: protocol.TaskRunning}}}
			}, want: scaleInNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			parts := newTestParts(t)
			record := test.record
			record.AddedAt = parts.Now.Wall + protocol.Millis(test.ownedFor.Milliseconds()) - cmp.Or(test.age, defaultAge)
			entry, state := parts.putMachine(t, 3, record)
			if test.isJobCancelled {
				parts.putCancelledJob(t)
			}
			parts.Terminator.EvaluateScaleIn(entry, state, false)
			parts.Advance(test.ownedFor)
			if !test.isSilent {
				state.LastContactAt = parts.Now.Monotonic
			}
			if test.listed != nil {
				parts.Inventory.listedInstances["m-1"] = test.listed
			}
			if test.setUp != nil {
				test.setUp(state, parts.plan)
			}
			parts.Terminator.BeginScaleInReview(0)
			parts.Terminator.EvaluateScaleIn(entry, state, test.isIsolated)
			got := scaleInNone
			for _, decision := range parts.Terminator.scaleInQueue {
				got = decision.reason
			}
			if got != test.want {
				t.Errorf("scale-in reason %q, want %q", got, test.want)
			}
		})
	}
}

// TestUnrecordedTermination checks that a machine with a cancelled task that does not stop is terminated
// immediately, without being recorded as terminating, only while no controller can write records.
func TestUnrecordedTermination(t *testing.T) {
	for _, test := range []struct {
		name                         string
		isStoreUnavailableEverywhere bool
	}{
		{"a record can be written by some controller", false},
		{"the store is unavailable to all controllers", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			parts := newTestParts(t)
			parts.peers.StoreUnavailable = test.isStoreUnavailableEverywhere
			record := storage.MachineRecord{MachineType: "small", Zone: "a", AgentEpoch: 2}
			record.Assign(protocol.Task{Job: "j-1"}, 5)
			entry, state := parts.putMachine(t, 3, record)
			parts.putCancelledJob(t)
			parts.Terminator.EvaluateScaleIn(entry, state, false)
			if parts.Terminator.IsTerminating("m-1") {
				t.Fatal("machine is terminated while the cancelled task may still stop")
			}
			parts.Advance(25 * time.Second)
			state.LastContactAt = parts.Now.Monotonic
			parts.Terminator.EvaluateScaleIn(entry, state, false)
			if got := parts.Terminator.IsTerminating("m-1"); got != test.isStoreUnavailableEverywhere {
				t.Errorf("IsTerminating(m-1) = %v, want %v", got, test.isStoreUnavailableEverywhere)
			}
		})
	}
}

// putCancelledJob puts the record of job j-1, whose cancellation was requested at the current time.
func (p *testParts) putCancelledJob(t *testing.T) {
	t.Helper()
	job := []byte(`{"d":{"uid":"j-1","shape":"batch","pieces":1,"cores":1},"w":true,"o":1000000000000}`)
	p.Put(t, storage.JobKey("j-1"), job, 2)
}

// TestIdlePeriodEnds checks that an idle period ends when the machine gets work, when the ownership under
// which the period was observed ends, and when the machine is forgotten. A machine is never scaled in for an
// idle period that this owner has not observed.
func TestIdlePeriodEnds(t *testing.T) {
	const justBelowIdleTimeout = 19 * time.Second // the idle timeout is 20 s
	idle := storage.MachineRecord{MachineType: "small", Zone: "a", AgentEpoch: 2, AddedAt: 1}
	for _, test := range []struct {
		name   string
		change func(*testing.T, *testParts)
		want   scaleInReason
	}{
		{"nothing ends the period", func(*testing.T, *testParts) {}, scaleInIdle},
		{"the machine gets work", func(_ *testing.T, parts *testParts) {
			parts.plan.retainsMachine = true
			parts.reviewMachine()
			parts.plan.retainsMachine = false
		}, scaleInNone},
		{"another period of ownership begins", func(t *testing.T, parts *testParts) { parts.putMachine(t, 4, idle) }, scaleInNone},
		{"the machine is forgotten", func(_ *testing.T, parts *testParts) {
			entry := parts.Replica.Machines["m-1"]
			delete(parts.Replica.Machines, "m-1")
			parts.agents.Table.PruneMachineStates()
			parts.Terminator.ForgetRemovedMachines()
			parts.Replica.Machines["m-1"] = entry
		}, scaleInNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			parts := newTestParts(t)
			parts.putMachine(t, 3, idle)
			parts.reviewMachine()
			parts.Advance(justBelowIdleTimeout)
			test.change(t, parts)
			if reason := parts.reviewMachine(); reason != scaleInNone {
				t.Fatalf("machine is scaled in before the idle timeout, reason %q", reason)
			}
			parts.Advance(2 * time.Second)
			if reason := parts.reviewMachine(); reason != test.want {
				t.Errorf("scale-in reason %q, want %q", reason, test.want)
			}
			if want := 1; len(parts.Terminator.idlePeriods) != want {
				t.Errorf("terminator holds %d idle periods, want %d", len(parts.Terminator.idlePeriods), want)
			}
		})
	}
}

// reviewMachine evaluates machine m-1, whose agent has just sent a heartbeat, and returns the reason to
// terminate the machine or scaleInNone.
func (p *testParts) reviewMachine() scaleInReason {
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
