package main

import (
	"log/slog"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/transport"
)

// handlePeerFrame queues a status that another controller sent. A status that arrives while the
// queue is full is dropped, because the next one follows soon.
func (d *daemon) handlePeerFrame(frame []byte) {
	var status step.PeerStatusWire
	if err := transport.DecodeFrame(frame, &status); err != nil {
		slog.Error("malformed peer status", "error", err)
		return
	}
	d.tryEnqueue(queuedInput{input: step.PeerStatusInput{Status: status.Status()}})
}

// sendPeerStatus sends this controller's status to all other controllers.
func (d *daemon) sendPeerStatus(status *step.PeerStatus) {
	wire := status.Wire()
	for _, peer := range d.peers {
		if err := peer.Send(wire); err != nil {
			slog.Error("peer status not sent", "error", err)
		}
	}
}
