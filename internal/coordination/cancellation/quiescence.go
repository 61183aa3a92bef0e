package cancellation

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// IsMachineQuiescent tells whether on an owned machine no task of a job with a requested
// cancellation can start any more, and no earlier owner can keep one running: the agent has shown
// the fencing token of this ownership, and by its newest heartbeat the job's tasks there have
// started already, or are gone. One that still pulls its image would start after the confirmation.
func (c *Canceller) IsMachineQuiescent(machineID protocol.MachineID, jobID protocol.JobID) bool {
	if c.forcedTerminator.IsTerminationConfirmed(machineID) {
		return true
	}
	record, state := &c.Replica.Machines[machineID].Record, c.agents.Lookup(machineID)
	if state == nil || state.LatestHeartbeat == nil || storage.ShardEpochOf(state.ConfirmedToken) < record.ShardEpoch {
		return false
	}
	if state.LatestHeartbeat.AgentEpoch > record.AgentEpoch || c.agents.IsAgentLeaseExpired(state, record) {
		return true // the agent has killed its tasks
	}
	if state.CurrentHeartbeat(record) == nil {
		return false
	}
	for assignment := range record.AssignmentsOf(jobID) {
		if !state.AllTasksSatisfy(assignment, hasPulledImage) {
			return false
		}
	}
	return true
}

// hasPulledImage tells whether a task is past pulling its image: it has started, or has ended.
func hasPulledImage(status *protocol.TaskStatus) bool {
	return status.State != protocol.TaskPullingImage
}

// areOwnedMachinesQuiescent tells whether all machines of this controller are quiescent for a job.
func (c *Canceller) areOwnedMachinesQuiescent(jobID protocol.JobID) bool {
	for machineID := range c.Replica.MachinesWithJob(jobID) {
		entry := c.Replica.Machines[machineID]
		if c.lease.OwnsMachine(&entry.Record) && !c.IsMachineQuiescent(machineID, jobID) {
			return false
		}
	}
	return true
}
