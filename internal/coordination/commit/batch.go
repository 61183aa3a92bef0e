package commit

import (
	"encoding/json"
	"iter"
	"log/slog"
	"maps"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Batch collects changes for one transaction. Each change is conditional on the revision that the
// replica holds of the changed record. The store refuses the transaction if one of these records
// has changed since.
//
// Callers must check the capacity (HasCapacity, HasCapacityWith, CanWriteMachines, CanAddMachine) before each
// change, because the methods that change records do not check it. The capacity covers all limits of a
// transaction: operations, conditions and bytes.
type Batch struct {
	shardWriter *ShardWriter

	opsLeft        int // operations that can still be added
	maxConditions  int // conditions of the whole transaction
	estimatedBytes int // estimated size of the transaction

	conditions     map[string]protocol.ModRevision
	jobs           map[protocol.JobID]*storage.JobRecord
	shards         map[storage.ShardID]*ShardDraft
	machines       map[protocol.MachineID]*storage.MachineRecord
	lockedTeams    map[string]bool // teams whose quota records are rewritten
	transfers      map[storage.TransferSlot]*storage.TransferRecord
	drains         map[protocol.ControllerID]*DrainChange
	parts          map[storage.PartName]json.RawMessage // parts to write, and nil for parts to delete
	writesRegistry bool                                 // the batch adds a machine to the records

	newlyCompletedTasks map[protocol.JobID]storage.TaskSet // tasks that the batch records as completed
	failedServices      map[protocol.JobID]bool            // services of which the batch records a replica's exit
	onSend              []func()                           // functions to call when the transaction is sent
	logsOnApply         []step.Effect                      // log lines to emit once the transaction is applied
}

// NewBatch returns an empty batch that can hold up to maxOps operations. Its conditions are limited by the
// present size of transactions (WriteLimiter.MaxConditions).
func (w *ShardWriter) NewBatch(maxOps int) *Batch {
	return &Batch{
		shardWriter:         w,
		opsLeft:             maxOps,
		maxConditions:       w.limits.MaxConditions(),
		conditions:          map[string]protocol.ModRevision{},
		jobs:                map[protocol.JobID]*storage.JobRecord{},
		shards:              map[storage.ShardID]*ShardDraft{},
		machines:            map[protocol.MachineID]*storage.MachineRecord{},
		lockedTeams:         map[string]bool{},
		transfers:           map[storage.TransferSlot]*storage.TransferRecord{},
		drains:              map[protocol.ControllerID]*DrainChange{},
		parts:               map[storage.PartName]json.RawMessage{},
		newlyCompletedTasks: map[protocol.JobID]storage.TaskSet{},
		failedServices:      map[protocol.JobID]bool{},
	}
}

// DependOn makes the transaction conditional on the revision that the replica holds of a key.
func (b *Batch) DependOn(key string) {
	if _, isKnown := b.conditions[key]; !isKnown {
		condition := protocol.Condition{Key: key}
		b.estimatedBytes += condition.Size()
	}
	b.conditions[key] = b.shardWriter.Replica.ModRevision(key)
}

// reserveWrite counts one operation that writes a key, with a value of an estimated size in bytes.
func (b *Batch) reserveWrite(key string, size int) {
	b.DependOn(key)
	b.opsLeft--
	operation := protocol.Operation{PutKey: key}
	b.estimatedBytes += operation.Size() + size
}

// OnSend registers a function to call when the transaction is sent.
func (b *Batch) OnSend(f func()) { b.onSend = append(b.onSend, f) }

// notifySent calls the functions that OnSend has registered.
func (b *Batch) notifySent() {
	for _, onSend := range b.onSend {
		onSend()
	}
}

// Log adds a log line that is emitted once the transaction is applied. It is not emitted earlier
// because a refused transaction is built again, with the same lines.
func (b *Batch) Log(level slog.Level, message string, args ...any) {
	b.logsOnApply = append(b.logsOnApply, step.Log{Level: level, Message: message, Args: args})
}

// MachineRecord returns the record of a machine with the changes of the batch, or nil if there is
// no record. Callers must not change it.
func (b *Batch) MachineRecord(id protocol.MachineID) *storage.MachineRecord {
	if record := b.machines[id]; record != nil {
		return record
	}
	if entry := b.shardWriter.Replica.Machines[id]; entry != nil {
		return &entry.Record
	}
	return nil
}

// JobRecord returns the record of a job with the changes of the batch, or nil if there is no record.
// Callers must not change it.
func (b *Batch) JobRecord(id protocol.JobID) *storage.JobRecord {
	if record := b.jobs[id]; record != nil {
		return record
	}
	if entry := b.shardWriter.Replica.Jobs[id]; entry != nil {
		return &entry.Record
	}
	return nil
}

// Draft returns the draft of a shard that the batch changes, or nil if the batch does not change it.
func (b *Batch) Draft(id storage.ShardID) *ShardDraft { return b.shards[id] }

// ChangesShard reports whether the batch changes a shard.
func (b *Batch) ChangesShard(id storage.ShardID) bool { return b.shards[id] != nil }

// GivesAwayShard reports whether the batch changes a shard that another incarnation owns afterwards.
func (b *Batch) GivesAwayShard(id storage.ShardID) bool {
	draft := b.shards[id]
	return draft != nil && draft.Owner != b.shardWriter.lease.incarnation
}

// ChangesMachine reports whether the batch changes the record of a machine.
func (b *Batch) ChangesMachine(id protocol.MachineID) bool { return b.machines[id] != nil }

// ChangedMachines returns the machine records that the batch changes, in no particular order.
func (b *Batch) ChangedMachines() iter.Seq2[protocol.MachineID, *storage.MachineRecord] {
	return maps.All(b.machines)
}

// ChangesTransfer reports whether the batch changes a transfer record.
func (b *Batch) ChangesTransfer(slot storage.TransferSlot) bool { return b.transfers[slot] != nil }

// ChangesDrain reports whether the batch changes the drain of a controller.
func (b *Batch) ChangesDrain(id protocol.ControllerID) bool { return b.drains[id] != nil }

// LocksQuota reports whether the batch rewrites the quota record of a team.
func (b *Batch) LocksQuota(team string) bool { return b.lockedTeams[team] }

// HasFailedReplica reports whether the batch records the exit of a service replica of a job.
func (b *Batch) HasFailedReplica(id protocol.JobID) bool { return b.failedServices[id] }
