package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Bounds of the direct calls in flight. After a failover hundreds of agents need the
// new fencing token, and each call takes a socket. The bound grows with the fleet, as does the number
// of machines that hang at once, each of which occupies a call for seconds.
const (
	minAgentCalls        = 24
	machinesPerAgentCall = 32 // one call for so many machines on record
	// adoptionCallFactor raises the bound for the agents of machines that are on no record: they
	// get no response before they have answered.
	adoptionCallFactor = 2
)

// Least times between direct calls to one agent.
const (
	stopCallInterval     = time.Second     // of calls that stop tasks
	tokenCallInterval    = 2 * time.Second // of calls that show the fencing token, or test delivery
	unownedProbeInterval = 2 * time.Second // of probes of an agent whose machine another controller owns
)

// Caller sends commands and probes directly to agents and bounds how many are in flight.
type Caller struct {
	*step.Context

	agents      *Table
	lease       *commit.Lease
	misdirected *MisdirectedHeartbeats

	agentCallsInFlight int
}

// OnAgentResult takes the status that answers a direct call.
func (ac *Caller) OnAgentResult(result step.AgentResult) {
	ac.agentCallsInFlight--
	ok := result.Err == nil && result.Heartbeat != nil && result.Heartbeat.Machine == result.Machine
	if ok {
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
		if ok {
			ac.onOwnedAgentStatus(state, result.Heartbeat)
		} else {
			ac.onOwnedAgentFailure(state)
		}
	case !ok:
	case entry != nil:
		// The agent was probed because its owner sends no status. What it shows is no less true.
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

// onOwnedAgentStatus takes the answer of an agent whose machine this controller owns.
func (ac *Caller) onOwnedAgentStatus(state *MachineState, heartbeat *protocol.Heartbeat) {
	if state.isNewerThanLatest(heartbeat) {
		state.RecordHeartbeat(heartbeat, ac.Now.Monotonic)
		ac.agents.markReachable(state)
	}
}

// onOwnedAgentFailure takes in that an agent whose machine this controller owns did not answer.
func (ac *Caller) onOwnedAgentFailure(state *MachineState) {
	state.recordCallFailure(state.callStartedAt)
	ac.agents.markSuspect(state)
	if state.hasContactWhileCallsFail() && !state.CommandsLost() {
		state.CommandsLostAt = ac.Now.Monotonic
		ac.Log(slog.LevelWarn, "commands do not reach machine", "machine", string(state.ID))
	}
}

// ProbeUnownedAgent asks the agent of a machine for its status whose owner has sent none for a
// while, unless it was asked a moment ago or too many calls are in flight.
func (ac *Caller) ProbeUnownedAgent(state *MachineState, addr string) {
	if state.isCallInFlight || ac.Since(state.callStartedAt) <= unownedProbeInterval || addr == "" || !ac.hasCapacity() {
		return
	}
	ac.startProbe(state, addr)
}

// probeForAdoption asks the agent of a machine that is on no record for its status, once.
func (ac *Caller) probeForAdoption(state *MachineState, addr string) {
	hasCapacity := ac.agentCallsInFlight < adoptionCallFactor*ac.maxAgentCalls()
	if state.isCallInFlight || state.HasAnsweredProbe || addr == "" || !hasCapacity {
		return
	}
	ac.startProbe(state, addr)
}

// tryProbe sends a probe to the agent of a machine of which nothing else is remembered here,
// unless too many calls are in flight.
func (ac *Caller) tryProbe(id protocol.MachineID, addr string) bool {
	if !ac.hasCapacity() {
		return false
	}
	ac.emitProbe(id, addr)
	return true
}

func (ac *Caller) startProbe(state *MachineState, addr string) {
	state.beginCall(ac.Now.Monotonic)
	ac.emitProbe(state.ID, addr)
}

func (ac *Caller) emitProbe(id protocol.MachineID, addr string) {
	ac.agentCallsInFlight++
	ac.Emit(step.ProbeAgent{Machine: id, Addr: addr})
}

// sendCommands calls an agent, at most one call at a time. Without commands the call only shows
// the fencing token and asks for the status, and counts against the bound.
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

func (ac *Caller) maxAgentCalls() int {
	return max(minAgentCalls, len(ac.Replica.Machines)/machinesPerAgentCall)
}

// hasCapacity tells whether another direct call may start.
func (ac *Caller) hasCapacity() bool { return ac.agentCallsInFlight < ac.maxAgentCalls() }
