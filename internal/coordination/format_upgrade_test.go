package coordination

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

// announcedLimits are the limits that the tests in this file announce.
var announcedLimits = steptest.AnnouncedLimits()

// putRecord puts a record into the core's replica, as a watch event would do.
func putRecord(t *testing.T, core *Core, key string, value []byte, modRevision protocol.ModRevision) {
	t.Helper()
	fixtureOf(core).Put(t, key, value, modRevision)
	if key == storage.FormatKey {
		core.commit.Limits.UpdateWriteLimiter()
	}
}

// raiseFormat records the newest format as the write format.
func raiseFormat(t *testing.T, core *Core) {
	t.Helper()
	putRecord(t, core, storage.FormatKey, storage.MustMarshal(storage.FormatRecord{WriteFormat: storage.NewestFormat}), 50)
}

// putOversizedShard puts a shard into the replica as the version in production could leave it: close
// to a value of 8 KiB, with contents that do not pack well. It returns the number of machines.
func putOversizedShard(t *testing.T, core *Core, owner storage.Incarnation) (machines int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(9, 9))
	var lines []string
	for size := 0; size < 7400; machines++ {
		record := storage.MachineRecord{
			AgentEpoch:  1,
			Address:     "10.1.0.1:1",
			MachineType: "large",
			Zone:        "a",
			AddedAt:     protocol.Millis(rng.Int64N(1 << 40)),
		}
		for range 12 {
			job := protocol.JobID(fmt.Sprintf("j-%06d", rng.IntN(1e6)))
			task := protocol.Task{Job: job, Index: rng.IntN(1000)}
			record.Assign(task, protocol.Attempt(rng.IntN(1000)))
		}
		lines = append(lines, record.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%06d", machines))))
		size += len(lines[machines]) + 3
	}
	completed := map[protocol.JobID]storage.TaskSet{"j-1": storage.TaskRange(4, 9)}
	putRecord(t, core, storage.ShardKey("crowded"), storage.EncodePlainShard(owner, 3, lines, completed), 60)
	return machines
}

// An oversized shard that was written before the format was raised can neither be written unchanged
// nor be packed into one value. It is taken over, or rewritten by its owner, in parts that fit and in
// one transaction. No machine may be lost, and the fencing tokens of all machines must be raised to the
// same epoch.
func TestOversizedShardIsSplitOnRewrite(t *testing.T) {
	for _, test := range []struct {
		name      string
		owner     storage.Incarnation // this incarnation if empty
		wantEpoch storage.ShardEpoch
	}{
		{name: "of an expired incarnation", owner: "stall-1#1", wantEpoch: 4},
		{name: "of this incarnation", owner: "", wantEpoch: 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			core.ctx.Config.AnnouncedLimits = announcedLimits
			owner := test.owner
			if owner == "" {
				owner = core.commit.Lease.Incarnation()
			}
			raiseFormat(t, core)
			machineCount := putOversizedShard(t, core, owner)
			if ops := core.commit.ShardWriter.ShardWriteOps("crowded"); ops < 2 || ops > announcedLimits.TransactionOps {
				t.Fatalf("%d operations to write a shard of %d bytes, want at least 2 and at most the announced limit",
					ops, core.ctx.Replica.Shards["crowded"].EncodedSize)
			}
			var sent *step.Commit
			for i := 0; i < 400 && sent == nil; i++ {
				for _, commit := range steptest.EffectsOf[step.Commit](advance(50*time.Millisecond, step.Tick{})) {
					if len(commit.Transaction.Operations) > 1 {
						sent = &commit
					} else {
						advance(0, steptest.CommittedAt(commit.ID, core.ctx.Replica.Revision+1))
					}
				}
				advance(0, step.RenewLeaseResult{LeaseID: 7})
				advance(0, steptest.UnchangedUntil(core.ctx.Replica.Revision, core.ctx.Replica.Revision))
			}
			if sent == nil || !announcedLimits.Allows(&sent.Transaction) {
				t.Fatalf("the transaction that rewrites the shard is %+v, want one within the announced limits", sent)
			}
			advance(0, steptest.CommittedAt(sent.ID, 70))
			if len(core.ctx.Replica.Machines) != machineCount {
				t.Errorf("%d machines are left, want all %d", len(core.ctx.Replica.Machines), machineCount)
			}
			for id, machine := range core.ctx.Replica.Machines {
				record := &machine.Record
				isOwned := record.Owner == core.commit.Lease.Incarnation()
				if !isOwned || record.ShardEpoch != test.wantEpoch || len(record.Assignments) == 0 {
					t.Errorf("machine %s has owner %s and epoch %d; want this incarnation, wantEpoch of the case and at least one assignment",
						id, record.Owner, record.ShardEpoch)
				}
			}
			if got := core.ctx.Replica.Shards["crowded"].CompletedTasks["j-1"]; got.Len() != 6 {
				t.Errorf("completed tasks of j-1 are %v, want 6 tasks", got)
			}
		})
	}
}

