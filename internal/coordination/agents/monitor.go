package agents

import (
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/storage"
)

// ScaleInEvaluator decides which owned machines are returned to the cloud.
type ScaleInEvaluator interface {
	BeginScaleInReview(silentMachines int)
	EvaluateScaleIn(entry *storage.Machine, state *MachineState, isIsolated bool)
}

// Monitor looks after the owned machines at each tick: silence, stops that are due, scale-in.
type Monitor struct {
	*step.Context

	agents  *Table
	calls   *Caller
	jobs    *JobTable
	shards  *commit.ShardWriter
	stopper *TaskStopper
	scaleIn ScaleInEvaluator
}

// ownedMachine is a machine that this controller owns, with what is remembered of it.
type ownedMachine struct {
	entry *storage.Machine
	state *MachineState
}

const (
	// minSilentWhenIsolated is the least number of silent machines that tells anything of this
	// controller's own network.
	minSilentWhenIsolated = 4
	// staleTokenContactAge is how long nothing has come from an agent that does not show its
	// token before it is called: most show the token in their next heartbeat.
	staleTokenContactAge = 500 * time.Millisecond
)

// TickMachines looks after the owned machines: stops that are due, silence, scale-in, and direct
// calls to agents that may not have the current fencing token or may not receive commands.
func (am *Monitor) TickMachines() {
	am.jobs.trackIncompleteGangs()
	owned, isCutOff := am.inspectOwnedMachines()
	for _, machine := range owned {
		am.stopper.tickTaskStops(machine.entry, machine.state)
		am.scaleIn.EvaluateScaleIn(machine.entry, machine.state, isCutOff)
		if am.mustCallAgent(machine.entry, machine.state) {
			am.calls.sendCommands(machine.entry, machine.state, nil, tokenCallInterval)
		}
	}
}

// inspectOwnedMachines lists the owned machines and marks the silent ones as suspect. It tells
// whether so many are silent that this controller must be the one that is cut off.
func (am *Monitor) inspectOwnedMachines() (owned []ownedMachine, isCutOff bool) {
	monitored, silent := 0, 0
	for _, shard := range am.shards.OwnedShards() {
		for _, id := range am.Replica.Shards[shard].Machines {
			entry := am.Replica.Machines[id]
			if entry == nil || entry.Record.Shard != shard {
				continue
			}
			state := am.agents.TrackOwnedMachine(entry, id)
			owned = append(owned, ownedMachine{entry: entry, state: state})
			if entry.Record.AgentEpoch == 0 || entry.Record.Terminating {
				continue
			}
			monitored++
			if am.agents.IsSilent(state) {
				silent++
				am.agents.markSuspect(state)
			}
		}
	}
	am.scaleIn.BeginScaleInReview(silent)
	return owned, silent >= minSilentWhenIsolated && 3*silent > 2*monitored // more than two thirds
}

// mustCallAgent tells whether the agent has to be called directly: to test whether commands
// arrive, or because it lacks the fencing token. It may still send heartbeats to an earlier
// owner that is cut off from the store: the higher token makes that one's responses void.
func (am *Monitor) mustCallAgent(entry *storage.Machine, state *MachineState) bool {
	if entry.Record.AgentEpoch == 0 {
		return false
	}
	if state.hasContactWhileSuspect() {
		return true
	}
	if state.ConfirmedToken >= entry.Record.FencingToken {
		return false
	}
	// Within one shard epoch the agent sends its heartbeats here, and a response that is about to be sent
	// shows the token as well.
	sendsHeartbeatsHere := storage.ShardEpochOf(state.ConfirmedToken) == entry.Record.ShardEpoch
	return sendsHeartbeatsHere && !state.isDeferred() || am.Since(state.LastContactAt) > staleTokenContactAge
}
