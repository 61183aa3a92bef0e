package cancellation

import (
	"slices"
	"testing"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestWriteCancellations checks that a cancellation is confirmed in one write only if no other controller
// can have a task of the job, and that this write depends on the shards of the machines with tasks of the
// job.
func TestWriteCancellations(t *testing.T) {
	type write int
	const (
		nothing write = iota
		cancelRequest
		confirmation
	)
	cancelRequested := func(record *storage.JobRecord) { record.CancelRequested = true }
	allTasks := map[protocol.JobID]storage.TaskSet{testJob: storage.TaskRange(0, 1)}
	for _, test := range []struct {
		name                 string
		setUp                func(t *testing.T, fixture *cancellationFixture)
		wantWrite            write
		wantShardCondition   bool
		wantRequestForgotten bool
	}{
		{
			name:      "unassigned job of this controller",
			setUp:     func(t *testing.T, fixture *cancellationFixture) { fixture.putJob(t, nil) },
			wantWrite: confirmation,
		},
		{
			name: "running on a quiescent machine of this controller",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, nil)
				fixture.putOwnedMachine(t, protocol.TaskRunning)
			},
			wantWrite:          confirmation,
			wantShardCondition: true,
		},
		{
			name: "pulling its image on a machine of this controller",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, nil)
				fixture.putOwnedMachine(t, protocol.TaskPullingImage)
			},
			wantWrite: cancelRequest,
		},
		{
			name: "running on a machine of another controller",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, nil)
				fixture.recordHeartbeat(fixture.putMachine(t, otherIncarnation, nil), protocol.TaskRunning)
			},
			wantWrite: cancelRequest,
		},
		{
			name: "unassigned job of another controller",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, func(record *storage.JobRecord) { record.Owner = otherIncarnation })
			},
			wantWrite: cancelRequest,
		},
		{
			name: "replica older than the job's record",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, nil)
				fixture.Replica.Revision = 1
			},
			wantWrite: cancelRequest,
		},
		{
			name: "on more shards than a batch may depend on",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, nil)
				fixture.putQuiescentMachines(t, maxDirectCancelShards(fixture)+1)
			},
			wantWrite: cancelRequest,
		},
		{
			name: "on as many shards as a batch may depend on",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, nil)
				fixture.putQuiescentMachines(t, maxDirectCancelShards(fixture))
			},
			wantWrite:          confirmation,
			wantShardCondition: true,
		},
		{
			name: "transaction that depends on the job in flight",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, nil)
				batch := fixture.commit.ShardWriter.NewBatch(8)
				batch.MutableJob(testJob)
				fixture.commit.Committer.SendBatch(batch, 8)
				if !fixture.commit.Committer.HasPendingConditionOn(storage.JobKey(testJob)) {
					t.Fatal("no transaction that depends on the job is in flight, want one")
				}
			},
			wantWrite: cancelRequest,
		},
		{
			name:      "request recorded, not acknowledged",
			setUp:     func(t *testing.T, fixture *cancellationFixture) { fixture.putJob(t, cancelRequested) },
			wantWrite: nothing,
		},
		{
			name: "request recorded and acknowledged",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, cancelRequested)
				fixture.canceller.UpdateAcknowledgements()
			},
			wantWrite: confirmation,
		},
		{
			name: "request acknowledged, all tasks completed first",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, cancelRequested)
				fixture.putMachine(t, testIncarnation, allTasks)
				fixture.canceller.fullyAcknowledged[testJob] = true
			},
			wantWrite: nothing,
		},
		{
			name: "job done",
			setUp: func(t *testing.T, fixture *cancellationFixture) {
				fixture.putJob(t, func(record *storage.JobRecord) { record.State = protocol.JobDone })
			},
			wantWrite:            nothing,
			wantRequestForgotten: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			test.setUp(t, fixture)
			fixture.canceller.RequestCancellation(testJob)
			batch := fixture.commit.ShardWriter.NewBatch(8)
			fixture.canceller.WriteCancellations(batch)

			transaction := batch.Transaction()
			written := storage.NewReplica()
			for _, operation := range transaction.Operations {
				if _, err := written.Put(operation.PutKey, operation.Value, 3); err != nil {
					t.Fatal(err)
				}
			}
			got := nothing
			if entry := written.Jobs[testJob]; entry != nil {
				switch {
				case entry.Record.State == protocol.JobCancelled && !entry.Record.CancelRequested:
					got = confirmation
				case entry.Record.State == "" && entry.Record.CancelRequested:
					got = cancelRequest
				default:
					t.Fatalf("the written record %+v is neither a request nor a confirmation", entry.Record)
				}
				if entry.Record.CancelUpdatedAt != fixture.Now.Wall {
					t.Errorf("CancelUpdatedAt = %d, want %d", entry.Record.CancelUpdatedAt, fixture.Now.Wall)
				}
			}
			if got != test.wantWrite {
				t.Errorf("WriteCancellations wrote %v, want %v (0 nothing, 1 request, 2 confirmation)", got, test.wantWrite)
			}
			shardUnchanged := protocol.Condition{Key: storage.ShardKey("p"), ModRevision: 2}
			dependsOnShard := slices.Contains(transaction.Conditions, shardUnchanged)
			if dependsOnShard != test.wantShardCondition {
				t.Errorf("transaction depends on the shard: %v, want %v", dependsOnShard, test.wantShardCondition)
			}
			if fixture.canceller.HasRequests() == test.wantRequestForgotten {
				t.Errorf("request is forgotten: %v, want %v", !fixture.canceller.HasRequests(), test.wantRequestForgotten)
			}
		})
	}
}
