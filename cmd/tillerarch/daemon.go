package main

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"tillerarch/internal/coordination"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"tillerarch/internal/transport"
)

// Bounds of the process.
const (
	maxProcs            = 2
	memoryLimitFraction = 0.6 // of the memory that the platform grants
	bytesPerMB          = 1 << 20

	// gcPercent trades memory for time: live data is 10 to 20 MB, and most of what a heartbeat
	// leaves behind is garbage. A larger heap costs memory that is there, and halves the
	// collector's work.
	gcPercent = 400
)

// Connections of the process.
const (
	storeConnections = 6
	watchConnections = 1
	cloudConnections = 4

	// The server leaves sockets for this process's own calls: one in so many, and some more.
	ownSocketDivisor  = 8
	ownSockets        = 24
	minServerSockets  = 8
	serverIdleTimeout = 120 * time.Second
	serverReadTimeout = 10 * time.Second
)

// Limits of the request rates. Each controller may use an even part of the store's; the cloud's
// calls come in bursts at one controller, the one whose jobs need machines, so each may use more
// than its even part. A 429 is only a delay.
const (
	cloudRateFraction = 0.6
	minRateBurst      = 2 // requests
)

// daemon ties the core to the world: it hands the core one input at a time and carries out the
// effects.
type daemon struct {
	settings  *settings
	core      *coordination.Core // used by the event loop only
	startedAt time.Time

	server *transport.Server
	store  *storage.Client
	cloud  *transport.Client
	agents *agentClients
	peers  []*transport.PeerClient

	inputs               chan queuedInput
	pendingExchanges     map[step.RequestID]*transport.Exchange // HTTP requests that wait for replies
	pendingAdminRequests map[step.RequestID]chan<- step.Effect  // operators' requests that wait for replies
	lastRequestID        step.RequestID

	healthy       atomic.Bool
	lastStepNanos atomic.Int64 // unix nanoseconds of the last step
}

// serve runs a controller until it fails.
func serve(ctx context.Context, s *settings) error {
	limitProcess(s.memoryMB)
	return newDaemon(s).run(ctx)
}

// limitProcess bounds what the process takes of the machine.
func limitProcess(memoryMB float64) {
	runtime.GOMAXPROCS(maxProcs)
	debug.SetMemoryLimit(int64(memoryMB * memoryLimitFraction * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}

// newDaemon makes a daemon that does not run yet.
func newDaemon(s *settings) *daemon {
	controllers := float64(len(s.peerAddrs) + 1)
	storeLimiter := newRateLimiter(s.storeRPS/controllers, s.storeRPS/controllers)
	cloudLimiter := newRateLimiter(s.cloudRPS*cloudRateFraction, s.cloudRPS)
	d := &daemon{
		settings:  s,
		startedAt: time.Now(),
		store: &storage.Client{
			RequestCaller: transport.NewClient(s.storeAddr, storeConnections, storeLimiter),
			WatchCaller:   transport.NewClient(s.storeAddr, watchConnections, storeLimiter),
			Timeout:       storeTimeout,
		},
		cloud:                transport.NewClient(s.cloudAddr, cloudConnections, cloudLimiter),
		agents:               newAgentClients(),
		inputs:               make(chan queuedInput, max(minQueueLength, s.maxSockets)),
		pendingExchanges:     map[step.RequestID]*transport.Exchange{},
		pendingAdminRequests: map[step.RequestID]chan<- step.Effect{},
	}
	for _, addr := range s.peerAddrs {
		d.peers = append(d.peers, transport.NewPeerClient(addr))
	}
	d.core = coordination.New(s.core, d.now())
	d.server = transport.NewServer(transport.ServerConfig{
		Addr:        s.listen,
		PeerAddr:    s.peerListen,
		MaxConns:    max(s.maxSockets-s.maxSockets/ownSocketDivisor-ownSockets, minServerSockets),
		IdleTimeout: serverIdleTimeout,
		ReadTimeout: serverReadTimeout,
	}, d.handleRequest)
	d.server.PeerHandler = d.handlePeerFrame
	return d
}

// newRateLimiter allows so many requests a second, in bursts of up to burst.
func newRateLimiter(rps, burst float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(rps), max(int(burst), minRateBurst))
}

// run serves until the server fails. The goroutines that it starts end with it; calls under way
// are left to their timeouts.
func (d *daemon) run(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	failed := make(chan error, 1)
	go func() { failed <- d.server.Run() }()
	loops.Go(func() { d.runLoop(ctx) })
	if d.settings.adminListen != "" {
		loops.Go(func() { d.serveAdmin(ctx, d.settings.adminListen) })
	}
	slog.Info("controller started", "version", version,
		"controller", string(d.settings.core.ControllerID), "listen", d.settings.listen)
	return fmt.Errorf("listen %s: %w", d.settings.listen, <-failed)
}

// now is the time of a step: monotonic since the start of the process, never zero, and wall time.
func (d *daemon) now() step.Now {
	t := time.Now()
	return step.Now{
		Monotonic: protocol.Instant(t.Sub(d.startedAt)) + 1,
		Wall:      protocol.Millis(t.UnixMilli()),
	}
}
