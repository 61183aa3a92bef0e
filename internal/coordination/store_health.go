package coordination

import (
	"errors"
	"log/slog"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
)

// storeHealth records whether the key-value store answers this process.
type storeHealth struct {
	*stepContext

	lastResponseAt        protocol.Instant // last answer
	lastAnsweredRequestAt protocol.Instant // when the newest request was sent that it has answered
	consecutiveFailures   int              // requests in a row without an answer
	firstFailureAt        protocol.Instant // when the first of those was
}

// isAnswering tells whether the store has answered within a time and no request has failed
// since.
func (h *storeHealth) isAnswering(within time.Duration) bool {
	return h.since(h.lastResponseAt) < within && h.consecutiveFailures == 0
}

// recordContact notes whether the state service answered what was asked at a time.
func (h *storeHealth) recordContact(requestedAt protocol.Instant, err error) bool {
	if err == nil || errors.Is(err, storage.ErrLeaseExpired) || errors.Is(err, storage.ErrRevisionTooOld) {
		if h.consecutiveFailures > 0 {
			h.log(slog.LevelInfo, "store available again", "count", h.consecutiveFailures)
		}
		h.lastResponseAt, h.lastAnsweredRequestAt, h.consecutiveFailures = h.now.Monotonic, max(h.lastAnsweredRequestAt, requestedAt), 0
		return err == nil
	}
	if h.consecutiveFailures == 0 {
		h.firstFailureAt = h.now.Monotonic
		h.log(slog.LevelWarn, "store unavailable", "error", err.Error())
	}
	h.consecutiveFailures++
	return false
}
