package step

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Now is the time as one step sees it.
type Now struct {
	Monotonic protocol.Instant
	Wall      protocol.Millis
}

// Context is what every part of the core works with during a step: the configuration,
// the time, the replica of the records, and the effects of the step so far. Only Core
// replaces the time and the effects, and only commit.Replication replaces the replica.
type Context struct {
	Config     Config
	Now        Now
	Effects    []Effect
	Rand       *rand.Rand // the only source of randomness, so that a seed determines all decisions
	Replica    *storage.Replica
	ResumedAt  protocol.Instant // when this process last resumed after a pause
	LastStepAt protocol.Instant // when the latest step began
	// ShouldRecheckDeferredHeartbeats tells that something has changed for which deferred heartbeat
	// responses may be waiting.
	ShouldRecheckDeferredHeartbeats bool
}

// Emit adds an effect to those of this step.
func (c *Context) Emit(e Effect) { c.Effects = append(c.Effects, e) }

// Log emits a line for the operator.
func (c *Context) Log(level slog.Level, message string, args ...any) {
	c.Emit(Log{Level: level, Message: message, Args: args})
}

// Reply emits the response to a request, with its body encoded.
func (c *Context) Reply(requestID RequestID, status int, body any) {
	c.Emit(Reply{
		RequestID: requestID,
		Status:    status,
		Body:      protocol.Encode(body),
	})
}

// LimiterTime is the monotonic time in the form that golang.org/x/time/rate asks for. It has
// no relation to the wall clock.
func (c *Context) LimiterTime() time.Time { return time.Unix(0, int64(c.Now.Monotonic)) }

// Since is the time that has passed from an instant to this step.
func (c *Context) Since(t protocol.Instant) time.Duration { return c.Now.Monotonic.Sub(t) }

// jitterShare is the part of a duration by which Jitter may vary it.
const jitterShare = 0.25

// Jitter varies a duration at random by up to a quarter in either direction.
func (c *Context) Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*c.Rand.Float64()))
}

// MillisToDuration converts the store's unit of time.
func MillisToDuration(m protocol.Millis) time.Duration { return time.Duration(m) * time.Millisecond }
