package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Limits of the users' interface.
const (
	MaxTasks = 100_000
	MaxBody  = 64 << 10
)

// Paths of the users' and workers' interfaces.
const (
	PathWork   = "/work"
	PathHealth = "/healthz"
	PathReport = "/agent/beat"
	abortEnd   = "/abort"
)

// Shape says how the tasks of a job belong together.
type Shape string

// Shapes of jobs. The tasks of a daemon are independent and run until its user cancels
// the job.
const (
	Batch  Shape = "batch"
	Group  Shape = "group"
	Daemon Shape = "daemon"
)

// Rank is a job's priority.
type Rank string

var ranks = map[Rank]int{"critical": 0, "high": 1, "standard": 2, "low": 3}

// Order is 0 for the highest priority.
func (r Rank) Order() int { return ranks[r] }

// Stage of a job as users see it.
type Stage string

// Stages of jobs.
const (
	Queued    Stage = "queued"
	Running   Stage = "running"
	Done      Stage = "done"
	Withdrawn Stage = "withdrawn"
)

// Final tells whether the stage never changes again.
func (s Stage) Final() bool { return s == Done || s == Withdrawn }

// Job is a submission.
type Job struct {
	UID          JobID    `json:"uid"`
	Class        string   `json:"lane"`
	Team         string   `json:"desk"`
	Shape        Shape    `json:"shape"`
	Rank         Rank     `json:"rank"`
	Tasks        int      `json:"pieces"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	MemGB        float64  `json:"mem_gb"`
	Image        string   `json:"bundle"`
	ImageGB      float64  `json:"pull_gb"`
	Types        []Sku    `json:"builds,omitempty"`
	Zone         Zone     `json:"yard,omitempty"`
	OneZone      bool     `json:"together"`
	Spread       bool     `json:"scatter"`
	Spot         bool     `json:"loaners"`
	EstimateS    float64  `json:"reckon_s"`
	CheckpointS  float64  `json:"bookmark_s"`
	SaveS        float64  `json:"stow_s"`
	DeadlineS    *float64 `json:"due_s,omitempty"`
}

// Gang tells whether all tasks run at the same time or none does.
func (j *Job) Gang() bool { return j.Shape == Group }

// Daemon tells whether the job is a standing service: its tasks are replicas that run
// until the job is cancelled.
func (j *Job) Daemon() bool { return j.Shape == Daemon }

// Saves tells whether tasks keep checkpoints.
func (j *Job) Saves() bool { return j.CheckpointS > 0 }

// ErrMalformed is the cause of a 400.
var ErrMalformed = errors.New("malformed")

func bad(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// DecodeStrict reads one JSON object and nothing behind it.
func DecodeStrict(body []byte, v any) error {
	b := bytes.TrimLeft(body, " \t\r\n")
	if len(b) == 0 || b[0] != '{' {
		return bad("not a JSON object")
	}
	if err := json.Unmarshal(b, v); err != nil {
		return bad(err.Error())
	}
	return nil
}

// maxAmount bounds amounts and durations of a submission, maxName the names in it.
const (
	maxAmount   = 1e9
	maxName     = 200
	maxTypes    = 50
	maxTypeName = 100
)

// submission is a job as it comes over the wire. Every field is a pointer, so that a
// missing one differs from a zero.
type submission struct {
	UID          *JobID   `json:"uid"`
	Class        *string  `json:"lane"`
	Team         *string  `json:"desk"`
	Shape        *Shape   `json:"shape"`
	Rank         *Rank    `json:"rank"`
	Tasks        *float64 `json:"pieces"`
	Cores        *float64 `json:"cores"`
	Accelerators *float64 `json:"accelerators"`
	MemGB        *float64 `json:"mem_gb"`
	Image        *string  `json:"bundle"`
	ImageGB      *float64 `json:"pull_gb"`
	Types        *[]Sku   `json:"builds"`
	Zone         *Zone    `json:"yard"`
	OneZone      *bool    `json:"together"`
	Spread       *bool    `json:"scatter"`
	Spot         *bool    `json:"loaners"`
	EstimateS    *float64 `json:"reckon_s"`
	CheckpointS  *float64 `json:"bookmark_s"`
	SaveS        *float64 `json:"stow_s"`
	DeadlineS    *float64 `json:"due_s"`
}

// ParseJob reads and checks a submission.
func ParseJob(body []byte) (*Job, error) {
	var w submission
	if err := DecodeStrict(body, &w); err != nil {
		return nil, err
	}
	for _, check := range []func() error{w.checkNames, w.checkKind, w.checkAmounts, w.checkPlaces} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return w.job(), nil
}

func validName(name *string) bool { return name != nil && *name != "" && len(*name) <= maxName }

func (w *submission) checkNames() error {
	switch {
	case w.UID == nil || !w.UID.Valid():
		return bad("uid")
	case !validName(w.Class):
		return bad("lane")
	case !validName(w.Team):
		return bad("desk")
	case !validName(w.Image):
		return bad("bundle")
	}
	return nil
}

func (w *submission) checkKind() error {
	if w.Shape == nil || *w.Shape != Batch && *w.Shape != Group && *w.Shape != Daemon {
		return bad("shape")
	}
	if w.Rank == nil {
		return bad("rank")
	}
	if _, ok := ranks[*w.Rank]; !ok {
		return bad("rank")
	}
	if w.Tasks == nil || *w.Tasks != math.Trunc(*w.Tasks) || *w.Tasks < 1 || *w.Tasks > MaxTasks {
		return bad("pieces")
	}
	if w.OneZone == nil || w.Spread == nil || w.Spot == nil {
		return bad("together, scatter or loaners")
	}
	return nil
}

func (w *submission) checkAmounts() error {
	for _, field := range []struct {
		name  string
		value *float64
	}{
		{"cores", w.Cores}, {"accelerators", w.Accelerators}, {"mem_gb", w.MemGB}, {"pull_gb", w.ImageGB},
		{"reckon_s", w.EstimateS}, {"bookmark_s", w.CheckpointS}, {"stow_s", w.SaveS},
	} {
		if field.value == nil || !validAmount(*field.value) {
			return bad(field.name)
		}
	}
	if w.DeadlineS != nil && !validAmount(*w.DeadlineS) {
		return bad("due_s")
	}
	return nil
}

func validAmount(f float64) bool { return f >= 0 && f <= maxAmount }

func (w *submission) checkPlaces() error {
	if w.Zone != nil && (*w.Zone == "" || len(*w.Zone) > maxName) {
		return bad("yard")
	}
	if w.Types == nil {
		return nil
	}
	if len(*w.Types) == 0 || len(*w.Types) > maxTypes {
		return bad("builds")
	}
	for _, s := range *w.Types {
		if s == "" || len(s) > maxTypeName {
			return bad("builds")
		}
	}
	return nil
}

// job is the submission once it is checked.
func (w *submission) job() *Job {
	j := &Job{UID: *w.UID, Class: *w.Class, Team: *w.Team, Shape: *w.Shape, Rank: *w.Rank, Tasks: int(*w.Tasks),
		Cores: *w.Cores, Accelerators: *w.Accelerators, MemGB: *w.MemGB, Image: *w.Image, ImageGB: *w.ImageGB,
		OneZone: *w.OneZone, Spread: *w.Spread, Spot: *w.Spot,
		EstimateS: *w.EstimateS, CheckpointS: *w.CheckpointS, SaveS: *w.SaveS, DeadlineS: w.DeadlineS}
	if w.Types != nil {
		j.Types = *w.Types
	}
	if w.Zone != nil {
		j.Zone = *w.Zone
	}
	return j
}

// JobAnswer is what users are told of a job.
type JobAnswer struct {
	UID     JobID `json:"uid"`
	Stage   Stage `json:"stage"`
	Done    *int  `json:"done,omitempty"`
	Running *int  `json:"running,omitempty"`
}

// Verb of a user's request on /work.
type Verb int

// The requests that users send.
const (
	NoVerb Verb = iota
	Submit
	Query
	Abort
)

// Route tells what a request on /work asks for. known is false where no such
// path exists, allowed is false where the method does not go with the path.
func Route(method, path string) (v Verb, id JobID, known, allowed bool) {
	if path == PathWork {
		return Submit, "", true, method == "POST"
	}
	rest, ok := strings.CutPrefix(path, PathWork+"/")
	if !ok {
		return NoVerb, "", false, false
	}
	if job, ok := strings.CutSuffix(rest, abortEnd); ok {
		return Abort, JobID(job), !strings.Contains(job, "/"), method == "POST"
	}
	return Query, JobID(rest), !strings.Contains(rest, "/"), method == "GET"
}
