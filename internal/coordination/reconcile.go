package coordination

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// writeGracefulStops puts the orderly stop of gangs on record. Every owner of a machine
// with one of the tasks reads it there at once and sends the stop directly, so
// that all tasks hear of it within gang_peer_s.
func (c *Core) writeGracefulStops(b *batch) {
	for _, id := range sortedKeys(c.gracefulStops) {
		e := c.replica.Jobs[id]
		if e == nil || e.Record.State.IsTerminal() || e.Record.GracefulStopAttempt >= c.gracefulStops[id] {
			delete(c.gracefulStops, id)
		} else if b.hasCapacity(b.writesNeeded("", id)) {
			b.mutableJob(id).GracefulStopAttempt = c.gracefulStops[id]
			b.log(slog.LevelInfo, "gang stops in order", "job", string(id), "attempt", uint64(c.gracefulStops[id]))
		}
	}
}

// writeMachines brings the records of owned machines in line with what their
// workers report, page by page. Where a transaction cannot take all, the next
// one goes on with the page that was left.
func (c *Core) writeMachines(b *batch) {
	shards := c.ownedShards()
	for i := range shards {
		k := (c.nextShardIndex + i) % len(shards)
		for _, id := range c.replica.Shards[shards[k]].Machines {
			if e := c.replica.Machines[id]; e != nil && e.Record.Shard == shards[k] {
				c.reconcileMachine(b, id, e)
			}
		}
		if !b.hasCapacity(1) {
			c.nextShardIndex, c.lastCommitWasPartial = k, true
			return
		}
	}
	c.nextShardIndex, c.lastCommitWasPartial = 0, false
}

// requeue takes a task back from a machine where it provably is no more.
func (c *Core) requeue(b *batch, m *machineState, task protocol.Task, attempt protocol.Attempt) {
	b.mutableMachine(m.id).Unassign(task)
	m.revokedAttempts[task] = attempt
	b.onSend = append(b.onSend, func() { delete(m.stopRequests, task) })
}

// isAgentLeaseExpired tells whether the worker's lease must have run out: this
// token was confirmed by the worker, so only this run's answers counted, and
// the last of them answered a report sent no later than it was received.
func (c *Core) isAgentLeaseExpired(m *machineState, record *storage.MachineRecord) bool {
	if storage.ShardEpochOf(m.confirmedToken) != record.ShardEpoch || m.latestHeartbeat == nil {
		return false
	}
	// Before it showed this token, an earlier owner may have renewed its lease.
	last := m.tokenConfirmedAt
	if storage.ShardEpochOf(m.answeredToken) == record.ShardEpoch {
		last = max(last, m.answeredHeartbeatAt)
	}
	// Steady clocks drift by up to 0.05% each; the rest is margin.
	expiry := c.cfg.AgentLeaseTTL + c.cfg.AgentLeaseTTL/500 + 500*time.Millisecond
	return c.since(last) > expiry && m.deferredRequest == 0
}

