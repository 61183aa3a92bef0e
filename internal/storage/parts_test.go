package storage

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"tillerarch/internal/protocol"
)

// randomSpec returns a description of about size bytes that does not compress to half.
func randomSpec(size int) *protocol.Job {
	random := rand.New(rand.NewPCG(1, uint64(size)))
	spec := &protocol.Job{ID: "j-1", Class: "l", Team: "core", TaskCount: 9}
	for total := 0; total < size; total += 80 {
		name := make([]byte, 80)
		for i := range name {
			name[i] = byte('!' + random.IntN(90))
		}
		spec.MachineTypes = append(spec.MachineTypes, protocol.MachineTypeName(name))
	}
	return spec
}

// keyValue is a key with its value.
type keyValue struct {
	key   string
	value json.RawMessage
}

// jobInParts returns the keys and values of a job's record in parts. The record comes first.
func jobInParts(record *JobRecord, maxValueBytes int) []keyValue {
	value, parts := EncodeJobInParts("j-1", record, maxValueBytes)
	entries := []keyValue{{JobKey("j-1"), value}}
	for _, part := range parts {
		entries = append(entries, keyValue{PartKey(part.Name), part.Encode()})
	}
	return entries
}

// A job's record that is cut into parts keeps all fields, and its values are within the limit.
func TestJobInPartsRoundTrip(t *testing.T) {
	for _, limit := range []int{512, 2048, 4096} {
		for _, size := range []int{100, 4000, 7000} {
			t.Run(fmt.Sprintf("description of %d bytes, values of %d bytes", size, limit), func(t *testing.T) {
				record := JobRecord{Spec: randomSpec(size), Owner: "stall-0#7", NextAttempt: 1024, SubmittedAt: 1e12, CancelRequested: true}
				for index := range 4000 {
					if index%3 != 0 || index%7 == 0 {
						record.CompletedTasks = record.CompletedTasks.Add(index)
					}
				}
				replica := NewReplica()
				for i, entry := range jobInParts(&record, limit) {
					if len(entry.value) > limit {
						t.Errorf("value %d has %d bytes, want at most %d", i, len(entry.value), limit)
					}
					if _, err := replica.Put(entry.key, entry.value, 5); err != nil {
						t.Fatal(err)
					}
				}
				entry := replica.Jobs["j-1"]
				if entry == nil || entry.ModRevision != 5 || replica.CancellingJobs["j-1"] == nil {
					t.Fatal("the job is not known at revision 5 as one that is being cancelled")
				}
				got := entry.Record
				got.SpecParts, got.StateParts = nil, nil
				if string(MustMarshal(got)) != string(MustMarshal(record)) {
					t.Errorf("read %s, want %s", MustMarshal(got), MustMarshal(record))
				}
			})
		}
	}
}

// The replica keeps the earlier record until all parts of a newer one have arrived, in whatever order, and
// never applies a record that is older than the one that waits.
func TestPartsArriveInAnyOrder(t *testing.T) {
	earlier := JobRecord{Spec: randomSpec(100), Owner: "stall-0#7"}
	later := JobRecord{Spec: randomSpec(4000), Owner: "stall-1#8"}
	entries := jobInParts(&later, 2048)
	random := rand.New(rand.NewPCG(2, 2))
	for range 20 {
		random.Shuffle(len(entries), func(i, k int) { entries[i], entries[k] = entries[k], entries[i] })
		replica := NewReplica()
		put := func(key string, value json.RawMessage, revision protocol.ModRevision) {
			if _, err := replica.Put(key, value, revision); err != nil {
				t.Fatal(err)
			}
		}
		put(JobKey("j-1"), MustMarshal(earlier), 5)
		for i, entry := range entries {
			put(entry.key, entry.value, 9)
			put(JobKey("j-1"), MustMarshal(earlier), 7)
			want := Incarnation("stall-0#7")
			if i == len(entries)-1 {
				want = "stall-1#8"
			}
			if got := replica.Jobs["j-1"].Record.Owner; got != want {
				t.Fatalf("after %d of %d values the owner is %s, want %s", i+1, len(entries), got, want)
			}
		}
		if got := replica.ModRevision(JobKey("j-1")); got != 9 || replica.Jobs["j-1"].Record.Spec == nil {
			t.Fatalf("the record has revision %d, want 9 and a description", got)
		}
	}
}

// Parts are unused once their job is done or their shard is deleted. The parts of a job whose record does
// not list them yet have been written in advance.
func TestUnusedParts(t *testing.T) {
	replica := NewReplica()
	put := func(key string, value json.RawMessage, revision protocol.ModRevision) {
		if _, err := replica.Put(key, value, revision); err != nil {
			t.Fatal(err)
		}
	}
	checkUnused := func(state string, want int) {
		if got := len(replica.UnusedParts()); got != want {
			t.Errorf("%s: %d parts are unused, want %d", state, got, want)
		}
	}
	record := JobRecord{Spec: randomSpec(4000), Owner: "stall-0#7"}
	entries := jobInParts(&record, 2048)
	put(JobKey("j-1"), MustMarshal(record), 5)
	for _, entry := range entries[1:] {
		put(entry.key, entry.value, 6)
	}
	checkUnused("written in advance", 0)
	put(entries[0].key, entries[0].value, 7)
	checkUnused("listed", 0)
	line := MachineRecord{Address: "10.1.0.1:9000", MachineType: "small", Zone: "a", AddedAt: 1e12}
	value, shardParts := EncodeShardInParts("s", "stall-0#7", 1, []string{line.EncodeLine("m-1")}, nil, 80)
	for _, part := range shardParts {
		put(PartKey(part.Name), part.Encode(), 8)
	}
	put(ShardKey("s"), value, 8)
	checkUnused("with a shard in parts", 0)
	put(JobKey("j-1"), MustMarshal(JobRecord{State: protocol.JobDone, TaskCount: 9}), 9)
	checkUnused("after the end of the job", len(entries)-1)
	replica.Delete(ShardKey("s"), 10)
	checkUnused("after the deletion of the shard", len(entries)-1+len(shardParts))
	for _, name := range replica.UnusedParts() {
		replica.Delete(PartKey(name), 11)
	}
	checkUnused("after their deletion", 0)
}
