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

// TestAgentLeaseExpired checks that a lease counts as expired only if the agent has shown this owner's
// shard epoch, and that the lease is counted from the last answered heartbeat. The shard epoch in the
// token changes with a failover; the machine's counter in the token does not matter.
func TestAgentLeaseExpired(t *testing.T) {
	const answerDelay = 3 * time.Second // the heartbeat is answered within this time
	for _, test := range []struct {
		name      string
		confirmed protocol.FencingToken
		after     time.Duration // since the heartbeat was received
		want      bool
	}{
		{"within the lease", testShardEpoch.FencingToken(0), 13 * time.Second, false},
		{"at the end of the lease, within clock drift",
			testShardEpoch.FencingToken(0), 14*time.Second + 300*time.Millisecond, false},
		{"after the lease", testShardEpoch.FencingToken(0), 16 * time.Second, true},
		{"after the lease, newest token not shown", testShardEpoch.FencingToken(1), 16 * time.Second, true},
		{"after the lease, only an earlier owner's token shown",
			(testShardEpoch - 1).FencingToken(9), 16 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			entry, state := fixture.addOwnedMachine(t,
				storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1, TokenCounter: 2})
			heartbeat := steptest.NewHeartbeat(entry, 1)
			heartbeat.FencingToken = test.confirmed
			fixture.receive(heartbeat)
			wasAnswered := steptest.ReplyStatus(fixture.Effects) == http.StatusOK
			fixture.advance(answerDelay)
			fixture.tick()
			if !wasAnswered && steptest.ReplyStatus(fixture.Effects) != http.StatusOK {
				t.Fatal("heartbeat was not answered within the answer delay")
			}
			fixture.advance(test.after - answerDelay)
			if got := fixture.Table.IsAgentLeaseExpired(state, &entry.Record); got != test.want {
				t.Errorf("IsAgentLeaseExpired() = %v, want %v", got, test.want)
			}
		})
	}
}

// TestCommandsLost checks that commands count as lost if consecutive direct calls fail while heartbeats
// arrive. An agent that is silent as well is dead, or unreachable in both directions.
func TestCommandsLost(t *testing.T) {
	callError := errors.New("agent does not answer")
	for _, test := range []struct {
		name             string
		calls            []error // results of consecutive direct calls, each a second after its call
		heartbeatsArrive bool    // a heartbeat arrives before the result of each call
		want             bool
	}{
		{"one call fails", []error{callError}, true, false},
		{"two calls fail, heartbeats arrive", []error{callError, callError}, true, true},
		{"two calls fail, agent is silent", []error{callError, callError}, false, false},
		{"call between two failures is answered", []error{callError, nil, callError}, true, false},
		{"call after two failures is answered", []error{callError, callError, nil}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			entry, state := fixture.addOwnedMachine(t,
				storage.MachineRecord{Address: "a", MachineType: "s", Zone: "a", AgentEpoch: 1})
			sequence := protocol.Sequence(1)
			fixture.receive(steptest.NewHeartbeat(entry, sequence))
			for _, err := range test.calls {
				fixture.advance(time.Second)
				fixture.Calls.sendCommands(entry, state, nil, 0)
				fixture.advance(time.Second)
				sequence++
				if test.heartbeatsArrive {
					fixture.receive(steptest.NewHeartbeat(entry, sequence))
					sequence++
				}
				result := step.AgentResult{Machine: testMachine, Err: err}
				if err == nil {
					result.Heartbeat = steptest.NewHeartbeat(entry, sequence)
				}
				fixture.Calls.OnAgentResult(result)
			}
			if got := state.CommandsLost(); got != test.want {
				t.Errorf("CommandsLost() = %v, want %v", got, test.want)
			}
		})
	}
}
