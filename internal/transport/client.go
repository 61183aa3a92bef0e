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
	addr   string
	tokens *rate.Limiter // nil: no limit
	slots  chan struct{}
	mu     sync.Mutex
	idle   []*link
}

type link struct {
	c    net.Conn
	r    *bufio.Reader
	used time.Time
}

const keepIdle = 20 * time.Second

// NewClient makes a client. tokens bounds its call rate and may be nil.
func NewClient(addr string, parallel int, tokens *rate.Limiter) *Client {
	return &Client{addr: addr, tokens: tokens, slots: make(chan struct{}, parallel)}
}

// Call sends one request. An error that is not ErrNotSent leaves open whether
// the other side has carried the request out, or still will.
func (c *Client) Call(method, target string, body []byte, timeout time.Duration) (*Answer, error) {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return nil, ErrNotSent
	}
	if c.tokens != nil && c.tokens.Wait(ctx) != nil {
		return nil, ErrNotSent
	}
	l := c.get()
	if l == nil {
		nc, err := (&net.Dialer{Deadline: deadline}).Dial("tcp4", c.addr)
		if err != nil {
			return nil, errors.Join(ErrNotSent, err)
		}
		l = &link{c: nc, r: bufio.NewReaderSize(nc, 8<<10)}
	}
	l.c.SetDeadline(deadline)
	if _, err := l.c.Write(AppendRequest(make([]byte, 0, 256+len(body)), method, c.addr, target, body)); err != nil {
		l.c.Close()
		return nil, err
	}
	a, err := ReadAnswer(l.r)
	if err != nil || a.Close {
		l.c.Close()
		return a, err
	}
	l.used = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, l)
	c.mu.Unlock()
	return a, nil
}

func (c *Client) get() *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		l := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(l.used) < keepIdle && l.r.Buffered() == 0 {
			return l
		}
		l.c.Close()
	}
	return nil
}

// CloseIdle drops kept connections, so that the next call opens a new one.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idle {
		l.c.Close()
	}
	c.idle = nil
}
