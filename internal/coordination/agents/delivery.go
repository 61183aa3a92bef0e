package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
)

// delivery is whether what is sent to the agent arrives. Its heartbeats may come in all the
// while: they say nothing of the other direction.
type delivery struct {
	awaitsDelivery     bool // the last response had a start, or a token, that the agent must show
	deliveryAgentEpoch protocol.AgentEpoch
	suspectedAt        protocol.Instant // since when it is uncertain that commands arrive; 0: they do
	firstCallFailureAt protocol.Instant // begin of the first of the direct calls that have failed in a row
	callFailures       int              // how many those are
	CommandsLostAt     protocol.Instant // since when commands are known not to arrive; 0: they do
}

const (
	// commandsLostFailures is how many direct calls in a row must fail, while something arrives
	// from the agent, before its commands count as lost.
	commandsLostFailures = 2
	// suspectTimeout is how long an agent may be suspected before its machine is drained.
	suspectTimeout = 3 * time.Second
)

// CommandsLost tells whether what is sent to the agent is known not to arrive.
func (d *delivery) CommandsLost() bool { return d.CommandsLostAt != 0 }

// suspectLoss notes that commands may not arrive.
func (d *delivery) suspectLoss(now protocol.Instant) {
	if d.suspectedAt == 0 {
		d.suspectedAt = now
	}
}

// confirmDelivery notes that something that was sent has arrived.
func (d *delivery) confirmDelivery() {
	d.suspectedAt, d.callFailures, d.CommandsLostAt = 0, 0, 0
}

// recordCallFailure counts a direct call that has failed.
func (d *delivery) recordCallFailure(startedAt protocol.Instant) {
	if d.callFailures == 0 {
		d.firstCallFailureAt = startedAt
	}
	d.callFailures++
}

// hasContactWhileCallsFail tells whether something came from the agent while several direct calls
// failed: its machine is neither dead nor cut off in both directions.
func (m *MachineState) hasContactWhileCallsFail() bool {
	return m.callFailures >= commandsLostFailures && m.LastContactAt > m.firstCallFailureAt
}

// hasContactWhileSuspect tells whether something has come from the agent since it became suspect,
// so that a direct call may show whether commands arrive.
func (m *MachineState) hasContactWhileSuspect() bool {
	return m.suspectedAt != 0 && m.LastContactAt >= m.suspectedAt
}

// markSuspect notes that commands may not reach the agent.
func (at *Table) markSuspect(state *MachineState) { state.suspectLoss(at.Now.Monotonic) }

// markReachable notes that something that was sent to the agent has arrived.
func (at *Table) markReachable(state *MachineState) {
	if state.CommandsLost() {
		at.Log(slog.LevelInfo, "commands reach machine again", "machine", string(state.ID))
	}
	state.confirmDelivery()
}

// isSuspectTooLong tells whether it has been uncertain for a while that commands reach the agent.
func (at *Table) isSuspectTooLong(state *MachineState) bool {
	return state.suspectedAt != 0 && at.Since(state.suspectedAt) > suspectTimeout
}
