package transport

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/evio"
)

// ServerConfig is where a server listens and how much it takes on.
type ServerConfig struct {
	Addr        string        // of the HTTP interface
	PeerAddr    string        // of the link between controllers; empty: none
	MaxConns    int           // open connections on both addresses; further ones are closed at once
	IdleTimeout time.Duration // a connection without a request is closed after this
	ReadTimeout time.Duration // a request must be whole this long after its first byte
}

const (
	// tcpKeepAlive is the interval of probes on connections with nothing to carry.
	tcpKeepAlive = 30 * time.Second
	// sweepInterval is the time between two searches for connections that outstay
	// their time-out; it is also the longest that Stop takes to be seen.
	sweepInterval = time.Second
	// restartPause keeps a listener that fails at once from using up a processor.
	restartPause = 50 * time.Millisecond
	// The listener is restarted once the connections that resist being closed are
	// more than toleratedStalledConns and more than MaxConns/stalledConnsDivisor.
	toleratedStalledConns = 8
	stalledConnsDivisor   = 4
	// maxKeptInput is the input buffer that a connection keeps between requests, in
	// bytes.
	maxKeptInput = 8 << 10
	// responseHeadBytes is room for a response's head; a longer one costs a second
	// allocation.
	responseHeadBytes = 160
)

// Positions of the listeners' addresses as evio counts them.
const (
	httpAddrIndex = iota
	peerAddrIndex
)

// Exchange is one request that waits for its response.
type Exchange struct {
	Request *Request
	conn    *conn
}

// Handler takes a request. It is called in the server's loop and must not block; it or
// any other goroutine answers by Server.Reply.
type Handler func(*Exchange)

// conn is the state of a connection, guarded by Server.mu.
type conn struct {
	evioConn         evio.Conn
	input            []byte    // of a request, or a frame, that is not whole
	awaitingResponse bool      // a request waits for its response
	pendingResponse  []byte    // a response that waits for the loop
	closing          bool      // is closed after the response that is due
	lastActivity     time.Time // of the first byte of a request, or of the last response
	closed           bool      // evio has closed the connection or is about to
	closeRequested   bool      // the sweep has asked for closing
	inHandler        bool      // the loop collects the response when the handler returns
}

// Server serves HTTP, and the link between controllers, on evio.
//
// What evio 1.0.8 leaves to its user, and how it is met here:
//   - Any accept error (no descriptors left, an aborted connection) ends evio's loop
//     and with it Serve: Run starts it anew, so the process goes on.
//   - Wake writes to a descriptor that is closed once Serve has ended, and that may
//     belong to another connection by then: a connection is marked as closed, under
//     the lock that Wake is called with, before evio closes anything.
//   - Wake replaces output that a slow reader has not taken yet: there is one response
//     to one request at a time, and the next request is not read before evio has
//     written the last response. Bytes behind a request end the connection.
//   - evio has no time-outs and cannot close a connection with output left: a sweep
//     closes idle ones, and if slow readers hold too many, the loop is started anew.
type Server struct {
	// PeerHandler takes the frames that other controllers send. It is set before Run
	// or never, must not block, call Reply or keep the frame: it is called in the
	// loop, under the server's lock, and the frame's memory is used again.
	PeerHandler func(frame []byte)

	config   ServerConfig
	handler  Handler
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]bool // the open ones
}

// NewServer makes a server; Run starts it.
func NewServer(cfg ServerConfig, handler Handler) *Server {
	return &Server{config: cfg, handler: handler, conns: map[*conn]bool{}}
}

// Run serves until Stop and then returns nil. It returns an error only if it could not
// listen at all; a listener that fails later is restarted.
func (s *Server) Run() error {
	addrs := []string{httpAddrIndex: "tcp://" + s.config.Addr}
	if s.config.PeerAddr != "" {
		addrs = append(addrs, "tcp://"+s.config.PeerAddr)
	}
	hasListened := false
	for !s.stopping.Load() {
		err := evio.Serve(evio.Events{
			NumLoops: 1,
			Serving:  func(evio.Server) evio.Action { hasListened = true; return evio.None },
			Opened:   s.onOpened,
			Closed:   s.onClosed,
			Data:     s.onData,
			Tick:     s.onTick,
		}, addrs...)
		if err != nil && !hasListened {
			return err
		}
		if !s.stopping.Load() {
			slog.Error("listener failed, restarting", "addr", s.config.Addr, "error", err)
			time.Sleep(restartPause)
		}
	}
	return nil
}

// Stop makes Run return within about a second. It does not wait for it.
func (s *Server) Stop() { s.stopping.Store(true) }

func (s *Server) onOpened(evioConn evio.Conn) ([]byte, evio.Options, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts := evio.Options{TCPKeepAlive: tcpKeepAlive, ReuseInputBuffer: true}
	if len(s.conns) >= s.config.MaxConns {
		return nil, opts, evio.Close
	}
	c := &conn{evioConn: evioConn, lastActivity: time.Now()}
	evioConn.SetContext(c)
	s.conns[c] = true
	return nil, opts, evio.None
}

