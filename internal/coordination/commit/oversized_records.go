package commit

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// unwritableOps is the number of operations that a write needs which cannot be sent now. No batch
	// has capacity for it.
	unwritableOps = 1 << 20
	// postponeDelay is how long a record is left out of batches after a value of it could not be sent.
	postponeDelay = 5 * time.Second
)

// oversizedRecords tracks the records that do not fit one value under the write limits. Such records
// were written under wider limits, or they have grown.
//
// From storage.FormatParts on, a job's description that takes up more than half of a value is kept in
// parts. The parts never change, so they are written in advance, in as many transactions as it takes;
// until then the job's record counts as unwritable. Everything else that does not fit goes into parts
// in the same transaction as the record. Under an older format such a record cannot be written. It is
// left out of batches for postponeDelay each time, so that other records are written meanwhile.
type oversizedRecords struct {
	postponedUntil map[string]protocol.Instant       // by key
	jobLayouts     map[protocol.JobID]jobLayout      // of unfinished jobs with large records
	requestedParts map[protocol.JobID][]storage.Part // parts that must be written before the jobs' records
}

// jobLayout describes how a job's record is written.
type jobLayout struct {
	modRevision protocol.ModRevision
	valueBytes  int            // limit for which the layout was computed
	specParts   []storage.Part // parts of the description if it belongs in parts and is not there yet
	ops         int            // operations that write the record, without specParts
}

func newOversizedRecords() oversizedRecords {
	return oversizedRecords{
		postponedUntil: map[string]protocol.Instant{},
		jobLayouts:     map[protocol.JobID]jobLayout{},
		requestedParts: map[protocol.JobID][]storage.Part{},
	}
}

// writesParts reports whether records may be cut into parts.
func (w *ShardWriter) writesParts() bool { return w.limits.StorageFormat() >= storage.FormatParts }

// postponeWrite leaves a record out of batches for postponeDelay.
func (w *ShardWriter) postponeWrite(key string) {
	w.oversized.postponedUntil[key] = w.Now.Monotonic.Add(postponeDelay)
}

// isPostponed reports whether a record is left out of batches for now.
func (w *ShardWriter) isPostponed(key string) bool {
	until, ok := w.oversized.postponedUntil[key]
	if ok && w.Now.Monotonic >= until {
		delete(w.oversized.postponedUntil, key)
		return false
	}
	return ok
}

// JobWriteOps returns the number of operations that write the record of a job. It is unwritableOps if
// the record cannot be written now.
func (w *ShardWriter) JobWriteOps(id protocol.JobID) int {
	if w.isPostponed(storage.JobKey(id)) {
		return unwritableOps
	}
	entry := w.Replica.Jobs[id]
	if entry == nil || !w.writesParts() || entry.EncodedSize+jobSizeMargin <= maxSpecSize(w.limits.WriteLimits()) {
		return 1
	}
	layout := w.layoutOf(id, entry)
	if len(layout.specParts) > 0 {
		w.oversized.requestedParts[id] = layout.specParts
		return unwritableOps
	}
	return layout.ops
}

// layoutOf returns the layout of a job's record.
func (w *ShardWriter) layoutOf(id protocol.JobID, entry *storage.Versioned[storage.JobRecord]) jobLayout {
	limits := w.limits.WriteLimits()
	layout, isKnown := w.oversized.jobLayouts[id]
	if !isKnown || layout.modRevision != entry.ModRevision || layout.valueBytes != limits.ValueBytes {
		layout = newJobLayout(id, &entry.Record, limits)
		layout.modRevision = entry.ModRevision
		w.oversized.jobLayouts[id] = layout
	}
	if w.hasParts(layout.specParts) {
		layout.specParts = nil
	}
	return layout
}

// newJobLayout computes the layout of a job's record.
func newJobLayout(id protocol.JobID, record *storage.JobRecord, limits step.WriteLimits) jobLayout {
	layout := jobLayout{valueBytes: limits.ValueBytes}
	mutable := *record
	if mustCutSpec(record, limits) {
		layout.specParts, mutable.SpecParts = storage.CutSpec(id, record.Spec, limits.ValueBytes)
	}
	_, parts := storage.EncodeJobInParts(id, &mutable, limits.ValueBytes-jobSizeMargin)
	layout.ops = 1 + len(parts)
	return layout
}

// mustCutSpec reports whether the description of a job belongs in parts and is not there yet.
func mustCutSpec(record *storage.JobRecord, limits step.WriteLimits) bool {
	return record.Spec != nil && len(record.SpecParts) == 0 &&
		storage.SpecExceeds(record.Spec, maxSpecSize(limits))
}

