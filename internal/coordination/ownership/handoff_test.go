package ownership

import (
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// reportMisdirectedHeartbeats records a status in which the other controller reports heartbeats that it
// has received.
func (c *testController) reportMisdirectedHeartbeats(heartbeats ...step.MisdirectedHeartbeat) {
	c.Manager.RecordMisdirectedHeartbeats(&step.PeerStatus{
		ControllerID:          otherController,
		Incarnation:           otherIncarnation,
		MisdirectedHeartbeats: heartbeats,
	})
}

// A machine is handed off if another controller receives a heartbeat that the owner has not received. A
// copy of a heartbeat that the owner has received causes no hand-off.
func TestHandOffOnMisdirectedHeartbeat(t *testing.T) {
	for _, test := range []struct {
		name       string
		agentEpoch protocol.AgentEpoch
		sequence   protocol.Sequence
		want       bool
	}{
		{"newer heartbeat", 2, 8, true},
		{"newer agent epoch", 3, 1, true},
		{"copy of the received heartbeat", 2, 7, false},
		{"earlier heartbeat", 2, 3, false},
		{"earlier agent epoch", 1, 99, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newTestController(t)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			entry := controller.putShard(t, "p", controller.commit.Lease.Incarnation(), 3, record)
			heartbeat := &protocol.Heartbeat{
				Machine: "m-1", Addr: "a", Type: "s", Zone: "a",
				AgentEpoch: 2, Sequence: 7, FencingToken: entry.Record.FencingToken,
			}
			controller.agents.Heartbeats.OnHeartbeat(step.HeartbeatInput{RequestID: 1, Body: protocol.Encode(heartbeat)})
			controller.registerOther(t)
			controller.reportMisdirectedHeartbeats(step.MisdirectedHeartbeat{
				Machine: "m-1", AgentEpoch: test.agentEpoch, Sequence: test.sequence,
			})
			if got := controller.Manager.pendingHandOffs["m-1"].target == otherIncarnation; got != test.want {
				t.Errorf("hand-off of m-1 is pending: %v, want %v", got, test.want)
			}
		})
	}
}

// A request to hand off a machine is valid in the period of ownership in which it arrived, until it would
// have been repeated, and while its target is alive.
func TestHandOffRequestLifetime(t *testing.T) {
	record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1}
	// After heartbeatMissed, the agent has missed a heartbeat and the request is still valid.
	const heartbeatMissed = 5 * time.Second
	for _, test := range []struct {
		name   string
		change func(t *testing.T, c *testController)
		want   bool
	}{
		{"nothing changes", func(*testing.T, *testController) {}, true},
		{"the shard is written again", func(t *testing.T, c *testController) {
			c.putShard(t, "p", c.commit.Lease.Incarnation(), 3, record)
		}, true},
		{"the shard is owned again at a higher epoch", func(t *testing.T, c *testController) {
			c.putShard(t, "p", c.commit.Lease.Incarnation(), 5, record)
			c.agents.Table.TrackOwnedMachine(c.Replica.Machines["m-1"], "m-1")
		}, false},
		{"the shard belongs to another controller", func(t *testing.T, c *testController) {
			c.putShard(t, "p", otherIncarnation, 4, record)
		}, false},
		{"the machine was removed and added again", func(t *testing.T, c *testController) {
			c.Replica.Delete(storage.ShardKey("p"), protocol.ModRevision(c.Replica.Revision+1))
			c.agents.Table.OnMachinesRemoved()
			c.Replica.Revision++
			c.putShard(t, "q", c.commit.Lease.Incarnation(), 3, record)
			c.agents.Table.TrackOwnedMachine(c.Replica.Machines["m-1"], "m-1")
		}, false},
		{"the request is not repeated", func(t *testing.T, c *testController) {
			c.Advance(1001 * time.Millisecond)
		}, false},
		{"the target has ended", func(t *testing.T, c *testController) {
			c.Replica.Delete(storage.ControllerKey(otherController), protocol.ModRevision(c.Replica.Revision+1))
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newTestController(t)
			controller.registerOther(t)
			entry := controller.putShard(t, "p", controller.commit.Lease.Incarnation(), 3, record)
			controller.agents.Table.TrackOwnedMachine(entry, "m-1")
			controller.reportMisdirectedHeartbeats(step.MisdirectedHeartbeat{Machine: "m-1", AgentEpoch: 1, Sequence: 9})
			test.change(t, controller)
			controller.Advance(heartbeatMissed)
			machines := controller.Manager.misdirectedMachines()
			if got := len(machines) == 1 && machines[0].target == otherIncarnation; got != test.want {
				t.Errorf("m-1 is to be handed off: %v, want %v; machines to hand off: %+v", got, test.want, machines)
			}
		})
	}
}

