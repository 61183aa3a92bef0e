package agents

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// startTimeUnknown stands for the start of a task that began before this ownership.
const startTimeUnknown protocol.Instant = -1

// observedTasks is what the agent's heartbeats show of its tasks.
type observedTasks struct {
	LatestHeartbeat *protocol.Heartbeat // nil: none came
	taskStatuses    map[protocol.Task]*protocol.TaskStatus

	firstSeenAt          map[protocol.Task]protocol.Instant // of the tasks that have not exited
	runningSince         map[protocol.Task]protocol.Instant
	awaitsFirstHeartbeat bool // none has come under this ownership
}

func (o *observedTasks) reset() {
	o.firstSeenAt = map[protocol.Task]protocol.Instant{}
	o.runningSince = map[protocol.Task]protocol.Instant{}
	o.awaitsFirstHeartbeat = true
}

// CurrentHeartbeat is the latest heartbeat if it was sent under the recorded shard epoch and in the
// recorded agent epoch, nil otherwise: only then does what it lacks prove anything.
func (o *observedTasks) CurrentHeartbeat(record *storage.MachineRecord) *protocol.Heartbeat {
	if o.LatestHeartbeat == nil || !isUnderRecordedEpochs(o.LatestHeartbeat, record) {
		return nil
	}
	return o.LatestHeartbeat
}

// isUnderRecordedEpochs tells whether a heartbeat shows the shard epoch and the agent epoch on record.
func isUnderRecordedEpochs(heartbeat *protocol.Heartbeat, record *storage.MachineRecord) bool {
	return storage.ShardEpochOf(heartbeat.FencingToken) == record.ShardEpoch && heartbeat.AgentEpoch == record.AgentEpoch
}

// isNewerThanLatest tells whether a heartbeat is newer than the one that is remembered.
func (o *observedTasks) isNewerThanLatest(heartbeat *protocol.Heartbeat) bool {
	latest := o.LatestHeartbeat
	return latest == nil || !isStale(heartbeat, latest.AgentEpoch, latest.Sequence)
}

// recordStatuses takes in the tasks of a heartbeat.
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

// showsAllTasks tells whether the latest heartbeat shows all tasks of an assignment.
func (o *observedTasks) showsAllTasks(assignment *storage.Assignment) bool {
	showsAll := true
	assignment.Tasks.Each(func(index int) bool {
		status := o.taskStatuses[protocol.Task{Job: assignment.Job, Index: index}]
		showsAll = status != nil && status.Attempt == assignment.Attempt
		return showsAll
	})
	return showsAll
}

// HasLiveTasks tells whether the latest heartbeat shows a task that has not exited.
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

func (o *observedTasks) isPullingImage() bool {
	for _, status := range o.taskStatuses {
		if status.State == protocol.TaskPullingImage {
			return true
		}
	}
	return false
}
