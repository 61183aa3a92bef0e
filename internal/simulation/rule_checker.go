package simulation

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// RuleChecker checks the Rules of PROTOCOL, and some of its own, by what users are told and
// what is on the machines. It knows nothing of how controllers work.
type RuleChecker struct {
	CancelTimeout time.Duration      // within it tasks of a cancelled job must be gone
	QuotaLimits   map[string]float64 // cores a team may use; 0: no limit
	FaultsEndedAt time.Duration      // 0: faults go on, and rules of calm times do not apply
	Violations    []string
	TasksStarted  int

	jobs           map[protocol.JobID]*observedJob
	locations      map[protocol.Task]location // where a task was started last
	runCounts      map[protocol.Task]int      // on how many machines it runs
	commandSenders map[machineEpoch]string    // process whose commands a machine has accepted
	lingeringTasks map[protocol.Task]location // see Machine.recordLingeringTasks
}

// machineEpoch is a machine under one epoch of its shard.
type machineEpoch struct {
	machine protocol.MachineID
	epoch   storage.ShardEpoch
}

// location is where a task runs.
type location struct {
	machine protocol.MachineID
	zone    protocol.Zone
}

// observedJob is what users and machines have seen of a job. Times of 0 mean never, or not now.
type observedJob struct {
	spec            *protocol.Job // nil if it was submitted as invalid only
	submitted       bool
	submittedAt     time.Duration
	isInvalid       bool // it can never run or lacks a field
	accepted        bool
	cancelRequested bool // by its user
	reportedState   protocol.JobState
	reportedAt      time.Duration
	completedTasks  map[int]bool
	firstTaskAt     time.Duration // when its first task ran
	placeableSince  time.Duration // since when there has been capacity for pending tasks
	unansweredSince time.Duration // of the first request since the last reply
}

