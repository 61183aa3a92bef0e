package transport

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/evio"
)

// ServerConfig bounds what a server takes on.
type ServerConfig struct {
	Addr        string
	PeerAddr    string // address of the gob link between controllers; empty: none
	MaxConns    int
	IdleTimeout time.Duration // a connection with nothing to do is closed after this
	ReadTimeout time.Duration // a request must be whole after this
}

// Exchange is one request that waits for its answer.
type Exchange struct {
	Request *Request
	conn    *conn
}

// Handler takes a request. It must not block; Reply may come from anywhere.
type Handler func(*Exchange)

type conn struct {
	evioConn         evio.Conn
	input            []byte
	awaitingResponse bool   // a request waits for its answer
	pendingResponse  []byte // an answer that waits for the loop
	closing          bool
	lastActivity     time.Time // of the first byte of a request, or of the last answer
	closed           bool
	closeRequested   bool // closing was asked for by the sweep
	inEventLoop      bool
}

// Server serves HTTP on evio.
//
// What evio 1.0.8 leaves to its user, and how it is met here:
//   - any accept error (out of sockets, an aborted connection) ends evio's loop
//     and with it Serve: Run starts it anew, so the process goes on.
//   - Wake writes to a descriptor that is closed once Serve has ended, and that
//     may belong to another connection by then: a connection is marked dead,
//     under the lock that Wake is called with, before evio closes anything.
//   - Wake replaces output that a slow reader has not taken yet: there is one
//     answer to one request at a time, and the next request is not read before
//     evio has written the last answer. Bytes behind a request end the connection.
//   - evio has no time limits and cannot close a connection with output left:
//     a sweep closes idle ones, and if slow readers hold too many, the loop is
//     started anew.
type Server struct {
	config      ServerConfig
	handler     Handler
	mu          sync.Mutex
	conns       map[*conn]bool
	PeerHandler func(frame []byte) // takes what other controllers send
	stopping    atomic.Bool
}

// NewServer makes a server; Run starts it.
func NewServer(cfg ServerConfig, handler Handler) *Server {
	return &Server{config: cfg, handler: handler, conns: map[*conn]bool{}}
}

