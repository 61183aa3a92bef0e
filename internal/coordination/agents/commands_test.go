package agents

import (
	"testing"

	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestStartCommandsWithheld checks that a stop or a requeue withholds the start of the same attempt and
// not of a later one. It guards against a stop whose task ended with its agent epoch and which then
// withholds the task's next attempt on that machine permanently.
func TestStartCommandsWithheld(t *testing.T) {
	const assigned = protocol.Attempt(5)
	for _, test := range []struct {
		name         string
		stopped      protocol.Attempt
		revoked      protocol.Attempt
		commandsLost bool
		want         bool // whether the start is sent
	}{
		{"nothing withholds the start", 0, 0, false, true},
		{"earlier attempt stopped", 4, 0, false, true},
		{"this attempt stopped", 5, 0, false, false},
		{"earlier attempt revoked", 0, 4, false, true},
		{"this attempt revoked", 0, 5, false, false},
		{"responses do not reach the agent", 0, 0, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.putJob(t, `{"d":{"uid":"j-1","shape":"batch","pieces":1,"cores":1}}`)
			task := protocol.Task{Job: testJob}
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			record.Assign(task, assigned)
			entry, state := fixture.addOwnedMachine(t, record)
			state.RecordHeartbeat(steptest.NewHeartbeat(entry, 1), fixture.Now.Monotonic)
			if test.stopped > 0 {
				state.stopRequests[task] = stopRequest{attempt: test.stopped}
			}
			if test.revoked > 0 {
				state.revokedAttempts[task] = test.revoked
			}
			if test.commandsLost {
				state.CommandsLostAt = fixture.Now.Monotonic
			}
			starts := 0
			for _, command := range fixture.Heartbeats.commandsFor(entry, state, true) {
				if command.Type == protocol.CommandStart && command.Attempt == assigned {
					starts++
				}
			}
			if (starts == 1) != test.want {
				t.Errorf("got %d start commands, want 1 if the case allows the start and 0 otherwise", starts)
			}
		})
	}
}
