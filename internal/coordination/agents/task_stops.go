package agents

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// evictionLeadTime is how long before its machine is taken a replica is stopped, so that
// it can begin elsewhere at once.
const evictionLeadTime = 3 * time.Second

// TaskStopper decides which tasks on owned machines must stop, and has them stopped.
type TaskStopper struct {
	*step.Context

	calls         *Caller
	cancellations CancellationChecker
	heartbeats    *HeartbeatHandler
	jobs          *JobTable

	GracefulStops map[protocol.JobID]protocol.Attempt // attempts of gangs that are to stop in order
}

func NewTaskStopper(ctx *step.Context) *TaskStopper {
	return &TaskStopper{
		Context:       ctx,
		GracefulStops: map[protocol.JobID]protocol.Attempt{},
	}
}

// RequestStop notes that a task is to stop.
func (ts *TaskStopper) RequestStop(m *MachineState, t protocol.Task, attempt protocol.Attempt, graceSeconds float64, reason string) {
	if s, ok := m.StopRequests[t]; ok && s.Attempt == attempt && s.graceSeconds <= graceSeconds {
		return
	}
	m.StopRequests[t] = StopRequest{Attempt: attempt, graceSeconds: graceSeconds}
	ts.Log(slog.LevelInfo, "task stop requested", "task", t.String(), "attempt", uint64(attempt), "machine", string(m.ID), "reason", reason)
}

// tickTaskStops decides which tasks of an owned machine must stop, and sends the
// stops directly: the next report may be seconds away.
func (ts *TaskStopper) tickTaskStops(entry *storage.Machine, m *MachineState) {
	if m.LatestHeartbeat == nil {
		return
	}
	urgent := false
	var untilPreemption time.Duration
	if m.preemptionAt != 0 {
		untilPreemption = m.preemptionAt.Sub(ts.Now.Monotonic)
	}
	for i := range m.LatestHeartbeat.Tasks {
		status := &m.LatestHeartbeat.Tasks[i]
		if status.State == protocol.TaskExited {
			continue
		}
		jobEntry := ts.Replica.Jobs[status.Task.Job]
		if jobEntry == nil || jobEntry.Record.Spec == nil {
			continue
		}
		desc := jobEntry.Record.Spec
		if ts.cancellations.CancelRequested(status.Task.Job) {
			ts.RequestStop(m, status.Task, status.Attempt, 0, "job cancelled")
			urgent = true
			continue
		}
		if desc.IsGang() && ts.jobs.isGangBroken(status.Task.Job, status.Attempt) {
			ts.RequestStop(m, status.Task, status.Attempt, 0, "gang incomplete")
			urgent = true
		}
		if stopAttempt := jobEntry.Record.GracefulStopAttempt; stopAttempt > 0 && stopAttempt >= status.Attempt {
			ts.RequestStop(m, status.Task, status.Attempt, desc.CheckpointSaveSeconds+1, "gang graceful stop")
			urgent = true
		}
		if desc.IsService() && status.State != protocol.TaskSaving && ts.mustEvict(m, desc) {
			ts.RequestStop(m, status.Task, status.Attempt, desc.CheckpointSaveSeconds, "machine going away")
			urgent = true
		}
		if m.preemptionAt != 0 && !desc.IsService() && desc.CanCheckpoint() && (!desc.IsGang() || desc.TaskCount == 1) && status.State == protocol.TaskRunning &&
			untilPreemption < protocol.Seconds(desc.CheckpointSaveSeconds)+2*ts.Config.HeartbeatInterval+time.Second && untilPreemption > protocol.Seconds(desc.CheckpointSaveSeconds) {
			ts.RequestStop(m, status.Task, status.Attempt, desc.CheckpointSaveSeconds, "machine preemption")
			urgent = true
		}
		if m.preemptionAt != 0 && desc.CanCheckpoint() && desc.IsGang() && desc.TaskCount > 1 && status.State == protocol.TaskRunning && jobEntry.Record.GracefulStopAttempt < status.Attempt &&
			untilPreemption < protocol.Seconds(desc.CheckpointSaveSeconds)+2*ts.Config.HeartbeatInterval+ts.Config.GangPeerTimeout+time.Second && untilPreemption > protocol.Seconds(desc.CheckpointSaveSeconds) {
			ts.GracefulStops[status.Task.Job] = status.Attempt
		}
		if stop, ok := m.StopRequests[status.Task]; ok && stop.Attempt == status.Attempt && status.State != protocol.TaskSaving {
			urgent = true
		}
	}
	if !urgent {
		return
	}
	if commands := ts.heartbeats.CommandsFor(entry, m, false); len(commands) > 0 {
		ts.calls.sendCommands(entry, m, commands, time.Second)
	}
}

// HasGracefulStops tells whether gangs are to be stopped gracefully.
func (ts *TaskStopper) HasGracefulStops() bool { return len(ts.GracefulStops) > 0 }

// WriteGracefulStops puts the orderly stop of gangs on record. Every owner of a machine
// with one of the tasks reads it there at once and sends the stop directly, so
// that all tasks hear of it within gang_peer_s.
func (ts *TaskStopper) WriteGracefulStops(b *commit.Batch) {
	for _, id := range step.SortedKeys(ts.GracefulStops) {
		e := ts.Replica.Jobs[id]
		if e == nil || e.Record.State.IsTerminal() || e.Record.GracefulStopAttempt >= ts.GracefulStops[id] {
			delete(ts.GracefulStops, id)
		} else if b.HasCapacity(b.WritesNeeded("", id)) {
			b.MutableJob(id).GracefulStopAttempt = ts.GracefulStops[id]
			b.Log(slog.LevelInfo, "gang graceful stop recorded", "job", string(id), "attempt", uint64(ts.GracefulStops[id]))
		}
	}
}

func (ts *TaskStopper) hasStopRequest(m *MachineState, task protocol.Task, attempt protocol.Attempt) bool {
	stop, ok := m.StopRequests[task]
	return ok && stop.Attempt == attempt
}

// mustEvict tells whether a replica has to leave its machine: it will soon be taken, or
// is faulty.
func (ts *TaskStopper) mustEvict(m *MachineState, d *protocol.Job) bool {
	if m.IsFaulty {
		return true
	}
	return m.preemptionAt != 0 && m.preemptionAt.Sub(ts.Now.Monotonic) < protocol.Seconds(d.CheckpointSaveSeconds)+evictionLeadTime
}
