package coordination

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
)

// reportStoreReachable has other controllers say whether they reach the store.
func reportStoreReachable(reachableFromPeers []bool, input func(step.Input)) {
	for i, reachable := range reachableFromPeers {
		controller := protocol.ControllerID(rune('a' + i))
		input(step.PeerStatusInput{Status: step.PeerStatus{ControllerID: controller, StoreReachable: reachable}})
	}
}

// What a controller tells the load balancer: whether it can take requests.
func TestHealthy(t *testing.T) {
	for _, test := range []struct {
		name               string
		peerCount          int
		reachableFromPeers []bool // whether the store is
		reachable          bool   // whether it is from here
		want               bool
	}{
		{"all is well", 2, nil, true, true},
		{"an outage that all see", 2, []bool{false, false}, false, true},
		{"it alone is cut off from the store", 2, []bool{false, true}, false, false},
		{"no peer sends a status", 2, nil, false, false},
		{"it is the only controller", 0, nil, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, advance := newReadyCore(t)
			core.ctx.Config.PeerCount = test.peerCount
			for i := 0; i < 8; i++ {
				var err error
				if !test.reachable {
					err = errStoreUnreachable
				}
				advance(time.Second, step.RenewLeaseResult{LeaseID: 7, Err: err})
				revision := core.ctx.Replica.Revision
				response := &protocol.WatchResponse{Revision: revision}
				advance(0, step.WatchResult{AfterRevision: revision, Response: response, Err: err})
				reportStoreReachable(test.reachableFromPeers, func(in step.Input) { advance(0, in) })
			}
			if got := core.Healthy(); got != test.want {
				t.Errorf("healthy %v, want %v", got, test.want)
			}
		})
	}
}

// A process that begins in an outage takes requests, if only to send users away at once, unless it
// alone is cut off.
func TestHealthyDuringStoreOutage(t *testing.T) {
	for _, test := range []struct {
		name               string
		after              time.Duration
		reachableFromPeers []bool // whether the store is
		want               bool
	}{
		{"not known yet", time.Second, []bool{false, false}, false},
		{"an outage that all see", 4 * time.Second, []bool{false, false}, true},
		{"it alone is cut off", 4 * time.Second, []bool{false, true}, false},
		{"no peer sends a status", 4 * time.Second, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := steptest.StartTime
			config := steptest.Config()
			config.PeerCount = 2
			core := New(config, now)
			for core.ctx.Since(1) < test.after {
				core.Step(now, step.Tick{})
				core.Step(now, step.LoadRecordsResult{Err: errStoreUnreachable})
				reportStoreReachable(test.reachableFromPeers, func(in step.Input) { core.Step(now, in) })
				now.Monotonic = now.Monotonic.Add(500 * time.Millisecond)
				core.Step(now, step.Tick{})
			}
			if got := core.Healthy(); got != test.want {
				t.Errorf("healthy %v, want %v", got, test.want)
			}
		})
	}
}
