package protocol

import (
	"encoding/json"
	"fmt"
)

// Paths of a worker's own address.
const (
	PathDo   = "/do"
	PathShow = "/show"
)

// TaskStage is the state of a task on its machine.
type TaskStage string

// States of tasks.
const (
	Fetching    TaskStage = "fetching"
	Gathering   TaskStage = "gathering"
	TaskRunning TaskStage = "running"
	Flushing    TaskStage = "flushing"
	Ended       TaskStage = "ended"
)

// Cause of a task's end.
type Cause string

// Causes of a task's end.
const (
	CauseDone   Cause = "done"
	CauseError  Cause = "error"
	CauseNoRoom Cause = "no_room"
	CauseBusy   Cause = "busy"
	CauseNoSuch Cause = "no_such"
)

// TaskReport is one task of a worker's report.
type TaskReport struct {
	Task  Task      `json:"piece"`
	Try   Attempt   `json:"try"`
	Stage TaskStage `json:"stage"`
	Cause Cause     `json:"cause,omitempty"`
	Saved bool      `json:"saved,omitempty"`
}

// Report is what a worker says of its machine.
type Report struct {
	Machine      MachineID    `json:"stall"`
	Addr         string       `json:"addr"`
	Type         Sku          `json:"build"`
	Zone         Zone         `json:"yard"`
	Spot         bool         `json:"loaners"`
	Session      Session      `json:"shift"`
	Tally        Tally        `json:"tally"`
	FencingToken FencingToken `json:"baton"`
	RecallS      *float64     `json:"recall_s"`
	Tasks        []TaskReport `json:"pieces"`
}

// ParseReport reads and checks a worker's report.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := DecodeStrict(body, &r); err != nil {
		return nil, err
	}
	if !r.Machine.Valid() || r.Session == 0 || r.Type == "" || r.Zone == "" {
		return nil, bad("report")
	}
	if r.RecallS != nil && (*r.RecallS < 0 || *r.RecallS > 1e6) {
		return nil, bad("recall_s")
	}
	return &r, nil
}

// OrderVerb is what a worker is told to do with a task.
type OrderVerb string

// Commands to workers.
const (
	Start OrderVerb = "start"
	Stop  OrderVerb = "stop"
	Reap  OrderVerb = "reap"
)

// Order is a command to a worker.
type Order struct {
	Verb      OrderVerb `json:"verb"`
	Task      Task      `json:"piece"`
	Try       Attempt   `json:"try"`
	WindDownS *float64  `json:"wind_down_s,omitempty"`
}

// Orders is the answer to a report and, with Session, a direct command.
type Orders struct {
	FencingToken FencingToken `json:"baton"`
	Session      Session      `json:"shift,omitempty"`
	Orders       []Order      `json:"orders"`
}

// Encode gives the message's wire form.
func (o *Orders) Encode() []byte {
	if o.Orders == nil {
		o.Orders = []Order{}
	}
	return Encode(o)
}

// Redirect sends a worker to another node; with no name it tries the next.
type Redirect struct {
	Redirect Member `json:"foreman,omitempty"`
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
