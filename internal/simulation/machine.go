package simulation

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"tillerarch/internal/protocol"
)

// Classes of jobs whose tasks fail on every machine, and of services whose replicas exit by
// themselves.
const (
	failingClass = "bad"
	exitingClass = "ends"
)

// Timers of an agent.
const (
	machineStepInterval  = 100 * time.Millisecond // time between two checks of a machine's tasks and timers
	replyTimeout         = 4 * time.Second        // time after which an agent drops a reply
	minHeartbeatGap      = 500 * time.Millisecond // minimum time before a heartbeat that reports a change
	nextControllerDelay  = time.Second            // time before an agent tries the next controller
	maxRedirectDelay     = 500 * time.Millisecond // maximum time before an agent tries the controller of a redirect
	droppedReplyInterval = time.Second            // time before the next heartbeat after a dropped reply
)

// stateNeverEnds is the stateEndsAt of an execution whose state ends only by a command.
const stateNeverEnds = time.Duration(1<<63 - 1)

// taskExecution holds the state of a task's attempt on a machine.
type taskExecution struct {
	attempt       protocol.Attempt
	state         protocol.TaskState
	reason        protocol.Reason
	progressSaved bool
	stateEndsAt   time.Duration
}

// countsAsRunning reports whether a task in the given state counts as running for the rules: its
// program has been started and has not ended.
func countsAsRunning(state protocol.TaskState) bool {
	return state != protocol.TaskPullingImage && state != protocol.TaskExited
}

// Machine is a simulated machine and its agent.
type Machine struct {
	ID             protocol.MachineID
	Addr           string
	Type           protocol.MachineTypeName
	Zone           protocol.Zone
	Spot           bool
	Terminated     bool
	Faulty         bool          // every task fails on this machine
	Partitioned    bool          // no messages pass between the machine and the controllers, except those already sent
	HeartbeatsLost bool          // heartbeats reach no controller, but direct commands reach the machine
	ImagePullTime  time.Duration // time to pull one image; 0 means that of the world
	CommandsLost   bool          // heartbeats reach the controllers, but replies and commands do not reach the machine

	world               *World
	hung                bool // tasks and agent are stopped and may resume
	deferredCommands    []func()
	epoch               protocol.AgentEpoch
	sequence            protocol.Sequence
	fencingToken        protocol.FencingToken
	tasks               map[protocol.Task]*taskExecution
	cachedImages        map[string]bool
	lastStartAt         time.Duration // when the agent last accepted a start command
	leaseRenewedAt      time.Duration // when the last heartbeat with a reply was sent
	controllerIndex     int           // index of the controller that heartbeats are sent to
	heartbeatID         int           // number of the last heartbeat sent
	awaitingReply       bool
	heartbeatSentAt     time.Duration
	nextHeartbeatAt     time.Duration
	hasUnreportedChange bool          // the next heartbeat is sent early to report a change
	preemptAt           time.Duration // when the cloud preempts the machine; 0 if not announced
}

// stepUntilTerminated processes the machine's timers and gangs at every machineStepInterval until
// the machine is terminated.
func (m *Machine) stepUntilTerminated() {
	if m.Terminated {
		return
	}
	m.processTimers()
	m.updateGangs()
	m.world.After(machineStepInterval, m.stepUntilTerminated)
}

// nextHeartbeat increments the agent's sequence number and returns the encoded heartbeat.
func (m *Machine) nextHeartbeat() []byte {
	m.sequence++
	heartbeat := protocol.Heartbeat{
		Machine:      m.ID,
		Addr:         m.Addr,
		Type:         m.Type,
		Zone:         m.Zone,
		Spot:         m.Spot,
		AgentEpoch:   m.epoch,
		Sequence:     m.sequence,
		FencingToken: m.fencingToken,
		Tasks:        []protocol.TaskStatus{},
	}
	if m.preemptAt > 0 {
		secondsLeft := (m.preemptAt - m.world.Now).Seconds()
		heartbeat.PreemptionNoticeSeconds = &secondsLeft
	}
	for _, task := range m.sortedTasks() {
		execution := m.tasks[task]
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
			Task:          task,
			Attempt:       execution.attempt,
			State:         execution.state,
			Reason:        execution.reason,
			ProgressSaved: execution.progressSaved,
		})
	}
	return protocol.Encode(heartbeat)
}

func (m *Machine) sortedTasks() []protocol.Task {
	tasks := make([]protocol.Task, 0, len(m.tasks))
	for task := range m.tasks {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(i, k int) bool { return tasks[i].String() < tasks[k].String() })
	return tasks
}

