package scheduling

import (
	"math"
	"sort"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

const (
	// guaranteedPrecedence ranks jobs of teams within their guarantee before every priority.
	guaranteedPrecedence = -1
	// startLeadFactor is the multiple of the minimum run time of a job's tasks that is set aside for them
	// if a late end would miss an objective.
	startLeadFactor = 3
	// defaultDueAfter is the time from the submission until the due time of a job that has no objective or
	// has missed all of them.
	defaultDueAfter protocol.Millis = 600_000
	// promotionDivisor determines when a job of low priority is served like the next higher priority: during
	// the last 1/promotionDivisor of the time within which the tasks of the job should start.
	promotionDivisor = 3
	// longRunningFactor is the multiple of the aging threshold for which an array must have been unfinished
	// before a part of the fleet goes to it first.
	longRunningFactor = 2
	// estimateErrorFactor is the factor by which estimated run times are often too long.
	estimateErrorFactor = 2
	// expediteSlackIntervals is the slack, in heartbeat intervals, below which a job's tasks cannot wait for
	// the next heartbeat of their machines.
	expediteSlackIntervals = 2
)

// Queue orders unfinished jobs by precedence.
type Queue struct {
	*step.Context

	catalog *catalog.Catalog
}

// ListPendingJobs returns the unfinished jobs in the order in which they are served.
func (q *Queue) ListPendingJobs(batch *commit.Batch, candidates []*Candidate) []*PendingJob {
	byID := map[protocol.JobID]*PendingJob{}
	var jobs []*PendingJob
	for id := range q.Replica.UnfinishedJobs {
		if job := q.newPendingJob(batch, id); job != nil {
			byID[id] = job
			jobs = append(jobs, job)
		}
	}
	countPlacedTasks(byID, candidates)
	for _, job := range jobs {
		q.classifyByAge(job)
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].isServedBefore(jobs[j]) })
	return jobs
}

// newPendingJob returns the queue's entry for a job, or nil if no task of the job is to be placed.
func (q *Queue) newPendingJob(batch *commit.Batch, id protocol.JobID) *PendingJob {
	record := batch.JobRecord(id)
	if record.State.IsTerminal() || record.CancelRequested || record.Spec == nil {
		return nil
	}
	precedence := q.precedenceOf(record.Spec)
	job := &PendingJob{
		id:            id,
		record:        record,
		queuePosition: queuePosition{precedence: precedence, queuePrecedence: precedence},
		placementProgress: placementProgress{
			completedTaskCount: batch.CompletedTasks(id).Len(),
			tasksByZone:        map[protocol.Zone]int{},
		},
	}
	q.computeDeadlines(job)
	job.isUrgent = q.needsWarmCapacity(job)
	return job
}

// countPlacedTasks counts for each job the tasks that the records assign to machines.
func countPlacedTasks(byID map[protocol.JobID]*PendingJob, candidates []*Candidate) {
	for _, machine := range candidates {
		for i := range machine.allocations {
			alloc := &machine.allocations[i]
			if job := byID[alloc.job]; job != nil {
				job.placedTasks += alloc.count
				job.tasksByZone[machine.record.Zone] += alloc.count
			}
		}
	}
}

// classifyByAge determines whether a job is starved or long-running.
func (q *Queue) classifyByAge(job *PendingJob) {
	waitingTime := step.MillisToDuration(q.Now.Wall - job.record.SubmittedAt)
	hasBegun := job.placedTasks > 0 || job.completedTaskCount > 0
	job.isStarved = waitingTime > q.Config.AgingThreshold && !hasBegun
	isArray := job.record.Spec.Kind == protocol.KindArray
	job.isLongRunning = waitingTime > longRunningFactor*q.Config.AgingThreshold && !job.isStarved && isArray
}

// precedenceOf returns the rank of a job by its priority and its team's guarantee. A job of smaller
// precedence is served first and may preempt jobs of larger precedence. Jobs of a team within its
// guarantee precede all others.
func (q *Queue) precedenceOf(spec *protocol.Job) int {
	if q.isWithinGuarantee(spec.Team) {
		return guaranteedPrecedence
	}
	return spec.Priority.Precedence()
}

// isWithinGuarantee reports whether a team's unfinished jobs fit within its guarantee. With only one team,
// a guarantee has no effect.
func (q *Queue) isWithinGuarantee(team string) bool {
	quota := q.Config.Quotas[team]
	hasGuarantee := quota.GuaranteedCores > 0 || quota.GuaranteedAccelerators > 0
	if !hasGuarantee || len(q.Config.Quotas) < 2 {
		return false
	}
	cores, accelerators := 0.0, 0.0
	for id, entry := range q.Replica.UnfinishedJobs {
		if spec := entry.Record.Spec; spec.Team == team {
			remainingTasks := float64(spec.TaskCount - q.Replica.CompletedTasks(id).Len())
			cores += remainingTasks * spec.Cores
			accelerators += remainingTasks * spec.Accelerators
		}
	}
	return cores <= quota.GuaranteedCores+catalog.Epsilon &&
		accelerators <= quota.GuaranteedAccelerators+catalog.Epsilon
}

