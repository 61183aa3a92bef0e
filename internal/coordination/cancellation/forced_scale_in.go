package cancellation

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// ownerContactTimeout is the time for which an owner counts as alive after its last status while the
// store is unavailable to all controllers.
const ownerContactTimeout = 5 * time.Second

// The ages of a cancellation from which machines are terminated because of it, as fractions of
// CancelTimeout. The numerators and the denominator are separate constants so that the products are
// exact.
const (
	silentScaleInNumerator = 2
	stuckScaleInNumerator  = 3
	scaleInDenominator     = 5
)

// silentScaleInAge returns the age of a cancellation from which a silent machine is terminated if it may
// still run a task of the job. It leaves a slow cloud enough time to terminate the machine before
// CancelTimeout.
func (c *Canceller) silentScaleInAge() time.Duration {
	return c.Config.CancelTimeout * silentScaleInNumerator / scaleInDenominator
}

// stuckScaleInAge returns the age of a cancellation from which a machine is terminated if it may still
// run a task of the job, whether or not the machine is silent. It leaves the agent time to stop a task
// that is only slow to exit.
func (c *Canceller) stuckScaleInAge() time.Duration {
	return c.Config.CancelTimeout * stuckScaleInNumerator / scaleInDenominator
}

// MustForceScaleIn reports whether an owned machine must be terminated because a task of a cancelled job
// may be stuck on the machine or the machine cannot be reached. The silence of a machine is no evidence of
// its failure if this controller itself is isolated.
func (c *Canceller) MustForceScaleIn(state *agents.MachineState, record *storage.MachineRecord, isIsolated bool) bool {
	pendingAge, isPending := c.longestPendingCancel(state, record)
	if !isPending || pendingAge <= c.silentScaleInAge() {
		return false
	}
	return pendingAge > c.stuckScaleInAge() || c.agents.IsSilent(state) && !isIsolated
}

// ForceScaleIn handles machines whose owner has sent no status recently while the store is unavailable to
// all controllers, so that no other controller can take the machines over. If a task of a cancelled job
// may run on such a machine, the agent is probed. If the task may still run at stuckScaleInAge, the
// machine is terminated.
func (c *Canceller) ForceScaleIn() {
	if !c.replication.IsLoaded() || !c.replication.StoreUnavailableEverywhere() {
		return
	}
	unownedIDs := step.SelectKeys(c.Replica.Machines, func(entry *storage.Machine) bool {
		record := &entry.Record
		return !c.lease.OwnsMachine(record) && len(record.Assignments)+len(record.LostJobs) > 0
	})
	for _, id := range unownedIDs {
		entry := c.Replica.Machines[id]
		if c.peerNotifier.HasHeardFrom(entry.Record.Owner, ownerContactTimeout) {
			continue // the owner is alive and terminates the machine itself if necessary
		}
		state := c.agents.MachineState(id)
		pendingAge, isPending := c.longestPendingCancel(state, &entry.Record)
		switch {
		case !isPending || pendingAge < c.silentScaleInAge():
		case pendingAge > c.stuckScaleInAge():
			c.forcedTerminator.TerminateUnrecorded(id)
		default:
			c.calls.ProbeUnownedAgent(state, entry.Record.Address)
		}
	}
}

// longestPendingCancel reports whether a task of a job with a requested cancellation may still be on the
// machine. It also returns the age of the oldest such request.
func (c *Canceller) longestPendingCancel(
	state *agents.MachineState, record *storage.MachineRecord,
) (longestAge time.Duration, isPending bool) {
	heartbeat := state.LatestHeartbeat
	if heartbeat != nil && heartbeat.AgentEpoch > record.AgentEpoch {
		return 0, false // the agent has killed its tasks
	}
	isHeartbeatCurrent := heartbeat != nil &&
		heartbeat.AgentEpoch == record.AgentEpoch &&
		storage.ShardEpochOf(heartbeat.FencingToken) >= record.ShardEpoch
	for i := range record.Assignments {
		assignment := &record.Assignments[i]
		if !c.CancelRequested(assignment.Job) {
			continue
		}
		if isHeartbeatCurrent && state.AllTasksSatisfy(assignment, hasExited) {
			continue
		}
		longestAge, isPending = max(longestAge, c.timeSinceCancelRequest(assignment.Job)), true
	}
	for _, job := range record.LostJobs {
		if c.CancelRequested(job) {
			longestAge, isPending = max(longestAge, c.timeSinceCancelRequest(job)), true
		}
	}
	return longestAge, isPending
}

// hasExited reports whether a task has exited.
func hasExited(status *protocol.TaskStatus) bool { return status.State == protocol.TaskExited }
