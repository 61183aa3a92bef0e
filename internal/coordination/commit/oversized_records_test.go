package commit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// newLowLimitsController returns a controller under announced limits whose storage format is raised.
func newLowLimitsController(t *testing.T, format storage.Format) *testController {
	t.Helper()
	controller := newReadyController(t)
	controller.Config.AnnouncedLimits = steptest.AnnouncedLimits()
	controller.Put(t, storage.FormatKey, storage.MustMarshal(storage.FormatRecord{WriteFormat: format}), 30)
	controller.Limits.UpdateWriteLimiter()
	return controller
}

// longSpec returns a description of some 4 KB that hardly compresses.
func longSpec(id protocol.JobID) *protocol.Job {
	random := rand.New(rand.NewPCG(4, 4))
	spec := &protocol.Job{ID: id, Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "low", TaskCount: 5000}
	for range 45 {
		name := make([]byte, 90)
		for i := range name {
			name[i] = byte('!' + random.IntN(90))
		}
		spec.MachineTypes = append(spec.MachineTypes, protocol.MachineTypeName(name))
	}
	return spec
}

// scatteredTasks returns a set of every second of some tasks, with random gaps, which packs badly.
func scatteredTasks(count int) (tasks storage.TaskSet) {
	random := rand.New(rand.NewPCG(5, 5))
	for index := range 2 * count {
		if random.IntN(2) == 0 {
			tasks = tasks.Add(index)
		}
	}
	return tasks
}

// rewriteAll sends batches of oversized records until there are none left to write. It returns the number
// of transactions.
func rewriteAll(t *testing.T, controller *testController) (transactions int) {
	t.Helper()
	limits := controller.Limits.WriteLimits()
	for range 40 {
		controller.Advance(time.Second)
		controller.Effects = nil
		batch := controller.ShardWriter.NewBatch(limits.TransactionOps)
		controller.ShardWriter.RewriteOversizedRecords(batch)
		controller.Committer.SendBatch(batch, 100)
		sent := sentTransaction(controller.Effects)
		if sent == nil {
			continue
		}
		transactions++
		if !limits.Allows(&sent.Transaction) {
			t.Fatalf("a transaction of %d operations exceeds the limits", len(sent.Transaction.Operations))
		}
		controller.advance(0, steptest.CommittedAt(sent.ID, controller.Replica.Revision+100))
		controller.Replica.Revision += 100
	}
	return transactions
}

// A record that was written under wider limits is rewritten within the new ones, whichever field is too
// large, and reads as before.
func TestOversizedJobIsRewritten(t *testing.T) {
	for _, test := range []struct {
		name      string
		spec      *protocol.Job
		completed storage.TaskSet
		reserved  int
	}{
		{name: "long description", spec: longSpec("j-1")},
		{name: "long description and many completed tasks", spec: longSpec("j-1"), completed: scatteredTasks(9000)},
		{name: "many completed tasks", spec: &protocol.Job{ID: "j-1", TaskCount: 20000}, completed: scatteredTasks(9000)},
		{name: "many reserved machines", spec: longSpec("j-1"), reserved: 1200},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newLowLimitsController(t, storage.FormatParts)
			record := storage.JobRecord{
				Spec: test.spec, Owner: controller.Lease.Incarnation(), NextAttempt: 1024,
				CompletedTasks: test.completed, SubmittedAt: 1e12,
			}
			for i := range test.reserved {
				record.ReservedMachines = append(record.ReservedMachines, protocol.MachineID(fmt.Sprintf("m-%06d", i*7919%100003)))
			}
			controller.Put(t, storage.JobKey("j-1"), storage.MustMarshal(record), 40)
			if rewriteAll(t, controller) == 0 {
				t.Fatal("nothing was written, want the record within the limits")
			}
			entry := controller.Replica.Jobs["j-1"]
			got := entry.Record
			got.SpecParts, got.StateParts = nil, nil
			if string(storage.MustMarshal(got)) != string(storage.MustMarshal(record)) {
				t.Error("the record has changed, want the same fields")
			}
			if entry.ModRevision <= 40 || controller.Replica.UnfinishedJobs["j-1"] != entry {
				t.Errorf("the record has revision %d and counts as unfinished: %v; want a later revision and true",
					entry.ModRevision, controller.Replica.UnfinishedJobs["j-1"] == entry)
			}
		})
	}
}

