package coordination

import (
	"maps"
	"tillerarch/internal/protocol"
	"time"
)

// misdirectedHeartbeats remembers heartbeats of machines that another controller owns.
type misdirectedHeartbeats struct {
	*stepContext

	calls *agentCaller

	misdirectedHeartbeats map[protocol.MachineID]misdirectedHeartbeat // reported here though another run owns them
}

func newMisdirectedHeartbeats(ctx *stepContext) *misdirectedHeartbeats {
	return &misdirectedHeartbeats{
		stepContext:           ctx,
		misdirectedHeartbeats: map[protocol.MachineID]misdirectedHeartbeat{},
	}
}

// addMisdirectedHeartbeats adds to a hint the machines of others whose workers report here, in turn, and
// tells whether there are more.
func (mh *misdirectedHeartbeats) addMisdirectedHeartbeats(status *PeerStatus) (hasMore bool) {
	responded := selectKeys(mh.misdirectedHeartbeats, func(heartbeat misdirectedHeartbeat) bool {
		return heartbeat.hasAgentResponded && !heartbeat.isAnnounced
	})
	for _, id := range responded[:min(len(responded), maxMisdirectedPerStatus)] {
		heartbeat := mh.misdirectedHeartbeats[id]
		status.MisdirectedHeartbeats = append(status.MisdirectedHeartbeats, MisdirectedHeartbeat{Machine: id, AgentEpoch: heartbeat.agentEpoch, Sequence: heartbeat.sequence})
		heartbeat.isAnnounced = true
		mh.misdirectedHeartbeats[id] = heartbeat
	}
	if len(responded) > maxMisdirectedPerStatus {
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

// expire forgets heartbeats that are too old to say where an agent reports now.
func (mh *misdirectedHeartbeats) expire() {
	maps.DeleteFunc(mh.misdirectedHeartbeats, func(_ protocol.MachineID, heartbeat misdirectedHeartbeat) bool {
		return mh.since(heartbeat.receivedAt) > misdirectedRetention
	})
}

// confirm notes that the agent of a machine has answered a probe from here.
func (mh *misdirectedHeartbeats) confirm(id protocol.MachineID) {
	if heartbeat, ok := mh.misdirectedHeartbeats[id]; ok {
		heartbeat.hasAgentResponded = true
		mh.misdirectedHeartbeats[id] = heartbeat
	}
}

// recordMisdirectedHeartbeat notes a report of a machine that another run owns. If its worker answers
// here, its owner is told: the way between those two may be broken. (A worker
// that answers nobody, or a late copy, is no reason to hand anything over.)
func (mh *misdirectedHeartbeats) recordMisdirectedHeartbeat(heartbeat *protocol.Heartbeat) {
	known, ok := mh.misdirectedHeartbeats[heartbeat.Machine]
	if ok && (heartbeat.AgentEpoch < known.agentEpoch || heartbeat.AgentEpoch == known.agentEpoch && heartbeat.Sequence <= known.sequence) || heartbeat.Addr == "" || len(mh.misdirectedHeartbeats) >= mh.maxMisdirectedHeartbeats() {
		return
	}
	if mh.calls.tryProbe(heartbeat.Machine, heartbeat.Addr) {
		mh.misdirectedHeartbeats[heartbeat.Machine] = misdirectedHeartbeat{receivedAt: mh.now.Monotonic, agentEpoch: heartbeat.AgentEpoch, sequence: heartbeat.Sequence}
	}
}

// maxMisdirectedHeartbeats bounds the reports of others' machines that are kept in mind: a controller
// that has lost its workers may send all of them here.
func (mh *misdirectedHeartbeats) maxMisdirectedHeartbeats() int {
	return max(len(mh.replica.Machines), 500)
}
