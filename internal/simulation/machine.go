package simulation

import (
	"encoding/json"
	"sort"
	"time"

	"tillerarch/internal/protocol"
)

type taskExecution struct {
	attempt       protocol.Attempt
	state         protocol.TaskState
	reason        protocol.Reason
	progressSaved bool
	stateEndsAt   time.Duration // when its stage ends
}

// Classes whose tasks fail everywhere, and whose replicas end by themselves at once.
const (
	classFails = "bad"
	classExits = "ends"
)

// machineStepInterval is how often a machine looks at its tasks and timers.
const machineStepInterval = 100 * time.Millisecond

// never is when the stage of a task ends that has no end of its own.
const never = time.Duration(1<<63 - 1)

// Machine is a machine with its worker.
type Machine struct {
	world            *World
	ID               protocol.MachineID
	Addr             string
	Type             protocol.MachineTypeName
	Zone             protocol.Zone
	Spot             bool
	Terminated       bool
	Faulty           bool // every task fails here
	Partitioned      bool // reaches no controller
	HeartbeatsLost   bool // reaches no controller, while direct commands reach it
	CommandsLost     bool // its reports arrive, answers and commands do not reach it
	hung             bool // it stands still, and may go on
	deferredCommands []func()
	epoch            protocol.AgentEpoch
	sequence         protocol.Sequence
	fencingToken     protocol.FencingToken
	tasks            map[protocol.Task]*taskExecution
	leaseRenewedAt   time.Duration // when the last answered report was sent
	controllerIndex  int
	cachedImages     map[string]bool
	lastStartAt      time.Duration // when it last took a start
	heartbeatID      int           // of the report that waits for its answer
	awaitingReply    bool
	heartbeatSentAt  time.Duration
	nextHeartbeatAt  time.Duration
	changed          bool
	preemptAt        time.Duration // when the cloud takes it; 0: not known
}

// loop plays the machine until it is terminated.
func (m *Machine) loop() {
	if m.Terminated {
		return
	}
	m.advance()
	m.updateGangs()
	m.world.After(machineStepInterval, m.loop)
}

func (m *Machine) nextHeartbeat() []byte {
	m.sequence++
	heartbeat := protocol.Heartbeat{Machine: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		AgentEpoch: m.epoch, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: []protocol.TaskStatus{}}
	if m.preemptAt > 0 {
		left := (m.preemptAt - m.world.Now).Seconds()
		heartbeat.PreemptionNoticeSeconds = &left
	}
	for _, t := range m.sortedTasks() {
		execution := m.tasks[t]
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: t, Attempt: execution.attempt, State: execution.state, Reason: execution.reason, ProgressSaved: execution.progressSaved})
	}
	return protocol.Encode(heartbeat)
}

func (m *Machine) sortedTasks() []protocol.Task {
	out := make([]protocol.Task, 0, len(m.tasks))
	for t := range m.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].String() < out[k].String() })
	return out
}

func (m *Machine) setState(t protocol.Task, execution *taskExecution, state protocol.TaskState) {
	wasRunning := execution.state != protocol.TaskPullingImage && execution.state != protocol.TaskExited
	execution.state = state
	m.changed = true
	isRunning := state != protocol.TaskPullingImage && state != protocol.TaskExited
	if isRunning && !wasRunning {
		m.world.Rules.RecordTaskStart(m.world.Now, t, m.ID, m.Type, m.Zone, m.Spot)
	}
	if wasRunning && !isRunning {
		m.world.Rules.RecordTaskEnd(t, execution.reason == protocol.ReasonDone)
		if execution.reason == protocol.ReasonDone {
			m.world.handleTaskDone(t.Job)
		}
		if job := m.world.Jobs[t.Job]; job.IsGang() && execution.reason == protocol.ReasonDone {
			for p := range job.TaskCount { // if one task of a gang is done, all are
				m.world.Rules.job(t.Job).completedTasks[p] = true
			}
		}
	}
}

func (m *Machine) endTask(t protocol.Task, execution *taskExecution, reason protocol.Reason) {
	execution.reason = reason
	m.setState(t, execution, protocol.TaskExited)
}

// killTasks ends and forgets all tasks.
func (m *Machine) killTasks() {
	for _, t := range m.sortedTasks() {
		execution := m.tasks[t]
		if execution.state != protocol.TaskExited {
			m.endTask(t, execution, "killed")
		}
	}
	m.tasks = map[protocol.Task]*taskExecution{}
}

