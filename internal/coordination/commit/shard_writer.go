package commit

import (
	"fmt"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TransferTracker provides the shards that are being transferred.
type TransferTracker interface {
	// ShardsInTransfer returns the shards with a transfer in a matching phase.
	ShardsInTransfer(matches func(storage.TransferPhase) bool) map[storage.ShardID]bool
}

// ShardWriter creates the batches that change records, and keeps the shards of this controller at a
// size that fits a value of the store.
type ShardWriter struct {
	*step.Context

	catalog   *catalog.Catalog
	committer *Committer
	election  SuccessorElection
	lease     *Lease
	limits    *WriteLimiter
	transfers TransferTracker

	shardSequence    int                                 // number of shard IDs that this process has created
	completeSince    map[protocol.JobID]protocol.Instant // when all tasks of an unfinished job of another owner were found completed
	nextShardMergeAt protocol.Instant
	oversized        oversizedRecords
}

func newShardWriter(ctx *step.Context) *ShardWriter {
	return &ShardWriter{
		Context:       ctx,
		completeSince: map[protocol.JobID]protocol.Instant{},
		oversized:     newOversizedRecords(),
	}
}

// OwnedShards returns the shards of this incarnation, sorted.
func (w *ShardWriter) OwnedShards() []storage.ShardID {
	return step.SelectKeys(w.Replica.Shards, func(shard *storage.Shard) bool { return w.lease.owns(shard.Owner) })
}

// ShardWriteOps returns the number of operations that are needed to write a shard. A shard that was
// written in the plain format may have to be split into several shards in the packed format, and the
// shard of a single machine into parts. It is unwritableOps if the shard cannot be written now.
func (w *ShardWriter) ShardWriteOps(id storage.ShardID) int {
	if w.isPostponed(storage.ShardKey(id)) {
		return unwritableOps
	}
	maxValueBytes := w.limits.WriteLimits().ValueBytes
	shard := w.Replica.Shards[id]
	if shard == nil || w.limits.StorageFormat() < storage.FormatPacked || shard.EncodedSize <= maxValueBytes {
		return 1
	}
	size := addQuarter(w.Replica.PackedShardSize(id))
	ops := max((size+maxValueBytes-1)/maxValueBytes, 1)
	if ops > 1 && len(shard.Machines) < 2 {
		ops++ // the value that lists the parts
	}
	return ops
}

// newShardID returns an ID that no shard has had before.
func (w *ShardWriter) newShardID() storage.ShardID {
	w.shardSequence++
	return storage.ShardID(fmt.Sprintf("%s-%d", w.lease.incarnation, w.shardSequence))
}
