package ownership

import (
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

const (
	// overloadTickInterval is the mean interval of ticks at which a process counts as short of CPU time.
	// It is five times the interval at which ticks are due.
	overloadTickInterval = 250 * time.Millisecond
	// maxTickSample limits the contribution of one interval to the mean, because a process pause is no
	// overload.
	maxTickSample = time.Second
	// tickSmoothing is the approximate number of ticks that the mean extends over.
	tickSmoothing = 16
	// overloadDuration is the time for which the mean must stay too long, because a short peak is no
	// overload.
	overloadDuration = 3 * time.Second
)

// OverloadDetector detects that this process falls behind with its work. Ticks are due every 50 ms. In a
// process that is several times slower than the other controllers, ticks are late for seconds on end.
// Such a process transfers its shards before the leases of its agents expire.
type OverloadDetector struct {
	*step.Context

	lastTickAt       protocol.Instant
	meanTickInterval time.Duration
	overloadedSince  protocol.Instant // when the mean became too long, 0 if it is not too long
}

// RecordTick updates the mean interval with the time since the last tick.
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

// isFallingBehind reports whether the mean interval is too long now, even if only for a moment.
func (d *OverloadDetector) isFallingBehind() bool { return d.overloadedSince != 0 }

// IsOverloaded reports whether the mean interval has been too long for more than overloadDuration.
func (d *OverloadDetector) IsOverloaded() bool {
	return d.isFallingBehind() && d.Since(d.overloadedSince) > overloadDuration
}