// Reboot ends all that is on the machine; it is back at once with a new session.
func (m *Machine) Reboot() {
	m.killTasks()
	m.epoch++
	m.leaseRenewedAt = m.world.Now
	m.awaitingReply, m.changed = false, true
}

// recordLingeringTasks notes which tasks are killed while the machine hangs. Whether they count as gone
// before it goes on is not for the worker to say: for moving them they do, for a
// cancellation they do not.
func (m *Machine) recordLingeringTasks() {
	for t, execution := range m.tasks {
		if execution.state != protocol.TaskPullingImage && execution.state != protocol.TaskExited {
			m.world.Rules.lingering[t] = location{machine: m.ID, zone: m.Zone}
		}
	}
}

// clearLingeringTasks ends what haunt noted: the machine goes on, or is gone.
func (m *Machine) clearLingeringTasks() {
	for t, p := range m.world.Rules.lingering {
		if p.machine == m.ID {
			delete(m.world.Rules.lingering, t)
		}
	}
}

// Hang lets the machine stand still for a while: nothing on it goes on, what is
// sent to it waits. Its lease runs out all the same.
func (m *Machine) Hang(d time.Duration) {
	m.hung = true
	m.world.After(d, func() {
		m.hung = false
		m.clearLingeringTasks()
		late := m.deferredCommands
		m.deferredCommands = nil
		for _, f := range late {
			f()
		}
	})
}

// advance lets the machine's time pass.
func (m *Machine) advance() {
	now := m.world.Now
	if m.Terminated {
		return
	}
	if now-m.leaseRenewedAt > m.world.AgentLeaseTTL {
		if m.hung {
			m.recordLingeringTasks()
		}
		m.killTasks()
		m.epoch++
		m.leaseRenewedAt = now
		m.awaitingReply = false
		m.changed = true
	}
	for _, t := range m.sortedTasks() {
		execution := m.tasks[t]
		job := m.world.Jobs[t.Job]
		if m.hung || execution.state == protocol.TaskExited || now < execution.stateEndsAt {
			continue
		}
		switch execution.state {
		case protocol.TaskPullingImage:
			m.cachedImages[job.Image] = true
			if m.world.Rules.job(t.Job).completedTasks[t.Index] {
				m.endTask(t, execution, protocol.ReasonDone) // the result is kept
			} else if job.IsGang() {
				execution.stateEndsAt = now + m.world.GangStartTimeout
				m.setState(t, execution, protocol.TaskAwaitingGang)
			} else {
				m.startTask(t, execution, job)
			}
		case protocol.TaskAwaitingGang:
			m.endTask(t, execution, "alone")
		case protocol.TaskRunning:
			if m.Faulty || job.Class == classFails {
				m.endTask(t, execution, protocol.ReasonError)
			} else {
				m.endTask(t, execution, protocol.ReasonDone)
			}
		case protocol.TaskSaving:
			execution.progressSaved = true
			m.world.SavedTasks[job.ID]++
			m.endTask(t, execution, "stopped")
		}
	}
	if m.hung {
		return
	}
	if m.awaitingReply && now-m.heartbeatSentAt > 4*time.Second {
		m.awaitingReply = false
		m.controllerIndex++
		m.nextHeartbeatAt = now + time.Second
	}
	if !m.awaitingReply && (now >= m.nextHeartbeatAt || m.changed && now-m.heartbeatSentAt >= 500*time.Millisecond) {
		m.sendHeartbeat()
	}
}

func (m *Machine) startTask(t protocol.Task, execution *taskExecution, job *protocol.Job) {
	execution.stateEndsAt = m.world.Now + time.Duration(job.EstimatedRunSeconds*(0.5+m.world.Rand.Float64())*float64(time.Second))
	if job.IsService() && job.Class != classFails && job.Class != classExits && !m.Faulty {
		execution.stateEndsAt = never
	}
	m.setState(t, execution, protocol.TaskRunning)
}

func (m *Machine) sendHeartbeat() {
	w := m.world
	m.changed = false
	m.awaitingReply, m.heartbeatSentAt = true, w.Now
	m.nextHeartbeatAt = w.Now + time.Duration((0.75+w.Rand.Float64()/2)*float64(w.HeartbeatInterval))
	m.heartbeatID++
	seq, sentAt, epoch := m.heartbeatID, w.Now, m.epoch
	controller := w.Controllers[m.controllerIndex%len(w.Controllers)]
	body := m.nextHeartbeat()
	w.transmitHeartbeat(controller, m, body, func(response heartbeatReply) {
		if m.hung && w.Now-sentAt < 4*time.Second {
			m.nextHeartbeatAt = w.Now + time.Second // a worker drops what it reads too late
		}
		if m.Terminated || m.hung || !m.awaitingReply || m.heartbeatID != seq || m.epoch != epoch {
			return
		}
		m.awaitingReply = false
		m.handleReply(controller, sentAt, response)
	})
}

