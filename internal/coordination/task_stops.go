package coordination

import (
	"log/slog"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
)

// evictionLeadTime is how long before its machine is taken a replica is stopped, so that
// it can begin elsewhere at once.
const evictionLeadTime = 3 * time.Second

// taskStopper decides which tasks on owned machines must stop, and has them stopped.
type taskStopper struct {
	*stepContext

	calls         *agentCaller
	cancellations CancellationChecker
	heartbeats    *heartbeatHandler
	jobs          *jobTable

	gracefulStops map[protocol.JobID]protocol.Attempt // attempts of gangs that are to stop in order
}

func newTaskStopper(ctx *stepContext) *taskStopper {
	return &taskStopper{
		stepContext:   ctx,
		gracefulStops: map[protocol.JobID]protocol.Attempt{},
	}
}

// requestStop notes that a task is to stop.
func (ts *taskStopper) requestStop(m *machineState, t protocol.Task, attempt protocol.Attempt, graceSeconds float64, reason string) {
	if s, ok := m.stopRequests[t]; ok && s.attempt == attempt && s.graceSeconds <= graceSeconds {
		return
	}
	m.stopRequests[t] = stopRequest{attempt: attempt, graceSeconds: graceSeconds}
	ts.log(slog.LevelInfo, "task stop requested", "task", t.String(), "attempt", uint64(attempt), "machine", string(m.id), "reason", reason)
}

// tickTaskStops decides which tasks of an owned machine must stop, and sends the
// stops directly: the next report may be seconds away.
func (ts *taskStopper) tickTaskStops(entry *storage.Machine, m *machineState) {
	if m.latestHeartbeat == nil {
		return
	}
	urgent := false
	var untilPreemption time.Duration
	if m.preemptionAt != 0 {
		untilPreemption = m.preemptionAt.Sub(ts.now.Monotonic)
	}
	for i := range m.latestHeartbeat.Tasks {
		status := &m.latestHeartbeat.Tasks[i]
		if status.State == protocol.TaskExited {
			continue
		}
		jobEntry := ts.replica.Jobs[status.Task.Job]
		if jobEntry == nil || jobEntry.Record.Spec == nil {
			continue
		}
		desc := jobEntry.Record.Spec
		if ts.cancellations.CancelRequested(status.Task.Job) {
			ts.requestStop(m, status.Task, status.Attempt, 0, "job cancelled")
			urgent = true
			continue
		}
		if desc.IsGang() && ts.jobs.isGangBroken(status.Task.Job, status.Attempt) {
			ts.requestStop(m, status.Task, status.Attempt, 0, "gang incomplete")
			urgent = true
		}
		if stopAttempt := jobEntry.Record.GracefulStopAttempt; stopAttempt > 0 && stopAttempt >= status.Attempt {
			ts.requestStop(m, status.Task, status.Attempt, desc.CheckpointSaveSeconds+1, "gang graceful stop")
			urgent = true
		}
		if desc.IsService() && status.State != protocol.TaskSaving && ts.mustEvict(m, desc) {
			ts.requestStop(m, status.Task, status.Attempt, desc.CheckpointSaveSeconds, "machine going away")
			urgent = true
		}
		if m.preemptionAt != 0 && !desc.IsService() && desc.CanCheckpoint() && (!desc.IsGang() || desc.TaskCount == 1) && status.State == protocol.TaskRunning &&
			untilPreemption < protocol.Seconds(desc.CheckpointSaveSeconds)+2*ts.cfg.HeartbeatInterval+time.Second && untilPreemption > protocol.Seconds(desc.CheckpointSaveSeconds) {
			ts.requestStop(m, status.Task, status.Attempt, desc.CheckpointSaveSeconds, "machine preemption")
			urgent = true
		}
		if m.preemptionAt != 0 && desc.CanCheckpoint() && desc.IsGang() && desc.TaskCount > 1 && status.State == protocol.TaskRunning && jobEntry.Record.GracefulStopAttempt < status.Attempt &&
			untilPreemption < protocol.Seconds(desc.CheckpointSaveSeconds)+2*ts.cfg.HeartbeatInterval+ts.cfg.GangPeerTimeout+time.Second && untilPreemption > protocol.Seconds(desc.CheckpointSaveSeconds) {
			ts.gracefulStops[status.Task.Job] = status.Attempt
		}
		if stop, ok := m.stopRequests[status.Task]; ok && stop.attempt == status.Attempt && status.State != protocol.TaskSaving {
			urgent = true
		}
	}
	if !urgent {
		return
	}
	if commands := ts.heartbeats.commandsFor(entry, m, false); len(commands) > 0 {
		ts.calls.sendCommands(entry, m, commands, time.Second)
	}
}

// writeGracefulStops puts the orderly stop of gangs on record. Every owner of a machine
// with one of the tasks reads it there at once and sends the stop directly, so
// that all tasks hear of it within gang_peer_s.
func (ts *taskStopper) writeGracefulStops(b *batch) {
	for _, id := range sortedKeys(ts.gracefulStops) {
		e := ts.replica.Jobs[id]
		if e == nil || e.Record.State.IsTerminal() || e.Record.GracefulStopAttempt >= ts.gracefulStops[id] {
			delete(ts.gracefulStops, id)
		} else if b.hasCapacity(b.writesNeeded("", id)) {
			b.mutableJob(id).GracefulStopAttempt = ts.gracefulStops[id]
			b.log(slog.LevelInfo, "gang graceful stop recorded", "job", string(id), "attempt", uint64(ts.gracefulStops[id]))
		}
	}
}

func (ts *taskStopper) hasStopRequest(m *machineState, task protocol.Task, attempt protocol.Attempt) bool {
	stop, ok := m.stopRequests[task]
	return ok && stop.attempt == attempt
}

// mustEvict tells whether a replica has to leave its machine: it will soon be taken, or
// is faulty.
func (ts *taskStopper) mustEvict(m *machineState, d *protocol.Job) bool {
	if m.isFaulty {
		return true
	}
	return m.preemptionAt != 0 && m.preemptionAt.Sub(ts.now.Monotonic) < protocol.Seconds(d.CheckpointSaveSeconds)+evictionLeadTime
}
