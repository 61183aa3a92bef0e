package agents

import (
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/storage"
)

// ScaleInEvaluator decides which owned machines are terminated because they are no longer needed or
// have failed. BeginScaleInReview starts a review of all owned machines, and EvaluateScaleIn then
// evaluates each machine. isIsolated means that so many of them are silent that this controller itself is
// probably isolated from the network.
type ScaleInEvaluator interface {
	BeginScaleInReview(silentMachines int)
	EvaluateScaleIn(entry *storage.Machine, state *MachineState, isIsolated bool)
}

// Monitor checks the owned machines at each tick for silence, due task stops and scale-in.
type Monitor struct {
	*step.Context

	agents  *Table
	calls   *Caller
	jobs    *JobTable
	shards  *commit.ShardWriter
	stopper *TaskStopper
	scaleIn ScaleInEvaluator
}

// ownedMachine is a machine that this controller owns, with its in-memory state.
type ownedMachine struct {
	entry *storage.Machine
	state *MachineState
}

const (
	// minSilentWhenIsolated is the minimum number of silent machines for this controller to count as
	// isolated from the network. Fewer are no evidence of a fault in this controller's own network.
	minSilentWhenIsolated = 4
	// staleTokenContactAge is the time since the last contact after which an agent that has not shown
	// the current token is called. Most agents show the token in their next heartbeat.
	staleTokenContactAge = 500 * time.Millisecond
)

// TickMachines checks the owned machines. It detects silent machines, stops the tasks that must stop
// now, evaluates scale-in, and calls agents that may lack the current fencing token or may not receive
// commands.
func (am *Monitor) TickMachines() {
	am.jobs.trackIncompleteGangs()
	owned, isIsolated := am.inspectOwnedMachines()
	for _, machine := range owned {
		am.stopper.tickTaskStops(machine.entry, machine.state)
		am.scaleIn.EvaluateScaleIn(machine.entry, machine.state, isIsolated)
		if am.mustCallAgent(machine.entry, machine.state) {
			am.calls.sendCommands(machine.entry, machine.state, nil, tokenCallInterval)
		}
	}
}

// inspectOwnedMachines returns the owned machines and marks the silent ones as suspect. It reports
// whether so many of them are silent that this controller itself is probably isolated from the network.
func (am *Monitor) inspectOwnedMachines() (owned []ownedMachine, isIsolated bool) {
	monitoredCount, silentCount := 0, 0
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
			monitoredCount++
			if am.agents.IsSilent(state) {
				silentCount++
				am.agents.markSuspect(state)
			}
		}
	}
	am.scaleIn.BeginScaleInReview(silentCount)
	return owned, silentCount >= minSilentWhenIsolated && 3*silentCount > 2*monitoredCount // more than two thirds
}

// mustCallAgent reports whether the agent must be called directly, either to test whether commands
// arrive or because the agent lacks the current fencing token. Without that token the agent may
// still send heartbeats to an earlier owner that is isolated from the store. The higher token makes
// the agent ignore the responses of that owner.
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
	// An agent that has shown the current shard epoch sends its heartbeats to this controller. If one of
	// them waits for its response, the response will show the token.
	reachesThisController := storage.ShardEpochOf(state.ConfirmedToken) == entry.Record.ShardEpoch
	return reachesThisController && !state.isDeferred() || am.Since(state.LastContactAt) > staleTokenContactAge
}