func (m *Machine) handleReply(controller *Controller, sentAt time.Duration, response heartbeatReply) {
	w := m.world
	switch response.status {
	case 200:
		var o protocol.Commands
		if json.Unmarshal(response.body, &o) != nil || o.FencingToken == 0 || o.FencingToken < m.fencingToken {
			return
		}
		w.Rules.RecordCommand(m.ID, o.FencingToken, response.sender)
		w.History.CheckCommand(m.ID, o.FencingToken, controller.ID)
		m.raiseToken(o.FencingToken)
		m.leaseRenewedAt = max(m.leaseRenewedAt, sentAt)
		m.applyCommands(o.Commands)
	case 421:
		var redirect protocol.Redirect
		json.Unmarshal(response.body, &redirect)
		for i, o := range w.Controllers {
			if o.ID == redirect.Controller && o != controller {
				m.controllerIndex = i
				m.nextHeartbeatAt = w.Now + time.Duration(w.Rand.IntN(500))*time.Millisecond
				return
			}
		}
		fallthrough
	default:
		m.controllerIndex++
		m.nextHeartbeatAt = w.Now + time.Second
	}
}

func (m *Machine) raiseToken(token protocol.FencingToken) {
	if token > m.fencingToken {
		m.fencingToken = token
		m.changed = true
	}
}

// Probe is the worker's report when it is asked for it.
func (m *Machine) Probe() []byte { return m.nextHeartbeat() }

// ExecuteCommands carries out a direct command.
func (m *Machine) ExecuteCommands(commands protocol.Commands) (int, []byte) {
	if commands.FencingToken < m.fencingToken || commands.AgentEpoch != m.epoch {
		return 409, m.nextHeartbeat()
	}
	m.raiseToken(commands.FencingToken)
	m.applyCommands(commands.Commands)
	return 200, m.nextHeartbeat()
}

func (m *Machine) applyCommands(commands []protocol.Command) {
	w := m.world
	for _, command := range commands {
		execution := m.tasks[command.Task]
		job := w.Jobs[command.Task.Job]
		switch command.Type {
		case protocol.CommandStart:
			if execution != nil && execution.attempt == command.Attempt {
				continue
			}
			if execution != nil && execution.state != protocol.TaskExited {
				continue // busy
			}
			m.changed = true
			newExecution := &taskExecution{attempt: command.Attempt, state: protocol.TaskPullingImage}
			m.tasks[command.Task] = newExecution
			w.StartCommands++
			m.lastStartAt = w.Now
			switch coresInUse := m.coresInUse(command.Task); {
			case job == nil:
				newExecution.state, newExecution.reason = protocol.TaskExited, protocol.ReasonNotFound
			case coresInUse+job.Cores > w.CoresOf(m.Type)+1e-9:
				newExecution.state, newExecution.reason = protocol.TaskExited, protocol.ReasonInsufficientResources
			case !m.cachedImages[job.Image]:
				newExecution.stateEndsAt = w.Now + w.ImagePullTime
			default:
				newExecution.stateEndsAt = w.Now
			}
		case protocol.CommandStop:
			if execution == nil || execution.attempt != command.Attempt || execution.state == protocol.TaskExited {
				continue
			}
			if command.GracePeriodSeconds != nil && job.CanCheckpoint() && *command.GracePeriodSeconds >= job.CheckpointSaveSeconds && execution.state == protocol.TaskRunning {
				execution.stateEndsAt = w.Now + protocol.Seconds(job.CheckpointSaveSeconds)
				m.setState(command.Task, execution, protocol.TaskSaving)
			} else if execution.state != protocol.TaskSaving || command.GracePeriodSeconds != nil && *command.GracePeriodSeconds == 0 {
				m.endTask(command.Task, execution, "stopped")
			}
		case protocol.CommandForget:
			if execution != nil && execution.attempt == command.Attempt && execution.state == protocol.TaskExited {
				delete(m.tasks, command.Task)
				m.changed = true
			}
		}
	}
}

func (m *Machine) coresInUse(except protocol.Task) float64 {
	sum := 0.0
	for t, execution := range m.tasks {
		if t != except && execution.state != protocol.TaskExited {
			sum += m.world.Jobs[t.Job].Cores
		}
	}
	return sum
}
