package coordination

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
)

// TransferTracker knows the shards that are being transferred.
type TransferTracker interface {
	ShardsInTransfer(matches func(storage.TransferPhase) bool) map[storage.ShardID]bool
}

// shardWriter builds the transactions that change shards of machines, and keeps the shards of this
// controller at a size that fits a value of the store.
type shardWriter struct {
	*stepContext

	catalog   *machineCatalog
	commits   *committer
	lease     *incarnationLease
	limits    *writeLimiter
	transfers TransferTracker

	shardSequence    int
	completeSince    map[protocol.JobID]protocol.Instant // since when all tasks of an unfinished job of another owner are done
	nextShardMergeAt protocol.Instant                    // when pages may next be joined
}

// ownerCompletionTimeout is how long the owner of a job has to record that all its tasks are
// done, before another controller does.
const ownerCompletionTimeout = 1500 * time.Millisecond

func newShardWriter(ctx *stepContext) *shardWriter {
	return &shardWriter{stepContext: ctx, completeSince: map[protocol.JobID]protocol.Instant{}}
}

func (w *shardWriter) newBatch(maxOps int) *batch {
	return &batch{shardWriter: w, opsLeft: maxOps, conditions: map[string]protocol.ModRevision{}, jobs: map[protocol.JobID]*storage.JobRecord{},
		shards: map[storage.ShardID]*shardDraft{}, machines: map[protocol.MachineID]*storage.MachineRecord{}, teams: map[string]bool{}, transfers: map[storage.TransferSlot]*storage.TransferRecord{}, drains: map[protocol.ControllerID]*drainChange{}, newlyDone: map[protocol.JobID]storage.TaskSet{}, failedServices: map[protocol.JobID]bool{}}
}

func (w *shardWriter) newShardID() storage.ShardID {
	w.shardSequence++
	return storage.ShardID(fmt.Sprintf("%s-%d", w.lease.incarnation, w.shardSequence))
}

// consolidateDoneTasks moves what is done from own pages to the jobs' records: where a
// page fills up, or has no machines left.
func (w *shardWriter) consolidateDoneTasks(b *batch) {
	maps.DeleteFunc(w.completeSince, func(id protocol.JobID, _ protocol.Instant) bool { return w.replica.UnfinishedJobs[id] == nil })
	for _, id := range sortedKeys(w.replica.UnfinishedJobs) {
		entry := w.replica.UnfinishedJobs[id]
		isOwner := entry.Record.Owner == w.lease.incarnation
		completeSince, isKnown := w.completeSince[id]
		if w.replica.CompletedTasks(id).Len() < entry.Record.Spec.TaskCount {
			delete(w.completeSince, id)
		} else if !isKnown && !isOwner {
			w.completeSince[id] = w.now.Monotonic // its owner writes it, if it is alive
		} else if isOwner || w.since(completeSince) > ownerCompletionTimeout {
			b.completeJobIfDone(id)
		}
	}
	for _, id := range w.ownedShards() {
		p := w.replica.Shards[id]
		if len(p.CompletedTasks) == 0 || !w.needsConsolidation(p) && len(p.Machines) > 0 || b.shards[id] == nil && !b.hasCapacity(2) {
			continue
		}
		d := b.mutableShard(id)
		for _, j := range sortedKeys(d.doneTasks) {
			if w.replica.Jobs[j] == nil || !b.hasCapacity(b.writesNeeded("", j)) {
				continue
			}
			if r := b.mutableJob(j); !r.State.IsTerminal() {
				r.CompletedTasks = r.CompletedTasks.Union(d.doneTasks[j])
			}
			delete(d.doneTasks, j)
		}
	}
}

// needsConsolidation tells whether the done tasks on a page are to move to their jobs' records: a
// change each, so not before the room is needed. A packed page that is full of machines
// is cut in two instead.
func (w *shardWriter) needsConsolidation(p *storage.Shard) bool {
	limit := w.limits.writeLimits().ValueBytes
	if w.limits.storageFormat() < storage.FormatPacked {
		return p.EncodedSize >= limit*3/4
	}
	const perJob, perSpan = 8, 2 // bytes, as packed
	size := 0
	for _, r := range p.CompletedTasks {
		size += perJob + perSpan*r.IntervalCount()
	}
	return size >= limit/4
}

// estimateEncodedSize estimates what plain text takes of a page.
func (w *shardWriter) estimateEncodedSize(plain int) int {
	if w.limits.storageFormat() < storage.FormatPacked {
		return plain
	}
	return int(float64(plain)*packedSizeRatio) + 1
}

// estimateMachineSize is what a machine of a type is reckoned to take of a page: more
// cores have more assignments.
func (w *shardWriter) estimateMachineSize(machineType protocol.MachineTypeName) int {
	cores := 4.0
	if f := w.catalog.machineType(machineType); f != nil {
		cores = f.Cores
	}
	return w.estimateEncodedSize(64 + 18*int(min(max(cores, 2), 20)))
}

// ownedShards lists the pages of this run.
func (w *shardWriter) ownedShards() []storage.ShardID {
	return selectKeys(w.replica.Shards, func(p *storage.Shard) bool { return w.lease.incarnation != "" && p.Owner == w.lease.incarnation })
}

