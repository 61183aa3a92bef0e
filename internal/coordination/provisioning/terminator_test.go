package provisioning

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// sendDueTerminations calls SendTerminations and returns the machines of each call to the cloud.
func (p *testParts) sendDueTerminations() [][]protocol.MachineID {
	p.Effects = nil
	p.Terminator.SendTerminations()
	var calls [][]protocol.MachineID
	for _, effect := range p.Effects {
		if call, ok := effect.(step.TerminateMachines); ok {
			calls = append(calls, call.Machines)
		}
	}
	return calls
}

// beginTerminations adds machines to the replica and begins their terminations. It returns their IDs in
// order.
func (p *testParts) beginTerminations(count int) []protocol.MachineID {
	var ids []protocol.MachineID
	for i := range count {
		id := protocol.MachineID(fmt.Sprintf("m-%03d", i))
		p.Replica.Machines[id] = &storage.Machine{ID: id}
		p.Terminator.TerminateUnrecorded(id)
		ids = append(ids, id)
	}
	return ids
}

// TestTerminationCalls checks that only one call to the cloud is in progress at a time, that it contains no
// more machines than allowed, and that the machines are taken in the order of their IDs.
func TestTerminationCalls(t *testing.T) {
	parts := newTestParts(t)
	ids := parts.beginTerminations(protocol.MaxTerminateCount + 2)
	first, rest := ids[:protocol.MaxTerminateCount], ids[protocol.MaxTerminateCount:]
	if calls := parts.sendDueTerminations(); len(calls) != 1 || !slices.Equal(calls[0], first) {
		t.Fatalf("termination calls for machines %v, want one call for the first MaxTerminateCount machines", calls)
	}
	if calls := parts.sendDueTerminations(); len(calls) != 0 {
		t.Fatalf("termination calls for machines %v while a call is in progress, want none", calls)
	}
	parts.Terminator.OnTerminateMachinesResult(step.TerminateMachinesResult{Machines: first})
	if calls := parts.sendDueTerminations(); len(calls) != 1 || !slices.Equal(calls[0], rest) {
		t.Fatalf("termination calls for machines %v, want one call for %v", calls, rest)
	}
}

// TestTerminationResults checks that a failed termination is retried after a delay, and a confirmed
// termination is not. The termination of a machine whose record was removed is forgotten.
func TestTerminationResults(t *testing.T) {
	for _, test := range []struct {
		name          string
		callError     error
		elapsed       time.Duration
		isRemoved     bool
		wantConfirmed bool
		wantCallCount int
	}{
		{"confirmed", nil, time.Minute, false, true, 0},
		{"failed just now", errors.New("busy"), 500 * time.Millisecond, false, false, 0},
		{"failed some time ago", errors.New("busy"), 2 * time.Second, false, false, 1},
		{"failed, and the record of the machine was removed", errors.New("busy"), 2 * time.Second, true, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			parts := newTestParts(t)
			ids := parts.beginTerminations(1)
			parts.sendDueTerminations()
			parts.Terminator.OnTerminateMachinesResult(step.TerminateMachinesResult{Machines: ids, Err: test.callError})
			if got := parts.Terminator.IsTerminationConfirmed(ids[0]); got != test.wantConfirmed {
				t.Errorf("IsTerminationConfirmed = %v, want the opposite", got)
			}
			parts.Advance(test.elapsed)
			if test.isRemoved {
				delete(parts.Replica.Machines, ids[0])
			}
			if calls := parts.sendDueTerminations(); len(calls) != test.wantCallCount {
				t.Errorf("termination calls for machines %v, want %d calls", calls, test.wantCallCount)
			}
			if got := parts.Terminator.IsTerminating(ids[0]); got == test.isRemoved {
				t.Errorf("IsTerminating = %v, want the opposite", got)
			}
		})
	}
}
