package agents

import (
	"time"

	"tillerarch/internal/protocol"
)

// reachability records when messages from the agent were last received.
type reachability struct {
	LastContactAt   protocol.Instant // last heartbeat or answer to a direct call, or start of the ownership
	lastHeartbeatAt protocol.Instant // last heartbeat that the agent sent by itself, or start of the ownership
}

// heartbeatOrder is the position of the last processed heartbeat in the order in which the agent sent
// its heartbeats. A heartbeat at this or an earlier position is a duplicate or was delayed.
type heartbeatOrder struct {
	lastAgentEpoch protocol.AgentEpoch
	lastSequence   protocol.Sequence
}

// isOutOfOrder reports whether a heartbeat is no newer than the last processed one.
func (o *heartbeatOrder) isOutOfOrder(agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) bool {
	return agentEpoch < o.lastAgentEpoch || agentEpoch == o.lastAgentEpoch && sequence <= o.lastSequence
}

// advanceTo records the position of a heartbeat that is being processed.
func (o *heartbeatOrder) advanceTo(agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) {
	o.lastAgentEpoch, o.lastSequence = agentEpoch, sequence
}

// RecordMisdirectedHeartbeat records the position of a heartbeat that another controller received, and
// reports whether that heartbeat is newer than all heartbeats that this controller received. A
// heartbeat that the agent sent to this controller earlier and that arrives later is then out of
// order, and no evidence that the agent still reaches this controller.
func (o *heartbeatOrder) RecordMisdirectedHeartbeat(
	agentEpoch protocol.AgentEpoch, sequence protocol.Sequence,
) (isNewer bool) {
	if o.isOutOfOrder(agentEpoch, sequence) {
		return false
	}
	o.advanceTo(agentEpoch, sequence)
	return true
}

// isStale reports whether a heartbeat is no newer than the heartbeat with the given agent epoch and
// sequence.
func isStale(heartbeat *protocol.Heartbeat, agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) bool {
	last := heartbeatOrder{lastAgentEpoch: agentEpoch, lastSequence: sequence}
	return last.isOutOfOrder(heartbeat.AgentEpoch, heartbeat.Sequence)
}

// HasMissedHeartbeat reports whether an agent has definitely missed a heartbeat.
func (at *Table) HasMissedHeartbeat(state *MachineState) bool {
	const networkMargin = 1500 * time.Millisecond
	return !state.isDeferred() && at.TimeSinceContact(state) > at.Config.HeartbeatInterval*5/4+networkMargin
}

// IsSilent reports whether an agent has missed several heartbeats.
func (at *Table) IsSilent(state *MachineState) bool {
	return !state.isDeferred() && at.TimeSinceContact(state) > at.SilenceTimeout()
}

// SilenceTimeout returns the time within which several heartbeats arrive from an agent that reaches
// this controller.
func (at *Table) SilenceTimeout() time.Duration {
	return 2*at.Config.HeartbeatInterval + at.Config.HeartbeatInterval/2 + time.Second
}

// TimeSinceContact returns the time since the last message from an agent. It excludes the time before
// the end of the last process pause, during which this process could not have received a message.
func (at *Table) TimeSinceContact(state *MachineState) time.Duration {
	return at.Since(max(state.LastContactAt, at.ResumedAt))
}

// heartbeatsLost reports whether no heartbeat of an agent has arrived for longer than SilenceTimeout,
// even if the agent answers probes. Starts are sent only in responses to heartbeats, so tasks that are
// placed on the machine would wait.
func (at *Table) heartbeatsLost(state *MachineState) bool {
	return !state.isDeferred() && at.Since(max(state.lastHeartbeatAt, at.ResumedAt)) > at.SilenceTimeout()
}
