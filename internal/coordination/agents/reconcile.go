package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TerminationChecker knows the machines whose termination the cloud has confirmed.
type TerminationChecker interface {
	IsTerminationConfirmed(id protocol.MachineID) bool
}

// Reconciler brings the records of owned machines in line with what their agents report.
type Reconciler struct {
	*step.Context

	commits       *commit.Committer
	agents        *Table
	cancellations CancellationChecker
	jobs          *JobTable
	lease         *commit.Lease
	shards        *commit.ShardWriter
	stopper       *TaskStopper
	terminator    TerminationChecker

	nextShardIndex int // of own pages, the one to go on with
}

// WriteMachines brings the records of owned machines in line with what their
// workers report, page by page. Where a transaction cannot take all, the next
// one goes on with the page that was left.
func (r *Reconciler) WriteMachines(b *commit.Batch) {
	shards := r.shards.OwnedShards()
	for i := range shards {
		k := (r.nextShardIndex + i) % len(shards)
		for _, id := range r.Replica.Shards[shards[k]].Machines {
			if e := r.Replica.Machines[id]; e != nil && e.Record.Shard == shards[k] {
				r.reconcileMachine(b, id, e)
			}
		}
		if !b.HasCapacity(1) {
			r.nextShardIndex = k
			r.commits.SetPartial(true)
			return
		}
	}
	r.nextShardIndex = 0
	r.commits.SetPartial(false)
}

// requeue takes a task back from a machine where it provably is no more.
func (r *Reconciler) requeue(b *commit.Batch, m *MachineState, task protocol.Task, attempt protocol.Attempt) {
	b.MutableMachine(m.ID).Unassign(task)
	m.RevokedAttempts[task] = attempt
	b.OnSend(func() { delete(m.StopRequests, task) })
}

func (r *Reconciler) reconcileMachine(b *commit.Batch, id protocol.MachineID, entry *storage.Machine) {
	if b.ChangesMachine(id) || b.RemovesMachine(id) || b.GivesAwayShard(entry.Record.Shard) {
		return // being handed over in this transaction
	}
	m := r.agents.TrackOwnedMachine(entry, id)
	record := &entry.Record
	heartbeat := m.LatestHeartbeat

	if record.Terminating || r.terminator.IsTerminationConfirmed(id) {
		if r.terminator.IsTerminationConfirmed(id) && b.HasCapacity(b.WritesNeeded(id)) {
			b.RemoveMachine(id)
			b.Log(slog.LevelInfo, "machine removed", "machine", string(id), "tasks", len(record.Assignments))
		}
		return
	}
	// A newer session: whatever was assigned in the old one has been killed.
	if heartbeat != nil && heartbeat.AgentEpoch > record.AgentEpoch && heartbeat.FencingToken <= record.FencingToken {
		if record.AgentEpoch > 0 || len(record.Assignments) == 0 {
			if !b.HasCapacity(b.WritesNeeded(id)) {
				return
			}
			updated := b.MutableMachine(id)
			r.requeueAll(b, m, updated, "newer agent epoch")
			updated.AgentEpoch, updated.Address = heartbeat.AgentEpoch, heartbeat.Addr
			if record.AgentEpoch == 0 {
				updated.MachineType, updated.Zone, updated.Spot = heartbeat.Type, heartbeat.Zone, heartbeat.Spot
			}
		}
		return
	}
	if len(record.Assignments) > 0 && r.agents.IsAgentLeaseExpired(m, record) {
		if b.HasCapacity(b.WritesNeeded(id)) {
			r.requeueAll(b, m, b.MutableMachine(id), "agent lease expired")
			b.MutableMachine(id).Cordoned = true
		}
		return
	}
	if current := m.CurrentHeartbeat(record); current != nil {
		for i := range record.Assignments {
			a := &record.Assignments[i]
			a.Tasks.Each(func(n int) bool {
				return r.reconcileTask(b, m, record, protocol.Task{Job: a.Job, Index: n}, a.Attempt)
			})
		}
	}
	if drain := r.shouldDrain(m, record); drain != b.MachineRecord(id).Cordoned && b.HasCapacity(b.WritesNeeded(id)) {
		b.MutableMachine(id).Cordoned = drain
		b.Log(slog.LevelInfo, "machine drain changed", "machine", string(id), "enabled", drain, "preempted", m.preemptionAt != 0,
			"seconds_since_contact", r.Since(m.LastContactAt).Seconds())
	}
}

