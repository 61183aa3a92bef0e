package sharding

import (
	"time"

	"tillerarch/internal/protocol"
)

// Delays of a takeover, counted from when the run was seen to be dead. They grow with the
// right to the page, so that the living controllers share the pages of a dead one.
const (
	successorHeartbeatDelay = time.Second             // a worker of the page reports to the heir
	successorDelay          = 1500 * time.Millisecond // the heir, with no worker heard
	heartbeatDelay          = 4 * time.Second         // a worker reports to somebody else
	fallbackDelay           = 15 * time.Second        // nobody has acted
)

// IsFailoverDue tells whether a controller takes over a page of a run that has been dead for
// a time. heir: the page falls to it; reported: a worker of the page waits for an answer
// here.
func IsFailoverDue(expiredFor time.Duration, isSuccessor, hasHeartbeat bool) bool {
	if hasHeartbeat && (isSuccessor && expiredFor > successorHeartbeatDelay || expiredFor > heartbeatDelay) {
		return true
	}
	return isSuccessor && expiredFor >= successorDelay || expiredFor > fallbackDelay
}

// Successor is the controller to which a key falls: the living one of highest weight, so that
// the keys of a dead run are spread out, and few change their heir as controllers come
// and go.
func Successor(alive []protocol.ControllerID, key string) protocol.ControllerID {
	best, bestWeight := protocol.ControllerID(""), uint64(0)
	for _, controller := range alive {
		if weight := RendezvousWeight(string(controller), key); best == "" || weight > bestWeight {
			best, bestWeight = controller, weight
		}
	}
	return best
}

// RendezvousWeight mixes two names to a number, for rendezvous hashing.
func RendezvousWeight(a, b string) uint64 {
	hash := uint64(14695981039346656037)
	for _, s := range [2]string{a, b} {
		for i := 0; i < len(s); i++ {
			hash = (hash ^ uint64(s[i])) * 1099511628211
		}
	}
	hash ^= hash >> 31
	hash *= 0x9e3779b97f4a7c15
	return hash ^ hash>>29
}
