package step

import (
	"cmp"
	"maps"
	"slices"
)

// SortedKeys lists the keys of a map in order: what a step does may depend on its inputs
// only, never on the order in which a map happens to be iterated.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// SelectKeys lists, in order, the keys whose values match. Only these are sorted, which makes
// it cheap where few entries of a large map match.
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
