package sharding

import (
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// The successor takes over a shard earlier than other controllers, and each controller takes over
// earlier if an agent of the shard waits for a response from it.
func TestIsFailoverDue(t *testing.T) {
	for _, test := range []struct {
		name                      string
		expiredFor                time.Duration
		isSuccessor, hasHeartbeat bool
		want                      bool
	}{
		{"successor with heartbeat, too early", 900 * time.Millisecond, true, true, false},
		{"successor with heartbeat", 1100 * time.Millisecond, true, true, true},
		{"successor, too early", 1100 * time.Millisecond, true, false, false},
		{"successor", 1500 * time.Millisecond, true, false, true},
		{"other controller with heartbeat, too early", 3900 * time.Millisecond, false, true, false},
		{"other controller with heartbeat", 4100 * time.Millisecond, false, true, true},
		{"other controller, too early", 14 * time.Second, false, false, false},
		{"other controller", 16 * time.Second, false, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := IsFailoverDue(test.expiredFor, test.isSuccessor, test.hasHeartbeat); got != test.want {
				t.Errorf("case %+v: IsFailoverDue returned %v, want the opposite", test, got)
			}
		})
	}
}

// The keys of a dead controller are spread over the live controllers, and the keys of the live
// controllers keep their successor.
func TestSuccessor(t *testing.T) {
	all := []protocol.ControllerID{"a", "b", "c", "d"}
	inherited := map[protocol.ControllerID]int{}
	for i := range 400 {
		key := fmt.Sprintf("t/p/x-%d", i)
		before, after := Successor(all, key), Successor(all[:3], key)
		if before != "d" && before != after {
			t.Errorf("the successor of %s changed from %s to %s, although the former is alive", key, before, after)
		}
		if before == "d" {
			inherited[after]++
		}
	}
	for _, controller := range all[:3] {
		if inherited[controller] < 15 {
			t.Errorf("keys inherited from the dead controller: %v, want at least 15 for each live controller", inherited)
		}
	}
	if Successor(nil, "k") != "" {
		t.Error("Successor returned a controller although no controller is alive")
	}
}

// A shard is handed off only if most of its machines, and more than twice as many as still reach the
// owner, send their heartbeats to the other controller.
func TestShouldHandOffShard(t *testing.T) {
	for _, test := range []struct {
		name                                string
		machines, misdirected, heartbeating int
		want                                bool
	}{
		{"most machines are misdirected", 10, 6, 0, true},
		{"half of the machines are misdirected", 10, 5, 0, false},
		{"too many machines still reach the owner", 10, 6, 3, false},
		{"too few machines", 2, 2, 0, false},
		{"few machines, one reaches the owner", 3, 3, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ShouldHandOffShard(test.machines, test.misdirected, test.heartbeating); got != test.want {
				t.Errorf("case %+v: ShouldHandOffShard returned %v, want the opposite", test, got)
			}
		})
	}
}
