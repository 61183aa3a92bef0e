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
	// evictionLeadTime is how long before the preemption of its machine a service replica is stopped,
	// in addition to the time to save a checkpoint. The replica can then restart on another machine
	// at once.
	evictionLeadTime = 3 * time.Second
	// preemptionStopMargin is the time that a stop before a preemption may take to reach the agent, in
	// addition to two heartbeat intervals.
	preemptionStopMargin = time.Second
	// gangStopExtraSeconds is added to the time to save a checkpoint in the grace period of a gang's
	// graceful stop.
	gangStopExtraSeconds = 1
)

// TaskStopper decides which tasks on owned machines must stop and sends the stop commands.
type TaskStopper struct {
	*step.Context

	agents        *Table
	calls         *Caller
	cancellations CancellationChecker
	heartbeats    *HeartbeatHandler
	jobs          *JobTable

	gracefulStops map[protocol.JobID]protocol.Attempt // attempts of gangs whose graceful stop is not recorded yet
}

func newTaskStopper(ctx *step.Context) *TaskStopper {
	return &TaskStopper{
		Context:       ctx,
		gracefulStops: map[protocol.JobID]protocol.Attempt{},
	}
}

// RequestStop requests the stop of a task. An earlier request for the same attempt stays if its grace
// period is not longer.
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

// RequestGracefulStop requests the graceful stop of an attempt of a gang on all its machines.
func (ts *TaskStopper) RequestGracefulStop(id protocol.JobID, attempt protocol.Attempt) {
	ts.gracefulStops[id] = attempt
}

// HasGracefulStops reports whether the graceful stop of a gang waits to be recorded.
func (ts *TaskStopper) HasGracefulStops() bool { return len(ts.gracefulStops) > 0 }

// WriteGracefulStops adds the requested graceful stops to the records of the gangs' jobs. Every owner of
// a machine with a task of the gang reads the record at once and sends the stop directly, so that all
// tasks receive the stop within Config.GangPeerTimeout.
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

// tickTaskStops decides which tasks of an owned machine must stop. It sends the stops directly because
// the next heartbeat may be seconds away.
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

// stopIfDue requests the stop of a live task if there is a reason, and reports whether its agent must be
// called directly.
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
	if spec.IsGang() && ts.jobs.isGangBroken(status.Task.Job, status.Attempt) && !ts.mayFinishImagePull(state, status, spec) {
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

// mustSaveCheckpoint reports whether a task on a machine that is about to be preempted must begin to
// save its checkpoint now and still has the time. If the save began later, the checkpoint would be
// lost. If it began earlier, work time would be lost.
func (ts *TaskStopper) mustSaveCheckpoint(state *MachineState, spec *protocol.Job, extra time.Duration) bool {
	if !state.isPreempted() {
		return false
	}
	untilPreemption := state.preemptionAt.Sub(ts.Now.Monotonic)
	saveTime := protocol.Seconds(spec.CheckpointSaveSeconds)
	return untilPreemption > saveTime &&
		untilPreemption < saveTime+2*ts.Config.HeartbeatInterval+extra+preemptionStopMargin
}

// mustEvict reports whether a service replica must leave its machine because the machine is faulty or
// will soon be preempted.
func (ts *TaskStopper) mustEvict(state *MachineState, spec *protocol.Job) bool {
	if state.IsFaulty {
		return true
	}
	return state.isPreempted() &&
		state.preemptionAt.Sub(ts.Now.Monotonic) < protocol.Seconds(spec.CheckpointSaveSeconds)+evictionLeadTime
}
