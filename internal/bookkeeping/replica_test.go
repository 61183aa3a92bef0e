package bookkeeping

import (
	"fmt"
	"strings"
	"testing"

	"tillerarch/internal/protocol"
)

// A machine's line is read as it was written, whatever its fields hold.
func TestLine(t *testing.T) {
	for _, m := range []MachineRecord{
		{},
		{Addr: "10.1.0.1:9000", Type: "g8", Zone: "a", Session: 3, Since: 1764633600123, Bump: MaxBump},
		{Addr: "a b|c", Type: "two words", Zone: "x%20y", Spot: true, Releasing: true, Drain: true, Session: 1},
		{Type: "g8", Zone: "-", Assigned: []Assigned{{"j-1", 1, Range(0, 7)}, {"j-2", 9000, Range(1, 1).Add(5)}}},
	} {
		line := m.Line("m-000001")
		id, got, err := parseLine(line)
		if m.Zone == "-" {
			m.Zone = "" // a blank and a dash are the same, and neither is a zone
		}
		if err != nil || id != "m-000001" || fmt.Sprint(got) != fmt.Sprint(m) {
			t.Errorf("%q: %v, %v, want %v", line, err, got, m)
		}
	}
	for _, bad := range []string{"", "m-1", "x a b c 1 1 -", "m-1 a b c ? 1 -", "m-1 a b c 1 1+x -", "m-1 %zz b c 1 1 -",
		"m-1 a b c 1 1 - j-1.1", "m-1 a b c 1 1 - j-1.x.0", "m-1 a b c 1 1 - j-1.1.", "m-1 a b c 1 1 - j-1.1.5-2"} {
		if _, _, err := parseLine(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// page writes a page of machines "m-<n>", each with a task of a job if given.
func page(owner Run, epoch Epoch, done map[protocol.JobID]Ranges, machines ...string) []byte {
	var lines []string
	for _, m := range machines {
		id, job, has := strings.Cut(m, "/")
		r := MachineRecord{Addr: "a", Type: "g", Zone: "z", Session: 1}
		if has {
			r.Assign(protocol.Task{Job: protocol.JobID(job)}, 1)
		}
		lines = append(lines, r.Line(protocol.MachineID(id)))
	}
	return EncodePage(owner, epoch, lines, done)
}

// The indexes follow whatever happens to pages: machines that move, are taken
// over or leave, and tasks that are done.
func TestReplicaPages(t *testing.T) {
	m := NewReplica()
	changes := 0
	m.Changed = func(protocol.MachineID, *MachineRecord, *MachineRecord) { changes++ }
	put := func(key string, data []byte, stamp protocol.Stamp) {
		t.Helper()
		if _, err := m.Put(key, data, stamp); err != nil {
			t.Fatal(err)
		}
	}
	a, b := PageKey("a"), PageKey("b")
	put(JobKey("j-1"), []byte(`{"d":{"uid":"j-1","pieces":9},"v":"0"}`), 1)
	put(a, page("x#1", 1, map[protocol.JobID]Ranges{"j-1": Range(2, 3)}, "m-1/j-1", "m-2"), 2)
	put(b, page("y#1", 4, map[protocol.JobID]Ranges{"j-1": Range(5, 5)}, "m-3/j-1"), 3)
	if len(m.On("j-1")) != 2 || m.Done("j-1").String() != "0,2-3,5" || len(m.List()) != 3 || changes != 3 {
		t.Fatalf("on %v, done %s, %v, %d changes", m.On("j-1"), m.Done("j-1"), len(m.List()), changes)
	}
	// A takeover changes owner and token of all, and reads no machine again.
	put(a, page("y#1", 2, map[protocol.JobID]Ranges{"j-1": Range(2, 3)}, "m-1/j-1", "m-2"), 4)
	if r := m.Machines["m-2"].Rec; r.Owner != "y#1" || r.FencingToken != Epoch(2).FencingToken(0) || changes != 3 {
		t.Errorf("after the takeover %+v, %d changes", r, changes)
	}
	// m-1 moves, in either order of the two keys; m-2 leaves.
	put(a, page("y#1", 2, nil), 5)
	put(b, page("y#1", 4, nil, "m-3/j-1", "m-1/j-1"), 5)
	if lost := m.Lost(); len(lost) != 1 || lost[0] != "m-2" || m.Machines["m-1"].Rec.Page != "b" || len(m.On("j-1")) != 2 {
		t.Errorf("lost %v, m-1 on %q, on %v", lost, m.Machines["m-1"].Rec.Page, m.On("j-1"))
	}
	if m.Done("j-1").String() != "0" {
		t.Errorf("done %s after the pages dropped it", m.Done("j-1"))
	}
	// Changes that come late change nothing, deleted pages included.
	m.Delete(b, 7)
	put(b, page("z#1", 9, nil, "m-9"), 6)
	if len(m.Machines) != 0 || len(m.On("j-1")) != 0 || m.Stamp(b) != 0 || len(m.Lost()) != 2 {
		t.Errorf("%v machines, on %v, stamp %d", len(m.List()), m.On("j-1"), m.Stamp(b))
	}
	// A page that cannot be read is not taken in part.
	if _, err := m.Put(PageKey("c"), []byte(`{"o":"x#1","b":1,"m":["m-5 a b c 1 1 -","nonsense"]}`), 9); err == nil || len(m.Machines) != 0 {
		t.Errorf("err %v, machines %v", err, len(m.List()))
	}
}
