package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"net"
	"time"
)

const maxFrame = 16 << 10

// AppendFrame writes a value as one gob frame with its length in front. Each
// frame stands for itself, so a lost one harms no other.
func AppendFrame(b []byte, v any) ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(v); err != nil {
		return b, err
	}
	if buf.Len() > maxFrame {
		return b, errors.New("frame too long")
	}
	b = binary.BigEndian.AppendUint32(b, uint32(buf.Len()))
	return append(b, buf.Bytes()...), nil
}

// CutFrame takes one frame from the front of a stream; nil while it is not whole.
func CutFrame(b []byte) (frame, rest []byte, err error) {
	if len(b) < 4 {
		return nil, b, nil
	}
	n := binary.BigEndian.Uint32(b)
	if n == 0 || n > maxFrame {
		return nil, nil, errors.New("malformed frame")
	}
	if len(b) < 4+int(n) {
		return nil, b, nil
	}
	return b[4 : 4+n], b[4+n:], nil
}

// ReadFrame reads the value of a frame.
func ReadFrame(frame []byte, v any) error { return gob.NewDecoder(bytes.NewReader(frame)).Decode(v) }

// PeerLink sends values to one other controller. Only the newest value waits;
// whatever cannot be sent is dropped.
type PeerLink struct {
	addr string
	next chan []byte
}

// NewPeerLink begins to send to an address.
func NewPeerLink(addr string) *PeerLink {
	p := &PeerLink{addr: addr, next: make(chan []byte, 1)}
	go p.run()
	return p
}

// Send hands over a value.
func (p *PeerLink) Send(v any) error {
	b, err := AppendFrame(nil, v)
	if err != nil {
		return err
	}
	select {
	case <-p.next:
	default:
	}
	select {
	case p.next <- b:
	default:
	}
	return nil
}

func (p *PeerLink) run() {
	var c net.Conn
	for b := range p.next {
		var err error
		if c == nil {
			if c, err = net.DialTimeout("tcp4", p.addr, time.Second); err != nil {
				c = nil
				continue
			}
		}
		c.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err = c.Write(b); err != nil {
			c.Close()
			c = nil
		}
	}
}
