package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"net"
	"time"
)

const maxFrameBytes = 16 << 10

// AppendFrame writes a value as one gob frame with its length in front. Each
// frame stands for itself, so a lost one harms no other.
func AppendFrame(b []byte, v any) ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(v); err != nil {
		return b, err
	}
	if buf.Len() > maxFrameBytes {
		return b, errors.New("frame too long")
	}
	b = binary.BigEndian.AppendUint32(b, uint32(buf.Len()))
	return append(b, buf.Bytes()...), nil
}

// SplitFrame takes one frame from the front of a stream; nil while it is not whole.
func SplitFrame(b []byte) (frame, rest []byte, err error) {
	if len(b) < 4 {
		return nil, b, nil
	}
	n := binary.BigEndian.Uint32(b)
	if n == 0 || n > maxFrameBytes {
		return nil, nil, errors.New("malformed frame")
	}
	if len(b) < 4+int(n) {
		return nil, b, nil
	}
	return b[4 : 4+n], b[4+n:], nil
}

// DecodeFrame reads the value of a frame.
func DecodeFrame(frame []byte, v any) error { return gob.NewDecoder(bytes.NewReader(frame)).Decode(v) }

// PeerClient sends values to one other controller. Only the newest value waits;
// whatever cannot be sent is dropped.
type PeerClient struct {
	addr         string
	pendingFrame chan []byte
}

// NewPeerClient begins to send to an address.
func NewPeerClient(addr string) *PeerClient {
	p := &PeerClient{addr: addr, pendingFrame: make(chan []byte, 1)}
	go p.sendLoop()
	return p
}

// Send hands over a value.
func (p *PeerClient) Send(v any) error {
	frame, err := AppendFrame(nil, v)
	if err != nil {
		return err
	}
	select {
	case <-p.pendingFrame:
	default:
	}
	select {
	case p.pendingFrame <- frame:
	default:
	}
	return nil
}

func (p *PeerClient) sendLoop() {
	var netConn net.Conn
	for frame := range p.pendingFrame {
		var err error
		if netConn == nil {
			if netConn, err = net.DialTimeout("tcp4", p.addr, time.Second); err != nil {
				netConn = nil
				continue
			}
		}
		netConn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err = netConn.Write(frame); err != nil {
			netConn.Close()
			netConn = nil
		}
	}
}
