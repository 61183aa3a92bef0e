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

	// minQueueLength is the least number of inputs that can wait; the queue grows with the
	// sockets, each of which may have a request in it.
	minQueueLength = 1024
)

// queuedInput is an input with the request it came from, if any.
type queuedInput struct {
	input        step.Input
	exchange     *transport.Exchange
	adminRequest *adminRequest
}

// adminRequest is a request of an operator's tool: its input is made once it has a number, and
// the reply is sent to whoever waits for it.
type adminRequest struct {
	makeInput inputFactory
	reply     chan<- step.Effect
}

// tryEnqueue queues an input unless the queue is full.
func (d *daemon) tryEnqueue(queued queuedInput) bool {
	select {
	case d.inputs <- queued:
		return true
	default:
		return false
	}
}

// enqueue queues an input that must not be lost while the event loop runs.
func (d *daemon) enqueue(ctx context.Context, in step.Input) {
	select {
	case d.inputs <- queuedInput{input: in}:
	case <-ctx.Done():
	}
}

// runLoop is the event loop: it hands the core one input after the other, a tick now and then,
// and carries out the effects.
func (d *daemon) runLoop(ctx context.Context) {
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
		for _, effect := range d.core.Step(d.now(), d.numberInput(queued)) {
			d.executeEffect(ctx, effect)
		}
		d.healthy.Store(d.core.Healthy())
		d.lastStepNanos.Store(time.Now().UnixNano())
	}
}

// numberInput gives a request the number under which its reply will come, and keeps who waits
// for that.
func (d *daemon) numberInput(queued queuedInput) step.Input {
	if queued.exchange != nil {
		d.lastRequestID++
		d.pendingExchanges[d.lastRequestID] = queued.exchange
		switch v := queued.input.(type) {
		case step.UserInput:
			v.RequestID = d.lastRequestID
			return v
		case step.HeartbeatInput:
			v.RequestID = d.lastRequestID
			return v
		}
	}
	if queued.adminRequest != nil {
		d.lastRequestID++
		d.pendingAdminRequests[d.lastRequestID] = queued.adminRequest.reply
		return queued.adminRequest.makeInput(d.lastRequestID)
	}
	return queued.input
}

// executeEffect carries out an effect. One that waits for an answer gets a goroutine, which ends
// with the call's timeout.
func (d *daemon) executeEffect(ctx context.Context, effect step.Effect) {
	switch v := effect.(type) {
	case step.Reply:
		d.reply(v)
	case requests.TransferReply:
		d.replyToAdmin(v.RequestID, v)
	case requests.DrainReply:
		d.replyToAdmin(v.RequestID, v)
	case requests.ShardingStatusReply:
		d.replyToAdmin(v.RequestID, v)
	case step.Log:
		slog.Log(ctx, v.Level, v.Message, v.Args...)
	case step.SendPeerStatus:
		d.sendPeerStatus(&v.Status)
	default:
		go d.executeCall(ctx, effect)
	}
}

// reply answers an HTTP request.
func (d *daemon) reply(reply step.Reply) {
	if exchange := d.pendingExchanges[reply.RequestID]; exchange != nil {
		delete(d.pendingExchanges, reply.RequestID)
		d.server.Reply(exchange, reply.Status, reply.RetryAfterSeconds, reply.Body)
	}
}

// replyToAdmin sends a reply to the operator's tool that waits for it, which may have gone.
func (d *daemon) replyToAdmin(id step.RequestID, effect step.Effect) {
	if reply := d.pendingAdminRequests[id]; reply != nil {
		delete(d.pendingAdminRequests, id)
		reply <- effect // the channel has room for the one reply
	}
}
