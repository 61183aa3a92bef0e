package cancellation

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// IsMachineQuiescent tells whether on an owned machine no task of a job with a requested
// cancellation can start any more, and no earlier owner can keep one running: the agent has shown
// the fencing token of this ownership, and by its newest heartbeat the job's tasks there have
// started already, or are gone. One that still pulls its image would start after the confirmation.
func (c *Canceller) IsMachineQuiescent(id protocol.MachineID, job protocol.JobID) bool {
	if c.terminator.IsTerminationConfirmed(id) {
		return true
	}
	record, m := &c.Replica.Machines[id].Record, c.agents.Lookup(id)
	if m == nil || m.LatestHeartbeat == nil || storage.ShardEpochOf(m.ConfirmedToken) < record.ShardEpoch {
		return false
	}
	if m.LatestHeartbeat.AgentEpoch > record.AgentEpoch || c.agents.IsAgentLeaseExpired(m, record) {
		return true // the agent has killed its tasks
	}
	if m.CurrentHeartbeat(record) == nil {
		return false
	}
	for assignment := range record.AssignmentsOf(job) {
		if !m.AllTasksSatisfy(assignment, hasPulledImage) {
			return false
		}
	}
	return true
}

func hasPulledImage(status *protocol.TaskStatus) bool {
	return status.State != protocol.TaskPullingImage
}

// areOwnedMachinesQuiescent tells whether all machines of this controller are quiescent for a job.
func (c *Canceller) areOwnedMachinesQuiescent(id protocol.JobID) bool {
	for machineID := range c.Replica.MachinesWithJob(id) {
		entry := c.Replica.Machines[machineID]
		if c.lease.OwnsMachine(&entry.Record) && !c.IsMachineQuiescent(machineID, id) {
			return false
		}
	}
	return true
}
