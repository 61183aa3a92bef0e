package storage

import (
	"fmt"
	"strings"
	"testing"

	"tillerarch/internal/protocol"
)

// A machine's line is read as it was written, whatever its fields hold.
func TestMachineLineRoundTrip(t *testing.T) {
	for _, m := range []MachineRecord{
		{},
		{Address: "10.1.0.1:9000", MachineType: "g8", Zone: "a", AgentEpoch: 3, AddedAt: 1764633600123, TokenCounter: MaxTokenCounter},
		{Address: "a b|c", MachineType: "two words", Zone: "x%20y", Spot: true, Terminating: true, Cordoned: true, AgentEpoch: 1},
		{MachineType: "g8", Zone: "-", Assignments: []Assignment{{"j-1", 1, TaskRange(0, 7)}, {"j-2", 9000, TaskRange(1, 1).Add(5)}}},
	} {
		line := m.EncodeLine("m-000001")
		id, got, err := parseMachineLine(line)
		if m.Zone == "-" {
			m.Zone = "" // a blank and a dash are the same, and neither is a zone
		}
		if err != nil || id != "m-000001" || fmt.Sprint(got) != fmt.Sprint(m) {
			t.Errorf("%q: %v, %v, want %v", line, err, got, m)
		}
	}
	for _, bad := range []string{"", "m-1", "x a b c 1 1 -", "m-1 a b c ? 1 -", "m-1 a b c 1 1+x -", "m-1 %zz b c 1 1 -",
		"m-1 a b c 1 1 - j-1.1", "m-1 a b c 1 1 - j-1.x.0", "m-1 a b c 1 1 - j-1.1.", "m-1 a b c 1 1 - j-1.1.5-2"} {
		if _, _, err := parseMachineLine(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// encodeTestShard writes a page of machines "m-<n>", each with a task of a job if given.
func encodeTestShard(owner Incarnation, epoch ShardEpoch, completed map[protocol.JobID]TaskSet, machines ...string) []byte {
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

// The indexes follow whatever happens to pages: machines that move, are taken
// over or leave, and tasks that are done.
func TestReplicaShards(t *testing.T) {
	replica := NewReplica()
	changes := 0
	replica.OnMachineChange = func(protocol.MachineID, *MachineRecord, *MachineRecord) { changes++ }
	put := func(key string, data []byte, revision protocol.ModRevision) {
		t.Helper()
		if _, err := replica.Put(key, data, revision); err != nil {
			t.Fatal(err)
		}
	}
	shardA, shardB := ShardKey("a"), ShardKey("b")
	put(JobKey("j-1"), []byte(`{"d":{"uid":"j-1","pieces":9},"v":"0"}`), 1)
	put(shardA, encodeTestShard("x#1", 1, map[protocol.JobID]TaskSet{"j-1": TaskRange(2, 3)}, "m-1/j-1", "m-2"), 2)
	put(shardB, encodeTestShard("y#1", 4, map[protocol.JobID]TaskSet{"j-1": TaskRange(5, 5)}, "m-3/j-1"), 3)
	if len(replica.MachinesWithJob("j-1")) != 2 || replica.CompletedTasks("j-1").String() != "0,2-3,5" || len(replica.SortedMachines()) != 3 || changes != 3 {
		t.Fatalf("on %v, done %s, %v, %d changes", replica.MachinesWithJob("j-1"), replica.CompletedTasks("j-1"), len(replica.SortedMachines()), changes)
	}
	// A takeover changes owner and token of all, and reads no machine again.
	put(shardA, encodeTestShard("y#1", 2, map[protocol.JobID]TaskSet{"j-1": TaskRange(2, 3)}, "m-1/j-1", "m-2"), 4)
	if record := replica.Machines["m-2"].Record; record.Owner != "y#1" || record.FencingToken != ShardEpoch(2).FencingToken(0) || changes != 3 {
		t.Errorf("after the takeover %+v, %d changes", record, changes)
	}
	// m-1 moves, in either order of the two keys; m-2 leaves.
	put(shardA, encodeTestShard("y#1", 2, nil), 5)
	put(shardB, encodeTestShard("y#1", 4, nil, "m-3/j-1", "m-1/j-1"), 5)
	if removed := replica.PopRemovedMachines(); len(removed) != 1 || removed[0] != "m-2" || replica.Machines["m-1"].Record.Shard != "b" || len(replica.MachinesWithJob("j-1")) != 2 {
		t.Errorf("lost %v, m-1 on %q, on %v", removed, replica.Machines["m-1"].Record.Shard, replica.MachinesWithJob("j-1"))
	}
	if replica.CompletedTasks("j-1").String() != "0" {
		t.Errorf("done %s after the pages dropped it", replica.CompletedTasks("j-1"))
	}
	// Changes that come late change nothing, deleted pages included.
	replica.Delete(shardB, 7)
	put(shardB, encodeTestShard("z#1", 9, nil, "m-9"), 6)
	if len(replica.Machines) != 0 || len(replica.MachinesWithJob("j-1")) != 0 || replica.ModRevision(shardB) != 0 || len(replica.PopRemovedMachines()) != 2 {
		t.Errorf("%v machines, on %v, stamp %d", len(replica.SortedMachines()), replica.MachinesWithJob("j-1"), replica.ModRevision(shardB))
	}
	// A page that cannot be read is not taken in part.
	if _, err := replica.Put(ShardKey("c"), []byte(`{"o":"x#1","b":1,"m":["m-5 a b c 1 1 -","nonsense"]}`), 9); err == nil || len(replica.Machines) != 0 {
		t.Errorf("err %v, machines %v", err, len(replica.SortedMachines()))
	}
}