// hasParts reports whether the replica has all of the parts.
func (w *ShardWriter) hasParts(parts []storage.Part) bool {
	for _, part := range parts {
		if !w.Replica.HasPart(part.Name) {
			return false
		}
	}
	return true
}

// RewriteOversizedRecords rewrites the shards and jobs of this incarnation that exceed the write
// limits as they are, and writes the parts that the next changes of other records need. It uses the
// capacity that the batch has, so a few transactions suffice for all. A change that needs such a
// record earlier rewrites the record in the same way.
func (w *ShardWriter) RewriteOversizedRecords(batch *Batch) {
	if w.limits.StorageFormat() < storage.FormatPacked {
		return
	}
	w.rewriteShards(batch)
	w.rewriteJobs(batch)
	w.writeRequestedParts(batch)
	w.deleteUnusedParts(batch)
}

// rewriteShards rewrites the shards of this incarnation that exceed the write limits.
func (w *ShardWriter) rewriteShards(batch *Batch) {
	maxValueBytes := w.limits.WriteLimits().ValueBytes
	// Most of the time there are no oversized shards, so the shards are filtered before sorting.
	shards := step.SelectKeys(w.Replica.Shards, func(shard *storage.Shard) bool {
		isIndivisible := len(shard.Parts) > 0 && len(shard.Machines) < 2
		return shard.Owner == w.lease.incarnation && shard.EncodedSize > maxValueBytes && !isIndivisible
	})
	for _, id := range shards {
		if !batch.ChangesShard(id) && batch.HasCapacity(w.ShardWriteOps(id)) {
			batch.MutableShard(id)
		}
	}
}

// rewriteJobs rewrites the records of this incarnation's jobs that exceed the write limits or whose
// description belongs in parts.
func (w *ShardWriter) rewriteJobs(batch *Batch) {
	limits := w.limits.WriteLimits()
	jobs := step.SelectKeys(w.Replica.UnfinishedJobs, func(entry *storage.Versioned[storage.JobRecord]) bool {
		if entry.Record.Owner != w.lease.incarnation || entry.EncodedSize <= maxSpecSize(limits) {
			return false
		}
		isTooLarge := entry.EncodedSize > limits.ValueBytes && len(entry.Record.StateParts) == 0
		return isTooLarge || w.writesParts() && mustCutSpec(&entry.Record, limits)
	})
	for _, id := range jobs {
		if batch.HasCapacity(batch.OpsNeeded("", id)) {
			batch.MutableJob(id)
		}
	}
}

// writeRequestedParts writes the parts that changes of jobs' records wait for.
func (w *ShardWriter) writeRequestedParts(batch *Batch) {
	for _, id := range step.SortedKeys(w.oversized.requestedParts) {
		entry, parts := w.Replica.UnfinishedJobs[id], w.oversized.requestedParts[id]
		if entry == nil || len(entry.Record.SpecParts) > 0 || w.hasParts(parts) {
			delete(w.oversized.requestedParts, id)
			continue
		}
		written := 0
		for _, part := range parts {
			isDue := !w.Replica.HasPart(part.Name) && !w.isPostponed(storage.PartKey(part.Name))
			if isDue && batch.HasCapacity(1) {
				batch.putPart(part)
				written++
			}
		}
		if written > 0 {
			batch.Log(slog.LevelWarn, "job description written in parts", "job", string(id),
				"bytes", entry.EncodedSize, "value_limit", w.limits.WriteLimits().ValueBytes,
				"parts", len(parts), "count", written)
		}
	}
}

// deleteUnusedParts deletes the parts that no record uses any more. The owner of the record does
// this; if there is none, the controller that is elected for the part.
func (w *ShardWriter) deleteUnusedParts(batch *Batch) {
	for _, name := range w.Replica.UnusedParts() {
		owner := w.Replica.OwnerOfPart(name)
		isResponsible := owner == w.lease.incarnation ||
			!w.Replica.IsAlive(owner) && w.election.IsSuccessor(storage.PartKey(name))
		if isResponsible && !w.isPostponed(storage.PartKey(name)) && batch.HasCapacity(1) {
			batch.deletePart(name)
		}
	}
}

// forgetEndedJobs drops the state of jobs that have ended.
func (w *ShardWriter) forgetEndedJobs() {
	for id := range w.oversized.jobLayouts {
		if w.Replica.UnfinishedJobs[id] == nil {
			delete(w.oversized.jobLayouts, id)
		}
	}
}
