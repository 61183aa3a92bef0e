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

// readGoldenRecords returns the records that the production version wrote. TestWriteGolden wrote
// the file.
func readGoldenRecords(t *testing.T) (entries []protocol.Entry) {
	t.Helper()
	data, err := os.ReadFile("testdata/production/records.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &entries); err != nil {
		t.Fatal(err)
	}
	return entries
}

// reencodeRecord encodes, in the given format, the record that a replica holds under a key. It
// reports false for records that are neither jobs nor shards.
func reencodeRecord(replica *storage.Replica, format storage.Format, key string) (json.RawMessage, bool) {
	if id, ok := strings.CutPrefix(key, storage.JobKey("")); ok {
		return storage.EncodeJob(format, &replica.Jobs[protocol.JobID(id)].Record), true
	}
	if id, ok := strings.CutPrefix(key, storage.ShardKey("")); ok {
		shard := replica.Shards[storage.ShardID(id)]
		var lines []string
		for _, machine := range shard.Machines {
			lines = append(lines, replica.EncodedLine(machine))
		}
		return storage.EncodeShard(format, shard.Owner, shard.Epoch, lines, shard.CompletedTasks), true
	}
	return nil, false
}

// TestReadProductionRecords checks that records that the production version wrote are read without
// loss. Encoded again in their own format they are the same to the byte, also after they were
// encoded in the packed format and read from it.
func TestReadProductionRecords(t *testing.T) {
	plainReplica, packedReplica := storage.NewReplica(), storage.NewReplica()
	recordCounts := map[string]int{}
	for _, entry := range readGoldenRecords(t) {
		if _, err := plainReplica.Put(entry.Key, entry.Value, entry.ModRevision); err != nil {
			t.Fatal(err)
		}
	}
	for _, entry := range readGoldenRecords(t) {
		var original bytes.Buffer
		if err := json.Compact(&original, entry.Value); err != nil {
			t.Fatal(err)
		}
		reencoded, ok := reencodeRecord(plainReplica, storage.FormatPlain, entry.Key)
		if !ok {
			continue
		}
		recordCounts[entry.Key[:3]]++
		if !bytes.Equal(reencoded, original.Bytes()) {
			t.Errorf("%s:\n%s is encoded again as\n%s, want the same bytes", entry.Key, original.Bytes(), reencoded)
		}
		packed, _ := reencodeRecord(plainReplica, storage.FormatPacked, entry.Key)
		if _, err := packedReplica.Put(entry.Key, packed, entry.ModRevision); err != nil {
			t.Fatal(err)
		}
		if roundTripped, _ := reencodeRecord(packedReplica, storage.FormatPlain, entry.Key); !bytes.Equal(roundTripped, original.Bytes()) {
			t.Errorf("%s:\n%s comes back from the packed format as\n%s, want the same bytes", entry.Key, original.Bytes(), roundTripped)
		}
	}
	if len(plainReplica.Controllers) != 3 || len(plainReplica.QuotaRevisions) == 0 || plainReplica.RegistryRevision == 0 || recordCounts["t/j"] < 10 || recordCounts["t/p"] < 5 || len(plainReplica.CancellingJobs) == 0 {
		t.Errorf("the golden records cover too little: %v records by kind, %d controllers, %d jobs with a cancellation under way", recordCounts, len(plainReplica.Controllers), len(plainReplica.CancellingJobs))
	}
	for _, controller := range plainReplica.Controllers {
		if controller.Record.ReadableFormat != storage.FormatPlain {
			t.Errorf("%s counts as a reader of newer formats, want the plain format only", controller.Record.Incarnation)
		}
	}
}

// TestReadProductionFrame checks that a message between controllers that the production version
// wrote is read in full.
func TestReadProductionFrame(t *testing.T) {
	stream, err := os.ReadFile("testdata/production/hint.gob")
	if err != nil {
		t.Fatal(err)
	}
	frame, rest, err := transport.SplitFrame(stream)
	if err != nil || len(rest) > 0 {
		t.Fatalf("split the frame: %v, %d bytes left", err, len(rest))
	}
	var wire step.PeerStatusWire
	if err := transport.DecodeFrame(frame, &wire); err != nil {
		t.Fatal(err)
	}
	status := wire.Status()
	isReadInFull := status.Incarnation == "stall-1#7" && status.AcceptsShards && status.Revision == 41 &&
		len(status.MisdirectedHeartbeats) == 1 && status.MisdirectedHeartbeats[0].AgentEpoch == 2 &&
		len(status.CancelRequests) == 1 && status.CancelRequests[0].Revision == 40 &&
		len(status.CancelAcks) == 1 && status.CancelAcks[0] == "j-000413"
	if !isReadInFull {
		t.Errorf("read %+v, want the status that TestWriteGolden wrote", status)
	}
}
