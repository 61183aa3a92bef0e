package commit

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// ShardDraft is a shard with the changes of a batch.
type ShardDraft struct {
	Owner          storage.Incarnation
	Epoch          storage.ShardEpoch
	MachineIDs     []protocol.MachineID
	EstimatedSize  int // estimated size of the encoded shard in bytes
	completedTasks map[protocol.JobID]storage.TaskSet
}

// draftOf returns a draft of a shard as it is in the replica, without its completed tasks. Such a draft
// suffices to estimate what the shard can hold.
func draftOf(shard *storage.Shard) *ShardDraft {
	return &ShardDraft{
		Owner:         shard.Owner,
		Epoch:         shard.Epoch,
		MachineIDs:    shard.Machines,
		EstimatedSize: shard.EncodedSize,
	}
}

// isEmpty reports whether the shard has neither machines nor completed tasks.
func (d *ShardDraft) isEmpty() bool { return len(d.MachineIDs) == 0 && len(d.completedTasks) == 0 }

// ChangeOwner sets another owner and epoch. The epoch must be higher than before, so that the fencing
// tokens of the shard's machines rise with it.
func (d *ShardDraft) ChangeOwner(owner storage.Incarnation, epoch storage.ShardEpoch) {
	d.Owner = owner
	d.Epoch = epoch
}

// split returns two drafts with half of the machines each. The completed tasks stay with the first.
func (d *ShardDraft) split() (first, second *ShardDraft) {
	half := len(d.MachineIDs) / 2
	first = &ShardDraft{Owner: d.Owner, Epoch: d.Epoch, MachineIDs: d.MachineIDs[:half], completedTasks: d.completedTasks}
	second = &ShardDraft{Owner: d.Owner, Epoch: d.Epoch, MachineIDs: d.MachineIDs[half:]}
	return first, second
}

// MutableShard adds a shard to the batch and returns its draft for modification. The draft omits the
// completed tasks of jobs that have ended.
func (b *Batch) MutableShard(id storage.ShardID) *ShardDraft {
	if draft := b.shards[id]; draft != nil {
		return draft
	}
	replica := b.shardWriter.Replica
	shard := replica.Shards[id]
	draft := draftOf(shard)
	draft.completedTasks = map[protocol.JobID]storage.TaskSet{}
	if b.shardWriter.limits.StorageFormat() >= storage.FormatPacked {
		draft.EstimatedSize = replica.PackedShardSize(id)
	}
	for job, completed := range shard.CompletedTasks {
		if entry := replica.Jobs[job]; entry == nil || !entry.Record.State.IsTerminal() {
			draft.completedTasks[job] = completed
		}
	}
	if ops := b.shardWriter.ShardWriteOps(id); ops < unwritableOps {
		b.opsLeft -= ops - 1 // reserveWrite counts one operation
	}
	b.reserveWrite(storage.ShardKey(id), shard.EncodedSize+shardSizeMargin)
	b.shards[id] = draft
	return draft
}

// NewShard adds a new shard without machines to the batch and returns its ID.
func (b *Batch) NewShard(owner storage.Incarnation, epoch storage.ShardEpoch) storage.ShardID {
	id := b.shardWriter.newShardID()
	b.reserveWrite(storage.ShardKey(id), shardSizeMargin)
	b.shards[id] = &ShardDraft{
		Owner:          owner,
		Epoch:          epoch,
		completedTasks: map[protocol.JobID]storage.TaskSet{},
	}
	return id
}
