package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
)

const (
	frameLengthBytes = 4        // big endian, in front of the value
	maxFrameBytes    = 16 << 10 // of the value
)

// Errors of frames.
var (
	ErrFrameTooLong   = errors.New("frame too long")
	ErrMalformedFrame = errors.New("malformed frame")
)

// AppendFrame appends a value as one frame. Each frame is a gob stream of its own, so
// that a lost one harms no other.
func AppendFrame(b []byte, v any) ([]byte, error) {
	var value bytes.Buffer
	if err := gob.NewEncoder(&value).Encode(v); err != nil {
		return b, fmt.Errorf("encode frame of %T: %w", v, err)
	}
	if value.Len() > maxFrameBytes {
		return b, fmt.Errorf("%w: %d bytes of %T, limit %d", ErrFrameTooLong, value.Len(), v, maxFrameBytes)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(value.Len()))
	return append(b, value.Bytes()...), nil
}

// SplitFrame takes one frame from the front of a stream. It returns a nil frame while
// the frame is not whole. frame and rest share the memory of b.
func SplitFrame(b []byte) (frame, rest []byte, err error) {
	if len(b) < frameLengthBytes {
		return nil, b, nil
	}
	length := binary.BigEndian.Uint32(b)
	if length == 0 || length > maxFrameBytes {
		return nil, nil, fmt.Errorf("%w: length %d", ErrMalformedFrame, length)
	}
	end := frameLengthBytes + int(length)
	if len(b) < end {
		return nil, b, nil
	}
	return b[frameLengthBytes:end], b[end:], nil
}

// DecodeFrame reads the value of a frame into v.
func DecodeFrame(frame []byte, v any) error {
	if err := gob.NewDecoder(bytes.NewReader(frame)).Decode(v); err != nil {
		return fmt.Errorf("decode frame as %T: %w", v, err)
	}
	return nil
}
