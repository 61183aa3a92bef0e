package agents

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// commandList builds the list of commands for one agent.
type commandList struct {
	handler *HeartbeatHandler
	state   *MachineState
	record  *storage.MachineRecord

	isHeartbeatCurrent bool // whether the latest heartbeat shows the recorded shard epoch and agent epoch
	isReplicaUpToDate  bool
	commands           []protocol.Command
}

// commandsFor returns the commands for an agent. Only a response to a heartbeat may start tasks or
// have exited tasks forgotten. An agent never executes a late response, but a direct call may arrive
// after its sender has lost the ownership of the machine.
func (h *HeartbeatHandler) commandsFor(
	entry *storage.Machine, state *MachineState, inResponse bool,
) []protocol.Command {
	list := commandList{
		handler:            h,
		state:              state,
		record:             &entry.Record,
		isHeartbeatCurrent: state.CurrentHeartbeat(&entry.Record) != nil,
		isReplicaUpToDate:  h.replication.IsUpToDate(),
	}
	list.addStopsAndForgets(inResponse)
	if inResponse && list.mayStart() {
		list.addStarts()
	}
	return list.commands
}

// addStopsAndForgets adds the stop and forget commands for the tasks in the latest heartbeat.
func (l *commandList) addStopsAndForgets(inResponse bool) {
	for i := range l.state.LatestHeartbeat.Tasks {
		status := &l.state.LatestHeartbeat.Tasks[i]
		attempt, ok := l.record.AttemptOf(status.Task)
		isAssigned := ok && attempt == status.Attempt
		if status.State == protocol.TaskExited {
			// The exit of an assigned task is not recorded yet, so the agent must keep reporting it.
			if inResponse && l.isHeartbeatCurrent && !isAssigned && l.isReplicaUpToDate {
				l.commands = append(l.commands, protocol.Command{
					Type:    protocol.CommandForget,
					Task:    status.Task,
					Attempt: status.Attempt,
				})
			}
			continue
		}
		if graceSeconds, mustStop := l.stopGracePeriod(status, isAssigned); mustStop {
			l.commands = append(l.commands, protocol.Command{
				Type:               protocol.CommandStop,
				Task:               status.Task,
				Attempt:            status.Attempt,
				GracePeriodSeconds: &graceSeconds,
			})
		}
	}
}

// stopGracePeriod reports whether a live task must stop, and returns its grace period.
func (l *commandList) stopGracePeriod(status *protocol.TaskStatus, isAssigned bool) (seconds float64, mustStop bool) {
	if !isAssigned && l.isReplicaUpToDate || l.handler.cancellations.CancelRequested(status.Task.Job) {
		return 0, true
	}
	if !l.state.HasStopRequest(status.Task, status.Attempt) {
		return 0, false
	}
	seconds = l.state.stopRequests[status.Task].graceSeconds
	if status.State == protocol.TaskSaving && seconds != 0 {
		return 0, false // the task is stopping already
	}
	return seconds, true
}

// mayStart reports whether the agent may get any start command. The replica must be up to date,
// because an outdated one may show tasks that have been requeued or jobs that are being cancelled.
func (l *commandList) mayStart() bool {
	return l.isReplicaUpToDate &&
		l.state.LatestHeartbeat.AgentEpoch == l.record.AgentEpoch &&
		!l.record.Terminating &&
		!l.state.CommandsLost() &&
		!l.handler.transfers.IsQuiesced(l.record.Shard)
}

// addStarts adds the start commands for the tasks that are assigned to the machine.
func (l *commandList) addStarts() {
	for i := range l.record.Assignments {
		assignment := &l.record.Assignments[i]
		if !l.mayStartAttempt(assignment) {
			continue
		}
		assignment.Tasks.Each(func(index int) bool {
			task := protocol.Task{Job: assignment.Job, Index: index}
			if l.mayStartTask(task, assignment.Attempt) {
				l.commands = append(l.commands, protocol.Command{
					Type:    protocol.CommandStart,
					Task:    task,
					Attempt: assignment.Attempt,
				})
			}
			return true
		})
	}
}

// mayStartAttempt reports whether the state of the job allows the tasks of an assignment to start. The
// tasks of a gang may start only when the whole gang is assigned.
func (l *commandList) mayStartAttempt(assignment *storage.Assignment) bool {
	job := l.handler.Replica.Jobs[assignment.Job]
	if job == nil || job.Record.State.IsTerminal() || l.handler.cancellations.IsCancelling(assignment.Job) ||
		isGracefullyStopped(&job.Record, assignment.Attempt) {
		return false
	}
	return !job.Record.Spec.IsGang() || l.handler.jobs.isGangFullyAssigned(assignment.Job, &job.Record, assignment.Attempt)
}

// mayStartTask reports whether one assigned task may start now.
func (l *commandList) mayStartTask(task protocol.Task, attempt protocol.Attempt) bool {
	if l.state.isStartWithheld(task, attempt) {
		return false
	}
	status := l.state.taskStatuses[task]
	if status == nil {
		return true
	}
	// The agent already has this attempt, or must forget an earlier one first. If the heartbeat is
	// current, the same response has the forget command ahead of the start.
	return status.Attempt != attempt && status.State == protocol.TaskExited && l.isHeartbeatCurrent
}
