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

// RuleChecker checks the rules of the users' protocol document and some additional rules. It uses only
// the replies to users and the tasks on the machines, and does not depend on how controllers work.
type RuleChecker struct {
	CancelTimeout time.Duration      // time within which the tasks of a cancelled job must end
	QuotaLimits   map[string]float64 // cores that each team may use; 0 means no limit
	FaultsEndedAt time.Duration      // 0 while there are faults; rules for times without faults do not apply then
	Violations    []string
	TasksStarted  int

	jobs           map[protocol.JobID]*observedJob
	locations      map[protocol.Task]location // where each task was last started
	runCounts      map[protocol.Task]int      // number of machines on which each task runs
	commandSenders map[machineEpoch]string    // process whose commands a machine has accepted in an epoch
	lingeringTasks map[protocol.Task]location // tasks recorded by Machine.recordLingeringTasks
}

// machineEpoch identifies a machine in one epoch of its shard.
type machineEpoch struct {
	machine protocol.MachineID
	epoch   storage.ShardEpoch
}

// location is the machine and the zone in which a task runs.
type location struct {
	machine protocol.MachineID
	zone    protocol.Zone
}

// observedJob holds what users and machines have observed of a job. A time of 0 means that the
// event has not happened or the condition does not hold.
type observedJob struct {
	spec            *protocol.Job // nil if the job was only submitted as an invalid one
	submitted       bool
	submittedAt     time.Duration
	isInvalid       bool // the job can never run or lacks a field
	accepted        bool
	cancelRequested bool // its user has requested the cancellation
	reportedState   protocol.JobState
	reportedAt      time.Duration
	completedTasks  map[int]bool
	firstTaskAt     time.Duration // when the job's first task started
	placeableSince  time.Duration // when capacity for the pending tasks became free
	unansweredSince time.Duration // when the first request after the last reply was sent
}

// NewRuleChecker returns a checker for an empty deployment.
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

// RecordCommand records that an agent has accepted commands with a fencing token from a process.
// It checks that all commands of one epoch come from the same process.
func (r *RuleChecker) RecordCommand(machine protocol.MachineID, token protocol.FencingToken, process string) {
	epoch := machineEpoch{machine: machine, epoch: storage.ShardEpochOf(token)}
	if other, ok := r.commandSenders[epoch]; ok && other != process {
		r.recordViolation("two_commanders", "%s accepts commands from %s and from %s in epoch %d", machine, other, process, epoch.epoch)
	}
	r.commandSenders[epoch] = process
}

// RecordSubmission records that a user submits a job.
func (r *RuleChecker) RecordSubmission(now time.Duration, job *protocol.Job) {
	observed := r.job(job.ID)
	observed.spec, observed.submitted, observed.submittedAt = job, true, now
}

// RecordRequest records that a user sends a request about a job.
func (r *RuleChecker) RecordRequest(now time.Duration, id protocol.JobID) {
	if observed := r.job(id); observed.unansweredSince == 0 {
		observed.unansweredSince = max(now, 1)
	}
}

// RecordCancelRequest records that a user requests the cancellation of a job.
func (r *RuleChecker) RecordCancelRequest(id protocol.JobID) { r.job(id).cancelRequested = true }

// RecordReply records a reply to a user and checks it against the earlier replies. sentAt is when
// the request was sent: a request that was in flight when another one got its reply may return
// the older state.
func (r *RuleChecker) RecordReply(now, sentAt time.Duration, requestType protocol.RequestType, id protocol.JobID, status int, state protocol.JobState) {
	observed := r.job(id)
	switch {
	case observed.accepted && (status == http.StatusNotFound || requestType == protocol.RequestSubmit && isRejection(status)):
		r.recordViolation("forgotten", "accepted job %s is answered with status %d", id, status)
	case status != http.StatusOK && status != http.StatusCreated:
		return
	case !observed.submitted:
		r.recordViolation("invented", "job %s is reported, but was never submitted", id)
	}
	if observed.isInvalid {
		r.recordViolation("accepted", "job %s, which is invalid or can never run, is accepted", id)
	}
	observed.accepted = true
	observed.unansweredSince = 0
	r.checkReportedState(id, observed, sentAt, state)
	if state.IsTerminal() && !observed.reportedState.IsTerminal() {
		observed.reportedState, observed.reportedAt = state, now
	}
}

