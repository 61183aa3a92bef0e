package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// RuleChecker checks the Rules of PROTOCOL by what users are told and what is on the
// machines. It knows nothing of how controllers work.
type RuleChecker struct {
	CancelTimeout time.Duration
	QuotaLimits   map[string]float64 // cores a team may use; 0: no limit
	FaultsEndedAt time.Duration      // since when all troubles are over; 0: they are not
	Violations    []string
	TasksStarted  int

	jobs       map[protocol.JobID]*observedJob
	locations  map[protocol.Task]location // one of the places where a task is
	runCounts  map[protocol.Task]int      // and at how many
	commanders map[machineEpoch]string    // who commanded a machine under an epoch
	lingering  map[protocol.Task]location // tasks that their leases ended on machines that hang: they may no longer go on, and nobody has seen them go
}

// machineEpoch is the time of a machine under one epoch of its owner.
type machineEpoch struct {
	machine protocol.MachineID
	epoch   storage.ShardEpoch
}

type location struct {
	machine protocol.MachineID
	zone    protocol.Zone
}

type observedJob struct {
	spec            *protocol.Job
	accepted        bool
	submitted       bool
	cancelRequested bool // its user asked to cancel it
	reportedState   protocol.JobState
	reportedAt      time.Duration
	completedTasks  map[int]bool
	submittedAt     time.Duration
	isInvalid       bool          // it can't run, or lacks a field
	placeableSince  time.Duration // since when there has been room for what waits of it; 0: there is none
	firstTaskAt     time.Duration // when its first task was on a machine; 0: none was
	unansweredSince time.Duration // of the first question since the last answer; 0: all are answered
}

// NewRuleChecker makes a checker.
func NewRuleChecker(cancel time.Duration) *RuleChecker {
	return &RuleChecker{CancelTimeout: cancel, QuotaLimits: map[string]float64{}, jobs: map[protocol.JobID]*observedJob{},
		locations: map[protocol.Task]location{}, runCounts: map[protocol.Task]int{}, lingering: map[protocol.Task]location{}, commanders: map[machineEpoch]string{}}
}

func (r *RuleChecker) recordViolation(rule, format string, args ...any) {
	r.Violations = append(r.Violations, rule+": "+fmt.Sprintf(format, args...))
}

func (r *RuleChecker) job(id protocol.JobID) *observedJob {
	observed := r.jobs[id]
	if observed == nil {
		observed = &observedJob{completedTasks: map[int]bool{}}
		r.jobs[id] = observed
	}
	return observed
}

// RecordCommand notes whose answer a worker has taken under a token: nobody else's may come
// under the same epoch.
func (r *RuleChecker) RecordCommand(m protocol.MachineID, token protocol.FencingToken, controller string) {
	epoch := machineEpoch{machine: m, epoch: storage.ShardEpochOf(token)}
	if other, ok := r.commanders[epoch]; ok && other != controller {
		r.recordViolation("two_commanders", "%s takes commands of %s and of %s in epoch %d", m, other, controller, epoch.epoch)
	}
	r.commanders[epoch] = controller
}

// RecordSubmission notes that a user sends a job.
func (r *RuleChecker) RecordSubmission(now time.Duration, job *protocol.Job) {
	observed := r.job(job.ID)
	observed.spec, observed.submitted, observed.submittedAt = job, true, now
}

// RecordRequest notes that a user asks about a job.
func (r *RuleChecker) RecordRequest(now time.Duration, id protocol.JobID) {
	if observed := r.job(id); observed.unansweredSince == 0 {
		observed.unansweredSince = max(now, 1)
	}
}

// RecordCancelRequest notes that a user asks to cancel a job.
func (r *RuleChecker) RecordCancelRequest(id protocol.JobID) { r.job(id).cancelRequested = true }

