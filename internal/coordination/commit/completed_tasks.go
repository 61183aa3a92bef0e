package commit

import (
	"maps"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// ownerCompletionTimeout is how long other controllers leave it to the owner of a job to record that
// all tasks of the job are completed.
const ownerCompletionTimeout = 1500 * time.Millisecond

// ConsolidateCompletedTasks records jobs as done whose tasks are all completed. It also moves the
// completed tasks from the shards of this incarnation to the records of their jobs if a shard fills
// up or has no machines left.
func (w *ShardWriter) ConsolidateCompletedTasks(batch *Batch) {
	maps.DeleteFunc(w.completeSince, func(id protocol.JobID, _ protocol.Instant) bool {
		return w.Replica.UnfinishedJobs[id] == nil
	})
	w.forgetEndedJobs()
	for _, id := range step.SortedKeys(w.Replica.UnfinishedJobs) {
		w.completeJobIfResponsible(batch, id, &w.Replica.UnfinishedJobs[id].Record)
	}
	for _, id := range w.OwnedShards() {
		shard := w.Replica.Shards[id]
		isDue := len(shard.CompletedTasks) > 0 && (w.needsConsolidation(shard) || len(shard.Machines) == 0)
		if isDue && (batch.ChangesShard(id) || batch.HasCapacity(w.ShardWriteOps(id)+1)) {
			w.consolidateShard(batch, id)
		}
	}
}

// completeJobIfResponsible records a job as done once all its tasks are completed, if this incarnation
// owns the job or if the owner has not recorded it within ownerCompletionTimeout.
func (w *ShardWriter) completeJobIfResponsible(batch *Batch, id protocol.JobID, record *storage.JobRecord) {
	isOwner := record.Owner == w.lease.incarnation
	completeSince, hasCompleteSince := w.completeSince[id]
	switch {
	case w.Replica.CompletedTasks(id).Len() < record.Spec.TaskCount:
		delete(w.completeSince, id)
	case !hasCompleteSince && !isOwner:
		w.completeSince[id] = w.Now.Monotonic
	case isOwner || w.Since(completeSince) > ownerCompletionTimeout:
		batch.CompleteJobIfDone(id)
	}
}

// consolidateShard moves the completed tasks from a shard to the records of their jobs, as far as the
// batch has capacity.
func (w *ShardWriter) consolidateShard(batch *Batch, id storage.ShardID) {
	draft := batch.MutableShard(id)
	for _, job := range step.SortedKeys(draft.completedTasks) {
		if w.Replica.Jobs[job] == nil || !batch.HasCapacity(batch.OpsNeeded("", job)) {
			continue
		}
		if record := batch.MutableJob(job); !record.State.IsTerminal() {
			record.CompletedTasks = record.CompletedTasks.Union(draft.completedTasks[job])
			batch.estimatedBytes += len(draft.completedTasks[job].String())
		}
		delete(draft.completedTasks, job)
	}
}

// needsConsolidation reports whether the completed tasks of a shard should move to the records of their
// jobs. Each of these records costs an operation, so the completed tasks move only once the space is
// needed. A packed shard that is full of machines is split instead.
func (w *ShardWriter) needsConsolidation(shard *storage.Shard) bool {
	limits := w.limits.WriteLimits()
	if w.limits.StorageFormat() < storage.FormatPacked {
		return shard.EncodedSize >= maxPlainSizeWithCompletedTasks(limits)
	}
	const jobSize, intervalSize = 8, 2 // estimated bytes in the packed format
	size := 0
	for _, completed := range shard.CompletedTasks {
		size += jobSize + intervalSize*completed.IntervalCount()
	}
	return size >= maxPackedCompletedTasksSize(limits)
}
