package coordination

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// tickMachines looks after owned machines: stops that are due, silence, release.
func (c *Core) tickMachines() {
	c.trackIncompleteGangs()
	type ownedMachine struct {
		e *storage.Machine
		m *machineState
	}
	var owned []ownedMachine
	monitored, silentCount := 0, 0
	for _, shard := range c.ownedShards() {
		for _, id := range c.replica.Shards[shard].Machines {
			e := c.replica.Machines[id]
			if e == nil || e.Record.Shard != shard {
				continue
			}
			m := c.trackOwnedMachine(e, id)
			owned = append(owned, ownedMachine{e, m})
			if e.Record.AgentEpoch > 0 && !e.Record.Terminating {
				monitored++
				if c.isSilent(m) {
					silentCount++
					c.markSuspect(m)
				}
			}
		}
	}
	// If nearly all fall silent, it is this node that is cut off.
	cutOff := silentCount > 3 && silentCount*3 > monitored*2
	c.beginScaleInReview(silentCount)
	for _, o := range owned {
		e, m := o.e, o.m
		c.tickTaskStops(e, m)
		c.evaluateScaleIn(e, m, cutOff)
		if needsNewToken := m.confirmedToken < e.Record.FencingToken; e.Record.AgentEpoch > 0 && (needsNewToken && storage.ShardEpochOf(m.confirmedToken) == e.Record.ShardEpoch && m.deferredRequest == 0 ||
			needsNewToken && c.since(m.lastContactAt) > 500*time.Millisecond || m.suspectedAt != 0 && m.lastContactAt >= m.suspectedAt) {
			// The worker may still report to an owner that was cut off: the
			// higher token makes that one's answers worthless. One that may not
			// hear is asked.
			c.sendCommands(e, m, nil, 2*time.Second)
		}
	}
}

// highestAttempt is the highest attempt with which tasks of the job are assigned.
func (c *Core) highestAttempt(id protocol.JobID, b *batch) (attempt protocol.Attempt) {
	for machineID := range c.replica.MachinesWithJob(id) {
		record := &c.replica.Machines[machineID].Record
		if b != nil {
			record = b.machineRecord(machineID)
		}
		for a := range record.AssignmentsOf(id) {
			attempt = max(attempt, a.Attempt)
		}
	}
	return attempt
}

func (c *Core) trackIncompleteGangs() {
	for id, e := range c.replica.UnfinishedJobs {
		if !e.Record.Spec.IsGang() || e.Record.Spec.TaskCount < 2 {
			continue
		}
		attempt := c.highestAttempt(id, nil)
		state := c.jobState(id)
		if attempt == 0 || c.isGangFullyAssigned(id, &e.Record, attempt) {
			state.gangIncompleteAt = 0
		} else if state.gangIncompleteAt == 0 || state.seenAttempt != attempt {
			state.gangIncompleteAt = c.now.Monotonic
		}
		state.seenAttempt = attempt
	}
}

// tickTaskStops decides which tasks of an owned machine must stop, and sends the
// stops directly: the next report may be seconds away.
func (c *Core) tickTaskStops(entry *storage.Machine, m *machineState) {
	if m.latestHeartbeat == nil {
		return
	}
	urgent := false
	var untilPreemption time.Duration
	if m.preemptionAt != 0 {
		untilPreemption = m.preemptionAt.Sub(c.now.Monotonic)
	}
	for i := range m.latestHeartbeat.Tasks {
		status := &m.latestHeartbeat.Tasks[i]
		if status.State == protocol.TaskExited {
			continue
		}
		jobEntry := c.replica.Jobs[status.Task.Job]
		if jobEntry == nil || jobEntry.Record.Spec == nil {
			continue
		}
		desc := jobEntry.Record.Spec
		if c.cancelRequested(status.Task.Job) {
			c.requestStop(m, status.Task, status.Attempt, 0, "withdrawn")
			urgent = true
			continue
		}
		if desc.IsGang() && c.isGangBroken(status.Task.Job, status.Attempt) {
			c.requestStop(m, status.Task, status.Attempt, 0, "gang lost a task")
			urgent = true
		}
		if stopAttempt := jobEntry.Record.GracefulStopAttempt; stopAttempt > 0 && stopAttempt >= status.Attempt {
			c.requestStop(m, status.Task, status.Attempt, desc.CheckpointSaveSeconds+1, "gang stops in order")
			urgent = true
		}
		if desc.IsService() && status.State != protocol.TaskSaving && c.mustEvict(m, desc) {
			c.requestStop(m, status.Task, status.Attempt, desc.CheckpointSaveSeconds, "its machine goes")
			urgent = true
		}
		if m.preemptionAt != 0 && !desc.IsService() && desc.CanCheckpoint() && (!desc.IsGang() || desc.TaskCount == 1) && status.State == protocol.TaskRunning &&
			untilPreemption < protocol.Seconds(desc.CheckpointSaveSeconds)+2*c.cfg.HeartbeatInterval+time.Second && untilPreemption > protocol.Seconds(desc.CheckpointSaveSeconds) {
			c.requestStop(m, status.Task, status.Attempt, desc.CheckpointSaveSeconds, "recall")
			urgent = true
		}
		if m.preemptionAt != 0 && desc.CanCheckpoint() && desc.IsGang() && desc.TaskCount > 1 && status.State == protocol.TaskRunning && jobEntry.Record.GracefulStopAttempt < status.Attempt &&
			untilPreemption < protocol.Seconds(desc.CheckpointSaveSeconds)+2*c.cfg.HeartbeatInterval+c.cfg.GangPeerTimeout+time.Second && untilPreemption > protocol.Seconds(desc.CheckpointSaveSeconds) {
			c.gracefulStops[status.Task.Job] = status.Attempt
		}
		if stop, ok := m.stopRequests[status.Task]; ok && stop.attempt == status.Attempt && status.State != protocol.TaskSaving {
			urgent = true
		}
	}
	if !urgent {
		return
	}
	if commands := c.commandsFor(entry, m, false); len(commands) > 0 {
		c.sendCommands(entry, m, commands, time.Second)
	}
}
