package agents

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// commandList collects the commands for one agent.
type commandList struct {
	handler *HeartbeatHandler
	state   *MachineState
	record  *storage.MachineRecord

	isHeartbeatCurrent bool // the latest heartbeat is under the recorded epochs
	isReplicaUpToDate  bool // the replica is
	commands           []protocol.Command
}

// commandsFor lists what the agent is to do. Only a response to a heartbeat may start tasks or
// have ended ones forgotten: agents never carry out a response late, while a direct call may
// arrive after its sender has lost the machine.
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

// addStopsAndForgets goes through the tasks that the agent shows.
func (l *commandList) addStopsAndForgets(inResponse bool) {
	for i := range l.state.LatestHeartbeat.Tasks {
		status := &l.state.LatestHeartbeat.Tasks[i]
		attempt, ok := l.record.AttemptOf(status.Task)
		isAssigned := ok && attempt == status.Attempt
		if status.State == protocol.TaskExited {
			// While it is assigned its end is not on record yet, and the agent must go on showing it.
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

// stopGracePeriod tells whether a live task must stop, and in what time.
func (l *commandList) stopGracePeriod(status *protocol.TaskStatus, isAssigned bool) (seconds float64, mustStop bool) {
	if !isAssigned && l.isReplicaUpToDate || l.handler.cancellations.CancelRequested(status.Task.Job) {
		return 0, true
	}
	if !l.state.HasStopRequest(status.Task, status.Attempt) {
		return 0, false
	}
	seconds = l.state.stopRequests[status.Task].graceSeconds
	if status.State == protocol.TaskSaving && seconds != 0 {
		return 0, false // it is stopping already
	}
	return seconds, true
}

// mayStart tells whether the agent may get any start command at all. The replica must be up
// to date: an old one may show tasks that have been taken back, or jobs that are being cancelled.
func (l *commandList) mayStart() bool {
	return l.isReplicaUpToDate &&
		l.state.LatestHeartbeat.AgentEpoch == l.record.AgentEpoch &&
		!l.record.Terminating &&
		!l.state.CommandsLost() &&
		!l.handler.transfers.IsQuiesced(l.record.Shard)
}

// addStarts goes through the tasks that are assigned to the machine.
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

// mayStartAttempt tells whether the job lets tasks of an attempt start.
func (l *commandList) mayStartAttempt(assignment *storage.Assignment) bool {
	job := l.handler.Replica.Jobs[assignment.Job]
	if job == nil || job.Record.State.IsTerminal() || l.handler.cancellations.CancelRequested(assignment.Job) ||
		isGracefullyStopped(&job.Record, assignment.Attempt) {
		return false
	}
	return !job.Record.Spec.IsGang() || l.handler.jobs.isGangFullyAssigned(assignment.Job, &job.Record, assignment.Attempt)
}

// mayStartTask tells whether one task that is assigned may start now.
func (l *commandList) mayStartTask(task protocol.Task, attempt protocol.Attempt) bool {
	if l.state.isStartWithheld(task, attempt) {
		return false
	}
	status := l.state.taskStatuses[task]
	if status == nil {
		return true
	}
	// It is here already, or an earlier attempt must be forgotten first. The command for that
	// goes into the same response, ahead of the start, if the heartbeat is current.
	return status.Attempt != attempt && status.State == protocol.TaskExited && l.isHeartbeatCurrent
}
