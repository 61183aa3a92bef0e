package step

import (
	"cmp"
	"maps"
	"slices"
)

// SortedKeys returns the keys of a map in ascending order. Steps use it instead of ranging over a
// map, because their effects must depend on their inputs only, never on Go's random map order.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// SelectKeys returns, in ascending order, the keys whose values match. Only these keys are sorted,
// so SelectKeys is cheap if few entries of a large map match.
func SelectKeys[K cmp.Ordered, V any](m map[K]V, matches func(V) bool) []K {
	var selected []K
	for key, value := range m {
		if matches(value) {
			selected = append(selected, key)
		}
	}
	slices.Sort(selected)
	return selected
}
