package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Rules checks the Rules of PROTOCOL by what users are told and what is on the
// machines. It knows nothing of how controllers work.
type Rules struct {
	Cancel  time.Duration
	Limits  map[string]float64 // cores a team may use; 0: no limit
	Calm    time.Duration      // since when all troubles are over; 0: they are not
	Broken  []string
	Started int

	jobs      map[protocol.JobID]*ruleJob
	on        map[protocol.Task]place // one of the places where a task is
	n         map[protocol.Task]int   // and at how many
	commander map[tenure]string       // who commanded a machine under an epoch
	hung      map[protocol.Task]place // tasks that their leases ended on machines that hang: they may no longer go on, and nobody has seen them go
}

// tenure is the time of a machine under one epoch of its owner.
type tenure struct {
	machine protocol.MachineID
	epoch   storage.ShardEpoch
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
	told      protocol.JobState
	toldAt    time.Duration
	done      map[int]bool
	sentAt    time.Duration
	unfit     bool          // it can't run, or lacks a field
	roomSince time.Duration // since when there has been room for what waits of it; 0: there is none
	began     time.Duration // when its first task was on a machine; 0: none was
	askedAt   time.Duration // of the first question since the last answer; 0: all are answered
}

// NewRules makes a checker.
func NewRules(cancel time.Duration) *Rules {
	return &Rules{Cancel: cancel, Limits: map[string]float64{}, jobs: map[protocol.JobID]*ruleJob{},
		on: map[protocol.Task]place{}, n: map[protocol.Task]int{}, hung: map[protocol.Task]place{}, commander: map[tenure]string{}}
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

// Commanded notes whose answer a worker has taken under a token: nobody else's may come
// under the same epoch.
func (r *Rules) Commanded(m protocol.MachineID, token protocol.FencingToken, by string) {
	at := tenure{m, storage.ShardEpochOf(token)}
	if other, ok := r.commander[at]; ok && other != by {
		r.broken("two_commanders", "%s takes commands of %s and of %s in epoch %d", m, other, by, at.epoch)
	}
	r.commander[at] = by
}

// Submitted notes that a user sends a job.
func (r *Rules) Submitted(now time.Duration, d *protocol.Job) {
	j := r.job(d.ID)
	j.desc, j.submitted, j.sentAt = d, true, now
}

// Asked notes that a user asks about a job.
func (r *Rules) Asked(now time.Duration, id protocol.JobID) {
	if j := r.job(id); j.askedAt == 0 {
		j.askedAt = max(now, 1)
	}
}

// CancelWanted notes that a user asks to cancel a job.
func (r *Rules) CancelWanted(id protocol.JobID) { r.job(id).wanted = true }

// Told notes an answer to a user, and when its request was sent: one that was under way
// when another was answered may be answered as of before.
func (r *Rules) Told(now, asked time.Duration, verb protocol.RequestType, id protocol.JobID, status int, stage protocol.JobState) {
	j := r.job(id)
	switch {
	case j.accepted && (status == 404 || verb == protocol.RequestSubmit && (status == 400 || status == 422)):
		r.broken("forgotten", "%s is answered %d", id, status)
	case status != 200 && status != 201:
		return
	case !j.submitted:
		r.broken("invented", "%s", id)
	}
	if j.unfit {
		r.broken("accepted", "%s, which can't run or lacks a field", id)
	}
	j.accepted = true
	j.askedAt = 0
	if stage == protocol.JobDone {
		if j.desc == nil || j.desc.IsService() || len(j.done) < j.desc.TaskCount {
			r.broken("not_done", "%s with %d tasks done", id, len(j.done))
		}
	}
	if j.told.IsTerminal() && stage != j.told && (asked >= j.toldAt || stage.IsTerminal()) {
		r.broken("went_back", "%s was %s, is called %s", id, j.told, stage)
	}
	if stage == protocol.JobCancelled && !j.wanted {
		r.broken("went_back", "%s is called withdrawn, which nobody asked for", id)
	}
	if stage.IsTerminal() && !j.told.IsTerminal() {
		j.told, j.toldAt = stage, now
	}
}

// Began notes that a task is on a machine from now on.
func (r *Rules) Began(now time.Duration, t protocol.Task, m protocol.MachineID, build protocol.MachineTypeName, z protocol.Zone, loaner bool) {
	r.Started++
	j := r.job(t.Job)
	if j.began == 0 {
		j.began = max(now, 1)
	}
	if r.n[t] > 0 {
		r.broken("ran_twice", "%s on %s while on %s", t, m, r.on[t].machine)
	}
	r.n[t]++
	r.on[t] = place{m, z}
	if j.desc == nil {
		r.broken("wrong_place", "%s was never submitted", t)
		return
	}
	if !j.desc.AllowsPlacement(build, z) || loaner && !j.desc.AllowSpot {
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
		if d := r.job(o.Job).desc; d != nil && d.Team == j.desc.Team {
			cores += d.Cores
		}
	}
	if j.desc.SingleZone && elsewhere > 0 {
		r.broken("wrong_place", "%s in %s, others are elsewhere", t, z)
	}
	if j.desc.SpreadZones && here > (j.desc.TaskCount+1)/2 {
		r.broken("wrong_place", "%d tasks of %s in %s", here, t.Job, z)
	}
	if l := r.Limits[j.desc.Team]; l > 0 && cores > l+1e-6 {
		r.broken("quota", "%s uses %v of %v cores", j.desc.Team, cores, l)
	}
	if j.told == protocol.JobCancelled {
		r.broken("ran_cancelled", "%s starts on %s %v after its job was called withdrawn", t, m, now-j.toldAt)
	}
}

// Left notes that a task is on a machine no more; done tells how it ended.
func (r *Rules) Left(t protocol.Task, done bool) {
	r.n[t]--
	if done {
		r.job(t.Job).done[t.Index] = true
	}
}

// Watch checks what only time shows.
func (r *Rules) Watch(now time.Duration) {
	for t, n := range r.n {
		j := r.job(t.Job)
		if n > 0 && j.told == protocol.JobCancelled && now > j.toldAt+r.Cancel {
			r.broken("ran_cancelled", "%s is still on %s", t, r.on[t].machine)
			j.toldAt = now // once each time
		}
	}
	for t, p := range r.hung {
		if j := r.job(t.Job); j.told == protocol.JobCancelled && now > j.toldAt+r.Cancel {
			r.broken("ran_cancelled", "%s hangs on %s", t, p.machine)
			delete(r.hung, t)
		}
	}
	for id, j := range r.jobs {
		if r.Calm > 0 && j.accepted && !j.wanted && j.askedAt > 0 && now-max(j.askedAt, r.Calm) > silence {
			r.broken("forgotten", "no question about %s is answered for %v", id, silence)
			j.askedAt = now
		}
	}
}

// replicas counts the replicas of a daemon that are on a machine.
func (r *Rules) replicas(id protocol.JobID, d *protocol.Job) (n int) {
	for piece := range d.TaskCount {
		if r.n[protocol.Task{Job: id, Index: piece}] > 0 {
			n++
		}
	}
	return n
}

// Waits lists how long the jobs that began waited for their first task, of those that keep
// says to count.
func (r *Rules) Waits(keep func(*protocol.Job) bool) (waits []time.Duration) {
	for _, j := range r.jobs {
		if j.desc != nil && j.began > 0 && keep(j.desc) {
			waits = append(waits, j.began-j.sentAt)
		}
	}
	slices.Sort(waits)
	return waits
}

// Room notes whether there is room, now, for some of what waits of a job.
func (r *Rules) Room(now time.Duration, id protocol.JobID, room bool) {
	j := r.job(id)
	switch {
	case !room || !j.accepted || j.wanted || j.told.IsTerminal():
		j.roomSince = 0
	case j.roomSince == 0:
		j.roomSince = now
	case r.Calm > 0 && now-max(j.roomSince, r.Calm) > waiting:
		r.broken("left_waiting", "%s has waited %v though there is room", id, now-j.roomSince)
		j.roomSince = now
	}
}

// Bounds of the added rules.
const (
	waiting = 90 * time.Second // so long may a job wait in calm times while a machine that fits has room
	silence = 75 * time.Second // so long may all questions about a job go unanswered in calm times
	begin   = 4 * time.Minute  // by then the largest jobs of a class have begun
)

// End checks the whole day.
func (r *Rules) End(now time.Duration) {
	if r.Started == 0 {
		r.broken("nothing_ran", "no task was started")
	}
	size := func(j *ruleJob) float64 { return float64(j.desc.TaskCount) * max(j.desc.Cores, 1e-9) }
	largest := map[string]float64{}
	for _, j := range r.jobs {
		if j.accepted && j.desc != nil && !j.wanted {
			largest[j.desc.Class] = max(largest[j.desc.Class], size(j))
		}
	}
	type tally struct{ all, served int }
	groups := map[string]*tally{}
	for id, j := range r.jobs {
		if !j.accepted || j.desc == nil || j.wanted {
			continue
		}
		names := []string{"class " + j.desc.Class, "team " + j.desc.Team}
		if size(j) >= largest[j.desc.Class] {
			names = append(names, "the largest of class "+j.desc.Class)
			if late := j.began == 0 || j.began-j.sentAt > begin; late && now-j.sentAt > begin {
				r.broken("unserved", "%s is among the largest of its class and had not begun after %v", id, begin)
			}
		}
		for _, n := range names {
			if groups[n] == nil {
				groups[n] = &tally{}
			}
			groups[n].all++
			if len(j.done) >= j.desc.TaskCount || j.desc.IsService() && r.replicas(id, j.desc) == j.desc.TaskCount {
				groups[n].served++
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(groups)) {
		if g := groups[n]; 2*g.served < g.all {
			r.broken("unserved", "%s: %d of %d jobs", n, g.served, g.all)
		}
	}
}
