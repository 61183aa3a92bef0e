package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

// newTestDaemon makes a daemon whose cloud is at an address; it does not run.
func newTestDaemon(t *testing.T, cloudAddr string) *daemon {
	t.Helper()
	s, err := loadSettings(writeFile(t, "s.toml", goodSettings), "")
	if err != nil {
		t.Fatal(err)
	}
	s.cloudAddr = cloudAddr
	return newDaemon(s)
}

// What the cloud answers to a provision request tells apart whether it has no machines, refuses
// the request, or may have carried it out: only then is the request repeated.
func TestProvisionMachines(t *testing.T) {
	for _, c := range []struct {
		name       string
		status     int
		body       string
		machines   []protocol.MachineID
		noCapacity bool
		invalid    bool
		err        string // part of the error's text; empty: none
	}{
		{
			name:     "granted",
			status:   http.StatusOK,
			body:     `{"stalls":["m-1","m-2"]}`,
			machines: []protocol.MachineID{"m-1", "m-2"},
		},
		{name: "granted none", status: http.StatusOK, body: `{"stalls":[]}`},
		{name: "invalid name of a machine", status: http.StatusOK, body: `{"stalls":["m-1",""]}`, err: "invalid name"},
		{name: "malformed grant", status: http.StatusOK, body: `{`, err: "parse granted machines"},
		{name: "no capacity", status: http.StatusServiceUnavailable, body: `{"error":"no capacity"}`, noCapacity: true},
		{
			name:   "unavailable",
			status: http.StatusServiceUnavailable,
			body:   `{"error":"busy"}`,
			err:    "cloud answered 503 busy",
		},
		{name: "invalid request", status: http.StatusBadRequest, body: `{}`, invalid: true},
		{name: "too many requests", status: http.StatusTooManyRequests, body: `{}`, err: "cloud answered 429"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cloud := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost || r.URL.Path != protocol.PathInstances {
					t.Errorf("%s %s is called", r.Method, r.URL.Path)
				}
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			}))
			defer cloud.Close()
			d := newTestDaemon(t, cloud.Listener.Addr().String())
			result := d.provisionMachines(protocol.ProvisionRequest{RequestID: "r-1", Count: 2})
			if result.Request.RequestID != "r-1" {
				t.Errorf("the result is of request %q", result.Request.RequestID)
			}
			if !slices.Equal(result.Machines, c.machines) || result.NoCapacity != c.noCapacity || result.Invalid != c.invalid {
				t.Errorf("machines %v, no capacity %v, invalid %v", result.Machines, result.NoCapacity, result.Invalid)
			}
			if (result.Err != nil) != (c.err != "") || c.err != "" && !strings.Contains(result.Err.Error(), c.err) {
				t.Errorf("error %v, want one with %q", result.Err, c.err)
			}
		})
	}
}

// A call that never left the process is still known as such behind what was tried.
func TestCloudCallNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	_, err = newTestDaemon(t, addr).callCloud("GET", protocol.PathMachineTypes, nil)
	if !errors.Is(err, transport.ErrNotSent) || !strings.Contains(err.Error(), protocol.PathMachineTypes) {
		t.Errorf("error %v, want one that names the path and is ErrNotSent", err)
	}
}

// Agents' clients are kept by address, and not without bound.
func TestAgentClientsBounded(t *testing.T) {
	agents := newAgentClients()
	first := agents.client("127.0.0.1:1")
	if agents.client("127.0.0.1:1") != first {
		t.Error("a client is made anew")
	}
	for port := 2; port < 3*maxAgentClients; port++ {
		agents.client(fmt.Sprintf("127.0.0.1:%d", port))
		if len(agents.clients) > maxAgentClients+1 {
			t.Fatalf("%d clients are kept", len(agents.clients))
		}
	}
}

// The event loop ends with its context, and calls that are answered later do not wait for it.
func TestEventLoopEnds(t *testing.T) {
	d := newTestDaemon(t, "127.0.0.1:1")
	d.inputs = make(chan queuedInput) // nothing can wait in it
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.runLoop(ctx)
		d.enqueue(ctx, step.Tick{})
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the event loop or the input of a late answer still waits")
	}
}
