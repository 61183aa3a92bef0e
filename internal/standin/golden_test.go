package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

// golden reads what the production version wrote; TestWriteGolden made it.
func golden(t *testing.T) (items []protocol.Item) {
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

// rewritten gives a record that a replica holds in a format.
func rewritten(r *bk.Replica, format bk.Format, key string) (json.RawMessage, bool) {
	if id, ok := strings.CutPrefix(key, bk.JobKey("")); ok {
		return bk.EncodeJob(format, &r.Jobs[protocol.JobID(id)].Rec), true
	}
	if id, ok := strings.CutPrefix(key, bk.PageKey("")); ok {
		p := r.Pages[bk.PageID(id)]
		var lines []string
		for _, m := range p.Machines {
			lines = append(lines, r.Line(m))
		}
		return bk.EncodePageAs(format, p.Owner, p.Epoch, lines, p.Done), true
	}
	return nil, false
}

// What the production version wrote is read without loss: written again in its format
// it is the same to the byte, by way of the packed format too.
func TestRecordsOfProduction(t *testing.T) {
	plain, packed := bk.NewReplica(), bk.NewReplica()
	kinds := map[string]int{}
	for _, item := range golden(t) {
		if _, err := plain.Put(item.Key, item.Data, item.Stamp); err != nil {
			t.Fatal(err)
		}
	}
	for _, item := range golden(t) {
		var original bytes.Buffer
		if err := json.Compact(&original, item.Data); err != nil {
			t.Fatal(err)
		}
		again, ok := rewritten(plain, bk.FormatPlain, item.Key)
		if !ok {
			continue
		}
		kinds[item.Key[:3]]++
		if !bytes.Equal(again, original.Bytes()) {
			t.Errorf("%s:\n%s is written again as\n%s", item.Key, original.Bytes(), again)
		}
		data, _ := rewritten(plain, bk.FormatPacked, item.Key)
		if _, err := packed.Put(item.Key, data, item.Stamp); err != nil {
			t.Fatal(err)
		}
		if back, _ := rewritten(packed, bk.FormatPlain, item.Key); !bytes.Equal(back, original.Bytes()) {
			t.Errorf("%s:\n%s comes back from the packed format as\n%s", item.Key, original.Bytes(), back)
		}
	}
	if len(plain.Members) != 3 || len(plain.Teams) == 0 || plain.Roll == 0 || kinds["t/j"] < 10 || kinds["t/p"] < 5 || len(plain.Withdrawing) == 0 {
		t.Errorf("too little is covered: %v, %d members, %d withdrawing", kinds, len(plain.Members), len(plain.Withdrawing))
	}
	for _, e := range plain.Members {
		if e.Rec.Reads != bk.FormatPlain {
			t.Errorf("%s is taken for one that reads newer formats", e.Rec.Run)
		}
	}
}

// A message of the production version between controllers is read.
func TestFrameOfProduction(t *testing.T) {
	stream, err := os.ReadFile("testdata/production/hint.gob")
	if err != nil {
		t.Fatal(err)
	}
	frame, rest, err := transport.CutFrame(stream)
	if err != nil || len(rest) > 0 {
		t.Fatalf("%v, %d bytes left", err, len(rest))
	}
	var wire coordination.PeerStatusWire
	if err := transport.ReadFrame(frame, &wire); err != nil {
		t.Fatal(err)
	}
	h := wire.Status()
	if h.Run != "stall-1#7" || !h.Fit || h.Rev != 41 || len(h.Seen) != 1 || h.Seen[0].Session != 2 || len(h.Intents) != 1 ||
		h.Intents[0].Rev != 40 || len(h.Acks) != 1 || h.Acks[0] != "j-000413" {
		t.Errorf("%+v", h)
	}
}
