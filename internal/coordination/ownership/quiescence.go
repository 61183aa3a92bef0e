package ownership

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/storage"
)

// isShardQuiescent tells whether no start that this owner has sent to the shard's agents is in flight,
// and no cancellation is unresolved there. A silent agent is not waited for: it drops a response that
// it has not carried out within seconds.
func (t *Transfers) isShardQuiescent(shard *storage.Shard) bool {
	return t.allResponsiveMachinesMatch(shard, func(entry *storage.Machine, state *agents.MachineState) bool {
		return len(state.InflightStarts) == 0 && t.areCancellationsResolved(entry)
	})
}

// areCancellationsResolved tells whether no task of a job whose cancellation is requested can begin
// on an owned machine any more.
func (t *Transfers) areCancellationsResolved(entry *storage.Machine) bool {
	for i := range entry.Record.Assignments {
		job := entry.Record.Assignments[i].Job
		if t.cancellations.CancelRequested(job) && !t.cancellations.IsMachineQuiescent(entry.ID, job) {
			return false
		}
	}
	return true
}

// isShardTokenConfirmed tells whether the agents of an owned shard know its owner: they have shown a
// fencing token of its epoch, and so obey no earlier owner.
func (t *Transfers) isShardTokenConfirmed(shard *storage.Shard) bool {
	return t.allResponsiveMachinesMatch(shard, func(entry *storage.Machine, state *agents.MachineState) bool {
		return storage.ShardEpochOf(state.ConfirmedToken) == entry.Record.ShardEpoch
	})
}

// allResponsiveMachinesMatch tells whether a condition is true of all machines of an owned shard that are in service
// and not silent.
func (t *Transfers) allResponsiveMachinesMatch(
	shard *storage.Shard, condition func(*storage.Machine, *agents.MachineState) bool,
) bool {
	for _, id := range shard.Machines {
		entry := t.Replica.Machines[id]
		if entry == nil || !t.isInService(&entry.Record) {
			continue
		}
		state := t.agents.TrackOwnedMachine(entry, id)
		if !t.agents.IsSilent(state) && !condition(entry, state) {
			return false
		}
	}
	return true
}

// isInService tells whether a machine is owned, has started and is not about to be terminated.
func (t *Transfers) isInService(record *storage.MachineRecord) bool {
	return t.lease.OwnsMachine(record) && record.AgentEpoch != 0 && !record.Terminating
}
