package simulation

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"tillerarch/internal/transport"
)

// readGoldenRecords reads the records that the production version wrote; TestWriteGolden made
// them.
func readGoldenRecords(t *testing.T) (items []protocol.Entry) {
	t.Helper()
	data, err := os.ReadFile("testdata/production/records.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &items); err != nil {
		t.Fatal(err)
	}
	return items
}

// reencode encodes a record that a replica holds in a format. It reports false for records that
// are neither jobs nor shards.
func reencode(r *storage.Replica, format storage.Format, key string) (json.RawMessage, bool) {
	if id, ok := strings.CutPrefix(key, storage.JobKey("")); ok {
		return storage.EncodeJob(format, &r.Jobs[protocol.JobID(id)].Record), true
	}
	if id, ok := strings.CutPrefix(key, storage.ShardKey("")); ok {
		shard := r.Shards[storage.ShardID(id)]
		var lines []string
		for _, m := range shard.Machines {
			lines = append(lines, r.EncodedLine(m))
		}
		return storage.EncodeShard(format, shard.Owner, shard.Epoch, lines, shard.CompletedTasks), true
	}
	return nil, false
}

// What the production version wrote is read without loss: encoded again in its format it is the
// same to the byte, by way of the packed format too.
func TestReadProductionRecords(t *testing.T) {
	plain, packed := storage.NewReplica(), storage.NewReplica()
	kinds := map[string]int{}
	for _, item := range readGoldenRecords(t) {
		if _, err := plain.Put(item.Key, item.Value, item.ModRevision); err != nil {
			t.Fatal(err)
		}
	}
	for _, item := range readGoldenRecords(t) {
		var original bytes.Buffer
		if err := json.Compact(&original, item.Value); err != nil {
			t.Fatal(err)
		}
		again, ok := reencode(plain, storage.FormatPlain, item.Key)
		if !ok {
			continue
		}
		kinds[item.Key[:3]]++
		if !bytes.Equal(again, original.Bytes()) {
			t.Errorf("%s:\n%s is encoded again as\n%s", item.Key, original.Bytes(), again)
		}
		data, _ := reencode(plain, storage.FormatPacked, item.Key)
		if _, err := packed.Put(item.Key, data, item.ModRevision); err != nil {
			t.Fatal(err)
		}
		if back, _ := reencode(packed, storage.FormatPlain, item.Key); !bytes.Equal(back, original.Bytes()) {
			t.Errorf("%s:\n%s comes back from the packed format as\n%s", item.Key, original.Bytes(), back)
		}
	}
	if len(plain.Controllers) != 3 || len(plain.QuotaRevisions) == 0 || plain.RegistryRevision == 0 || kinds["t/j"] < 10 || kinds["t/p"] < 5 || len(plain.CancellingJobs) == 0 {
		t.Errorf("too little is covered: %v, %d controllers, %d cancellations", kinds, len(plain.Controllers), len(plain.CancellingJobs))
	}
	for _, e := range plain.Controllers {
		if e.Record.ReadableFormat != storage.FormatPlain {
			t.Errorf("%s counts as one that reads newer formats", e.Record.Incarnation)
		}
	}
}

// A message between controllers that the production version wrote is read.
func TestReadProductionFrame(t *testing.T) {
	stream, err := os.ReadFile("testdata/production/hint.gob")
	if err != nil {
		t.Fatal(err)
	}
	frame, rest, err := transport.SplitFrame(stream)
	if err != nil || len(rest) > 0 {
		t.Fatalf("%v, %d bytes left", err, len(rest))
	}
	var wire step.PeerStatusWire
	if err := transport.DecodeFrame(frame, &wire); err != nil {
		t.Fatal(err)
	}
	status := wire.Status()
	isRead := status.Incarnation == "stall-1#7" && status.AcceptsShards && status.Revision == 41 &&
		len(status.MisdirectedHeartbeats) == 1 && status.MisdirectedHeartbeats[0].AgentEpoch == 2 &&
		len(status.CancelIntents) == 1 && status.CancelIntents[0].Revision == 40 &&
		len(status.CancelAcks) == 1 && status.CancelAcks[0] == "j-000413"
	if !isRead {
		t.Errorf("%+v", status)
	}
}
