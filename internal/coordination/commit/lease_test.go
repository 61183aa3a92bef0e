package commit

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A lease is requested until one is granted, with a pause after a failure. It is renewed several times
// within its TTL.
func TestLeaseIsGrantedAndRenewed(t *testing.T) {
	controller := newTestController()
	if !steptest.HasEffect[step.GrantLease](controller.advance(0, step.Tick{})) {
		t.Fatal("no lease was requested on the first tick")
	}
	if steptest.HasEffect[step.GrantLease](controller.advance(time.Second, step.Tick{})) {
		t.Error("a second lease was requested while the first request was pending")
	}
	controller.advance(0, step.GrantLeaseResult{Err: errUnreachable})
	if steptest.HasEffect[step.GrantLease](controller.advance(grantRetryDelay/2, step.Tick{})) {
		t.Error("a lease was requested again before the retry delay")
	}
	if !steptest.HasEffect[step.GrantLease](controller.advance(grantRetryDelay, step.Tick{})) {
		t.Error("no lease was requested again after the retry delay")
	}
	controller.advance(0, step.GrantLeaseResult{LeaseID: 7})
	interval := controller.Config.LeaseTTL / renewalsPerLease
	if steptest.HasEffect[step.RenewLease](controller.advance(interval, step.Tick{})) {
		t.Error("the lease was renewed before the renewal interval had passed")
	}
	if !steptest.HasEffect[step.RenewLease](controller.advance(time.Millisecond, step.Tick{})) {
		t.Error("the lease was not renewed after the renewal interval")
	}
}

// A controller is no longer registered and requests another lease if its lease has expired or its
// registration key has been deleted or replaced.
func TestRegistrationIsLost(t *testing.T) {
	key := storage.ControllerKey("stall-0")
	successor := storage.MustMarshal(storage.ControllerRecord{Incarnation: "stall-0#8"})
	for _, test := range []struct {
		name  string
		input step.Input
		want  bool // still registered
	}{
		{
			name:  "the lease is renewed",
			input: step.RenewLeaseResult{LeaseID: 7},
			want:  true,
		},
		{
			name:  "the store does not respond",
			input: step.RenewLeaseResult{LeaseID: 7, Err: errUnreachable},
			want:  true,
		},
		{
			name:  "the lease has expired",
			input: step.RenewLeaseResult{LeaseID: 7, Err: storage.ErrLeaseExpired},
			want:  false,
		},
		{
			name:  "an earlier lease has expired",
			input: step.RenewLeaseResult{LeaseID: 6, Err: storage.ErrLeaseExpired},
			want:  true,
		},
		{
			name: "the key is deleted",
			input: step.WatchResult{AfterRevision: 2, Response: &protocol.WatchResponse{
				Revision: 3,
				Events:   []protocol.Event{{DeleteKey: key, ModRevision: 3}},
			}},
			want: false,
		},
		{
			name: "the key is replaced",
			input: step.WatchResult{AfterRevision: 2, Response: &protocol.WatchResponse{
				Revision: 3,
				Events:   []protocol.Event{{PutKey: key, Value: successor, ModRevision: 3}},
			}},
			want: false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newReadyController(t)
			controller.advance(0, test.input)
			if got := controller.Lease.IsRegistered(); got != test.want {
				t.Errorf("IsRegistered() = %v, want the opposite", got)
			}
			if got := steptest.HasEffect[step.GrantLease](controller.advance(0, step.Tick{})); got == test.want {
				t.Errorf("another lease requested: %v, want the opposite", got)
			}
		})
	}
}
