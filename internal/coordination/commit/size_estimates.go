package commit

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Estimated sizes, in bytes, of records that are written for the first time.
const (
	quotaRecordSize    = 100
	registryRecordSize = 100
	drainRecordSize    = 50
	transferRecordSize = 400
)

// maxEncodedKeyBytes is the size, in bytes, that is reserved for an encoded operation without its value, and for
// an encoded condition. Keys of records are far shorter than the store allows.
const maxEncodedKeyBytes = 128

// maxEncodedSize returns the size that is reserved for further operations, with values of size bytes in total,
// and further conditions.
func maxEncodedSize(operations, size, conditions int) int {
	return size + (operations+conditions)*maxEncodedKeyBytes
}

// Estimated sizes, in bytes, of additions to a record in the plain format.
const (
	assignmentSize       = 24 // tasks of one job with one attempt, without the task indexes
	assignedTaskSize     = 3
	completedTaskSetSize = 16 // a job without earlier completed tasks on the shard
	completedTaskSize    = 4
	mergedJobSize        = 20 // a job's completed tasks on the target of a merge, without the tasks themselves

	emptyMachineSize       = 64
	assignmentsSizePerCore = 18
)

// Margins, in bytes, for what the estimates leave out.
const (
	shardSizeMargin = 700
	jobSizeMargin   = 200
)

// packedSizeRatio is the size of a shard in the packed format as a fraction of its size in the plain
// format. The actual fraction is far lower if the shard's machines are alike.
const packedSizeRatio = 0.4

// EstimateEncodedSize returns the estimated size, in bytes, that data of plainSize bytes in the plain
// format occupies in a shard in the current format.
func (w *ShardWriter) EstimateEncodedSize(plainSize int) int {
	if w.limits.StorageFormat() < storage.FormatPacked {
		return plainSize
	}
	return int(float64(plainSize)*packedSizeRatio) + 1
}

// estimateMachineSize returns the estimated size, in bytes, that a machine of a type occupies in a
// shard. A machine with more cores has more assignments.
func (w *ShardWriter) estimateMachineSize(machineType protocol.MachineTypeName) int {
	const unknownCores, minCores, maxCores = 4.0, 2, 20
	cores := unknownCores
	if offeredType := w.catalog.MachineType(machineType); offeredType != nil {
		cores = offeredType.Cores
	}
	cores = min(max(cores, minCores), maxCores)
	return w.EstimateEncodedSize(emptyMachineSize + assignmentsSizePerCore*int(cores))
}

// estimateMachinesSize returns the estimated size, in bytes, that machines occupy in a shard.
func (b *Batch) estimateMachinesSize(ids []protocol.MachineID) int {
	size := 0
	for _, id := range ids {
		if record := b.MachineRecord(id); record != nil {
			size += b.shardWriter.estimateMachineSize(record.MachineType)
		}
	}
	return size
}

// projectShardSize returns the size, in bytes, to which a shard may grow. A packed shard hardly grows
// with the tasks of its machines, so its projected size is its present size plus a quarter.
func (b *Batch) projectShardSize(draft *ShardDraft) int {
	if b.shardWriter.limits.StorageFormat() < storage.FormatPacked {
		return b.estimateMachinesSize(draft.MachineIDs)
	}
	return addQuarter(draft.EstimatedSize)
}

// addQuarter returns an estimate plus a quarter, because the parts of a shard are uneven and the shard
// grows.
func addQuarter(size int) int { return size * 5 / 4 }

// The following functions return sizes of shards, in bytes, as fractions of the maximum size of a
// value.

// maxFilledShardSize returns the size up to which a shard takes assignments. The space above is left
// for recording the tasks that end on the shard.
func maxFilledShardSize(limits step.WriteLimits) int { return limits.ValueBytes * 7 / 8 }

// maxPlainShardSize returns the size from which a shard in the plain format is split.
func maxPlainShardSize(limits step.WriteLimits) int { return limits.ValueBytes * 15 / 16 }

// maxSpecSize returns the size up to which a job's description is part of the value of the job's
// record. The rest of the value is left for what changes (WriteLimiter.JobRecordBudget).
func maxSpecSize(limits step.WriteLimits) int { return limits.ValueBytes / 2 }

// maxMergeSourceSize returns the projected size up to which a shard is merged into another one.
func maxMergeSourceSize(limits step.WriteLimits) int { return limits.ValueBytes / 3 }

// maxMergedShardSize returns the total encoded size up to which two shards are merged.
func maxMergedShardSize(limits step.WriteLimits) int { return limits.ValueBytes * 3 / 4 }

// maxPlainSizeWithCompletedTasks returns the size from which the completed tasks of a shard in the
// plain format move to the records of their jobs.
func maxPlainSizeWithCompletedTasks(limits step.WriteLimits) int { return limits.ValueBytes * 3 / 4 }

// maxPackedCompletedTasksSize returns the size of completed tasks from which the completed tasks of
// a packed shard move to the records of their jobs.
func maxPackedCompletedTasksSize(limits step.WriteLimits) int { return limits.ValueBytes / 4 }
