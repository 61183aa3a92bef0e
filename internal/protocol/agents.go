package protocol

// Paths of an agent's own address.
const (
	PathAgentCommands = "/do"
	PathAgentStatus   = "/show"
)

// TaskState is the state of a task on its machine.
type TaskState string

// States of a task on its machine.
const (
	TaskPullingImage TaskState = "fetching"
	TaskAwaitingGang TaskState = "gathering" // waits for the other tasks of its attempt
	TaskRunning      TaskState = "running"
	TaskSaving       TaskState = "flushing" // was told to stop and writes a checkpoint
	TaskExited       TaskState = "ended"    // listed until it is forgotten by command
)

// Reason says why a task has ended.
type Reason string

// Reasons that controllers act on; agents send others as well.
const (
	ReasonDone                  Reason = "done"
	ReasonError                 Reason = "error"
	ReasonInsufficientResources Reason = "no_room" // start refused
	ReasonAttemptConflict       Reason = "busy"    // start refused: the machine has another attempt of the task
	ReasonNotFound              Reason = "no_such" // start refused: the agent cannot find the job
)

// TaskStatus is one task of a heartbeat.
type TaskStatus struct {
	Task          Task      `json:"piece"`
	Attempt       Attempt   `json:"try"`
	State         TaskState `json:"stage"`
	Reason        Reason    `json:"cause,omitempty"`
	ProgressSaved bool      `json:"saved,omitempty"`
}

// Heartbeat is an agent's report on its machine.
type Heartbeat struct {
	Machine      MachineID       `json:"stall"`
	Addr         string          `json:"addr"`
	Type         MachineTypeName `json:"build"`
	Zone         Zone            `json:"yard"`
	Spot         bool            `json:"loaners"`
	AgentEpoch   AgentEpoch      `json:"shift"`
	Sequence     Sequence        `json:"tally"`
	FencingToken FencingToken    `json:"baton"` // the highest that the agent has seen
	// PreemptionNoticeSeconds is the time until the cloud takes the machine away; nil
	// without a notice.
	PreemptionNoticeSeconds *float64 `json:"recall_s"`
	// Tasks are all tasks on the machine, exited ones until they are forgotten.
	Tasks []TaskStatus `json:"pieces"`
}

// maxPreemptionNoticeSeconds bounds a notice, so that it fits a time.Duration.
const maxPreemptionNoticeSeconds = 1e6

// ParseHeartbeat reads and checks a heartbeat.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := decodeObject(body, &heartbeat); err != nil {
		return nil, err
	}
	if !heartbeat.Machine.IsValid() || heartbeat.AgentEpoch == 0 || heartbeat.Type == "" || heartbeat.Zone == "" {
		return nil, malformed("report") // the agent is sent this text
	}
	notice := heartbeat.PreemptionNoticeSeconds
	if notice != nil && (*notice < 0 || *notice > maxPreemptionNoticeSeconds) {
		return nil, malformed("recall_s")
	}
	return &heartbeat, nil
}

// CommandType is what an agent is told to do with a task.
type CommandType string

// Commands to agents. All may be repeated, with one exception: a start that is repeated
// after CommandForget starts the attempt again.
const (
	CommandStart  CommandType = "start"
	CommandStop   CommandType = "stop"
	CommandForget CommandType = "reap" // drops an exited task from the heartbeats
)

// Command is one command to an agent.
type Command struct {
	Type    CommandType `json:"verb"`
	Task    Task        `json:"piece"`
	Attempt Attempt     `json:"try"`
	// GracePeriodSeconds is, for CommandStop, the time in which the task may save.
	GracePeriodSeconds *float64 `json:"wind_down_s,omitempty"`
}

// Commands is the response to a heartbeat and, with AgentEpoch, a message to the agent's
// own address. An agent executes the commands in order, or none of them if the fencing
// token is lower than the highest that it has seen.
type Commands struct {
	FencingToken FencingToken `json:"baton"`
	AgentEpoch   AgentEpoch   `json:"shift,omitempty"`
	Commands     []Command    `json:"orders"`
}

// Encode returns the wire form, in which a missing list of commands is an empty one.
func (c *Commands) Encode() []byte {
	message := *c
	if message.Commands == nil {
		message.Commands = []Command{}
	}
	return Encode(&message)
}

// Redirect sends an agent to another controller; without a name it tries the next one.
type Redirect struct {
	Controller ControllerID `json:"foreman,omitempty"`
}
