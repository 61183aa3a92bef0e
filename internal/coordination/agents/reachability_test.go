package agents

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A lease has surely expired only if the agent has shown this owner's epoch,
// counted from its last answered heartbeat: the machine's own part of the token
// does not matter, a failover does.
func TestAgentLeaseExpired(t *testing.T) {
	const answerDelay = 3 * time.Second // by then the heartbeat is answered
	for _, test := range []struct {
		name      string
		confirmed protocol.FencingToken
		after     time.Duration
		want      bool
	}{
		{"within the lease", testShardEpoch.FencingToken(0), 13 * time.Second, false},
		{"at its end, clocks may drift", testShardEpoch.FencingToken(0), 14*time.Second + 300*time.Millisecond, false},
		{"past it", testShardEpoch.FencingToken(0), 16 * time.Second, true},
		{"past it, before the newest token was shown", testShardEpoch.FencingToken(1), 16 * time.Second, true},
		{"the agent has shown an earlier owner's only", (testShardEpoch - 1).FencingToken(9), 16 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			entry, state := f.addOwnedMachine(t, storage.MachineRecord{
				MachineType:  "s",
				Zone:         "a",
				AgentEpoch:   1,
				TokenCounter: 2,
			})
			heartbeat := steptest.NewHeartbeat(entry, 1)
			heartbeat.FencingToken = test.confirmed
			f.receive(heartbeat)
			wasAnswered := steptest.ReplyStatus(f.Effects) == http.StatusOK
			f.advance(answerDelay)
			f.tick()
			if !wasAnswered && steptest.ReplyStatus(f.Effects) != http.StatusOK {
				t.Fatal("the heartbeat is not answered")
			}
			f.advance(test.after - answerDelay)
			if got := f.Table.IsAgentLeaseExpired(state, &entry.Record); got != test.want {
				t.Error(got)
			}
		})
	}
}

// Commands count as lost if direct calls fail one after the other while heartbeats arrive. An
// agent that is silent as well is dead, or cut off in both directions.
func TestCommandsLost(t *testing.T) {
	failed := errors.New("no answer")
	for _, test := range []struct {
		name             string
		calls            []error // results of direct calls, one a second
		heartbeatsArrive bool    // meanwhile
		want             bool
	}{
		{"one call fails", []error{failed}, true, false},
		{"two fail, heartbeats come", []error{failed, failed}, true, true},
		{"two fail, the agent is silent", []error{failed, failed}, false, false},
		{"one is answered between", []error{failed, nil, failed}, true, false},
		{"one is answered afterwards", []error{failed, failed, nil}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			entry, state := f.addOwnedMachine(t, storage.MachineRecord{
				Address:     "a",
				MachineType: "s",
				Zone:        "a",
				AgentEpoch:  1,
			})
			sequence := protocol.Sequence(1)
			f.receive(steptest.NewHeartbeat(entry, sequence))
			for _, err := range test.calls {
				f.advance(time.Second)
				f.Calls.sendCommands(entry, state, nil, 0)
				f.advance(time.Second)
				sequence++
				if test.heartbeatsArrive {
					f.receive(steptest.NewHeartbeat(entry, sequence))
					sequence++
				}
				result := step.AgentResult{Machine: testMachine, Err: err}
				if err == nil {
					result.Heartbeat = steptest.NewHeartbeat(entry, sequence)
				}
				f.Calls.OnAgentResult(result)
			}
			if got := state.CommandsLost(); got != test.want {
				t.Error(got)
			}
		})
	}
}
