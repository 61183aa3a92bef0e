package commit

import (
	"iter"
	"log/slog"
	"maps"
	"slices"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Batch collects changes for one transaction. Every change rests on the stamps
// that the replica has; the service refuses it if one of them has moved on.
type Batch struct {
	shardWriter    *ShardWriter
	opsLeft        int // puts and deletes still allowed
	estimatedBytes int // what the records in it are reckoned to take, written
	conditions     map[string]protocol.ModRevision
	jobs           map[protocol.JobID]*storage.JobRecord
	shards         map[storage.ShardID]*ShardDraft
	machines       map[protocol.MachineID]*storage.MachineRecord
	teams          map[string]bool
	transfers      map[storage.TransferSlot]*storage.TransferRecord
	drains         map[protocol.ControllerID]*DrainChange
	newlyDone      map[protocol.JobID]storage.TaskSet // tasks that are done by what is in the batch
	failedServices map[protocol.JobID]bool            // daemons of which a replica has ended
	writesRegistry bool                               // a machine is put on record
	onSend         []func()                           // what to remember once it is sent
	logsOnApply    []step.Effect                      // lines for the operator once it is applied
}

// ShardDraft is a page as the batch leaves it.
type ShardDraft struct {
	Owner         storage.Incarnation
	Epoch         storage.ShardEpoch
	MachineIDs    []protocol.MachineID
	doneTasks     map[protocol.JobID]storage.TaskSet
	EstimatedSize int
}

// Room that is left on a page for what is reckoned too small.
const shardSizeMargin = 700

// transferRecordSize is what a move's record is reckoned to take.
const transferRecordSize = 400

// DependOn makes the transaction depend on a key as the replica has it.
func (b *Batch) DependOn(key string) { b.conditions[key] = b.shardWriter.Replica.ModRevision(key) }

func (b *Batch) ReserveWrite(key string, size int) {
	b.DependOn(key)
	b.opsLeft--
	b.estimatedBytes += size
}

// ChangesShard tells whether the batch changes a shard.
func (b *Batch) ChangesShard(id storage.ShardID) bool { return b.shards[id] != nil }

// GivesAwayShard tells whether the batch makes another incarnation the owner of a shard.
func (b *Batch) GivesAwayShard(id storage.ShardID) bool {
	draft := b.shards[id]
	return draft != nil && draft.Owner != b.shardWriter.lease.incarnation
}

// Draft is a shard as the batch leaves it, nil if the batch does not change it.
func (b *Batch) Draft(id storage.ShardID) *ShardDraft { return b.shards[id] }

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
func (b *Batch) LocksQuota(team string) bool { return b.teams[team] }

// LockQuota rewrites the quota record of a team, so that two placements for it never pass each
// other; the caller has asked for capacity.
func (b *Batch) LockQuota(team string) {
	b.ReserveWrite(storage.QuotaKey(team), quotaRecordSize)
	b.teams[team] = true
}

// AddJob puts a new job on record; the caller has asked for capacity.
func (b *Batch) AddJob(id protocol.JobID, record *storage.JobRecord) {
	b.ReserveWrite(storage.JobKey(id), newJobRecordSize)
	b.jobs[id] = record
}

// MarkFailedReplica notes that a replica of a service has exited by what the batch records.
func (b *Batch) MarkFailedReplica(id protocol.JobID) { b.failedServices[id] = true }

// HasFailedReplica tells whether the batch records the exit of a replica of a service.
func (b *Batch) HasFailedReplica(id protocol.JobID) bool { return b.failedServices[id] }

// OnSend has a function called when the transaction is sent.
func (b *Batch) OnSend(f func()) { b.onSend = append(b.onSend, f) }

// ConditionCount is the number of keys that the transaction depends on so far.
func (b *Batch) ConditionCount() int { return len(b.conditions) }

// OpsLeft is how many more operations the batch may take.
func (b *Batch) OpsLeft() int { return b.opsLeft }

// LimitOps lowers the number of operations that the batch may still take.
func (b *Batch) LimitOps(n int) { b.opsLeft = min(b.opsLeft, n) }

// ReserveOps keeps operations back until they are released.
func (b *Batch) ReserveOps(n int) { b.opsLeft -= n }

// ReleaseOps gives back operations that were kept back.
func (b *Batch) ReleaseOps(n int) { b.opsLeft += n }

// Estimated sizes of records that are written for the first time, in bytes.
const (
	quotaRecordSize  = 100
	newJobRecordSize = 700
)

// HasCapacity tells whether n more records can be changed, however large they are.
func (b *Batch) HasCapacity(n int) bool {
	return n == 0 && b.estimatedBytes < protocol.MaxTransactionBytes || b.hasCapacityFor(n, n*b.shardWriter.limits.WriteLimits().ValueBytes)
}

// hasCapacityFor tells whether n more records of this size together can be changed.
func (b *Batch) hasCapacityFor(n, size int) bool {
	return b.opsLeft >= n && b.estimatedBytes+size <= protocol.MaxTransactionBytes && len(b.conditions)+2*n < 4*b.shardWriter.limits.WriteLimits().TransactionOps
}

// MutableJob gives a job's record to change; the caller has asked for room.
func (b *Batch) MutableJob(id protocol.JobID) *storage.JobRecord {
	if r := b.jobs[id]; r != nil {
		return r
	}
	e := b.shardWriter.Replica.Jobs[id]
	r := e.Record
	b.ReserveWrite(storage.JobKey(id), e.EncodedSize+200)
	b.jobs[id] = &r
	return &r
}

// MutableShard gives a page to change; the caller has asked for room.
func (b *Batch) MutableShard(id storage.ShardID) *ShardDraft {
	if draft := b.shards[id]; draft != nil {
		return draft
	}
	shard := b.shardWriter.Replica.Shards[id]
	ops := b.shardWriter.ShardWriteOps(id)
	draft := &ShardDraft{Owner: shard.Owner, Epoch: shard.Epoch, MachineIDs: shard.Machines, EstimatedSize: shard.EncodedSize, doneTasks: map[protocol.JobID]storage.TaskSet{}}
	if b.shardWriter.limits.StorageFormat() >= storage.FormatPacked {
		draft.EstimatedSize = b.shardWriter.Replica.PackedShardSize(id)
	}
	for j, r := range shard.CompletedTasks {
		if e := b.shardWriter.Replica.Jobs[j]; e == nil || !e.Record.State.IsTerminal() {
			draft.doneTasks[j] = r
		}
	}
	b.ReserveWrite(storage.ShardKey(id), shard.EncodedSize+shardSizeMargin)
	b.opsLeft -= ops - 1
	b.shards[id] = draft
	return draft
}

// NewShard begins a page that is not on record yet.
func (b *Batch) NewShard(owner storage.Incarnation, epoch storage.ShardEpoch) storage.ShardID {
	shardID := b.shardWriter.newShardID()
	b.ReserveWrite(storage.ShardKey(shardID), shardSizeMargin)
	b.shards[shardID] = &ShardDraft{Owner: owner, Epoch: epoch, doneTasks: map[protocol.JobID]storage.TaskSet{}}
	return shardID
}

// MutableMachine gives a machine's record to change; the caller has asked for room.
func (b *Batch) MutableMachine(id protocol.MachineID) *storage.MachineRecord {
	if r := b.machines[id]; r != nil {
		return r
	}
	r := b.shardWriter.Replica.Machines[id].Record.Clone()
	b.MutableShard(r.Shard)
	b.machines[id] = r
	return r
}

// PutTransfer writes a move's record; the caller has asked for room.
func (b *Batch) PutTransfer(slot storage.TransferSlot, record *storage.TransferRecord) {
	if b.transfers[slot] == nil {
		b.ReserveWrite(storage.TransferKey(slot), transferRecordSize)
	}
	b.transfers[slot] = record
}

// DrainChange is what becomes of a controller's drain: no record ends it.
type DrainChange struct{ Record *storage.DrainRecord }

func (d *DrainChange) operation(controllerID protocol.ControllerID) protocol.Operation {
	if d.Record == nil {
		return protocol.Operation{DeleteKey: storage.DrainKey(controllerID)}
	}
	return protocol.Operation{PutKey: storage.DrainKey(controllerID), Value: storage.MustMarshal(d.Record)}
}

// SetDrain writes or ends a controller's drain; the caller has asked for room.
func (b *Batch) SetDrain(controllerID protocol.ControllerID, change *DrainChange) {
	b.ReserveWrite(storage.DrainKey(controllerID), 50)
	b.drains[controllerID] = change
}

// CanAddMachine tells whether one more machine can be put on record.
func (b *Batch) CanAddMachine() bool { return b.HasCapacity(2) }

// AddMachine puts a machine that is not on record on a page of this run, with a token
// above the one that its worker has seen. The caller has asked canAddMachine.
func (b *Batch) AddMachine(id protocol.MachineID, record *storage.MachineRecord, seenToken protocol.FencingToken) {
	if !b.writesRegistry {
		b.ReserveWrite(storage.RegistryKey, 100)
		b.writesRegistry = true
	}
	size := b.shardWriter.estimateMachineSize(record.MachineType)
	shardID := storage.ShardID("")
	shardFits := func(p storage.ShardID, d *ShardDraft) bool {
		return d.Owner == b.shardWriter.lease.incarnation && d.Epoch > storage.ShardEpochOf(seenToken) && b.projectShardSize(d)+size <= b.shardWriter.limits.WriteLimits().ValueBytes
	}
	for _, p := range step.SortedKeys(b.shards) {
		if shardFits(p, b.shards[p]) {
			shardID = p
			break
		}
	}
	if shardID == "" {
		for _, p := range b.shardWriter.OwnedShards() {
			e := b.shardWriter.Replica.Shards[p]
			if b.shards[p] == nil && shardFits(p, &ShardDraft{Owner: e.Owner, Epoch: e.Epoch, MachineIDs: e.Machines, EstimatedSize: e.EncodedSize}) {
				shardID = p
				break
			}
		}
	}
	if shardID == "" {
		shardID = b.NewShard(b.shardWriter.lease.incarnation, max(storage.ShardEpochOf(seenToken)+1, 1))
	}
	b.putMachine(shardID, id, record)
}

func (b *Batch) putMachine(shardID storage.ShardID, id protocol.MachineID, record *storage.MachineRecord) {
	draft := b.MutableShard(shardID)
	draft.MachineIDs = append(draft.MachineIDs[:len(draft.MachineIDs):len(draft.MachineIDs)], id)
	draft.EstimatedSize += b.shardWriter.EstimateEncodedSize(len(record.EncodeLine(id)) + 3)
	b.estimatedBytes += len(record.EncodeLine(id)) + 3
	record.Shard, record.Owner, record.ShardEpoch, record.FencingToken = shardID, draft.Owner, draft.Epoch, draft.Epoch.FencingToken(record.TokenCounter)
	b.machines[id] = record
}

// RemoveMachine takes a machine off its page.
func (b *Batch) RemoveMachine(id protocol.MachineID) {
	record := b.MachineRecord(id)
	draft := b.MutableShard(record.Shard)
	draft.MachineIDs = slices.DeleteFunc(slices.Clone(draft.MachineIDs), func(x protocol.MachineID) bool { return x == id })
	delete(b.machines, id)
}

// MoveMachine puts a machine on another page.
func (b *Batch) MoveMachine(id protocol.MachineID, shardID storage.ShardID) {
	record := b.MutableMachine(id)
	b.RemoveMachine(id)
	b.putMachine(shardID, id, record)
}

// RemovesMachine tells whether the batch takes the machine off the records.
func (b *Batch) RemovesMachine(id protocol.MachineID) bool {
	e := b.shardWriter.Replica.Machines[id]
	if e == nil || b.machines[id] != nil {
		return false
	}
	d := b.shards[e.Record.Shard]
	return d != nil && !slices.Contains(d.MachineIDs, id)
}

// AssignTasks writes tasks of a job to a machine; the caller has asked for room.
func (b *Batch) AssignTasks(id protocol.MachineID, job protocol.JobID, tasks []int, attempt protocol.Attempt) {
	r := b.MutableMachine(id)
	for _, index := range tasks {
		r.Assign(protocol.Task{Job: job, Index: index}, attempt)
	}
	b.MutableShard(r.Shard).EstimatedSize += b.shardWriter.EstimateEncodedSize(24 + 3*len(tasks))
	b.estimatedBytes += 24 + 3*len(tasks)
}

// BumpFencingToken raises the machine's own part of its token: its owner sends it to the
// worker, and the worker reports at once, instead of some seconds later.
func (b *Batch) BumpFencingToken(id protocol.MachineID) {
	if r := b.MutableMachine(id); r.TokenCounter < storage.MaxTokenCounter {
		r.TokenCounter++
		r.FencingToken = r.ShardEpoch.FencingToken(r.TokenCounter)
	}
}

// HasShardHeadroom tells whether the machine's page can take more assignments: a page
// stays well within a value, so that whatever ends there can be written.
func (b *Batch) HasShardHeadroom(r *storage.MachineRecord) bool {
	size := 0
	if d := b.shards[r.Shard]; d != nil {
		size = d.EstimatedSize
	} else if p := b.shardWriter.Replica.Shards[r.Shard]; p != nil {
		size = p.EncodedSize
	}
	return size < b.shardWriter.limits.WriteLimits().ValueBytes*7/8
}

// RecordTaskDone notes on the machine's page that a task is done; the caller has
// asked for room for the page.
func (b *Batch) RecordTaskDone(id protocol.MachineID, task protocol.Task) {
	draft := b.MutableShard(b.MachineRecord(id).Shard)
	if r, ok := draft.doneTasks[task.Job]; ok {
		draft.doneTasks[task.Job] = r.Add(task.Index)
	} else {
		draft.doneTasks[task.Job] = storage.TaskRange(task.Index, task.Index)
		draft.EstimatedSize += b.shardWriter.EstimateEncodedSize(16)
	}
	draft.EstimatedSize += b.shardWriter.EstimateEncodedSize(4)
	b.estimatedBytes += 4
	b.newlyDone[task.Job] = b.newlyDone[task.Job].Add(task.Index)
}

// DoneTasks is what is done of a job as the batch leaves it.
func (b *Batch) DoneTasks(id protocol.JobID) storage.TaskSet {
	r := b.shardWriter.Replica.CompletedTasks(id)
	if added, ok := b.newlyDone[id]; ok {
		r = r.Union(added)
	}
	return r
}

// CompleteJobIfDone calls a job done once all its tasks are.
func (b *Batch) CompleteJobIfDone(id protocol.JobID) {
	if r := b.JobRecord(id); r.State.IsTerminal() || b.DoneTasks(id).Len() < r.Spec.TaskCount || !b.HasCapacity(b.WritesNeeded("", id)) {
		return
	}
	r := b.MutableJob(id)
	b.Log(slog.LevelInfo, "job completed", "job", string(id), "class", r.Spec.Class, "duration_s", float64(b.shardWriter.Now.Wall-r.SubmittedAt)/1000)
	*r = storage.JobRecord{State: protocol.JobDone, TaskCount: r.Spec.TaskCount, SubmittedAt: r.SubmittedAt}
	for _, d := range b.shards {
		delete(d.doneTasks, id)
	}
}

// WritesNeeded counts the records that a change would add to the batch.
func (b *Batch) WritesNeeded(machineID protocol.MachineID, jobs ...protocol.JobID) int {
	n := 0
	if e := b.shardWriter.Replica.Machines[machineID]; machineID != "" && b.machines[machineID] == nil && e == nil {
		n++
	} else if machineID != "" && b.machines[machineID] == nil && b.shards[e.Record.Shard] == nil {
		n += b.shardWriter.ShardWriteOps(e.Record.Shard)
	}
	for _, j := range jobs {
		if b.jobs[j] == nil {
			n++
		}
	}
	return n
}

// CanWriteMachines tells whether the pages of these machines and one job can be written
// besides what is in the batch; alone is how many changes they are where an empty
// batch could take them.
func (b *Batch) CanWriteMachines(machines []protocol.MachineID) (fits bool, opsWhenEmpty int) {
	seen := map[storage.ShardID]bool{}
	opsToAdd, sizeToAdd, totalOps, totalSize := 1, b.shardWriter.limits.WriteLimits().ValueBytes, 1, b.shardWriter.limits.WriteLimits().ValueBytes
	for _, id := range machines {
		shardID := b.shardWriter.Replica.Machines[id].Record.Shard
		if seen[shardID] {
			continue
		}
		seen[shardID] = true
		shardSize, shardOps := b.shardWriter.Replica.Shards[shardID].EncodedSize+shardSizeMargin, b.shardWriter.ShardWriteOps(shardID)
		totalOps, totalSize = totalOps+shardOps, totalSize+shardSize
		if b.shards[shardID] == nil {
			opsToAdd, sizeToAdd = opsToAdd+shardOps, sizeToAdd+shardSize
		}
	}
	if totalOps <= b.shardWriter.limits.WriteLimits().TransactionOps*3/4 && totalSize <= protocol.MaxTransactionBytes {
		opsWhenEmpty = totalOps
	}
	return b.hasCapacityFor(opsToAdd, sizeToAdd), opsWhenEmpty
}

// MachineRecord is the record as the batch leaves it.
func (b *Batch) MachineRecord(id protocol.MachineID) *storage.MachineRecord {
	if r := b.machines[id]; r != nil {
		return r
	}
	if e := b.shardWriter.Replica.Machines[id]; e != nil {
		return &e.Record
	}
	return nil
}

// JobRecord is the record as the batch leaves it.
func (b *Batch) JobRecord(id protocol.JobID) *storage.JobRecord {
	if r := b.jobs[id]; r != nil {
		return r
	}
	if e := b.shardWriter.Replica.Jobs[id]; e != nil {
		return &e.Record
	}
	return nil
}

// Log notes a decision; the operator reads it once the decision is on record.
// A transaction that is refused is built again, with the same lines.
func (b *Batch) Log(l slog.Level, msg string, args ...any) {
	b.logsOnApply = append(b.logsOnApply, step.Log{Level: l, Message: msg, Args: args})
}

func (b *Batch) IsEmpty() bool {
	return len(b.jobs) == 0 && len(b.shards) == 0 && len(b.transfers)+len(b.drains) == 0
}

func (b *Batch) Transaction() protocol.Transaction {
	var transaction protocol.Transaction
	for _, id := range step.SortedKeys(b.jobs) {
		transaction.Operations = append(transaction.Operations, protocol.Operation{PutKey: storage.JobKey(id), Value: storage.EncodeJob(b.shardWriter.limits.StorageFormat(), b.jobs[id])})
	}
	for _, id := range step.SortedKeys(b.shards) {
		draft := b.shards[id]
		if len(draft.MachineIDs) == 0 && len(draft.doneTasks) == 0 {
			if b.conditions[storage.ShardKey(id)] != 0 {
				transaction.Operations = append(transaction.Operations, protocol.Operation{DeleteKey: storage.ShardKey(id)})
			}
			continue
		}
		transaction.Operations = append(transaction.Operations, b.encodeShard(id, draft)...)
	}
	for _, slot := range step.SortedKeys(b.transfers) {
		transaction.Operations = append(transaction.Operations, protocol.Operation{PutKey: storage.TransferKey(slot), Value: storage.MustMarshal(b.transfers[slot])})
	}
	for _, controllerID := range step.SortedKeys(b.drains) {
		transaction.Operations = append(transaction.Operations, b.drains[controllerID].operation(controllerID))
	}
	if b.writesRegistry {
		transaction.Operations = append(transaction.Operations, protocol.Operation{PutKey: storage.RegistryKey, Value: storage.MustMarshal(storage.RegistryRecord{UpdatedBy: b.shardWriter.lease.incarnation})})
	}
	for _, t := range step.SortedKeys(b.teams) {
		transaction.Operations = append(transaction.Operations, protocol.Operation{PutKey: storage.QuotaKey(t), Value: storage.MustMarshal(storage.QuotaRecord{UpdatedBy: b.shardWriter.lease.incarnation, TransactionID: b.shardWriter.commits.lastTransactionID})})
	}
	for _, k := range step.SortedKeys(b.conditions) {
		transaction.Conditions = append(transaction.Conditions, protocol.Condition{Key: k, ModRevision: b.conditions[k]})
	}
	return transaction
}

// encodeShard writes a page; one that has outgrown a value in several parts, all of them
// with the same owner and epoch. The new parts come first: a machine is on some page at
// every moment then.
func (b *Batch) encodeShard(id storage.ShardID, draft *ShardDraft) []protocol.Operation {
	lines := make([]string, len(draft.MachineIDs))
	for i, x := range draft.MachineIDs {
		if r := b.machines[x]; r != nil {
			lines[i] = r.EncodeLine(x)
		} else {
			lines[i] = b.shardWriter.Replica.EncodedLine(x)
		}
	}
	format := b.shardWriter.limits.StorageFormat()
	data := storage.EncodeShard(format, draft.Owner, draft.Epoch, lines, draft.doneTasks)
	if len(data) <= b.shardWriter.limits.WriteLimits().ValueBytes || len(draft.MachineIDs) < 2 || format < storage.FormatPacked {
		return []protocol.Operation{{PutKey: storage.ShardKey(id), Value: data}}
	}
	half := len(draft.MachineIDs) / 2
	newID := b.shardWriter.newShardID()
	b.DependOn(storage.ShardKey(newID))
	parts := b.encodeShard(newID, &ShardDraft{Owner: draft.Owner, Epoch: draft.Epoch, MachineIDs: draft.MachineIDs[half:]})
	return append(parts, b.encodeShard(id, &ShardDraft{Owner: draft.Owner, Epoch: draft.Epoch, MachineIDs: draft.MachineIDs[:half], doneTasks: draft.doneTasks})...)
}

// packedSizeRatio is the part of its plain form that a page takes in the packed format; it
// is far less where its machines are alike.
const packedSizeRatio = 0.4

func (b *Batch) estimateMachinesSize(ids []protocol.MachineID) int {
	n := 0
	for _, id := range ids {
		if r := b.MachineRecord(id); r != nil {
			n += b.shardWriter.estimateMachineSize(r.MachineType)
		}
	}
	return n
}

// projectShardSize is what a page may come to take. What is packed hardly grows with the tasks of
// its machines, so there it is what the page takes now, and a quarter more.
func (b *Batch) projectShardSize(d *ShardDraft) int {
	if b.shardWriter.limits.StorageFormat() < storage.FormatPacked {
		return b.estimateMachinesSize(d.MachineIDs)
	}
	return d.EstimatedSize * 5 / 4
}
