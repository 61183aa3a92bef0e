package step

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Now holds the current time, which does not change during a step.
type Now struct {
	Monotonic protocol.Instant
	Wall      protocol.Millis
}

// Context holds the state that all parts of the core share during a step: the configuration, the
// time, the replica of the records, and the effects of the step so far. Only Core replaces the
// time and the effects, and only commit.Replication replaces the replica.
type Context struct {
	Config     Config
	Now        Now
	Effects    []Effect
	Rand       *rand.Rand // the only source of randomness, so that the seed determines all decisions
	Replica    *storage.Replica
	ResumedAt  protocol.Instant // when this process last resumed after a pause
	LastStepAt protocol.Instant // when the latest step began
	// ShouldRecheckDeferredHeartbeats reports whether something has changed that deferred heartbeat
	// responses may be waiting for.
	ShouldRecheckDeferredHeartbeats bool
}

// Emit adds an effect to the effects of this step.
func (c *Context) Emit(effect Effect) { c.Effects = append(c.Effects, effect) }

// Log emits a log line for the operator.
func (c *Context) Log(level slog.Level, message string, args ...any) {
	c.Emit(Log{Level: level, Message: message, Args: args})
}

// Reply emits the response to a request and encodes body as JSON.
func (c *Context) Reply(requestID RequestID, status int, body any) {
	c.Emit(Reply{
		RequestID: requestID,
		Status:    status,
		Body:      protocol.Encode(body),
	})
}

// LimiterTime returns the monotonic time in the form that golang.org/x/time/rate requires. The
// result has no relation to the wall clock.
func (c *Context) LimiterTime() time.Time { return time.Unix(0, int64(c.Now.Monotonic)) }

// Since returns the time elapsed between t and this step.
func (c *Context) Since(t protocol.Instant) time.Duration { return c.Now.Monotonic.Sub(t) }

// jitterFraction is the fraction of a duration by which Jitter may lengthen or shorten it.
const jitterFraction = 0.25

// Jitter returns d lengthened or shortened at random by up to a quarter.
func (c *Context) Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction + 2*jitterFraction*c.Rand.Float64()))
}

// MillisToDuration converts the unit of time of the store's records to a time.Duration.
func MillisToDuration(m protocol.Millis) time.Duration { return time.Duration(m) * time.Millisecond }
