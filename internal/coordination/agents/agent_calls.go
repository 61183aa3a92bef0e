package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Limits of the direct calls in flight. After a failover hundreds of agents need the new fencing
// token, and each call uses a socket. The limit grows with the fleet because the number of machines
// that hang at the same time does too, and each of those occupies a call for seconds.
const (
	minAgentCalls        = 24 // lower bound of the limit
	machinesPerAgentCall = 32 // the limit is one call for this many recorded machines
	// adoptionCallFactor multiplies the limit for the agents of machines without a record, because
	// those agents get no response before they have answered a probe.
	adoptionCallFactor = 2
)

// Minimum intervals between direct calls to one agent.
const (
	stopCallInterval     = time.Second     // for calls that stop tasks
	tokenCallInterval    = 2 * time.Second // for calls that show the fencing token or test delivery
	unownedProbeInterval = 2 * time.Second // for probes of agents whose machines another controller owns
)

// Caller sends commands and probes directly to agents and limits the number of calls in flight.
type Caller struct {
	*step.Context

	agents      *Table
	lease       *commit.Lease
	misdirected *MisdirectedHeartbeats

	agentCallsInFlight int
}

// OnAgentResult processes the result of a direct call: the status of the agent, or an error.
func (ac *Caller) OnAgentResult(result step.AgentResult) {
	ac.agentCallsInFlight--
	hasAnswered := result.Err == nil && result.Heartbeat != nil && result.Heartbeat.Machine == result.Machine
	if hasAnswered {
		ac.misdirected.recordProbeAnswer(result.Machine)
	}
	state := ac.agents.machineStates[result.Machine]
	if state == nil {
		return
	}
	state.isCallInFlight = false
	entry := ac.Replica.Machines[result.Machine]
	switch {
	case entry != nil && ac.lease.OwnsMachine(&entry.Record):
		if hasAnswered {
			ac.onOwnedAgentStatus(state, result.Heartbeat)
		} else {
			ac.onOwnedAgentFailure(state)
		}
	case !hasAnswered:
	case entry != nil:
		// The agent was probed because the owner of its machine sends no peer status. What the
		// agent reports is valid nevertheless.
		if state.isNewerThanLatest(result.Heartbeat) {
			state.RecordHeartbeat(result.Heartbeat, ac.Now.Monotonic)
		}
	case state.awaitsOwnership:
		if !state.isOutOfOrder(result.Heartbeat.AgentEpoch, result.Heartbeat.Sequence) {
			state.RecordHeartbeat(result.Heartbeat, ac.Now.Monotonic)
			state.HasAnsweredProbe = true
		}
	}
}

// onOwnedAgentStatus processes the status of an agent whose machine this controller owns.
func (ac *Caller) onOwnedAgentStatus(state *MachineState, heartbeat *protocol.Heartbeat) {
	if state.isNewerThanLatest(heartbeat) {
		state.RecordHeartbeat(heartbeat, ac.Now.Monotonic)
		ac.agents.markReachable(state)
	}
}

// onOwnedAgentFailure records that an agent whose machine this controller owns did not answer a direct
// call.
func (ac *Caller) onOwnedAgentFailure(state *MachineState) {
	state.recordCallFailure(state.callStartedAt)
	ac.agents.markSuspect(state)
	if state.hasContactWhileCallsFail() && !state.CommandsLost() {
		state.CommandsLostAt = ac.Now.Monotonic
		ac.Log(slog.LevelWarn, "commands do not reach machine", "machine", string(state.ID))
	}
}

// ProbeUnownedAgent requests the status of an agent because the controller that owns its machine has
// sent no peer status for a while. It does nothing if the agent was called within
// unownedProbeInterval, if its address is unknown, or if too many calls are in flight.
func (ac *Caller) ProbeUnownedAgent(state *MachineState, addr string) {
	if state.isCallInFlight || ac.Since(state.callStartedAt) <= unownedProbeInterval || addr == "" || !ac.hasCapacity() {
		return
	}
	ac.startProbe(state, addr)
}

// probeForAdoption requests the status of the agent of a machine without a record, until the agent
// has answered once.
func (ac *Caller) probeForAdoption(state *MachineState, addr string) {
	hasCapacity := ac.agentCallsInFlight < adoptionCallFactor*ac.maxAgentCalls()
	if state.isCallInFlight || state.HasAnsweredProbe || addr == "" || !hasCapacity {
		return
	}
	ac.startProbe(state, addr)
}

// tryProbe sends a probe to the agent of a machine without creating a state for the machine. It
// reports whether it sent the probe, which it does unless too many calls are in flight.
func (ac *Caller) tryProbe(id protocol.MachineID, addr string) bool {
	if !ac.hasCapacity() {
		return false
	}
	ac.emitProbe(id, addr)
	return true
}

// startProbe sends a probe and records it in the machine's state.
func (ac *Caller) startProbe(state *MachineState, addr string) {
	state.beginCall(ac.Now.Monotonic)
	ac.emitProbe(state.ID, addr)
}

// emitProbe sends a probe and counts it as a call in flight.
func (ac *Caller) emitProbe(id protocol.MachineID, addr string) {
	ac.agentCallsInFlight++
	ac.Emit(step.ProbeAgent{Machine: id, Addr: addr})
}

// sendCommands calls the agent of an owned machine unless a call to it is in flight or began less than
// minInterval ago, or the agent's address or epoch is unknown. A call without commands only shows the
// fencing token and requests the status. Such a call is not sent while the limit of calls in flight is
// reached.
func (ac *Caller) sendCommands(
	entry *storage.Machine, state *MachineState, commands []protocol.Command, minInterval time.Duration,
) {
	switch {
	case state.isCallInFlight, entry.Record.Address == "":
		return
	case state.callStartedAt != 0 && ac.Since(state.callStartedAt) < minInterval:
		return
	case len(commands) == 0 && !ac.hasCapacity():
		return
	}
	agentEpoch := entry.Record.AgentEpoch
	if state.LatestHeartbeat != nil {
		agentEpoch = max(agentEpoch, state.LatestHeartbeat.AgentEpoch)
	}
	if agentEpoch == 0 {
		return
	}
	state.beginCall(ac.Now.Monotonic)
	ac.agentCallsInFlight++
	ac.Emit(step.SendCommands{
		Machine: state.ID,
		Addr:    entry.Record.Address,
		Commands: protocol.Commands{
			FencingToken: entry.Record.FencingToken,
			AgentEpoch:   agentEpoch,
			Commands:     commands,
		},
	})
}

// maxAgentCalls returns the limit of direct calls in flight.
func (ac *Caller) maxAgentCalls() int {
	return max(minAgentCalls, len(ac.Replica.Machines)/machinesPerAgentCall)
}

// hasCapacity reports whether another direct call may start.
func (ac *Caller) hasCapacity() bool { return ac.agentCallsInFlight < ac.maxAgentCalls() }
