package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

func TestClientCall(t *testing.T) {
	server := startServer(t, testConfig(t, 20))
	client := NewClient(server.config.Addr, 1, nil)
	t.Cleanup(client.CloseIdleConns)
	for _, target := range []string{"/a", "/b"} {
		response, err := client.Call("GET", target, nil, 5*time.Second)
		if err != nil || response.Status != 200 || string(response.Body) != target {
			t.Fatalf("%s: got %+v, %v", target, response, err)
		}
		if len(client.idleConns) != 1 {
			t.Errorf("%s: %d idle connections, want 1", target, len(client.idleConns))
		}
	}
	client.CloseIdleConns()
	if response, err := client.Call("GET", "/c", nil, 5*time.Second); err != nil || string(response.Body) != "/c" {
		t.Errorf("after CloseIdleConns: got %+v, %v", response, err)
	}
}

// The caller must know whether a request may have been carried out.
func TestClientErrors(t *testing.T) {
	const timeout = 200 * time.Millisecond
	silent, err := net.Listen("tcp4", "127.0.0.1:0") // takes connections and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	silentAddr := silent.Addr().String()
	busy := NewClient(silentAddr, 1, nil)
	busy.slots <- struct{}{}
	for _, c := range []struct {
		name    string
		client  *Client
		notSent bool
		cause   error // nil: any
	}{
		{"nobody listens", NewClient(freeAddr(t), 1, nil), true, nil},
		{"no slot is free", busy, true, context.DeadlineExceeded},
		{"rate limiter refuses", NewClient(silentAddr, 1, rate.NewLimiter(0, 0)), true, nil},
		{"no response", NewClient(silentAddr, 1, nil), false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := c.client.Call("GET", "/a", nil, timeout)
			if err == nil || errors.Is(err, ErrNotSent) != c.notSent {
				t.Errorf("error %v, want not sent: %v", err, c.notSent)
			}
			if c.cause != nil && !errors.Is(err, c.cause) {
				t.Errorf("error %v does not wrap %v", err, c.cause)
			}
			if held := len(c.client.slots); held != 0 && c.client != busy {
				t.Errorf("%d slots are still held", held)
			}
		})
	}
}
