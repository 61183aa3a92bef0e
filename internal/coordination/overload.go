package coordination

import (
	"tillerarch/internal/protocol"
	"time"
)

// overloadDetector notices that this process falls behind: its ticks come late for seconds on end.
type overloadDetector struct {
	*stepContext

	lastTickAt       protocol.Instant // last tick
	meanTickInterval time.Duration    // mean distance of ticks
	overloadedSince  protocol.Instant // since when it is too long; 0: it is not
}

// measureOverload notes whether this process falls behind: its ticks, which are due every 50
// ms, come late for seconds on end. One that computes several times slower than the
// others gives pages away, before their workers lose patience and their leases.
func (d *overloadDetector) measureOverload() {
	gap := min(d.since(d.lastTickAt), time.Second)
	if d.lastTickAt != 0 {
		d.meanTickInterval += (gap - d.meanTickInterval) / 16
	}
	d.lastTickAt = d.now.Monotonic
	if d.meanTickInterval < overloadTickInterval {
		d.overloadedSince = 0
	} else if d.overloadedSince == 0 {
		d.overloadedSince = d.now.Monotonic
	}
}

// isOverloaded tells whether it has fallen behind for so long that it is no passing peak.
func (d *overloadDetector) isOverloaded() bool {
	return d.overloadedSince != 0 && d.since(d.overloadedSince) > 3*time.Second
}
