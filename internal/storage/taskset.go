package storage

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

type interval struct{ lo, hi int } // both within

// TaskSet is a set of task numbers, written as "0-5,7".
type TaskSet struct{ intervals []interval }

// TaskRange is the set lo..hi.
func TaskRange(lo, hi int) TaskSet { return TaskSet{[]interval{{lo, hi}}} }

// search gives the index of the first span that ends at or behind n.
func (r TaskSet) search(n int) int {
	return sort.Search(len(r.intervals), func(i int) bool { return r.intervals[i].hi >= n })
}

// Has tells whether n is in the set.
func (r TaskSet) Has(n int) bool {
	i := r.search(n)
	return i < len(r.intervals) && r.intervals[i].lo <= n
}

// Len counts the numbers in the set.
func (r TaskSet) Len() int {
	n := 0
	for _, s := range r.intervals {
		n += s.hi - s.lo + 1
	}
	return n
}

// IntervalCount counts the pieces of the set's written form.
func (r TaskSet) IntervalCount() int { return len(r.intervals) }

// Add gives the set with n. Sets are values: r stays as it is.
func (r TaskSet) Add(n int) TaskSet {
	if r.Has(n) {
		return r
	}
	i := r.search(n)
	out := make([]interval, 0, len(r.intervals)+1)
	out = append(out, r.intervals[:i]...)
	out = append(out, interval{n, n})
	out = append(out, r.intervals[i:]...)
	if i+1 < len(out) && out[i+1].lo == n+1 {
		out[i].hi = out[i+1].hi
		out = append(out[:i+1], out[i+2:]...)
	}
	if i > 0 && out[i-1].hi == n-1 {
		out[i-1].hi = out[i].hi
		out = append(out[:i], out[i+1:]...)
	}
	return TaskSet{out}
}

// Remove gives the set without n.
func (r TaskSet) Remove(n int) TaskSet {
	if !r.Has(n) {
		return r
	}
	i := r.search(n)
	out := make([]interval, 0, len(r.intervals)+1)
	out = append(out, r.intervals[:i]...)
	if s := r.intervals[i]; s.lo < n {
		out = append(out, interval{s.lo, n - 1})
	}
	if s := r.intervals[i]; s.hi > n {
		out = append(out, interval{n + 1, s.hi})
	}
	return TaskSet{append(out, r.intervals[i+1:]...)}
}

// Union gives the numbers of both.
func (r TaskSet) Union(other TaskSet) TaskSet {
	if len(r.intervals) == 0 {
		return other
	}
	if len(other.intervals) == 0 {
		return r
	}
	all := append(append(make([]interval, 0, len(r.intervals)+len(other.intervals)), r.intervals...), other.intervals...)
	sort.Slice(all, func(i, k int) bool { return all[i].lo < all[k].lo })
	out := all[:1]
	for _, s := range all[1:] {
		last := &out[len(out)-1]
		if s.lo > last.hi+1 {
			out = append(out, s)
		} else if s.hi > last.hi {
			last.hi = s.hi
		}
	}
	return TaskSet{out}
}

// Each calls f for the numbers in order until it returns false.
func (r TaskSet) Each(f func(n int) bool) {
	for _, s := range r.intervals {
		for n := s.lo; n <= s.hi; n++ {
			if !f(n) {
				return
			}
		}
	}
}

// FirstMissing gives the first max numbers below n that are not in the set.
func (r TaskSet) FirstMissing(end, count int) []int {
	var out []int
	next := 0
	for _, s := range append(r.intervals[:len(r.intervals):len(r.intervals)], interval{end, end}) {
		for ; next < s.lo && next < end && len(out) < count; next++ {
			out = append(out, next)
		}
		next = s.hi + 1
	}
	return out
}

func (r TaskSet) String() string {
	var b []byte
	for i, s := range r.intervals {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(s.lo), 10)
		if s.hi > s.lo {
			b = append(b, '-')
			b = strconv.AppendInt(b, int64(s.hi), 10)
		}
	}
	return string(b)
}

// MarshalText writes the set's short form.
func (r TaskSet) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// IsZero tells whether the set is empty.
func (r TaskSet) IsZero() bool { return len(r.intervals) == 0 }

// UnmarshalText reads the set's short form, or its compact one.
func (r *TaskSet) UnmarshalText(text []byte) error {
	r.intervals = nil
	if len(text) == 0 {
		return nil
	}
	if text[0] == runLengthTag || text[0] == bitmapTag {
		return r.parseCompact(text)
	}
	for _, part := range strings.Split(string(text), ",") {
		first, last, isInterval := strings.Cut(part, "-")
		lo, err := strconv.Atoi(first)
		hi := lo
		if isInterval && err == nil {
			hi, err = strconv.Atoi(last)
		}
		if err != nil || lo < 0 || hi < lo || len(r.intervals) > 0 && lo <= r.intervals[len(r.intervals)-1].hi {
			return fmt.Errorf("malformed ranges %q", text)
		}
		r.intervals = append(r.intervals, interval{lo, hi})
	}
	return nil
}