func (s *Server) onClosed(evioConn evio.Conn, _ error) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := evioConn.Context().(*conn); ok {
		c.closed = true
		c.input, c.pendingResponse = nil, nil
		delete(s.conns, c)
	}
	return evio.None
}

// onData takes input, or nothing after a Wake.
func (s *Server) onData(evioConn evio.Conn, input []byte) ([]byte, evio.Action) {
	c, ok := evioConn.Context().(*conn)
	switch {
	case !ok: // over MaxConns
		return nil, evio.Close
	case evioConn.AddrIndex() == peerAddrIndex:
		return nil, s.onPeerData(c, input)
	case len(input) == 0:
		return s.onWake(c)
	}
	request, output, action := s.receive(c, input)
	if request == nil {
		return output, action
	}
	s.handler(&Exchange{Request: request, conn: c}) // without the lock, which Reply takes
	return s.onHandlerReturned(c)
}

// receive adds input to a connection. It returns a request once that is whole, and
// otherwise what evio is to do.
func (s *Server) receive(c *conn, input []byte) (request *Request, output []byte, action evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closing {
		return nil, nil, evio.Close
	}
	if c.awaitingResponse {
		return nil, nil, c.keepEarlyInput(input)
	}
	if len(c.input) == 0 {
		c.lastActivity = time.Now()
	}
	c.input = append(c.input, input...)
	request, consumed, err := parseRequest(c.input)
	if err != nil {
		c.closing = true
		body := []byte(`{"error":"` + err.Message + `"}`)
		return nil, appendResponse(nil, err.Status, 0, body, true), evio.Close
	}
	if request == nil {
		return nil, nil, evio.None
	}
	if consumed < len(c.input) {
		request.Close = true
	}
	c.input = c.input[:0]
	if cap(c.input) > maxKeptInput {
		c.input = nil
	}
	c.awaitingResponse, c.inHandler = true, true
	return request, nil, evio.None
}

// keepEarlyInput takes what a peer sends before it has its response. Pipelining does not
// occur, so the input is never served: it ends the connection after the response.
func (c *conn) keepEarlyInput(input []byte) evio.Action {
	if len(c.input)+len(input) > maxRequestBody {
		return evio.Close
	}
	c.input = append(c.input, input...)
	return evio.None
}

func (s *Server) onWake(c *conn) ([]byte, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.takeOutput()
}

func (s *Server) onHandlerReturned(c *conn) ([]byte, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.inHandler = false
	return c.takeOutput()
}

// takeOutput hands the loop a response that is ready.
func (c *conn) takeOutput() ([]byte, evio.Action) {
	output := c.pendingResponse
	c.pendingResponse = nil
	if output != nil {
		c.awaitingResponse = false
		c.lastActivity = time.Now()
		if len(c.input) > 0 {
			c.closing = true
		}
	}
	if c.closing && !c.awaitingResponse {
		return output, evio.Close
	}
	return output, evio.None
}

// onPeerData cuts the stream of another controller into frames.
func (s *Server) onPeerData(c *conn, input []byte) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(input) == 0 { // Wake
		if c.closing {
			return evio.Close
		}
		return evio.None
	}
	c.lastActivity = time.Now()
	c.input = append(c.input, input...)
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

// Reply responds to the exchange; only the first response counts, and none if the
// connection is closed. It may be called from any goroutine.
func (s *Server) Reply(x *Exchange, status, retryAfterSeconds int, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := x.conn
	if c.closed || !c.awaitingResponse || c.pendingResponse != nil {
		return
	}
	buf := make([]byte, 0, responseHeadBytes+len(body))
	c.pendingResponse = appendResponse(buf, status, retryAfterSeconds, body, x.Request.Close)
	c.closing = c.closing || x.Request.Close
	if !c.inHandler {
		c.evioConn.Wake()
	}
}

// onTick shuts the loop down if the server stops or too many connections resist being
// closed.
func (s *Server) onTick() (time.Duration, evio.Action) {
	if s.stopping.Load() {
		return 0, evio.Shutdown
	}
	stalled := s.closeExpiredConns(time.Now())
	if stalled > toleratedStalledConns && stalled > s.config.MaxConns/stalledConnsDivisor {
		slog.Error("too many stalled connections, restarting listener", "count", stalled)
		return sweepInterval, evio.Shutdown
	}
	return sweepInterval, evio.None
}

// closeExpiredConns asks for the closing of connections that outstay their time-out. It
// returns how many have been asked before and are still open.
func (s *Server) closeExpiredConns(now time.Time) (stalled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		timeout := s.config.IdleTimeout
		if len(c.input) > 0 {
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
	return stalled
}