func (c *Core) reconcileMachine(b *batch, id protocol.MachineID, entry *storage.Machine) {
	if b.machines[id] != nil || b.removesMachine(id) || b.shards[entry.Record.Shard] != nil && b.shards[entry.Record.Shard].owner != c.incarnation {
		return // being handed over in this transaction
	}
	m := c.trackOwnedMachine(entry, id)
	record := &entry.Record
	heartbeat := m.latestHeartbeat

	if record.Terminating || c.isTerminationConfirmed(id) {
		if c.isTerminationConfirmed(id) && b.hasCapacity(b.writesNeeded(id)) {
			b.removeMachine(id)
			b.log(slog.LevelInfo, "machine is gone", "machine", string(id), "tasks", len(record.Assignments))
		}
		return
	}
	// A newer session: whatever was assigned in the old one has been killed.
	if heartbeat != nil && heartbeat.AgentEpoch > record.AgentEpoch && heartbeat.FencingToken <= record.FencingToken {
		if record.AgentEpoch > 0 || len(record.Assignments) == 0 {
			if !b.hasCapacity(b.writesNeeded(id)) {
				return
			}
			updated := b.mutableMachine(id)
			c.requeueAll(b, m, updated, "newer session")
			updated.AgentEpoch, updated.Address = heartbeat.AgentEpoch, heartbeat.Addr
			if record.AgentEpoch == 0 {
				updated.MachineType, updated.Zone, updated.Spot = heartbeat.Type, heartbeat.Zone, heartbeat.Spot
			}
		}
		return
	}
	if len(record.Assignments) > 0 && c.isAgentLeaseExpired(m, record) {
		if b.hasCapacity(b.writesNeeded(id)) {
			c.requeueAll(b, m, b.mutableMachine(id), "lease expired")
			b.mutableMachine(id).Cordoned = true
		}
		return
	}
	if current := m.currentHeartbeat(record); current != nil {
		for i := range record.Assignments {
			a := &record.Assignments[i]
			a.Tasks.Each(func(n int) bool {
				return c.reconcileTask(b, m, record, protocol.Task{Job: a.Job, Index: n}, a.Attempt)
			})
		}
	}
	if drain := c.shouldDrain(m, record); drain != b.machineRecord(id).Cordoned && b.hasCapacity(b.writesNeeded(id)) {
		b.mutableMachine(id).Cordoned = drain
		b.log(slog.LevelInfo, "machine drains", "machine", string(id), "on", drain, "recall", m.preemptionAt != 0,
			"silent_s", c.since(m.lastContactAt).Seconds())
	}
}

func (c *Core) requeueAll(b *batch, m *machineState, record *storage.MachineRecord, reason string) {
	for _, a := range record.Assignments {
		a.Tasks.Each(func(n int) bool {
			task := protocol.Task{Job: a.Job, Index: n}
			m.revokedAttempts[task] = a.Attempt
			b.onSend = append(b.onSend, func() { delete(m.stopRequests, task) })
			return true
		})
		b.log(slog.LevelInfo, "tasks requeued", "machine", string(m.id), "job", string(a.Job), "tasks", a.Tasks.String(), "why", reason)
	}
	record.Assignments = nil
}

// reconcileTask compares one assigned task with the report. It returns false
// once the transaction is full.
func (c *Core) reconcileTask(b *batch, m *machineState, record *storage.MachineRecord, task protocol.Task, attempt protocol.Attempt) bool {
	status := m.taskStatuses[task]
	job := b.jobRecord(task.Job)
	if status != nil && (status.Attempt != attempt || status.State != protocol.TaskExited) {
		return true // running, or an old attempt that the next answer reaps
	}
	if status == nil {
		// Not there. While a start may be in flight this proves nothing.
		if _, ok := m.inflightStarts[task]; ok {
			return true
		}
		gone := job == nil || job.State.IsTerminal() || c.cancelRequested(task.Job) || job.GracefulStopAttempt >= attempt && job.GracefulStopAttempt > 0 || c.hasStopRequest(m, task, attempt)
		if job != nil && !job.State.IsTerminal() && job.Spec.IsGang() && c.isGangBroken(task.Job, attempt) {
			gone = true
		}
		if m.revokedAttempts[task] == attempt {
			gone = true // taken back already; that write was refused, or a later one assigned it anew
		}
		if record.Cordoned && m.firstSeenAt[task] == 0 && (m.preemptionAt != 0 || m.isFaulty || m.commandsLost() || c.heartbeatsLost(m)) {
			gone = true
		}
		if gone {
			if !b.hasCapacity(b.writesNeeded(m.id)) {
				return false
			}
			c.requeue(b, m, task, attempt)
		}
		return true
	}
	isService := job != nil && job.Spec != nil && job.Spec.IsService()
	if status.Reason == protocol.ReasonDone && job != nil && !job.State.IsTerminal() && !isService {
		if !b.hasCapacity(b.writesNeeded(m.id)) {
			return false
		}
		b.recordTaskDone(m.id, task)
		b.onSend = append(b.onSend, func() { c.recordTaskRuntime(m, task) })
		c.requeue(b, m, task, attempt)
		b.completeJobIfDone(task.Job)
		clear(m.jobsWithErrors)
		return true
	}
	if !b.hasCapacity(b.writesNeeded(m.id)) {
		return false
	}
	c.requeue(b, m, task, attempt)
	if isService {
		b.failedServices[task.Job] = true // how soon it is tried again shows once this is written
	}
	if status.Reason == protocol.ReasonDone && !isService {
		return true
	}
	b.log(slog.LevelInfo, "task ended without being done", "task", task.String(), "attempt", uint64(attempt), "machine", string(m.id),
		"cause", string(status.Reason), "saved", status.ProgressSaved)
	if status.Reason == protocol.ReasonError {
		c.onTaskError(m, task.Job)
	}
	return true
}