// RecordReply notes an answer to a user, and when its request was sent: one that was under way
// when another was answered may be answered as of before.
func (r *RuleChecker) RecordReply(now, sentAt time.Duration, requestType protocol.RequestType, id protocol.JobID, status int, state protocol.JobState) {
	observed := r.job(id)
	switch {
	case observed.accepted && (status == 404 || requestType == protocol.RequestSubmit && (status == 400 || status == 422)):
		r.recordViolation("forgotten", "%s is answered %d", id, status)
	case status != 200 && status != 201:
		return
	case !observed.submitted:
		r.recordViolation("invented", "%s", id)
	}
	if observed.isInvalid {
		r.recordViolation("accepted", "%s, which can't run or lacks a field", id)
	}
	observed.accepted = true
	observed.unansweredSince = 0
	if state == protocol.JobDone {
		if observed.spec == nil || observed.spec.IsService() || len(observed.completedTasks) < observed.spec.TaskCount {
			r.recordViolation("not_done", "%s with %d tasks done", id, len(observed.completedTasks))
		}
	}
	if observed.reportedState.IsTerminal() && state != observed.reportedState && (sentAt >= observed.reportedAt || state.IsTerminal()) {
		r.recordViolation("went_back", "%s was %s, is called %s", id, observed.reportedState, state)
	}
	if state == protocol.JobCancelled && !observed.cancelRequested {
		r.recordViolation("went_back", "%s is called withdrawn, which nobody asked for", id)
	}
	if state.IsTerminal() && !observed.reportedState.IsTerminal() {
		observed.reportedState, observed.reportedAt = state, now
	}
}

// RecordTaskStart notes that a task is on a machine from now on.
func (r *RuleChecker) RecordTaskStart(now time.Duration, t protocol.Task, m protocol.MachineID, machineType protocol.MachineTypeName, z protocol.Zone, spot bool) {
	r.TasksStarted++
	observed := r.job(t.Job)
	if observed.firstTaskAt == 0 {
		observed.firstTaskAt = max(now, 1)
	}
	if r.runCounts[t] > 0 {
		r.recordViolation("ran_twice", "%s on %s while on %s", t, m, r.locations[t].machine)
	}
	r.runCounts[t]++
	r.locations[t] = location{machine: m, zone: z}
	if observed.spec == nil {
		r.recordViolation("wrong_place", "%s was never submitted", t)
		return
	}
	if !observed.spec.AllowsPlacement(machineType, z) || spot && !observed.spec.AllowSpot {
		r.recordViolation("wrong_place", "%s on %s in %s, spot %v", t, machineType, z, spot)
	}
	sameZone, otherZones, cores := 0, 0, 0.0
	for o, p := range r.locations {
		if r.runCounts[o] == 0 {
			continue
		}
		if o.Job == t.Job {
			if p.zone == z {
				sameZone++
			} else {
				otherZones++
			}
		}
		if job := r.job(o.Job).spec; job != nil && job.Team == observed.spec.Team {
			cores += job.Cores
		}
	}
	if observed.spec.SingleZone && otherZones > 0 {
		r.recordViolation("wrong_place", "%s in %s, others are elsewhere", t, z)
	}
	if observed.spec.SpreadZones && sameZone > (observed.spec.TaskCount+1)/2 {
		r.recordViolation("wrong_place", "%d tasks of %s in %s", sameZone, t.Job, z)
	}
	if l := r.QuotaLimits[observed.spec.Team]; l > 0 && cores > l+1e-6 {
		r.recordViolation("quota", "%s uses %v of %v cores", observed.spec.Team, cores, l)
	}
	if observed.reportedState == protocol.JobCancelled {
		r.recordViolation("ran_cancelled", "%s starts on %s %v after its job was called withdrawn", t, m, now-observed.reportedAt)
	}
}

// RecordTaskEnd notes that a task is on a machine no more; done tells how it ended.
func (r *RuleChecker) RecordTaskEnd(t protocol.Task, done bool) {
	r.runCounts[t]--
	if done {
		r.job(t.Job).completedTasks[t.Index] = true
	}
}

// CheckTimeouts checks what only time shows.
func (r *RuleChecker) CheckTimeouts(now time.Duration) {
	for t, n := range r.runCounts {
		observed := r.job(t.Job)
		if n > 0 && observed.reportedState == protocol.JobCancelled && now > observed.reportedAt+r.CancelTimeout {
			r.recordViolation("ran_cancelled", "%s is still on %s", t, r.locations[t].machine)
			observed.reportedAt = now // once each time
		}
	}
	for t, p := range r.lingering {
		if observed := r.job(t.Job); observed.reportedState == protocol.JobCancelled && now > observed.reportedAt+r.CancelTimeout {
			r.recordViolation("ran_cancelled", "%s hangs on %s", t, p.machine)
			delete(r.lingering, t)
		}
	}
	for id, observed := range r.jobs {
		if r.FaultsEndedAt > 0 && observed.accepted && !observed.cancelRequested && observed.unansweredSince > 0 && now-max(observed.unansweredSince, r.FaultsEndedAt) > maxUnanswered {
			r.recordViolation("forgotten", "no question about %s is answered for %v", id, maxUnanswered)
			observed.unansweredSince = now
		}
	}
}

