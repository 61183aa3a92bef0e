package commit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// crowdedShards and crowdedJobs are the numbers of shards and jobs that putCrowdedRecords puts.
const (
	crowdedShards    = 6
	machinesPerShard = 12
	crowdedJobs      = 300
)

func crowdedMachine(i int) protocol.MachineID {
	return protocol.MachineID(fmt.Sprintf("m-%06d", i%(crowdedShards*machinesPerShard)))
}

func crowdedJob(i int) protocol.JobID {
	return protocol.JobID(fmt.Sprintf("j-%06d", i%crowdedJobs))
}

// putCrowdedRecords puts shards of this incarnation and jobs of one team into the replica.
func putCrowdedRecords(t *testing.T, controller *testController) {
	t.Helper()
	self := controller.Lease.Incarnation()
	for shard := range crowdedShards {
		var lines []string
		for i := range machinesPerShard {
			record := storage.MachineRecord{Address: "10.1.0.1:9000", MachineType: "s", Zone: "a", AgentEpoch: 1}
			lines = append(lines, record.EncodeLine(crowdedMachine(shard*machinesPerShard+i)))
		}
		id := storage.ShardID(fmt.Sprintf("%s-s%d", self, shard))
		controller.Put(t, storage.ShardKey(id), storage.EncodeShard(controller.Limits.StorageFormat(), self, 3, lines, nil), 40)
	}
	for i := range crowdedJobs {
		spec := &protocol.Job{ID: crowdedJob(i), Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "low", TaskCount: 900}
		record := storage.JobRecord{Spec: spec, Owner: self}
		controller.Put(t, storage.JobKey(spec.ID), storage.MustMarshal(record), 41)
	}
}

// batchChange adds one change to a batch if the batch has capacity, as the callers of Batch do.
type batchChange func(controller *testController, batch *Batch, n int)

// batchChanges holds the changes of all callers of Batch.
var batchChanges = map[string]batchChange{
	"placement": func(_ *testController, batch *Batch, n int) {
		machine, job := crowdedMachine(n), crowdedJob(n)
		writes := batch.OpsNeeded(machine)
		if !batch.LocksQuota("core") {
			writes++
		}
		if batch.HasCapacity(writes) && batch.HasShardHeadroom(batch.MachineRecord(machine)) {
			batch.AssignTasks(machine, job, []int{n % 900, (n + 7) % 900}, 5)
			batch.DependOn(storage.JobKey(job))
			if !batch.LocksQuota("core") {
				batch.LockQuota("core")
			}
		}
	},
	"end of a task": func(_ *testController, batch *Batch, n int) {
		machine, job := crowdedMachine(n), crowdedJob(n/3)
		if batch.HasCapacity(batch.OpsNeeded(machine)) && batch.HasShardHeadroom(batch.MachineRecord(machine)) {
			batch.MutableMachine(machine)
			batch.RecordTaskCompleted(machine, protocol.Task{Job: job, Index: n % 900})
			batch.CompleteJobIfDone(job)
		}
	},
	"new job": func(_ *testController, batch *Batch, n int) {
		id := protocol.JobID(fmt.Sprintf("j-9%06d", n))
		record := &storage.JobRecord{Spec: &protocol.Job{ID: id, Class: "l", Team: "core"}}
		if n%4 == 0 {
			record.Spec = longSpec(id)
			record.Spec.MachineTypes = record.Spec.MachineTypes[:n%10]
		}
		if batch.jobs[id] == nil && batch.HasCapacity(batch.NewJobOps(id, record)) {
			batch.AddJob(id, record)
		}
	},
	"cancellation in one write": func(controller *testController, batch *Batch, n int) {
		id := crowdedJob(n)
		var shards []string
		for i := range n % 5 {
			shards = append(shards, storage.ShardKey(controller.Replica.Machines[crowdedMachine(n+5*i)].Record.Shard))
		}
		if batch.HasCapacityWith(batch.OpsNeeded("", id), shards...) {
			batch.MutableJob(id).State = protocol.JobCancelled
			for _, key := range shards {
				batch.DependOn(key)
			}
		}
	},
	"reservation for a preemption": func(_ *testController, batch *Batch, n int) {
		id := crowdedJob(n)
		if batch.HasCapacity(batch.OpsNeeded("", id)) {
			var machines []protocol.MachineID
			for i := range n % 70 {
				machines = append(machines, crowdedMachine(i))
			}
			batch.ReserveMachines(id, machines)
		}
	},
	"hand-off of a machine": func(_ *testController, batch *Batch, n int) {
		machine := crowdedMachine(n)
		if batch.ChangesMachine(machine) || !batch.HasCapacity(max(2, batch.OpsNeeded(machine)+1)) {
			return
		}
		shard := batch.NewShard("stall-1#1", 9)
		batch.DependOn(storage.ControllerKey("stall-1"))
		batch.MoveMachine(machine, shard)
	},
	"new machine": func(_ *testController, batch *Batch, n int) {
		id := protocol.MachineID(fmt.Sprintf("m-9%06d", n))
		if !batch.ChangesMachine(id) && batch.CanAddMachine() {
			batch.AddMachine(id, &storage.MachineRecord{MachineType: "s", Zone: "a"}, 0)
		}
	},
	"transfer on record": func(controller *testController, batch *Batch, n int) {
		slot := storage.NewTransferSlot(protocol.ControllerID(fmt.Sprintf("stall-%d", n%40)), 0)
		shard := controller.Replica.Machines[crowdedMachine(n)].Record.Shard
		keys := []string{storage.ShardKey(shard), storage.ControllerKey("stall-0"), storage.ControllerKey("stall-1")}
		if !batch.ChangesTransfer(slot) && batch.HasCapacityWith(1, keys...) {
			batch.PutTransfer(slot, &storage.TransferRecord{Name: fmt.Sprint(n), Shard: shard, Source: "stall-0#1", Target: "stall-1#1"})
			for _, key := range keys {
				batch.DependOn(key)
			}
		}
	},
}

