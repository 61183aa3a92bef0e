package commit

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// ShardDraft is a shard as a batch leaves it.
type ShardDraft struct {
	Owner         storage.Incarnation
	Epoch         storage.ShardEpoch
	MachineIDs    []protocol.MachineID
	EstimatedSize int // encoded, in bytes
	doneTasks     map[protocol.JobID]storage.TaskSet
}

// draftOf is a shard as it is on record, without its done tasks, to see what it may take.
func draftOf(shard *storage.Shard) *ShardDraft {
	return &ShardDraft{
		Owner:         shard.Owner,
		Epoch:         shard.Epoch,
		MachineIDs:    shard.Machines,
		EstimatedSize: shard.EncodedSize,
	}
}

func (d *ShardDraft) isEmpty() bool { return len(d.MachineIDs) == 0 && len(d.doneTasks) == 0 }

// ChangeOwner gives the shard another owner. The epoch must be higher than before, so that the
// fencing tokens of the shard's machines rise with it.
func (d *ShardDraft) ChangeOwner(owner storage.Incarnation, epoch storage.ShardEpoch) {
	d.Owner = owner
	d.Epoch = epoch
}

// split splits a shard. What is done stays with the first half.
func (d *ShardDraft) split() (first, second *ShardDraft) {
	half := len(d.MachineIDs) / 2
	first = &ShardDraft{Owner: d.Owner, Epoch: d.Epoch, MachineIDs: d.MachineIDs[:half], doneTasks: d.doneTasks}
	second = &ShardDraft{Owner: d.Owner, Epoch: d.Epoch, MachineIDs: d.MachineIDs[half:]}
	return first, second
}

// MutableShard is a shard, to be changed. What is done of jobs that have ended is left out.
func (b *Batch) MutableShard(id storage.ShardID) *ShardDraft {
	if draft := b.shards[id]; draft != nil {
		return draft
	}
	replica := b.shardWriter.Replica
	shard := replica.Shards[id]
	ops := b.shardWriter.ShardWriteOps(id)
	draft := draftOf(shard)
	draft.doneTasks = map[protocol.JobID]storage.TaskSet{}
	if b.shardWriter.limits.StorageFormat() >= storage.FormatPacked {
		draft.EstimatedSize = replica.PackedShardSize(id)
	}
	for job, done := range shard.CompletedTasks {
		if entry := replica.Jobs[job]; entry == nil || !entry.Record.State.IsTerminal() {
			draft.doneTasks[job] = done
		}
	}
	b.reserveWrite(storage.ShardKey(id), shard.EncodedSize+shardSizeMargin)
	b.opsLeft -= ops - 1 // reserveWrite counts one
	b.shards[id] = draft
	return draft
}

// NewShard begins a shard that is not on record yet.
func (b *Batch) NewShard(owner storage.Incarnation, epoch storage.ShardEpoch) storage.ShardID {
	id := b.shardWriter.newShardID()
	b.reserveWrite(storage.ShardKey(id), shardSizeMargin)
	b.shards[id] = &ShardDraft{
		Owner:     owner,
		Epoch:     epoch,
		doneTasks: map[protocol.JobID]storage.TaskSet{},
	}
	return id
}
