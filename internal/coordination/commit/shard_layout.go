package commit

import (
	"cmp"
	"log/slog"
	"slices"

	"tillerarch/internal/storage"
)

// MergeShards merges a shard that has lost most of its machines into another shard of this
// incarnation, because each shard costs an operation of its own whenever a task begins or ends on
// it. It merges at most one shard every MinRebalanceInterval, and only into a shard where no fencing
// token falls. Shards with an open transfer stay as they are until the transfer has ended.
func (w *ShardWriter) MergeShards(batch *Batch) {
	if w.Now.Monotonic < w.nextShardMergeAt || !batch.HasCapacity(2) {
		return
	}
	w.nextShardMergeAt = w.Now.Monotonic.Add(w.Config.MinRebalanceInterval)
	candidates := w.mergeCandidates(batch)
	for _, source := range candidates {
		if !w.isMergeSource(batch, source) {
			continue
		}
		for _, target := range candidates {
			if w.canMerge(batch, source, target) {
				w.mergeShard(batch, source.id, target.id)
				return
			}
		}
	}
}

// mergeCandidate is a shard with the size, in bytes, to which it may grow.
type mergeCandidate struct {
	id            storage.ShardID
	shard         *storage.Shard
	projectedSize int
}

// mergeCandidates returns the shards of this incarnation without an open transfer, those with the
// smallest projected size first.
func (w *ShardWriter) mergeCandidates(batch *Batch) []mergeCandidate {
	inTransfer := w.transfers.ShardsInTransfer(storage.TransferPhase.IsOpen)
	var candidates []mergeCandidate
	for _, id := range w.OwnedShards() {
		if inTransfer[id] || batch.IsPostponed(storage.ShardKey(id)) {
			continue
		}
		shard := w.Replica.Shards[id]
		candidates = append(candidates, mergeCandidate{
			id:            id,
			shard:         shard,
			projectedSize: batch.projectShardSize(draftOf(shard)),
		})
	}
	slices.SortStableFunc(candidates, func(a, z mergeCandidate) int {
		return cmp.Compare(a.projectedSize, z.projectedSize)
	})
	return candidates
}

// isMergeSource reports whether a shard is so small that it should be merged into another one.
func (w *ShardWriter) isMergeSource(batch *Batch, source mergeCandidate) bool {
	isSmall := source.projectedSize <= maxMergeSourceSize(w.limits.WriteLimits())
	return isSmall && len(source.shard.Machines) > 0 && !batch.ChangesShard(source.id)
}

// canMerge reports whether the source can be merged into the target.
func (w *ShardWriter) canMerge(batch *Batch, source, target mergeCandidate) bool {
	if target.id == source.id || batch.ChangesShard(target.id) || len(target.shard.Machines) == 0 {
		return false
	}
	if target.shard.Epoch < source.shard.Epoch {
		return false // fencing tokens would fall
	}
	limits := w.limits.WriteLimits()
	return target.projectedSize+source.projectedSize <= maxFilledShardSize(limits) &&
		target.shard.EncodedSize+source.shard.EncodedSize <= maxMergedShardSize(limits)
}

// mergeShard moves the machines and the completed tasks of the source to the target.
func (w *ShardWriter) mergeShard(batch *Batch, sourceID, targetID storage.ShardID) {
	machines := w.Replica.Shards[sourceID].Machines
	source := batch.MutableShard(sourceID)
	for _, machineID := range machines {
		batch.MoveMachine(machineID, targetID)
	}
	target := batch.MutableShard(targetID)
	for job, completed := range source.completedTasks {
		target.completedTasks[job] = target.completedTasks[job].Union(completed)
		target.EstimatedSize += mergedJobSize + len(completed.String())
	}
	clear(source.completedTasks)
	batch.Log(slog.LevelInfo, "shards merged", "source", string(sourceID), "count", len(machines), "target", string(targetID))
}

// SplitShards splits in two the shards of this incarnation that are close to the maximum size of a
// value.
func (w *ShardWriter) SplitShards(batch *Batch) {
	for _, id := range w.OwnedShards() {
		shard := w.Replica.Shards[id]
		isDue := shard.EncodedSize >= w.shardSplitThreshold() && len(shard.Machines) >= 2
		if !isDue || batch.ChangesShard(id) || !batch.HasCapacity(w.ShardWriteOps(id)+1) {
			continue
		}
		batch.MutableShard(id)
		targetID := batch.NewShard(shard.Owner, shard.Epoch)
		for _, machineID := range shard.Machines[len(shard.Machines)/2:] {
			batch.MoveMachine(machineID, targetID)
		}
	}
}

// shardSplitThreshold returns the size, in bytes, from which a shard is split. The size of a packed
// shard changes less evenly, so a packed shard is split at the size at which it stops taking tasks.
func (w *ShardWriter) shardSplitThreshold() int {
	limits := w.limits.WriteLimits()
	if w.limits.StorageFormat() < storage.FormatPacked {
		return maxPlainShardSize(limits)
	}
	return maxFilledShardSize(limits)
}
