package storage

import (
	"encoding/binary"
	"fmt"
)

// The compact forms are for sets with many gaps, whose intervals would outgrow the size of a
// value in the store. The first byte names one of two encodings, the rest is base64.
const (
	runLengthTag = '~' // lengths of gaps and intervals in turn, as varints
	bitmapTag    = '*' // one bit for each index, from 0 on
)

// maxCompactIndex bounds the indexes in a run-length encoded set that is read.
const maxCompactIndex = 1 << 20

// compactText is the shortest encoding of the set.
func (s TaskSet) compactText() string {
	shortest := s.String()
	for _, form := range []string{s.runLengthText(), s.bitmapText()} {
		if len(form) < len(shortest) {
			shortest = form
		}
	}
	return shortest
}

// runLengthText encodes the set as the lengths of gaps and of intervals, the latter less one.
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

// bitmapText encodes the set as a bitmap that ends with the byte of the last index.
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

// parseCompact reads either compact form.
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

func (s *TaskSet) parseRunLengths(runs []byte) error {
	next := uint64(0)
	for len(runs) > 0 {
		gap, gapSize := binary.Uvarint(runs)
		if gapSize <= 0 {
			return fmt.Errorf("%w: truncated gap", errMalformedTaskSet)
		}
		length, lengthSize := binary.Uvarint(runs[gapSize:])
		if lengthSize <= 0 {
			return fmt.Errorf("%w: truncated interval", errMalformedTaskSet)
		}
		// Each by itself first: their sum could overflow.
		if gap > maxCompactIndex || length > maxCompactIndex || next+gap+length > maxCompactIndex {
			return fmt.Errorf("%w: indexes above %d", errMalformedTaskSet, maxCompactIndex)
		}
		if gap == 0 && next > 0 {
			return fmt.Errorf("%w: intervals without a gap", errMalformedTaskSet)
		}
		low := next + gap
		s.intervals = append(s.intervals, interval{int(low), int(low + length)})
		next = low + length + 1
		runs = runs[gapSize+lengthSize:]
	}
	return nil
}

// compactTaskSet is a set whose JSON form is the shortest one.
type compactTaskSet struct{ TaskSet }

// MarshalText encodes the set in its shortest form.
func (s compactTaskSet) MarshalText() ([]byte, error) { return []byte(s.compactText()), nil }
