package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Caller sends commands and probes directly to agents and bounds how many are in flight.
type Caller struct {
	*step.Context

	agents      *Table
	lease       *commit.Lease
	misdirected *MisdirectedHeartbeats

	agentCallsInFlight int // direct commands under way
}

// OnAgentResult takes the report that answers a direct command.
func (ac *Caller) OnAgentResult(result step.AgentResult) {
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
	entry := ac.Replica.Machines[result.Machine]
	if entry == nil && m.awaitsOwnership && ok {
		if !isStale(result.Heartbeat, m.LastAgentEpoch, m.LastSequence) {
			m.RecordHeartbeat(result.Heartbeat, ac.Now.Monotonic)
			m.HasAnsweredProbe = true
		}
		return
	}
	if entry == nil || !ac.lease.OwnsMachine(&entry.Record) {
		// Asked as a last resort: what its worker shows is no less true.
		if entry != nil && ok && (m.LatestHeartbeat == nil || !isStale(result.Heartbeat, m.LatestHeartbeat.AgentEpoch, m.LatestHeartbeat.Sequence)) {
			m.RecordHeartbeat(result.Heartbeat, ac.Now.Monotonic)
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
		if m.callFailures >= 2 && m.LastContactAt > m.firstCallFailureAt && m.CommandsLostAt == 0 {
			m.CommandsLostAt = ac.Now.Monotonic
			ac.Log(slog.LevelWarn, "commands do not reach machine", "machine", string(m.ID))
		}
		return
	}
	if m.LatestHeartbeat == nil || !isStale(result.Heartbeat, m.LatestHeartbeat.AgentEpoch, m.LatestHeartbeat.Sequence) {
		m.RecordHeartbeat(result.Heartbeat, ac.Now.Monotonic)
		ac.agents.markReachable(m)
	}
}

func (ac *Caller) maxAgentCalls() int {
	return max(minAgentCalls, len(ac.Replica.Machines)/machinesPerAgentCall)
}

// sendCommands sends a direct command, at most one at a time to a machine.
func (ac *Caller) sendCommands(entry *storage.Machine, m *MachineState, commands []protocol.Command, minInterval time.Duration) {
	if m.isCallInFlight || m.callStartedAt != 0 && ac.Since(m.callStartedAt) < minInterval || entry.Record.Address == "" || len(commands) == 0 && ac.agentCallsInFlight >= ac.maxAgentCalls() {
		return
	}
	agentEpoch := entry.Record.AgentEpoch
	if m.LatestHeartbeat != nil && m.LatestHeartbeat.AgentEpoch > agentEpoch {
		agentEpoch = m.LatestHeartbeat.AgentEpoch
	}
	if agentEpoch == 0 {
		return
	}
	m.isCallInFlight, m.callStartedAt = true, ac.Now.Monotonic
	ac.agentCallsInFlight++
	ac.Emit(step.SendCommands{Machine: m.ID, Addr: entry.Record.Address, Commands: protocol.Commands{FencingToken: entry.Record.FencingToken, AgentEpoch: agentEpoch, Commands: commands}})
}

// unownedProbeInterval is the least time between probes of an agent whose machine another
// controller owns.
const unownedProbeInterval = 2 * time.Second

// ProbeUnownedAgent asks the agent of a machine whose owner is not heard of for its status,
// unless it was asked a moment ago or too many calls are in flight.
func (ac *Caller) ProbeUnownedAgent(m *MachineState, addr string) {
	if m.isCallInFlight || ac.Since(m.callStartedAt) <= unownedProbeInterval || addr == "" || ac.agentCallsInFlight >= ac.maxAgentCalls() {
		return
	}
	ac.startProbe(m, addr)
}

// tryProbe sends a probe to the agent of a machine of which nothing else is remembered here,
// unless too many calls are in flight.
func (ac *Caller) tryProbe(id protocol.MachineID, addr string) bool {
	if ac.agentCallsInFlight >= ac.maxAgentCalls() {
		return false
	}
	ac.agentCallsInFlight++
	ac.Emit(step.ProbeAgent{Machine: id, Addr: addr})
	return true
}

// startProbe sends a probe to an agent.
func (ac *Caller) startProbe(m *MachineState, addr string) {
	m.isCallInFlight, m.callStartedAt = true, ac.Now.Monotonic
	ac.agentCallsInFlight++
	ac.Emit(step.ProbeAgent{Machine: m.ID, Addr: addr})
}

// probeAgent asks the worker of a machine that this run does not own for its report.
func (ac *Caller) probeAgent(m *MachineState, addr string) {
	if m.isCallInFlight || m.HasAnsweredProbe || addr == "" || ac.agentCallsInFlight >= 2*ac.maxAgentCalls() {
		return
	}
	ac.startProbe(m, addr)
}