// Jobs whose description would leave no space in a record are rejected permanently.
func TestOversizedJobRejected(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	randomString := func(length int) string {
		text := make([]byte, length)
		for i := range text {
			text[i] = byte('!' + rng.IntN(90))
		}
		return string(text)
	}
	for _, test := range []struct {
		name             string
		machineTypeCount int // number of machine types, whose names make the description long
		announced        *step.WriteLimits
		want             bool
	}{
		{name: "short description", machineTypeCount: 1, announced: announcedLimits, want: true},
		{name: "too long for the announced limits", machineTypeCount: 50, announced: announcedLimits, want: false},
		{name: "within the current limits", machineTypeCount: 30, announced: nil, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, _ := newReadyCore(t)
			core.ctx.Config.AnnouncedLimits = test.announced
			job := &protocol.Job{
				ID:        "j-1",
				Class:     "l",
				Team:      "core",
				Kind:      protocol.KindArray,
				Priority:  "low",
				TaskCount: 1,
				Image:     "b",
			}
			for range test.machineTypeCount {
				job.MachineTypes = append(job.MachineTypes, protocol.MachineTypeName(randomString(100)))
			}
			if got := core.requests.Users.JobRecordFits(job); got != test.want {
				t.Errorf("JobRecordFits of a job with %d machine types returns %v, want the opposite",
					test.machineTypeCount, got)
			}
		})
	}
}

