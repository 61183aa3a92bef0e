package shares

import (
	"time"

	"tillerarch/internal/protocol"
)

// Delays of a takeover, counted from when the run was seen to be dead. They grow with the
// right to the page, so that the living controllers share the pages of a dead one.
const (
	reportedHeirDelay = time.Second             // a worker of the page reports to the heir
	heirDelay         = 1500 * time.Millisecond // the heir, with no worker heard
	reportedDelay     = 4 * time.Second         // a worker reports to somebody else
	anyoneDelay       = 15 * time.Second        // nobody has acted
)

// TakeoverDue tells whether a controller takes over a page of a run that has been dead for
// a time. heir: the page falls to it; reported: a worker of the page waits for an answer
// here.
func TakeoverDue(dead time.Duration, heir, reported bool) bool {
	if reported && (heir && dead > reportedHeirDelay || dead > reportedDelay) {
		return true
	}
	return heir && dead >= heirDelay || dead > anyoneDelay
}

// Heir is the controller to which a key falls: the living one of highest weight, so that
// the keys of a dead run are spread out, and few change their heir as controllers come
// and go.
func Heir(living []protocol.Member, key string) protocol.Member {
	best, bestWeight := protocol.Member(""), uint64(0)
	for _, member := range living {
		if w := Weight(string(member), key); best == "" || w > bestWeight {
			best, bestWeight = member, w
		}
	}
	return best
}

// Weight mixes two names to a number, for rendezvous hashing.
func Weight(a, b string) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range [2]string{a, b} {
		for i := 0; i < len(s); i++ {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
	}
	h ^= h >> 31
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}
