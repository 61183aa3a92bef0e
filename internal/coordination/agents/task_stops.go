package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// evictionLeadTime is how long before its machine is preempted a replica is stopped, so that
	// it can begin elsewhere at once.
	evictionLeadTime = 3 * time.Second
	// preemptionStopMargin is the time for a stop before preemption to reach the agent, beside
	// two heartbeat intervals.
	preemptionStopMargin = time.Second
	// gangStopExtraSeconds is what a gang's graceful stop gets beside the time to save a checkpoint.
	gangStopExtraSeconds = 1
)

// TaskStopper decides which tasks on owned machines must stop, and has them stopped.
type TaskStopper struct {
	*step.Context

	calls         *Caller
	cancellations CancellationChecker
	heartbeats    *HeartbeatHandler
	jobs          *JobTable

	gracefulStops map[protocol.JobID]protocol.Attempt // attempts of gangs that are to stop gracefully
}

func newTaskStopper(ctx *step.Context) *TaskStopper {
	return &TaskStopper{
		Context:       ctx,
		gracefulStops: map[protocol.JobID]protocol.Attempt{},
	}
}

// RequestStop notes that a task is to stop. A request with a shorter grace period stays.
func (ts *TaskStopper) RequestStop(
	state *MachineState, task protocol.Task, attempt protocol.Attempt, graceSeconds float64, reason string,
) {
	if stop, ok := state.stopRequests[task]; ok && stop.attempt == attempt && stop.graceSeconds <= graceSeconds {
		return
	}
	state.stopRequests[task] = stopRequest{attempt: attempt, graceSeconds: graceSeconds}
	ts.Log(slog.LevelInfo, "task stop requested", "task", task.String(), "attempt", uint64(attempt),
		"machine", string(state.ID), "reason", reason)
}

// RequestGracefulStop notes that an attempt of a gang is to stop gracefully, on all its machines.
func (ts *TaskStopper) RequestGracefulStop(id protocol.JobID, attempt protocol.Attempt) {
	ts.gracefulStops[id] = attempt
}

// HasGracefulStops tells whether gangs are to be stopped gracefully.
func (ts *TaskStopper) HasGracefulStops() bool { return len(ts.gracefulStops) > 0 }

// WriteGracefulStops puts the graceful stop of gangs on record. Every owner of a machine
// with one of the tasks reads it there at once and sends the stop directly, so
// that all tasks get the stop within Config.GangPeerTimeout.
func (ts *TaskStopper) WriteGracefulStops(batch *commit.Batch) {
	for _, id := range step.SortedKeys(ts.gracefulStops) {
		attempt := ts.gracefulStops[id]
		entry := ts.Replica.Jobs[id]
		if entry == nil || entry.Record.State.IsTerminal() || entry.Record.GracefulStopAttempt >= attempt {
			delete(ts.gracefulStops, id)
		} else if batch.HasCapacity(batch.OpsNeeded("", id)) {
			batch.MutableJob(id).GracefulStopAttempt = attempt
			batch.Log(slog.LevelInfo, "gang graceful stop recorded", "job", string(id), "attempt", uint64(attempt))
		}
	}
}

// tickTaskStops decides which tasks of an owned machine must stop, and sends the
// stops directly: the next heartbeat may be seconds away.
func (ts *TaskStopper) tickTaskStops(entry *storage.Machine, state *MachineState) {
	if state.LatestHeartbeat == nil {
		return
	}
	isUrgent := false
	for i := range state.LatestHeartbeat.Tasks {
		status := &state.LatestHeartbeat.Tasks[i]
		if status.State == protocol.TaskExited {
			continue
		}
		job := ts.Replica.Jobs[status.Task.Job]
		if job != nil && job.Record.Spec != nil && ts.stopIfDue(state, status, &job.Record) {
			isUrgent = true
		}
	}
	if !isUrgent {
		return
	}
	if commands := ts.heartbeats.commandsFor(entry, state, false); len(commands) > 0 {
		ts.calls.sendCommands(entry, state, commands, stopCallInterval)
	}
}

// stopIfDue requests the stop of a live task if there is a reason, and tells whether its agent
// is to be called for it.
func (ts *TaskStopper) stopIfDue(
	state *MachineState, status *protocol.TaskStatus, job *storage.JobRecord,
) (isUrgent bool) {
	spec := job.Spec
	request := func(graceSeconds float64, reason string) {
		ts.RequestStop(state, status.Task, status.Attempt, graceSeconds, reason)
		isUrgent = true
	}
	if ts.cancellations.CancelRequested(status.Task.Job) {
		request(0, "job cancelled")
		return isUrgent
	}
	if spec.IsGang() && ts.jobs.isGangBroken(status.Task.Job, status.Attempt) {
		request(0, "gang incomplete")
	}
	if isGracefullyStopped(job, status.Attempt) {
		request(spec.CheckpointSaveSeconds+gangStopExtraSeconds, "gang graceful stop")
	}
	if spec.IsService() && status.State != protocol.TaskSaving && ts.mustEvict(state, spec) {
		request(spec.CheckpointSaveSeconds, "machine going away")
	}
	if status.State == protocol.TaskRunning && spec.CanCheckpoint() {
		if spansSeveralTasks(spec) {
			if job.GracefulStopAttempt < status.Attempt && ts.mustSaveCheckpoint(state, spec, ts.Config.GangPeerTimeout) {
				ts.RequestGracefulStop(status.Task.Job, status.Attempt)
			}
		} else if !spec.IsService() && ts.mustSaveCheckpoint(state, spec, 0) {
			request(spec.CheckpointSaveSeconds, "machine preemption")
		}
	}
	if state.HasStopRequest(status.Task, status.Attempt) && status.State != protocol.TaskSaving {
		isUrgent = true
	}
	return isUrgent
}

// mustSaveCheckpoint tells whether a task on a machine that is about to be preempted must begin to save
// its checkpoint now, and still can. Later it would be lost, earlier it would lose work time.
func (ts *TaskStopper) mustSaveCheckpoint(state *MachineState, spec *protocol.Job, extra time.Duration) bool {
	if !state.isPreempted() {
		return false
	}
	untilPreemption := state.preemptionAt.Sub(ts.Now.Monotonic)
	saveTime := protocol.Seconds(spec.CheckpointSaveSeconds)
	return untilPreemption > saveTime &&
		untilPreemption < saveTime+2*ts.Config.HeartbeatInterval+extra+preemptionStopMargin
}

// mustEvict tells whether a replica has to leave its machine: it will soon be preempted, or
// is faulty.
func (ts *TaskStopper) mustEvict(state *MachineState, spec *protocol.Job) bool {
	if state.IsFaulty {
		return true
	}
	return state.isPreempted() &&
		state.preemptionAt.Sub(ts.Now.Monotonic) < protocol.Seconds(spec.CheckpointSaveSeconds)+evictionLeadTime
}
