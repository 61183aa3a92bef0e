package agents

import (
	"maps"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// misdirectedHeartbeat is a report that came to a node that does not own its machine.
type misdirectedHeartbeat struct {
	receivedAt        protocol.Instant
	agentEpoch        protocol.AgentEpoch
	sequence          protocol.Sequence
	hasAgentResponded bool // its worker has answered here since
	isAnnounced       bool // its owner has been told, in this turn of the hints
}

// MisdirectedHeartbeats remembers heartbeats of machines that another controller owns.
type MisdirectedHeartbeats struct {
	*step.Context

	calls *Caller

	misdirectedHeartbeats map[protocol.MachineID]misdirectedHeartbeat // reported here though another run owns them
}

func NewMisdirectedHeartbeats(ctx *step.Context) *MisdirectedHeartbeats {
	return &MisdirectedHeartbeats{
		Context:               ctx,
		misdirectedHeartbeats: map[protocol.MachineID]misdirectedHeartbeat{},
	}
}

// AddMisdirectedHeartbeats adds to a hint the machines of others whose workers report here, in turn, and
// tells whether there are more.
func (mh *MisdirectedHeartbeats) AddMisdirectedHeartbeats(status *step.PeerStatus) (hasMore bool) {
	responded := step.SelectKeys(mh.misdirectedHeartbeats, func(heartbeat misdirectedHeartbeat) bool {
		return heartbeat.hasAgentResponded && !heartbeat.isAnnounced
	})
	for _, id := range responded[:min(len(responded), step.MaxMisdirectedPerStatus)] {
		heartbeat := mh.misdirectedHeartbeats[id]
		status.MisdirectedHeartbeats = append(status.MisdirectedHeartbeats, step.MisdirectedHeartbeat{Machine: id, AgentEpoch: heartbeat.agentEpoch, Sequence: heartbeat.sequence})
		heartbeat.isAnnounced = true
		mh.misdirectedHeartbeats[id] = heartbeat
	}
	if len(responded) > step.MaxMisdirectedPerStatus {
		return true
	}
	for id, heartbeat := range mh.misdirectedHeartbeats {
		heartbeat.isAnnounced = false // a hint may have been lost: they are told once more
		mh.misdirectedHeartbeats[id] = heartbeat
	}
	return false
}

// misdirectedRetention is how long a misdirected heartbeat is remembered.
const misdirectedRetention = 3 * time.Second

// Expire forgets heartbeats that are too old to say where an agent reports now.
func (mh *MisdirectedHeartbeats) Expire() {
	maps.DeleteFunc(mh.misdirectedHeartbeats, func(_ protocol.MachineID, heartbeat misdirectedHeartbeat) bool {
		return mh.Since(heartbeat.receivedAt) > misdirectedRetention
	})
}

// confirm notes that the agent of a machine has answered a probe from here.
func (mh *MisdirectedHeartbeats) confirm(id protocol.MachineID) {
	if heartbeat, ok := mh.misdirectedHeartbeats[id]; ok {
		heartbeat.hasAgentResponded = true
		mh.misdirectedHeartbeats[id] = heartbeat
	}
}

// recordMisdirectedHeartbeat notes a report of a machine that another run owns. If its worker answers
// here, its owner is told: the way between those two may be broken. (A worker
// that answers nobody, or a late copy, is no reason to hand anything over.)
func (mh *MisdirectedHeartbeats) recordMisdirectedHeartbeat(heartbeat *protocol.Heartbeat) {
	known, ok := mh.misdirectedHeartbeats[heartbeat.Machine]
	if ok && (heartbeat.AgentEpoch < known.agentEpoch || heartbeat.AgentEpoch == known.agentEpoch && heartbeat.Sequence <= known.sequence) || heartbeat.Addr == "" || len(mh.misdirectedHeartbeats) >= mh.maxMisdirectedHeartbeats() {
		return
	}
	if mh.calls.tryProbe(heartbeat.Machine, heartbeat.Addr) {
		mh.misdirectedHeartbeats[heartbeat.Machine] = misdirectedHeartbeat{receivedAt: mh.Now.Monotonic, agentEpoch: heartbeat.AgentEpoch, sequence: heartbeat.Sequence}
	}
}

// maxMisdirectedHeartbeats bounds the reports of others' machines that are kept in mind: a controller
// that has lost its workers may send all of them here.
func (mh *MisdirectedHeartbeats) maxMisdirectedHeartbeats() int {
	return max(len(mh.Replica.Machines), 500)
}
