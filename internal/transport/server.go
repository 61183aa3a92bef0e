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
	Addr     string
	Back     string // address of the gob link between controllers; empty: none
	MaxConns int
	Idle     time.Duration // a connection with nothing to do is closed after this
	Slow     time.Duration // a request must be whole after this
}

// Exchange is one request that waits for its answer.
type Exchange struct {
	Req  *Request
	conn *conn
}

// Handler takes a request. It must not block; Reply may come from anywhere.
type Handler func(*Exchange)

type conn struct {
	ev      evio.Conn
	in      []byte
	busy    bool   // a request waits for its answer
	out     []byte // an answer that waits for the loop
	closing bool
	since   time.Time // of the first byte of a request, or of the last answer
	dead    bool
	asked   bool // closing was asked for by the sweep
	inLoop  bool
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
	cfg    ServerConfig
	handle Handler
	mu     sync.Mutex
	conns  map[*conn]bool
	Peer   func(frame []byte) // takes what other controllers send
	stop   atomic.Bool
}

// NewServer makes a server; Run starts it.
func NewServer(cfg ServerConfig, h Handler) *Server {
	return &Server{cfg: cfg, handle: h, conns: map[*conn]bool{}}
}

// Run serves until Stop. It comes back earlier only if it never could listen.
func (s *Server) Run() error {
	served := false
	addrs := []string{"tcp://" + s.cfg.Addr}
	if s.cfg.Back != "" {
		addrs = append(addrs, "tcp://"+s.cfg.Back)
	}
	for !s.stop.Load() {
		err := evio.Serve(evio.Events{
			NumLoops: 1,
			Serving:  func(evio.Server) evio.Action { served = true; return evio.None },
			Opened:   s.opened,
			Closed:   s.closed,
			Data:     s.data,
			Tick:     s.sweep,
		}, addrs...)
		if err != nil && !served {
			return err
		}
		if !s.stop.Load() {
			slog.Error("listener ended and is started anew", "addr", s.cfg.Addr, "err", err)
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Stop ends Run soon.
func (s *Server) Stop() { s.stop.Store(true) }

func (s *Server) opened(ev evio.Conn) ([]byte, evio.Options, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts := evio.Options{TCPKeepAlive: 30 * time.Second, ReuseInputBuffer: true}
	if len(s.conns) >= s.cfg.MaxConns {
		return nil, opts, evio.Close
	}
	c := &conn{ev: ev, since: time.Now()}
	ev.SetContext(c)
	s.conns[c] = true
	return nil, opts, evio.None
}

func (s *Server) closed(ev evio.Conn, _ error) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := ev.Context().(*conn); ok {
		c.dead = true
		c.in, c.out = nil, nil
		delete(s.conns, c)
	}
	return evio.None
}

func (s *Server) data(ev evio.Conn, in []byte) (out []byte, action evio.Action) {
	c, ok := ev.Context().(*conn)
	if !ok {
		return nil, evio.Close
	}
	if ev.AddrIndex() == 1 {
		return nil, s.peerData(c, in)
	}
	s.mu.Lock()
	if c.closing && len(in) > 0 { // of no use any more
		s.mu.Unlock()
		return nil, evio.Close
	}
	if len(in) == 0 { // Wake
		defer s.mu.Unlock()
		return s.take(c)
	}
	if c.busy {
		// The peer talks before it has its answer: pipelining, which nobody needs.
		if len(c.in)+len(in) > MaxRequestBody {
			s.mu.Unlock()
			return nil, evio.Close
		}
		c.in = append(c.in, in...)
		s.mu.Unlock()
		return nil, evio.None
	}
	if len(c.in) == 0 {
		c.since = time.Now()
	}
	c.in = append(c.in, in...)
	req, n, err := ParseRequest(c.in)
	if err != nil {
		c.closing = true
		s.mu.Unlock()
		return AppendAnswer(nil, err.Status, 0, []byte(`{"error":"`+err.What+`"}`), true), evio.Close
	}
	if req == nil {
		s.mu.Unlock()
		return nil, evio.None
	}
	if n < len(c.in) {
		req.Close = true
	}
	c.in = c.in[:0]
	if cap(c.in) > 8<<10 {
		c.in = nil
	}
	c.busy, c.inLoop = true, true
	s.mu.Unlock()
	s.handle(&Exchange{Req: req, conn: c})
	s.mu.Lock()
	defer s.mu.Unlock()
	c.inLoop = false
	return s.take(c)
}

// peerData cuts the stream of another controller into frames.
func (s *Server) peerData(c *conn, in []byte) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(in) == 0 {
		if c.closing {
			return evio.Close
		}
		return evio.None
	}
	c.since = time.Now()
	c.in = append(c.in, in...)
	for {
		frame, rest, err := CutFrame(c.in)
		if err != nil {
			return evio.Close
		}
		if frame == nil {
			return evio.None
		}
		if s.Peer != nil {
			s.Peer(frame)
		}
		c.in = append(c.in[:0], rest...)
	}
}

// take hands an answer that is ready to the loop.
func (s *Server) take(c *conn) ([]byte, evio.Action) {
	out := c.out
	c.out = nil
	if out != nil {
		c.busy = false
		c.since = time.Now()
		if len(c.in) > 0 {
			c.closing = true
		}
	}
	if c.closing && !c.busy {
		return out, evio.Close
	}
	return out, evio.None
}

// Reply answers the exchange; only the first answer counts.
func (s *Server) Reply(x *Exchange, status, retryAfter int, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := x.conn
	if c.dead || !c.busy || c.out != nil {
		return
	}
	c.out = AppendAnswer(make([]byte, 0, 160+len(body)), status, retryAfter, body, x.Req.Close)
	c.closing = c.closing || x.Req.Close
	if !c.inLoop {
		c.ev.Wake()
	}
}

// sweep closes connections that outstay their time. It runs in the loop.
func (s *Server) sweep() (time.Duration, evio.Action) {
	if s.stop.Load() {
		return 0, evio.Shutdown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, stuck := time.Now(), 0
	for c := range s.conns {
		limit := s.cfg.Idle
		if len(c.in) > 0 && !c.busy {
			limit = s.cfg.Slow
		}
		if c.busy || now.Sub(c.since) < limit {
			continue
		}
		if c.asked {
			stuck++
			continue
		}
		c.asked, c.closing = true, true
		c.ev.Wake()
	}
	if stuck > 8 && stuck > s.cfg.MaxConns/4 {
		slog.Error("slow readers hold too many connections; the listener is started anew", "stuck", stuck)
		return time.Second, evio.Shutdown
	}
	return time.Second, evio.None
}