// runningReplicas counts the replicas of a daemon that are on a machine.
func (r *RuleChecker) runningReplicas(id protocol.JobID, job *protocol.Job) (n int) {
	for index := range job.TaskCount {
		if r.runCounts[protocol.Task{Job: id, Index: index}] > 0 {
			n++
		}
	}
	return n
}

// WaitTimes lists how long the jobs that began waited for their first task, of those that keep
// says to count.
func (r *RuleChecker) WaitTimes(include func(*protocol.Job) bool) (waits []time.Duration) {
	for _, observed := range r.jobs {
		if observed.spec != nil && observed.firstTaskAt > 0 && include(observed.spec) {
			waits = append(waits, observed.firstTaskAt-observed.submittedAt)
		}
	}
	slices.Sort(waits)
	return waits
}

// RecordPlaceable notes whether there is room, now, for some of what waits of a job.
func (r *RuleChecker) RecordPlaceable(now time.Duration, id protocol.JobID, placeable bool) {
	observed := r.job(id)
	switch {
	case !placeable || !observed.accepted || observed.cancelRequested || observed.reportedState.IsTerminal():
		observed.placeableSince = 0
	case observed.placeableSince == 0:
		observed.placeableSince = now
	case r.FaultsEndedAt > 0 && now-max(observed.placeableSince, r.FaultsEndedAt) > maxWait:
		r.recordViolation("left_waiting", "%s has waited %v though there is room", id, now-observed.placeableSince)
		observed.placeableSince = now
	}
}

// Bounds of the added rules.
const (
	maxWait       = 90 * time.Second // so long may a job wait in calm times while a machine that fits has room
	maxUnanswered = 75 * time.Second // so long may all questions about a job go unanswered in calm times
	maxStartDelay = 4 * time.Minute  // by then the largest jobs of a class have begun
)

// CheckFinal checks the whole day.
func (r *RuleChecker) CheckFinal(now time.Duration) {
	if r.TasksStarted == 0 {
		r.recordViolation("nothing_ran", "no task was started")
	}
	size := func(observed *observedJob) float64 {
		return float64(observed.spec.TaskCount) * max(observed.spec.Cores, 1e-9)
	}
	largest := map[string]float64{}
	for _, observed := range r.jobs {
		if observed.accepted && observed.spec != nil && !observed.cancelRequested {
			largest[observed.spec.Class] = max(largest[observed.spec.Class], size(observed))
		}
	}
	type serviceCount struct{ all, served int }
	groups := map[string]*serviceCount{}
	for id, observed := range r.jobs {
		if !observed.accepted || observed.spec == nil || observed.cancelRequested {
			continue
		}
		names := []string{"class " + observed.spec.Class, "team " + observed.spec.Team}
		if size(observed) >= largest[observed.spec.Class] {
			names = append(names, "the largest of class "+observed.spec.Class)
			if late := observed.firstTaskAt == 0 || observed.firstTaskAt-observed.submittedAt > maxStartDelay; late && now-observed.submittedAt > maxStartDelay {
				r.recordViolation("unserved", "%s is among the largest of its class and had not begun after %v", id, maxStartDelay)
			}
		}
		for _, n := range names {
			if groups[n] == nil {
				groups[n] = &serviceCount{}
			}
			groups[n].all++
			if len(observed.completedTasks) >= observed.spec.TaskCount || observed.spec.IsService() && r.runningReplicas(id, observed.spec) == observed.spec.TaskCount {
				groups[n].served++
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(groups)) {
		if g := groups[n]; 2*g.served < g.all {
			r.recordViolation("unserved", "%s: %d of %d jobs", n, g.served, g.all)
		}
	}
}
