package ownership

import (
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

const (
	// overloadTickInterval is a mean interval of ticks that shows a process short of CPU time:
	// five times what it should be.
	overloadTickInterval = 250 * time.Millisecond
	// maxTickSample bounds what one interval adds to the mean: a process pause is no overload.
	maxTickSample = time.Second
	// tickSmoothing is how many ticks the mean extends over, about.
	tickSmoothing = 16
	// overloadDuration is how long the mean must be too long: a passing peak is no overload.
	overloadDuration = 3 * time.Second
)

// OverloadDetector detects that this process falls behind. Its ticks are due every 50 ms. A process that
// is several times slower than the other controllers has them late for seconds on end, and transfers
// its shards before the leases of its agents expire.
type OverloadDetector struct {
	*step.Context

	lastTickAt       protocol.Instant
	meanTickInterval time.Duration
	overloadedSince  protocol.Instant // since when the mean has been too long; 0: it is not
}

// RecordTick updates the mean with the interval since the last tick.
func (d *OverloadDetector) RecordTick() {
	interval := min(d.Since(d.lastTickAt), maxTickSample)
	if d.lastTickAt != 0 {
		d.meanTickInterval += (interval - d.meanTickInterval) / tickSmoothing
	}
	d.lastTickAt = d.Now.Monotonic
	if d.meanTickInterval < overloadTickInterval {
		d.overloadedSince = 0
	} else if d.overloadedSince == 0 {
		d.overloadedSince = d.Now.Monotonic
	}
}

// isFallingBehind tells whether ticks are late now, even if only for a moment.
func (d *OverloadDetector) isFallingBehind() bool { return d.overloadedSince != 0 }

// IsOverloaded tells whether ticks have been late for longer than a passing peak lasts.
func (d *OverloadDetector) IsOverloaded() bool {
	return d.isFallingBehind() && d.Since(d.overloadedSince) > overloadDuration
}
