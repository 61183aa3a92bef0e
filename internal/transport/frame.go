package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
)

const (
	frameLengthBytes = 4        // size of the big-endian length before the value
	maxFrameBytes    = 16 << 10 // without the length
)

// Errors of frames.
var (
	// ErrFrameTooLong is wrapped by the error for a value that does not fit into a frame.
	ErrFrameTooLong = errors.New("frame too long")
	// ErrMalformedFrame is wrapped by the error for a frame with an invalid length.
	ErrMalformedFrame = errors.New("malformed frame")
)

// AppendFrame appends a value to dst as one frame. Each frame is a separate gob stream, so
// that the loss of a frame does not affect other frames.
func AppendFrame(dst []byte, v any) ([]byte, error) {
	var value bytes.Buffer
	if err := gob.NewEncoder(&value).Encode(v); err != nil {
		return dst, fmt.Errorf("encode frame of %T: %w", v, err)
	}
	if value.Len() > maxFrameBytes {
		return dst, fmt.Errorf("%w: %d bytes of %T, limit %d", ErrFrameTooLong, value.Len(), v, maxFrameBytes)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(value.Len()))
	return append(dst, value.Bytes()...), nil
}

// SplitFrame returns the first frame of a stream and the rest of the stream. The frame is
// nil while it is incomplete. frame and rest share the memory of stream.
func SplitFrame(stream []byte) (frame, rest []byte, err error) {
	if len(stream) < frameLengthBytes {
		return nil, stream, nil
	}
	length := binary.BigEndian.Uint32(stream)
	if length == 0 || length > maxFrameBytes {
		return nil, nil, fmt.Errorf("%w: length %d, want 1 to %d", ErrMalformedFrame, length, maxFrameBytes)
	}
	end := frameLengthBytes + int(length)
	if len(stream) < end {
		return nil, stream, nil
	}
	return stream[frameLengthBytes:end], stream[end:], nil
}

// DecodeFrame decodes the value of a frame into v.
func DecodeFrame(frame []byte, v any) error {
	if err := gob.NewDecoder(bytes.NewReader(frame)).Decode(v); err != nil {
		return fmt.Errorf("decode frame as %T: %w", v, err)
	}
	return nil
}
