package commit

import (
	"fmt"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TransferTracker knows the shards that are being transferred.
type TransferTracker interface {
	ShardsInTransfer(matches func(storage.TransferPhase) bool) map[storage.ShardID]bool
}

// ShardWriter builds the transactions that change shards of machines, and keeps the shards of this
// controller at a size that fits a value of the store.
type ShardWriter struct {
	*step.Context

	catalog   *catalog.Catalog
	committer *Committer
	lease     *Lease
	limits    *WriteLimiter
	transfers TransferTracker

	shardSequence    int                                 // of the shards that this process has named
	completeSince    map[protocol.JobID]protocol.Instant // since when all tasks of another owner's unfinished job are done
	nextShardMergeAt protocol.Instant
}

func newShardWriter(ctx *step.Context) *ShardWriter {
	return &ShardWriter{
		Context:       ctx,
		completeSince: map[protocol.JobID]protocol.Instant{},
	}
}

// OwnedShards lists the shards of this incarnation.
func (w *ShardWriter) OwnedShards() []storage.ShardID {
	return step.SelectKeys(w.Replica.Shards, func(shard *storage.Shard) bool { return w.lease.owns(shard.Owner) })
}

// ShardWriteOps is how many operations it takes to write a shard: one that was written in the
// plain format may take several parts in the packed one.
func (w *ShardWriter) ShardWriteOps(id storage.ShardID) int {
	maxValueBytes := w.limits.WriteLimits().ValueBytes
	shard := w.Replica.Shards[id]
	if shard == nil || w.limits.StorageFormat() < storage.FormatPacked || shard.EncodedSize <= maxValueBytes {
		return 1
	}
	size := addQuarter(w.Replica.PackedShardSize(id))
	return max((size+maxValueBytes-1)/maxValueBytes, 1)
}

func (w *ShardWriter) newShardID() storage.ShardID {
	w.shardSequence++
	return storage.ShardID(fmt.Sprintf("%s-%d", w.lease.incarnation, w.shardSequence))
}
