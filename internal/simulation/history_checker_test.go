package simulation

import (
	"strings"
	"testing"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestHistoryCheckerDetectsViolations checks that the history checker reports each kind of violation,
// and none for a history without one.
func TestHistoryCheckerDetectsViolations(t *testing.T) {
	encodedLine := func(id string) string {
		return (&storage.MachineRecord{MachineType: "small", Zone: "a", AgentEpoch: 1}).EncodeLine(protocol.MachineID(id))
	}
	shardEvent := func(id, owner string, epoch storage.ShardEpoch, machines ...string) protocol.Event {
		var lines []string
		for _, machine := range machines {
			lines = append(lines, encodedLine(machine))
		}
		return protocol.Event{
			PutKey: storage.ShardKey(storage.ShardID(id)),
			Value:  storage.EncodePlainShard(storage.Incarnation(owner), epoch, lines, nil),
		}
	}
	controllerEvent := func(name, incarnation string) protocol.Event {
		key := storage.ControllerKey(protocol.ControllerID(name))
		if incarnation == "" {
			return protocol.Event{DeleteKey: key}
		}
		return protocol.Event{PutKey: key, Value: storage.MustMarshal(storage.ControllerRecord{Incarnation: storage.Incarnation(incarnation)})}
	}
	transferEvent := func(name string, phase storage.TransferPhase) protocol.Event {
		record := storage.TransferRecord{Name: name, Shard: "p", Source: "a#1", Target: "b#1", Phase: phase}
		return protocol.Event{PutKey: storage.TransferKey("b/0"), Value: storage.MustMarshal(record)}
	}
	initialRevisions := [][]protocol.Event{{controllerEvent("a", "a#1")}, {controllerEvent("b", "b#1")}, {shardEvent("p", "a#1", 1, "m-1", "m-2")}}
	const target, laterTarget = "b#1", "b#2"
	committed := []protocol.Event{shardEvent("p", target, 2, "m-1", "m-2"), transferEvent("x", storage.TransferCommitted)}
	for _, test := range []struct {
		name          string
		revisions     [][]protocol.Event // the changes of each revision, after those of initialRevisions
		checkCommand  func(h *HistoryChecker)
		wantViolation string // part of the violation; empty means that none is wanted
	}{
		{
			"a transfer",
			[][]protocol.Event{{transferEvent("x", storage.TransferPrepared)}, committed, {transferEvent("x", storage.TransferClosed)}},
			func(h *HistoryChecker) { h.CheckCommand("m-1", storage.ShardEpoch(2).FencingToken(0), "b") }, "",
		},
		{
			"a shard in two parts",
			[][]protocol.Event{{shardEvent("q", "a#1", 1, "m-2"), shardEvent("p", "a#1", 1, "m-1")}},
			nil, "",
		},
		{
			"a machine in two shards",
			[][]protocol.Event{{shardEvent("q", target, 2, "m-2")}},
			nil, "machine m-2 is in 2 shards",
		},
		{
			"a new owner with the old token",
			[][]protocol.Event{{shardEvent("p", target, 1, "m-1", "m-2")}},
			nil, "without a higher token",
		},
		{
			"a token that decreases",
			[][]protocol.Event{{shardEvent("p", "a#1", 3, "m-1")}, {shardEvent("p", "a#1", 2, "m-1")}},
			nil, "decreases from 3 to 2",
		},
		{
			"an owner whose lease has expired",
			[][]protocol.Event{{controllerEvent("b", "")}, {shardEvent("p", target, 2, "m-1", "m-2")}},
			nil, "b#1, which is not alive",
		},
		{
			"an owner of an earlier incarnation",
			[][]protocol.Event{{controllerEvent("b", laterTarget)}, {shardEvent("p", target, 2, "m-1", "m-2")}},
			nil, "b#1, which is not alive",
		},
		{
			"a committed transfer without its shard",
			[][]protocol.Event{{transferEvent("x", storage.TransferPrepared)}, {transferEvent("x", storage.TransferCommitted)}},
			nil, "is committed",
		},
		{
			"a transfer that loses a machine",
			[][]protocol.Event{{transferEvent("x", storage.TransferPrepared)}, {shardEvent("p", target, 2, "m-1"), transferEvent("x", storage.TransferCommitted)}},
			nil, "machine m-2 is in no shard",
		},
		{
			"a phase that is left out",
			[][]protocol.Event{{transferEvent("x", storage.TransferProposed)}, {transferEvent("x", storage.TransferClosed)}},
			nil, "from proposed to closed",
		},
		{
			"an abort after the commit",
			[][]protocol.Event{{transferEvent("x", storage.TransferPrepared)}, committed, {transferEvent("x", storage.TransferAborted)}},
			nil, "from transferred to aborted",
		},
		{
			"an open transfer that is replaced",
			[][]protocol.Event{{transferEvent("x", storage.TransferProposed)}, {transferEvent("y", storage.TransferPrepared)}},
			nil, `"y"`,
		},
		{
			"a command of a controller that is not the owner",
			nil,
			func(h *HistoryChecker) { h.CheckCommand("m-1", storage.ShardEpoch(1).FencingToken(0), "b") }, "accepts commands from b in epoch 1",
		},
		{
			"a command with a token that no owner has had",
			nil,
			func(h *HistoryChecker) { h.CheckCommand("m-1", storage.ShardEpoch(9).FencingToken(0), "a") }, "in epoch 9",
		},
		{
			"an unreadable shard",
			[][]protocol.Event{{{PutKey: storage.ShardKey("p"), Value: []byte(`{"m":7}`)}}},
			nil, "can't be read",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var violations []string
			checker := NewHistoryChecker(func(violation string) { violations = append(violations, violation) })
			for i, changes := range append(initialRevisions[:3:3], test.revisions...) {
				checker.ApplyRevision(protocol.Revision(i+1), changes)
			}
			if test.checkCommand != nil {
				test.checkCommand(checker)
			}
			if joined := strings.Join(violations, "; "); test.wantViolation == "" && joined != "" || !strings.Contains(joined, test.wantViolation) {
				t.Errorf("violations %q, want one with the text %q, or none if that is empty", joined, test.wantViolation)
			}
		})
	}
}
