package agents

import (
	"log/slog"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TerminationChecker reports whether the cloud has confirmed the termination of a machine.
type TerminationChecker interface {
	IsTerminationConfirmed(id protocol.MachineID) bool
}

// Reconciler updates the records of owned machines with what their agents report.
//
// A task must never run twice. A task is therefore requeued from a machine only with proof that it does
// not run there and will never run there under the same attempt. Each of these is proof:
//
//   - a heartbeat under the recorded shard epoch and agent epoch shows that the task has exited, or
//     lacks the task while no start of it is in flight (reconcileTask);
//   - the agent has begun a newer agent epoch (adoptAgentEpoch);
//   - the agent's lease has definitely expired (Table.IsAgentLeaseExpired);
//   - the cloud has confirmed the termination of the machine (IsTerminationConfirmed).
//
// Elapsed time is no proof until the agent has shown the recorded shard epoch.
type Reconciler struct {
	*step.Context

	committer     *commit.Committer
	agents        *Table
	cancellations CancellationChecker
	jobs          *JobTable
	shards        *commit.ShardWriter
	terminations  TerminationChecker

	nextShardIndex int // index of the owned shard at which the next batch begins
}

// WriteMachines adds to a batch the changes of the owned machines' records, shard by shard. If the
// batch cannot hold all changes, the next one continues with the shard at which this one was full.
func (r *Reconciler) WriteMachines(batch *commit.Batch) {
	shards := r.shards.OwnedShards()
	for i := range shards {
		index := (r.nextShardIndex + i) % len(shards)
		for _, id := range r.Replica.Shards[shards[index]].Machines {
			if entry := r.Replica.Machines[id]; entry != nil && entry.Record.Shard == shards[index] {
				r.reconcileMachine(batch, id, entry)
			}
		}
		if !batch.HasCapacity(1) {
			r.nextShardIndex = index
			r.committer.SetBatchPartial(true)
			return
		}
	}
	r.nextShardIndex = 0
	r.committer.SetBatchPartial(false)
}

// reconcileMachine adds the changes of one machine's record to a batch.
func (r *Reconciler) reconcileMachine(batch *commit.Batch, id protocol.MachineID, entry *storage.Machine) {
	record := &entry.Record
	if batch.ChangesMachine(id) || batch.RemovesMachine(id) || batch.GivesAwayShard(record.Shard) {
		return // another part of this transaction already changes, removes or hands over the machine
	}
	state := r.agents.TrackOwnedMachine(entry, id)
	switch {
	case record.Terminating || r.terminations.IsTerminationConfirmed(id):
		r.removeTerminated(batch, id, record)
		return
	case hasNewAgentEpoch(state, record):
		r.adoptAgentEpoch(batch, state, record)
		return
	case len(record.Assignments) > 0 && r.agents.IsAgentLeaseExpired(state, record):
		r.requeueExpired(batch, state)
		return
	}
	if state.CurrentHeartbeat(record) != nil {
		r.reconcileTasks(batch, state, record)
	}
	r.updateCordon(batch, state, record)
}

// removeTerminated deletes a machine's record once the cloud has confirmed the termination. Before
// that, the machine's tasks may still run.
func (r *Reconciler) removeTerminated(batch *commit.Batch, id protocol.MachineID, record *storage.MachineRecord) {
	if !r.terminations.IsTerminationConfirmed(id) || !batch.HasCapacity(batch.OpsNeeded(id)) {
		return
	}
	batch.RemoveMachine(id)
	batch.Log(slog.LevelInfo, "machine removed", "machine", string(id), "tasks", len(record.Assignments))
}

// hasNewAgentEpoch reports whether the agent has begun an agent epoch that is not recorded yet. It
// ignores a heartbeat with a higher token than the recorded one, which only a later owner may process.
func hasNewAgentEpoch(state *MachineState, record *storage.MachineRecord) bool {
	heartbeat := state.LatestHeartbeat
	return heartbeat != nil && heartbeat.AgentEpoch > record.AgentEpoch && heartbeat.FencingToken <= record.FencingToken
}

// adoptAgentEpoch records the agent's new epoch and requeues all tasks, because an agent kills every
// task of an earlier epoch before it begins a new one.
func (r *Reconciler) adoptAgentEpoch(batch *commit.Batch, state *MachineState, record *storage.MachineRecord) {
	isFirstEpoch := record.AgentEpoch == 0
	if isFirstEpoch && len(record.Assignments) > 0 || !batch.HasCapacity(batch.OpsNeeded(state.ID)) {
		return
	}
	heartbeat, updated := state.LatestHeartbeat, batch.MutableMachine(state.ID)
	r.requeueAll(batch, state, updated, "newer agent epoch")
	updated.LostJobs = nil
	updated.AgentEpoch, updated.Address = heartbeat.AgentEpoch, heartbeat.Addr
	if isFirstEpoch {
		updated.MachineType, updated.Zone, updated.Spot = heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	}
}

// reconcileTasks compares the assigned tasks with the current heartbeat.
func (r *Reconciler) reconcileTasks(batch *commit.Batch, state *MachineState, record *storage.MachineRecord) {
	for i := range record.Assignments {
		assignment := &record.Assignments[i]
		assignment.Tasks.Each(func(index int) bool {
			return r.reconcileTask(batch, state, record, protocol.Task{Job: assignment.Job, Index: index}, assignment.Attempt)
		})
	}
}

// reconcileTask compares one assigned task with the current heartbeat. It returns false if the batch has
// no capacity for a change that is needed.
func (r *Reconciler) reconcileTask(
	batch *commit.Batch, state *MachineState, record *storage.MachineRecord, task protocol.Task, attempt protocol.Attempt,
) bool {
	status := state.taskStatuses[task]
	switch {
	case status == nil:
		if !r.mustRequeueAbsent(batch, state, record, task, attempt) {
			return true
		}
	case status.Attempt != attempt || status.State != protocol.TaskExited:
		return true // the task is live, or the next response makes the agent forget another attempt
	}
	if !batch.HasCapacity(batch.OpsNeeded(state.ID)) {
		return false
	}
	if status == nil {
		r.requeue(batch, state, task, attempt)
	} else {
		r.recordExit(batch, state, task, status)
	}
	return true
}

// mustRequeueAbsent reports whether an assigned task that the current heartbeat lacks must be requeued.
// The heartbeat proves that the task does not run, unless a start of it is in flight. The task is
// requeued if it must not or cannot be started on the machine.
func (r *Reconciler) mustRequeueAbsent(
	batch *commit.Batch, state *MachineState, record *storage.MachineRecord, task protocol.Task, attempt protocol.Attempt,
) bool {
	if _, isInFlight := state.InflightStarts[task]; isInFlight {
		return false // the agent may still execute the start, so the absence of the task is no proof
	}
	job := batch.JobRecord(task.Job)
	switch {
	case job == nil || job.State.IsTerminal() || r.cancellations.CancelRequested(task.Job):
		return true
	case isGracefullyStopped(job, attempt) || state.HasStopRequest(task, attempt):
		return true
	case job.Spec.IsGang() && r.jobs.isGangBroken(task.Job, attempt):
		return true
	case state.revokedAttempts[task] == attempt:
		return true // requeued before, but that write was refused or a later one assigned the task again
	}
	wasEverSeen := state.firstSeenAt[task] != 0
	return record.Cordoned && !wasEverSeen && r.cannotStart(state)
}

// cannotStart reports whether a cordoned machine will start no task for some time.
func (r *Reconciler) cannotStart(state *MachineState) bool {
	return state.isPreempted() || state.IsFaulty || state.CommandsLost() || r.agents.heartbeatsLost(state)
}

// recordExit unassigns a task that the current heartbeat shows as exited. If the task is completed, the
// same transaction records that, so that the result is not lost and the task does not run again.
func (r *Reconciler) recordExit(
	batch *commit.Batch, state *MachineState, task protocol.Task, status *protocol.TaskStatus,
) {
	job := batch.JobRecord(task.Job)
	isService := job != nil && job.Spec != nil && job.Spec.IsService()
	isDone := status.Reason == protocol.ReasonDone && !isService // service replicas are never done
	if isDone && job != nil && !job.State.IsTerminal() {
		batch.RecordTaskCompleted(state.ID, task)
		batch.OnSend(func() { r.jobs.recordTaskRuntime(state, task) })
		r.requeue(batch, state, task, status.Attempt)
		batch.CompleteJobIfDone(task.Job)
		state.recordCompletion()
		return
	}
	r.requeue(batch, state, task, status.Attempt)
	if isService {
		batch.MarkFailedReplica(task.Job) // the restart delay is determined once this is written
	}
	if isDone {
		return
	}
	batch.Log(slog.LevelInfo, "task ended incomplete", "task", task.String(), "attempt", uint64(status.Attempt),
		"machine", string(state.ID), "reason", string(status.Reason), "checkpointed", status.ProgressSaved)
	if status.Reason == protocol.ReasonError {
		r.onTaskError(state, task.Job)
	}
}

// minFailedMachines is the number of machines on which a job must fail before the errors are attributed
// to the job.
const minFailedMachines = 2

// onTaskError attributes a task's error to the job if the job fails on every machine, and to the
// machine otherwise.
func (r *Reconciler) onTaskError(state *MachineState, id protocol.JobID) {
	jobState := r.jobs.JobState(id)
	jobState.FailedMachines[state.ID] = true
	if r.failsEverywhere(id, jobState) {
		r.Log(slog.LevelWarn, "job fails on multiple machines", "job", string(id), "count", len(jobState.FailedMachines))
		return
	}
	if becameFaulty := state.recordTaskError(id, r.Now.Monotonic); becameFaulty {
		r.Log(slog.LevelWarn, "machine marked faulty", "machine", string(state.ID))
	}
}

// failsEverywhere reports whether a job has failed on several machines and completed no task.
func (r *Reconciler) failsEverywhere(id protocol.JobID, jobState *JobState) bool {
	return len(jobState.FailedMachines) >= minFailedMachines &&
		(r.Replica.Jobs[id] == nil || r.Replica.CompletedTasks(id).IsZero())
}

// updateCordon records whether the machine accepts new tasks.
func (r *Reconciler) updateCordon(batch *commit.Batch, state *MachineState, record *storage.MachineRecord) {
	mustCordon := r.shouldCordon(state, record)
	if mustCordon == batch.MachineRecord(state.ID).Cordoned || !batch.HasCapacity(batch.OpsNeeded(state.ID)) {
		return
	}
	batch.MutableMachine(state.ID).Cordoned = mustCordon
	batch.Log(slog.LevelInfo, "machine drain changed", "machine", string(state.ID), "enabled", mustCordon,
		"preempted", state.isPreempted(), "seconds_since_contact", r.Since(state.LastContactAt).Seconds())
}

// shouldCordon reports whether a machine should get no new tasks because it will be preempted, is
// faulty or quarantined, or its agent may not receive start commands.
func (r *Reconciler) shouldCordon(state *MachineState, record *storage.MachineRecord) bool {
	if state.isPreempted() || state.IsFaulty || r.Now.Monotonic < state.quarantinedUntil {
		return true
	}
	if state.CommandsLost() || r.agents.isSuspectTooLong(state) {
		return true
	}
	return record.AgentEpoch > 0 && (r.agents.IsSilent(state) || r.agents.heartbeatsLost(state))
}
