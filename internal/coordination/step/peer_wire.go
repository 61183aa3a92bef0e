package step

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// The messages between controllers are encoded with encoding/gob, which transmits Go field names.
// Two versions run side by side during an upgrade, so the names in this file must stay those of
// every version in production. All other code uses the types that the wire types are converted to
// and from.

// PeerStatusWire is the wire form of a PeerStatus.
type PeerStatusWire struct {
	Member  protocol.ControllerID
	StateOK bool
	Run     storage.Incarnation
	Fit     bool
	Seen    []misdirectedHeartbeatWire
	Rev     protocol.Revision
	Intents []cancelIntentWire
	Acks    []protocol.JobID
}

type misdirectedHeartbeatWire struct {
	Machine protocol.MachineID
	Session protocol.AgentEpoch
	Tally   protocol.Sequence
}

type cancelIntentWire struct {
	Job protocol.JobID
	Rev protocol.Revision
}

// Wire converts a status to its wire form.
func (s *PeerStatus) Wire() *PeerStatusWire {
	wire := &PeerStatusWire{
		Member:  s.ControllerID,
		StateOK: s.StoreReachable,
		Run:     s.Incarnation,
		Fit:     s.AcceptsShards,
		Rev:     s.Revision,
		Acks:    s.CancelAcks,
	}
	for _, misdirected := range s.MisdirectedHeartbeats {
		wire.Seen = append(wire.Seen, misdirectedHeartbeatWire{
			Machine: misdirected.Machine,
			Session: misdirected.AgentEpoch,
			Tally:   misdirected.Sequence,
		})
	}
	for _, request := range s.CancelRequests {
		wire.Intents = append(wire.Intents, cancelIntentWire{Job: request.Job, Rev: request.Revision})
	}
	return wire
}

// Status converts a received message to the type that the core uses.
func (w *PeerStatusWire) Status() PeerStatus {
	status := PeerStatus{
		ControllerID:   w.Member,
		StoreReachable: w.StateOK,
		Incarnation:    w.Run,
		AcceptsShards:  w.Fit,
		Revision:       w.Rev,
		CancelAcks:     w.Acks,
	}
	for _, misdirected := range w.Seen {
		status.MisdirectedHeartbeats = append(status.MisdirectedHeartbeats, MisdirectedHeartbeat{
			Machine:    misdirected.Machine,
			AgentEpoch: misdirected.Session,
			Sequence:   misdirected.Tally,
		})
	}
	for _, request := range w.Intents {
		status.CancelRequests = append(status.CancelRequests, CancelRequest{Job: request.Job, Revision: request.Rev})
	}
	return status
}
