package commit

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Estimated sizes of records that are written for the first time, in bytes.
const (
	quotaRecordSize    = 100
	registryRecordSize = 100
	drainRecordSize    = 50
	transferRecordSize = 400
	newJobRecordSize   = 700
)

// Estimated sizes, in bytes, of what is added to a record, in the plain format.
const (
	assignmentSize   = 24 // of tasks of one job with one attempt
	assignedTaskSize = 3
	doneJobSize      = 16 // a job of which no task was done before
	doneTaskSize     = 4
	mergedJobSize    = 20 // a job's done tasks that move to another shard, besides the tasks

	emptyMachineSize       = 64
	assignmentsSizePerCore = 18
)

// Margins for what estimates leave out, in bytes.
const (
	shardSizeMargin = 700
	jobSizeMargin   = 200
)

// packedSizeRatio is the part of its plain form that a shard takes in the packed format; it
// is far less where its machines are alike.
const packedSizeRatio = 0.4

// EstimateEncodedSize estimates what plain text takes of a shard, in bytes.
func (w *ShardWriter) EstimateEncodedSize(plainSize int) int {
	if w.limits.StorageFormat() < storage.FormatPacked {
		return plainSize
	}
	return int(float64(plainSize)*packedSizeRatio) + 1
}

// estimateMachineSize estimates what a machine of a type takes of a shard: one with more
// cores has more assignments.
func (w *ShardWriter) estimateMachineSize(machineType protocol.MachineTypeName) int {
	const unknownCores, minCores, maxCores = 4.0, 2, 20
	cores := unknownCores
	if offeredType := w.catalog.MachineType(machineType); offeredType != nil {
		cores = offeredType.Cores
	}
	cores = min(max(cores, minCores), maxCores)
	return w.EstimateEncodedSize(emptyMachineSize + assignmentsSizePerCore*int(cores))
}

func (b *Batch) estimateMachinesSize(ids []protocol.MachineID) int {
	size := 0
	for _, id := range ids {
		if record := b.MachineRecord(id); record != nil {
			size += b.shardWriter.estimateMachineSize(record.MachineType)
		}
	}
	return size
}

// projectShardSize is what a shard may come to take, in bytes. In the packed format it hardly
// grows with the tasks of its machines, so there it is what the shard takes now, and a quarter
// more.
func (b *Batch) projectShardSize(draft *ShardDraft) int {
	if b.shardWriter.limits.StorageFormat() < storage.FormatPacked {
		return b.estimateMachinesSize(draft.MachineIDs)
	}
	return addQuarter(draft.EstimatedSize)
}

// addQuarter makes an estimate a quarter larger: parts of a shard are uneven, and it grows.
func addQuarter(size int) int { return size * 5 / 4 }

// Sizes of shards, in bytes, as parts of the value that the store accepts.

// maxFilledShardSize is the size up to which a shard is filled: what is above is left for what
// ends there.
func maxFilledShardSize(limits step.WriteLimits) int { return limits.ValueBytes * 7 / 8 }

// maxPlainShardSize is the size from which a shard in the plain format is split.
func maxPlainShardSize(limits step.WriteLimits) int { return limits.ValueBytes * 15 / 16 }

// maxMergeSourceSize is the projected size up to which a shard is merged into another one.
func maxMergeSourceSize(limits step.WriteLimits) int { return limits.ValueBytes / 3 }

// maxMergedShardSize is the size up to which two shards are merged.
func maxMergedShardSize(limits step.WriteLimits) int { return limits.ValueBytes * 3 / 4 }

// maxPlainSizeWithDoneTasks is the size from which a shard in the plain format hands its done tasks
// to the records of their jobs.
func maxPlainSizeWithDoneTasks(limits step.WriteLimits) int { return limits.ValueBytes * 3 / 4 }

// maxPackedDoneTasksSize is the size of its done tasks from which a packed shard hands them over.
func maxPackedDoneTasksSize(limits step.WriteLimits) int { return limits.ValueBytes / 4 }