// Once the format is raised, this incarnation rewrites the records that it owns although nothing in
// them changes: a shard as one packed value instead of two halves, and a job whose completed tasks have
// many gaps.
func TestOwnedRecordsAreReencoded(t *testing.T) {
	core, advance := newReadyCore(t)
	core.ctx.Config.AnnouncedLimits = announcedLimits
	var lines []string
	for i := range 60 {
		record := storage.MachineRecord{
			AgentEpoch:  1,
			Address:     fmt.Sprintf("10.1.0.%d:9000", i),
			MachineType: "small",
			Zone:        "a",
			AddedAt:     1e12,
		}
		lines = append(lines, record.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%06d", i))))
	}
	shard := storage.EncodePlainShard(core.commit.Lease.Incarnation(), 3, lines, nil)
	putRecord(t, core, storage.ShardKey("idle"), shard, 40)
	var completed storage.TaskSet
	for index := 0; index < 1800; index += 2 {
		completed = completed.Add(index)
	}
	jobRecord := storage.JobRecord{
		Spec: &protocol.Job{
			ID:        "j-1",
			Class:     "l",
			Team:      "core",
			Kind:      protocol.KindArray,
			Priority:  "low",
			TaskCount: 1800,
			Cores:     1,
		},
		Owner:          core.commit.Lease.Incarnation(),
		NextAttempt:    1024,
		CompletedTasks: completed,
	}
	putRecord(t, core, storage.JobKey("j-1"), storage.MustMarshal(jobRecord), 41)
	raiseFormat(t, core)
	shardWrites, jobWrites := 0, 0
	for range 20 {
		for _, commit := range steptest.EffectsOf[step.Commit](advance(50*time.Millisecond, step.Tick{})) {
			if !announcedLimits.Allows(&commit.Transaction) {
				t.Errorf("a transaction of %d operations exceeds the announced limits", len(commit.Transaction.Operations))
			}
			for _, operation := range commit.Transaction.Operations {
				switch operation.PutKey {
				case storage.ShardKey("idle"):
					shardWrites++
				case storage.JobKey("j-1"):
					jobWrites++
				}
			}
			advance(0, steptest.CommittedAt(commit.ID, core.ctx.Replica.Revision+60))
		}
		advance(0, steptest.UnchangedUntil(core.ctx.Replica.Revision, core.ctx.Replica.Revision+61))
	}
	isSameCompletedSet := core.ctx.Replica.CompletedTasks("j-1").String() == completed.String()
	if shardWrites != 1 || jobWrites == 0 || len(core.ctx.Replica.Shards) != 1 || !isSameCompletedSet {
		t.Errorf("the shard is written %d times, the job %d times, %d shards left; want 1, at least 1, 1 and the same completed tasks of the job",
			shardWrites, jobWrites, len(core.ctx.Replica.Shards))
	}
}

// A job's description may take up 85% of a value and its completed tasks half of one. The record that has
// grown beyond a value is written in parts after the format is raised, also without announced limits, and
// does not delay the records of other jobs.
func TestRecordOutgrowsValue(t *testing.T) {
	core, advance := newReadyCore(t)
	self, limits := core.commit.Lease.Incarnation(), core.ctx.Config.CurrentLimits()
	rng := rand.New(rand.NewPCG(3, 3))
	spec := &protocol.Job{ID: "j-1", Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "low", TaskCount: 5000, Cores: 1}
	for range 48 {
		name := make([]byte, 96)
		for i := range name {
			name[i] = byte('!' + rng.IntN(90))
		}
		spec.MachineTypes = append(spec.MachineTypes, protocol.MachineTypeName(name))
	}
	var completed storage.TaskSet
	for index := 0; len(completed.String()) < 4000; index += 2 + rng.IntN(3) {
		completed = completed.Add(index)
	}
	other := &protocol.Job{ID: "j-2", Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "low", TaskCount: 1, Cores: 1}
	putRecord(t, core, storage.JobKey("j-1"), storage.MustMarshal(storage.JobRecord{Spec: spec, Owner: self, NextAttempt: 1024}), 40)
	putRecord(t, core, storage.JobKey("j-2"), storage.MustMarshal(storage.JobRecord{Spec: other, Owner: self, NextAttempt: 1024}), 41)
	shard := storage.EncodePlainShard(self, 3, nil, map[protocol.JobID]storage.TaskSet{
		"j-1": completed, "j-2": storage.TaskRange(0, 0),
	})
	putRecord(t, core, storage.ShardKey("empty"), shard, 42)
	for range 60 {
		for _, commit := range steptest.EffectsOf[step.Commit](advance(100*time.Millisecond, step.Tick{})) {
			if !limits.Allows(&commit.Transaction) {
				t.Errorf("a transaction of %d operations exceeds the limits", len(commit.Transaction.Operations))
			}
			advance(0, steptest.CommittedAt(commit.ID, core.ctx.Replica.Revision+60))
		}
		advance(0, steptest.UnchangedUntil(core.ctx.Replica.Revision, core.ctx.Replica.Revision+61))
	}
	record := core.ctx.Replica.Jobs["j-1"].Record
	if len(record.SpecParts) == 0 || record.CompletedTasks.String() != completed.String() || len(record.Spec.MachineTypes) != 48 {
		t.Errorf("the record has %d parts, %d completed tasks and %d machine types; want some parts, %d and 48",
			len(record.SpecParts), record.CompletedTasks.Len(), len(record.Spec.MachineTypes), completed.Len())
	}
	if got := core.ctx.Replica.Jobs["j-2"].Record.State; got != protocol.JobDone {
		t.Errorf("the other job has state %q, want done", got)
	}
}
