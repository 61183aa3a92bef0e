package simulation

import (
	"cmp"
	"net/http"

	"tillerarch/internal/protocol"
)

// ExecuteCommands executes direct commands, unless they are from an earlier owner or for another
// epoch of the agent. It returns the status and the agent's heartbeat.
func (m *Machine) ExecuteCommands(commands protocol.Commands) (int, []byte) {
	m.checkDirectCommands(commands)
	if commands.FencingToken < m.fencingToken || commands.AgentEpoch != m.epoch {
		return http.StatusConflict, m.nextHeartbeat()
	}
	m.raiseToken(commands.FencingToken)
	m.applyCommands(commands.Commands)
	return http.StatusOK, m.nextHeartbeat()
}

// checkDirectCommands checks that no task is started or forgotten by a direct call. A copy of such a call may reach
// the agent long after the call was answered, when the task has been forgotten and runs elsewhere.
func (m *Machine) checkDirectCommands(commands protocol.Commands) {
	for _, command := range commands.Commands {
		if command.Type != protocol.CommandStop {
			m.world.Rules.recordViolation("direct_start", "%s of %s reaches %s by a direct call", command.Type, command.Task, m.ID)
		}
	}
}

func (m *Machine) applyCommands(commands []protocol.Command) {
	for _, command := range commands {
		switch command.Type {
		case protocol.CommandStart:
			m.applyStart(command)
		case protocol.CommandStop:
			m.applyStop(command)
		case protocol.CommandForget:
			m.applyForget(command)
		}
	}
}

// applyStart starts an attempt, unless the agent knows the attempt already or the task's last
// attempt has not exited.
func (m *Machine) applyStart(command protocol.Command) {
	w := m.world
	old := m.tasks[command.Task]
	if old != nil && (old.attempt == command.Attempt || old.state != protocol.TaskExited) {
		return
	}
	m.hasUnreportedChange = true
	execution := &taskExecution{attempt: command.Attempt, state: protocol.TaskPullingImage}
	m.tasks[command.Task] = execution
	w.StartCommandCount++
	m.lastStartAt = w.Now
	job := w.Jobs[command.Task.Job]
	coresInUse := m.coresInUse(command.Task)
	switch {
	case job == nil:
		execution.state, execution.reason = protocol.TaskExited, protocol.ReasonNotFound
	case coresInUse+job.Cores > w.CoresOfType(m.Type)+capacityTolerance:
		execution.state, execution.reason = protocol.TaskExited, protocol.ReasonInsufficientResources
	case !m.cachedImages[job.Image]:
		execution.stateEndsAt = w.Now + cmp.Or(m.ImagePullTime, w.ImagePullTime)
	default:
		execution.stateEndsAt = w.Now
	}
}

// applyStop stops an attempt. An attempt that can save its progress within the grace period does
// so first. A grace period of 0 also ends an attempt that is saving its progress.
func (m *Machine) applyStop(command protocol.Command) {
	execution := m.tasks[command.Task]
	if execution == nil || execution.attempt != command.Attempt || execution.state == protocol.TaskExited {
		return
	}
	job, grace := m.world.Jobs[command.Task.Job], command.GracePeriodSeconds
	canSave := grace != nil && job.CanCheckpoint() && *grace >= job.CheckpointSaveSeconds
	isImmediate := grace != nil && *grace == 0
	switch {
	case canSave && execution.state == protocol.TaskRunning:
		execution.stateEndsAt = m.world.Now + protocol.Seconds(job.CheckpointSaveSeconds)
		m.setState(command.Task, execution, protocol.TaskSaving)
	case execution.state != protocol.TaskSaving || isImmediate:
		m.endTask(command.Task, execution, "stopped")
	}
}

func (m *Machine) applyForget(command protocol.Command) {
	execution := m.tasks[command.Task]
	if execution != nil && execution.attempt == command.Attempt && execution.state == protocol.TaskExited {
		delete(m.tasks, command.Task)
		m.hasUnreportedChange = true
	}
}

func (m *Machine) coresInUse(except protocol.Task) float64 {
	cores := 0.0
	for task, execution := range m.tasks {
		if task != except && execution.state != protocol.TaskExited {
			cores += m.world.Jobs[task.Job].Cores
		}
	}
	return cores
}
