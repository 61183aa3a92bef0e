package ownership

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// The store counts as unavailable for all controllers if some other controller has sent a recent status
// and no sender of a recent status reaches the store.
func TestPeersReportStoreUnavailable(t *testing.T) {
	type report struct {
		from      protocol.ControllerID
		reachable bool
		age       time.Duration
	}
	for _, test := range []struct {
		name      string
		peerCount int
		reports   []report
		want      bool
	}{
		{"no other controllers", 0, nil, true},
		{"no status received", 2, nil, false},
		{"all report the store unavailable", 2, []report{{"a", false, 0}, {"b", false, time.Second}}, true},
		{"one reaches the store", 2, []report{{"a", false, 0}, {"b", true, time.Second}}, false},
		{"status of the one that reached the store is too old", 2, []report{{"a", false, 0}, {"b", true, 4 * time.Second}}, true},
		{"all statuses are too old", 2, []report{{"a", false, 4 * time.Second}, {"b", false, 3 * time.Second}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx := &step.Context{Config: step.Config{PeerCount: test.peerCount}}
			peers := newPeers(ctx)
			for _, report := range test.reports {
				ctx.Now.Monotonic = protocol.Instant(time.Minute - report.age)
				peers.RecordStatus(&step.PeerStatus{ControllerID: report.from, StoreReachable: report.reachable})
			}
			ctx.Now.Monotonic = protocol.Instant(time.Minute)
			if got := peers.PeersReportStoreUnavailable(3 * time.Second); got != test.want {
				t.Errorf("the peers report the store unavailable: %v, want %v", got, test.want)
			}
		})
	}
}

// Shards are transferred only to incarnations that are alive and whose recent status says that they
// accept shards and reach the store.
func TestAcceptingShards(t *testing.T) {
	type status = step.PeerStatus
	for _, test := range []struct {
		name   string
		status status
		age    time.Duration
		want   bool
	}{
		{"accepts shards", status{Incarnation: otherIncarnation, StoreReachable: true, AcceptsShards: true}, time.Second, true},
		{"status is too old", status{Incarnation: otherIncarnation, StoreReachable: true, AcceptsShards: true},
			4 * time.Second, false},
		{"does not reach the store", status{Incarnation: otherIncarnation, AcceptsShards: true}, 0, false},
		{"accepts no shards", status{Incarnation: otherIncarnation, StoreReachable: true}, 0, false},
		{"status of an earlier incarnation", status{Incarnation: "tiller-1#0", StoreReachable: true, AcceptsShards: true}, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newTestController(t)
			controller.registerOther(t)
			test.status.ControllerID = otherController
			controller.Peers.RecordStatus(&test.status)
			controller.Advance(test.age)
			if got := len(controller.Peers.acceptingShards()) == 1; got != test.want {
				t.Errorf("the other controller accepts shards: %v, want %v", got, test.want)
			}
		})
	}
}
