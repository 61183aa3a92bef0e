package coordination

import (
	"log/slog"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
)

// agentCaller sends commands and probes directly to agents and bounds how many are in flight.
type agentCaller struct {
	*stepContext

	agents      *agentTable
	lease       *incarnationLease
	misdirected *misdirectedHeartbeats

	agentCallsInFlight int // direct commands under way
}

// onAgentResult takes the report that answers a direct command.
func (ac *agentCaller) onAgentResult(result AgentResult) {
	ac.agentCallsInFlight--
	ok := result.Err == nil && result.Heartbeat != nil && result.Heartbeat.Machine == result.Machine
	if ok {
		ac.misdirected.confirm(result.Machine)
	}
	m := ac.agents.machineStates[result.Machine]
	if m == nil {
		return
	}
	m.isCallInFlight = false
	entry := ac.replica.Machines[result.Machine]
	if entry == nil && m.awaitsOwnership && ok {
		if !isStale(result.Heartbeat, m.lastAgentEpoch, m.lastSequence) {
			m.recordHeartbeat(result.Heartbeat, ac.now.Monotonic)
			m.hasAnsweredProbe = true
		}
		return
	}
	if entry == nil || !ac.lease.ownsMachine(&entry.Record) {
		// Asked as a last resort: what its worker shows is no less true.
		if entry != nil && ok && (m.latestHeartbeat == nil || !isStale(result.Heartbeat, m.latestHeartbeat.AgentEpoch, m.latestHeartbeat.Sequence)) {
			m.recordHeartbeat(result.Heartbeat, ac.now.Monotonic)
		}
		return
	}
	if !ok {
		if m.callFailures == 0 {
			m.firstCallFailureAt = m.callStartedAt
		}
		m.callFailures++
		ac.agents.markSuspect(m)
		// It talks all the while: it is no dead machine, and no cut one.
		if m.callFailures >= 2 && m.lastContactAt > m.firstCallFailureAt && m.commandsLostAt == 0 {
			m.commandsLostAt = ac.now.Monotonic
			ac.log(slog.LevelWarn, "commands do not reach machine", "machine", string(m.id))
		}
		return
	}
	if m.latestHeartbeat == nil || !isStale(result.Heartbeat, m.latestHeartbeat.AgentEpoch, m.latestHeartbeat.Sequence) {
		m.recordHeartbeat(result.Heartbeat, ac.now.Monotonic)
		ac.agents.markReachable(m)
	}
}

func (ac *agentCaller) maxAgentCalls() int {
	return max(minAgentCalls, len(ac.replica.Machines)/machinesPerAgentCall)
}

// sendCommands sends a direct command, at most one at a time to a machine.
func (ac *agentCaller) sendCommands(entry *storage.Machine, m *machineState, commands []protocol.Command, minInterval time.Duration) {
	if m.isCallInFlight || m.callStartedAt != 0 && ac.since(m.callStartedAt) < minInterval || entry.Record.Address == "" || len(commands) == 0 && ac.agentCallsInFlight >= ac.maxAgentCalls() {
		return
	}
	agentEpoch := entry.Record.AgentEpoch
	if m.latestHeartbeat != nil && m.latestHeartbeat.AgentEpoch > agentEpoch {
		agentEpoch = m.latestHeartbeat.AgentEpoch
	}
	if agentEpoch == 0 {
		return
	}
	m.isCallInFlight, m.callStartedAt = true, ac.now.Monotonic
	ac.agentCallsInFlight++
	ac.emit(SendCommands{Machine: m.id, Addr: entry.Record.Address, Commands: protocol.Commands{FencingToken: entry.Record.FencingToken, AgentEpoch: agentEpoch, Commands: commands}})
}

// unownedProbeInterval is the least time between probes of an agent whose machine another
// controller owns.
const unownedProbeInterval = 2 * time.Second

// probeUnownedAgent asks the agent of a machine whose owner is not heard of for its status,
// unless it was asked a moment ago or too many calls are in flight.
func (ac *agentCaller) probeUnownedAgent(m *machineState, addr string) {
	if m.isCallInFlight || ac.since(m.callStartedAt) <= unownedProbeInterval || addr == "" || ac.agentCallsInFlight >= ac.maxAgentCalls() {
		return
	}
	ac.startProbe(m, addr)
}

// tryProbe sends a probe to the agent of a machine of which nothing else is remembered here,
// unless too many calls are in flight.
func (ac *agentCaller) tryProbe(id protocol.MachineID, addr string) bool {
	if ac.agentCallsInFlight >= ac.maxAgentCalls() {
		return false
	}
	ac.agentCallsInFlight++
	ac.emit(ProbeAgent{Machine: id, Addr: addr})
	return true
}

// startProbe sends a probe to an agent.
func (ac *agentCaller) startProbe(m *machineState, addr string) {
	m.isCallInFlight, m.callStartedAt = true, ac.now.Monotonic
	ac.agentCallsInFlight++
	ac.emit(ProbeAgent{Machine: m.id, Addr: addr})
}

// probeAgent asks the worker of a machine that this run does not own for its report.
func (ac *agentCaller) probeAgent(m *machineState, addr string) {
	if m.isCallInFlight || m.hasAnsweredProbe || addr == "" || ac.agentCallsInFlight >= 2*ac.maxAgentCalls() {
		return
	}
	ac.startProbe(m, addr)
}
