package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// A client must keep its connection between calls, and connect again after CloseIdleConns.
func TestClientCall(t *testing.T) {
	server := startServer(t, testConfig(t, 20))
	client := NewClient(server.config.Addr, 1, nil)
	t.Cleanup(client.CloseIdleConns)
	for _, target := range []string{"/a", "/b"} {
		response, err := client.Call("GET", target, nil, 5*time.Second)
		if err != nil || response.Status != 200 || string(response.Body) != target {
			t.Fatalf("%s: got response %+v, error %v, want status 200 and the target as body", target, response, err)
		}
		if len(client.idleConns) != 1 {
			t.Errorf("%s: %d idle connections, want 1", target, len(client.idleConns))
		}
	}
	client.CloseIdleConns()
	if response, err := client.Call("GET", "/c", nil, 5*time.Second); err != nil || string(response.Body) != "/c" {
		t.Errorf("after CloseIdleConns: got response %+v, error %v, want the target as body", response, err)
	}
}

// Errors must report whether the other side may have carried out the request.
func TestClientErrors(t *testing.T) {
	const timeout = 200 * time.Millisecond
	silentListener, err := net.Listen("tcp4", "127.0.0.1:0") // accepts connections and never responds
	if err != nil {
		t.Fatal(err)
	}
	defer silentListener.Close()
	silentAddr := silentListener.Addr().String()
	busyClient := NewClient(silentAddr, 1, nil)
	busyClient.slots <- struct{}{}
	for _, test := range []struct {
		name        string
		client      *Client
		wantNotSent bool
		wantCause   error // nil allows any cause
	}{
		{"nobody listens", NewClient(freeAddr(t), 1, nil), true, nil},
		{"no slot is free", busyClient, true, context.DeadlineExceeded},
		{"rate limiter refuses", NewClient(silentAddr, 1, rate.NewLimiter(0, 0)), true, nil},
		{"no response", NewClient(silentAddr, 1, nil), false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := test.client.Call("GET", "/a", nil, timeout)
			if err == nil || errors.Is(err, ErrNotSent) != test.wantNotSent {
				t.Errorf("got error %v, want one that wraps ErrNotSent: %v", err, test.wantNotSent)
			}
			if test.wantCause != nil && !errors.Is(err, test.wantCause) {
				t.Errorf("got error %v, want one that wraps %v", err, test.wantCause)
			}
			if slotsInUse := len(test.client.slots); slotsInUse != 0 && test.client != busyClient {
				t.Errorf("%d slots are in use after the call, want 0", slotsInUse)
			}
		})
	}
}
