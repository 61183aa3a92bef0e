package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
)

// delivery records whether messages to the agent arrive. Heartbeats that arrive from the agent are no
// evidence for this direction.
type delivery struct {
	awaitsDelivery     bool                // whether the last response had a start or a token that the agent must show
	deliveryAgentEpoch protocol.AgentEpoch // agent epoch of the last heartbeat
	suspectedAt        protocol.Instant    // since when commands may not arrive, zero if they do
	firstCallFailureAt protocol.Instant    // when the first of the consecutive failed direct calls began
	callFailures       int                 // number of consecutive failed direct calls
	CommandsLostAt     protocol.Instant    // when the controller found that commands do not arrive, zero if they do
}

const (
	// commandsLostFailures is the number of consecutive direct calls that must fail, while messages
	// from the agent arrive, before the commands to the agent count as lost.
	commandsLostFailures = 2
	// suspectTimeout is how long an agent may be suspect before its machine is cordoned.
	suspectTimeout = 3 * time.Second
)

// CommandsLost reports whether commands to the agent are known not to arrive.
func (d *delivery) CommandsLost() bool { return d.CommandsLostAt != 0 }

// suspectLoss records that commands may not arrive.
func (d *delivery) suspectLoss(now protocol.Instant) {
	if d.suspectedAt == 0 {
		d.suspectedAt = now
	}
}

// confirmDelivery records that a message has reached the agent.
func (d *delivery) confirmDelivery() {
	d.suspectedAt, d.callFailures, d.CommandsLostAt = 0, 0, 0
}

// recordCallFailure counts a failed direct call that began at startedAt.
func (d *delivery) recordCallFailure(startedAt protocol.Instant) {
	if d.callFailures == 0 {
		d.firstCallFailureAt = startedAt
	}
	d.callFailures++
}

// hasContactWhileCallsFail reports whether a message arrived from the agent while several direct calls
// failed. If one did, the machine is neither dead nor unreachable in both directions.
func (m *MachineState) hasContactWhileCallsFail() bool {
	return m.callFailures >= commandsLostFailures && m.LastContactAt > m.firstCallFailureAt
}

// hasContactWhileSuspect reports whether a message has arrived from the agent since the agent became
// suspect. If one has, a direct call may show whether commands arrive.
func (m *MachineState) hasContactWhileSuspect() bool {
	return m.suspectedAt != 0 && m.LastContactAt >= m.suspectedAt
}

// markSuspect records that commands may not reach the agent.
func (at *Table) markSuspect(state *MachineState) { state.suspectLoss(at.Now.Monotonic) }

// markReachable records that a message has reached the agent.
func (at *Table) markReachable(state *MachineState) {
	if state.CommandsLost() {
		at.Log(slog.LevelInfo, "commands reach machine again", "machine", string(state.ID))
	}
	state.confirmDelivery()
}

// isSuspectTooLong reports whether an agent has been suspect for longer than suspectTimeout.
func (at *Table) isSuspectTooLong(state *MachineState) bool {
	return state.suspectedAt != 0 && at.Since(state.suspectedAt) > suspectTimeout
}
