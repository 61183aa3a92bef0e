package commit

import (
	"errors"
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// errNoUsableResponse stands for the failure of a transaction that has no error of its own.
var errNoUsableResponse = errors.New("no usable answer")

// StoreHealth records whether the key-value store answers this process.
type StoreHealth struct {
	*step.Context

	lastResponseAt        protocol.Instant // when the store last answered
	lastAnsweredRequestAt protocol.Instant // when the newest request that it has answered was sent
	consecutiveFailures   int              // requests in a row without an answer
	firstFailureAt        protocol.Instant // when the first of those failed
}

// IsAnswering tells whether the store has answered within a time and no request has failed
// since.
func (h *StoreHealth) IsAnswering(within time.Duration) bool {
	return h.HasAnsweredWithin(within) && h.consecutiveFailures == 0
}

// HasAnsweredWithin tells whether the store has answered within a time, whatever has failed
// since.
func (h *StoreHealth) HasAnsweredWithin(within time.Duration) bool {
	return h.Since(h.lastResponseAt) < within
}

// HasFailedFor tells whether requests have failed for at least a time, with no answer between.
func (h *StoreHealth) HasFailedFor(d time.Duration) bool {
	return h.consecutiveFailures > 0 && h.Since(h.firstFailureAt) >= d
}

// RecordContact records whether the store answered a request that was sent at an instant, and
// tells whether the request succeeded.
func (h *StoreHealth) RecordContact(requestedAt protocol.Instant, err error) bool {
	if isStoreResponse(err) {
		h.recordResponse(requestedAt)
		return err == nil
	}
	if h.consecutiveFailures == 0 {
		h.firstFailureAt = h.Now.Monotonic
		h.Log(slog.LevelWarn, "store unavailable", "error", err)
	}
	h.consecutiveFailures++
	return false
}

// isStoreResponse tells whether the store itself gave this result: some errors are responses.
func isStoreResponse(err error) bool {
	return err == nil || errors.Is(err, storage.ErrLeaseExpired) || errors.Is(err, storage.ErrRevisionTooOld)
}

func (h *StoreHealth) recordResponse(requestedAt protocol.Instant) {
	if h.consecutiveFailures > 0 {
		h.Log(slog.LevelInfo, "store available again", "count", h.consecutiveFailures)
	}
	h.lastResponseAt = h.Now.Monotonic
	h.lastAnsweredRequestAt = max(h.lastAnsweredRequestAt, requestedAt)
	h.consecutiveFailures = 0
}