// setState changes a task's state. It records with the rule checker when the task starts or ends
// running.
func (m *Machine) setState(task protocol.Task, execution *taskExecution, state protocol.TaskState) {
	wasRunning, isRunning := countsAsRunning(execution.state), countsAsRunning(state)
	execution.state = state
	m.hasUnreportedChange = true
	switch {
	case isRunning && !wasRunning:
		m.world.Rules.RecordTaskStart(m.world.Now, task, m.ID, m.Type, m.Zone, m.Spot)
	case wasRunning && !isRunning:
		m.recordTaskEnd(task, execution.reason == protocol.ReasonDone)
	}
}

// recordTaskEnd records with the rule checker that a task no longer runs and whether it is completed.
func (m *Machine) recordTaskEnd(task protocol.Task, isCompleted bool) {
	m.world.Rules.RecordTaskEnd(task, isCompleted)
	if !isCompleted {
		return
	}
	m.world.handleTaskCompleted(task.Job)
	if job := m.world.Jobs[task.Job]; job.IsGang() { // if one task of a gang is completed, all tasks are
		for index := range job.TaskCount {
			m.world.Rules.job(task.Job).completedTasks[index] = true
		}
	}
}

func (m *Machine) endTask(task protocol.Task, execution *taskExecution, reason protocol.Reason) {
	execution.reason = reason
	m.setState(task, execution, protocol.TaskExited)
}

// killTasks ends all tasks and removes them from the agent's state.
func (m *Machine) killTasks() {
	for _, task := range m.sortedTasks() {
		execution := m.tasks[task]
		if execution.state != protocol.TaskExited {
			m.endTask(task, execution, "killed")
		}
	}
	m.tasks = map[protocol.Task]*taskExecution{}
}

// Reboot kills all tasks and restarts the agent immediately with a new epoch.
func (m *Machine) Reboot() {
	m.killTasks()
	m.epoch++
	m.leaseRenewedAt = m.world.Now
	m.awaitingReply, m.hasUnreportedChange = false, true
}

// recordLingeringTasks records the running tasks of a hung machine that are about to be killed.
// For placement on another machine these tasks have ended, because they cannot continue. For a
// confirmed cancellation they have not ended until the machine resumes, because nobody has
// observed their end.
func (m *Machine) recordLingeringTasks() {
	for task, execution := range m.tasks {
		if countsAsRunning(execution.state) {
			m.world.Rules.lingeringTasks[task] = location{machine: m.ID, zone: m.Zone}
		}
	}
}

// clearLingeringTasks removes the records of recordLingeringTasks when the machine resumes or is
// terminated.
func (m *Machine) clearLingeringTasks() {
	for task, place := range m.world.Rules.lingeringTasks {
		if place.machine == m.ID {
			delete(m.world.Rules.lingeringTasks, task)
		}
	}
}

// Hang stops the machine for a duration. Its tasks and its agent do nothing, and commands to it
// are executed when it resumes. The agent's lease still expires unless it is renewed.
func (m *Machine) Hang(duration time.Duration) {
	m.hung = true
	m.world.After(duration, func() {
		m.hung = false
		m.clearLingeringTasks()
		deferred := m.deferredCommands
		m.deferredCommands = nil
		for _, execute := range deferred {
			execute()
		}
	})
}

// processTimers expires the agent's lease, advances tasks whose state has ended, and sends the
// heartbeats that are due. A hung machine only expires the lease.
func (m *Machine) processTimers() {
	now := m.world.Now
	if m.Terminated {
		return
	}
	if now-m.leaseRenewedAt > m.world.AgentLeaseTTL {
		m.expireLease()
	}
	if m.hung {
		return
	}
	for _, task := range m.sortedTasks() {
		execution := m.tasks[task]
		if execution.state != protocol.TaskExited && now >= execution.stateEndsAt {
			m.enterNextState(task, execution)
		}
	}
	if m.awaitingReply && now-m.heartbeatSentAt > replyTimeout {
		m.awaitingReply = false
		m.tryNextController()
	}
	changeIsDue := m.hasUnreportedChange && now-m.heartbeatSentAt >= minHeartbeatGap
	if !m.awaitingReply && (now >= m.nextHeartbeatAt || changeIsDue) {
		m.sendHeartbeat()
	}
}

// expireLease kills all tasks and starts a new agent epoch, because another owner may place the
// tasks on other machines from now on.
func (m *Machine) expireLease() {
	if m.hung {
		m.recordLingeringTasks()
	}
	m.killTasks()
	m.epoch++
	m.leaseRenewedAt = m.world.Now
	m.awaitingReply = false
	m.hasUnreportedChange = true
}

