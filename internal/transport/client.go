package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ErrNotSent says that a call never left this process.
var ErrNotSent = errors.New("not sent")

// Client calls one address over kept connections, at most Limit calls at once.
type Client struct {
	addr        string
	rateLimiter *rate.Limiter // nil: no limit
	slots       chan struct{}
	mu          sync.Mutex
	idleConns   []*pooledConn
}

type pooledConn struct {
	conn     net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

const idleConnTimeout = 20 * time.Second

// NewClient makes a client. tokens bounds its call rate and may be nil.
func NewClient(addr string, maxConcurrent int, rateLimiter *rate.Limiter) *Client {
	return &Client{addr: addr, rateLimiter: rateLimiter, slots: make(chan struct{}, maxConcurrent)}
}

// Call sends one request. An error that is not ErrNotSent leaves open whether
// the other side has carried the request out, or still will.
func (c *Client) Call(method, target string, body []byte, timeout time.Duration) (*Response, error) {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return nil, ErrNotSent
	}
	if c.rateLimiter != nil && c.rateLimiter.Wait(ctx) != nil {
		return nil, ErrNotSent
	}
	pooled := c.popIdleConn()
	if pooled == nil {
		netConn, err := (&net.Dialer{Deadline: deadline}).Dial("tcp4", c.addr)
		if err != nil {
			return nil, errors.Join(ErrNotSent, err)
		}
		pooled = &pooledConn{conn: netConn, reader: bufio.NewReaderSize(netConn, 8<<10)}
	}
	pooled.conn.SetDeadline(deadline)
	if _, err := pooled.conn.Write(AppendRequest(make([]byte, 0, 256+len(body)), method, c.addr, target, body)); err != nil {
		pooled.conn.Close()
		return nil, err
	}
	response, err := ReadResponse(pooled.reader)
	if err != nil || response.Close {
		pooled.conn.Close()
		return response, err
	}
	pooled.lastUsed = time.Now()
	c.mu.Lock()
	c.idleConns = append(c.idleConns, pooled)
	c.mu.Unlock()
	return response, nil
}

func (c *Client) popIdleConn() *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idleConns) > 0 {
		pooled := c.idleConns[len(c.idleConns)-1]
		c.idleConns = c.idleConns[:len(c.idleConns)-1]
		if time.Since(pooled.lastUsed) < idleConnTimeout && pooled.reader.Buffered() == 0 {
			return pooled
		}
		pooled.conn.Close()
	}
	return nil
}

// CloseIdleConns drops kept connections, so that the next call opens a new one.
func (c *Client) CloseIdleConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pooled := range c.idleConns {
		pooled.conn.Close()
	}
	c.idleConns = nil
}
