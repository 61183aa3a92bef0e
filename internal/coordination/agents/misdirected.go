package agents

import (
	"maps"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// misdirectedHeartbeat is a heartbeat that came to a controller that does not own its machine.
type misdirectedHeartbeat struct {
	receivedAt        protocol.Instant
	agentEpoch        protocol.AgentEpoch
	sequence          protocol.Sequence
	hasAgentResponded bool // its agent has answered a probe from here since
	isAnnounced       bool // its owner has been informed, in this round of peer statuses
}

// MisdirectedHeartbeats remembers heartbeats of machines that another controller owns. If the
// agent answers a probe from here, the owner is informed: the path between those two may be broken.
type MisdirectedHeartbeats struct {
	*step.Context

	calls *Caller

	byMachine map[protocol.MachineID]misdirectedHeartbeat
}

func newMisdirectedHeartbeats(ctx *step.Context) *MisdirectedHeartbeats {
	return &MisdirectedHeartbeats{
		Context:   ctx,
		byMachine: map[protocol.MachineID]misdirectedHeartbeat{},
	}
}

// AddMisdirectedHeartbeats adds to a peer status the machines of others whose agents send
// heartbeats here, in turn, and tells whether there are more.
func (mh *MisdirectedHeartbeats) AddMisdirectedHeartbeats(status *step.PeerStatus) (hasMore bool) {
	responded := step.SelectKeys(mh.byMachine, func(heartbeat misdirectedHeartbeat) bool {
		return heartbeat.hasAgentResponded && !heartbeat.isAnnounced
	})
	for _, id := range responded[:min(len(responded), step.MaxMisdirectedPerStatus)] {
		heartbeat := mh.byMachine[id]
		status.MisdirectedHeartbeats = append(status.MisdirectedHeartbeats, step.MisdirectedHeartbeat{
			Machine:    id,
			AgentEpoch: heartbeat.agentEpoch,
			Sequence:   heartbeat.sequence,
		})
		heartbeat.isAnnounced = true
		mh.byMachine[id] = heartbeat
	}
	if len(responded) > step.MaxMisdirectedPerStatus {
		return true
	}
	for id, heartbeat := range mh.byMachine {
		heartbeat.isAnnounced = false // a status may have been lost: they are announced once more
		mh.byMachine[id] = heartbeat
	}
	return false
}

// misdirectedRetention is how long a misdirected heartbeat is remembered.
const misdirectedRetention = 3 * time.Second

// ForgetExpired forgets heartbeats that are too old to say which controller an agent reaches now.
func (mh *MisdirectedHeartbeats) ForgetExpired() {
	maps.DeleteFunc(mh.byMachine, func(_ protocol.MachineID, heartbeat misdirectedHeartbeat) bool {
		return mh.Since(heartbeat.receivedAt) > misdirectedRetention
	})
}

// recordProbeAnswer notes that the agent of a machine has answered a probe from here.
func (mh *MisdirectedHeartbeats) recordProbeAnswer(id protocol.MachineID) {
	if heartbeat, ok := mh.byMachine[id]; ok {
		heartbeat.hasAgentResponded = true
		mh.byMachine[id] = heartbeat
	}
}

// recordHeartbeat notes the heartbeat of a machine that another incarnation owns, and
// probes its agent. (An agent that answers nobody, or a late copy, is no reason to hand the
// machine over.)
func (mh *MisdirectedHeartbeats) recordHeartbeat(heartbeat *protocol.Heartbeat) {
	recorded, ok := mh.byMachine[heartbeat.Machine]
	switch {
	case ok && isStale(heartbeat, recorded.agentEpoch, recorded.sequence):
		return
	case heartbeat.Addr == "":
		return
	case len(mh.byMachine) >= mh.maxMisdirectedHeartbeats():
		return
	}
	if mh.calls.tryProbe(heartbeat.Machine, heartbeat.Addr) {
		mh.byMachine[heartbeat.Machine] = misdirectedHeartbeat{
			receivedAt: mh.Now.Monotonic,
			agentEpoch: heartbeat.AgentEpoch,
			sequence:   heartbeat.Sequence,
		}
	}
}

// minMisdirectedHeartbeats is how many misdirected heartbeats are remembered in a small fleet.
const minMisdirectedHeartbeats = 500

// maxMisdirectedHeartbeats bounds the heartbeats that are remembered: a controller that has lost
// its agents may send all of them here.
func (mh *MisdirectedHeartbeats) maxMisdirectedHeartbeats() int {
	return max(len(mh.Replica.Machines), minMisdirectedHeartbeats)
}