// NewRuleChecker makes a checker of an empty deployment.
func NewRuleChecker(cancelTimeout time.Duration) *RuleChecker {
	return &RuleChecker{
		CancelTimeout:  cancelTimeout,
		QuotaLimits:    map[string]float64{},
		jobs:           map[protocol.JobID]*observedJob{},
		locations:      map[protocol.Task]location{},
		runCounts:      map[protocol.Task]int{},
		commandSenders: map[machineEpoch]string{},
		lingeringTasks: map[protocol.Task]location{},
	}
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

// RecordCommand notes from which process an agent has accepted commands under a token: in one
// epoch there may be only one.
func (r *RuleChecker) RecordCommand(machine protocol.MachineID, token protocol.FencingToken, controller string) {
	epoch := machineEpoch{machine: machine, epoch: storage.ShardEpochOf(token)}
	if other, ok := r.commandSenders[epoch]; ok && other != controller {
		r.recordViolation("two_commanders", "%s accepts commands from %s and from %s in epoch %d", machine, other, controller, epoch.epoch)
	}
	r.commandSenders[epoch] = controller
}

// RecordSubmission notes that a user submits a job.
func (r *RuleChecker) RecordSubmission(now time.Duration, job *protocol.Job) {
	observed := r.job(job.ID)
	observed.spec, observed.submitted, observed.submittedAt = job, true, now
}

// RecordRequest notes that a user sends a request about a job.
func (r *RuleChecker) RecordRequest(now time.Duration, id protocol.JobID) {
	if observed := r.job(id); observed.unansweredSince == 0 {
		observed.unansweredSince = max(now, 1)
	}
}

// RecordCancelRequest notes that a user asks to cancel a job.
func (r *RuleChecker) RecordCancelRequest(id protocol.JobID) { r.job(id).cancelRequested = true }

// RecordReply notes a reply to a user, and when its request was sent: a request that was in
// flight when another got its reply may get the older state.
func (r *RuleChecker) RecordReply(now, sentAt time.Duration, requestType protocol.RequestType, id protocol.JobID, status int, state protocol.JobState) {
	observed := r.job(id)
	switch {
	case observed.accepted && (status == http.StatusNotFound || requestType == protocol.RequestSubmit && isRejection(status)):
		r.recordViolation("forgotten", "%s is answered %d", id, status)
	case status != http.StatusOK && status != http.StatusCreated:
		return
	case !observed.submitted:
		r.recordViolation("invented", "%s", id)
	}
	if observed.isInvalid {
		r.recordViolation("accepted", "%s, which is invalid or can never run", id)
	}
	observed.accepted = true
	observed.unansweredSince = 0
	r.checkReportedState(id, observed, sentAt, state)
	if state.IsTerminal() && !observed.reportedState.IsTerminal() {
		observed.reportedState, observed.reportedAt = state, now
	}
}

// checkReportedState checks a state that a user is told against the states told before.
func (r *RuleChecker) checkReportedState(id protocol.JobID, observed *observedJob, sentAt time.Duration, state protocol.JobState) {
	canBeDone := observed.spec != nil && !observed.spec.IsService() && len(observed.completedTasks) >= observed.spec.TaskCount
	if state == protocol.JobDone && !canBeDone {
		r.recordViolation("not_done", "%s with %d tasks done", id, len(observed.completedTasks))
	}
	wasInFlight := sentAt < observed.reportedAt
	if observed.reportedState.IsTerminal() && state != observed.reportedState && (!wasInFlight || state.IsTerminal()) {
		r.recordViolation("went_back", "%s was reported %s, now %s", id, observed.reportedState, state)
	}
	if state == protocol.JobCancelled && !observed.cancelRequested {
		r.recordViolation("went_back", "%s is reported cancelled, which nobody requested", id)
	}
}

// RecordTaskStart notes that a task runs on a machine from now on.
func (r *RuleChecker) RecordTaskStart(now time.Duration, task protocol.Task, machine protocol.MachineID, machineType protocol.MachineTypeName, zone protocol.Zone, spot bool) {
	r.TasksStarted++
	observed := r.job(task.Job)
	if observed.firstTaskAt == 0 {
		observed.firstTaskAt = max(now, 1)
	}
	if r.runCounts[task] > 0 {
		r.recordViolation("ran_twice", "%s on %s while on %s", task, machine, r.locations[task].machine)
	}
	r.runCounts[task]++
	r.locations[task] = location{machine: machine, zone: zone}
	if observed.spec == nil {
		r.recordViolation("wrong_place", "%s was never submitted", task)
		return
	}
	if !observed.spec.AllowsPlacement(machineType, zone) || spot && !observed.spec.AllowSpot {
		r.recordViolation("wrong_place", "%s on %s in %s, spot %v", task, machineType, zone, spot)
	}
	r.checkZonesAndQuota(task, observed.spec, zone)
	if observed.reportedState == protocol.JobCancelled {
		r.recordViolation("ran_cancelled", "%s starts on %s %v after its job was reported cancelled", task, machine, now-observed.reportedAt)
	}
}

// checkZonesAndQuota checks a task that has just started together with all others that run.
func (r *RuleChecker) checkZonesAndQuota(task protocol.Task, spec *protocol.Job, zone protocol.Zone) {
	sameZone, otherZones, cores := 0, 0, 0.0
	for other, place := range r.locations {
		if r.runCounts[other] == 0 {
			continue
		}
		if other.Job == task.Job {
			if place.zone == zone {
				sameZone++
			} else {
				otherZones++
			}
		}
		if job := r.job(other.Job).spec; job != nil && job.Team == spec.Team {
			cores += job.Cores
		}
	}
	if spec.SingleZone && otherZones > 0 {
		r.recordViolation("wrong_place", "%s in %s, others are elsewhere", task, zone)
	}
	if spec.SpreadZones && sameZone > (spec.TaskCount+1)/2 {
		r.recordViolation("wrong_place", "%d tasks of %s in %s", sameZone, task.Job, zone)
	}
	if limit := r.QuotaLimits[spec.Team]; limit > 0 && cores > limit+1e-6 {
		r.recordViolation("quota", "%s uses %v of %v cores", spec.Team, cores, limit)
	}
}

// RecordTaskEnd notes that a task no longer runs on a machine.
func (r *RuleChecker) RecordTaskEnd(task protocol.Task, done bool) {
	r.runCounts[task]--
	if done {
		r.job(task.Job).completedTasks[task.Index] = true
	}
}

// CheckTimeouts checks the rules that are broken by nothing happening.
func (r *RuleChecker) CheckTimeouts(now time.Duration) {
	for task, runCount := range r.runCounts {
		observed := r.job(task.Job)
		if runCount > 0 && observed.reportedState == protocol.JobCancelled && now > observed.reportedAt+r.CancelTimeout {
			r.recordViolation("ran_cancelled", "%s is still on %s", task, r.locations[task].machine)
			observed.reportedAt = now // counts once for each timeout
		}
	}
	for task, place := range r.lingeringTasks {
		if observed := r.job(task.Job); observed.reportedState == protocol.JobCancelled && now > observed.reportedAt+r.CancelTimeout {
			r.recordViolation("ran_cancelled", "%s hangs on %s", task, place.machine)
			delete(r.lingeringTasks, task)
		}
	}
	for id, observed := range r.jobs {
		mustBeAnswered := r.FaultsEndedAt > 0 && observed.accepted && !observed.cancelRequested && observed.unansweredSince > 0
		if mustBeAnswered && now-max(observed.unansweredSince, r.FaultsEndedAt) > maxUnansweredTime {
			r.recordViolation("forgotten", "no request about %s was answered for %v", id, maxUnansweredTime)
			observed.unansweredSince = now
		}
	}
}

// runningReplicas counts the replicas of a service that run.
func (r *RuleChecker) runningReplicas(id protocol.JobID, job *protocol.Job) (count int) {
	for index := range job.TaskCount {
		if r.runCounts[protocol.Task{Job: id, Index: index}] > 0 {
			count++
		}
	}
	return count
}

// WaitTimes lists how long jobs waited for their first task, of those that have started and
// that include selects. It is sorted.
func (r *RuleChecker) WaitTimes(include func(*protocol.Job) bool) (waits []time.Duration) {
	for _, observed := range r.jobs {
		if observed.spec != nil && observed.firstTaskAt > 0 && include(observed.spec) {
			waits = append(waits, observed.firstTaskAt-observed.submittedAt)
		}
	}
	slices.Sort(waits)
	return waits
}

// RecordPlaceable notes whether there is capacity, now, for some of a job's pending tasks.
func (r *RuleChecker) RecordPlaceable(now time.Duration, id protocol.JobID, placeable bool) {
	observed := r.job(id)
	switch {
	case !placeable || !observed.accepted || observed.cancelRequested || observed.reportedState.IsTerminal():
		observed.placeableSince = 0
	case observed.placeableSince == 0:
		observed.placeableSince = now
	case r.FaultsEndedAt > 0 && now-max(observed.placeableSince, r.FaultsEndedAt) > maxPlaceableWait:
		r.recordViolation("left_waiting", "%s has been pending %v though capacity is free", id, now-observed.placeableSince)
		observed.placeableSince = now
	}
}

// Bounds of the rules that PROTOCOL does not have.
const (
	maxPlaceableWait  = 90 * time.Second // for a job to be pending in calm times though capacity is free
	maxUnansweredTime = 75 * time.Second // for all requests about a job to get no reply in calm times
	maxStartDelay     = 4 * time.Minute  // for the largest jobs of a class to start
)

// jobGroupCounts is how many jobs of a group there are, and how many were served.
type jobGroupCounts struct{ total, served int }

// totalRequestedCores is what a job asks for in all. It is never 0.
func totalRequestedCores(job *protocol.Job) float64 {
	return float64(job.TaskCount) * max(job.Cores, 1e-9)
}

// mustBeServed reports whether a job counts for the rules on starvation.
func (j *observedJob) mustBeServed() bool {
	return j.accepted && j.spec != nil && !j.cancelRequested
}

// isServed reports whether all of a job's tasks are done, or all replicas run.
func (r *RuleChecker) isServed(id protocol.JobID, observed *observedJob) bool {
	if len(observed.completedTasks) >= observed.spec.TaskCount {
		return true
	}
	return observed.spec.IsService() && r.runningReplicas(id, observed.spec) == observed.spec.TaskCount
}

// CheckFinal checks what can be said at the end only: that anything ran at all, that the
// largest jobs of each class started in time, and that at least half of the jobs of each
// class, of each team and of the largest of each class were served.
func (r *RuleChecker) CheckFinal(now time.Duration) {
	if r.TasksStarted == 0 {
		r.recordViolation("nothing_ran", "no task was started")
	}
	largest := map[string]float64{}
	for _, observed := range r.jobs {
		if observed.mustBeServed() {
			class := observed.spec.Class
			largest[class] = max(largest[class], totalRequestedCores(observed.spec))
		}
	}
	groups := map[string]*jobGroupCounts{}
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		observed := r.jobs[id]
		if !observed.mustBeServed() {
			continue
		}
		names := []string{"class " + observed.spec.Class, "team " + observed.spec.Team}
		if totalRequestedCores(observed.spec) >= largest[observed.spec.Class] {
			names = append(names, "the largest of class "+observed.spec.Class)
			r.checkStartDelay(now, id, observed)
		}
		served := r.isServed(id, observed)
		for _, name := range names {
			if groups[name] == nil {
				groups[name] = &jobGroupCounts{}
			}
			groups[name].total++
			if served {
				groups[name].served++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if group := groups[name]; 2*group.served < group.total {
			r.recordViolation("unserved", "%s: %d of %d jobs", name, group.served, group.total)
		}
	}
}

func (r *RuleChecker) checkStartDelay(now time.Duration, id protocol.JobID, observed *observedJob) {
	startedInTime := observed.firstTaskAt != 0 && observed.firstTaskAt-observed.submittedAt <= maxStartDelay
	if !startedInTime && now-observed.submittedAt > maxStartDelay {
		r.recordViolation("unserved", "%s is among the largest of its class and had not started after %v", id, maxStartDelay)
	}
}
