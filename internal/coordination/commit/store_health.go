package commit

import (
	"errors"
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// StoreHealth records whether the key-value store answers this process.
type StoreHealth struct {
	*step.Context

	LastResponseAt        protocol.Instant // last answer
	lastAnsweredRequestAt protocol.Instant // when the newest request was sent that it has answered
	ConsecutiveFailures   int              // requests in a row without an answer
	FirstFailureAt        protocol.Instant // when the first of those was
}

// IsAnswering tells whether the store has answered within a time and no request has failed
// since.
func (h *StoreHealth) IsAnswering(within time.Duration) bool {
	return h.Since(h.LastResponseAt) < within && h.ConsecutiveFailures == 0
}

// RecordContact notes whether the state service answered what was asked at a time.
func (h *StoreHealth) RecordContact(requestedAt protocol.Instant, err error) bool {
	if err == nil || errors.Is(err, storage.ErrLeaseExpired) || errors.Is(err, storage.ErrRevisionTooOld) {
		if h.ConsecutiveFailures > 0 {
			h.Log(slog.LevelInfo, "store available again", "count", h.ConsecutiveFailures)
		}
		h.LastResponseAt, h.lastAnsweredRequestAt, h.ConsecutiveFailures = h.Now.Monotonic, max(h.lastAnsweredRequestAt, requestedAt), 0
		return err == nil
	}
	if h.ConsecutiveFailures == 0 {
		h.FirstFailureAt = h.Now.Monotonic
		h.Log(slog.LevelWarn, "store unavailable", "error", err.Error())
	}
	h.ConsecutiveFailures++
	return false
}