// mergeShards puts what is left on a page that has lost most of its machines onto
// another page of this run: each page costs a change of its own whenever something
// begins or ends there. One at a time, and only to where tokens do not fall. Pages with an
// open move stay as they are until it has ended.
func (w *shardWriter) mergeShards(b *batch) {
	if w.now.Monotonic < w.nextShardMergeAt || !b.hasCapacity(2) {
		return
	}
	w.nextShardMergeAt = w.now.Monotonic.Add(w.cfg.MinRebalanceInterval)
	inTransfer := w.transfers.ShardsInTransfer(storage.TransferPhase.IsOpen)
	shards := slices.DeleteFunc(w.ownedShards(), func(id storage.ShardID) bool { return inTransfer[id] })
	projected := map[storage.ShardID]int{}
	for _, id := range shards {
		p := w.replica.Shards[id]
		projected[id] = b.projectShardSize(&shardDraft{machineIDs: p.Machines, estimatedSize: p.EncodedSize})
	}
	slices.SortStableFunc(shards, func(a, z storage.ShardID) int { return cmp.Compare(projected[a], projected[z]) })
	for _, id := range shards {
		p := w.replica.Shards[id]
		if projected[id] > w.limits.writeLimits().ValueBytes/3 || len(p.Machines) == 0 || b.shards[id] != nil {
			continue
		}
		for _, targetID := range shards {
			target := w.replica.Shards[targetID]
			if targetID == id || b.shards[targetID] != nil || target.Epoch < p.Epoch || len(target.Machines) == 0 ||
				projected[targetID]+projected[id] > w.limits.writeLimits().ValueBytes*7/8 || target.EncodedSize+p.EncodedSize > w.limits.writeLimits().ValueBytes*3/4 {
				continue
			}
			sourceDraft := b.mutableShard(id)
			for _, m := range p.Machines {
				b.moveMachine(m, targetID)
			}
			targetDraft := b.mutableShard(targetID)
			for j, r := range sourceDraft.doneTasks {
				targetDraft.doneTasks[j] = targetDraft.doneTasks[j].Union(r)
				targetDraft.estimatedSize += 20 + len(r.String())
			}
			clear(sourceDraft.doneTasks)
			b.log(slog.LevelInfo, "shards merged", "source", string(id), "count", len(p.Machines), "target", string(targetID))
			return
		}
	}
}

// shardSplitThreshold is the size from which a page is cut in two. What is packed changes its
// size less evenly, and is cut before it takes no more tasks.
func (w *shardWriter) shardSplitThreshold() int {
	if w.limits.storageFormat() < storage.FormatPacked {
		return w.limits.writeLimits().ValueBytes * 15 / 16
	}
	return w.limits.writeLimits().ValueBytes * 7 / 8
}

// splitShards cuts own pages in two that come near the size of a value.
func (w *shardWriter) splitShards(b *batch) {
	for _, id := range w.ownedShards() {
		p := w.replica.Shards[id]
		if p.EncodedSize < w.shardSplitThreshold() || len(p.Machines) < 2 || b.shards[id] != nil || !b.hasCapacity(2) {
			continue
		}
		b.mutableShard(id)
		targetID := b.newShard(p.Owner, p.Epoch)
		for _, m := range p.Machines[len(p.Machines)/2:] {
			b.moveMachine(m, targetID)
		}
	}
}

// reencodeOversized rewrites what this run is responsible for and what the limits would refuse as
// it is: pages and jobs written before the format was raised. It takes what room there
// is, so a few transactions do; whatever else needs such a record before rewrites it the
// same way.
func (w *shardWriter) reencodeOversized(b *batch) {
	if w.limits.storageFormat() < storage.FormatPacked {
		return
	}
	maxValueBytes := w.limits.writeLimits().ValueBytes
	// Once that is done there are none, at each transaction: only what is found is sorted.
	shards := selectKeys(w.replica.Shards, func(p *storage.Shard) bool { return p.Owner == w.lease.incarnation && p.EncodedSize > maxValueBytes })
	for _, id := range shards {
		if b.shards[id] == nil && b.hasCapacity(w.shardWriteOps(id)) {
			b.mutableShard(id)
		}
	}
	jobs := selectKeys(w.replica.UnfinishedJobs, func(e *storage.Versioned[storage.JobRecord]) bool {
		return e.Record.Owner == w.lease.incarnation && e.EncodedSize > maxValueBytes
	})
	for _, id := range jobs {
		if b.hasCapacity(b.writesNeeded("", id)) {
			b.mutableJob(id)
		}
	}
}

// shardWriteOps is how many changes it takes to write a page: one that was written in the
// plain format may take several parts.
func (w *shardWriter) shardWriteOps(id storage.ShardID) int {
	maxValueBytes := w.limits.writeLimits().ValueBytes
	shard := w.replica.Shards[id]
	if shard == nil || w.limits.storageFormat() < storage.FormatPacked || shard.EncodedSize <= maxValueBytes {
		return 1
	}
	const margin = 5 // a quarter more than the packed page takes, as parts are uneven
	return max((w.replica.PackedShardSize(id)*margin/4+maxValueBytes-1)/maxValueBytes, 1)
}
