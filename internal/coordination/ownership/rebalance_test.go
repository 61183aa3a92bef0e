package ownership

import (
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A planned transfer is written as a transfer record, so that the shard is quiesced first, or as a change
// of the owner. The owner is changed at once if transfers are not recorded, if the version of the target
// does not know transfer records, or if this controller is overloaded and has no time to quiesce the shard.
func TestRebalanceWrites(t *testing.T) {
	for _, test := range []struct {
		name                    string
		recordSetting           bool
		targetSupportsTransfers bool
		overloaded              bool
		wantRecorded            bool
		wantOwnerChanged        bool // whether the owner of the shard is changed at once
		wantAcceptsShards       bool // whether this controller accepts shards shortly afterwards
	}{
		{"the transfer is recorded", true, true, false, true, false, true},
		{"the setting to record transfers is off", false, true, false, false, true, true},
		{"the version of the target does not know transfer records", true, false, false, false, true, true},
		{"overloaded", true, true, true, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newTestController(t)
			controller.Config.RecordTransfers = test.recordSetting
			target := storage.ControllerRecord{Incarnation: otherIncarnation, SupportsTransfers: test.targetSupportsTransfers}
			controller.put(t, storage.ControllerKey(otherController), storage.MustMarshal(target))
			self := controller.commit.Lease.Incarnation()
			for i := range 4 {
				record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1}
				lines := []string{record.EncodeLine(protocol.MachineID(fmt.Sprint("m-", i)))}
				id := storage.ShardID(fmt.Sprint("p-", i))
				controller.put(t, storage.ShardKey(id), storage.EncodePlainShard(self, 3, lines, nil))
			}
			controller.Advance(time.Minute)
			if test.overloaded {
				for range 100 {
					controller.Advance(400 * time.Millisecond)
					controller.Overload.RecordTick()
				}
			}
			if controller.Manager.acceptsShards() == test.overloaded {
				t.Errorf("this controller accepts shards: %v, want the opposite, because overloaded is %v",
					test.overloaded, test.overloaded)
			}
			controller.Peers.RecordStatus(&step.PeerStatus{
				ControllerID: otherController, Incarnation: otherIncarnation, StoreReachable: true, AcceptsShards: true,
			})
			batch := controller.commit.ShardWriter.NewBatch(8)
			controller.Transfers.Rebalance(batch)
			controller.Transfers.Rebalance(batch) // writes nothing, because the next rebalance is not due yet
			transferred, recorded := 0, 0
			for _, shard := range writtenShards(t, batch) {
				if shard.Owner == otherIncarnation && shard.Epoch == 4 {
					transferred++
				}
			}
			for number := range storage.TransferSlotsPerController {
				if batch.ChangesTransfer(storage.NewTransferSlot(otherController, number)) {
					recorded++
				}
			}
			if (recorded == 1) != test.wantRecorded || (transferred == 1) != test.wantOwnerChanged || recorded+transferred != 1 {
				t.Errorf("%d transfers recorded and %d owners changed, want one in total: a transfer for wantRecorded, an owner for wantOwnerChanged",
					recorded, transferred)
			}
			for range 100 { // until the overload, if there was one, has passed
				controller.Advance(50 * time.Millisecond)
				controller.Overload.RecordTick()
			}
			if got := controller.Manager.acceptsShards(); got != test.wantAcceptsShards {
				t.Errorf("this controller accepts shards: %v, want %v", got, test.wantAcceptsShards)
			}
		})
	}
}
