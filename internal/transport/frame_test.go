package transport

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// frameValue represents the values that controllers send to each other.
type frameValue struct{ Text string }

// appendFrame calls AppendFrame and fails the test on an error.
func appendFrame(t *testing.T, b []byte, v any) []byte {
	t.Helper()
	b, err := AppendFrame(b, v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A partial frame must wait for more input. A frame that is empty or over the size limit must be
// refused.
func TestFrames(t *testing.T) {
	frame := appendFrame(t, nil, frameValue{"x"})
	stream := append(bytes.Clone(frame), frame...)
	t.Run("partial", func(t *testing.T) {
		for cut := range frame {
			if got, _, err := SplitFrame(stream[:cut]); got != nil || err != nil {
				t.Fatalf("stream of %d bytes: got frame %v, error %v, want neither", cut, got, err)
			}
		}
	})
	t.Run("complete", func(t *testing.T) {
		first, rest, err := SplitFrame(stream)
		var got frameValue
		if err != nil || DecodeFrame(first, &got) != nil || got.Text != "x" || len(rest) != len(frame) {
			t.Fatalf("got value %v, rest %v, error %v, want value x and one more frame", got, rest, err)
		}
	})
	t.Run("value too long", func(t *testing.T) {
		longValue := frameValue{strings.Repeat("x", maxFrameBytes)}
		if _, err := AppendFrame(nil, longValue); !errors.Is(err, ErrFrameTooLong) {
			t.Errorf("got error %v, want ErrFrameTooLong", err)
		}
	})
	for _, test := range []struct {
		name  string
		input []byte
	}{
		{"length 0", []byte{0, 0, 0, 0}},
		{"length over the limit", []byte{255, 255, 255, 255}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, err := SplitFrame(test.input); !errors.Is(err, ErrMalformedFrame) {
				t.Errorf("got error %v, want ErrMalformedFrame", err)
			}
		})
	}
}

// A frame that a PeerClient sends must reach the PeerHandler of the other server.
func TestPeerLink(t *testing.T) {
	cfg := testConfig(t, 4)
	cfg.PeerAddr = freeAddr(t)
	received := make(chan string, 1)
	server := NewServer(cfg, func(*Exchange) {})
	server.PeerHandler = func(frame []byte) {
		var value frameValue
		if err := DecodeFrame(frame, &value); err != nil {
			t.Error(err)
		}
		received <- value.Text
	}
	runServer(t, server)
	if err := NewPeerClient(cfg.PeerAddr).Send(frameValue{"x"}); err != nil {
		t.Fatal(err)
	}
	if got := receiveWithTimeout(t, received); got != "x" {
		t.Errorf("received %q, want %q", got, "x")
	}
}
