package cancellation

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// ownerContactTimeout is how long an owner counts as alive after its last status while the store is
// unavailable to all controllers.
const ownerContactTimeout = 5 * time.Second

// The ages of a cancellation from which machines are terminated for it, as fractions of CancelTimeout
// (numerator and denominator, so that the products are exact).
const (
	silentScaleInFifths = 2
	stuckScaleInFifths  = 3
	fifths              = 5
)

// silentScaleInAge is the age of a cancellation at which a machine is terminated that may still run
// a task of the job and is silent. It leaves a slow cloud enough time to terminate the machine before CancelTimeout.
func (c *Canceller) silentScaleInAge() time.Duration {
	return c.Config.CancelTimeout * silentScaleInFifths / fifths
}

// stuckScaleInAge is the age of a cancellation at which a machine is terminated that may still run
// a task of the job, whether it is silent or not. It leaves the agent time to stop a task that is merely slow.
func (c *Canceller) stuckScaleInAge() time.Duration {
	return c.Config.CancelTimeout * stuckScaleInFifths / fifths
}

// MustForceScaleIn tells whether an owned machine must be terminated because a task of a cancelled
// job is stuck there, or the machine cannot be reached. Silence proves nothing of the machine if
// this controller is the one that is isolated.
func (c *Canceller) MustForceScaleIn(state *agents.MachineState, record *storage.MachineRecord, isIsolated bool) bool {
	pendingAge, isPending := c.longestPendingCancel(state, record)
	if !isPending || pendingAge <= c.silentScaleInAge() {
		return false
	}
	return pendingAge > c.stuckScaleInAge() || c.agents.IsSilent(state) && !isIsolated
}

// ForceScaleIn handles machines whose owner has sent no status lately while the store is unavailable to
// all controllers, so that no other one can take them over. If a task of a cancelled job may run there, the
// agent is probed; if that does not help in time, the machine is terminated.
func (c *Canceller) ForceScaleIn() {
	if !c.replication.IsLoaded() || !c.replication.StoreUnavailableEverywhere() {
		return
	}
	unownedIDs := step.SelectKeys(c.Replica.Machines, func(entry *storage.Machine) bool {
		return !c.lease.OwnsMachine(&entry.Record) && len(entry.Record.Assignments) > 0
	})
	for _, id := range unownedIDs {
		entry := c.Replica.Machines[id]
		if c.peerNotifier.HasHeardFrom(entry.Record.Owner, ownerContactTimeout) {
			continue // its owner is alive and does the same
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

// longestPendingCancel tells whether a task of a job with a requested cancellation may still be on
// the machine, and the age of the oldest such request.
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
	return longestAge, isPending
}

// hasExited tells whether a task has exited.
func hasExited(status *protocol.TaskStatus) bool { return status.State == protocol.TaskExited }
