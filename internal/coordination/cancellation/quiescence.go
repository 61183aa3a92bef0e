package cancellation

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// IsMachineQuiescent reports whether on an owned machine no task of a job with a requested cancellation
// can still start, and no earlier owner can keep one running. The agent must have shown the fencing token
// of this ownership. In addition, either the agent must have killed its tasks, or the job's tasks must
// have started or be gone according to the agent's newest heartbeat. A task that is still pulling its
// image would start after the confirmation. A machine whose termination is confirmed is quiescent too.
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

// hasPulledImage reports whether a task is no longer pulling its image, because it has started or ended.
func hasPulledImage(status *protocol.TaskStatus) bool {
	return status.State != protocol.TaskPullingImage
}

// areOwnedMachinesQuiescent reports whether all machines of this controller are quiescent for a job.
func (c *Canceller) areOwnedMachinesQuiescent(jobID protocol.JobID) bool {
	for machineID := range c.Replica.MachinesWithJob(jobID) {
		entry := c.Replica.Machines[machineID]
		if c.lease.OwnsMachine(&entry.Record) && !c.IsMachineQuiescent(machineID, jobID) {
			return false
		}
	}
	return true
}
