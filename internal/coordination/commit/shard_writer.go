package commit

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

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
	commits   *Committer
	lease     *Lease
	limits    *WriteLimiter
	transfers TransferTracker

	shardSequence    int
	completeSince    map[protocol.JobID]protocol.Instant // since when all tasks of an unfinished job of another owner are done
	nextShardMergeAt protocol.Instant                    // when pages may next be joined
}

// ownerCompletionTimeout is how long the owner of a job has to record that all its tasks are
// done, before another controller does.
const ownerCompletionTimeout = 1500 * time.Millisecond

func NewShardWriter(ctx *step.Context) *ShardWriter {
	return &ShardWriter{Context: ctx, completeSince: map[protocol.JobID]protocol.Instant{}}
}

func (w *ShardWriter) NewBatch(maxOps int) *Batch {
	return &Batch{shardWriter: w, opsLeft: maxOps, conditions: map[string]protocol.ModRevision{}, jobs: map[protocol.JobID]*storage.JobRecord{},
		shards: map[storage.ShardID]*ShardDraft{}, machines: map[protocol.MachineID]*storage.MachineRecord{}, teams: map[string]bool{}, transfers: map[storage.TransferSlot]*storage.TransferRecord{}, drains: map[protocol.ControllerID]*DrainChange{}, newlyDone: map[protocol.JobID]storage.TaskSet{}, failedServices: map[protocol.JobID]bool{}}
}

func (w *ShardWriter) newShardID() storage.ShardID {
	w.shardSequence++
	return storage.ShardID(fmt.Sprintf("%s-%d", w.lease.incarnation, w.shardSequence))
}

// ConsolidateDoneTasks moves what is done from own pages to the jobs' records: where a
// page fills up, or has no machines left.
func (w *ShardWriter) ConsolidateDoneTasks(b *Batch) {
	maps.DeleteFunc(w.completeSince, func(id protocol.JobID, _ protocol.Instant) bool { return w.Replica.UnfinishedJobs[id] == nil })
	for _, id := range step.SortedKeys(w.Replica.UnfinishedJobs) {
		entry := w.Replica.UnfinishedJobs[id]
		isOwner := entry.Record.Owner == w.lease.incarnation
		completeSince, isKnown := w.completeSince[id]
		if w.Replica.CompletedTasks(id).Len() < entry.Record.Spec.TaskCount {
			delete(w.completeSince, id)
		} else if !isKnown && !isOwner {
			w.completeSince[id] = w.Now.Monotonic // its owner writes it, if it is alive
		} else if isOwner || w.Since(completeSince) > ownerCompletionTimeout {
			b.CompleteJobIfDone(id)
		}
	}
	for _, id := range w.OwnedShards() {
		p := w.Replica.Shards[id]
		if len(p.CompletedTasks) == 0 || !w.needsConsolidation(p) && len(p.Machines) > 0 || b.shards[id] == nil && !b.HasCapacity(2) {
			continue
		}
		d := b.MutableShard(id)
		for _, j := range step.SortedKeys(d.doneTasks) {
			if w.Replica.Jobs[j] == nil || !b.HasCapacity(b.WritesNeeded("", j)) {
				continue
			}
			if r := b.MutableJob(j); !r.State.IsTerminal() {
				r.CompletedTasks = r.CompletedTasks.Union(d.doneTasks[j])
			}
			delete(d.doneTasks, j)
		}
	}
}

// needsConsolidation tells whether the done tasks on a page are to move to their jobs' records: a
// change each, so not before the room is needed. A packed page that is full of machines
// is cut in two instead.
func (w *ShardWriter) needsConsolidation(p *storage.Shard) bool {
	limit := w.limits.WriteLimits().ValueBytes
	if w.limits.StorageFormat() < storage.FormatPacked {
		return p.EncodedSize >= limit*3/4
	}
	const perJob, perSpan = 8, 2 // bytes, as packed
	size := 0
	for _, r := range p.CompletedTasks {
		size += perJob + perSpan*r.IntervalCount()
	}
	return size >= limit/4
}

// EstimateEncodedSize estimates what plain text takes of a page.
func (w *ShardWriter) EstimateEncodedSize(plain int) int {
	if w.limits.StorageFormat() < storage.FormatPacked {
		return plain
	}
	return int(float64(plain)*packedSizeRatio) + 1
}

// estimateMachineSize is what a machine of a type is reckoned to take of a page: more
// cores have more assignments.
func (w *ShardWriter) estimateMachineSize(machineType protocol.MachineTypeName) int {
	cores := 4.0
	if f := w.catalog.MachineType(machineType); f != nil {
		cores = f.Cores
	}
	return w.EstimateEncodedSize(64 + 18*int(min(max(cores, 2), 20)))
}

// OwnedShards lists the pages of this run.
func (w *ShardWriter) OwnedShards() []storage.ShardID {
	return step.SelectKeys(w.Replica.Shards, func(p *storage.Shard) bool { return w.lease.incarnation != "" && p.Owner == w.lease.incarnation })
}

