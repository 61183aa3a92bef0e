package standin

import (
	"fmt"
	"time"

	"tillerarch/internal/protocol"
)

// Rules checks the Rules of PROTOCOL by what users are told and what is on the
// machines. It knows nothing of how controllers work.
type Rules struct {
	Cancel  time.Duration
	Limits  map[string]float64 // cores a team may use; 0: no limit
	Broken  []string
	Started int

	jobs map[protocol.JobID]*ruleJob
	on   map[protocol.Task]place // one of the places where a task is
	n    map[protocol.Task]int   // and at how many
}

type place struct {
	machine protocol.MachineID
	zone    protocol.Zone
}

type ruleJob struct {
	desc      *protocol.Job
	accepted  bool
	submitted bool
	wanted    bool // its user asked to cancel it
	told      protocol.Stage
	toldAt    time.Duration
	done      map[int]bool
}

// NewRules makes a checker.
func NewRules(cancel time.Duration) *Rules {
	return &Rules{Cancel: cancel, Limits: map[string]float64{}, jobs: map[protocol.JobID]*ruleJob{},
		on: map[protocol.Task]place{}, n: map[protocol.Task]int{}}
}

func (r *Rules) broken(rule, format string, args ...any) {
	r.Broken = append(r.Broken, rule+": "+fmt.Sprintf(format, args...))
}

func (r *Rules) job(id protocol.JobID) *ruleJob {
	j := r.jobs[id]
	if j == nil {
		j = &ruleJob{done: map[int]bool{}}
		r.jobs[id] = j
	}
	return j
}

// Submitted notes that a user sends a job.
func (r *Rules) Submitted(d *protocol.Job) {
	j := r.job(d.UID)
	j.desc, j.submitted = d, true
}

// CancelWanted notes that a user asks to cancel a job.
func (r *Rules) CancelWanted(id protocol.JobID) { r.job(id).wanted = true }

// Told notes an answer to a user.
func (r *Rules) Told(now time.Duration, verb protocol.Verb, id protocol.JobID, status int, stage protocol.Stage) {
	j := r.job(id)
	switch {
	case j.accepted && (status == 404 || verb == protocol.Submit && (status == 400 || status == 422)):
		r.broken("forgotten", "%s is answered %d", id, status)
	case status != 200 && status != 201:
		return
	case !j.submitted:
		r.broken("invented", "%s", id)
	}
	j.accepted = true
	if stage == protocol.Done {
		if j.desc == nil || len(j.done) < j.desc.Pieces {
			r.broken("not_done", "%s with %d tasks done", id, len(j.done))
		}
	}
	if j.told.Final() && stage != j.told {
		r.broken("went_back", "%s was %s, is called %s", id, j.told, stage)
	}
	if stage == protocol.Withdrawn && !j.wanted {
		r.broken("went_back", "%s is called withdrawn, which nobody asked for", id)
	}
	if stage.Final() && !j.told.Final() {
		j.told, j.toldAt = stage, now
	}
}

// Began notes that a task is on a machine from now on.
func (r *Rules) Began(now time.Duration, t protocol.Task, m protocol.MachineID, build protocol.Sku, z protocol.Zone, loaner bool) {
	r.Started++
	j := r.job(t.Job)
	if r.n[t] > 0 {
		r.broken("ran_twice", "%s on %s while on %s", t, m, r.on[t].machine)
	}
	r.n[t]++
	r.on[t] = place{m, z}
	if j.desc == nil {
		r.broken("wrong_place", "%s was never submitted", t)
		return
	}
	if !j.desc.Allowed(build, z) || loaner && !j.desc.Loaners {
		r.broken("wrong_place", "%s on %s in %s, spot %v", t, build, z, loaner)
	}
	here, elsewhere, cores := 0, 0, 0.0
	for o, p := range r.on {
		if r.n[o] == 0 {
			continue
		}
		if o.Job == t.Job {
			if p.zone == z {
				here++
			} else {
				elsewhere++
			}
		}
		if d := r.job(o.Job).desc; d != nil && d.Desk == j.desc.Desk {
			cores += d.Cores
		}
	}
	if j.desc.Together && elsewhere > 0 {
		r.broken("wrong_place", "%s in %s, others are elsewhere", t, z)
	}
	if j.desc.Scatter && here > (j.desc.Pieces+1)/2 {
		r.broken("wrong_place", "%d tasks of %s in %s", here, t.Job, z)
	}
	if l := r.Limits[j.desc.Desk]; l > 0 && cores > l+1e-6 {
		r.broken("quota", "%s uses %v of %v cores", j.desc.Desk, cores, l)
	}
	if j.told == protocol.Withdrawn && now > j.toldAt+r.Cancel {
		r.broken("ran_cancelled", "%s starts", t)
	}
}

// Left notes that a task is on a machine no more; done tells how it ended.
func (r *Rules) Left(t protocol.Task, done bool) {
	r.n[t]--
	if done {
		r.job(t.Job).done[t.Piece] = true
	}
}

// Watch checks what only time shows.
func (r *Rules) Watch(now time.Duration) {
	for t, n := range r.n {
		j := r.job(t.Job)
		if n > 0 && j.told == protocol.Withdrawn && now > j.toldAt+r.Cancel {
			r.broken("ran_cancelled", "%s is still on %s", t, r.on[t].machine)
			j.toldAt = now // once each time
		}
	}
}

// End checks the whole day.
func (r *Rules) End() {
	if r.Started == 0 {
		r.broken("nothing_ran", "no task was started")
	}
}
