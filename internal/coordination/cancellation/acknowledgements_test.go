package cancellation

import (
	"fmt"
	"testing"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestCancelAcknowledgements checks which acknowledgement counts for another controller's machine. It must
// come from the live incarnation that owns the machine, whose replica must not be older than the ownership.
func TestCancelAcknowledgements(t *testing.T) {
	acksOf := func(id protocol.JobID) []protocol.JobID { return []protocol.JobID{id} }
	for _, test := range []struct {
		name   string
		status step.PeerStatus
		want   bool
	}{
		{"owner", step.PeerStatus{Incarnation: "stall-1#1", Revision: 6, CancelAcks: acksOf("j-1")}, true},
		{"owner, for another job", step.PeerStatus{Incarnation: "stall-1#1", Revision: 6, CancelAcks: acksOf("j-2")}, false},
		{
			"replica older than the ownership",
			step.PeerStatus{Incarnation: "stall-1#1", Revision: 4, CancelAcks: acksOf("j-1")}, false,
		},
		{"controller that does not own the machine", step.PeerStatus{Incarnation: "stall-2#9", Revision: 6, CancelAcks: acksOf("j-1")}, false},
		{
			"ended incarnation of the owner",
			step.PeerStatus{Incarnation: "stall-1#0", Revision: 6, CancelAcks: acksOf("j-1")}, false,
		},
		{"unknown incarnation", step.PeerStatus{Incarnation: "stall-7#1", Revision: 6, CancelAcks: acksOf("j-1")}, false},
		{"controller that has not registered", step.PeerStatus{Revision: 6, CancelAcks: acksOf("j-1")}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.Put(t, storage.ControllerKey("stall-1"), []byte(`{"r":"stall-1#1"}`), 2)
			fixture.Put(t, storage.ControllerKey("stall-2"), []byte(`{"r":"stall-2#9"}`), 2)
			record := storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 2}
			record.Assign(protocol.Task{Job: "j-1"}, 5)
			shard := storage.EncodePlainShard("stall-1#1", 3, []string{record.EncodeLine("m-1")}, nil)
			fixture.Put(t, storage.ShardKey("p"), shard, 5)
			job := `{"d":{"uid":"j-1","shape":"batch","pieces":2,"cores":1},"w":true,"o":1000000000000}`
			fixture.Put(t, storage.JobKey("j-1"), []byte(job), 6)
			fixture.Replica.Revision = 6

			test.status.ControllerID = test.status.Incarnation.Controller()
			fixture.canceller.OnPeerCancellations(&test.status)
			if got := fixture.canceller.IsCancelFullyAcknowledged("j-1"); got != test.want {
				t.Errorf("IsCancelFullyAcknowledged(j-1) = %v, want %v", got, test.want)
			}
			fixture.Replica.Delete(storage.ControllerKey("stall-1"), 7)
			if fixture.canceller.IsCancelFullyAcknowledged("j-1") {
				t.Error("the acknowledgement of an ended incarnation counts, want it ignored")
			}
		})
	}
}

// TestRotationCoversAll checks that each entry of a list of any length is in at least one of the chunks of
// one rotation.
func TestRotationCoversAll(t *testing.T) {
	ids := make([]protocol.JobID, 1000)
	for i := range ids {
		ids[i] = protocol.JobID(fmt.Sprintf("j-%04d", i))
	}
	for _, test := range []struct {
		name                      string
		length, limit, chunkCount int
	}{
		{"shorter than a chunk", 10, 200, 1},
		{"exactly one chunk", 200, 200, 1},
		{"one entry more than a chunk", 201, 200, 2},
		{"many chunks", 1000, 150, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			var chunkRotation rotation
			seenIDs := map[protocol.JobID]bool{}
			for range test.chunkCount {
				chunk := chunkRotation.nextChunk(ids[:test.length], test.limit)
				if len(chunk) != min(test.length, test.limit) {
					t.Errorf("chunk has %d entries, want %d", len(chunk), min(test.length, test.limit))
				}
				for _, id := range chunk {
					seenIDs[id] = true
				}
			}
			if len(seenIDs) != test.length {
				t.Errorf("the chunks contain %d different entries, want %d", len(seenIDs), test.length)
			}
		})
	}
}