// MergeShards puts what is left on a page that has lost most of its machines onto
// another page of this run: each page costs a change of its own whenever something
// begins or ends there. One at a time, and only to where tokens do not fall. Pages with an
// open move stay as they are until it has ended.
func (w *ShardWriter) MergeShards(b *Batch) {
	if w.Now.Monotonic < w.nextShardMergeAt || !b.HasCapacity(2) {
		return
	}
	w.nextShardMergeAt = w.Now.Monotonic.Add(w.Config.MinRebalanceInterval)
	inTransfer := w.transfers.ShardsInTransfer(storage.TransferPhase.IsOpen)
	shards := slices.DeleteFunc(w.OwnedShards(), func(id storage.ShardID) bool { return inTransfer[id] })
	projected := map[storage.ShardID]int{}
	for _, id := range shards {
		p := w.Replica.Shards[id]
		projected[id] = b.projectShardSize(&ShardDraft{MachineIDs: p.Machines, EstimatedSize: p.EncodedSize})
	}
	slices.SortStableFunc(shards, func(a, z storage.ShardID) int { return cmp.Compare(projected[a], projected[z]) })
	for _, id := range shards {
		p := w.Replica.Shards[id]
		if projected[id] > w.limits.WriteLimits().ValueBytes/3 || len(p.Machines) == 0 || b.shards[id] != nil {
			continue
		}
		for _, targetID := range shards {
			target := w.Replica.Shards[targetID]
			if targetID == id || b.shards[targetID] != nil || target.Epoch < p.Epoch || len(target.Machines) == 0 ||
				projected[targetID]+projected[id] > w.limits.WriteLimits().ValueBytes*7/8 || target.EncodedSize+p.EncodedSize > w.limits.WriteLimits().ValueBytes*3/4 {
				continue
			}
			sourceDraft := b.MutableShard(id)
			for _, m := range p.Machines {
				b.MoveMachine(m, targetID)
			}
			targetDraft := b.MutableShard(targetID)
			for j, r := range sourceDraft.doneTasks {
				targetDraft.doneTasks[j] = targetDraft.doneTasks[j].Union(r)
				targetDraft.EstimatedSize += 20 + len(r.String())
			}
			clear(sourceDraft.doneTasks)
			b.Log(slog.LevelInfo, "shards merged", "source", string(id), "count", len(p.Machines), "target", string(targetID))
			return
		}
	}
}

// shardSplitThreshold is the size from which a page is cut in two. What is packed changes its
// size less evenly, and is cut before it takes no more tasks.
func (w *ShardWriter) shardSplitThreshold() int {
	if w.limits.StorageFormat() < storage.FormatPacked {
		return w.limits.WriteLimits().ValueBytes * 15 / 16
	}
	return w.limits.WriteLimits().ValueBytes * 7 / 8
}

// SplitShards cuts own pages in two that come near the size of a value.
func (w *ShardWriter) SplitShards(b *Batch) {
	for _, id := range w.OwnedShards() {
		p := w.Replica.Shards[id]
		if p.EncodedSize < w.shardSplitThreshold() || len(p.Machines) < 2 || b.shards[id] != nil || !b.HasCapacity(2) {
			continue
		}
		b.MutableShard(id)
		targetID := b.NewShard(p.Owner, p.Epoch)
		for _, m := range p.Machines[len(p.Machines)/2:] {
			b.MoveMachine(m, targetID)
		}
	}
}

// ReencodeOversized rewrites what this run is responsible for and what the limits would refuse as
// it is: pages and jobs written before the format was raised. It takes what room there
// is, so a few transactions do; whatever else needs such a record before rewrites it the
// same way.
func (w *ShardWriter) ReencodeOversized(b *Batch) {
	if w.limits.StorageFormat() < storage.FormatPacked {
		return
	}
	maxValueBytes := w.limits.WriteLimits().ValueBytes
	// Once that is done there are none, at each transaction: only what is found is sorted.
	shards := step.SelectKeys(w.Replica.Shards, func(p *storage.Shard) bool { return p.Owner == w.lease.incarnation && p.EncodedSize > maxValueBytes })
	for _, id := range shards {
		if b.shards[id] == nil && b.HasCapacity(w.ShardWriteOps(id)) {
			b.MutableShard(id)
		}
	}
	jobs := step.SelectKeys(w.Replica.UnfinishedJobs, func(e *storage.Versioned[storage.JobRecord]) bool {
		return e.Record.Owner == w.lease.incarnation && e.EncodedSize > maxValueBytes
	})
	for _, id := range jobs {
		if b.HasCapacity(b.WritesNeeded("", id)) {
			b.MutableJob(id)
		}
	}
}

// ShardWriteOps is how many changes it takes to write a page: one that was written in the
// plain format may take several parts.
func (w *ShardWriter) ShardWriteOps(id storage.ShardID) int {
	maxValueBytes := w.limits.WriteLimits().ValueBytes
	shard := w.Replica.Shards[id]
	if shard == nil || w.limits.StorageFormat() < storage.FormatPacked || shard.EncodedSize <= maxValueBytes {
		return 1
	}
	const margin = 5 // a quarter more than the packed page takes, as parts are uneven
	return max((w.Replica.PackedShardSize(id)*margin/4+maxValueBytes-1)/maxValueBytes, 1)
}
