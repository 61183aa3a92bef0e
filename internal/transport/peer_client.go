package transport

import (
	"net"
	"time"
)

// Timeouts of the link to another controller. The values on the link are soon outdated, so
// waiting longer is useless.
const (
	peerDialTimeout  = time.Second
	peerWriteTimeout = time.Second
)

// PeerClient sends values to one other controller. Delivery is best effort: only the newest
// value waits to be sent, and a value that cannot be sent is dropped. The goroutine of a
// PeerClient lives as long as the process.
type PeerClient struct {
	addr         string
	pendingFrame chan []byte // holds the newest frame that sendLoop has not taken
}

// NewPeerClient returns a client that sends to an address, and starts its goroutine.
func NewPeerClient(addr string) *PeerClient {
	p := &PeerClient{addr: addr, pendingFrame: make(chan []byte, 1)}
	go p.sendLoop()
	return p
}

// Send replaces the value that waits to be sent. It never blocks. It returns an error only
// if the value cannot be encoded as a frame.
func (p *PeerClient) Send(value any) error {
	frame, err := AppendFrame(nil, value)
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

// sendLoop writes frames over one connection. After a failure, it opens a new connection
// for the next frame.
func (p *PeerClient) sendLoop() {
	var conn net.Conn
	for frame := range p.pendingFrame {
		if conn == nil {
			newConn, err := net.DialTimeout("tcp4", p.addr, peerDialTimeout)
			if err != nil {
				continue
			}
			conn = newConn
		}
		if err := writeFrame(conn, frame); err != nil {
			conn.Close()
			conn = nil
		}
	}
}

// writeFrame writes a frame within peerWriteTimeout.
func writeFrame(conn net.Conn, frame []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(frame)
	return err
}
