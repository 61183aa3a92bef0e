package commit

import (
	"testing"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// The write limits are the current limits until the format is raised, and the stricter of the current
// and the announced limits from then on.
func TestWriteLimitsFollowFormat(t *testing.T) {
	controller := newReadyController(t)
	controller.Config.AnnouncedLimits = &step.WriteLimits{WritesPerSecond: 1000, TransactionOps: 4, ValueBytes: 2048}
	limits := controller.Limits
	current := step.WriteLimits{WritesPerSecond: 100, TransactionOps: 8, ValueBytes: 8192}
	stricter := step.WriteLimits{WritesPerSecond: 100, TransactionOps: 4, ValueBytes: 2048}
	if got := limits.WriteLimits(); got != current {
		t.Errorf("limits before the format is raised are %+v, want the current limits", got)
	}
	packed := storage.MustMarshal(storage.FormatRecord{WriteFormat: storage.FormatPacked})
	controller.Replication.putInReplica(storage.FormatKey, packed, 50)
	if got := limits.WriteLimits(); got != stricter || limits.maxTransactionOps != 4 {
		t.Errorf("limits after the format is raised are %+v, want the stricter ones; %d operations in a transaction, want 4",
			got, limits.maxTransactionOps)
	}
	value := func(n int) protocol.Operation { return protocol.Operation{PutKey: "k", Value: make([]byte, n)} }
	for _, test := range []struct {
		name       string
		operations []protocol.Operation
		conditions int
		want       bool
	}{
		{
			name:       "at all limits",
			operations: []protocol.Operation{value(2048), value(1), value(1), value(1)},
			conditions: 16,
			want:       true,
		},
		{
			name:       "a value is too large",
			operations: []protocol.Operation{value(2049)},
			conditions: 1,
			want:       false,
		},
		{
			name:       "too many operations",
			operations: []protocol.Operation{value(1), value(1), value(1), value(1), value(1)},
			conditions: 1,
			want:       false,
		},
		{
			name:       "too many conditions",
			operations: []protocol.Operation{value(1)},
			conditions: 17,
			want:       false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			transaction := &protocol.Transaction{Conditions: make([]protocol.Condition, test.conditions), Operations: test.operations}
			if got := limits.WriteLimits().Allows(transaction); got != test.want {
				t.Errorf("%d operations, %d conditions: Allows() = %v, want the opposite", len(test.operations), test.conditions, got)
			}
		})
	}
}

// Controllers find their shares of the store's write limit through refusals. Refusals reduce the write
// rate of a controller, but not below minWriteRateShare of an even share of that limit, and successful
// writes raise the rate to its initial value again.
func TestWriteRateAdapts(t *testing.T) {
	controller := newReadyController(t)
	controller.Config.PeerCount = 3
	limits := controller.Limits
	full := limits.writeRate
	limits.adaptWriteRate(true)
	if limits.writeRate >= full {
		t.Errorf("write rate is %v after a refusal, want less than the %v before", limits.writeRate, full)
	}
	for range 100 {
		limits.adaptWriteRate(true)
	}
	if want := 100.0 / 4 * minWriteRateShare; limits.writeRate != want {
		t.Errorf("write rate is %v after many refusals, want %v", limits.writeRate, want)
	}
	for range 2 * writeRateSteps {
		limits.adaptWriteRate(false)
	}
	if limits.writeRate != full {
		t.Errorf("write rate is %v after many successes, want %v", limits.writeRate, full)
	}
}
