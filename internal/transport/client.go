package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ErrNotSent is wrapped by the errors of calls of which this process has sent no byte.
var ErrNotSent = errors.New("not sent")

const (
	// idleConnTimeout is the time since the last use after which a call does not use a
	// connection again, because the other side may have closed the connection.
	idleConnTimeout = 20 * time.Second
	// readBufferBytes is the size of a connection's read buffer. It is also the maximum
	// length of a header line in a response.
	readBufferBytes = 8 << 10
	// requestHeadBytes is the capacity reserved for the head of a request. A longer head
	// costs a second allocation.
	requestHeadBytes = 256
)

// Client sends HTTP requests to one address over connections that it keeps open.
type Client struct {
	addr        string
	rateLimiter *rate.Limiter // nil means no limit
	slots       chan struct{} // holds one element for each call in progress
	mu          sync.Mutex
	idleConns   []*pooledConn // the most recently used connection is the last
}

// pooledConn is a connection of a Client, with its read buffer.
type pooledConn struct {
	conn     net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

// NewClient returns a client that makes at most maxConcurrent calls at once. rateLimiter
// limits the rate of the calls. It may be shared with other clients; nil means no limit.
func NewClient(addr string, maxConcurrent int, rateLimiter *rate.Limiter) *Client {
	return &Client{addr: addr, rateLimiter: rateLimiter, slots: make(chan struct{}, maxConcurrent)}
}

// Call sends one request and returns its response. The timeout covers the whole call,
// including the wait for a slot and for the rate limiter. After an error that does not wrap
// ErrNotSent, the other side may have carried out the request, or may still do so.
func (c *Client) Call(method, target string, body []byte, timeout time.Duration) (*Response, error) {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := c.acquireSlot(ctx); err != nil {
		return nil, c.notSentError(method, target, err)
	}
	defer c.releaseSlot()
	pooled, err := c.connect(ctx)
	if err != nil {
		return nil, c.notSentError(method, target, err)
	}
	head := make([]byte, 0, requestHeadBytes+len(body))
	response, err := pooled.roundTrip(appendRequest(head, method, c.addr, target, body), deadline)
	if err != nil {
		pooled.conn.Close()
		return nil, fmt.Errorf("%s %s%s: %w", method, c.addr, target, err)
	}
	if response.Close {
		pooled.conn.Close()
	} else {
		c.pushIdleConn(pooled)
	}
	return response, nil
}

// notSentError returns an error that wraps ErrNotSent and the cause.
func (c *Client) notSentError(method, target string, cause error) error {
	return fmt.Errorf("%w: %s %s%s: %w", ErrNotSent, method, c.addr, target, cause)
}

// acquireSlot waits for a slot and for the rate limiter. Unless it returns an error, the
// caller has to release the slot.
func (c *Client) acquireSlot(ctx context.Context) error {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return fmt.Errorf("wait for one of %d slots: %w", cap(c.slots), ctx.Err())
	}
	if c.rateLimiter == nil {
		return nil
	}
	if err := c.rateLimiter.Wait(ctx); err != nil {
		c.releaseSlot()
		return fmt.Errorf("wait for the rate limiter: %w", err)
	}
	return nil
}

// releaseSlot makes a slot available to another call.
func (c *Client) releaseSlot() { <-c.slots }

// connect returns an idle connection, or opens a new one.
func (c *Client) connect(ctx context.Context) (*pooledConn, error) {
	if pooled := c.popIdleConn(); pooled != nil {
		return pooled, nil
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", c.addr)
	if err != nil {
		return nil, err
	}
	return &pooledConn{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

// roundTrip sends a request and reads its response, both before the deadline.
func (p *pooledConn) roundTrip(request []byte, deadline time.Time) (*Response, error) {
	if err := p.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := p.conn.Write(request); err != nil {
		return nil, err
	}
	return readResponse(p.reader)
}

// popIdleConn removes and returns the most recently used idle connection. It closes the
// unusable ones that it finds, and returns nil if none is usable.
func (c *Client) popIdleConn() *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idleConns) > 0 {
		last := len(c.idleConns) - 1
		pooled := c.idleConns[last]
		c.idleConns = c.idleConns[:last]
		// Unsolicited bytes in the buffer would be taken for the next response.
		if time.Since(pooled.lastUsed) < idleConnTimeout && pooled.reader.Buffered() == 0 {
			return pooled
		}
		pooled.conn.Close()
	}
	return nil
}

// pushIdleConn keeps an open connection for later calls.
func (c *Client) pushIdleConn(pooled *pooledConn) {
	pooled.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns = append(c.idleConns, pooled)
}

// CloseIdleConns closes the connections that no call uses. The next call opens a new one.
func (c *Client) CloseIdleConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pooled := range c.idleConns {
		pooled.conn.Close()
	}
	c.idleConns = nil
}
