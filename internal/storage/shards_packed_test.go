package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"tillerarch/internal/protocol"
)

// fullShard returns the lines and completed tasks of a shard whose machines have many tasks of
// several jobs.
func fullShard(machineCount, jobsPerMachine, tasksPerJob int) (lines []string, completed map[protocol.JobID]TaskSet) {
	rng := rand.New(rand.NewPCG(1, uint64(machineCount)))
	completed = map[protocol.JobID]TaskSet{}
	for i := range machineCount {
		record := MachineRecord{
			AgentEpoch:  1,
			Address:     fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250+2),
			MachineType: "kibanda",
			Zone:        "kariakoo",
			AddedAt:     protocol.Millis(1_790_000_000_000 + rng.Int64N(400_000)),
		}
		for range jobsPerMachine {
			job := protocol.JobID(fmt.Sprintf("j-%06d", rng.IntN(40)))
			for range tasksPerJob {
				record.Assign(protocol.Task{Job: job, Index: rng.IntN(900)}, protocol.Attempt(1+rng.IntN(30)))
			}
			completed[job] = completed[job].Add(rng.IntN(900))
		}
		lines = append(lines, record.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%06d", 200+i*3))))
	}
	return lines, completed
}

// TestPackedShardRoundTrip checks that a packed shard contains the same as the plain one in a fraction
// of the space. A packed shard must be this small to fit the tightened size limits of the store.
func TestPackedShardRoundTrip(t *testing.T) {
	for _, test := range []struct {
		name                                      string
		machineCount, jobsPerMachine, tasksPerJob int
		maxSize                                   int
	}{
		{"empty", 0, 0, 0, 100},
		{"one idle machine", 1, 0, 0, 200},
		{"60 machines with few tasks", 60, 2, 1, 2048},
		{"19 machines with many tasks", 19, 4, 4, 3072},
		{"20 idle machines", 20, 0, 0, 700},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines, completed := fullShard(test.machineCount, test.jobsPerMachine, test.tasksPerJob)
			plain := EncodeShard(FormatPlain, "stall-0#7", 3, lines, completed)
			packed := EncodeShard(FormatPacked, "stall-0#7", 3, lines, completed)
			t.Logf("%d bytes plain, %d packed", len(plain), len(packed))
			want, _, err := decodeShard("s", plain, nil)
			if err != nil {
				t.Fatal(err)
			}
			got, format, err := decodeShard("s", packed, nil)
			if err != nil || format != FormatPacked {
				t.Fatalf("packed shard decoded in format %d, error %v, want FormatPacked", format, err)
			}
			if len(got.Machines) == 0 {
				got.Machines, want.Machines = nil, nil
			}
			if len(got.CompletedTasks)+len(want.CompletedTasks) == 0 {
				got.CompletedTasks, want.CompletedTasks = nil, nil
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("packed shard decoded as %v, want %v", got, want)
			}
			if len(packed) > test.maxSize {
				t.Errorf("packed shard has %d bytes, want at most %d", len(packed), test.maxSize)
			}
		})
	}
}

// TestDamagedPackedShard checks that the decoding of a damaged packed value neither panics nor returns
// a much larger shard. An error is allowed.
func TestDamagedPackedShard(t *testing.T) {
	lines, completed := fullShard(10, 2, 2)
	valid := packShard(lines, completed)
	rng := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		text := []byte(valid)
		text[rng.IntN(len(text))] = byte('A' + rng.IntN(26))
		if got, _, err := unpackShard(string(text)); err == nil && len(got) > 1<<16 {
			t.Fatal("a damaged shard decodes to more than 65536 machines")
		}
	}
	for _, test := range []struct{ name, text string }{
		{"empty", ""},
		{"not compressed", "AAAA"},
		{"not base64", "not base64!"},
		{"truncated", valid[:len(valid)/2]},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, err := unpackShard(test.text); !errors.Is(err, errMalformedPacked) {
				t.Errorf("packed value %q: error %v, want one that wraps errMalformedPacked", test.text, err)
			}
		})
	}
}

// TestCompactTaskSet checks that the compact forms of a set contain the same indexes and are small
// whatever the number of gaps. The sets are drawn one after the other from one sequence of random numbers.
func TestCompactTaskSet(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, test := range []struct {
		name                string
		taskCount, gapCount int
		maxSize             int
	}{
		{"one task", 1, 0, 10},
		{"full", 1000, 0, 10},
		{"half full", 1000, 500, 200},
		{"large with gaps", 100_000, 150, 1048},
		{"large and full", 100_000, 0, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			var set TaskSet
			if test.gapCount < test.taskCount {
				set = TaskRange(0, test.taskCount-1)
			}
			for range test.gapCount {
				set = set.Remove(rng.IntN(test.taskCount))
			}
			for _, text := range []string{set.String(), set.compactText(), set.runLengthText(), set.bitmapText()} {
				var decoded TaskSet
				if err := decoded.UnmarshalText([]byte(text)); err != nil || decoded.String() != set.String() {
					t.Errorf("error %v, set %q decoded as %q, want no error and the same set", err, set, decoded)
				}
			}
			if size := len(set.compactText()); size > test.maxSize {
				t.Errorf("compact form has %d bytes, want at most %d", size, test.maxSize)
			}
		})
	}
}
