package sharding

import (
	"time"

	"tillerarch/internal/protocol"
)

// Delays of a failover, counted from when the incarnation was seen to be dead. They grow as
// the right to the shard weakens, so that the live controllers divide the shards of a dead
// one among them.
const (
	successorHeartbeatDelay = time.Second             // successor that an agent of the shard sends heartbeats to
	successorDelay          = 1500 * time.Millisecond // successor without such a heartbeat
	heartbeatDelay          = 4 * time.Second         // another controller with such a heartbeat
	fallbackDelay           = 15 * time.Second        // any controller: nobody else has acted
)

// IsFailoverDue tells whether a controller takes over a shard whose owner has been dead for a
// time. isSuccessor: it is the shard's successor; hasHeartbeat: an agent of the shard waits
// for a response from it.
func IsFailoverDue(expiredFor time.Duration, isSuccessor, hasHeartbeat bool) bool {
	switch {
	case isSuccessor && hasHeartbeat && expiredFor > successorHeartbeatDelay:
		return true
	case isSuccessor && expiredFor >= successorDelay:
		return true
	case hasHeartbeat && expiredFor > heartbeatDelay:
		return true
	}
	return expiredFor > fallbackDelay
}

// Successor is the live controller of highest rendezvous weight for a key, or empty if none is
// alive: the keys of a dead controller are spread over all others, and few keys change their
// successor as controllers come and go.
func Successor(alive []protocol.ControllerID, key string) protocol.ControllerID {
	best, bestWeight := protocol.ControllerID(""), uint64(0)
	for _, controller := range alive {
		if weight := RendezvousWeight(string(controller), key); best == "" || weight > bestWeight {
			best, bestWeight = controller, weight
		}
	}
	return best
}

// Parameters of the 64-bit FNV-1a hash, and an odd multiplier (2^64 divided by the golden ratio)
// that spreads its low bits: FNV alone leaves names that differ in their last byte close together.
const (
	fnvOffset       = 14695981039346656037
	fnvPrime        = 1099511628211
	mixerMultiplier = 0x9e3779b97f4a7c15
)

// RendezvousWeight mixes two names to a number, for rendezvous hashing. Versions that
// run side by side must agree on it: it decides which of them is a shard's successor.
func RendezvousWeight(a, b string) uint64 {
	hash := uint64(fnvOffset)
	for _, s := range [2]string{a, b} {
		for i := 0; i < len(s); i++ {
			hash = (hash ^ uint64(s[i])) * fnvPrime
		}
	}
	hash ^= hash >> 31
	hash *= mixerMultiplier
	return hash ^ hash>>29
}
