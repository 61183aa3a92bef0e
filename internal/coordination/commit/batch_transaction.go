package commit

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// isEmpty reports whether the batch has no change that warrants a transaction. Quota locks and the
// registry only accompany other changes.
func (b *Batch) isEmpty() bool {
	return len(b.jobs) == 0 && len(b.shards) == 0 && len(b.transfers)+len(b.drains)+len(b.parts) == 0
}

// Transaction returns the encoded batch. Equal batches yield equal transactions, because the keys
// are sorted.
func (b *Batch) Transaction() protocol.Transaction {
	var transaction protocol.Transaction
	put := func(key string, value []byte) {
		transaction.Operations = append(transaction.Operations, protocol.Operation{PutKey: key, Value: value})
	}
	incarnation := b.shardWriter.lease.incarnation
	transaction.Operations = append(transaction.Operations, b.partOperations()...)
	for _, id := range step.SortedKeys(b.jobs) {
		transaction.Operations = append(transaction.Operations, b.jobOperations(id, b.jobs[id])...)
	}
	for _, id := range step.SortedKeys(b.shards) {
		transaction.Operations = append(transaction.Operations, b.shardOperations(id, b.shards[id])...)
	}
	for _, slot := range step.SortedKeys(b.transfers) {
		put(storage.TransferKey(slot), storage.MustMarshal(b.transfers[slot]))
	}
	for _, id := range step.SortedKeys(b.drains) {
		transaction.Operations = append(transaction.Operations, b.drains[id].operation(id))
	}
	if b.writesRegistry {
		put(storage.RegistryKey, storage.MustMarshal(storage.RegistryRecord{UpdatedBy: incarnation}))
	}
	for _, team := range step.SortedKeys(b.lockedTeams) {
		record := storage.QuotaRecord{UpdatedBy: incarnation, TransactionID: b.shardWriter.committer.lastTransactionID}
		put(storage.QuotaKey(team), storage.MustMarshal(record))
	}
	for _, key := range step.SortedKeys(b.conditions) {
		transaction.Conditions = append(transaction.Conditions, protocol.Condition{Key: key, ModRevision: b.conditions[key]})
	}
	return transaction
}

// shardOperations returns the operations that write a shard, or delete it if the draft is empty.
func (b *Batch) shardOperations(id storage.ShardID, draft *ShardDraft) []protocol.Operation {
	if !draft.isEmpty() {
		return b.encodeShard(id, draft)
	}
	if isRecorded := b.conditions[storage.ShardKey(id)] != 0; isRecorded {
		return []protocol.Operation{{DeleteKey: storage.ShardKey(id)}}
	}
	return nil
}

// encodeShard returns the operations that write a shard. A packed shard that exceeds the maximum
// size of a value is split into several shards with the same owner and epoch. The new shards come
// first, so that each machine is on some shard after every operation. A shard that has no machines to
// split off is written in parts.
func (b *Batch) encodeShard(id storage.ShardID, draft *ShardDraft) []protocol.Operation {
	lines := make([]string, len(draft.MachineIDs))
	for i, machineID := range draft.MachineIDs {
		if record := b.machines[machineID]; record != nil {
			lines[i] = record.EncodeLine(machineID)
		} else {
			lines[i] = b.shardWriter.Replica.EncodedLine(machineID)
		}
	}
	format := b.shardWriter.limits.StorageFormat()
	data := storage.EncodeShard(format, draft.Owner, draft.Epoch, lines, draft.completedTasks)
	maxValueBytes := b.shardWriter.limits.WriteLimits().ValueBytes
	isDivisible := len(draft.MachineIDs) >= 2
	switch fits := len(data) <= maxValueBytes; {
	case !fits && !isDivisible && b.shardWriter.writesParts():
		value, parts := storage.EncodeShardInParts(id, draft.Owner, draft.Epoch, lines, draft.completedTasks, maxValueBytes)
		return putWithParts(storage.ShardKey(id), value, parts)
	case fits || !isDivisible || format < storage.FormatPacked:
		return putWithParts(storage.ShardKey(id), data, nil)
	}
	first, second := draft.split()
	secondID := b.shardWriter.newShardID()
	b.DependOn(storage.ShardKey(secondID))
	return append(b.encodeShard(secondID, second), b.encodeShard(id, first)...)
}
