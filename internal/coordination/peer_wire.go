package coordination

import (
	bk "tillerarch/internal/bookkeeping"
	"tillerarch/internal/protocol"
)

// The messages between controllers are encoded with encoding/gob, which carries Go field
// names. Two versions serve side by side during an upgrade, so the names in this file are
// those of every version in production and must not change. All other code uses the types
// that these are converted to and from.

// PeerStatusWire is the form in which a Hint travels between controllers.
type PeerStatusWire struct {
	Member  protocol.Member
	StateOK bool
	Run     bk.Run
	Fit     bool
	Seen    []seenWire
	Rev     protocol.Rev
	Intents []intentWire
	Acks    []protocol.JobID
}

type seenWire struct {
	Machine protocol.MachineID
	Session protocol.Session
	Tally   protocol.Tally
}

type intentWire struct {
	Job protocol.JobID
	Rev protocol.Rev
}

// Wire converts a status to the form in which it is sent.
func (h *Hint) Wire() *PeerStatusWire {
	wire := &PeerStatusWire{Member: h.Member, StateOK: h.StateOK, Run: h.Run, Fit: h.Fit, Rev: h.Rev, Acks: h.Acks}
	for _, s := range h.Seen {
		wire.Seen = append(wire.Seen, seenWire{Machine: s.Machine, Session: s.Session, Tally: s.Tally})
	}
	for _, in := range h.Intents {
		wire.Intents = append(wire.Intents, intentWire{Job: in.Job, Rev: in.Rev})
	}
	return wire
}

// Status converts a received message to the type that the core works with.
func (w *PeerStatusWire) Status() Hint {
	status := Hint{Member: w.Member, StateOK: w.StateOK, Run: w.Run, Fit: w.Fit, Rev: w.Rev, Acks: w.Acks}
	for _, s := range w.Seen {
		status.Seen = append(status.Seen, Seen{Machine: s.Machine, Session: s.Session, Tally: s.Tally})
	}
	for _, in := range w.Intents {
		status.Intents = append(status.Intents, Intent{Job: in.Job, Rev: in.Rev})
	}
	return status
}
