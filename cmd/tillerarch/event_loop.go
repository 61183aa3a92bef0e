package main

import (
	"context"
	"log/slog"
	"time"

	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/transport"
)

const (
	tickInterval = 50 * time.Millisecond

	// minQueueLength is the minimum capacity of the input queue. The capacity grows with the number
	// of sockets, because each socket may have a request in the queue.
	minQueueLength = 1024
)

// queuedInput is an input of the core with the request that it comes from, if any.
type queuedInput struct {
	input        step.Input
	exchange     *transport.Exchange // nil if the input does not come from an HTTP request
	adminRequest *adminRequest       // nil if the input does not come from an operator
}

// adminRequest is a request of an operator's tool. The event loop calls makeInput once the request
// has an ID, and sends the core's reply on the channel reply.
type adminRequest struct {
	makeInput inputFactory
	reply     chan<- step.Effect
}

// tryEnqueue queues an input and reports whether the queue had room for it.
func (d *daemon) tryEnqueue(queued queuedInput) bool {
	select {
	case d.inputs <- queued:
		return true
	default:
		return false
	}
}

// enqueue queues an input that must not be lost while the event loop runs. It blocks until the
// queue has room or the context ends.
func (d *daemon) enqueue(ctx context.Context, input step.Input) {
	select {
	case d.inputs <- queuedInput{input: input}:
	case <-ctx.Done():
	}
}

// runEventLoop passes inputs to the core one after the other, with a tick at every tickInterval, and
// executes the effects that the core returns. It returns when the context ends.
func (d *daemon) runEventLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var queued queuedInput
		select {
		case queued = <-d.inputs:
		case <-ticker.C:
			queued = queuedInput{input: step.Tick{}}
		case <-ctx.Done():
			return
		}
		for _, effect := range d.core.Step(d.now(), d.assignRequestID(queued)) {
			d.executeEffect(ctx, effect)
		}
		d.isCoreHealthy.Store(d.core.Healthy())
		d.lastStepNanos.Store(time.Now().UnixNano())
	}
}

// assignRequestID returns the core's input for a queued input. The input of a request gets a new
// request ID, under which assignRequestID records the recipient of the reply.
func (d *daemon) assignRequestID(queued queuedInput) step.Input {
	if queued.exchange != nil {
		d.lastRequestID++
		d.pendingExchanges[d.lastRequestID] = queued.exchange
		switch input := queued.input.(type) {
		case step.UserInput:
			input.RequestID = d.lastRequestID
			return input
		case step.HeartbeatInput:
			input.RequestID = d.lastRequestID
			return input
		}
	}
	if queued.adminRequest != nil {
		d.lastRequestID++
		d.pendingAdminRequests[d.lastRequestID] = queued.adminRequest.reply
		return queued.adminRequest.makeInput(d.lastRequestID)
	}
	return queued.input
}

// executeEffect executes an effect. An effect that waits for a response runs in a goroutine of its
// own, which ends at the latest with the call's timeout.
func (d *daemon) executeEffect(ctx context.Context, effect step.Effect) {
	switch effect := effect.(type) {
	case step.Reply:
		d.replyToExchange(effect)
	case requests.TransferReply:
		d.replyToAdmin(effect.RequestID, effect)
	case requests.DrainReply:
		d.replyToAdmin(effect.RequestID, effect)
	case requests.ShardingStatusReply:
		d.replyToAdmin(effect.RequestID, effect)
	case step.Log:
		slog.Log(ctx, effect.Level, effect.Message, effect.Args...)
	case step.SendPeerStatus:
		d.sendPeerStatus(&effect.Status)
	default:
		go d.executeCall(ctx, effect)
	}
}

// replyToExchange sends a reply to the HTTP request that awaits it.
func (d *daemon) replyToExchange(reply step.Reply) {
	if exchange := d.pendingExchanges[reply.RequestID]; exchange != nil {
		delete(d.pendingExchanges, reply.RequestID)
		d.server.Reply(exchange, reply.Status, reply.RetryAfterSeconds, reply.Body)
	}
}

// replyToAdmin sends a reply to the operator's request that awaits it. The operator's tool may have
// disconnected already.
func (d *daemon) replyToAdmin(id step.RequestID, effect step.Effect) {
	if reply := d.pendingAdminRequests[id]; reply != nil {
		delete(d.pendingAdminRequests, id)
		reply <- effect // does not block: the channel's buffer holds the only reply
	}
}
