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

var announcedLimits = steptest.AnnouncedLimits()

// putRecord puts a record into the core's replica, as a watch event would.
func putRecord(t *testing.T, c *Core, key string, value []byte, modRevision protocol.ModRevision) {
	t.Helper()
	fixtureOf(c).Put(t, key, value, modRevision)
	if key == storage.FormatKey {
		c.commit.Limits.UpdateWriteLimiter()
	}
}

// raiseFormat puts the packed format on record.
func raiseFormat(t *testing.T, c *Core) {
	t.Helper()
	putRecord(t, c, storage.FormatKey, storage.MustMarshal(storage.FormatRecord{WriteFormat: storage.FormatPacked}), 50)
}

// putOversizedShard puts a shard on record as the version in production could leave it: near a
// value of 8 KiB, with nothing on it that packs well.
func putOversizedShard(t *testing.T, c *Core, owner storage.Incarnation) (machines int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(9, 9))
	var lines []string
	for size := 0; size < 7400; machines++ {
		m := storage.MachineRecord{
			AgentEpoch:  1,
			Address:     "10.1.0.1:1",
			MachineType: "large",
			Zone:        "a",
			AddedAt:     protocol.Millis(rng.Int64N(1 << 40)),
		}
		for range 12 {
			job := protocol.JobID(fmt.Sprintf("j-%06d", rng.IntN(1e6)))
			task := protocol.Task{Job: job, Index: rng.IntN(1000)}
			m.Assign(task, protocol.Attempt(rng.IntN(1000)))
		}
		lines = append(lines, m.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%06d", machines))))
		size += len(lines[machines]) + 3
	}
	done := map[protocol.JobID]storage.TaskSet{"j-1": storage.TaskRange(4, 9)}
	putRecord(t, c, storage.ShardKey("crowded"), storage.EncodePlainShard(owner, 3, lines, done), 60)
	return machines
}

// A shard that was written before the format was raised can neither be put as it is nor
// does it pack into one value. It is taken over, or rewritten by its owner, in parts that
// fit, in one transaction, with no machine lost and all fencing tokens raised alike.
func TestOversizedShardIsSplitOnRewrite(t *testing.T) {
	for _, c := range []struct {
		name      string
		owner     storage.Incarnation // empty: this incarnation
		wantEpoch storage.ShardEpoch
	}{
		{name: "of an expired incarnation", owner: "stall-1#1", wantEpoch: 4},
		{name: "of this incarnation", owner: "", wantEpoch: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			core.ctx.Config.AnnouncedLimits = announcedLimits
			owner := c.owner
			if owner == "" {
				owner = core.commit.Lease.Incarnation()
			}
			raiseFormat(t, core)
			machineCount := putOversizedShard(t, core, owner)
			if ops := core.commit.ShardWriter.ShardWriteOps("crowded"); ops < 2 || ops > announcedLimits.TransactionOps {
				t.Fatalf("%d operations for a shard of %d bytes", ops, core.ctx.Replica.Shards["crowded"].EncodedSize)
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
				t.Fatalf("%+v", sent)
			}
			advance(0, steptest.CommittedAt(sent.ID, 70))
			if len(core.ctx.Replica.Machines) != machineCount {
				t.Errorf("%d machines of %d are left", len(core.ctx.Replica.Machines), machineCount)
			}
			for id, machine := range core.ctx.Replica.Machines {
				record := &machine.Record
				isOwned := record.Owner == core.commit.Lease.Incarnation()
				if !isOwned || record.ShardEpoch != c.wantEpoch || len(record.Assignments) == 0 {
					t.Errorf("%s of %s at epoch %d", id, record.Owner, record.ShardEpoch)
				}
			}
			if got := core.ctx.Replica.Shards["crowded"].CompletedTasks["j-1"]; got.Len() != 6 {
				t.Errorf("done tasks are %v", got)
			}
		})
	}
}

// Jobs whose description would leave no space in a record are refused for good.
func TestOversizedJobRejected(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	random := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte('!' + rng.IntN(90))
		}
		return string(b)
	}
	for _, c := range []struct {
		name             string
		machineTypeCount int // whose names make the description long
		announced        *step.WriteLimits
		want             bool
	}{
		{name: "a short one", machineTypeCount: 1, announced: announcedLimits, want: true},
		{name: "too long for the announced limits", machineTypeCount: 50, announced: announcedLimits, want: false},
		{name: "within the current limits", machineTypeCount: 30, announced: nil, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, _ := newReadyCore(t)
			core.ctx.Config.AnnouncedLimits = c.announced
			job := &protocol.Job{
				ID:        "j-1",
				Class:     "l",
				Team:      "core",
				Kind:      protocol.KindArray,
				Priority:  "low",
				TaskCount: 1,
				Image:     "b",
			}
			for range c.machineTypeCount {
				job.MachineTypes = append(job.MachineTypes, protocol.MachineTypeName(random(100)))
			}
			if got := core.requests.Users.JobRecordFits(job); got != c.want {
				t.Errorf("%d machine types: %v", c.machineTypeCount, got)
			}
		})
	}
}

// What this incarnation is responsible for is rewritten unasked once the format is raised: a
// shard as one packed value instead of two halves, and a job whose done tasks have many gaps.
func TestOwnedRecordsAreReencoded(t *testing.T) {
	core, advance := newReadyCore(t)
	core.ctx.Config.AnnouncedLimits = announcedLimits
	var lines []string
	for i := range 60 {
		m := storage.MachineRecord{
			AgentEpoch:  1,
			Address:     fmt.Sprintf("10.1.0.%d:9000", i),
			MachineType: "small",
			Zone:        "a",
			AddedAt:     1e12,
		}
		lines = append(lines, m.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%06d", i))))
	}
	shard := storage.EncodePlainShard(core.commit.Lease.Incarnation(), 3, lines, nil)
	putRecord(t, core, storage.ShardKey("idle"), shard, 40)
	var done storage.TaskSet
	for n := 0; n < 1800; n += 2 {
		done = done.Add(n)
	}
	job := storage.JobRecord{
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
		CompletedTasks: done,
	}
	putRecord(t, core, storage.JobKey("j-1"), storage.MustMarshal(job), 41)
	raiseFormat(t, core)
	shardWrites, jobWrites := 0, 0
	for range 20 {
		for _, commit := range steptest.EffectsOf[step.Commit](advance(50*time.Millisecond, step.Tick{})) {
			if !announcedLimits.Allows(&commit.Transaction) {
				t.Errorf("too large: %d operations", len(commit.Transaction.Operations))
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
	isSameDone := core.ctx.Replica.CompletedTasks("j-1").String() == done.String()
	if shardWrites != 1 || jobWrites == 0 || len(core.ctx.Replica.Shards) != 1 || !isSameDone {
		t.Errorf("the shard is written %d times, the job %d times; %d shards",
			shardWrites, jobWrites, len(core.ctx.Replica.Shards))
	}
}
