package agents

import (
	"time"

	"tillerarch/internal/protocol"
)

// reachability is when something came from the agent.
type reachability struct {
	LastContactAt   protocol.Instant // any sign of life, or the begin of this ownership
	lastHeartbeatAt protocol.Instant // last heartbeat that the agent sent by itself, or the begin of this ownership
}

// heartbeatOrder is the place of the last heartbeat that was processed in the order of all of
// them. Older ones, and the same again, are late copies.
type heartbeatOrder struct {
	lastAgentEpoch protocol.AgentEpoch
	lastSequence   protocol.Sequence
}

// isOutOfOrder tells whether a heartbeat is no newer than the last one that was processed.
func (o *heartbeatOrder) isOutOfOrder(agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) bool {
	return agentEpoch < o.lastAgentEpoch || agentEpoch == o.lastAgentEpoch && sequence <= o.lastSequence
}

// advanceTo records that a heartbeat is being processed.
func (o *heartbeatOrder) advanceTo(agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) {
	o.lastAgentEpoch, o.lastSequence = agentEpoch, sequence
}

// RecordMisdirectedHeartbeat notes the place of a heartbeat that another controller received, and
// tells whether it is newer than all that were received here. What the agent sent here earlier
// and arrives later is then stale: it is no sign that the agent reaches this controller.
func (o *heartbeatOrder) RecordMisdirectedHeartbeat(
	agentEpoch protocol.AgentEpoch, sequence protocol.Sequence,
) (isNewer bool) {
	if o.isOutOfOrder(agentEpoch, sequence) {
		return false
	}
	o.advanceTo(agentEpoch, sequence)
	return true
}

// isStale tells whether a heartbeat is no newer than the given place in the order.
func isStale(heartbeat *protocol.Heartbeat, agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) bool {
	last := heartbeatOrder{lastAgentEpoch: agentEpoch, lastSequence: sequence}
	return last.isOutOfOrder(heartbeat.AgentEpoch, heartbeat.Sequence)
}

// HasMissedHeartbeat tells whether an agent has missed a heartbeat for sure.
func (at *Table) HasMissedHeartbeat(state *MachineState) bool {
	const networkMargin = 1500 * time.Millisecond
	return !state.isDeferred() && at.TimeSinceContact(state) > at.Config.HeartbeatInterval*5/4+networkMargin
}

// IsSilent tells whether an agent has missed several heartbeats.
func (at *Table) IsSilent(state *MachineState) bool {
	return !state.isDeferred() && at.TimeSinceContact(state) > at.SilenceTimeout()
}

// SilenceTimeout is the time in which several heartbeats must have come from an agent that
// reaches this controller.
func (at *Table) SilenceTimeout() time.Duration {
	return 2*at.Config.HeartbeatInterval + at.Config.HeartbeatInterval/2 + time.Second
}

// TimeSinceContact is for how long nothing has come from an agent while this process could
// have received it: a process pause is not the agent's silence.
func (at *Table) TimeSinceContact(state *MachineState) time.Duration {
	return at.Since(max(state.LastContactAt, at.ResumedAt))
}

// heartbeatsLost tells whether an agent has sent no heartbeat for a while, whatever it says when
// it is probed: starts go out in responses to heartbeats only, so what is placed there waits.
func (at *Table) heartbeatsLost(state *MachineState) bool {
	return !state.isDeferred() && at.Since(max(state.lastHeartbeatAt, at.ResumedAt)) > at.SilenceTimeout()
}
