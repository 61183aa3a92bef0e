package coordination

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
)

// reportStoreReachable passes a status of each peer to input. reachableFromPeers holds whether each
// peer reaches the store.
func reportStoreReachable(reachableFromPeers []bool, input func(step.Input)) {
	for i, reachable := range reachableFromPeers {
		controller := protocol.ControllerID(rune('a' + i))
		input(step.PeerStatusInput{Status: step.PeerStatus{ControllerID: controller, StoreReachable: reachable}})
	}
}

// A controller reports to the load balancer whether it can take requests.
func TestHealthy(t *testing.T) {
	for _, test := range []struct {
		name               string
		peerCount          int
		reachableFromPeers []bool // whether each peer reaches the store
		reachable          bool   // whether this controller reaches the store
		want               bool
	}{
		{"store reachable", 2, nil, true, true},
		{"outage that all controllers see", 2, []bool{false, false}, false, true},
		{"only this controller cut off from the store", 2, []bool{false, true}, false, false},
		{"no peer sends a status", 2, nil, false, false},
		{"only controller", 0, nil, false, true},
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
				reportStoreReachable(test.reachableFromPeers, func(input step.Input) { advance(0, input) })
			}
			if got := core.Healthy(); got != test.want {
				t.Errorf("healthy %v, want %v", got, test.want)
			}
		})
	}
}

// A process that starts during an outage of the store takes requests, if only to reject them at once,
// unless only this process is cut off from the store.
func TestHealthyDuringStoreOutage(t *testing.T) {
	for _, test := range []struct {
		name               string
		after              time.Duration // from the start of the process
		reachableFromPeers []bool        // whether each peer reaches the store
		want               bool
	}{
		{"outage not certain yet", time.Second, []bool{false, false}, false},
		{"outage that all controllers see", 4 * time.Second, []bool{false, false}, true},
		{"only this controller cut off from the store", 4 * time.Second, []bool{false, true}, false},
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
				reportStoreReachable(test.reachableFromPeers, func(input step.Input) { core.Step(now, input) })
				now.Monotonic = now.Monotonic.Add(500 * time.Millisecond)
				core.Step(now, step.Tick{})
			}
			if got := core.Healthy(); got != test.want {
				t.Errorf("healthy %v, want %v", got, test.want)
			}
		})
	}
}
