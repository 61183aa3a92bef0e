package sharding

import (
	"time"

	"tillerarch/internal/protocol"
)

// Delays before a controller takes over a shard, counted from when it found that the owner had
// ended. A controller with a weaker claim to the shard waits longer, so that the live
// controllers divide the shards of a dead controller among them.
const (
	successorHeartbeatDelay = time.Second             // for a successor that an agent of the shard sends heartbeats to
	successorDelay          = 1500 * time.Millisecond // for a successor without such a heartbeat
	heartbeatDelay          = 4 * time.Second         // for another controller with such a heartbeat
	fallbackDelay           = 15 * time.Second        // for any controller, because no other has taken over the shard
)

// IsFailoverDue reports whether a controller takes over a shard whose owner has been dead for
// expiredFor. isSuccessor means that the controller is the successor of the shard, and
// hasHeartbeat that an agent of the shard waits for a response from the controller.
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

// Successor returns the live controller with the highest rendezvous weight for a key. It returns
// an empty ID if no controller is alive. Rendezvous hashing spreads the keys of a dead controller
// over all others, and few keys change their successor when controllers start or end.
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
// that spreads the low bits of the hash. FNV-1a alone maps names that differ only in their last
// byte to numbers that are close together.
const (
	fnvOffset       = 14695981039346656037
	fnvPrime        = 1099511628211
	mixerMultiplier = 0x9e3779b97f4a7c15
)

// RendezvousWeight hashes two names to a number, for rendezvous hashing. Versions that run side
// by side must compute the same weights, because the weights decide which controller is the
// successor of a shard.
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
