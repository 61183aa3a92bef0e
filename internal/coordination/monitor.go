package coordination

import (
	"time"

	"tillerarch/internal/storage"
)

// ScaleInEvaluator decides which owned machines are returned to the cloud.
type ScaleInEvaluator interface {
	BeginScaleInReview(silent int)
	EvaluateScaleIn(entry *storage.Machine, state *machineState, isolated bool)
}

// agentMonitor looks after the owned machines at each tick: silence, stops that are due, scale-in.
type agentMonitor struct {
	*stepContext

	agents     *agentTable
	calls      *agentCaller
	jobs       *jobTable
	shards     *shardWriter
	stopper    *taskStopper
	terminator ScaleInEvaluator
}

// tickMachines looks after owned machines: stops that are due, silence, release.
func (am *agentMonitor) tickMachines() {
	am.jobs.trackIncompleteGangs()
	type ownedMachine struct {
		e *storage.Machine
		m *machineState
	}
	var owned []ownedMachine
	monitored, silentCount := 0, 0
	for _, shard := range am.shards.ownedShards() {
		for _, id := range am.replica.Shards[shard].Machines {
			e := am.replica.Machines[id]
			if e == nil || e.Record.Shard != shard {
				continue
			}
			m := am.agents.trackOwnedMachine(e, id)
			owned = append(owned, ownedMachine{e, m})
			if e.Record.AgentEpoch > 0 && !e.Record.Terminating {
				monitored++
				if am.agents.isSilent(m) {
					silentCount++
					am.agents.markSuspect(m)
				}
			}
		}
	}
	// If nearly all fall silent, it is this node that is cut off.
	cutOff := silentCount > 3 && silentCount*3 > monitored*2
	am.terminator.BeginScaleInReview(silentCount)
	for _, o := range owned {
		e, m := o.e, o.m
		am.stopper.tickTaskStops(e, m)
		am.terminator.EvaluateScaleIn(e, m, cutOff)
		if needsNewToken := m.confirmedToken < e.Record.FencingToken; e.Record.AgentEpoch > 0 && (needsNewToken && storage.ShardEpochOf(m.confirmedToken) == e.Record.ShardEpoch && m.deferredRequest == 0 ||
			needsNewToken && am.since(m.lastContactAt) > 500*time.Millisecond || m.suspectedAt != 0 && m.lastContactAt >= m.suspectedAt) {
			// The worker may still report to an owner that was cut off: the
			// higher token makes that one's answers worthless. One that may not
			// hear is asked.
			am.calls.sendCommands(e, m, nil, 2*time.Second)
		}
	}
}
