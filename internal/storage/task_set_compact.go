package storage

import (
	"encoding/binary"
	"fmt"
)

// The compact forms are for sets with many gaps, whose intervals would exceed the maximum size
// of a value in the store. The first byte of a compact form names one of two encodings. The rest
// is base64.
const (
	runLengthTag = '~' // alternating lengths of gaps and intervals, as varints
	bitmapTag    = '*' // one bit for each index, starting with index 0
)

// maxCompactIndex is the maximum index in a run-length encoded set that is decoded.
const maxCompactIndex = 1 << 20

// compactText returns the shortest encoding of the set.
func (s TaskSet) compactText() string {
	shortest := s.String()
	for _, form := range []string{s.runLengthText(), s.bitmapText()} {
		if len(form) < len(shortest) {
			shortest = form
		}
	}
	return shortest
}

// runLengthText encodes the set as alternating lengths of gaps and of intervals. An interval's
// length is encoded less one.
func (s TaskSet) runLengthText() string {
	var runs []byte
	next := 0
	for _, iv := range s.intervals {
		runs = binary.AppendUvarint(runs, uint64(iv.lo-next))
		runs = binary.AppendUvarint(runs, uint64(iv.hi-iv.lo))
		next = iv.hi + 1
	}
	return string(runLengthTag) + packedEncoding.EncodeToString(runs)
}

// bitmapText encodes the set as a bitmap. The last byte of the bitmap contains the highest index.
func (s TaskSet) bitmapText() string {
	if len(s.intervals) == 0 {
		return string(bitmapTag)
	}
	bitmap := make([]byte, s.intervals[len(s.intervals)-1].hi/8+1)
	s.Each(func(index int) bool {
		bitmap[index/8] |= 1 << (index % 8)
		return true
	})
	return string(bitmapTag) + packedEncoding.EncodeToString(bitmap)
}

// parseCompact adds the intervals of a compact form to the empty set s. The first byte of the
// text must be the tag of one of the two forms.
func (s *TaskSet) parseCompact(text []byte) error {
	data, err := packedEncoding.DecodeString(string(text[1:]))
	if err != nil {
		return fmt.Errorf("%w %q: %w", errMalformedTaskSet, text, err)
	}
	if text[0] == runLengthTag {
		return s.parseRunLengths(data)
	}
	s.parseBitmap(data)
	return nil
}

// parseBitmap adds the intervals of a decoded bitmap to the empty set s.
func (s *TaskSet) parseBitmap(bitmap []byte) {
	for index := range 8 * len(bitmap) {
		switch last := len(s.intervals) - 1; {
		case bitmap[index/8]&(1<<(index%8)) == 0:
		case last >= 0 && s.intervals[last].hi == index-1:
			s.intervals[last].hi = index
		default:
			s.intervals = append(s.intervals, interval{index, index})
		}
	}
}

// parseRunLengths adds the intervals of decoded run lengths to the empty set s.
func (s *TaskSet) parseRunLengths(runs []byte) error {
	next := uint64(0)
	for len(runs) > 0 {
		gap, gapSize := binary.Uvarint(runs)
		if gapSize <= 0 {
			return fmt.Errorf("%w: invalid length of a gap", errMalformedTaskSet)
		}
		length, lengthSize := binary.Uvarint(runs[gapSize:])
		if lengthSize <= 0 {
			return fmt.Errorf("%w: invalid length of an interval", errMalformedTaskSet)
		}
		// The terms are compared with the limit one by one first, because their sum could overflow.
		if gap > maxCompactIndex || length > maxCompactIndex || next+gap+length > maxCompactIndex {
			return fmt.Errorf("%w: index above %d", errMalformedTaskSet, maxCompactIndex)
		}
		if gap == 0 && next > 0 {
			return fmt.Errorf("%w: no gap between two intervals", errMalformedTaskSet)
		}
		low := next + gap
		s.intervals = append(s.intervals, interval{int(low), int(low + length)})
		next = low + length + 1
		runs = runs[gapSize+lengthSize:]
	}
	return nil
}

// compactTaskSet is a TaskSet that is encoded in its shortest form.
type compactTaskSet struct{ TaskSet }

// MarshalText encodes the set as intervals or in a compact form, whichever is shortest.
func (s compactTaskSet) MarshalText() ([]byte, error) { return []byte(s.compactText()), nil }
