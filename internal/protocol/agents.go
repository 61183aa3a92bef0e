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
	TaskSaving       TaskState = "flushing" // received a stop command and writes a checkpoint
	TaskExited       TaskState = "ended"    // stays in the heartbeats until CommandForget
)

// Reason is the reason why a task ended.
type Reason string

// Reasons that controllers act on. Agents send other reasons, too.
const (
	ReasonDone                  Reason = "done"
	ReasonError                 Reason = "error"
	ReasonInsufficientResources Reason = "no_room" // the agent refused the start
	ReasonAttemptConflict       Reason = "busy"    // refused, as the machine has another attempt of the task
	ReasonNotFound              Reason = "no_such" // refused, as the agent cannot find the job
)

// TaskStatus is the status of one task in a heartbeat.
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
	// PreemptionNoticeSeconds is the time until the cloud takes the machine away. Nil
	// means that there is no notice.
	PreemptionNoticeSeconds *float64 `json:"recall_s"`
	// Tasks holds all tasks on the machine, including exited ones until CommandForget.
	Tasks []TaskStatus `json:"pieces"`
}

// maxPreemptionNoticeSeconds limits a notice, so that it fits into a time.Duration.
const maxPreemptionNoticeSeconds = 1e6

// ParseHeartbeat parses and validates a heartbeat. Its errors wrap ErrMalformed.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := decodeObject(body, &heartbeat); err != nil {
		return nil, err
	}
	if !heartbeat.Machine.IsValid() || heartbeat.AgentEpoch == 0 || heartbeat.Type == "" || heartbeat.Zone == "" {
		return nil, malformedError("report") // the text is sent to the agent
	}
	notice := heartbeat.PreemptionNoticeSeconds
	if notice != nil && (*notice < 0 || *notice > maxPreemptionNoticeSeconds) {
		return nil, malformedError("recall_s")
	}
	return &heartbeat, nil
}

// CommandType is the type of a command to an agent.
type CommandType string

// Types of commands. A command may be repeated, with one exception: a CommandStart that is
// repeated after CommandForget starts the attempt again.
const (
	CommandStart  CommandType = "start"
	CommandStop   CommandType = "stop"
	CommandForget CommandType = "reap" // removes an exited task from the heartbeats
)

// Command is a command to an agent. It concerns one attempt of a task.
type Command struct {
	Type    CommandType `json:"verb"`
	Task    Task        `json:"piece"`
	Attempt Attempt     `json:"try"`
	// GracePeriodSeconds is the time that CommandStop gives the task for saving.
	GracePeriodSeconds *float64 `json:"wind_down_s,omitempty"`
}

// Commands is the response to a heartbeat or, with an AgentEpoch, a message to the agent's
// own address. The agent executes the commands in order, or none of them if the fencing
// token is lower than the highest that the agent has seen.
type Commands struct {
	FencingToken FencingToken `json:"baton"`
	AgentEpoch   AgentEpoch   `json:"shift,omitempty"`
	Commands     []Command    `json:"orders"`
}

// Encode returns the wire form of the message. It encodes a nil list of commands as an
// empty list.
func (c *Commands) Encode() []byte {
	message := *c
	if message.Commands == nil {
		message.Commands = []Command{}
	}
	return Encode(&message)
}

// Redirect directs an agent to another controller. Without a name, the agent tries the
// next controller.
type Redirect struct {
	Controller ControllerID `json:"foreman,omitempty"`
}
