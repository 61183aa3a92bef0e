package storage

import (
	"strings"
	"testing"

	"tillerarch/internal/protocol"
)

// encodeTestShard returns the encoded record of a shard. An element of machines is "m-<n>" for a
// machine without tasks, or "m-<n>/<job>" for a machine with a task of the job.
func encodeTestShard(
	owner Incarnation,
	epoch ShardEpoch,
	completed map[protocol.JobID]TaskSet,
	machines ...string,
) []byte {
	var lines []string
	for _, machine := range machines {
		id, job, hasJob := strings.Cut(machine, "/")
		record := MachineRecord{Address: "a", MachineType: "g", Zone: "z", AgentEpoch: 1}
		if hasJob {
			record.Assign(protocol.Task{Job: protocol.JobID(job)}, 1)
		}
		lines = append(lines, record.EncodeLine(protocol.MachineID(id)))
	}
	return EncodePlainShard(owner, epoch, lines, completed)
}

// TestReplicaShards checks that the indexes follow the changes of shards: machines that pass to another
// shard, get another owner or are removed, and tasks that complete.
func TestReplicaShards(t *testing.T) {
	replica := NewReplica()
	changeCount := 0
	replica.OnMachineChange = func(protocol.MachineID, *MachineRecord, *MachineRecord) { changeCount++ }
	put := func(key string, data []byte, revision protocol.ModRevision) {
		t.Helper()
		if _, err := replica.Put(key, data, revision); err != nil {
			t.Fatal(err)
		}
	}
	const job = protocol.JobID("j-1")
	shardA, shardB := ShardKey("a"), ShardKey("b")
	completedA := map[protocol.JobID]TaskSet{job: TaskRange(2, 3)}
	completedB := map[protocol.JobID]TaskSet{job: TaskRange(5, 5)}
	put(JobKey(job), []byte(`{"d":{"uid":"j-1","pieces":9},"v":"0"}`), 1)
	put(shardA, encodeTestShard("x#1", 1, completedA, "m-1/j-1", "m-2"), 2)
	put(shardB, encodeTestShard("y#1", 4, completedB, "m-3/j-1"), 3)
	onMachines, completed := replica.MachinesWithJob(job), replica.CompletedTasks(job).String()
	machineCount := len(replica.SortedMachines())
	if len(onMachines) != 2 || completed != "0,2-3,5" || machineCount != 3 || changeCount != 3 {
		t.Fatalf("job on %v, completed %s, %v machines, %d changes; want 2 machines with the job, 0,2-3,5, 3 and 3",
			onMachines, completed, machineCount, changeCount)
	}

	// A failover changes the owner and the fencing token of all machines and parses no line again.
	put(shardA, encodeTestShard("y#1", 2, completedA, "m-1/j-1", "m-2"), 4)
	record := replica.Machines["m-2"].Record
	if record.Owner != "y#1" || record.FencingToken != ShardEpoch(2).FencingToken(0) || changeCount != 3 {
		t.Errorf("after the failover: %+v, %d changes; want owner y#1, the token of epoch 2 and 3 changes", record, changeCount)
	}

	// m-1 passes from one shard to the other; m-2 is removed.
	put(shardA, encodeTestShard("y#1", 2, nil), 5)
	put(shardB, encodeTestShard("y#1", 4, nil, "m-3/j-1", "m-1/j-1"), 5)
	removed, shard := replica.PopRemovedMachines(), replica.Machines["m-1"].Record.Shard
	onMachines = replica.MachinesWithJob(job)
	if len(removed) != 1 || removed[0] != "m-2" || shard != "b" || len(onMachines) != 2 {
		t.Errorf("removed %v, m-1 on %q, job on %v; want only m-2 removed, m-1 on b and 2 machines", removed, shard, onMachines)
	}
	if completed := replica.CompletedTasks(job).String(); completed != "0" {
		t.Errorf("completed %s after the shards no longer list completed tasks, want 0", completed)
	}

	// An older change that arrives late has no effect, even if the shard has been deleted.
	replica.Delete(shardB, 7)
	put(shardB, encodeTestShard("z#1", 9, nil, "m-9"), 6)
	onMachines, removed = replica.MachinesWithJob(job), replica.PopRemovedMachines()
	revision := replica.ModRevision(shardB)
	if len(replica.Machines) != 0 || len(onMachines) != 0 || revision != 0 || len(removed) != 2 {
		t.Errorf("%v machines, job on %v, revision %d, removed %v; want none, none, 0 and 2 removed",
			len(replica.SortedMachines()), onMachines, revision, removed)
	}

	// A shard with a malformed machine is rejected as a whole.
	malformed := []byte(`{"o":"x#1","b":1,"m":["m-5 a b c 1 1 -","nonsense"]}`)
	if _, err := replica.Put(ShardKey("c"), malformed, 9); err == nil || len(replica.Machines) != 0 {
		t.Errorf("shard with a malformed machine: error %v, %v machines; want an error and none",
			err, len(replica.SortedMachines()))
	}
}

// TestReplicaLateShard checks that a machine stays in the shard with the newer change when an older
// change of its former shard arrives late, and that the machine is not reported as removed.
func TestReplicaLateShard(t *testing.T) {
	replica := NewReplica()
	for _, change := range []struct {
		shard    ShardID
		revision protocol.ModRevision
		machines []string
	}{
		{"a", 2, []string{"m-1", "m-2"}},
		{"b", 6, []string{"m-1"}},
		{"a", 5, []string{"m-1", "m-2"}},
		{"a", 7, []string{"m-2"}},
	} {
		data := encodeTestShard("x#1", 1, nil, change.machines...)
		if _, err := replica.Put(ShardKey(change.shard), data, change.revision); err != nil {
			t.Fatal(err)
		}
	}
	if shard := replica.Machines["m-1"].Record.Shard; shard != "b" {
		t.Errorf("m-1 is on shard %q, want b", shard)
	}
	if removed := replica.PopRemovedMachines(); len(removed) != 0 {
		t.Errorf("removed machines %v, want none", removed)
	}
}

// TestReplicaCompletedTasksOfDeletedShard checks that the completed tasks that only a shard lists are
// removed with the shard.
func TestReplicaCompletedTasksOfDeletedShard(t *testing.T) {
	replica := NewReplica()
	completed := map[protocol.JobID]TaskSet{"j-1": TaskRange(2, 3)}
	if _, err := replica.Put(ShardKey("a"), encodeTestShard("x#1", 1, completed, "m-1"), 2); err != nil {
		t.Fatal(err)
	}
	if got := replica.CompletedTasks("j-1").String(); got != "2-3" {
		t.Errorf("completed tasks %q, want 2-3", got)
	}
	replica.Delete(ShardKey("a"), 3)
	if got := replica.CompletedTasks("j-1").String(); got != "" {
		t.Errorf("completed tasks %q after the shard was deleted, want none", got)
	}
}
