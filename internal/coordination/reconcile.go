package coordination

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TerminationChecker knows the machines whose termination the cloud has confirmed.
type TerminationChecker interface {
	IsTerminationConfirmed(id protocol.MachineID) bool
}

// reconciler brings the records of owned machines in line with what their agents report.
type reconciler struct {
	*stepContext

	commits       *committer
	agents        *agentTable
	cancellations CancellationChecker
	jobs          *jobTable
	lease         *incarnationLease
	shards        *shardWriter
	stopper       *taskStopper
	terminator    TerminationChecker

	nextShardIndex int // of own pages, the one to go on with
}

// writeMachines brings the records of owned machines in line with what their
// workers report, page by page. Where a transaction cannot take all, the next
// one goes on with the page that was left.
func (r *reconciler) writeMachines(b *batch) {
	shards := r.shards.ownedShards()
	for i := range shards {
		k := (r.nextShardIndex + i) % len(shards)
		for _, id := range r.replica.Shards[shards[k]].Machines {
			if e := r.replica.Machines[id]; e != nil && e.Record.Shard == shards[k] {
				r.reconcileMachine(b, id, e)
			}
		}
		if !b.hasCapacity(1) {
			r.nextShardIndex = k
			r.commits.isPartial = true
			return
		}
	}
	r.nextShardIndex = 0
	r.commits.isPartial = false
}

// requeue takes a task back from a machine where it provably is no more.
func (r *reconciler) requeue(b *batch, m *machineState, task protocol.Task, attempt protocol.Attempt) {
	b.mutableMachine(m.id).Unassign(task)
	m.revokedAttempts[task] = attempt
	b.onSend = append(b.onSend, func() { delete(m.stopRequests, task) })
}

func (r *reconciler) reconcileMachine(b *batch, id protocol.MachineID, entry *storage.Machine) {
	if b.machines[id] != nil || b.removesMachine(id) || b.shards[entry.Record.Shard] != nil && b.shards[entry.Record.Shard].owner != r.lease.incarnation {
		return // being handed over in this transaction
	}
	m := r.agents.trackOwnedMachine(entry, id)
	record := &entry.Record
	heartbeat := m.latestHeartbeat

	if record.Terminating || r.terminator.IsTerminationConfirmed(id) {
		if r.terminator.IsTerminationConfirmed(id) && b.hasCapacity(b.writesNeeded(id)) {
			b.removeMachine(id)
			b.log(slog.LevelInfo, "machine removed", "machine", string(id), "tasks", len(record.Assignments))
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
			r.requeueAll(b, m, updated, "newer agent epoch")
			updated.AgentEpoch, updated.Address = heartbeat.AgentEpoch, heartbeat.Addr
			if record.AgentEpoch == 0 {
				updated.MachineType, updated.Zone, updated.Spot = heartbeat.Type, heartbeat.Zone, heartbeat.Spot
			}
		}
		return
	}
	if len(record.Assignments) > 0 && r.agents.isAgentLeaseExpired(m, record) {
		if b.hasCapacity(b.writesNeeded(id)) {
			r.requeueAll(b, m, b.mutableMachine(id), "agent lease expired")
			b.mutableMachine(id).Cordoned = true
		}
		return
	}
	if current := m.currentHeartbeat(record); current != nil {
		for i := range record.Assignments {
			a := &record.Assignments[i]
			a.Tasks.Each(func(n int) bool {
				return r.reconcileTask(b, m, record, protocol.Task{Job: a.Job, Index: n}, a.Attempt)
			})
		}
	}
	if drain := r.shouldDrain(m, record); drain != b.machineRecord(id).Cordoned && b.hasCapacity(b.writesNeeded(id)) {
		b.mutableMachine(id).Cordoned = drain
		b.log(slog.LevelInfo, "machine drain changed", "machine", string(id), "enabled", drain, "preempted", m.preemptionAt != 0,
			"seconds_since_contact", r.since(m.lastContactAt).Seconds())
	}
}

