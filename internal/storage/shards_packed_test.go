package storage

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"tillerarch/internal/protocol"
)

// fullShard makes the lines of a page whose machines are full of tasks of several jobs.
func fullShard(machines, jobs, tasks int) (lines []string, completed map[protocol.JobID]TaskSet) {
	rng := rand.New(rand.NewPCG(1, uint64(machines)))
	completed = map[protocol.JobID]TaskSet{}
	for i := range machines {
		record := MachineRecord{AgentEpoch: 1, Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250+2), MachineType: "kibanda", Zone: "kariakoo",
			AddedAt: protocol.Millis(1_790_000_000_000 + rng.Int64N(400_000))}
		for range jobs {
			job := protocol.JobID(fmt.Sprintf("j-%06d", rng.IntN(40)))
			for range tasks {
				record.Assign(protocol.Task{Job: job, Index: rng.IntN(900)}, protocol.Attempt(1+rng.IntN(30)))
			}
			completed[job] = completed[job].Add(rng.IntN(900))
		}
		lines = append(lines, record.EncodeLine(protocol.MachineID(fmt.Sprintf("m-%06d", 200+i*3))))
	}
	return lines, completed
}

// What a packed page says is what the plain one says, in a fraction of the space: it is
// what the tightened limits of the state service rest on.
func TestPackedShardRoundTrip(t *testing.T) {
	for _, c := range []struct{ machines, jobs, tasks, most int }{
		{0, 0, 0, 100}, {1, 0, 0, 200}, {60, 2, 1, 2048}, {19, 4, 4, 3072}, {20, 0, 0, 700},
	} {
		lines, completed := fullShard(c.machines, c.jobs, c.tasks)
		plain := EncodeShard(FormatPlain, "stall-0#7", 3, lines, completed)
		packed := EncodeShard(FormatPacked, "stall-0#7", 3, lines, completed)
		t.Logf("%d machines: %d bytes plain, %d packed", c.machines, len(plain), len(packed))
		want, _, err := decodeShard(plain)
		if err != nil {
			t.Fatal(err)
		}
		got, format, err := decodeShard(packed)
		if err != nil || format != FormatPacked {
			t.Fatalf("format %d: %v", format, err)
		}
		if len(got.Machines) == 0 {
			got.Machines, want.Machines = nil, nil
		}
		if len(got.CompletedTasks)+len(want.CompletedTasks) == 0 {
			got.CompletedTasks, want.CompletedTasks = nil, nil
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%d machines: %v, want %v", c.machines, got, want)
		}
		if len(packed) > c.most {
			t.Errorf("%d machines take %d bytes, more than %d", c.machines, len(packed), c.most)
		}
	}
}

// Whatever a value holds, reading it ends with an error at worst.
func TestDamagedPackedShard(t *testing.T) {
	lines, completed := fullShard(10, 2, 2)
	good := packShard(lines, completed)
	rng := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		text := []byte(good)
		text[rng.IntN(len(text))] = byte('A' + rng.IntN(26))
		if got, _, err := unpackShard(string(text)); err == nil && len(got) > 1<<16 {
			t.Fatal("a damaged page grows")
		}
	}
	for _, text := range []string{"", "AAAA", "not base64!", good[:len(good)/2]} {
		if _, _, err := unpackShard(text); err == nil {
			t.Errorf("%q is read", text)
		}
	}
}

// The compact forms of a set hold the same numbers, and stay small however many gaps
// there are.
func TestCompactTaskSet(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, c := range []struct{ pieces, gaps, most int }{
		{1, 0, 10}, {1000, 0, 10}, {1000, 500, 200}, {100_000, 150, 1048}, {100_000, 0, 10},
	} {
		var set TaskSet
		if c.gaps < c.pieces {
			set = TaskRange(0, c.pieces-1)
		}
		for range c.gaps {
			set = set.Remove(rng.IntN(c.pieces))
		}
		for _, text := range []string{set.String(), set.compactText(), set.runLengthText(), set.bitmapText()} {
			var back TaskSet
			if err := back.UnmarshalText([]byte(text)); err != nil || back.String() != set.String() {
				t.Errorf("%d pieces, %d gaps: %v, %q comes back as %q", c.pieces, c.gaps, err, set, back)
			}
		}
		if n := len(set.compactText()); n > c.most {
			t.Errorf("%d pieces, %d gaps: %d bytes", c.pieces, c.gaps, n)
		}
	}
}
