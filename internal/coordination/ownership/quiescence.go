package ownership

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/storage"
)

// isShardQuiescent reports whether an owned shard has no start in flight from this controller to its
// agents and no unresolved cancellation on its machines. Silent agents are not waited for, because an
// agent discards a response that it has not executed within seconds.
func (t *Transfers) isShardQuiescent(shard *storage.Shard) bool {
	return t.allResponsiveMachinesMatch(shard, func(entry *storage.Machine, state *agents.MachineState) bool {
		return len(state.InflightStarts) == 0 && t.areCancellationsResolved(entry)
	})
}

// areCancellationsResolved reports whether no task of a job with a requested cancellation can start on
// an owned machine any more.
func (t *Transfers) areCancellationsResolved(entry *storage.Machine) bool {
	for i := range entry.Record.Assignments {
		job := entry.Record.Assignments[i].Job
		if t.cancellations.CancelRequested(job) && !t.cancellations.IsMachineQuiescent(entry.ID, job) {
			return false
		}
	}
	return true
}

// isShardTokenConfirmed reports whether the agents of an owned shard have shown a fencing token of the
// shard's epoch. From then on they know their owner and obey no earlier one.
func (t *Transfers) isShardTokenConfirmed(shard *storage.Shard) bool {
	return t.allResponsiveMachinesMatch(shard, func(entry *storage.Machine, state *agents.MachineState) bool {
		return storage.ShardEpochOf(state.ConfirmedToken) == entry.Record.ShardEpoch
	})
}

// allResponsiveMachinesMatch reports whether a condition is true for all machines of an owned shard
// that are in service and not silent.
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

// isInService reports whether this controller owns a machine, its agent has started, and the machine
// is not about to be terminated.
func (t *Transfers) isInService(record *storage.MachineRecord) bool {
	return t.lease.OwnsMachine(record) && record.AgentEpoch != 0 && !record.Terminating
}
