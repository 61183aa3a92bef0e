package storage

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// errMalformedTaskSet is wrapped by the errors about a task set that cannot be parsed.
var errMalformedTaskSet = errors.New("malformed task set")

// interval is the range of the task indexes from lo to hi, both included.
type interval struct{ lo, hi int }

// TaskSet is a set of task indexes, encoded as "0-5,7". Its intervals are sorted and
// disjoint. A TaskSet is used as a value: only UnmarshalText changes its receiver. The zero
// value is the empty set.
type TaskSet struct{ intervals []interval }

// TaskRange returns the set of the indexes from lo to hi, both included.
func TaskRange(lo, hi int) TaskSet { return TaskSet{[]interval{{lo, hi}}} }

// firstIntervalNotBefore returns the position of the first interval that ends at index or
// later. If there is none, it returns the number of intervals.
func (s TaskSet) firstIntervalNotBefore(index int) int {
	return sort.Search(len(s.intervals), func(i int) bool { return s.intervals[i].hi >= index })
}

// Contains reports whether index is in the set.
func (s TaskSet) Contains(index int) bool {
	position := s.firstIntervalNotBefore(index)
	return position < len(s.intervals) && s.intervals[position].lo <= index
}

// Len returns the number of indexes in the set.
func (s TaskSet) Len() int {
	count := 0
	for _, iv := range s.intervals {
		count += iv.hi - iv.lo + 1
	}
	return count
}

// IntervalCount returns the number of intervals in the set.
func (s TaskSet) IntervalCount() int { return len(s.intervals) }

// Add returns a set that contains the indexes of s and index.
func (s TaskSet) Add(index int) TaskSet {
	if s.Contains(index) {
		return s
	}
	position := s.firstIntervalNotBefore(index)
	intervals := make([]interval, 0, len(s.intervals)+1)
	intervals = append(intervals, s.intervals[:position]...)
	intervals = append(intervals, interval{index, index})
	intervals = append(intervals, s.intervals[position:]...)
	if position+1 < len(intervals) && intervals[position+1].lo == index+1 {
		intervals[position].hi = intervals[position+1].hi
		intervals = append(intervals[:position+1], intervals[position+2:]...)
	}
	if position > 0 && intervals[position-1].hi == index-1 {
		intervals[position-1].hi = intervals[position].hi
		intervals = append(intervals[:position], intervals[position+1:]...)
	}
	return TaskSet{intervals}
}

// Remove returns a set that contains the indexes of s except index.
func (s TaskSet) Remove(index int) TaskSet {
	if !s.Contains(index) {
		return s
	}
	position := s.firstIntervalNotBefore(index)
	intervals := make([]interval, 0, len(s.intervals)+1)
	intervals = append(intervals, s.intervals[:position]...)
	if iv := s.intervals[position]; iv.lo < index {
		intervals = append(intervals, interval{iv.lo, index - 1})
	}
	if iv := s.intervals[position]; iv.hi > index {
		intervals = append(intervals, interval{index + 1, iv.hi})
	}
	return TaskSet{append(intervals, s.intervals[position+1:]...)}
}

// Union returns the set of the indexes that are in s, in other or in both.
func (s TaskSet) Union(other TaskSet) TaskSet {
	if len(s.intervals) == 0 {
		return other
	}
	if len(other.intervals) == 0 {
		return s
	}
	all := make([]interval, 0, len(s.intervals)+len(other.intervals))
	all = append(all, s.intervals...)
	all = append(all, other.intervals...)
	sort.Slice(all, func(i, j int) bool { return all[i].lo < all[j].lo })
	merged := all[:1]
	for _, iv := range all[1:] {
		last := &merged[len(merged)-1]
		if iv.lo > last.hi+1 {
			merged = append(merged, iv)
		} else if iv.hi > last.hi {
			last.hi = iv.hi
		}
	}
	return TaskSet{merged}
}

// Each calls yield for each index of the set in ascending order until yield returns false.
func (s TaskSet) Each(yield func(index int) bool) {
	for _, iv := range s.intervals {
		for index := iv.lo; index <= iv.hi; index++ {
			if !yield(index) {
				return
			}
		}
	}
}

// FirstMissing returns the lowest indexes below end that are not in the set, at most count of
// them.
func (s TaskSet) FirstMissing(end, count int) []int {
	var missing []int
	next := 0
	// The capacity is limited to the length so that append copies the intervals of the set.
	intervals := s.intervals[:len(s.intervals):len(s.intervals)]
	for _, iv := range append(intervals, interval{end, end}) {
		for ; next < iv.lo && next < end && len(missing) < count; next++ {
			missing = append(missing, next)
		}
		next = iv.hi + 1
	}
	return missing
}

// String returns the set encoded as intervals, such as "0-5,7".
func (s TaskSet) String() string {
	var text []byte
	for i, iv := range s.intervals {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, int64(iv.lo), 10)
		if iv.hi > iv.lo {
			text = append(text, '-')
			text = strconv.AppendInt(text, int64(iv.hi), 10)
		}
	}
	return string(text)
}

// MarshalText encodes the set as intervals.
func (s TaskSet) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// IsZero reports whether the set is empty.
func (s TaskSet) IsZero() bool { return len(s.intervals) == 0 }

// UnmarshalText decodes a set that is encoded as intervals or in one of the compact forms.
func (s *TaskSet) UnmarshalText(text []byte) error {
	s.intervals = nil
	if len(text) == 0 {
		return nil
	}
	if text[0] == runLengthTag || text[0] == bitmapTag {
		return s.parseCompact(text)
	}
	for _, part := range strings.Split(string(text), ",") {
		iv, err := parseInterval(part)
		if err != nil {
			return fmt.Errorf("%w %q: %w", errMalformedTaskSet, text, err)
		}
		if last := len(s.intervals) - 1; last >= 0 && iv.lo <= s.intervals[last].hi {
			return fmt.Errorf("%w %q: %q does not lie after the previous interval", errMalformedTaskSet, text, part)
		}
		s.intervals = append(s.intervals, iv)
	}
	return nil
}

// parseInterval parses an interval such as "7" or "0-5".
func parseInterval(text string) (iv interval, err error) {
	first, last, isRange := strings.Cut(text, "-")
	if iv.lo, err = strconv.Atoi(first); err != nil {
		return iv, err
	}
	iv.hi = iv.lo
	if isRange {
		if iv.hi, err = strconv.Atoi(last); err != nil {
			return iv, err
		}
	}
	if iv.lo < 0 || iv.hi < iv.lo {
		return iv, fmt.Errorf("%q is not an interval of ascending indexes", text)
	}
	return iv, nil
}
