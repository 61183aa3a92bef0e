package transport

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/evio"
)

// ServerConfig holds the addresses and the limits of a server.
type ServerConfig struct {
	Addr        string        // address of the HTTP interface
	PeerAddr    string        // address of the link between controllers; empty means no link
	MaxConns    int           // open connections on both addresses; further ones are closed at once
	IdleTimeout time.Duration // time after which a connection without a request is closed
	ReadTimeout time.Duration // time from the first byte of a request within which it must be complete
}

const (
	// tcpKeepAlive is the interval of keep-alive probes on idle connections.
	tcpKeepAlive = 30 * time.Second
	// sweepInterval is the time between two searches for connections whose timeout has
	// expired. It is also the longest time until the loop notices a Stop.
	sweepInterval = time.Second
	// restartPause keeps a listener that fails immediately from occupying a processor.
	restartPause = 50 * time.Millisecond
	// The listener is restarted when the connections that could not be closed are more
	// than toleratedStalledConns and more than MaxConns/stalledConnsDivisor.
	toleratedStalledConns = 8
	stalledConnsDivisor   = 4
	// maxRetainedInputBytes is the maximum capacity of the input buffer that a connection
	// keeps between requests.
	maxRetainedInputBytes = 8 << 10
	// responseHeadBytes is the capacity reserved for the head of a response. A longer
	// head costs a second allocation.
	responseHeadBytes = 160
)

// Indexes of the listeners' addresses, as evio numbers them.
const (
	httpAddrIndex = iota
	peerAddrIndex
)

// Exchange is a request that waits for its response.
type Exchange struct {
	Request *Request
	conn    *serverConn
}

// Handler handles a request. The server's loop calls it, so it must not block. The handler
// or any other goroutine responds with Server.Reply.
type Handler func(*Exchange)

// serverConn is the state of a connection. Server.mu guards it.
type serverConn struct {
	evioConn           evio.Conn
	input              []byte    // bytes of an incomplete request or frame
	exchange           *Exchange // the request that waits for its response, or nil
	pendingResponse    []byte    // a response that the loop has not taken
	closeAfterResponse bool      // the connection is closed after the response that is due, or at once if none is
	lastActivity       time.Time // time of the first byte of a request, or of the last response
	isClosed           bool      // evio has closed the connection or is about to
	closeRequested     bool      // the sweep has requested that the connection is closed
	inHandler          bool      // the handler runs; the loop takes the response when it returns
}

// Server serves HTTP, and the link between controllers, on evio.
//
// Server works around these limitations of evio 1.0.8:
//   - Any accept error (no descriptors left, an aborted connection) ends evio's loop
//     and with it Serve. Run calls Serve again, so that the process continues to serve.
//   - Wake writes to a descriptor that is closed once Serve has ended, and that may
//     belong to another connection by then. A connection is therefore marked as closed
//     before evio closes anything, under the lock that is held when Wake is called.
//   - Wake replaces output that a slow reader has not read yet. There is therefore one
//     response to one request at a time, and the next request is not read before evio
//     has written the last response. Bytes after a request end the connection.
//   - evio has no timeouts and cannot close a connection with output left. A sweep
//     closes idle connections, and if slow readers occupy too many connections, the loop
//     is restarted.
type Server struct {
	// PeerHandler handles the frames that other controllers send. It is set before Run or
	// never. It must not block or call Reply, because the loop calls it under the server's
	// lock, and must not keep the frame, because the frame's memory is reused.
	PeerHandler func(frame []byte)

	config    ServerConfig
	handler   Handler
	stopping  atomic.Bool
	mu        sync.Mutex
	openConns map[*serverConn]bool
}

// NewServer returns a server. Run starts it.
func NewServer(cfg ServerConfig, handler Handler) *Server {
	return &Server{config: cfg, handler: handler, openConns: map[*serverConn]bool{}}
}

// Run serves until Stop is called and then returns nil. It returns an error only if it could
// not listen at all. A listener that fails later is restarted.
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

// Stop makes Run return within about a second. It does not wait for Run to return.
func (s *Server) Stop() { s.stopping.Store(true) }

// onOpened registers a new connection, or closes it if MaxConns connections are open.
func (s *Server) onOpened(evioConn evio.Conn) ([]byte, evio.Options, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts := evio.Options{TCPKeepAlive: tcpKeepAlive, ReuseInputBuffer: true}
	if len(s.openConns) >= s.config.MaxConns {
		return nil, opts, evio.Close
	}
	conn := &serverConn{evioConn: evioConn, lastActivity: time.Now()}
	evioConn.SetContext(conn)
	s.openConns[conn] = true
	return nil, opts, evio.None
}

// onClosed marks a connection as closed and removes it from the open ones.
func (s *Server) onClosed(evioConn evio.Conn, _ error) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn, ok := evioConn.Context().(*serverConn); ok {
		conn.isClosed = true
		conn.input, conn.pendingResponse = nil, nil
		delete(s.openConns, conn)
	}
	return evio.None
}

