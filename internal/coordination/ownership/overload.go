package ownership

import (
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// overloadTickInterval is a mean distance of ticks that shows a process short of time: five
// times what it should be.
const overloadTickInterval = 250 * time.Millisecond

// OverloadDetector notices that this process falls behind: its ticks come late for seconds on end.
type OverloadDetector struct {
	*step.Context

	lastTickAt       protocol.Instant // last tick
	meanTickInterval time.Duration    // mean distance of ticks
	overloadedSince  protocol.Instant // since when it is too long; 0: it is not
}

// MeasureOverload notes whether this process falls behind: its ticks, which are due every 50
// ms, come late for seconds on end. One that computes several times slower than the
// others gives pages away, before their workers lose patience and their leases.
func (d *OverloadDetector) MeasureOverload() {
	gap := min(d.Since(d.lastTickAt), time.Second)
	if d.lastTickAt != 0 {
		d.meanTickInterval += (gap - d.meanTickInterval) / 16
	}
	d.lastTickAt = d.Now.Monotonic
	if d.meanTickInterval < overloadTickInterval {
		d.overloadedSince = 0
	} else if d.overloadedSince == 0 {
		d.overloadedSince = d.Now.Monotonic
	}
}

// IsOverloaded tells whether it has fallen behind for so long that it is no passing peak.
func (d *OverloadDetector) IsOverloaded() bool {
	return d.overloadedSince != 0 && d.Since(d.overloadedSince) > 3*time.Second
}
