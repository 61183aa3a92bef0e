package main

import (
	"net/http"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/transport"
)

const (
	// maxStepAge is the maximum age of the last step while the process counts as healthy.
	maxStepAge = 2 * time.Second

	// overloadRetryAfterSeconds is the time after which a user may retry a request that was refused
	// because the input queue was full.
	overloadRetryAfterSeconds = 2
)

// handleRequest routes an HTTP request. It runs in the server's loop and must not block.
func (d *daemon) handleRequest(exchange *transport.Exchange) {
	switch exchange.Request.Path {
	case protocol.PathHealth:
		d.handleHealth(exchange)
	case protocol.PathHeartbeat:
		d.handleHeartbeat(exchange)
	default:
		d.handleJobRequest(exchange)
	}
}

// handleHealth replies to a health check with 200 if the daemon is healthy, and with 503 otherwise.
func (d *daemon) handleHealth(exchange *transport.Exchange) {
	switch {
	case exchange.Request.Method != http.MethodGet:
		d.replyError(exchange, http.StatusMethodNotAllowed, "method not allowed")
	case d.isHealthy():
		d.server.Reply(exchange, http.StatusOK, 0, []byte(`{}`))
	default:
		d.replyError(exchange, http.StatusServiceUnavailable, "not ready")
	}
}

// isHealthy reports whether the core is healthy and the event loop is running.
func (d *daemon) isHealthy() bool {
	return d.isCoreHealthy.Load() && time.Now().UnixNano()-d.lastStepNanos.Load() < int64(maxStepAge)
}

// handleHeartbeat queues an agent's heartbeat for the core, or refuses it if the queue is full.
func (d *daemon) handleHeartbeat(exchange *transport.Exchange) {
	if exchange.Request.Method != http.MethodPost {
		d.replyError(exchange, http.StatusMethodNotAllowed, "method not allowed")
		return
	}
	queued := queuedInput{input: step.HeartbeatInput{Body: exchange.Request.Body}, exchange: exchange}
	if !d.tryEnqueue(queued) {
		d.replyError(exchange, http.StatusServiceUnavailable, "overloaded")
	}
}

// handleJobRequest queues a user's request for the core, or refuses it if the path or the method is
// invalid or the queue is full.
func (d *daemon) handleJobRequest(exchange *transport.Exchange) {
	request := exchange.Request
	requestType, jobID, pathExists, methodAllowed := protocol.RouteJobRequest(request.Method, request.Path)
	if !pathExists {
		d.replyError(exchange, http.StatusNotFound, "no such path")
		return
	}
	if !methodAllowed {
		d.replyError(exchange, http.StatusMethodNotAllowed, "method not allowed")
		return
	}
	input := step.UserInput{Type: requestType, Job: jobID, Body: request.Body}
	if !d.tryEnqueue(queuedInput{input: input, exchange: exchange}) {
		d.replyRetryableError(exchange, http.StatusServiceUnavailable, overloadRetryAfterSeconds, "overloaded")
	}
}

// replyError replies with an error that carries no retry time. It has the same condition on detail
// as replyRetryableError.
func (d *daemon) replyError(exchange *transport.Exchange, status int, detail string) {
	d.replyRetryableError(exchange, status, 0, detail)
}

// replyRetryableError replies with an error and the time after which the request may be retried.
// The detail must need no escaping in JSON.
func (d *daemon) replyRetryableError(exchange *transport.Exchange, status, retryAfterSeconds int, detail string) {
	d.server.Reply(exchange, status, retryAfterSeconds, []byte(`{"error":"`+detail+`"}`))
}
