package commit

import (
	"errors"
	"log/slog"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// errNoUsableResponse is the error of a transaction that got no usable response and has no error of
// its own.
var errNoUsableResponse = errors.New("store gave no usable response")

// StoreHealth records whether the key-value store responds to this process.
type StoreHealth struct {
	*step.Context

	lastResponseAt        protocol.Instant // when the store last responded
	lastAnsweredRequestAt protocol.Instant // when the newest request with a response was sent
	consecutiveFailures   int              // consecutive requests without a response
	firstFailureAt        protocol.Instant // when the first of consecutiveFailures failed
}

// IsAnswering reports whether the store has responded within the given time and no request has failed
// since.
func (h *StoreHealth) IsAnswering(within time.Duration) bool {
	return h.HasAnsweredWithin(within) && h.consecutiveFailures == 0
}

// HasAnsweredWithin reports whether the store has responded within the given time, even if requests
// have failed since.
func (h *StoreHealth) HasAnsweredWithin(within time.Duration) bool {
	return h.Since(h.lastResponseAt) < within
}

// HasFailedFor reports whether requests have failed for at least d without a response in between.
func (h *StoreHealth) HasFailedFor(d time.Duration) bool {
	return h.consecutiveFailures > 0 && h.Since(h.firstFailureAt) >= d
}

// RecordContact records whether the store responded to a request that was sent at requestedAt and
// ended with err. It reports whether the request succeeded.
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

// isStoreResponse reports whether the result of a request came from the store. Some errors are
// responses of the store.
func isStoreResponse(err error) bool {
	return err == nil || errors.Is(err, storage.ErrLeaseExpired) || errors.Is(err, storage.ErrRevisionTooOld)
}

// recordResponse records that the store responded to a request that was sent at requestedAt.
func (h *StoreHealth) recordResponse(requestedAt protocol.Instant) {
	if h.consecutiveFailures > 0 {
		h.Log(slog.LevelInfo, "store available again", "count", h.consecutiveFailures)
	}
	h.lastResponseAt = h.Now.Monotonic
	h.lastAnsweredRequestAt = max(h.lastAnsweredRequestAt, requestedAt)
	h.consecutiveFailures = 0
}
