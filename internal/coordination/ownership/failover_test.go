package ownership

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// endedIncarnation is an incarnation that is not registered.
const endedIncarnation storage.Incarnation = "tiller-9#1"

// putTransfer puts a record of a pending transfer of shard p from endedIncarnation into the replica.
func (c *testController) putTransfer(t *testing.T, target storage.Incarnation) storage.TransferSlot {
	t.Helper()
	slot := storage.NewTransferSlot(target.Controller(), 0)
	c.put(t, storage.TransferKey(slot), storage.MustMarshal(storage.TransferRecord{
		Name: "transfer", Shard: "p", Source: endedIncarnation, Target: target, Phase: storage.TransferPrepared,
	}))
	return slot
}

// The successor for a shard in transfer is the target, regardless of the rendezvous weights. The
// successor for any other shard is a controller that is not draining.
func TestShardSuccessor(t *testing.T) {
	recordDrain := func(t *testing.T, c *testController, id protocol.ControllerID) {
		t.Helper()
		c.put(t, storage.DrainKey(id), []byte(`{}`))
	}
	for _, test := range []struct {
		name  string
		setUp func(t *testing.T, c *testController)
		want  bool
	}{
		{"in transfer to this controller", func(t *testing.T, c *testController) {
			c.putTransfer(t, c.commit.Lease.Incarnation())
		}, true},
		{"in transfer to another controller", func(t *testing.T, c *testController) {
			c.putTransfer(t, otherIncarnation)
		}, false},
		{"the other controller drains", func(t *testing.T, c *testController) { recordDrain(t, c, otherController) }, true},
		{"this controller drains", func(t *testing.T, c *testController) { recordDrain(t, c, selfController) }, false},
		{"in transfer to an ended incarnation, the other controller drains", func(t *testing.T, c *testController) {
			c.putTransfer(t, "tiller-8#1")
			recordDrain(t, c, otherController)
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newTestController(t)
			controller.registerOther(t)
			controller.putShard(t, "p", endedIncarnation, 3, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1})
			test.setUp(t, controller)
			if got := controller.Manager.isShardSuccessor("p"); got != test.want {
				t.Errorf("this controller is the successor for the shard: %v, want %v", got, test.want)
			}
		})
	}
}

// A failover raises the epoch of the shard above the former owner's, and ends the transfer that the
// former owner had begun. The transfer is committed if its target takes over the shard, and aborted if
// another controller does.
func TestFailoverEndsTransfer(t *testing.T) {
	for _, test := range []struct {
		name      string
		target    func(c *testController) storage.Incarnation
		wantPhase storage.TransferPhase
	}{
		{"taken over by the target", func(c *testController) storage.Incarnation {
			return c.commit.Lease.Incarnation()
		}, storage.TransferCommitted},
		{"taken over by another controller", func(*testController) storage.Incarnation {
			return "tiller-8#1"
		}, storage.TransferAborted},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newTestController(t)
			controller.putShard(t, "p", endedIncarnation, 3, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1})
			slot := controller.putTransfer(t, test.target(controller))
			controller.Manager.TrackExpiredIncarnations()
			writeFailovers := func() *commit.Batch {
				batch := controller.commit.ShardWriter.NewBatch(8)
				controller.Manager.WriteFailovers(batch)
				return batch
			}
			if len(writeFailovers().Transaction().Operations) > 0 {
				t.Error("the shard is taken over before the delay of a successor")
			}
			controller.Advance(1600 * time.Millisecond)
			batch := writeFailovers()
			shard := writtenShards(t, batch)["p"]
			if shard == nil || shard.Owner != controller.commit.Lease.Incarnation() || shard.Epoch != 4 {
				t.Fatalf("the shard is written as %+v, want this controller as the owner and epoch 4", shard)
			}
			for _, operation := range batch.Transaction().Operations {
				if operation.PutKey == storage.TransferKey(slot) {
					controller.put(t, operation.PutKey, operation.Value)
				}
			}
			if phase := controller.Replica.Transfers[slot].Record.Phase; phase != test.wantPhase {
				t.Errorf("the phase of the transfer is %s, want %s", phase, test.wantPhase)
			}
		})
	}
}
