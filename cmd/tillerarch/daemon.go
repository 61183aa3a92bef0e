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

// Resource limits of the process.
const (
	maxProcs            = 2
	memoryLimitFraction = 0.6 // of the memory that the platform grants
	bytesPerMB          = 1 << 20

	// gcPercent trades memory for processor time. Live data is 10 to 20 MB, and most of what a
	// heartbeat allocates becomes garbage. The larger heap uses memory that is available, and it
	// halves the garbage collector's work.
	gcPercent = 400
)

// Connections of the process, per destination, and limits of its HTTP server.
const (
	storeConnections = 6
	watchConnections = 1
	cloudConnections = 4

	// The server accepts fewer connections than the process has sockets, so that sockets remain for
	// the process's outbound calls: one in every outboundSocketDivisor, plus extraOutboundSockets.
	outboundSocketDivisor = 8
	extraOutboundSockets  = 24
	minServerSockets      = 8
	serverIdleTimeout     = 120 * time.Second
	serverReadTimeout     = 10 * time.Second
)

// Limits of the request rates. Each controller may use an even share of the store's rate. Calls to
// the cloud come in bursts from the one controller whose jobs need machines, so each controller may
// use more than an even share of the cloud's rate. A response with status 429 only delays a call.
const (
	cloudRateFraction = 0.6 // of the cloud's rate, for each controller
	minRateBurst      = 2   // requests
)

// daemon runs the core: it passes one input at a time to the core and executes the effects that the
// core returns.
type daemon struct {
	settings  *daemonSettings
	core      *coordination.Core // used by the event loop only
	startedAt time.Time

	server *transport.Server
	store  *storage.Client
	cloud  *transport.Client
	agents *agentClients
	peers  []*transport.PeerClient

	inputs               chan queuedInput
	pendingExchanges     map[step.RequestID]*transport.Exchange // HTTP requests that await replies
	pendingAdminRequests map[step.RequestID]chan<- step.Effect  // operators' requests that await replies
	lastRequestID        step.RequestID

	isCoreHealthy atomic.Bool
	lastStepNanos atomic.Int64 // time of the last step, Unix nanoseconds
}

// runDaemon runs a controller until its server fails, and returns the failure.
func runDaemon(ctx context.Context, settings *daemonSettings) error {
	limitProcessResources(settings.memoryMB)
	return newDaemon(settings).run(ctx)
}

// limitProcessResources limits the processors and the memory that the process uses.
func limitProcessResources(memoryMB float64) {
	runtime.GOMAXPROCS(maxProcs)
	debug.SetMemoryLimit(int64(memoryMB * memoryLimitFraction * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}

// newDaemon returns a daemon that is not yet running.
func newDaemon(settings *daemonSettings) *daemon {
	controllerCount := float64(len(settings.peerAddrs) + 1)
	storeLimiter := newRateLimiter(settings.storeRPS/controllerCount, settings.storeRPS/controllerCount)
	cloudLimiter := newRateLimiter(settings.cloudRPS*cloudRateFraction, settings.cloudRPS)
	controllerDaemon := &daemon{
		settings:  settings,
		startedAt: time.Now(),
		store: &storage.Client{
			RequestCaller: transport.NewClient(settings.storeAddr, storeConnections, storeLimiter),
			WatchCaller:   transport.NewClient(settings.storeAddr, watchConnections, storeLimiter),
			Timeout:       storeTimeout,
		},
		cloud:                transport.NewClient(settings.cloudAddr, cloudConnections, cloudLimiter),
		agents:               newAgentClients(),
		inputs:               make(chan queuedInput, max(minQueueLength, settings.maxSockets)),
		pendingExchanges:     map[step.RequestID]*transport.Exchange{},
		pendingAdminRequests: map[step.RequestID]chan<- step.Effect{},
	}
	for _, addr := range settings.peerAddrs {
		controllerDaemon.peers = append(controllerDaemon.peers, transport.NewPeerClient(addr))
	}
	controllerDaemon.core = coordination.New(settings.core, controllerDaemon.now())
	controllerDaemon.server = transport.NewServer(transport.ServerConfig{
		Addr:        settings.listen,
		PeerAddr:    settings.peerListen,
		MaxConns:    max(settings.maxSockets-settings.maxSockets/outboundSocketDivisor-extraOutboundSockets, minServerSockets),
		IdleTimeout: serverIdleTimeout,
		ReadTimeout: serverReadTimeout,
	}, controllerDaemon.handleRequest)
	controllerDaemon.server.PeerHandler = controllerDaemon.handlePeerFrame
	return controllerDaemon
}

// newRateLimiter returns a limiter that allows rps requests per second in bursts of up to burst
// requests, or of minRateBurst requests if burst is less.
func newRateLimiter(rps, burst float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(rps), max(int(burst), minRateBurst))
}

// run serves until the server fails, and returns the failure. It waits for the event loop and the
// admin service to end. Calls in progress end with their own timeouts.
func (d *daemon) run(ctx context.Context) error {
	var backgroundLoops sync.WaitGroup
	defer backgroundLoops.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	serverErrors := make(chan error, 1)
	go func() { serverErrors <- d.server.Run() }()
	backgroundLoops.Go(func() { d.runEventLoop(ctx) })
	if d.settings.adminListen != "" {
		backgroundLoops.Go(func() { d.serveAdmin(ctx, d.settings.adminListen) })
	}
	slog.Info("controller started", "version", version,
		"controller", string(d.settings.core.ControllerID), "listen", d.settings.listen)
	return fmt.Errorf("listen %s: %w", d.settings.listen, <-serverErrors)
}

// now returns the current time for a step: the monotonic time since the daemon was created, which
// is never zero, and the wall time.
func (d *daemon) now() step.Now {
	current := time.Now()
	return step.Now{
		Monotonic: protocol.Instant(current.Sub(d.startedAt)) + 1,
		Wall:      protocol.Millis(current.UnixMilli()),
	}
}
