package agents

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// startTimeUnknown represents the start time of a task that started before this ownership.
const startTimeUnknown protocol.Instant = -1

// observedTasks holds the tasks that the agent's heartbeats show.
type observedTasks struct {
	LatestHeartbeat *protocol.Heartbeat                    // nil before the first heartbeat
	taskStatuses    map[protocol.Task]*protocol.TaskStatus // statuses in LatestHeartbeat

	firstSeenAt          map[protocol.Task]protocol.Instant // when each task that has not exited was first seen
	runningSince         map[protocol.Task]protocol.Instant // start time or startTimeUnknown
	awaitsFirstHeartbeat bool                               // no heartbeat has arrived under this ownership
}

// reset deletes the observations of an earlier ownership, except the latest heartbeat.
func (o *observedTasks) reset() {
	o.firstSeenAt = map[protocol.Task]protocol.Instant{}
	o.runningSince = map[protocol.Task]protocol.Instant{}
	o.awaitsFirstHeartbeat = true
}

// CurrentHeartbeat returns the latest heartbeat if it was sent under the recorded shard epoch and in
// the recorded agent epoch, and nil otherwise. Only in a current heartbeat is the absence of a task
// evidence that the task does not run.
func (o *observedTasks) CurrentHeartbeat(record *storage.MachineRecord) *protocol.Heartbeat {
	if o.LatestHeartbeat == nil || !isUnderRecordedEpochs(o.LatestHeartbeat, record) {
		return nil
	}
	return o.LatestHeartbeat
}

// isUnderRecordedEpochs reports whether a heartbeat shows the recorded shard epoch and agent epoch.
func isUnderRecordedEpochs(heartbeat *protocol.Heartbeat, record *storage.MachineRecord) bool {
	return storage.ShardEpochOf(heartbeat.FencingToken) == record.ShardEpoch && heartbeat.AgentEpoch == record.AgentEpoch
}

// isNewerThanLatest reports whether a heartbeat is newer than LatestHeartbeat.
func (o *observedTasks) isNewerThanLatest(heartbeat *protocol.Heartbeat) bool {
	latest := o.LatestHeartbeat
	return latest == nil || !isStale(heartbeat, latest.AgentEpoch, latest.Sequence)
}

// recordStatuses makes a heartbeat the latest one and records the tasks that it shows.
func (o *observedTasks) recordStatuses(heartbeat *protocol.Heartbeat, now protocol.Instant) {
	o.LatestHeartbeat = heartbeat
	o.taskStatuses = make(map[protocol.Task]*protocol.TaskStatus, len(heartbeat.Tasks))
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		o.taskStatuses[status.Task] = status
		if status.State != protocol.TaskExited && o.firstSeenAt[status.Task] == 0 {
			o.firstSeenAt[status.Task] = now
		}
		if status.State == protocol.TaskRunning && o.runningSince[status.Task] == 0 {
			o.runningSince[status.Task] = now
			if o.awaitsFirstHeartbeat {
				o.runningSince[status.Task] = startTimeUnknown
			}
		}
	}
	o.awaitsFirstHeartbeat = false
	for task := range o.runningSince {
		if o.taskStatuses[task] == nil {
			delete(o.runningSince, task)
		}
	}
	for task := range o.firstSeenAt {
		if status := o.taskStatuses[task]; status == nil || status.State == protocol.TaskExited {
			delete(o.firstSeenAt, task)
		}
	}
}

// showsAllTasks reports whether the latest heartbeat shows all tasks of an assignment with its attempt.
func (o *observedTasks) showsAllTasks(assignment *storage.Assignment) bool {
	showsAll := true
	assignment.Tasks.Each(func(index int) bool {
		status := o.taskStatuses[protocol.Task{Job: assignment.Job, Index: index}]
		showsAll = status != nil && status.Attempt == assignment.Attempt
		return showsAll
	})
	return showsAll
}

// HasLiveTasks reports whether the latest heartbeat shows a task that has not exited.
func (o *observedTasks) HasLiveTasks() bool {
	if o.LatestHeartbeat == nil {
		return false
	}
	for i := range o.LatestHeartbeat.Tasks {
		if o.LatestHeartbeat.Tasks[i].State != protocol.TaskExited {
			return true
		}
	}
	return false
}

// isPullingImage reports whether the latest heartbeat shows a task whose image is being pulled.
func (o *observedTasks) isPullingImage() bool {
	for _, status := range o.taskStatuses {
		if status.State == protocol.TaskPullingImage {
			return true
		}
	}
	return false
}
