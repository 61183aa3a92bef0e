package bookkeeping

import (
	"encoding/binary"
	"fmt"
)

// The compact form of a set is for sets with many gaps, whose written ranges would
// outgrow a value of the state service. The first byte names one of two codings, the
// rest is base64.
const (
	compactRuns = '~' // lengths of gaps and spans in turn, as varints
	compactBits = '*' // a bit a number, from 0 on
)

// maxCompact bounds the numbers in a compact set that is read.
const maxCompact = 1 << 20

// compactText gives the shortest written form of the set.
func (r Ranges) compactText() string {
	best := r.String()
	for _, form := range []string{r.runsText(), r.bitsText()} {
		if len(form) < len(best) {
			best = form
		}
	}
	return best
}

func (r Ranges) runsText() string {
	var runs []byte
	next := 0
	for _, s := range r.s {
		runs = binary.AppendUvarint(runs, uint64(s.lo-next))
		runs = binary.AppendUvarint(runs, uint64(s.hi-s.lo))
		next = s.hi + 1
	}
	return string(compactRuns) + packedText.EncodeToString(runs)
}

func (r Ranges) bitsText() string {
	if len(r.s) == 0 {
		return string(compactBits)
	}
	bits := make([]byte, r.s[len(r.s)-1].hi/8+1)
	r.Each(func(n int) bool {
		bits[n/8] |= 1 << (n % 8)
		return true
	})
	return string(compactBits) + packedText.EncodeToString(bits)
}

// readCompact reads either compact form.
func (r *Ranges) readCompact(text []byte) error {
	data, err := packedText.DecodeString(string(text[1:]))
	if err != nil {
		return fmt.Errorf("malformed ranges %q: %w", text, err)
	}
	if text[0] == compactRuns {
		return r.readRuns(data)
	}
	r.readBits(data)
	return nil
}

func (r *Ranges) readBits(bits []byte) {
	for n := range 8 * len(bits) {
		switch last := len(r.s) - 1; {
		case bits[n/8]&(1<<(n%8)) == 0:
		case last >= 0 && r.s[last].hi == n-1:
			r.s[last].hi = n
		default:
			r.s = append(r.s, span{n, n})
		}
	}
}

func (r *Ranges) readRuns(runs []byte) error {
	next := uint64(0)
	for len(runs) > 0 {
		gap, n := binary.Uvarint(runs)
		if n <= 0 {
			return fmt.Errorf("malformed runs")
		}
		length, k := binary.Uvarint(runs[n:])
		if k <= 0 || gap > maxCompact || length > maxCompact || next+gap+length > maxCompact || gap == 0 && next > 0 {
			return fmt.Errorf("malformed runs")
		}
		low := next + gap
		r.s = append(r.s, span{int(low), int(low + length)})
		next = low + length + 1
		runs = runs[n+k:]
	}
	return nil
}

// compactRanges is a set that is written in its shortest form.
type compactRanges struct{ Ranges }

// MarshalText writes the set's shortest form.
func (r compactRanges) MarshalText() ([]byte, error) { return []byte(r.compactText()), nil }
