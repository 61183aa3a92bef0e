package agents

import (
	"maps"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// misdirectedHeartbeat is a heartbeat that this controller received although it does not own the
// machine.
type misdirectedHeartbeat struct {
	receivedAt       protocol.Instant
	agentEpoch       protocol.AgentEpoch
	sequence         protocol.Sequence
	hasAnsweredProbe bool // whether the agent has since answered a probe of this controller
	isAnnounced      bool // whether a peer status of this round has the heartbeat
}

// MisdirectedHeartbeats records heartbeats of machines that another controller owns. If the agent answers
// a probe of this controller, the owner is informed, because the network path between the agent and the
// owner may be broken.
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

// AddMisdirectedHeartbeats adds to a peer status the machines of other controllers whose agents send
// heartbeats to this controller. If they do not all fit, it reports true, and the next status continues
// with the rest.
func (mh *MisdirectedHeartbeats) AddMisdirectedHeartbeats(status *step.PeerStatus) (hasMore bool) {
	machinesToAnnounce := step.SelectKeys(mh.byMachine, func(heartbeat misdirectedHeartbeat) bool {
		return heartbeat.hasAnsweredProbe && !heartbeat.isAnnounced
	})
	for _, id := range machinesToAnnounce[:min(len(machinesToAnnounce), step.MaxMisdirectedPerStatus)] {
		heartbeat := mh.byMachine[id]
		status.MisdirectedHeartbeats = append(status.MisdirectedHeartbeats, step.MisdirectedHeartbeat{
			Machine:    id,
			AgentEpoch: heartbeat.agentEpoch,
			Sequence:   heartbeat.sequence,
		})
		heartbeat.isAnnounced = true
		mh.byMachine[id] = heartbeat
	}
	if len(machinesToAnnounce) > step.MaxMisdirectedPerStatus {
		return true
	}
	for id, heartbeat := range mh.byMachine {
		heartbeat.isAnnounced = false // announce the heartbeat again, because a status may have been lost
		mh.byMachine[id] = heartbeat
	}
	return false
}

// misdirectedRetention is how long a misdirected heartbeat is kept.
const misdirectedRetention = 3 * time.Second

// ForgetExpired deletes the heartbeats that are too old to show which controller an agent reaches now.
func (mh *MisdirectedHeartbeats) ForgetExpired() {
	maps.DeleteFunc(mh.byMachine, func(_ protocol.MachineID, heartbeat misdirectedHeartbeat) bool {
		return mh.Since(heartbeat.receivedAt) > misdirectedRetention
	})
}

// recordProbeAnswer records that the agent of a machine has answered a probe of this controller.
func (mh *MisdirectedHeartbeats) recordProbeAnswer(id protocol.MachineID) {
	if heartbeat, ok := mh.byMachine[id]; ok {
		heartbeat.hasAnsweredProbe = true
		mh.byMachine[id] = heartbeat
	}
}

// recordHeartbeat records the heartbeat of a machine that another controller owns and probes the agent.
// The machine is handed off only if the agent answers, because a delayed copy of a heartbeat, or an agent
// that answers no controller, is no reason for a hand-off.
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

// minMisdirectedHeartbeats is the limit of recorded misdirected heartbeats in a small fleet.
const minMisdirectedHeartbeats = 500

// maxMisdirectedHeartbeats returns the limit of recorded misdirected heartbeats. All agents of another
// controller may send their heartbeats to this one after that controller has become unreachable.
func (mh *MisdirectedHeartbeats) maxMisdirectedHeartbeats() int {
	return max(len(mh.Replica.Machines), minMisdirectedHeartbeats)
}