// computeDeadlines sets the due time and the latest start of a job, by the first objective of its class,
// or of its own deadline, that can still be met. A job that has missed all objectives is served last
// within its precedence. A job of low priority whose tasks should start soon is served like the next
// higher priority. It preempts no tasks for that, but gets some of the capacity that becomes free.
func (q *Queue) computeDeadlines(job *PendingJob) {
	spec, submittedAt := job.record.Spec, job.record.SubmittedAt
	if spec.IsService() {
		// No replica can wait, whether or not the objectives of the first replicas were met.
		job.dueAt, job.latestStart, job.initialLatestStart = submittedAt, q.Now.Wall, submittedAt
		return
	}
	objectives := q.Config.Objectives[spec.Class]
	job.dueAt, job.isLate = submittedAt+defaultDueAfter, true
	job.latestStart, job.initialLatestStart = job.dueAt, job.dueAt
	for _, target := range objectives.StartWithin {
		q.applyObjective(job, target, 0)
		q.promoteNearStart(job, target)
	}
	minRuntime := protocol.Seconds(spec.EstimatedRunSeconds / estimateErrorFactor)
	for _, target := range objectives.FinishWithin {
		q.applyObjective(job, target, minRuntime)
	}
	if spec.DeadlineSeconds != nil {
		q.applyObjective(job, protocol.Seconds(*spec.DeadlineSeconds), minRuntime)
		for _, multiple := range objectives.DeadlineFactors {
			q.applyObjective(job, protocol.Seconds(*spec.DeadlineSeconds*multiple), minRuntime)
		}
	}
	hasObjective := len(objectives.StartWithin)+len(objectives.FinishWithin) > 0 || spec.DeadlineSeconds != nil
	if !hasObjective {
		job.isLate = false
	}
}

// applyObjective applies an objective that the job has to meet within target of its submission. The
// job's tasks have to run for leadTime before that.
func (q *Queue) applyObjective(job *PendingJob, target, leadTime time.Duration) {
	leadMillis := protocol.Millis(leadTime.Milliseconds())
	dueAt := job.record.SubmittedAt + protocol.Millis(target.Milliseconds())
	latestStart := dueAt - startLeadFactor*leadMillis
	job.initialLatestStart = min(job.initialLatestStart, latestStart)
	if q.Now.Wall < latestStart {
		job.latestStart = min(job.latestStart, latestStart)
	}
	canBeMet := q.Now.Wall+leadMillis <= dueAt
	if canBeMet && (job.isLate || dueAt < job.dueAt) {
		job.dueAt, job.isLate = dueAt, false
	}
}

// promoteNearStart serves a job like the next higher priority while little is left of the time within
// which its tasks should start. It promotes no job to the highest priority, which is 0.
func (q *Queue) promoteNearStart(job *PendingJob, target time.Duration) {
	startWithin := protocol.Millis(target.Milliseconds())
	remainingMillis := job.record.SubmittedAt + startWithin - q.Now.Wall
	if job.queuePrecedence > 1 && remainingMillis > 0 && promotionDivisor*remainingMillis < startWithin {
		job.queuePrecedence--
	}
}

// shouldExpediteHeartbeats reports whether a job's tasks have to start before all machines send a heartbeat
// by themselves.
func (q *Queue) shouldExpediteHeartbeats(job *PendingJob) bool {
	return !job.isLate && job.timeUntilLatestStart(q.Now) < expediteSlackIntervals*q.Config.HeartbeatInterval
}

// needsWarmCapacity reports whether a job's tasks have to start sooner than machines that are provisioned
// for them can be relied on.
func (q *Queue) needsWarmCapacity(job *PendingJob) bool {
	slack := step.MillisToDuration(job.initialLatestStart - job.record.SubmittedAt)
	provisioningTime := q.catalog.ProvisioningTime(job.record.Spec)
	return slack < time.Duration(q.Config.IdleTimeoutFactor*float64(provisioningTime))
}

// quotaHeadroom returns how many more tasks of the job its team's limit allows.
func (q *Queue) quotaHeadroom(candidates []*Candidate, spec *protocol.Job) int {
	quota := q.Config.Quotas[spec.Team]
	if !quota.HasLimit() {
		return protocol.MaxTasks
	}
	cores, accelerators := teamUsage(candidates, spec.Team)
	tasks := protocol.MaxTasks
	if quota.MaxCores > 0 && spec.Cores > 0 {
		tasks = min(tasks, fittingTasks(quota.MaxCores-cores, spec.Cores))
	}
	if quota.MaxAccelerators > 0 && spec.Accelerators > 0 {
		tasks = min(tasks, fittingTasks(quota.MaxAccelerators-accelerators, spec.Accelerators))
	}
	return max(tasks, 0)
}

// teamUsage returns the total resources of a team's tasks, both placed and planned.
func teamUsage(candidates []*Candidate, team string) (cores, accelerators float64) {
	for _, machine := range candidates {
		for i := range machine.allocations {
			if alloc := &machine.allocations[i]; alloc.spec.Team == team {
				cores += alloc.cores()
				accelerators += float64(alloc.count) * alloc.spec.Accelerators
			}
		}
	}
	return cores, accelerators
}

// fittingTasks returns the number of tasks for which an amount of a resource suffices.
func fittingTasks(amount, perTask float64) int {
	return int(math.Floor(amount/perTask + catalog.Epsilon))
}
