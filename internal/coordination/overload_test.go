package coordination

import (
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/storage"
)

// A controller that runs several times slower than the others falls behind. It detects the overload
// and transfers shards. A single pause or a short peak is no overload.
func TestOverloadedController(t *testing.T) {
	const target storage.Incarnation = "stall-1#1"
	for _, test := range []struct {
		name          string
		tickIntervals []time.Duration // the last one repeats
		want          bool
	}{
		{"ticks on time", []time.Duration{50 * time.Millisecond}, false},
		{"ticks always late", []time.Duration{400 * time.Millisecond}, true},
		{"single pause", []time.Duration{4 * time.Second, 50 * time.Millisecond}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			putRecord(t, core, storage.ControllerKey("stall-1"), []byte(`{"r":"stall-1#1"}`), 3)
			addOwnedMachine(t, core, storage.MachineRecord{MachineType: "s", Zone: "a", AgentEpoch: 1})
			transferred := false
			for i := 0; i < 400; i++ {
				interval := test.tickIntervals[min(i, len(test.tickIntervals)-1)]
				advance(0, step.RenewLeaseResult{LeaseID: 7})
				revision := core.ctx.Replica.Revision
				advance(0, steptest.UnchangedUntil(revision, revision))
				advance(0, step.PeerStatusInput{Status: step.PeerStatus{
					ControllerID: "stall-1", Incarnation: target, StoreReachable: true, AcceptsShards: true,
				}})
				for _, effect := range advance(interval, step.Tick{}) {
					sent, ok := effect.(step.Commit)
					if !ok {
						continue
					}
					for _, operation := range sent.Transaction.Operations {
						goesToTarget := strings.Contains(string(operation.Value), string(target))
						transferred = transferred || operation.PutKey == storage.ShardKey("p") && goesToTarget
					}
					advance(0, steptest.CommittedAt(sent.ID, core.ctx.Replica.Revision+10))
				}
			}
			if transferred != test.want || core.ownership.Overload.IsOverloaded() != test.want {
				t.Errorf("shard transferred %v, controller overloaded %v; want both if and only if all ticks are late",
					transferred, core.ownership.Overload.IsOverloaded())
			}
		})
	}
}
