package step

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Context is what every part of the core works with during a step: the configuration,
// the time, the replica of the records, and the effects of the step so far. Only Core
// replaces the time and the effects, and only replicaSync replaces the replica.
type Context struct {
	Config                Config
	Now                   Now
	Effects               []Effect
	Rand                  *rand.Rand
	Replica               *storage.Replica
	ResumedAt             protocol.Instant // when this process last went on after it had stood still
	LastStepAt            protocol.Instant // last step
	ShouldRecheckDeferred bool             // something has changed that they may wait for
}

func (s *Context) Emit(e Effect) { s.Effects = append(s.Effects, e) }

func (s *Context) Log(l slog.Level, msg string, args ...any) {
	s.Emit(Log{Level: l, Message: msg, Args: args})
}

// LimiterTime is the wall-free time as x/time/rate wants it.
func (s *Context) LimiterTime() time.Time { return time.Unix(0, int64(s.Now.Monotonic)) }

func (s *Context) Since(t protocol.Instant) time.Duration { return s.Now.Monotonic.Sub(t) }

// Jitter gives d, give or take a quarter.
func (s *Context) Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + s.Rand.Float64()/2))
}

func (s *Context) Reply(requestID RequestID, status int, body any) {
	s.Emit(Reply{RequestID: requestID, Status: status, Body: protocol.Encode(body)})
}
