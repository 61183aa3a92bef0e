package simulation

import (
	"strings"
	"testing"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// The history checker reports each violation that it is there for, and none where there is none.
func TestHistoryCheckerDetectsViolations(t *testing.T) {
	line := func(id string) string {
		return (&storage.MachineRecord{MachineType: "small", Zone: "a", AgentEpoch: 1}).EncodeLine(protocol.MachineID(id))
	}
	shard := func(id, owner string, epoch storage.ShardEpoch, machines ...string) protocol.Event {
		var lines []string
		for _, m := range machines {
			lines = append(lines, line(m))
		}
		return protocol.Event{
			PutKey: storage.ShardKey(storage.ShardID(id)),
			Value:  storage.EncodePlainShard(storage.Incarnation(owner), epoch, lines, nil),
		}
	}
	controller := func(name, incarnation string) protocol.Event {
		key := storage.ControllerKey(protocol.ControllerID(name))
		if incarnation == "" {
			return protocol.Event{DeleteKey: key}
		}
		return protocol.Event{PutKey: key, Value: storage.MustMarshal(storage.ControllerRecord{Incarnation: storage.Incarnation(incarnation)})}
	}
	transfer := func(name string, phase storage.TransferPhase) protocol.Event {
		record := storage.TransferRecord{Name: name, Shard: "p", Source: "a#1", Target: "b#1", Phase: phase}
		return protocol.Event{PutKey: storage.TransferKey("b/0"), Value: storage.MustMarshal(record)}
	}
	begin := [][]protocol.Event{{controller("a", "a#1")}, {controller("b", "b#1")}, {shard("p", "a#1", 1, "m-1", "m-2")}}
	const target, otherTarget = "b#1", "b#2"
	committed := []protocol.Event{shard("p", target, 2, "m-1", "m-2"), transfer("x", storage.TransferCommitted)}
	for _, c := range []struct {
		name    string
		changes [][]protocol.Event // revision by revision
		command func(h *HistoryChecker)
		broken  string // part of the violation; empty: none
	}{
		{
			"a transfer",
			[][]protocol.Event{{transfer("x", storage.TransferPrepared)}, committed, {transfer("x", storage.TransferClosed)}},
			func(h *HistoryChecker) { h.CheckCommand("m-1", storage.ShardEpoch(2).FencingToken(0), "b") }, "",
		},
		{
			"a shard in two parts",
			[][]protocol.Event{{shard("q", "a#1", 1, "m-2"), shard("p", "a#1", 1, "m-1")}},
			nil, "",
		},
		{
			"a machine in two shards",
			[][]protocol.Event{{shard("q", target, 2, "m-2")}},
			nil, "machine m-2 is on 2 shards",
		},
		{
			"a new owner under the old token",
			[][]protocol.Event{{shard("p", target, 1, "m-1", "m-2")}},
			nil, "without a higher token",
		},
		{
			"a token that decreases",
			[][]protocol.Event{{shard("p", "a#1", 3, "m-1")}, {shard("p", "a#1", 2, "m-1")}},
			nil, "decreases from 3 to 2",
		},
		{
			"an owner whose lease has expired",
			[][]protocol.Event{{controller("b", "")}, {shard("p", target, 2, "m-1", "m-2")}},
			nil, "b#1, which is not alive",
		},
		{
			"an owner of an earlier incarnation",
			[][]protocol.Event{{controller("b", otherTarget)}, {shard("p", target, 2, "m-1", "m-2")}},
			nil, "b#1, which is not alive",
		},
		{
			"a committed transfer without its shard",
			[][]protocol.Event{{transfer("x", storage.TransferPrepared)}, {transfer("x", storage.TransferCommitted)}},
			nil, "is committed",
		},
		{
			"a transfer that loses a machine",
			[][]protocol.Event{{transfer("x", storage.TransferPrepared)}, {shard("p", target, 2, "m-1"), transfer("x", storage.TransferCommitted)}},
			nil, "m-2 left the records",
		},
		{
			"a phase left out",
			[][]protocol.Event{{transfer("x", storage.TransferProposed)}, {transfer("x", storage.TransferClosed)}},
			nil, "from proposed to closed",
		},
		{
			"an abort after the commit",
			[][]protocol.Event{{transfer("x", storage.TransferPrepared)}, committed, {transfer("x", storage.TransferAborted)}},
			nil, "from transferred to aborted",
		},
		{
			"an open transfer that is replaced",
			[][]protocol.Event{{transfer("x", storage.TransferProposed)}, {transfer("y", storage.TransferPrepared)}},
			nil, `"y"`,
		},
		{
			"a command of a controller that is not the owner",
			nil,
			func(h *HistoryChecker) { h.CheckCommand("m-1", storage.ShardEpoch(1).FencingToken(0), "b") }, "accepts commands from b in epoch 1",
		},
		{
			"a command under a token that nobody has",
			nil,
			func(h *HistoryChecker) { h.CheckCommand("m-1", storage.ShardEpoch(9).FencingToken(0), "a") }, "in epoch 9",
		},
		{
			"an unreadable shard",
			[][]protocol.Event{{{PutKey: storage.ShardKey("p"), Value: []byte(`{"m":7}`)}}},
			nil, "can't be read",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var violations []string
			h := NewHistoryChecker(func(violation string) { violations = append(violations, violation) })
			for i, changes := range append(begin[:3:3], c.changes...) {
				h.ApplyRevision(protocol.Revision(i+1), changes)
			}
			if c.command != nil {
				c.command(h)
			}
			if all := strings.Join(violations, "; "); c.broken == "" && all != "" || !strings.Contains(all, c.broken) {
				t.Errorf("%q, want %q", all, c.broken)
			}
		})
	}
}
