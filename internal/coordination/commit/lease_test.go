package commit

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A lease is requested until there is one, with a pause after a failure, and renewed several
// times in the time that it would last.
func TestLeaseIsGrantedAndRenewed(t *testing.T) {
	controller := newTestController()
	if !steptest.HasEffect[step.GrantLease](controller.advance(0, step.Tick{})) {
		t.Fatal("no lease is requested")
	}
	if steptest.HasEffect[step.GrantLease](controller.advance(time.Second, step.Tick{})) {
		t.Error("a second lease is requested while the first is being granted")
	}
	controller.advance(0, step.GrantLeaseResult{Err: errUnreachable})
	if steptest.HasEffect[step.GrantLease](controller.advance(grantRetryDelay/2, step.Tick{})) {
		t.Error("requested again at once")
	}
	if !steptest.HasEffect[step.GrantLease](controller.advance(grantRetryDelay, step.Tick{})) {
		t.Error("not requested again")
	}
	controller.advance(0, step.GrantLeaseResult{LeaseID: 7})
	interval := controller.Config.LeaseTTL / renewalsPerLease
	if steptest.HasEffect[step.RenewLease](controller.advance(interval, step.Tick{})) {
		t.Error("renewed at once")
	}
	if !steptest.HasEffect[step.RenewLease](controller.advance(time.Millisecond, step.Tick{})) {
		t.Error("not renewed")
	}
}

// A controller whose lease has expired, or whose key another incarnation has replaced, is no
// longer registered, and requests another lease.
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
			name:  "the store does not answer",
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
				t.Errorf("registered: %v", got)
			}
			if got := steptest.HasEffect[step.GrantLease](controller.advance(0, step.Tick{})); got == test.want {
				t.Errorf("another lease requested: %v", got)
			}
		})
	}
}
