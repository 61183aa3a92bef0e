package standin

import (
	"strings"
	"testing"

	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// The checker of histories sees each fault that it is there for, and none where there is none.
func TestHistorySeesFaults(t *testing.T) {
	line := func(id string) string {
		return (&bk.MachineRecord{Type: "small", Zone: "a", Session: 1}).Line(protocol.MachineID(id))
	}
	page := func(id, owner string, epoch bk.Epoch, machines ...string) protocol.News {
		var lines []string
		for _, m := range machines {
			lines = append(lines, line(m))
		}
		return protocol.News{Put: bk.PageKey(bk.PageID(id)), Data: bk.EncodePage(bk.Run(owner), epoch, lines, nil)}
	}
	member := func(name, run string) protocol.News {
		if run == "" {
			return protocol.News{Delete: bk.MemberKey(protocol.Member(name))}
		}
		return protocol.News{Put: bk.MemberKey(protocol.Member(name)), Data: bk.JSON(bk.MemberRecord{Run: bk.Run(run)})}
	}
	move := func(name string, phase bk.MovePhase) protocol.News {
		return protocol.News{Put: bk.MoveKey("b/0"), Data: bk.JSON(bk.MoveRecord{Name: name, Page: "p", From: "a#1", To: "b#1", Phase: phase})}
	}
	begin := [][]protocol.News{{member("a", "a#1")}, {member("b", "b#1")}, {page("p", "a#1", 1, "m-1", "m-2")}}
	for _, c := range []struct {
		name    string
		changes [][]protocol.News
		command func(h *History)
		broken  string // part of what is said; empty: nothing
	}{
		{"a move", [][]protocol.News{{move("x", bk.MovePrepared)}, {page("p", "b#1", 2, "m-1", "m-2"), move("x", bk.MoveTransferred)}, {move("x", bk.MoveClosed)}},
			func(h *History) { h.Commanded("m-1", bk.Epoch(2).FencingToken(0), "b") }, ""},
		{"a page in two parts", [][]protocol.News{{page("q", "a#1", 1, "m-2"), page("p", "a#1", 1, "m-1")}}, nil, ""},
		{"a machine on two pages", [][]protocol.News{{page("q", "b#1", 2, "m-2")}}, nil, "machine m-2 is on 2 pages"},
		{"a new owner under the old token", [][]protocol.News{{page("p", "b#1", 1, "m-1", "m-2")}}, nil, "without a higher token"},
		{"a token that falls", [][]protocol.News{{page("p", "a#1", 3, "m-1")}, {page("p", "a#1", 2, "m-1")}}, nil, "falls from 3 to 2"},
		{"an owner that has ended", [][]protocol.News{{member("b", "")}, {page("p", "b#1", 2, "m-1", "m-2")}}, nil, "b#1, which has ended"},
		{"an owner of an earlier run", [][]protocol.News{{member("b", "b#2")}, {page("p", "b#1", 2, "m-1", "m-2")}}, nil, "b#1, which has ended"},
		{"a transfer without its page", [][]protocol.News{{move("x", bk.MovePrepared)}, {move("x", bk.MoveTransferred)}}, nil, "is transferred"},
		{"a transfer that loses a machine", [][]protocol.News{{move("x", bk.MovePrepared)}, {page("p", "b#1", 2, "m-1"), move("x", bk.MoveTransferred)}}, nil, "m-2 left the records"},
		{"a phase left out", [][]protocol.News{{move("x", bk.MoveProposed)}, {move("x", bk.MoveClosed)}}, nil, "from proposed to closed"},
		{"an abort behind the transfer", [][]protocol.News{{move("x", bk.MovePrepared)},
			{page("p", "b#1", 2, "m-1", "m-2"), move("x", bk.MoveTransferred)}, {move("x", bk.MoveAborted)}}, nil, "from transferred to aborted"},
		{"an open move that is replaced", [][]protocol.News{{move("x", bk.MoveProposed)}, {move("y", bk.MovePrepared)}}, nil, `"y"`},
		{"a command of somebody else", nil, func(h *History) { h.Commanded("m-1", bk.Epoch(1).FencingToken(0), "b") }, "takes commands of b in epoch 1"},
		{"a command under a token that nobody has", nil, func(h *History) { h.Commanded("m-1", bk.Epoch(9).FencingToken(0), "a") }, "in epoch 9"},
		{"an unreadable page", [][]protocol.News{{{Put: bk.PageKey("p"), Data: []byte(`{"m":7}`)}}}, nil, "can't be read"},
	} {
		var said []string
		h := NewHistory(func(what string) { said = append(said, what) })
		for i, changes := range append(begin[:3:3], c.changes...) {
			h.Apply(protocol.Rev(i+1), changes)
		}
		if c.command != nil {
			c.command(h)
		}
		if all := strings.Join(said, "; "); c.broken == "" && all != "" || !strings.Contains(all, c.broken) {
			t.Errorf("%s: %q, want %q", c.name, all, c.broken)
		}
	}
}
