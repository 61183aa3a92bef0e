package step

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tillerarch/internal/protocol"
)

// SortedKeys lists a map's keys in order: what a step does depends on its inputs
// only, never on the order in which a map happens to be walked.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// SelectKeys lists, in order, the keys whose values are to be looked at.
func SelectKeys[K cmp.Ordered, V any](m map[K]V, matches func(V) bool) []K {
	var out []K
	for k, v := range m {
		if matches(v) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

func MillisToDuration(m protocol.Millis) time.Duration { return time.Duration(m) * time.Millisecond }

// MaxMisdirectedPerStatus is how many machines of others one hint names: what fits into a frame beside
// the withdrawals, for all versions.
const MaxMisdirectedPerStatus = 200