// enterNextState moves a task whose state has ended to its next state.
func (m *Machine) enterNextState(task protocol.Task, execution *taskExecution) {
	job := m.world.Jobs[task.Job]
	switch execution.state {
	case protocol.TaskPullingImage:
		m.cachedImages[job.Image] = true
		switch {
		case m.world.Rules.job(task.Job).completedTasks[task.Index]: // an earlier attempt has completed the task
			m.endTask(task, execution, protocol.ReasonDone)
		case job.IsGang():
			execution.stateEndsAt = m.world.Now + m.world.GangStartTimeout
			m.setState(task, execution, protocol.TaskAwaitingGang)
		default:
			m.startTask(task, execution, job)
		}
	case protocol.TaskAwaitingGang:
		m.endTask(task, execution, "alone")
	case protocol.TaskRunning:
		if m.Faulty || job.Class == failingClass {
			m.endTask(task, execution, protocol.ReasonError)
		} else {
			m.endTask(task, execution, protocol.ReasonDone)
		}
	case protocol.TaskSaving:
		execution.progressSaved = true
		m.world.SavedTaskCounts[job.ID]++
		m.endTask(task, execution, "stopped")
	}
}

// startTask starts a task, which runs for 0.5 to 1.5 times its estimated run time. A replica that
// neither fails nor exits by itself runs until it is stopped.
func (m *Machine) startTask(task protocol.Task, execution *taskExecution, job *protocol.Job) {
	runTime := job.EstimatedRunSeconds * (0.5 + m.world.Rand.Float64())
	execution.stateEndsAt = m.world.Now + time.Duration(runTime*float64(time.Second))
	if job.IsService() && job.Class != failingClass && job.Class != exitingClass && !m.Faulty {
		execution.stateEndsAt = stateNeverEnds
	}
	m.setState(task, execution, protocol.TaskRunning)
}

func (m *Machine) sendHeartbeat() {
	w := m.world
	m.hasUnreportedChange = false
	m.awaitingReply, m.heartbeatSentAt = true, w.Now
	m.nextHeartbeatAt = w.Now + time.Duration((0.75+w.Rand.Float64()/2)*float64(w.HeartbeatInterval))
	m.heartbeatID++
	heartbeatID, sentAt, epoch := m.heartbeatID, w.Now, m.epoch
	controller := w.Controllers[m.controllerIndex%len(w.Controllers)]
	body := m.nextHeartbeat()
	w.transmitHeartbeat(controller, m, body, func(reply heartbeatReply) {
		if m.hung && w.Now-sentAt < replyTimeout { // the agent reads the reply when the machine resumes, and drops it as too late
			m.nextHeartbeatAt = w.Now + droppedReplyInterval
		}
		if m.Terminated || m.hung || !m.awaitingReply || m.heartbeatID != heartbeatID || m.epoch != epoch {
			return
		}
		m.awaitingReply = false
		m.handleReply(controller, sentAt, reply)
	})
}

func (m *Machine) handleReply(controller *Controller, sentAt time.Duration, reply heartbeatReply) {
	switch reply.status {
	case http.StatusOK:
		m.handleCommands(controller, sentAt, reply)
	case http.StatusMisdirectedRequest:
		var redirect protocol.Redirect
		json.Unmarshal(reply.body, &redirect)
		if !m.followRedirect(controller, redirect.Controller) {
			m.tryNextController()
		}
	default:
		m.tryNextController()
	}
}

// handleCommands executes the commands of a controller's reply and renews the lease, unless the
// commands are from an earlier owner.
func (m *Machine) handleCommands(controller *Controller, sentAt time.Duration, reply heartbeatReply) {
	var commands protocol.Commands
	if json.Unmarshal(reply.body, &commands) != nil || commands.FencingToken == 0 || commands.FencingToken < m.fencingToken {
		return
	}
	m.world.Rules.RecordCommand(m.ID, commands.FencingToken, reply.sender)
	m.world.History.CheckCommand(m.ID, commands.FencingToken, controller.ID)
	m.raiseToken(commands.FencingToken)
	m.leaseRenewedAt = max(m.leaseRenewedAt, sentAt)
	m.applyCommands(commands.Commands)
}

// followRedirect directs the next heartbeats to the controller named by a redirect. It reports
// false if that controller is unknown or is the one that sent the redirect.
func (m *Machine) followRedirect(from *Controller, to protocol.ControllerID) bool {
	w := m.world
	for i, controller := range w.Controllers {
		if controller.ID == to && controller != from {
			m.controllerIndex = i
			m.nextHeartbeatAt = w.Now + time.Duration(w.Rand.IntN(int(maxRedirectDelay.Milliseconds())))*time.Millisecond
			return true
		}
	}
	return false
}

func (m *Machine) tryNextController() {
	m.controllerIndex++
	m.nextHeartbeatAt = m.world.Now + nextControllerDelay
}

func (m *Machine) raiseToken(token protocol.FencingToken) {
	if token > m.fencingToken {
		m.fencingToken = token
		m.hasUnreportedChange = true
	}
}

// ReplyToProbe returns the agent's reply to a probe, which is a heartbeat.
func (m *Machine) ReplyToProbe() []byte { return m.nextHeartbeat() }
