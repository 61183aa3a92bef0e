package cancellation

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// ownerContactTimeout is how long an owner counts as alive after its last status while the
// store is down for all.
const ownerContactTimeout = 5 * time.Second

// silentScaleInAge is the age of a cancellation at which a machine is terminated that may still run
// a task of the job and is silent. It is early enough for a slow cloud to end the task in time.
func (c *Canceller) silentScaleInAge() time.Duration { return c.Config.CancelTimeout * 2 / 5 }

// stuckScaleInAge is the age of a cancellation at which a machine is terminated that may still run
// a task of the job, whether it is silent or not. It is late enough for what only needs a moment.
func (c *Canceller) stuckScaleInAge() time.Duration { return c.Config.CancelTimeout * 3 / 5 }

// MustForceScaleIn tells whether an owned machine must be terminated because a task of a cancelled
// job is stuck there, or the machine cannot be reached. Silence proves nothing of the machine if
// this controller is the one that is isolated.
func (c *Canceller) MustForceScaleIn(m *agents.MachineState, record *storage.MachineRecord, isIsolated bool) bool {
	pendingFor, isPending := c.longestPendingCancel(m, record)
	if !isPending || pendingFor <= c.silentScaleInAge() {
		return false
	}
	return pendingFor > c.stuckScaleInAge() || c.agents.IsSilent(m) && !isIsolated
}

// ForceScaleIn looks after machines whose owner is not heard from while the store is down for all,
// so that no other controller can take them over. If a task of a cancelled job may run there, the
// agent is probed; if that does not help in time, the machine is terminated.
func (c *Canceller) ForceScaleIn() {
	if !c.replication.IsLoaded() || !c.replication.StoreUnavailableEverywhere() {
		return
	}
	ids := step.SelectKeys(c.Replica.Machines, func(entry *storage.Machine) bool {
		return !c.lease.OwnsMachine(&entry.Record) && len(entry.Record.Assignments) > 0
	})
	for _, id := range ids {
		entry := c.Replica.Machines[id]
		if c.peers.HasHeardFrom(entry.Record.Owner, ownerContactTimeout) {
			continue // its owner is alive and does the same
		}
		m := c.agents.MachineState(id)
		pendingFor, isPending := c.longestPendingCancel(m, &entry.Record)
		switch {
		case !isPending || pendingFor < c.silentScaleInAge():
		case pendingFor > c.stuckScaleInAge():
			c.terminator.TerminateUnrecorded(id)
		default:
			c.calls.ProbeUnownedAgent(m, entry.Record.Address)
		}
	}
}

// longestPendingCancel tells whether a task of a job with a requested cancellation may still be on
// the machine, and for how long the longest such request has stood.
func (c *Canceller) longestPendingCancel(
	m *agents.MachineState, record *storage.MachineRecord,
) (longest time.Duration, isPending bool) {
	heartbeat := m.LatestHeartbeat
	if heartbeat != nil && heartbeat.AgentEpoch > record.AgentEpoch {
		return 0, false // the agent has killed its tasks
	}
	isCurrent := heartbeat != nil &&
		heartbeat.AgentEpoch == record.AgentEpoch &&
		storage.ShardEpochOf(heartbeat.FencingToken) >= record.ShardEpoch
	for i := range record.Assignments {
		assignment := &record.Assignments[i]
		if !c.CancelRequested(assignment.Job) {
			continue
		}
		if isCurrent && m.AllTasksSatisfy(assignment, hasExited) {
			continue
		}
		longest, isPending = max(longest, c.timeSinceCancelRequest(assignment.Job)), true
	}
	return longest, isPending
}

func hasExited(status *protocol.TaskStatus) bool { return status.State == protocol.TaskExited }