func (c *Core) hasStopRequest(m *machineState, task protocol.Task, attempt protocol.Attempt) bool {
	stop, ok := m.stopRequests[task]
	return ok && stop.attempt == attempt
}

// onTaskError tells a faulty machine from a job that fails everywhere.
func (c *Core) onTaskError(m *machineState, id protocol.JobID) {
	state := c.jobState(id)
	state.failedMachines[m.id] = true
	if e := c.replica.Jobs[id]; len(state.failedMachines) >= 2 && (e == nil || c.replica.CompletedTasks(id).IsZero()) {
		c.log(slog.LevelWarn, "job fails on several machines", "job", string(id), "machines", len(state.failedMachines))
		return
	}
	m.jobsWithErrors[id] = true
	m.quarantinedUntil = c.now.Monotonic.Add(20 * time.Second)
	if len(m.jobsWithErrors) >= 2 && !m.isFaulty {
		m.isFaulty = true
		c.log(slog.LevelWarn, "machine is faulty", "machine", string(m.id))
	}
}

func (c *Core) shouldDrain(m *machineState, record *storage.MachineRecord) bool {
	return m.preemptionAt != 0 || m.isFaulty || m.commandsLost() || c.isSuspect(m) || c.now.Monotonic < m.quarantinedUntil || record.AgentEpoch > 0 && (c.isSilent(m) || c.heartbeatsLost(m))
}

// hasMissedHeartbeat tells whether a worker has missed a report for sure.
func (c *Core) hasMissedHeartbeat(m *machineState) bool {
	return m.deferredRequest == 0 && c.timeSinceContact(m) > c.cfg.HeartbeatInterval*5/4+1500*time.Millisecond
}

// isSilent tells whether a worker has missed several reports.
func (c *Core) isSilent(m *machineState) bool {
	return m.deferredRequest == 0 && c.timeSinceContact(m) > c.silenceTimeout()
}

// silenceTimeout is the time in which several reports must have come from a worker that
// reaches this node.
func (c *Core) silenceTimeout() time.Duration {
	return 2*c.cfg.HeartbeatInterval + c.cfg.HeartbeatInterval/2 + time.Second
}

// heartbeatsLost tells whether no report has come from a worker for a while, whatever it says when
// it is asked: starts go out in answers to reports only, so what is placed there waits.
func (c *Core) heartbeatsLost(m *machineState) bool {
	return m.deferredRequest == 0 && c.since(max(m.lastHeartbeatAt, c.resumedAt)) > c.silenceTimeout()
}

// timeSinceContact is for how long nothing has come from a worker while this process could
// have heard it: one that stood still for seconds takes none of that for silence.
func (c *Core) timeSinceContact(m *machineState) time.Duration {
	return c.since(max(m.lastContactAt, c.resumedAt))
}

// isGangBroken tells whether an attempt of a gang has been incomplete too long
// to be one that is still being written.
func (c *Core) isGangBroken(id protocol.JobID, attempt protocol.Attempt) bool {
	state := c.jobState(id)
	return state.gangIncompleteAt != 0 && state.seenAttempt == attempt && c.since(state.gangIncompleteAt) > 3*time.Second
}