// checkReportedState checks a job's state in a reply against the completed tasks, the requests of the
// user and the states of earlier replies.
func (r *RuleChecker) checkReportedState(id protocol.JobID, observed *observedJob, sentAt time.Duration, state protocol.JobState) {
	canBeDone := observed.spec != nil && !observed.spec.IsService() && len(observed.completedTasks) >= observed.spec.TaskCount
	if state == protocol.JobDone && !canBeDone {
		r.recordViolation("not_done", "job %s is reported done with %d completed tasks", id, len(observed.completedTasks))
	}
	wasInFlight := sentAt < observed.reportedAt
	if observed.reportedState.IsTerminal() && state != observed.reportedState && (!wasInFlight || state.IsTerminal()) {
		r.recordViolation("went_back", "job %s was reported %s and is now reported %s", id, observed.reportedState, state)
	}
	if state == protocol.JobCancelled && !observed.cancelRequested {
		r.recordViolation("went_back", "job %s is reported cancelled, but its user requested no cancellation", id)
	}
}

// RecordTaskStart records that a task has started on a machine and checks that it may run there.
func (r *RuleChecker) RecordTaskStart(now time.Duration, task protocol.Task, machine protocol.MachineID, machineType protocol.MachineTypeName, zone protocol.Zone, spot bool) {
	r.TasksStarted++
	observed := r.job(task.Job)
	if observed.firstTaskAt == 0 {
		observed.firstTaskAt = max(now, 1)
	}
	if r.runCounts[task] > 0 {
		r.recordViolation("ran_twice", "task %s starts on %s while it runs on %s", task, machine, r.locations[task].machine)
	}
	r.runCounts[task]++
	r.locations[task] = location{machine: machine, zone: zone}
	if observed.spec == nil {
		r.recordViolation("wrong_place", "the job of task %s was never submitted", task)
		return
	}
	if !observed.spec.AllowsPlacement(machineType, zone) || spot && !observed.spec.AllowSpot {
		r.recordViolation("wrong_place", "task %s starts on machine type %s in zone %s with spot %v, which its job does not allow", task, machineType, zone, spot)
	}
	r.checkZonesAndQuota(task, observed.spec, zone)
	if observed.reportedState == protocol.JobCancelled {
		r.recordViolation("ran_cancelled", "task %s starts on %s %v after its job was reported cancelled", task, machine, now-observed.reportedAt)
	}
}

// checkZonesAndQuota checks the zone constraints of a started task's job and the quota of its
// team, together with all other running tasks.
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
		r.recordViolation("wrong_place", "task %s of a single-zone job starts in zone %s while other tasks run in other zones", task, zone)
	}
	if spec.SpreadZones && sameZone > (spec.TaskCount+1)/2 {
		r.recordViolation("wrong_place", "%d tasks of job %s, which spreads over zones, run in zone %s", sameZone, task.Job, zone)
	}
	if limit := r.QuotaLimits[spec.Team]; limit > 0 && cores > limit+1e-6 {
		r.recordViolation("quota", "team %s uses %v cores, more than its quota of %v", spec.Team, cores, limit)
	}
}

// RecordTaskEnd records that a task no longer runs on a machine, and whether it is completed.
func (r *RuleChecker) RecordTaskEnd(task protocol.Task, isCompleted bool) {
	r.runCounts[task]--
	if isCompleted {
		r.job(task.Job).completedTasks[task.Index] = true
	}
}

// CheckTimeouts checks the rules that are violated when something does not happen in time.
func (r *RuleChecker) CheckTimeouts(now time.Duration) {
	for task, runCount := range r.runCounts {
		observed := r.job(task.Job)
		if runCount > 0 && observed.reportedState == protocol.JobCancelled && now > observed.reportedAt+r.CancelTimeout {
			r.recordViolation("ran_cancelled", "task %s still runs on %s after its job was reported cancelled", task, r.locations[task].machine)
			observed.reportedAt = now // so that one violation is recorded for each timeout
		}
	}
	for task, place := range r.lingeringTasks {
		if observed := r.job(task.Job); observed.reportedState == protocol.JobCancelled && now > observed.reportedAt+r.CancelTimeout {
			r.recordViolation("ran_cancelled", "task %s is still on the hung machine %s after its job was reported cancelled", task, place.machine)
			delete(r.lingeringTasks, task)
		}
	}
	for id, observed := range r.jobs {
		mustBeAnswered := r.FaultsEndedAt > 0 && observed.accepted && !observed.cancelRequested && observed.unansweredSince > 0
		if mustBeAnswered && now-max(observed.unansweredSince, r.FaultsEndedAt) > maxUnansweredTime {
			r.recordViolation("forgotten", "no request about job %s was answered for %v", id, maxUnansweredTime)
			observed.unansweredSince = now
		}
	}
}

