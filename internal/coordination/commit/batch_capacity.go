package commit

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// OpsLeft returns the number of operations that can still be added to the batch.
func (b *Batch) OpsLeft() int { return b.opsLeft }

// LimitOps lowers the number of operations that OpsLeft returns to n if the number is higher.
func (b *Batch) LimitOps(n int) { b.opsLeft = min(b.opsLeft, n) }

// ReserveOps withholds n operations until ReleaseOps releases them.
func (b *Batch) ReserveOps(n int) { b.opsLeft -= n }

// ReleaseOps makes n operations available that ReserveOps has withheld.
func (b *Batch) ReleaseOps(n int) { b.opsLeft += n }

// HasCapacity reports whether the batch has capacity to change n more records of the maximum size. The change
// may add up to conditionsPerRecord conditions for each record, and one condition if n is 0.
func (b *Batch) HasCapacity(n int) bool {
	return b.hasCapacityFor(n, n*b.shardWriter.limits.WriteLimits().ValueBytes, max(conditionsPerRecord*n, 1))
}

// HasCapacityWith reports whether the batch has capacity to change n more records of the maximum size and to
// depend on keys in addition. Each of the records adds one condition, on its own key.
func (b *Batch) HasCapacityWith(n int, keys ...string) bool {
	newKeys := map[string]bool{}
	for _, key := range keys {
		if _, isKnown := b.conditions[key]; !isKnown {
			newKeys[key] = true
		}
	}
	return b.hasCapacityFor(n, n*b.shardWriter.limits.WriteLimits().ValueBytes, n+len(newKeys))
}

// conditionsPerRecord is the number of conditions that the change of one record may add: one on the record's
// own key, and one on the key of another record that the change rests on.
const conditionsPerRecord = 2

// hasCapacityFor reports whether the batch has capacity for further operations, with values of size bytes in
// total, and further conditions.
func (b *Batch) hasCapacityFor(operations, size, conditions int) bool {
	conditions += registrationConditions
	return b.opsLeft >= operations &&
		len(b.conditions)+conditions <= b.maxConditions &&
		b.estimatedBytes+maxEncodedSize(operations, size, conditions) <= protocol.MaxTransactionBytes
}

// registrationConditions is the number of conditions that every transaction has besides those of its batch
// (Committer.registrationCondition).
const registrationConditions = 1

// IsPostponed reports whether the record under a key is left out of batches for now, because it could
// not be written.
func (b *Batch) IsPostponed(key string) bool { return b.shardWriter.isPostponed(key) }

// CanAddMachine reports whether the batch has capacity to add one more machine to the records,
// which writes a shard and the registry.
func (b *Batch) CanAddMachine() bool { return b.HasCapacity(2) }

// OpsNeeded returns the number of operations that a change of a machine and of jobs would add to
// the batch. An empty machineID means no machine.
func (b *Batch) OpsNeeded(machineID protocol.MachineID, jobs ...protocol.JobID) int {
	ops := b.machineWritesNeeded(machineID)
	for _, job := range jobs {
		if b.jobs[job] == nil {
			ops += b.shardWriter.JobWriteOps(job)
		}
	}
	return ops
}

// machineWritesNeeded returns the number of operations that a change of a machine would add to the
// batch.
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

// CanWriteMachines reports whether the batch has capacity to write the shards of these machines and
// one job in addition to its other changes. opsWhenEmpty is the number of operations that these
// writes need if an empty batch has capacity for them, and 0 otherwise.
func (b *Batch) CanWriteMachines(machines []protocol.MachineID) (fits bool, opsWhenEmpty int) {
	replica, limits := b.shardWriter.Replica, b.shardWriter.limits.WriteLimits()
	opsToAdd, sizeToAdd := 1, limits.ValueBytes // for the job's record, at its maximum size
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
	maxOps := limits.TransactionOps * 3 / 4 // the rest is for changes that are added to a batch before placements
	totalConditions := conditionsPerRecord*totalOps + registrationConditions
	if totalOps <= maxOps && maxEncodedSize(totalOps, totalSize, totalConditions) <= protocol.MaxTransactionBytes {
		opsWhenEmpty = totalOps
	}
	return b.hasCapacityFor(opsToAdd, sizeToAdd, conditionsPerRecord*opsToAdd), opsWhenEmpty
}

// HasShardHeadroom reports whether the machine's shard can take more assignments. A shard stays
// well below the maximum size of a value, so that the completion of its tasks can be recorded.
func (b *Batch) HasShardHeadroom(machine *storage.MachineRecord) bool {
	size := 0
	if draft := b.shards[machine.Shard]; draft != nil {
		size = draft.EstimatedSize
	} else if shard := b.shardWriter.Replica.Shards[machine.Shard]; shard != nil {
		size = shard.EncodedSize
	}
	return size < maxFilledShardSize(b.shardWriter.limits.WriteLimits())
}