// Run serves until Stop. It comes back earlier only if it never could listen.
func (s *Server) Run() error {
	listening := false
	addrs := []string{"tcp://" + s.config.Addr}
	if s.config.PeerAddr != "" {
		addrs = append(addrs, "tcp://"+s.config.PeerAddr)
	}
	for !s.stopping.Load() {
		err := evio.Serve(evio.Events{
			NumLoops: 1,
			Serving:  func(evio.Server) evio.Action { listening = true; return evio.None },
			Opened:   s.onOpened,
			Closed:   s.onClosed,
			Data:     s.onData,
			Tick:     s.closeExpiredConns,
		}, addrs...)
		if err != nil && !listening {
			return err
		}
		if !s.stopping.Load() {
			slog.Error("listener failed, restarting", "addr", s.config.Addr, "error", err)
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Stop ends Run soon.
func (s *Server) Stop() { s.stopping.Store(true) }

func (s *Server) onOpened(ev evio.Conn) ([]byte, evio.Options, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts := evio.Options{TCPKeepAlive: 30 * time.Second, ReuseInputBuffer: true}
	if len(s.conns) >= s.config.MaxConns {
		return nil, opts, evio.Close
	}
	c := &conn{evioConn: ev, lastActivity: time.Now()}
	ev.SetContext(c)
	s.conns[c] = true
	return nil, opts, evio.None
}

func (s *Server) onClosed(ev evio.Conn, _ error) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := ev.Context().(*conn); ok {
		c.closed = true
		c.input, c.pendingResponse = nil, nil
		delete(s.conns, c)
	}
	return evio.None
}

func (s *Server) onData(ev evio.Conn, in []byte) (out []byte, action evio.Action) {
	c, ok := ev.Context().(*conn)
	if !ok {
		return nil, evio.Close
	}
	if ev.AddrIndex() == 1 {
		return nil, s.onPeerData(c, in)
	}
	s.mu.Lock()
	if c.closing && len(in) > 0 { // of no use any more
		s.mu.Unlock()
		return nil, evio.Close
	}
	if len(in) == 0 { // Wake
		defer s.mu.Unlock()
		return s.collectOutput(c)
	}
	if c.awaitingResponse {
		// The peer talks before it has its answer: pipelining, which nobody needs.
		if len(c.input)+len(in) > MaxRequestBody {
			s.mu.Unlock()
			return nil, evio.Close
		}
		c.input = append(c.input, in...)
		s.mu.Unlock()
		return nil, evio.None
	}
	if len(c.input) == 0 {
		c.lastActivity = time.Now()
	}
	c.input = append(c.input, in...)
	req, consumed, err := ParseRequest(c.input)
	if err != nil {
		c.closing = true
		s.mu.Unlock()
		return AppendResponse(nil, err.Status, 0, []byte(`{"error":"`+err.Message+`"}`), true), evio.Close
	}
	if req == nil {
		s.mu.Unlock()
		return nil, evio.None
	}
	if consumed < len(c.input) {
		req.Close = true
	}
	c.input = c.input[:0]
	if cap(c.input) > 8<<10 {
		c.input = nil
	}
	c.awaitingResponse, c.inEventLoop = true, true
	s.mu.Unlock()
	s.handler(&Exchange{Request: req, conn: c})
	s.mu.Lock()
	defer s.mu.Unlock()
	c.inEventLoop = false
	return s.collectOutput(c)
}

// onPeerData cuts the stream of another controller into frames.
func (s *Server) onPeerData(c *conn, in []byte) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(in) == 0 {
		if c.closing {
			return evio.Close
		}
		return evio.None
	}
	c.lastActivity = time.Now()
	c.input = append(c.input, in...)
	for {
		frame, rest, err := SplitFrame(c.input)
		if err != nil {
			return evio.Close
		}
		if frame == nil {
			return evio.None
		}
		if s.PeerHandler != nil {
			s.PeerHandler(frame)
		}
		c.input = append(c.input[:0], rest...)
	}
}

// collectOutput hands an answer that is ready to the loop.
func (s *Server) collectOutput(c *conn) ([]byte, evio.Action) {
	out := c.pendingResponse
	c.pendingResponse = nil
	if out != nil {
		c.awaitingResponse = false
		c.lastActivity = time.Now()
		if len(c.input) > 0 {
			c.closing = true
		}
	}
	if c.closing && !c.awaitingResponse {
		return out, evio.Close
	}
	return out, evio.None
}

// Reply answers the exchange; only the first answer counts.
func (s *Server) Reply(x *Exchange, status, retryAfterSeconds int, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := x.conn
	if c.closed || !c.awaitingResponse || c.pendingResponse != nil {
		return
	}
	c.pendingResponse = AppendResponse(make([]byte, 0, 160+len(body)), status, retryAfterSeconds, body, x.Request.Close)
	c.closing = c.closing || x.Request.Close
	if !c.inEventLoop {
		c.evioConn.Wake()
	}
}

// closeExpiredConns closes connections that outstay their time. It runs in the loop.
func (s *Server) closeExpiredConns() (time.Duration, evio.Action) {
	if s.stopping.Load() {
		return 0, evio.Shutdown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, stalled := time.Now(), 0
	for c := range s.conns {
		timeout := s.config.IdleTimeout
		if len(c.input) > 0 && !c.awaitingResponse {
			timeout = s.config.ReadTimeout
		}
		if c.awaitingResponse || now.Sub(c.lastActivity) < timeout {
			continue
		}
		if c.closeRequested {
			stalled++
			continue
		}
		c.closeRequested, c.closing = true, true
		c.evioConn.Wake()
	}
	if stalled > 8 && stalled > s.config.MaxConns/4 {
		slog.Error("too many stalled connections, restarting listener", "count", stalled)
		return time.Second, evio.Shutdown
	}
	return time.Second, evio.None
}
