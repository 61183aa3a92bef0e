package ownership

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A shard is quiescent if no start is in flight to an agent that can still execute it.
func TestShardQuiescence(t *testing.T) {
	for _, test := range []struct {
		name        string
		terminating bool
		setUp       func(c *testController, machine *agents.MachineState)
		want        bool
	}{
		{"no start in flight", false, func(*testController, *agents.MachineState) {}, true},
		{"a start in flight", false, func(_ *testController, machine *agents.MachineState) {
			machine.InflightStarts[protocol.Task{Job: "j-1"}] = 5
		}, false},
		{"a start in flight to a silent agent", false, func(c *testController, machine *agents.MachineState) {
			machine.InflightStarts[protocol.Task{Job: "j-1"}] = 5
			c.Advance(c.agents.Table.SilenceTimeout() + time.Millisecond)
		}, true},
		{"a start in flight to a terminating machine", true, func(_ *testController, machine *agents.MachineState) {
			machine.InflightStarts[protocol.Task{Job: "j-1"}] = 5
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newTestController(t)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1, Terminating: test.terminating}
			entry := controller.putShard(t, "p", controller.commit.Lease.Incarnation(), 3, record)
			test.setUp(controller, controller.agents.Table.TrackOwnedMachine(entry, "m-1"))
			if got := controller.Transfers.isShardQuiescent(controller.Replica.Shards["p"]); got != test.want {
				t.Errorf("the shard is quiescent: %v, want %v", got, test.want)
			}
		})
	}
}
