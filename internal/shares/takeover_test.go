package shares

import (
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

func TestTakeoverDue(t *testing.T) {
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
		if got := TakeoverDue(test.dead, test.heir, test.reported); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}

// A dead controller's keys are spread over the living ones, and those of the living stay
// where they are.
func TestHeir(t *testing.T) {
	all := []protocol.Member{"a", "b", "c", "d"}
	given := map[protocol.Member]int{}
	for i := range 400 {
		key := fmt.Sprintf("t/p/x-%d", i)
		before, after := Heir(all, key), Heir(all[:3], key)
		if before != "d" && before != after {
			t.Errorf("%s went from %s to %s", key, before, after)
		}
		if before == "d" {
			given[after]++
		}
	}
	for _, m := range all[:3] {
		if given[m] < 15 {
			t.Errorf("%v", given)
		}
	}
	if Heir(nil, "k") != "" {
		t.Error("nobody lives, and somebody inherits")
	}
}

func TestWholePage(t *testing.T) {
	for _, test := range []struct {
		machines, elsewhere, talking int
		want                         bool
	}{{10, 6, 0, true}, {10, 5, 0, false}, {10, 6, 3, false}, {2, 2, 0, false}, {3, 3, 1, true}} {
		if got := WholePage(test.machines, test.elsewhere, test.talking); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}
