package commit

import (
	"iter"
	"log/slog"
	"maps"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Batch collects changes for one transaction. Every change rests on the revisions that the
// replica has; the store refuses the transaction if one of these records has changed since.
//
// A caller asks for capacity (HasCapacity, CanWriteMachines, CanAddMachine) before each change:
// the methods that change records do not check it.
type Batch struct {
	shardWriter *ShardWriter

	opsLeft        int // operations still allowed
	estimatedBytes int // estimated size of the transaction

	conditions     map[string]protocol.ModRevision
	jobs           map[protocol.JobID]*storage.JobRecord
	shards         map[storage.ShardID]*ShardDraft
	machines       map[protocol.MachineID]*storage.MachineRecord
	lockedTeams    map[string]bool // whose quota records are rewritten
	transfers      map[storage.TransferSlot]*storage.TransferRecord
	drains         map[protocol.ControllerID]*DrainChange
	writesRegistry bool // a machine is added to the records

	newlyDoneTasks map[protocol.JobID]storage.TaskSet // tasks that the batch records as done
	failedServices map[protocol.JobID]bool            // services of which a replica has exited
	onSend         []func()                           // called when the transaction is sent
	logsOnApply    []step.Effect                      // lines for the operator once it is applied
}

// NewBatch begins a batch of at most so many operations.
func (w *ShardWriter) NewBatch(maxOps int) *Batch {
	return &Batch{
		shardWriter:    w,
		opsLeft:        maxOps,
		conditions:     map[string]protocol.ModRevision{},
		jobs:           map[protocol.JobID]*storage.JobRecord{},
		shards:         map[storage.ShardID]*ShardDraft{},
		machines:       map[protocol.MachineID]*storage.MachineRecord{},
		lockedTeams:    map[string]bool{},
		transfers:      map[storage.TransferSlot]*storage.TransferRecord{},
		drains:         map[protocol.ControllerID]*DrainChange{},
		newlyDoneTasks: map[protocol.JobID]storage.TaskSet{},
		failedServices: map[protocol.JobID]bool{},
	}
}

// DependOn makes the transaction depend on a key as the replica has it.
func (b *Batch) DependOn(key string) { b.conditions[key] = b.shardWriter.Replica.ModRevision(key) }

// reserveWrite counts one operation on a key, of an estimated size in bytes.
func (b *Batch) reserveWrite(key string, size int) {
	b.DependOn(key)
	b.opsLeft--
	b.estimatedBytes += size
}

// OnSend has a function called when the transaction is sent.
func (b *Batch) OnSend(f func()) { b.onSend = append(b.onSend, f) }

// notifySent calls the functions that wait for the transaction to be sent.
func (b *Batch) notifySent() {
	for _, onSend := range b.onSend {
		onSend()
	}
}

// Log records a line for the operator, who reads it once the change is on record: a transaction
// that is refused is built again, with the same lines.
func (b *Batch) Log(level slog.Level, message string, args ...any) {
	b.logsOnApply = append(b.logsOnApply, step.Log{Level: level, Message: message, Args: args})
}

// MachineRecord is the record of a machine as the batch leaves it, nil if there is none. It is
// not to be changed.
func (b *Batch) MachineRecord(id protocol.MachineID) *storage.MachineRecord {
	if record := b.machines[id]; record != nil {
		return record
	}
	if entry := b.shardWriter.Replica.Machines[id]; entry != nil {
		return &entry.Record
	}
	return nil
}

// JobRecord is the record of a job as the batch leaves it, nil if there is none. It is not to be
// changed.
func (b *Batch) JobRecord(id protocol.JobID) *storage.JobRecord {
	if record := b.jobs[id]; record != nil {
		return record
	}
	if entry := b.shardWriter.Replica.Jobs[id]; entry != nil {
		return &entry.Record
	}
	return nil
}

// Draft is a shard as the batch leaves it, nil if the batch does not change it.
func (b *Batch) Draft(id storage.ShardID) *ShardDraft { return b.shards[id] }

// ChangesShard tells whether the batch changes a shard.
func (b *Batch) ChangesShard(id storage.ShardID) bool { return b.shards[id] != nil }

// GivesAwayShard tells whether the batch makes another incarnation the owner of a shard.
func (b *Batch) GivesAwayShard(id storage.ShardID) bool {
	draft := b.shards[id]
	return draft != nil && draft.Owner != b.shardWriter.lease.incarnation
}

// ChangesMachine tells whether the batch changes the record of a machine.
func (b *Batch) ChangesMachine(id protocol.MachineID) bool { return b.machines[id] != nil }

// ChangedMachines lists the machine records that the batch changes, in no order.
func (b *Batch) ChangedMachines() iter.Seq2[protocol.MachineID, *storage.MachineRecord] {
	return maps.All(b.machines)
}

// ChangesTransfer tells whether the batch changes a transfer record.
func (b *Batch) ChangesTransfer(slot storage.TransferSlot) bool { return b.transfers[slot] != nil }

// ChangesDrain tells whether the batch changes the drain of a controller.
func (b *Batch) ChangesDrain(id protocol.ControllerID) bool { return b.drains[id] != nil }

// LocksQuota tells whether the batch rests on the quota record of a team.
func (b *Batch) LocksQuota(team string) bool { return b.lockedTeams[team] }

// HasFailedReplica tells whether the batch records the exit of a replica of a service.
func (b *Batch) HasFailedReplica(id protocol.JobID) bool { return b.failedServices[id] }
