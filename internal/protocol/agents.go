package protocol

import (
	"encoding/json"
	"fmt"
)

// Paths of a worker's own address.
const (
	PathAgentCommands = "/do"
	PathAgentStatus   = "/show"
)

// TaskState is the state of a task on its machine.
type TaskState string

// States of tasks.
const (
	TaskPullingImage TaskState = "fetching"
	TaskAwaitingGang TaskState = "gathering"
	TaskRunning      TaskState = "running"
	TaskSaving       TaskState = "flushing"
	TaskExited       TaskState = "ended"
)

// Reason of a task's end.
type Reason string

// Causes of a task's end.
const (
	ReasonDone                  Reason = "done"
	ReasonError                 Reason = "error"
	ReasonInsufficientResources Reason = "no_room"
	ReasonAttemptConflict       Reason = "busy"
	ReasonNotFound              Reason = "no_such"
)

// TaskStatus is one task of a worker's report.
type TaskStatus struct {
	Task          Task      `json:"piece"`
	Attempt       Attempt   `json:"try"`
	State         TaskState `json:"stage"`
	Reason        Reason    `json:"cause,omitempty"`
	ProgressSaved bool      `json:"saved,omitempty"`
}

// Heartbeat is what a worker says of its machine.
type Heartbeat struct {
	Machine                 MachineID       `json:"stall"`
	Addr                    string          `json:"addr"`
	Type                    MachineTypeName `json:"build"`
	Zone                    Zone            `json:"yard"`
	Spot                    bool            `json:"loaners"`
	AgentEpoch              AgentEpoch      `json:"shift"`
	Sequence                Sequence        `json:"tally"`
	FencingToken            FencingToken    `json:"baton"`
	PreemptionNoticeSeconds *float64        `json:"recall_s"`
	Tasks                   []TaskStatus    `json:"pieces"`
}

// ParseHeartbeat reads and checks a worker's report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := DecodeObject(body, &heartbeat); err != nil {
		return nil, err
	}
	if !heartbeat.Machine.IsValid() || heartbeat.AgentEpoch == 0 || heartbeat.Type == "" || heartbeat.Zone == "" {
		return nil, malformed("report")
	}
	if heartbeat.PreemptionNoticeSeconds != nil && (*heartbeat.PreemptionNoticeSeconds < 0 || *heartbeat.PreemptionNoticeSeconds > 1e6) {
		return nil, malformed("recall_s")
	}
	return &heartbeat, nil
}

// CommandType is what a worker is told to do with a task.
type CommandType string

// Commands to workers.
const (
	CommandStart  CommandType = "start"
	CommandStop   CommandType = "stop"
	CommandForget CommandType = "reap"
)

// Command is a command to a worker.
type Command struct {
	Type               CommandType `json:"verb"`
	Task               Task        `json:"piece"`
	Attempt            Attempt     `json:"try"`
	GracePeriodSeconds *float64    `json:"wind_down_s,omitempty"`
}

// Commands is the answer to a report and, with Session, a direct command.
type Commands struct {
	FencingToken FencingToken `json:"baton"`
	AgentEpoch   AgentEpoch   `json:"shift,omitempty"`
	Commands     []Command    `json:"orders"`
}

// Encode gives the message's wire form.
func (c *Commands) Encode() []byte {
	if c.Commands == nil {
		c.Commands = []Command{}
	}
	return Encode(c)
}

// Redirect sends a worker to another node; with no name it tries the next.
type Redirect struct {
	Controller ControllerID `json:"foreman,omitempty"`
}

// Encode gives a message's wire form. Its callers pass only types of this
// package, which always can be written.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: %v", err))
	}
	return b
}