// Every change of a record in parts writes one value, and a cancelled job keeps its description, which
// the placement of other tasks needs until its tasks have ended.
func TestChangeOfJobInParts(t *testing.T) {
	controller := newLowLimitsController(t, storage.FormatParts)
	record := storage.JobRecord{Spec: longSpec("j-1"), Owner: controller.Lease.Incarnation()}
	controller.Put(t, storage.JobKey("j-1"), storage.MustMarshal(record), 40)
	rewriteAll(t, controller)
	batch := controller.ShardWriter.NewBatch(4)
	if got := batch.OpsNeeded("", "j-1"); got != 1 {
		t.Errorf("a change needs %d operations, want 1", got)
	}
	changed := batch.MutableJob("j-1")
	changed.State = protocol.JobCancelled
	transaction := batch.Transaction()
	if len(transaction.Operations) != 1 {
		t.Fatalf("the cancellation writes %d values, want 1", len(transaction.Operations))
	}
	controller.Put(t, storage.JobKey("j-1"), transaction.Operations[0].Value, 9000)
	if got := controller.Replica.Jobs["j-1"].Record; got.Spec == nil || got.State != protocol.JobCancelled || len(controller.Replica.UnusedParts()) > 0 {
		t.Errorf("the cancelled job has state %q, a description: %v, and %d unused parts; want %q, true and 0",
			got.State, got.Spec != nil, len(controller.Replica.UnusedParts()), protocol.JobCancelled)
	}
}

// A job whose record can't be written in the present format delays neither other records of the batch nor
// later batches. It is tried again later.
func TestUnwritableRecordDelaysNoOthers(t *testing.T) {
	controller := newLowLimitsController(t, storage.FormatPacked)
	self := controller.Lease.Incarnation()
	controller.Put(t, storage.JobKey("j-1"), storage.MustMarshal(storage.JobRecord{Spec: longSpec("j-1"), Owner: self}), 40)
	controller.Put(t, storage.JobKey("j-2"), storage.MustMarshal(storage.JobRecord{Spec: &protocol.Job{ID: "j-2"}, Owner: self}), 41)
	send := func() *step.Commit {
		controller.Effects = nil
		batch := controller.ShardWriter.NewBatch(4)
		controller.ShardWriter.RewriteOversizedRecords(batch)
		for _, id := range []protocol.JobID{"j-1", "j-2"} {
			if batch.HasCapacity(batch.OpsNeeded("", id)) {
				batch.MutableJob(id).NextAttempt++
			}
		}
		controller.Committer.SendBatch(batch, 100)
		return sentTransaction(controller.Effects)
	}
	if sent := send(); sent != nil {
		t.Fatal("a transaction with a value above the limit was sent, want none")
	}
	logs := steptest.EffectsOf[step.Log](controller.Effects)
	if len(logs) == 0 || logs[0].Message != "write of record postponed" {
		t.Errorf("logged %v, want the record that is too large", logs)
	}
	controller.Advance(time.Second)
	sent := send()
	if sent == nil || len(sent.Transaction.Operations) != 1 || sent.Transaction.Operations[0].PutKey != storage.JobKey("j-2") {
		t.Fatalf("sent %v, want the record of the other job alone", sent)
	}
	controller.Advance(postponeDelay)
	if controller.ShardWriter.JobWriteOps("j-1") != 1 || !controller.Limits.needsNewerFormat {
		t.Error("the record is still postponed or asks for no newer format, want another attempt after the delay")
	}
}

// Parts that the store refuses are left out of batches for a while, so that they delay no other record.
func TestRefusedPartsDelayNoOthers(t *testing.T) {
	controller := newLowLimitsController(t, storage.FormatParts)
	self := controller.Lease.Incarnation()
	controller.Put(t, storage.JobKey("j-1"), storage.MustMarshal(storage.JobRecord{Spec: longSpec("j-1"), Owner: self}), 40)
	writeBatch := func() *Batch {
		batch := controller.ShardWriter.NewBatch(4)
		controller.ShardWriter.RewriteOversizedRecords(batch)
		return batch
	}
	operations := writeBatch().Transaction().Operations
	if len(operations) < 2 {
		t.Fatalf("the batch has %d operations, want the parts of a description", len(operations))
	}
	for _, operation := range operations {
		controller.Committer.postponeRecord(operation, "refused by the store")
	}
	if batch := writeBatch(); !batch.isEmpty() {
		t.Error("the refused parts are in the next batch, want an empty batch")
	}
	controller.Advance(postponeDelay)
	if got := writeBatch().Transaction().Operations; len(got) != len(operations) {
		t.Errorf("%d parts are written after the delay, want %d", len(got), len(operations))
	}
}

