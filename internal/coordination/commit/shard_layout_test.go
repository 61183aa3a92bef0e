package commit

import (
	"fmt"
	"testing"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A shard that has lost most of its machines is merged into another shard, with all its completed tasks. It
// is never merged into a shard where the fencing token of a machine would fall.
func TestMergeShards(t *testing.T) {
	for _, test := range []struct {
		name                   string
		smallCount, largeCount int // number of machines in each shard
		smallEpoch, largeEpoch storage.ShardEpoch
		completedGaps          int // number of gaps between the completed tasks in the large shard
		want                   bool
	}{
		{name: "one shard has few machines", smallCount: 5, largeCount: 30, smallEpoch: 3, largeEpoch: 3, want: true},
		{name: "the epoch of the large shard is higher", smallCount: 5, largeCount: 30, smallEpoch: 3, largeEpoch: 4, want: true},
		{name: "the epoch of the large shard is lower", smallCount: 5, largeCount: 30, smallEpoch: 4, largeEpoch: 3, want: false},
		{name: "both shards have many machines", smallCount: 30, largeCount: 30, smallEpoch: 3, largeEpoch: 3, want: false},
		{name: "the large shard is full", smallCount: 5, largeCount: 56, smallEpoch: 3, largeEpoch: 3, want: false},
		{
			name:          "the large shard has some completed tasks",
			smallCount:    5,
			largeCount:    30,
			smallEpoch:    3,
			largeEpoch:    3,
			completedGaps: 400,
			want:          true,
		},
		{
			name:          "the large shard is full of completed tasks",
			smallCount:    5,
			largeCount:    30,
			smallEpoch:    3,
			largeEpoch:    3,
			completedGaps: 1200,
			want:          false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newReadyController(t)
			controller.catalog.OnListMachineTypesResult(step.ListMachineTypesResult{
				MachineTypes: []protocol.MachineType{{Name: "s", Cores: 4, MemoryGB: 8, Zones: []protocol.Zone{"a"}}},
			})
			machineCount := 0
			putShard := func(id storage.ShardID, epoch storage.ShardEpoch, count int, completed storage.TaskSet) {
				var lines []string
				for range count {
					machineCount++
					record := storage.MachineRecord{Address: "10.1.0.1:9000", MachineType: "s", Zone: "a", AgentEpoch: 1}
					lines = append(lines, record.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%06d", machineCount))))
				}
				completedTasks := map[protocol.JobID]storage.TaskSet{"j-1": completed}
				data := storage.EncodePlainShard(controller.Lease.Incarnation(), epoch, lines, completedTasks)
				controller.Put(t, storage.ShardKey(id), data, 4)
			}
			putShard("a", test.smallEpoch, test.smallCount, storage.TaskRange(0, 3))
			largeCompleted, wantCompleted := storage.TaskRange(4, 5), "0-5"
			for gap := range test.completedGaps {
				task := 7 + 2*gap
				largeCompleted = largeCompleted.Add(task)
				wantCompleted += fmt.Sprintf(",%d", task)
			}
			putShard("b", test.largeEpoch, test.largeCount, largeCompleted)
			batch := controller.ShardWriter.NewBatch(8)
			controller.ShardWriter.MergeShards(batch)
			transaction := batch.Transaction()
			if merged := len(transaction.Operations) == 2; merged != test.want {
				t.Errorf("shards merged: %v, want the opposite", merged)
			}
			if !test.want {
				return
			}
			controller.Replication.applyOperations(transaction.Operations, 9)
			replica := controller.Replica
			completed := replica.CompletedTasks("j-1").String()
			isComplete := len(replica.Machines) == machineCount && len(replica.PopRemovedMachines()) == 0
			if len(replica.Shards) != 1 || !isComplete || completed != wantCompleted {
				t.Errorf("after the merge: %d shards, want 1; %d of %d machines, want all and none removed; completed tasks %s, want those of both shards",
					len(replica.Shards), len(replica.Machines), machineCount, completed)
			}
		})
	}
}
