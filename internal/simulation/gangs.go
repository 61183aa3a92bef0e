package simulation

import (
	"maps"
	"slices"

	"tillerarch/internal/protocol"
)

// gangMember holds a task of a gang, its machine and its execution there.
type gangMember struct {
	machine   *Machine
	task      protocol.Task
	execution *taskExecution
}

// updateGangs starts the gangs of the machine's tasks of which all tasks are ready. It ends the
// machine's tasks whose gang has lost a member.
func (m *Machine) updateGangs() {
	for _, task := range m.sortedTasks() {
		execution, job := m.tasks[task], m.world.Jobs[task.Job]
		if job == nil || !job.IsGang() {
			continue
		}
		switch execution.state {
		case protocol.TaskAwaitingGang:
			members := m.world.gangMembers(task.Job, execution.attempt)
			if len(members) == job.TaskCount && allAwaitGang(members) {
				m.world.startGang(job, members)
			}
		case protocol.TaskRunning:
			if len(m.world.gangMembers(task.Job, execution.attempt)) < job.TaskCount {
				m.endTask(task, execution, "mates_gone")
			}
		}
	}
}

func allAwaitGang(members []gangMember) bool {
	return !slices.ContainsFunc(members, func(member gangMember) bool {
		return member.execution.state != protocol.TaskAwaitingGang
	})
}

func (w *World) startGang(job *protocol.Job, members []gangMember) {
	endsAt := w.Now + protocol.Seconds(job.EstimatedRunSeconds)
	for _, member := range members {
		member.execution.stateEndsAt = endsAt
		member.machine.setState(member.task, member.execution, protocol.TaskRunning)
	}
}

// gangMembers returns the tasks of an attempt that are on machines and have not exited, or are
// done, in the order of their machines.
func (w *World) gangMembers(id protocol.JobID, attempt protocol.Attempt) (members []gangMember) {
	for _, machineID := range slices.Sorted(maps.Keys(w.Machines)) {
		machine := w.Machines[machineID]
		if machine.Terminated {
			continue
		}
		for _, task := range machine.sortedTasks() {
			execution := machine.tasks[task]
			exitedUndone := execution.state == protocol.TaskExited && execution.reason != protocol.ReasonDone
			if task.Job == id && execution.attempt == attempt && !exitedUndone {
				members = append(members, gangMember{machine: machine, task: task, execution: execution})
			}
		}
	}
	return members
}