// putLargeShards puts owned shards of 60 machines into the replica. It returns heartbeats of the first
// misdirectedPerShard machines of each shard, as another controller would report them.
func (c *testController) putLargeShards(t *testing.T, shardCount, misdirectedPerShard int) []step.MisdirectedHeartbeat {
	t.Helper()
	const machinesPerShard, tasksPerMachine = 60, 4
	var misdirected []step.MisdirectedHeartbeat
	for shardNumber := range shardCount {
		var lines []string
		for machineNumber := range machinesPerShard {
			id := protocol.MachineID(fmt.Sprintf("m-%06d", shardNumber*machinesPerShard+machineNumber))
			record := storage.MachineRecord{Address: "10.1.0.1:9000", MachineType: "s", Zone: "a", AgentEpoch: 1}
			for taskNumber := range tasksPerMachine {
				record.Assign(
					protocol.Task{Job: "j-000001", Index: tasksPerMachine*machineNumber + taskNumber},
					protocol.Attempt(1000+taskNumber),
				)
			}
			lines = append(lines, record.EncodeLine(id))
			if machineNumber < misdirectedPerShard {
				misdirected = append(misdirected, step.MisdirectedHeartbeat{Machine: id, AgentEpoch: 1, Sequence: 9})
			}
		}
		key := storage.ShardKey(storage.ShardID(fmt.Sprint("p-", shardNumber)))
		c.put(t, key, storage.EncodePlainShard(c.commit.Lease.Incarnation(), 3, lines, nil))
	}
	for _, entry := range c.Replica.SortedMachines() {
		c.agents.Table.TrackOwnedMachine(entry, entry.ID)
	}
	return misdirected
}

// putShardsAtEpoch puts all shards into the replica again at the given epoch, as if this controller had lost
// the shards and acquired them again.
func (c *testController) putShardsAtEpoch(t *testing.T, epoch storage.ShardEpoch) {
	t.Helper()
	for id, shard := range c.Replica.Shards {
		var lines []string
		for _, machine := range shard.Machines {
			lines = append(lines, c.Replica.EncodedLine(machine))
		}
		c.put(t, storage.ShardKey(id), storage.EncodePlainShard(c.commit.Lease.Incarnation(), epoch, lines, nil))
	}
}

// A controller that has lost its agents transfers their shards as a whole. Machines that it hands off one
// by one go to shards that fit into a stored value. The test guards against a hand-off of six hundred
// machines to one shard, which the store rejected as malformed at every attempt.
func TestHandOffManyMachines(t *testing.T) {
	for _, test := range []struct {
		name                  string
		shards                int
		misdirectedPerShard   int
		wantShardsTransferred bool
		wantMachinesMoved     bool
		reacquired            bool // whether the owner acquires the shards again after the heartbeats were reported
	}{
		{"most machines of each shard", 2, 40, true, false, false},
		{"some machines of each shard", 6, 28, false, true, false},
		{"heartbeats reported in an earlier period of ownership", 2, 28, false, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newTestController(t)
			controller.registerOther(t)
			self := controller.commit.Lease.Incarnation()
			misdirected := controller.putLargeShards(t, test.shards, test.misdirectedPerShard)
			controller.Advance(6 * time.Second) // no agent has sent this controller a heartbeat
			controller.reportMisdirectedHeartbeats(misdirected...)
			if test.reacquired {
				controller.putShardsAtEpoch(t, 5)
			}
			batch := controller.commit.ShardWriter.NewBatch(24)
			controller.Config.TransactionOps = 24
			controller.Manager.HandOffMachines(batch)
			transferredShards, movedMachines := 0, 0
			for id, shard := range writtenShards(t, batch) {
				if shard.Owner == self {
					continue
				}
				if shard.Owner == "" {
					t.Error("a transferred shard has no owner")
				}
				if controller.Replica.Shards[id] != nil {
					transferredShards++
				} else {
					movedMachines += len(shard.Machines)
				}
			}
			for _, operation := range batch.Transaction().Operations {
				if len(operation.Value) > controller.Config.ValueBytes {
					t.Errorf("a written value has %d bytes, want at most ValueBytes", len(operation.Value))
				}
			}
			if (transferredShards > 0) != test.wantShardsTransferred || (movedMachines > 0) != test.wantMachinesMoved {
				t.Errorf("%d shards transferred and %d machines moved, want numbers above 0 only for wantShardsTransferred and wantMachinesMoved",
					transferredShards, movedMachines)
			}
		})
	}
}
