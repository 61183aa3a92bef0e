package sharding

import (
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

func TestIsFailoverDue(t *testing.T) {
	for _, test := range []struct {
		dead           time.Duration
		heir, reported bool
		want           bool
	}{
		{900 * time.Millisecond, true, true, false},
		{1100 * time.Millisecond, true, true, true},
		{1100 * time.Millisecond, true, false, false},
		{1500 * time.Millisecond, true, false, true},
		{3900 * time.Millisecond, false, true, false},
		{4100 * time.Millisecond, false, true, true},
		{14 * time.Second, false, false, false},
		{16 * time.Second, false, false, true},
	} {
		if got := IsFailoverDue(test.dead, test.heir, test.reported); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}

// A dead controller's keys are spread over the living ones, and those of the living stay
// where they are.
func TestSuccessor(t *testing.T) {
	all := []protocol.ControllerID{"a", "b", "c", "d"}
	inherited := map[protocol.ControllerID]int{}
	for i := range 400 {
		key := fmt.Sprintf("t/p/x-%d", i)
		before, after := Successor(all, key), Successor(all[:3], key)
		if before != "d" && before != after {
			t.Errorf("%s went from %s to %s", key, before, after)
		}
		if before == "d" {
			inherited[after]++
		}
	}
	for _, controller := range all[:3] {
		if inherited[controller] < 15 {
			t.Errorf("%v", inherited)
		}
	}
	if Successor(nil, "k") != "" {
		t.Error("nobody lives, and somebody inherits")
	}
}

func TestShouldHandOffShard(t *testing.T) {
	for _, test := range []struct {
		machines, elsewhere, talking int
		want                         bool
	}{{10, 6, 0, true}, {10, 5, 0, false}, {10, 6, 3, false}, {2, 2, 0, false}, {3, 3, 1, true}} {
		if got := ShouldHandOffShard(test.machines, test.elsewhere, test.talking); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}