func (r *Reconciler) requeueAll(b *commit.Batch, m *MachineState, record *storage.MachineRecord, reason string) {
	for _, a := range record.Assignments {
		a.Tasks.Each(func(n int) bool {
			task := protocol.Task{Job: a.Job, Index: n}
			m.RevokedAttempts[task] = a.Attempt
			b.OnSend(func() { delete(m.StopRequests, task) })
			return true
		})
		b.Log(slog.LevelInfo, "tasks requeued", "machine", string(m.ID), "job", string(a.Job), "tasks", a.Tasks.String(), "reason", reason)
	}
	record.Assignments = nil
}

// reconcileTask compares one assigned task with the report. It returns false
// once the transaction is full.
func (r *Reconciler) reconcileTask(b *commit.Batch, m *MachineState, record *storage.MachineRecord, task protocol.Task, attempt protocol.Attempt) bool {
	status := m.taskStatuses[task]
	job := b.JobRecord(task.Job)
	if status != nil && (status.Attempt != attempt || status.State != protocol.TaskExited) {
		return true // running, or an old attempt that the next answer reaps
	}
	if status == nil {
		// Not there. While a start may be in flight this proves nothing.
		if _, ok := m.InflightStarts[task]; ok {
			return true
		}
		gone := job == nil || job.State.IsTerminal() || r.cancellations.CancelRequested(task.Job) || job.GracefulStopAttempt >= attempt && job.GracefulStopAttempt > 0 || r.stopper.hasStopRequest(m, task, attempt)
		if job != nil && !job.State.IsTerminal() && job.Spec.IsGang() && r.jobs.isGangBroken(task.Job, attempt) {
			gone = true
		}
		if m.RevokedAttempts[task] == attempt {
			gone = true // taken back already; that write was refused, or a later one assigned it anew
		}
		if record.Cordoned && m.firstSeenAt[task] == 0 && (m.preemptionAt != 0 || m.IsFaulty || m.CommandsLost() || r.agents.heartbeatsLost(m)) {
			gone = true
		}
		if gone {
			if !b.HasCapacity(b.WritesNeeded(m.ID)) {
				return false
			}
			r.requeue(b, m, task, attempt)
		}
		return true
	}
	isService := job != nil && job.Spec != nil && job.Spec.IsService()
	if status.Reason == protocol.ReasonDone && job != nil && !job.State.IsTerminal() && !isService {
		if !b.HasCapacity(b.WritesNeeded(m.ID)) {
			return false
		}
		b.RecordTaskDone(m.ID, task)
		b.OnSend(func() { r.jobs.RecordTaskRuntime(m, task) })
		r.requeue(b, m, task, attempt)
		b.CompleteJobIfDone(task.Job)
		clear(m.jobsWithErrors)
		return true
	}
	if !b.HasCapacity(b.WritesNeeded(m.ID)) {
		return false
	}
	r.requeue(b, m, task, attempt)
	if isService {
		b.MarkFailedReplica(task.Job) // how soon it is tried again shows once this is written
	}
	if status.Reason == protocol.ReasonDone && !isService {
		return true
	}
	b.Log(slog.LevelInfo, "task ended incomplete", "task", task.String(), "attempt", uint64(attempt), "machine", string(m.ID),
		"reason", string(status.Reason), "checkpointed", status.ProgressSaved)
	if status.Reason == protocol.ReasonError {
		r.onTaskError(m, task.Job)
	}
	return true
}

// onTaskError tells a faulty machine from a job that fails everywhere.
func (r *Reconciler) onTaskError(m *MachineState, id protocol.JobID) {
	state := r.jobs.JobState(id)
	state.FailedMachines[m.ID] = true
	if e := r.Replica.Jobs[id]; len(state.FailedMachines) >= 2 && (e == nil || r.Replica.CompletedTasks(id).IsZero()) {
		r.Log(slog.LevelWarn, "job fails on multiple machines", "job", string(id), "count", len(state.FailedMachines))
		return
	}
	m.jobsWithErrors[id] = true
	m.quarantinedUntil = r.Now.Monotonic.Add(20 * time.Second)
	if len(m.jobsWithErrors) >= 2 && !m.IsFaulty {
		m.IsFaulty = true
		r.Log(slog.LevelWarn, "machine marked faulty", "machine", string(m.ID))
	}
}

func (r *Reconciler) shouldDrain(m *MachineState, record *storage.MachineRecord) bool {
	return m.preemptionAt != 0 || m.IsFaulty || m.CommandsLost() || r.agents.isSuspect(m) || r.Now.Monotonic < m.quarantinedUntil || record.AgentEpoch > 0 && (r.agents.IsSilent(m) || r.agents.heartbeatsLost(m))
}