// runningReplicaCount returns the number of running replicas of a service.
func (r *RuleChecker) runningReplicaCount(id protocol.JobID, job *protocol.Job) (count int) {
	for index := range job.TaskCount {
		if r.runCounts[protocol.Task{Job: id, Index: index}] > 0 {
			count++
		}
	}
	return count
}

// WaitTimes returns the times, in ascending order, that jobs waited from their submission to the
// start of their first task. It covers the started jobs for which include returns true.
func (r *RuleChecker) WaitTimes(include func(*protocol.Job) bool) (waits []time.Duration) {
	for _, observed := range r.jobs {
		if observed.spec != nil && observed.firstTaskAt > 0 && include(observed.spec) {
			waits = append(waits, observed.firstTaskAt-observed.submittedAt)
		}
	}
	slices.Sort(waits)
	return waits
}

// RecordPlaceable records whether there is capacity for some of a job's pending tasks at the
// given time, and checks how long such tasks have been pending.
func (r *RuleChecker) RecordPlaceable(now time.Duration, id protocol.JobID, placeable bool) {
	observed := r.job(id)
	switch {
	case !placeable || !observed.accepted || observed.cancelRequested || observed.reportedState.IsTerminal():
		observed.placeableSince = 0
	case observed.placeableSince == 0:
		observed.placeableSince = now
	case r.FaultsEndedAt > 0 && now-max(observed.placeableSince, r.FaultsEndedAt) > maxPlaceableWait:
		r.recordViolation("left_waiting", "job %s has been pending %v though capacity is free", id, now-observed.placeableSince)
		observed.placeableSince = now
	}
}

// Time limits of the additional rules, which the users' protocol document does not have.
const (
	maxPlaceableWait  = 90 * time.Second // time without faults that a job may be pending though capacity is free
	maxUnansweredTime = 75 * time.Second // time without faults for which all requests about a job may get no reply
	maxStartDelay     = 4 * time.Minute  // time within which the largest jobs of a class must start
)

// jobGroupCounts holds the number of jobs in a group, and how many of them were served.
type jobGroupCounts struct{ total, served int }

// totalRequestedCores returns the number of cores that all tasks of a job request together. It is
// greater than 0 also for a job that requests no cores.
func totalRequestedCores(job *protocol.Job) float64 {
	return float64(job.TaskCount) * max(job.Cores, 1e-9)
}

// mustBeServed reports whether the rules on starvation apply to a job.
func (j *observedJob) mustBeServed() bool {
	return j.accepted && j.spec != nil && !j.cancelRequested
}

// isServed reports whether all tasks of a job are completed, or all replicas of a service run.
func (r *RuleChecker) isServed(id protocol.JobID, observed *observedJob) bool {
	if len(observed.completedTasks) >= observed.spec.TaskCount {
		return true
	}
	return observed.spec.IsService() && r.runningReplicaCount(id, observed.spec) == observed.spec.TaskCount
}

// CheckFinal checks the rules that can only be checked at the end: that at least one task was
// started, that the largest jobs of each class started in time, and that at least half of the
// jobs of each class, of each team and of the largest jobs of each class were served.
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
			r.recordViolation("unserved", "%s: %d of %d jobs were served, want at least half", name, group.served, group.total)
		}
	}
}

func (r *RuleChecker) checkStartDelay(now time.Duration, id protocol.JobID, observed *observedJob) {
	startedInTime := observed.firstTaskAt != 0 && observed.firstTaskAt-observed.submittedAt <= maxStartDelay
	if !startedInTime && now-observed.submittedAt > maxStartDelay {
		r.recordViolation("unserved", "job %s is among the largest of its class and had not started after %v", id, maxStartDelay)
	}
}
