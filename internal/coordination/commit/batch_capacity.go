package commit

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// ConditionCount is the number of keys that the transaction depends on so far.
func (b *Batch) ConditionCount() int { return len(b.conditions) }

// OpsLeft is how many more operations the batch may take.
func (b *Batch) OpsLeft() int { return b.opsLeft }

// LimitOps lowers the number of operations that the batch may still take.
func (b *Batch) LimitOps(n int) { b.opsLeft = min(b.opsLeft, n) }

// ReserveOps keeps operations back until they are released.
func (b *Batch) ReserveOps(n int) { b.opsLeft -= n }

// ReleaseOps gives back operations that were kept back.
func (b *Batch) ReleaseOps(n int) { b.opsLeft += n }

// HasCapacity tells whether n more records can be changed, however large they are.
func (b *Batch) HasCapacity(n int) bool {
	if n == 0 && b.estimatedBytes < protocol.MaxTransactionBytes {
		return true
	}
	return b.hasCapacityFor(n, n*b.shardWriter.limits.WriteLimits().ValueBytes)
}

// hasCapacityFor tells whether n more records of this size together can be changed.
func (b *Batch) hasCapacityFor(n, size int) bool {
	const conditionsPerRecord = 2
	return b.opsLeft >= n && b.estimatedBytes+size <= protocol.MaxTransactionBytes &&
		len(b.conditions)+conditionsPerRecord*n < b.shardWriter.limits.WriteLimits().MaxConditions()
}

// CanAddMachine tells whether one more machine can be added to the records: a shard and the
// registry.
func (b *Batch) CanAddMachine() bool { return b.HasCapacity(2) }

// OpsNeeded counts the operations that a change of a machine, if one is named, and of jobs
// would add to the batch.
func (b *Batch) OpsNeeded(machineID protocol.MachineID, jobs ...protocol.JobID) int {
	ops := b.machineWritesNeeded(machineID)
	for _, job := range jobs {
		if b.jobs[job] == nil {
			ops++
		}
	}
	return ops
}

func (b *Batch) machineWritesNeeded(id protocol.MachineID) int {
	if id == "" || b.machines[id] != nil {
		return 0
	}
	entry := b.shardWriter.Replica.Machines[id]
	switch {
	case entry == nil:
		return 1
	case b.shards[entry.Record.Shard] == nil:
		return b.shardWriter.ShardWriteOps(entry.Record.Shard)
	}
	return 0
}

// CanWriteMachines tells whether the shards of these machines and one job can be written
// besides what is in the batch; opsWhenEmpty is how many operations they are if an empty
// batch could take them, else 0.
func (b *Batch) CanWriteMachines(machines []protocol.MachineID) (fits bool, opsWhenEmpty int) {
	replica, limits := b.shardWriter.Replica, b.shardWriter.limits.WriteLimits()
	opsToAdd, sizeToAdd := 1, limits.ValueBytes // the job
	totalOps, totalSize := opsToAdd, sizeToAdd
	seen := map[storage.ShardID]bool{}
	for _, id := range machines {
		shardID := replica.Machines[id].Record.Shard
		if seen[shardID] {
			continue
		}
		seen[shardID] = true
		shardSize := replica.Shards[shardID].EncodedSize + shardSizeMargin
		shardOps := b.shardWriter.ShardWriteOps(shardID)
		totalOps, totalSize = totalOps+shardOps, totalSize+shardSize
		if b.shards[shardID] == nil {
			opsToAdd, sizeToAdd = opsToAdd+shardOps, sizeToAdd+shardSize
		}
	}
	maxOps := limits.TransactionOps * 3 / 4 // the rest is for what a batch takes before placements
	if totalOps <= maxOps && totalSize <= protocol.MaxTransactionBytes {
		opsWhenEmpty = totalOps
	}
	return b.hasCapacityFor(opsToAdd, sizeToAdd), opsWhenEmpty
}

// HasShardHeadroom tells whether the machine's shard can take more assignments: a shard
// stays well within a value, so that whatever ends there can be written.
func (b *Batch) HasShardHeadroom(machine *storage.MachineRecord) bool {
	size := 0
	if draft := b.shards[machine.Shard]; draft != nil {
		size = draft.EstimatedSize
	} else if shard := b.shardWriter.Replica.Shards[machine.Shard]; shard != nil {
		size = shard.EncodedSize
	}
	return size < maxFilledShardSize(b.shardWriter.limits.WriteLimits())
}
