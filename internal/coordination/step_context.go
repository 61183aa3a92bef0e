package coordination

import (
	"log/slog"
	"math/rand/v2"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
)

// stepContext is what every part of the core works with during a step: the configuration,
// the time, the replica of the records, and the effects of the step so far. Only Core
// replaces the time and the effects, and only replicaSync replaces the replica.
type stepContext struct {
	cfg                   Config
	now                   Now
	effects               []Effect
	rng                   *rand.Rand
	replica               *storage.Replica
	resumedAt             protocol.Instant // when this process last went on after it had stood still
	lastStepAt            protocol.Instant // last step
	shouldRecheckDeferred bool             // something has changed that they may wait for
}

func (s *stepContext) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *stepContext) log(l slog.Level, msg string, args ...any) {
	s.emit(Log{Level: l, Message: msg, Args: args})
}

// limiterTime is the wall-free time as x/time/rate wants it.
func (s *stepContext) limiterTime() time.Time { return time.Unix(0, int64(s.now.Monotonic)) }

func (s *stepContext) since(t protocol.Instant) time.Duration { return s.now.Monotonic.Sub(t) }

// jitter gives d, give or take a quarter.
func (s *stepContext) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + s.rng.Float64()/2))
}

func (s *stepContext) reply(requestID RequestID, status int, body any) {
	s.emit(Reply{RequestID: requestID, Status: status, Body: protocol.Encode(body)})
}
