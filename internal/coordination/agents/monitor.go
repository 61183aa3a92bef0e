package agents

import (
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/storage"
)

// ScaleInEvaluator decides which owned machines are returned to the cloud.
type ScaleInEvaluator interface {
	BeginScaleInReview(silent int)
	EvaluateScaleIn(entry *storage.Machine, state *MachineState, isolated bool)
}

// Monitor looks after the owned machines at each tick: silence, stops that are due, scale-in.
type Monitor struct {
	*step.Context

	agents     *Table
	calls      *Caller
	jobs       *JobTable
	shards     *commit.ShardWriter
	stopper    *TaskStopper
	terminator ScaleInEvaluator
}

// TickMachines looks after owned machines: stops that are due, silence, release.
func (am *Monitor) TickMachines() {
	am.jobs.trackIncompleteGangs()
	type ownedMachine struct {
		e *storage.Machine
		m *MachineState
	}
	var owned []ownedMachine
	monitored, silentCount := 0, 0
	for _, shard := range am.shards.OwnedShards() {
		for _, id := range am.Replica.Shards[shard].Machines {
			e := am.Replica.Machines[id]
			if e == nil || e.Record.Shard != shard {
				continue
			}
			m := am.agents.TrackOwnedMachine(e, id)
			owned = append(owned, ownedMachine{e, m})
			if e.Record.AgentEpoch > 0 && !e.Record.Terminating {
				monitored++
				if am.agents.IsSilent(m) {
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
		if needsNewToken := m.ConfirmedToken < e.Record.FencingToken; e.Record.AgentEpoch > 0 && (needsNewToken && storage.ShardEpochOf(m.ConfirmedToken) == e.Record.ShardEpoch && m.DeferredRequest == 0 ||
			needsNewToken && am.Since(m.LastContactAt) > 500*time.Millisecond || m.suspectedAt != 0 && m.LastContactAt >= m.suspectedAt) {
			// The worker may still report to an owner that was cut off: the
			// higher token makes that one's answers worthless. One that may not
			// hear is asked.
			am.calls.sendCommands(e, m, nil, 2*time.Second)
		}
	}
}
