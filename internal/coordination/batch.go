package coordination

import (
	"log/slog"
	"slices"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// batch collects changes for one transaction. Every change rests on the stamps
// that the replica has; the service refuses it if one of them has moved on.
type batch struct {
	shardWriter    *shardWriter
	opsLeft        int // puts and deletes still allowed
	estimatedBytes int // what the records in it are reckoned to take, written
	conditions     map[string]protocol.ModRevision
	jobs           map[protocol.JobID]*storage.JobRecord
	shards         map[storage.ShardID]*shardDraft
	machines       map[protocol.MachineID]*storage.MachineRecord
	teams          map[string]bool
	transfers      map[storage.TransferSlot]*storage.TransferRecord
	drains         map[protocol.ControllerID]*drainChange
	newlyDone      map[protocol.JobID]storage.TaskSet // tasks that are done by what is in the batch
	failedServices map[protocol.JobID]bool            // daemons of which a replica has ended
	writesRegistry bool                               // a machine is put on record
	onSend         []func()                           // what to remember once it is sent
	logsOnApply    []Effect                           // lines for the operator once it is applied
}

// shardDraft is a page as the batch leaves it.
type shardDraft struct {
	owner         storage.Incarnation
	epoch         storage.ShardEpoch
	machineIDs    []protocol.MachineID
	doneTasks     map[protocol.JobID]storage.TaskSet
	estimatedSize int
}

// Room that is left on a page for what is reckoned too small.
const shardSizeMargin = 700

// transferRecordSize is what a move's record is reckoned to take.
const transferRecordSize = 400

// dependOn makes the transaction depend on a key as the replica has it.
func (b *batch) dependOn(key string) { b.conditions[key] = b.shardWriter.replica.ModRevision(key) }

func (b *batch) reserveWrite(key string, size int) {
	b.dependOn(key)
	b.opsLeft--
	b.estimatedBytes += size
}

// hasCapacity tells whether n more records can be changed, however large they are.
func (b *batch) hasCapacity(n int) bool {
	return n == 0 && b.estimatedBytes < protocol.MaxTransactionBytes || b.hasCapacityFor(n, n*b.shardWriter.limits.writeLimits().ValueBytes)
}

// hasCapacityFor tells whether n more records of this size together can be changed.
func (b *batch) hasCapacityFor(n, size int) bool {
	return b.opsLeft >= n && b.estimatedBytes+size <= protocol.MaxTransactionBytes && len(b.conditions)+2*n < 4*b.shardWriter.limits.writeLimits().TransactionOps
}

// mutableJob gives a job's record to change; the caller has asked for room.
func (b *batch) mutableJob(id protocol.JobID) *storage.JobRecord {
	if r := b.jobs[id]; r != nil {
		return r
	}
	e := b.shardWriter.replica.Jobs[id]
	r := e.Record
	b.reserveWrite(storage.JobKey(id), e.EncodedSize+200)
	b.jobs[id] = &r
	return &r
}

// mutableShard gives a page to change; the caller has asked for room.
func (b *batch) mutableShard(id storage.ShardID) *shardDraft {
	if draft := b.shards[id]; draft != nil {
		return draft
	}
	shard := b.shardWriter.replica.Shards[id]
	ops := b.shardWriter.shardWriteOps(id)
	draft := &shardDraft{owner: shard.Owner, epoch: shard.Epoch, machineIDs: shard.Machines, estimatedSize: shard.EncodedSize, doneTasks: map[protocol.JobID]storage.TaskSet{}}
	if b.shardWriter.limits.storageFormat() >= storage.FormatPacked {
		draft.estimatedSize = b.shardWriter.replica.PackedShardSize(id)
	}
	for j, r := range shard.CompletedTasks {
		if e := b.shardWriter.replica.Jobs[j]; e == nil || !e.Record.State.IsTerminal() {
			draft.doneTasks[j] = r
		}
	}
	b.reserveWrite(storage.ShardKey(id), shard.EncodedSize+shardSizeMargin)
	b.opsLeft -= ops - 1
	b.shards[id] = draft
	return draft
}

// newShard begins a page that is not on record yet.
func (b *batch) newShard(owner storage.Incarnation, epoch storage.ShardEpoch) storage.ShardID {
	shardID := b.shardWriter.newShardID()
	b.reserveWrite(storage.ShardKey(shardID), shardSizeMargin)
	b.shards[shardID] = &shardDraft{owner: owner, epoch: epoch, doneTasks: map[protocol.JobID]storage.TaskSet{}}
	return shardID
}

// mutableMachine gives a machine's record to change; the caller has asked for room.
func (b *batch) mutableMachine(id protocol.MachineID) *storage.MachineRecord {
	if r := b.machines[id]; r != nil {
		return r
	}
	r := b.shardWriter.replica.Machines[id].Record.Clone()
	b.mutableShard(r.Shard)
	b.machines[id] = r
	return r
}

// putTransfer writes a move's record; the caller has asked for room.
func (b *batch) putTransfer(slot storage.TransferSlot, record *storage.TransferRecord) {
	if b.transfers[slot] == nil {
		b.reserveWrite(storage.TransferKey(slot), transferRecordSize)
	}
	b.transfers[slot] = record
}

// drainChange is what becomes of a controller's drain: no record ends it.
type drainChange struct{ record *storage.DrainRecord }

func (d *drainChange) operation(controllerID protocol.ControllerID) protocol.Operation {
	if d.record == nil {
		return protocol.Operation{DeleteKey: storage.DrainKey(controllerID)}
	}
	return protocol.Operation{PutKey: storage.DrainKey(controllerID), Value: storage.MustMarshal(d.record)}
}

// setDrain writes or ends a controller's drain; the caller has asked for room.
func (b *batch) setDrain(controllerID protocol.ControllerID, change *drainChange) {
	b.reserveWrite(storage.DrainKey(controllerID), 50)
	b.drains[controllerID] = change
}

// canAddMachine tells whether one more machine can be put on record.
func (b *batch) canAddMachine() bool { return b.hasCapacity(2) }

// addMachine puts a machine that is not on record on a page of this run, with a token
// above the one that its worker has seen. The caller has asked canAddMachine.
func (b *batch) addMachine(id protocol.MachineID, record *storage.MachineRecord, seenToken protocol.FencingToken) {
	if !b.writesRegistry {
		b.reserveWrite(storage.RegistryKey, 100)
		b.writesRegistry = true
	}
	size := b.shardWriter.estimateMachineSize(record.MachineType)
	shardID := storage.ShardID("")
	shardFits := func(p storage.ShardID, d *shardDraft) bool {
		return d.owner == b.shardWriter.lease.incarnation && d.epoch > storage.ShardEpochOf(seenToken) && b.projectShardSize(d)+size <= b.shardWriter.limits.writeLimits().ValueBytes
	}
	for _, p := range sortedKeys(b.shards) {
		if shardFits(p, b.shards[p]) {
			shardID = p
			break
		}
	}
	if shardID == "" {
		for _, p := range b.shardWriter.ownedShards() {
			e := b.shardWriter.replica.Shards[p]
			if b.shards[p] == nil && shardFits(p, &shardDraft{owner: e.Owner, epoch: e.Epoch, machineIDs: e.Machines, estimatedSize: e.EncodedSize}) {
				shardID = p
				break
			}
		}
	}
	if shardID == "" {
		shardID = b.newShard(b.shardWriter.lease.incarnation, max(storage.ShardEpochOf(seenToken)+1, 1))
	}
	b.putMachine(shardID, id, record)
}

func (b *batch) putMachine(shardID storage.ShardID, id protocol.MachineID, record *storage.MachineRecord) {
	draft := b.mutableShard(shardID)
	draft.machineIDs = append(draft.machineIDs[:len(draft.machineIDs):len(draft.machineIDs)], id)
	draft.estimatedSize += b.shardWriter.estimateEncodedSize(len(record.EncodeLine(id)) + 3)
	b.estimatedBytes += len(record.EncodeLine(id)) + 3
	record.Shard, record.Owner, record.ShardEpoch, record.FencingToken = shardID, draft.owner, draft.epoch, draft.epoch.FencingToken(record.TokenCounter)
	b.machines[id] = record
}

// removeMachine takes a machine off its page.
func (b *batch) removeMachine(id protocol.MachineID) {
	record := b.machineRecord(id)
	draft := b.mutableShard(record.Shard)
	draft.machineIDs = slices.DeleteFunc(slices.Clone(draft.machineIDs), func(x protocol.MachineID) bool { return x == id })
	delete(b.machines, id)
}

// moveMachine puts a machine on another page.
func (b *batch) moveMachine(id protocol.MachineID, shardID storage.ShardID) {
	record := b.mutableMachine(id)
	b.removeMachine(id)
	b.putMachine(shardID, id, record)
}

// removesMachine tells whether the batch takes the machine off the records.
func (b *batch) removesMachine(id protocol.MachineID) bool {
	e := b.shardWriter.replica.Machines[id]
	if e == nil || b.machines[id] != nil {
		return false
	}
	d := b.shards[e.Record.Shard]
	return d != nil && !slices.Contains(d.machineIDs, id)
}

// assignTasks writes tasks of a job to a machine; the caller has asked for room.
func (b *batch) assignTasks(id protocol.MachineID, job protocol.JobID, tasks []int, attempt protocol.Attempt) {
	r := b.mutableMachine(id)
	for _, index := range tasks {
		r.Assign(protocol.Task{Job: job, Index: index}, attempt)
	}
	b.mutableShard(r.Shard).estimatedSize += b.shardWriter.estimateEncodedSize(24 + 3*len(tasks))
	b.estimatedBytes += 24 + 3*len(tasks)
}

// bumpFencingToken raises the machine's own part of its token: its owner sends it to the
// worker, and the worker reports at once, instead of some seconds later.
func (b *batch) bumpFencingToken(id protocol.MachineID) {
	if r := b.mutableMachine(id); r.TokenCounter < storage.MaxTokenCounter {
		r.TokenCounter++
		r.FencingToken = r.ShardEpoch.FencingToken(r.TokenCounter)
	}
}

// hasShardHeadroom tells whether the machine's page can take more assignments: a page
// stays well within a value, so that whatever ends there can be written.
func (b *batch) hasShardHeadroom(r *storage.MachineRecord) bool {
	size := 0
	if d := b.shards[r.Shard]; d != nil {
		size = d.estimatedSize
	} else if p := b.shardWriter.replica.Shards[r.Shard]; p != nil {
		size = p.EncodedSize
	}
	return size < b.shardWriter.limits.writeLimits().ValueBytes*7/8
}

// recordTaskDone notes on the machine's page that a task is done; the caller has
// asked for room for the page.
func (b *batch) recordTaskDone(id protocol.MachineID, task protocol.Task) {
	draft := b.mutableShard(b.machineRecord(id).Shard)
	if r, ok := draft.doneTasks[task.Job]; ok {
		draft.doneTasks[task.Job] = r.Add(task.Index)
	} else {
		draft.doneTasks[task.Job] = storage.TaskRange(task.Index, task.Index)
		draft.estimatedSize += b.shardWriter.estimateEncodedSize(16)
	}
	draft.estimatedSize += b.shardWriter.estimateEncodedSize(4)
	b.estimatedBytes += 4
	b.newlyDone[task.Job] = b.newlyDone[task.Job].Add(task.Index)
}

// doneTasks is what is done of a job as the batch leaves it.
func (b *batch) doneTasks(id protocol.JobID) storage.TaskSet {
	r := b.shardWriter.replica.CompletedTasks(id)
	if added, ok := b.newlyDone[id]; ok {
		r = r.Union(added)
	}
	return r
}

// completeJobIfDone calls a job done once all its tasks are.
func (b *batch) completeJobIfDone(id protocol.JobID) {
	if r := b.jobRecord(id); r.State.IsTerminal() || b.doneTasks(id).Len() < r.Spec.TaskCount || !b.hasCapacity(b.writesNeeded("", id)) {
		return
	}
	r := b.mutableJob(id)
	b.log(slog.LevelInfo, "job completed", "job", string(id), "class", r.Spec.Class, "duration_s", float64(b.shardWriter.now.Wall-r.SubmittedAt)/1000)
	*r = storage.JobRecord{State: protocol.JobDone, TaskCount: r.Spec.TaskCount, SubmittedAt: r.SubmittedAt}
	for _, d := range b.shards {
		delete(d.doneTasks, id)
	}
}

// writesNeeded counts the records that a change would add to the batch.
func (b *batch) writesNeeded(machineID protocol.MachineID, jobs ...protocol.JobID) int {
	n := 0
	if e := b.shardWriter.replica.Machines[machineID]; machineID != "" && b.machines[machineID] == nil && e == nil {
		n++
	} else if machineID != "" && b.machines[machineID] == nil && b.shards[e.Record.Shard] == nil {
		n += b.shardWriter.shardWriteOps(e.Record.Shard)
	}
	for _, j := range jobs {
		if b.jobs[j] == nil {
			n++
		}
	}
	return n
}

// canWriteMachines tells whether the pages of these machines and one job can be written
// besides what is in the batch; alone is how many changes they are where an empty
// batch could take them.
func (b *batch) canWriteMachines(machines []protocol.MachineID) (fits bool, opsWhenEmpty int) {
	seen := map[storage.ShardID]bool{}
	opsToAdd, sizeToAdd, totalOps, totalSize := 1, b.shardWriter.limits.writeLimits().ValueBytes, 1, b.shardWriter.limits.writeLimits().ValueBytes
	for _, id := range machines {
		shardID := b.shardWriter.replica.Machines[id].Record.Shard
		if seen[shardID] {
			continue
		}
		seen[shardID] = true
		shardSize, shardOps := b.shardWriter.replica.Shards[shardID].EncodedSize+shardSizeMargin, b.shardWriter.shardWriteOps(shardID)
		totalOps, totalSize = totalOps+shardOps, totalSize+shardSize
		if b.shards[shardID] == nil {
			opsToAdd, sizeToAdd = opsToAdd+shardOps, sizeToAdd+shardSize
		}
	}
	if totalOps <= b.shardWriter.limits.writeLimits().TransactionOps*3/4 && totalSize <= protocol.MaxTransactionBytes {
		opsWhenEmpty = totalOps
	}
	return b.hasCapacityFor(opsToAdd, sizeToAdd), opsWhenEmpty
}

// machineRecord is the record as the batch leaves it.
func (b *batch) machineRecord(id protocol.MachineID) *storage.MachineRecord {
	if r := b.machines[id]; r != nil {
		return r
	}
	if e := b.shardWriter.replica.Machines[id]; e != nil {
		return &e.Record
	}
	return nil
}

// jobRecord is the record as the batch leaves it.
func (b *batch) jobRecord(id protocol.JobID) *storage.JobRecord {
	if r := b.jobs[id]; r != nil {
		return r
	}
	if e := b.shardWriter.replica.Jobs[id]; e != nil {
		return &e.Record
	}
	return nil
}

// log notes a decision; the operator reads it once the decision is on record.
// A transaction that is refused is built again, with the same lines.
func (b *batch) log(l slog.Level, msg string, args ...any) {
	b.logsOnApply = append(b.logsOnApply, Log{Level: l, Message: msg, Args: args})
}

func (b *batch) isEmpty() bool {
	return len(b.jobs) == 0 && len(b.shards) == 0 && len(b.transfers)+len(b.drains) == 0
}

func (b *batch) transaction() protocol.Transaction {
	var transaction protocol.Transaction
	for _, id := range sortedKeys(b.jobs) {
		transaction.Operations = append(transaction.Operations, protocol.Operation{PutKey: storage.JobKey(id), Value: storage.EncodeJob(b.shardWriter.limits.storageFormat(), b.jobs[id])})
	}
	for _, id := range sortedKeys(b.shards) {
		draft := b.shards[id]
		if len(draft.machineIDs) == 0 && len(draft.doneTasks) == 0 {
			if b.conditions[storage.ShardKey(id)] != 0 {
				transaction.Operations = append(transaction.Operations, protocol.Operation{DeleteKey: storage.ShardKey(id)})
			}
			continue
		}
		transaction.Operations = append(transaction.Operations, b.encodeShard(id, draft)...)
	}
	for _, slot := range sortedKeys(b.transfers) {
		transaction.Operations = append(transaction.Operations, protocol.Operation{PutKey: storage.TransferKey(slot), Value: storage.MustMarshal(b.transfers[slot])})
	}
	for _, controllerID := range sortedKeys(b.drains) {
		transaction.Operations = append(transaction.Operations, b.drains[controllerID].operation(controllerID))
	}
	if b.writesRegistry {
		transaction.Operations = append(transaction.Operations, protocol.Operation{PutKey: storage.RegistryKey, Value: storage.MustMarshal(storage.RegistryRecord{UpdatedBy: b.shardWriter.lease.incarnation})})
	}
	for _, t := range sortedKeys(b.teams) {
		transaction.Operations = append(transaction.Operations, protocol.Operation{PutKey: storage.QuotaKey(t), Value: storage.MustMarshal(storage.QuotaRecord{UpdatedBy: b.shardWriter.lease.incarnation, TransactionID: b.shardWriter.commits.lastTransactionID})})
	}
	for _, k := range sortedKeys(b.conditions) {
		transaction.Conditions = append(transaction.Conditions, protocol.Condition{Key: k, ModRevision: b.conditions[k]})
	}
	return transaction
}

// encodeShard writes a page; one that has outgrown a value in several parts, all of them
// with the same owner and epoch. The new parts come first: a machine is on some page at
// every moment then.
func (b *batch) encodeShard(id storage.ShardID, draft *shardDraft) []protocol.Operation {
	lines := make([]string, len(draft.machineIDs))
	for i, x := range draft.machineIDs {
		if r := b.machines[x]; r != nil {
			lines[i] = r.EncodeLine(x)
		} else {
			lines[i] = b.shardWriter.replica.EncodedLine(x)
		}
	}
	format := b.shardWriter.limits.storageFormat()
	data := storage.EncodeShard(format, draft.owner, draft.epoch, lines, draft.doneTasks)
	if len(data) <= b.shardWriter.limits.writeLimits().ValueBytes || len(draft.machineIDs) < 2 || format < storage.FormatPacked {
		return []protocol.Operation{{PutKey: storage.ShardKey(id), Value: data}}
	}
	half := len(draft.machineIDs) / 2
	newID := b.shardWriter.newShardID()
	b.dependOn(storage.ShardKey(newID))
	parts := b.encodeShard(newID, &shardDraft{owner: draft.owner, epoch: draft.epoch, machineIDs: draft.machineIDs[half:]})
	return append(parts, b.encodeShard(id, &shardDraft{owner: draft.owner, epoch: draft.epoch, machineIDs: draft.machineIDs[:half], doneTasks: draft.doneTasks})...)
}

// packedSizeRatio is the part of its plain form that a page takes in the packed format; it
// is far less where its machines are alike.
const packedSizeRatio = 0.4

func (b *batch) estimateMachinesSize(ids []protocol.MachineID) int {
	n := 0
	for _, id := range ids {
		if r := b.machineRecord(id); r != nil {
			n += b.shardWriter.estimateMachineSize(r.MachineType)
		}
	}
	return n
}

// projectShardSize is what a page may come to take. What is packed hardly grows with the tasks of
// its machines, so there it is what the page takes now, and a quarter more.
func (b *batch) projectShardSize(d *shardDraft) int {
	if b.shardWriter.limits.storageFormat() < storage.FormatPacked {
		return b.estimateMachinesSize(d.machineIDs)
	}
	return d.estimatedSize * 5 / 4
}