// A shard of one machine that exceeds a value is written in parts, and the parts that it no longer uses
// are deleted.
func TestOversizedShardOfOneMachine(t *testing.T) {
	controller := newLowLimitsController(t, storage.FormatParts)
	random := rand.New(rand.NewPCG(6, 6))
	record := storage.MachineRecord{AgentEpoch: 1, Address: "a:1", MachineType: "large", Zone: "a"}
	for range 300 {
		task := protocol.Task{Job: protocol.JobID(fmt.Sprintf("j-%06d", random.IntN(1e6))), Index: random.IntN(1000)}
		record.Assign(task, protocol.Attempt(random.IntN(1000)))
	}
	line := record.EncodeLine("m-1")
	controller.Put(t, storage.ShardKey("s"), storage.EncodePlainShard(controller.Lease.Incarnation(), 3, []string{line}, nil), 40)
	rewriteAll(t, controller)
	shard := controller.Replica.Shards["s"]
	if len(shard.Parts) < 2 || controller.Replica.EncodedLine("m-1") != line || shard.Epoch != 3 {
		t.Fatalf("the shard has %d parts and epoch %d, want at least 2 parts, epoch 3 and the same machine", len(shard.Parts), shard.Epoch)
	}
	batch := controller.ShardWriter.NewBatch(8)
	batch.MutableMachine("m-1").Assignments = nil
	for _, operation := range batch.Transaction().Operations {
		controller.Put(t, operation.PutKey, operation.Value, 9000)
	}
	if got := len(controller.Replica.UnusedParts()); got != len(shard.Parts) {
		t.Fatalf("%d parts are unused after the tasks have ended, want %d", got, len(shard.Parts))
	}
	rewriteAll(t, controller)
	if got := len(controller.Replica.UnusedParts()); got != 0 || controller.Replica.Machines["m-1"] == nil {
		t.Errorf("%d unused parts are left, want 0 and the machine on record", got)
	}
}

// Limits that fall without an announcement show in refusals: first fewer operations are tried, then smaller
// values. A refusal of small values has another reason, and only postpones the refused records.
func TestRefusalsShowLimits(t *testing.T) {
	controller := newReadyController(t)
	limits := controller.Limits
	transaction := func(values ...int) *protocol.Transaction {
		transaction := &protocol.Transaction{}
		for i, size := range values {
			operation := protocol.Operation{PutKey: storage.JobKey(protocol.JobID(fmt.Sprintf("j-%d", i))), Value: make([]byte, size)}
			transaction.Operations = append(transaction.Operations, operation)
		}
		return transaction
	}
	refuse := func(values ...int) {
		controller.Committer.handleRefusal(&pendingTransaction{transaction: *transaction(values...)})
	}
	refuse(300, 300, 300, 300, 300, 300)
	if limits.maxTransactionOps >= 8 || limits.WriteLimits().ValueBytes != 8192 {
		t.Errorf("up to %d operations and %d bytes a value after a refusal of 6 operations, want fewer operations and 8192 bytes",
			limits.maxTransactionOps, limits.WriteLimits().ValueBytes)
	}
	for range 20 {
		limits.resetTransactionOps()
	}
	if limits.maxTransactionOps != 5 {
		t.Errorf("transactions grow to %d operations, want 5, one less than what was refused", limits.maxTransactionOps)
	}
	conditions := &protocol.Transaction{Conditions: make([]protocol.Condition, 17), Operations: transaction(300).Operations}
	controller.Committer.handleRefusal(&pendingTransaction{transaction: *conditions})
	if got := limits.WriteLimits(); got.MaxConditions() != 16 || controller.ShardWriter.isPostponed(storage.JobKey("j-0")) {
		t.Errorf("up to %d conditions after a refusal of 17, want 16 and nothing postponed", got.MaxConditions())
	}
	refuse(6000, 300)
	if got := limits.WriteLimits().ValueBytes; got != 3000 || !limits.needsNewerFormat {
		t.Errorf("the assumed limit is %d bytes and a newer format is needed: %v; want 3000 and true", got, limits.needsNewerFormat)
	}
	refuse(300)
	if got := limits.WriteLimits().ValueBytes; got != 3000 || !controller.ShardWriter.isPostponed(storage.JobKey("j-0")) {
		t.Errorf("the assumed limit is %d bytes after a refusal of a small value, want 3000 and the record postponed", got)
	}
	controller.Advance(observedLimitTTL + time.Second)
	limits.resetTransactionOps()
	if got := limits.WriteLimits().ValueBytes; got != 8192 || limits.maxTransactionOps != 8 {
		t.Errorf("limits of %d bytes and %d operations after the observation has expired, want 8192 and 8", got, limits.maxTransactionOps)
	}
}
