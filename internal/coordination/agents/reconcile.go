package agents

import (
	"log/slog"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TerminationChecker knows the machines whose termination the cloud has confirmed.
type TerminationChecker interface {
	IsTerminationConfirmed(id protocol.MachineID) bool
}

// Reconciler brings the records of owned machines in line with what their agents show.
//
// A task must never run twice, so it is taken back from a machine only on one of these proofs
// that it does not run there and never will under the same attempt:
//
//   - a heartbeat under the recorded shard epoch and agent epoch lacks it, while no start of it is
//     in flight, or shows that it has exited (reconcileTask);
//   - the agent has begun a newer agent epoch (adoptAgentEpoch);
//   - the agent's lease has expired for sure (Table.IsAgentLeaseExpired);
//   - the cloud has confirmed the termination of the machine (IsTerminationConfirmed).
//
// Time alone proves nothing before the agent has shown the shard epoch on record.
type Reconciler struct {
	*step.Context

	committer     *commit.Committer
	agents        *Table
	cancellations CancellationChecker
	jobs          *JobTable
	shards        *commit.ShardWriter
	terminations  TerminationChecker

	nextShardIndex int // of the owned shards, the one to go on with
}

// WriteMachines brings the records of owned machines in line with what their
// agents show, shard by shard. Where a transaction cannot take all, the next
// one goes on with the shard that was left.
func (r *Reconciler) WriteMachines(b *commit.Batch) {
	shards := r.shards.OwnedShards()
	for i := range shards {
		index := (r.nextShardIndex + i) % len(shards)
		for _, id := range r.Replica.Shards[shards[index]].Machines {
			if entry := r.Replica.Machines[id]; entry != nil && entry.Record.Shard == shards[index] {
				r.reconcileMachine(b, id, entry)
			}
		}
		if !b.HasCapacity(1) {
			r.nextShardIndex = index
			r.committer.SetBatchPartial(true)
			return
		}
	}
	r.nextShardIndex = 0
	r.committer.SetBatchPartial(false)
}

func (r *Reconciler) reconcileMachine(b *commit.Batch, id protocol.MachineID, entry *storage.Machine) {
	record := &entry.Record
	if b.ChangesMachine(id) || b.RemovesMachine(id) || b.GivesAwayShard(record.Shard) {
		return // being handed over in this transaction
	}
	m := r.agents.TrackOwnedMachine(entry, id)
	switch {
	case record.Terminating || r.terminations.IsTerminationConfirmed(id):
		r.removeTerminated(b, id, record)
		return
	case hasNewAgentEpoch(m, record):
		r.adoptAgentEpoch(b, m, record)
		return
	case len(record.Assignments) > 0 && r.agents.IsAgentLeaseExpired(m, record):
		r.requeueExpired(b, m)
		return
	}
	if m.CurrentHeartbeat(record) != nil {
		r.reconcileTasks(b, m, record)
	}
	r.updateDrain(b, m, record)
}

// removeTerminated drops a machine from the records once the cloud has confirmed its termination:
// only then are its tasks surely gone.
func (r *Reconciler) removeTerminated(b *commit.Batch, id protocol.MachineID, record *storage.MachineRecord) {
	if !r.terminations.IsTerminationConfirmed(id) || !b.HasCapacity(b.OpsNeeded(id)) {
		return
	}
	b.RemoveMachine(id)
	b.Log(slog.LevelInfo, "machine removed", "machine", string(id), "tasks", len(record.Assignments))
}

// hasNewAgentEpoch tells whether the agent has begun an agent epoch that is not on record. A
// heartbeat with a higher token than the one on record is another owner's to judge.
func hasNewAgentEpoch(m *MachineState, record *storage.MachineRecord) bool {
	heartbeat := m.LatestHeartbeat
	return heartbeat != nil && heartbeat.AgentEpoch > record.AgentEpoch && heartbeat.FencingToken <= record.FencingToken
}

// adoptAgentEpoch records the agent's new epoch and takes all tasks back: an agent kills every task
// of an earlier epoch before it begins a new one.
func (r *Reconciler) adoptAgentEpoch(b *commit.Batch, m *MachineState, record *storage.MachineRecord) {
	isFirstEpoch := record.AgentEpoch == 0
	if isFirstEpoch && len(record.Assignments) > 0 || !b.HasCapacity(b.OpsNeeded(m.ID)) {
		return
	}
	heartbeat, updated := m.LatestHeartbeat, b.MutableMachine(m.ID)
	r.requeueAll(b, m, updated, "newer agent epoch")
	updated.AgentEpoch, updated.Address = heartbeat.AgentEpoch, heartbeat.Addr
	if isFirstEpoch {
		updated.MachineType, updated.Zone, updated.Spot = heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	}
}

// requeueExpired takes all tasks back from a machine whose agent has killed them, as no response
// renewed its lease.
func (r *Reconciler) requeueExpired(b *commit.Batch, m *MachineState) {
	if !b.HasCapacity(b.OpsNeeded(m.ID)) {
		return
	}
	updated := b.MutableMachine(m.ID)
	r.requeueAll(b, m, updated, "agent lease expired")
	updated.Cordoned = true
}

// requeueAll takes all tasks back from a machine.
func (r *Reconciler) requeueAll(b *commit.Batch, m *MachineState, record *storage.MachineRecord, reason string) {
	for _, a := range record.Assignments {
		a.Tasks.Each(func(n int) bool {
			r.revoke(b, m, protocol.Task{Job: a.Job, Index: n}, a.Attempt)
			return true
		})
		b.Log(slog.LevelInfo, "tasks requeued", "machine", string(m.ID), "job", string(a.Job),
			"tasks", a.Tasks.String(), "reason", reason)
	}
	record.Assignments = nil
}

// requeue takes one task back from a machine.
func (r *Reconciler) requeue(b *commit.Batch, m *MachineState, task protocol.Task, attempt protocol.Attempt) {
	b.MutableMachine(m.ID).Unassign(task)
	r.revoke(b, m, task, attempt)
}

// revoke bars an attempt that is taken back from being started again, from now on: the write may
// be applied even if its outcome is never known.
func (r *Reconciler) revoke(b *commit.Batch, m *MachineState, task protocol.Task, attempt protocol.Attempt) {
	m.revokedAttempts[task] = attempt
	b.OnSend(func() { delete(m.stopRequests, task) })
}

// reconcileTasks compares the assigned tasks with the current heartbeat.
func (r *Reconciler) reconcileTasks(b *commit.Batch, m *MachineState, record *storage.MachineRecord) {
	for i := range record.Assignments {
		a := &record.Assignments[i]
		a.Tasks.Each(func(n int) bool {
			return r.reconcileTask(b, m, record, protocol.Task{Job: a.Job, Index: n}, a.Attempt)
		})
	}
}

// reconcileTask compares one assigned task with the current heartbeat. It returns false
// once the transaction is full.
func (r *Reconciler) reconcileTask(
	b *commit.Batch, m *MachineState, record *storage.MachineRecord, task protocol.Task, attempt protocol.Attempt,
) bool {
	status := m.taskStatuses[task]
	switch {
	case status == nil:
		if !r.mustRequeueAbsent(b, m, record, task, attempt) {
			return true
		}
	case status.Attempt != attempt || status.State != protocol.TaskExited:
		return true // running, or an old attempt that the next response has forgotten
	}
	if !b.HasCapacity(b.OpsNeeded(m.ID)) {
		return false
	}
	if status == nil {
		r.requeue(b, m, task, attempt)
	} else {
		r.recordExit(b, m, task, status)
	}
	return true
}

// mustRequeueAbsent tells whether an assigned task that the current heartbeat lacks is to be taken
// back. That it does not run is proven, unless a start is in flight; that it should not be started
// again is the question.
func (r *Reconciler) mustRequeueAbsent(
	b *commit.Batch, m *MachineState, record *storage.MachineRecord, task protocol.Task, attempt protocol.Attempt,
) bool {
	if _, inFlight := m.InflightStarts[task]; inFlight {
		return false // the agent may carry it out yet: absence proves nothing
	}
	job := b.JobRecord(task.Job)
	switch {
	case job == nil || job.State.IsTerminal() || r.cancellations.CancelRequested(task.Job):
		return true
	case isGracefullyStopped(job, attempt) || m.HasStopRequest(task, attempt):
		return true
	case job.Spec.IsGang() && r.jobs.isGangBroken(task.Job, attempt):
		return true
	case m.revokedAttempts[task] == attempt:
		return true // taken back already; that write was refused, or a later one assigned it anew
	}
	wasEverSeen := m.firstSeenAt[task] != 0
	return record.Cordoned && !wasEverSeen && r.cannotStart(m)
}

// cannotStart tells whether a machine that is drained will start nothing for some time.
func (r *Reconciler) cannotStart(m *MachineState) bool {
	return m.isPreempted() || m.IsFaulty || m.CommandsLost() || r.agents.heartbeatsLost(m)
}

// recordExit takes a task back that the current heartbeat shows as exited. If it was done, that goes
// into the same transaction: it is neither lost nor run again.
func (r *Reconciler) recordExit(b *commit.Batch, m *MachineState, task protocol.Task, status *protocol.TaskStatus) {
	job := b.JobRecord(task.Job)
	isService := job != nil && job.Spec != nil && job.Spec.IsService()
	isDone := status.Reason == protocol.ReasonDone && !isService // replicas are never done
	if isDone && job != nil && !job.State.IsTerminal() {
		b.RecordTaskDone(m.ID, task)
		b.OnSend(func() { r.jobs.recordTaskRuntime(m, task) })
		r.requeue(b, m, task, status.Attempt)
		b.CompleteJobIfDone(task.Job)
		clear(m.jobsWithErrors)
		return
	}
	r.requeue(b, m, task, status.Attempt)
	if isService {
		b.MarkFailedReplica(task.Job) // how soon it is tried again shows once this is written
	}
	if isDone {
		return
	}
	b.Log(slog.LevelInfo, "task ended incomplete", "task", task.String(), "attempt", uint64(status.Attempt),
		"machine", string(m.ID), "reason", string(status.Reason), "checkpointed", status.ProgressSaved)
	if status.Reason == protocol.ReasonError {
		r.onTaskError(m, task.Job)
	}
}

// minFailedMachines is on how many machines a job must fail before the fault is the job's.
const minFailedMachines = 2

// onTaskError tells a faulty machine from a job that fails everywhere.
func (r *Reconciler) onTaskError(m *MachineState, id protocol.JobID) {
	state := r.jobs.JobState(id)
	state.FailedMachines[m.ID] = true
	if r.failsEverywhere(id, state) {
		r.Log(slog.LevelWarn, "job fails on multiple machines", "job", string(id), "count", len(state.FailedMachines))
		return
	}
	if becameFaulty := m.recordTaskError(id, r.Now.Monotonic); becameFaulty {
		r.Log(slog.LevelWarn, "machine marked faulty", "machine", string(m.ID))
	}
}

// failsEverywhere tells whether a job has failed on several machines and completed nothing.
func (r *Reconciler) failsEverywhere(id protocol.JobID, state *JobState) bool {
	return len(state.FailedMachines) >= minFailedMachines &&
		(r.Replica.Jobs[id] == nil || r.Replica.CompletedTasks(id).IsZero())
}

// updateDrain records whether the machine takes new tasks.
func (r *Reconciler) updateDrain(b *commit.Batch, m *MachineState, record *storage.MachineRecord) {
	drain := r.shouldDrain(m, record)
	if drain == b.MachineRecord(m.ID).Cordoned || !b.HasCapacity(b.OpsNeeded(m.ID)) {
		return
	}
	b.MutableMachine(m.ID).Cordoned = drain
	b.Log(slog.LevelInfo, "machine drain changed", "machine", string(m.ID), "enabled", drain,
		"preempted", m.isPreempted(), "seconds_since_contact", r.Since(m.LastContactAt).Seconds())
}

// shouldDrain tells whether a machine should take no new tasks: it will be preempted, is faulty,
// or its agent may not start them.
func (r *Reconciler) shouldDrain(m *MachineState, record *storage.MachineRecord) bool {
	if m.isPreempted() || m.IsFaulty || r.Now.Monotonic < m.quarantinedUntil {
		return true
	}
	if m.CommandsLost() || r.agents.isSuspectTooLong(m) {
		return true
	}
	return record.AgentEpoch > 0 && (r.agents.IsSilent(m) || r.agents.heartbeatsLost(m))
}