// TestBatchStaysWithinLimits adds random changes of all callers to a batch until it is full. Whatever they are,
// the transaction is within every limit of the store: operations, conditions and bytes. Before the fix a
// placement in a shard that the batch changed already was granted without regard to the conditions.
func TestBatchStaysWithinLimits(t *testing.T) {
	for _, transactionOps := range []int{2, 3, 4, 8, 24, 100, 10_000} {
		for _, format := range []storage.Format{storage.FormatPlain, storage.FormatPacked, storage.FormatParts} {
			t.Run(fmt.Sprintf("%d operations, format %d", transactionOps, format), func(t *testing.T) {
				t.Parallel()
				rapid.Check(t, func(random *rapid.T) {
					controller := newReadyController(t)
					controller.Config.TransactionOps = transactionOps
					controller.Config.ValueBytes = rapid.SampledFrom([]int{4 << 10, 8 << 10, 64 << 10}).Draw(random, "value bytes")
					controller.Put(t, storage.FormatKey, storage.MustMarshal(storage.FormatRecord{WriteFormat: format}), 30)
					controller.Limits.UpdateWriteLimiter()
					putCrowdedRecords(t, controller)
					batch := controller.ShardWriter.NewBatch(transactionOps)
					kinds := rapid.SliceOfNDistinct(rapid.SampledFrom(step.SortedKeys(batchChanges)), 1, 4, rapid.ID).Draw(random, "kinds")
					count := rapid.IntRange(1, 1200).Draw(random, "count")
					offset := rapid.IntRange(0, 900).Draw(random, "offset")
					for n := range count {
						batchChanges[kinds[n%len(kinds)]](controller, batch, n+offset)
					}
					transaction := batch.Transaction()
					transaction.Conditions = append(transaction.Conditions, controller.Committer.registrationCondition())
					limits := controller.Limits.WriteLimits()
					if !limits.Allows(&transaction) {
						random.Fatalf("%d operations, %d conditions and %d bytes, want at most %d, %d and %d",
							len(transaction.Operations), len(transaction.Conditions), transaction.Size(),
							limits.TransactionOps, limits.MaxConditions(), protocol.MaxTransactionBytes)
					}
				})
			})
		}
	}
}

// TestUnsendableTransactionDelaysNoOthers checks that a controller gets past a transaction that exceeds the
// limits however it is built: it tries smaller ones, and then leaves the records out for a while.
func TestUnsendableTransactionDelaysNoOthers(t *testing.T) {
	controller := newReadyController(t)
	putCrowdedRecords(t, controller)
	limits := controller.Limits.WriteLimits()
	unsendable := storage.JobKey(crowdedJob(0))
	for range 10 {
		controller.Advance(rebuildDelay)
		batch := controller.ShardWriter.NewBatch(limits.TransactionOps)
		if batch.IsPostponed(unsendable) {
			break
		}
		batch.MutableJob(crowdedJob(0))
		for i := range limits.MaxConditions() + 1 { // more conditions than any transaction may have
			batch.DependOn(storage.JobKey(crowdedJob(i)))
		}
		controller.Effects = nil
		controller.Committer.SendBatch(batch, 100)
		if steptest.HasEffect[step.Commit](controller.Effects) {
			t.Fatal("a transaction was sent that exceeds the limits")
		}
	}
	batch := controller.ShardWriter.NewBatch(limits.TransactionOps)
	if !batch.IsPostponed(unsendable) {
		t.Fatal("the record of the unsendable transaction is not left out of the next batches")
	}
	if !batch.HasCapacity(batch.OpsNeeded("", crowdedJob(1))) {
		t.Error("the next batch has no capacity for the record of another job")
	}
	controller.Advance(shrinkDuration)
	if _, maxOps := controller.Limits.Budget(); maxOps != limits.TransactionOps {
		t.Errorf("a transaction may have %d operations %v later, want %d", maxOps, shrinkDuration, limits.TransactionOps)
	}
}
