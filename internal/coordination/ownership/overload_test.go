package ownership

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
)

// A process is overloaded only if its ticks are late for several seconds in a row. Neither a process pause
// nor a short peak is an overload.
func TestOverloadDetector(t *testing.T) {
	const onTime, late = 50 * time.Millisecond, 400 * time.Millisecond
	type phase struct {
		interval time.Duration
		ticks    int
	}
	for _, test := range []struct {
		name            string
		phases          []phase
		wantFallsBehind bool
		wantOverloaded  bool
	}{
		{"on time", []phase{{onTime, 400}}, false, false},
		{"always late", []phase{{late, 400}}, true, true},
		{"one process pause", []phase{{onTime, 100}, {20 * time.Second, 1}, {onTime, 2}}, false, false},
		{"short peak", []phase{{onTime, 100}, {late, 20}}, true, false},
		{"recovered after an overload", []phase{{late, 400}, {onTime, 100}}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector := &OverloadDetector{Context: &step.Context{Now: step.Now{Monotonic: 1}}}
			for _, phase := range test.phases {
				for range phase.ticks {
					detector.Now.Monotonic = detector.Now.Monotonic.Add(phase.interval)
					detector.RecordTick()
				}
			}
			if detector.isFallingBehind() != test.wantFallsBehind || detector.IsOverloaded() != test.wantOverloaded {
				t.Errorf("isFallingBehind() = %v and IsOverloaded() = %v, want wantFallsBehind and wantOverloaded of the case; mean tick interval %v",
					detector.isFallingBehind(), detector.IsOverloaded(), detector.meanTickInterval)
			}
		})
	}
}
