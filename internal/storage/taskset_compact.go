package storage

import (
	"encoding/binary"
	"fmt"
)

// The compact form of a set is for sets with many gaps, whose written ranges would
// outgrow a value of the state service. The first byte names one of two codings, the
// rest is base64.
const (
	runLengthTag = '~' // lengths of gaps and spans in turn, as varints
	bitmapTag    = '*' // a bit a number, from 0 on
)

// maxCompactIndex bounds the numbers in a compact set that is read.
const maxCompactIndex = 1 << 20

// compactText gives the shortest written form of the set.
func (r TaskSet) compactText() string {
	best := r.String()
	for _, form := range []string{r.runLengthText(), r.bitmapText()} {
		if len(form) < len(best) {
			best = form
		}
	}
	return best
}

func (r TaskSet) runLengthText() string {
	var runs []byte
	next := 0
	for _, s := range r.intervals {
		runs = binary.AppendUvarint(runs, uint64(s.lo-next))
		runs = binary.AppendUvarint(runs, uint64(s.hi-s.lo))
		next = s.hi + 1
	}
	return string(runLengthTag) + packedEncoding.EncodeToString(runs)
}

func (r TaskSet) bitmapText() string {
	if len(r.intervals) == 0 {
		return string(bitmapTag)
	}
	bitmap := make([]byte, r.intervals[len(r.intervals)-1].hi/8+1)
	r.Each(func(n int) bool {
		bitmap[n/8] |= 1 << (n % 8)
		return true
	})
	return string(bitmapTag) + packedEncoding.EncodeToString(bitmap)
}

// parseCompact reads either compact form.
func (r *TaskSet) parseCompact(text []byte) error {
	data, err := packedEncoding.DecodeString(string(text[1:]))
	if err != nil {
		return fmt.Errorf("malformed ranges %q: %w", text, err)
	}
	if text[0] == runLengthTag {
		return r.parseRunLengths(data)
	}
	r.parseBitmap(data)
	return nil
}

func (r *TaskSet) parseBitmap(bitmap []byte) {
	for n := range 8 * len(bitmap) {
		switch last := len(r.intervals) - 1; {
		case bitmap[n/8]&(1<<(n%8)) == 0:
		case last >= 0 && r.intervals[last].hi == n-1:
			r.intervals[last].hi = n
		default:
			r.intervals = append(r.intervals, interval{n, n})
		}
	}
}

func (r *TaskSet) parseRunLengths(runs []byte) error {
	next := uint64(0)
	for len(runs) > 0 {
		gap, gapBytes := binary.Uvarint(runs)
		if gapBytes <= 0 {
			return fmt.Errorf("malformed runs")
		}
		length, lengthBytes := binary.Uvarint(runs[gapBytes:])
		if lengthBytes <= 0 || gap > maxCompactIndex || length > maxCompactIndex || next+gap+length > maxCompactIndex || gap == 0 && next > 0 {
			return fmt.Errorf("malformed runs")
		}
		low := next + gap
		r.intervals = append(r.intervals, interval{int(low), int(low + length)})
		next = low + length + 1
		runs = runs[gapBytes+lengthBytes:]
	}
	return nil
}

// compactTaskSet is a set that is written in its shortest form.
type compactTaskSet struct{ TaskSet }

// MarshalText writes the set's shortest form.
func (r compactTaskSet) MarshalText() ([]byte, error) { return []byte(r.compactText()), nil }
