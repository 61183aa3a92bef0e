package commit

import (
	"slices"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// MutableMachine adds the record of a machine to the batch and returns it for modification.
func (b *Batch) MutableMachine(id protocol.MachineID) *storage.MachineRecord {
	if record := b.machines[id]; record != nil {
		return record
	}
	record := b.shardWriter.Replica.Machines[id].Record.Clone()
	b.MutableShard(record.Shard)
	b.machines[id] = record
	return record
}

// AddMachine adds the record of a new machine to a shard of this incarnation. The machine's fencing
// token will be higher than seenToken, the one that its agent has seen. Callers must check
// CanAddMachine first.
func (b *Batch) AddMachine(id protocol.MachineID, record *storage.MachineRecord, seenToken protocol.FencingToken) {
	if !b.writesRegistry {
		b.reserveWrite(storage.RegistryKey, registryRecordSize)
		b.writesRegistry = true
	}
	seenEpoch := storage.ShardEpochOf(seenToken)
	shardID := b.findShardFor(record, seenEpoch)
	if shardID == "" {
		shardID = b.NewShard(b.shardWriter.lease.incarnation, max(seenEpoch+1, 1))
	}
	b.putMachine(shardID, id, record)
}

// findShardFor returns a shard of this incarnation that can take a new machine and whose epoch is
// above seenEpoch, the one that the machine's agent has seen. It returns an empty ID if there is no
// such shard. It prefers shards that the batch changes already.
func (b *Batch) findShardFor(record *storage.MachineRecord, seenEpoch storage.ShardEpoch) storage.ShardID {
	maxSize := b.shardWriter.limits.WriteLimits().ValueBytes - b.shardWriter.estimateMachineSize(record.MachineType)
	fits := func(draft *ShardDraft) bool {
		return draft.Owner == b.shardWriter.lease.incarnation && draft.Epoch > seenEpoch &&
			b.projectShardSize(draft) <= maxSize
	}
	for _, id := range step.SortedKeys(b.shards) {
		if fits(b.shards[id]) {
			return id
		}
	}
	for _, id := range b.shardWriter.OwnedShards() {
		if b.shards[id] == nil && !b.IsPostponed(storage.ShardKey(id)) && fits(draftOf(b.shardWriter.Replica.Shards[id])) {
			return id
		}
	}
	return ""
}

// putMachine adds a machine to a shard. The machine's record takes the shard's owner and epoch.
func (b *Batch) putMachine(shardID storage.ShardID, id protocol.MachineID, record *storage.MachineRecord) {
	const separatorSize = 3
	draft := b.MutableShard(shardID)
	draft.MachineIDs = append(slices.Clip(draft.MachineIDs), id) // the replica shares the list, so append must copy it
	size := len(record.EncodeLine(id)) + separatorSize
	draft.EstimatedSize += b.shardWriter.EstimateEncodedSize(size)
	b.estimatedBytes += size
	record.Shard, record.Owner, record.ShardEpoch = shardID, draft.Owner, draft.Epoch
	record.FencingToken = draft.Epoch.FencingToken(record.TokenCounter)
	b.machines[id] = record
}

// RemoveMachine removes a machine from its shard and with it the machine's record.
func (b *Batch) RemoveMachine(id protocol.MachineID) {
	draft := b.MutableShard(b.MachineRecord(id).Shard)
	isRemoved := func(other protocol.MachineID) bool { return other == id }
	draft.MachineIDs = slices.DeleteFunc(slices.Clone(draft.MachineIDs), isRemoved)
	delete(b.machines, id)
}

// MoveMachine moves a machine to another shard.
func (b *Batch) MoveMachine(id protocol.MachineID, shardID storage.ShardID) {
	record := b.MutableMachine(id)
	b.RemoveMachine(id)
	b.putMachine(shardID, id, record)
}

// RemovesMachine reports whether the batch removes the record of a machine.
func (b *Batch) RemovesMachine(id protocol.MachineID) bool {
	entry := b.shardWriter.Replica.Machines[id]
	if entry == nil || b.machines[id] != nil {
		return false
	}
	draft := b.shards[entry.Record.Shard]
	return draft != nil && !slices.Contains(draft.MachineIDs, id)
}

// AssignTasks assigns tasks of a job to a machine.
func (b *Batch) AssignTasks(id protocol.MachineID, job protocol.JobID, tasks []int, attempt protocol.Attempt) {
	record := b.MutableMachine(id)
	for _, index := range tasks {
		record.Assign(protocol.Task{Job: job, Index: index}, attempt)
	}
	size := assignmentSize + assignedTaskSize*len(tasks)
	b.MutableShard(record.Shard).EstimatedSize += b.shardWriter.EstimateEncodedSize(size)
	b.estimatedBytes += size
}

// BumpFencingToken raises the low part of a machine's fencing token, which is the machine's own. The
// machine's owner then sends the token to the agent, and the agent sends a heartbeat at once
// instead of some seconds later. A token whose low part is at its maximum stays as it is.
func (b *Batch) BumpFencingToken(id protocol.MachineID) {
	record := b.MutableMachine(id)
	if record.TokenCounter >= storage.MaxTokenCounter {
		return
	}
	record.TokenCounter++
	record.FencingToken = record.ShardEpoch.FencingToken(record.TokenCounter)
}
