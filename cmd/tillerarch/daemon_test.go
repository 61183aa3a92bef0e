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

// newTestDaemon returns a daemon that is not running and whose cloud is at cloudAddr.
func newTestDaemon(t *testing.T, cloudAddr string) *daemon {
	t.Helper()
	settings, err := loadSettings(writeFile(t, "s.toml", validSettings), "")
	if err != nil {
		t.Fatal(err)
	}
	settings.cloudAddr = cloudAddr
	return newDaemon(settings)
}

// The result of a provision request distinguishes whether the cloud has no machines, refuses the
// request, or may have carried it out. Only a request that may have been carried out is repeated.
func TestProvisionMachines(t *testing.T) {
	for _, test := range []struct {
		name           string
		status         int
		body           string
		wantMachines   []protocol.MachineID
		wantNoCapacity bool
		wantInvalid    bool
		wantErr        string // part of the error's text; empty if no error is expected
	}{
		{
			name:         "granted",
			status:       http.StatusOK,
			body:         `{"stalls":["m-1","m-2"]}`,
			wantMachines: []protocol.MachineID{"m-1", "m-2"},
		},
		{name: "no machines granted", status: http.StatusOK, body: `{"stalls":[]}`},
		{name: "invalid name of a machine", status: http.StatusOK, body: `{"stalls":["m-1",""]}`, wantErr: "invalid name"},
		{name: "malformed grant", status: http.StatusOK, body: `{`, wantErr: "parse granted machines"},
		{name: "no capacity", status: http.StatusServiceUnavailable, body: `{"error":"no capacity"}`, wantNoCapacity: true},
		{
			name:    "unavailable",
			status:  http.StatusServiceUnavailable,
			body:    `{"error":"busy"}`,
			wantErr: "cloud answered 503 busy",
		},
		{name: "invalid request", status: http.StatusBadRequest, body: `{}`, wantInvalid: true},
		{name: "too many requests", status: http.StatusTooManyRequests, body: `{}`, wantErr: "cloud answered 429"},
	} {
		t.Run(test.name, func(t *testing.T) {
			cloud := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost || r.URL.Path != protocol.PathInstances {
					t.Errorf("unexpected request %s %s, want a provision request", r.Method, r.URL.Path)
				}
				w.WriteHeader(test.status)
				fmt.Fprint(w, test.body)
			}))
			defer cloud.Close()
			testDaemon := newTestDaemon(t, cloud.Listener.Addr().String())
			result := testDaemon.provisionMachines(protocol.ProvisionRequest{RequestID: "r-1", Count: 2})
			if result.Request.RequestID != "r-1" {
				t.Errorf(`result has request ID %q, want "r-1"`, result.Request.RequestID)
			}
			if !slices.Equal(result.Machines, test.wantMachines) || result.NoCapacity != test.wantNoCapacity || result.Invalid != test.wantInvalid {
				t.Errorf("result has machines %v, no capacity %v, invalid %v, want wantMachines, wantNoCapacity and wantInvalid of the case",
					result.Machines, result.NoCapacity, result.Invalid)
			}
			if (result.Err != nil) != (test.wantErr != "") || test.wantErr != "" && !strings.Contains(result.Err.Error(), test.wantErr) {
				t.Errorf("error %v, want one that contains %q (empty means none)", result.Err, test.wantErr)
			}
		})
	}
}

// The error of a call that was never sent wraps ErrNotSent and names the path of the request.
func TestCloudCallNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	_, err = newTestDaemon(t, addr).callCloud("GET", protocol.PathMachineTypes, nil)
	if !errors.Is(err, transport.ErrNotSent) || !strings.Contains(err.Error(), protocol.PathMachineTypes) {
		t.Errorf("error %v, want one that names the path and wraps ErrNotSent", err)
	}
}

// The client of an agent is reused, and the number of kept clients is bounded.
func TestAgentClientsBounded(t *testing.T) {
	agents := newAgentClients()
	first := agents.clientFor("127.0.0.1:1")
	if agents.clientFor("127.0.0.1:1") != first {
		t.Error("a second client was created for the same address, want the first one")
	}
	for port := 2; port < 3*maxAgentClients; port++ {
		agents.clientFor(fmt.Sprintf("127.0.0.1:%d", port))
		if len(agents.clients) > maxAgentClients+1 {
			t.Fatalf("%d clients are kept, want at most one more than maxAgentClients", len(agents.clients))
		}
	}
}

// The event loop ends with its context. A call whose response arrives later doesn't block on the
// input queue.
func TestEventLoopEnds(t *testing.T) {
	testDaemon := newTestDaemon(t, "127.0.0.1:1")
	testDaemon.inputs = make(chan queuedInput) // unbuffered, so that a send blocks while nothing receives
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		testDaemon.runEventLoop(ctx)
		testDaemon.enqueue(ctx, step.Tick{})
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the event loop or enqueue still blocks after the context has ended")
	}
}
