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

// ErrNotSent is wrapped by the errors of calls of which no byte has left this process.
var ErrNotSent = errors.New("not sent")

const (
	// idleConnTimeout is the age from which a call opens a new connection rather than
	// risk one that the other side has given up.
	idleConnTimeout = 20 * time.Second
	// readBufferBytes is also the longest header line of a response.
	readBufferBytes = 8 << 10
	// requestHeadBytes is room for a request's head; a longer one costs a second
	// allocation.
	requestHeadBytes = 256
)

// Client sends HTTP requests to one address over connections that it keeps open.
type Client struct {
	addr        string
	rateLimiter *rate.Limiter // nil: no limit
	slots       chan struct{} // one element for each call under way
	mu          sync.Mutex
	idleConns   []*pooledConn // the last one used at the end
}

type pooledConn struct {
	conn     net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

// NewClient makes a client with at most maxConcurrent calls at once. rateLimiter bounds
// the rate of its calls; it may be shared, and nil.
func NewClient(addr string, maxConcurrent int, rateLimiter *rate.Limiter) *Client {
	return &Client{addr: addr, rateLimiter: rateLimiter, slots: make(chan struct{}, maxConcurrent)}
}

// Call sends one request and waits for its response, both within timeout, which includes
// the wait for a slot and for the rate limiter. After an error that does not wrap
// ErrNotSent the other side may have carried the request out, or may still do so.
func (c *Client) Call(method, target string, body []byte, timeout time.Duration) (*Response, error) {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := c.admit(ctx); err != nil {
		return nil, c.notSent(method, target, err)
	}
	defer c.releaseSlot()
	pooled, err := c.connect(ctx)
	if err != nil {
		return nil, c.notSent(method, target, err)
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

func (c *Client) notSent(method, target string, cause error) error {
	return fmt.Errorf("%w: %s %s%s: %w", ErrNotSent, method, c.addr, target, cause)
}

// admit waits for a slot, which the caller then holds, and for the rate limiter.
func (c *Client) admit(ctx context.Context) error {
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

func (c *Client) releaseSlot() { <-c.slots }

// connect returns an idle connection or opens one.
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

func (p *pooledConn) roundTrip(request []byte, deadline time.Time) (*Response, error) {
	if err := p.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := p.conn.Write(request); err != nil {
		return nil, err
	}
	return readResponse(p.reader)
}

// popIdleConn takes the connection that was used last; nil if none is usable.
func (c *Client) popIdleConn() *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idleConns) > 0 {
		last := len(c.idleConns) - 1
		pooled := c.idleConns[last]
		c.idleConns = c.idleConns[:last]
		// Bytes that nobody asked for would be taken for the next response.
		if time.Since(pooled.lastUsed) < idleConnTimeout && pooled.reader.Buffered() == 0 {
			return pooled
		}
		pooled.conn.Close()
	}
	return nil
}

func (c *Client) pushIdleConn(pooled *pooledConn) {
	pooled.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns = append(c.idleConns, pooled)
}

// CloseIdleConns closes the connections that no call uses; the next call opens a new one.
func (c *Client) CloseIdleConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pooled := range c.idleConns {
		pooled.conn.Close()
	}
	c.idleConns = nil
}
