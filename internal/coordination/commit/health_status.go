package commit

import "time"

// HasFailedFor tells whether no request has been answered since one failed, at least so long ago.
func (h *StoreHealth) HasFailedFor(duration time.Duration) bool {
	return h.ConsecutiveFailures > 0 && h.Since(h.FirstFailureAt) >= duration
}

// HasAnsweredWithin tells whether the store has answered within a time, whatever has failed since.
func (h *StoreHealth) HasAnsweredWithin(within time.Duration) bool {
	return h.Since(h.LastResponseAt) < within
}
