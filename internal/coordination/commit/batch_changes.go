package commit

import (
	"log/slog"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// LockQuota rewrites the quota record of a team, so that the store refuses one of two concurrent
// transactions that place tasks of the team.
func (b *Batch) LockQuota(team string) {
	b.reserveWrite(storage.QuotaKey(team), quotaRecordSize)
	b.lockedTeams[team] = true
}

// NewJobOps returns the number of operations that add the record of a new job.
func (b *Batch) NewJobOps(id protocol.JobID, record *storage.JobRecord) int {
	w := b.shardWriter
	switch {
	case w.isPostponed(storage.JobKey(id)):
		return unwritableOps
	case !w.writesParts():
		return 1
	}
	layout := newJobLayout(id, record, w.limits.WriteLimits())
	return layout.ops + len(layout.specParts)
}

// AddJob adds the record of a new job. Callers must check the capacity for NewJobOps first.
func (b *Batch) AddJob(id protocol.JobID, record *storage.JobRecord) {
	b.reserveWrite(storage.JobKey(id), len(storage.EncodeJob(b.shardWriter.limits.StorageFormat(), record)))
	b.opsLeft -= b.NewJobOps(id, record) - 1 // reserveWrite has counted one operation
	b.jobs[id] = record
}

// MutableJob adds the record of a job to the batch and returns it for modification.
func (b *Batch) MutableJob(id protocol.JobID) *storage.JobRecord {
	if record := b.jobs[id]; record != nil {
		return record
	}
	entry := b.shardWriter.Replica.Jobs[id]
	record := entry.Record
	if ops := b.shardWriter.JobWriteOps(id); ops < unwritableOps {
		b.opsLeft -= ops - 1 // reserveWrite counts one operation
	}
	b.reserveWrite(storage.JobKey(id), entry.EncodedSize+jobSizeMargin)
	b.jobs[id] = &record
	return &record
}

// ReserveMachines records that capacity is reserved for a job on machines, in place of an earlier reservation.
func (b *Batch) ReserveMachines(id protocol.JobID, machines []protocol.MachineID) {
	const separatorSize = 3
	b.MutableJob(id).ReservedMachines = machines
	for _, machine := range machines {
		b.estimatedBytes += len(machine) + separatorSize
	}
}

// RecordTaskCompleted records in the machine's shard that a task is completed.
func (b *Batch) RecordTaskCompleted(id protocol.MachineID, task protocol.Task) {
	draft := b.MutableShard(b.MachineRecord(id).Shard)
	if completed, ok := draft.completedTasks[task.Job]; ok {
		draft.completedTasks[task.Job] = completed.Add(task.Index)
	} else {
		draft.completedTasks[task.Job] = storage.TaskRange(task.Index, task.Index)
		draft.EstimatedSize += b.shardWriter.EstimateEncodedSize(completedTaskSetSize)
		b.estimatedBytes += completedTaskSetSize
	}
	draft.EstimatedSize += b.shardWriter.EstimateEncodedSize(completedTaskSize)
	b.estimatedBytes += completedTaskSize
	b.newlyCompletedTasks[task.Job] = b.newlyCompletedTasks[task.Job].Add(task.Index)
}

// CompletedTasks returns the completed tasks of a job, including those that the batch records.
func (b *Batch) CompletedTasks(id protocol.JobID) storage.TaskSet {
	completed := b.shardWriter.Replica.CompletedTasks(id)
	if added, ok := b.newlyCompletedTasks[id]; ok {
		completed = completed.Union(added)
	}
	return completed
}

// CompleteJobIfDone records a job as done if all its tasks are completed and the batch has capacity
// for the job's record. The record of a done job has no description, so it always fits a value.
func (b *Batch) CompleteJobIfDone(id protocol.JobID) {
	record := b.JobRecord(id)
	isDone := !record.State.IsTerminal() && b.CompletedTasks(id).Len() >= record.Spec.TaskCount
	if !isDone || b.jobs[id] == nil && !b.HasCapacity(1) {
		return
	}
	record = b.MutableJob(id)
	const millisPerSecond = 1000
	b.Log(slog.LevelInfo, "job completed", "job", string(id), "class", record.Spec.Class,
		"duration_s", float64(b.shardWriter.Now.Wall-record.SubmittedAt)/millisPerSecond)
	*record = storage.JobRecord{
		State:       protocol.JobDone,
		TaskCount:   record.Spec.TaskCount,
		SubmittedAt: record.SubmittedAt,
	}
	for _, draft := range b.shards {
		delete(draft.completedTasks, id)
	}
}

// MarkFailedReplica notes that the batch records the exit of a service replica of a job.
func (b *Batch) MarkFailedReplica(id protocol.JobID) { b.failedServices[id] = true }

// PutTransfer writes the transfer record of a slot.
func (b *Batch) PutTransfer(slot storage.TransferSlot, record *storage.TransferRecord) {
	if b.transfers[slot] == nil {
		b.reserveWrite(storage.TransferKey(slot), transferRecordSize)
	}
	b.transfers[slot] = record
}

// DrainChange is a change of a controller's drain. A nil Record ends the drain.
type DrainChange struct{ Record *storage.DrainRecord }

// operation returns the operation that writes or deletes the drain record of a controller.
func (d *DrainChange) operation(controllerID protocol.ControllerID) protocol.Operation {
	if d.Record == nil {
		return protocol.Operation{DeleteKey: storage.DrainKey(controllerID)}
	}
	return protocol.Operation{
		PutKey: storage.DrainKey(controllerID),
		Value:  storage.MustMarshal(d.Record),
	}
}

// SetDrain starts, changes or ends the drain of a controller.
func (b *Batch) SetDrain(controllerID protocol.ControllerID, change *DrainChange) {
	b.reserveWrite(storage.DrainKey(controllerID), drainRecordSize)
	b.drains[controllerID] = change
}