func (r *reconciler) requeueAll(b *batch, m *machineState, record *storage.MachineRecord, reason string) {
	for _, a := range record.Assignments {
		a.Tasks.Each(func(n int) bool {
			task := protocol.Task{Job: a.Job, Index: n}
			m.revokedAttempts[task] = a.Attempt
			b.onSend = append(b.onSend, func() { delete(m.stopRequests, task) })
			return true
		})
		b.log(slog.LevelInfo, "tasks requeued", "machine", string(m.id), "job", string(a.Job), "tasks", a.Tasks.String(), "reason", reason)
	}
	record.Assignments = nil
}

// reconcileTask compares one assigned task with the report. It returns false
// once the transaction is full.
func (r *reconciler) reconcileTask(b *batch, m *machineState, record *storage.MachineRecord, task protocol.Task, attempt protocol.Attempt) bool {
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
		gone := job == nil || job.State.IsTerminal() || r.cancellations.CancelRequested(task.Job) || job.GracefulStopAttempt >= attempt && job.GracefulStopAttempt > 0 || r.stopper.hasStopRequest(m, task, attempt)
		if job != nil && !job.State.IsTerminal() && job.Spec.IsGang() && r.jobs.isGangBroken(task.Job, attempt) {
			gone = true
		}
		if m.revokedAttempts[task] == attempt {
			gone = true // taken back already; that write was refused, or a later one assigned it anew
		}
		if record.Cordoned && m.firstSeenAt[task] == 0 && (m.preemptionAt != 0 || m.isFaulty || m.commandsLost() || r.agents.heartbeatsLost(m)) {
			gone = true
		}
		if gone {
			if !b.hasCapacity(b.writesNeeded(m.id)) {
				return false
			}
			r.requeue(b, m, task, attempt)
		}
		return true
	}
	isService := job != nil && job.Spec != nil && job.Spec.IsService()
	if status.Reason == protocol.ReasonDone && job != nil && !job.State.IsTerminal() && !isService {
		if !b.hasCapacity(b.writesNeeded(m.id)) {
			return false
		}
		b.recordTaskDone(m.id, task)
		b.onSend = append(b.onSend, func() { r.jobs.recordTaskRuntime(m, task) })
		r.requeue(b, m, task, attempt)
		b.completeJobIfDone(task.Job)
		clear(m.jobsWithErrors)
		return true
	}
	if !b.hasCapacity(b.writesNeeded(m.id)) {
		return false
	}
	r.requeue(b, m, task, attempt)
	if isService {
		b.failedServices[task.Job] = true // how soon it is tried again shows once this is written
	}
	if status.Reason == protocol.ReasonDone && !isService {
		return true
	}
	b.log(slog.LevelInfo, "task ended incomplete", "task", task.String(), "attempt", uint64(attempt), "machine", string(m.id),
		"reason", string(status.Reason), "checkpointed", status.ProgressSaved)
	if status.Reason == protocol.ReasonError {
		r.onTaskError(m, task.Job)
	}
	return true
}

// onTaskError tells a faulty machine from a job that fails everywhere.
func (r *reconciler) onTaskError(m *machineState, id protocol.JobID) {
	state := r.jobs.jobState(id)
	state.failedMachines[m.id] = true
	if e := r.replica.Jobs[id]; len(state.failedMachines) >= 2 && (e == nil || r.replica.CompletedTasks(id).IsZero()) {
		r.log(slog.LevelWarn, "job fails on multiple machines", "job", string(id), "count", len(state.failedMachines))
		return
	}
	m.jobsWithErrors[id] = true
	m.quarantinedUntil = r.now.Monotonic.Add(20 * time.Second)
	if len(m.jobsWithErrors) >= 2 && !m.isFaulty {
		m.isFaulty = true
		r.log(slog.LevelWarn, "machine marked faulty", "machine", string(m.id))
	}
}

func (r *reconciler) shouldDrain(m *machineState, record *storage.MachineRecord) bool {
	return m.preemptionAt != 0 || m.isFaulty || m.commandsLost() || r.agents.isSuspect(m) || r.now.Monotonic < m.quarantinedUntil || record.AgentEpoch > 0 && (r.agents.isSilent(m) || r.agents.heartbeatsLost(m))
}