// onData handles the input of a connection. After a Wake, the input is empty.
func (s *Server) onData(evioConn evio.Conn, input []byte) ([]byte, evio.Action) {
	conn, ok := evioConn.Context().(*serverConn)
	switch {
	case !ok: // beyond MaxConns; onOpened did not register the connection
		return nil, evio.Close
	case evioConn.AddrIndex() == peerAddrIndex:
		return nil, s.onPeerData(conn, input)
	case len(input) == 0:
		return s.onWake(conn)
	}
	exchange, output, action := s.receiveInput(conn, input)
	if exchange == nil {
		return output, action
	}
	s.handler(exchange) // without the lock, which Reply acquires
	return s.onHandlerReturned(conn)
}

// receiveInput adds input to the buffer of a connection. It returns an exchange once a request
// is complete, and otherwise the output and the action for evio.
func (s *Server) receiveInput(conn *serverConn, input []byte) (exchange *Exchange, output []byte, action evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn.closeAfterResponse {
		return nil, nil, evio.Close
	}
	if conn.exchange != nil {
		return nil, nil, conn.bufferEarlyInput(input)
	}
	if len(conn.input) == 0 {
		conn.lastActivity = time.Now()
	}
	conn.input = append(conn.input, input...)
	request, consumed, err := parseRequest(conn.input)
	if err != nil {
		conn.closeAfterResponse = true
		body := []byte(`{"error":"` + err.Message + `"}`)
		return nil, appendResponse(nil, err.Status, 0, body, true), evio.Close
	}
	if request == nil {
		return nil, nil, evio.None
	}
	if consumed < len(conn.input) {
		request.Close = true
	}
	conn.input = conn.input[:0]
	if cap(conn.input) > maxRetainedInputBytes {
		conn.input = nil
	}
	conn.exchange, conn.inHandler = &Exchange{Request: request, conn: conn}, true
	return conn.exchange, nil, evio.None
}

// bufferEarlyInput stores input that arrives before the response to the last request is
// sent. Pipelining does not occur, so the input is never served: the connection is closed
// after the response.
func (c *serverConn) bufferEarlyInput(input []byte) evio.Action {
	if len(c.input)+len(input) > maxRequestBodyBytes {
		return evio.Close
	}
	c.input = append(c.input, input...)
	return evio.None
}

// onWake returns the pending response and the action for evio after a Wake.
func (s *Server) onWake(conn *serverConn) ([]byte, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return conn.takePendingResponse()
}

// onHandlerReturned returns the response and the action for evio after a handler returned.
// There is no response yet if another goroutine is to respond.
func (s *Server) onHandlerReturned(conn *serverConn) ([]byte, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.inHandler = false
	return conn.takePendingResponse()
}

// takePendingResponse removes and returns the pending response, if there is one, and returns
// the action for evio.
func (c *serverConn) takePendingResponse() ([]byte, evio.Action) {
	output := c.pendingResponse
	c.pendingResponse = nil
	if output != nil {
		c.exchange = nil
		c.lastActivity = time.Now()
		if len(c.input) > 0 {
			c.closeAfterResponse = true
		}
	}
	if c.closeAfterResponse && c.exchange == nil {
		return output, evio.Close
	}
	return output, evio.None
}

// onPeerData splits the stream of another controller into frames and passes each frame to
// PeerHandler.
func (s *Server) onPeerData(conn *serverConn, input []byte) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(input) == 0 { // Wake
		if conn.closeAfterResponse {
			return evio.Close
		}
		return evio.None
	}
	conn.lastActivity = time.Now()
	conn.input = append(conn.input, input...)
	for {
		frame, rest, err := SplitFrame(conn.input)
		if err != nil {
			return evio.Close
		}
		if frame == nil {
			return evio.None
		}
		if s.PeerHandler != nil {
			s.PeerHandler(frame)
		}
		conn.input = append(conn.input[:0], rest...)
	}
}

// Reply sends the response to an exchange. It does nothing if the exchange already has a
// response, also if a later request on the connection waits for its own, or if the connection is
// closed. It may be called from any goroutine.
func (s *Server) Reply(exchange *Exchange, status, retryAfterSeconds int, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := exchange.conn
	if conn.isClosed || conn.exchange != exchange || conn.pendingResponse != nil {
		return
	}
	buf := make([]byte, 0, responseHeadBytes+len(body))
	conn.pendingResponse = appendResponse(buf, status, retryAfterSeconds, body, exchange.Request.Close)
	conn.closeAfterResponse = conn.closeAfterResponse || exchange.Request.Close
	if !conn.inHandler {
		conn.evioConn.Wake()
	}
}

// onTick shuts the loop down if the server stops or if too many connections could not be
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

// closeExpiredConns requests the closing of the connections whose timeout has expired. It
// returns the number of connections that are still open although an earlier sweep requested
// their closing.
func (s *Server) closeExpiredConns(now time.Time) (stalled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.openConns {
		timeout := s.config.IdleTimeout
		if len(conn.input) > 0 {
			timeout = s.config.ReadTimeout
		}
		if conn.exchange != nil || now.Sub(conn.lastActivity) < timeout {
			continue
		}
		if conn.closeRequested {
			stalled++
			continue
		}
		conn.closeRequested, conn.closeAfterResponse = true, true
		conn.evioConn.Wake()
	}
	return stalled
}
