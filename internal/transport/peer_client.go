package transport

import (
	"net"
	"time"
)

// Time-outs of the link to another controller. What it carries is outdated soon, so
// there is no use in waiting longer.
const (
	peerDialTimeout  = time.Second
	peerWriteTimeout = time.Second
)

// PeerClient sends values to one other controller. Delivery is best effort: only the
// newest value waits, and whatever cannot be sent is dropped. Its goroutine lives as
// long as the process.
type PeerClient struct {
	addr         string
	pendingFrame chan []byte // holds the newest frame that is not under way
}

// NewPeerClient starts to send to an address.
func NewPeerClient(addr string) *PeerClient {
	p := &PeerClient{addr: addr, pendingFrame: make(chan []byte, 1)}
	go p.sendLoop()
	return p
}

// Send replaces the value that waits. It never blocks; its error says only that the
// value cannot be encoded.
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

// sendLoop writes frames over one connection, which it opens anew after a failure.
func (p *PeerClient) sendLoop() {
	var conn net.Conn
	for frame := range p.pendingFrame {
		if conn == nil {
			opened, err := net.DialTimeout("tcp4", p.addr, peerDialTimeout)
			if err != nil {
				continue
			}
			conn = opened
		}
		if err := writeFrame(conn, frame); err != nil {
			conn.Close()
			conn = nil
		}
	}
}

func writeFrame(conn net.Conn, frame []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(frame)
	return err
}
