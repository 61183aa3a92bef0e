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
	// guaranteedPrecedence puts teams within their guarantee before every priority.
	guaranteedPrecedence = -1
	// startLeadFactor is how many times the least run time of a job's tasks is set aside for
	// them where a late end would miss an objective.
	startLeadFactor = 3
	// defaultDueAfter is the due time, counted from the submission, of a job that has no
	// objective or has missed all of them.
	defaultDueAfter protocol.Millis = 600_000
	// promotionDivisor: a job of low priority is served like the priority above for the last
	// 1/promotionDivisor of the time within which its tasks should start.
	promotionDivisor = 3
	// longRunningFactor is how many times the aging threshold an array must have been unfinished
	// before a part of the fleet goes to it first.
	longRunningFactor = 2
	// estimateErrorFactor is the factor by which estimated run times are often too long.
	estimateErrorFactor = 2
	// expediteSlackIntervals is the slack, in heartbeat intervals, below which a job's tasks cannot wait
	// for the next heartbeat of their machines.
	expediteSlackIntervals = 2
)

// Queue orders unfinished jobs by the precedence in which they are served.
type Queue struct {
	*step.Context

	catalog *catalog.Catalog
}

// ListPendingJobs lists the unfinished jobs in the order in which they are served.
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

// newPendingJob makes the queue's entry of a job; nil: no task of it is to be placed.
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
			doneTasks:   batch.DoneTasks(id).Len(),
			tasksByZone: map[protocol.Zone]int{},
		},
	}
	q.computeDeadlines(job)
	job.isUrgent = q.needsWarmCapacity(job)
	return job
}

// countPlacedTasks counts for each job the tasks that the records assign.
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

// classifyByAge marks a job that is starved or long-running.
func (q *Queue) classifyByAge(job *PendingJob) {
	waited := step.MillisToDuration(q.Now.Wall - job.record.SubmittedAt)
	hasBegun := job.placedTasks > 0 || job.doneTasks > 0
	job.isStarved = waited > q.Config.AgingThreshold && !hasBegun
	isArray := job.record.Spec.Kind == protocol.KindArray
	job.isLongRunning = waited > longRunningFactor*q.Config.AgingThreshold && !job.isStarved && isArray
}

// precedenceOf is the rank of a job by its priority and its team's guarantee: a smaller one goes first
// and may preempt a larger one. Jobs of a team within its guarantee go before all others.
func (q *Queue) precedenceOf(spec *protocol.Job) int {
	if q.isWithinGuarantee(spec.Team) {
		return guaranteedPrecedence
	}
	return spec.Priority.Precedence()
}

// isWithinGuarantee tells whether a team's unfinished jobs fit into its guarantee. With one team only,
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
			remaining := float64(spec.TaskCount - q.Replica.CompletedTasks(id).Len())
			cores += remaining * spec.Cores
			accelerators += remaining * spec.Accelerators
		}
	}
	return cores <= quota.GuaranteedCores+catalog.Epsilon &&
		accelerators <= quota.GuaranteedAccelerators+catalog.Epsilon
}

// computeDeadlines finds by when a job is to be served: the first objective of its class, or of
// its own deadline, that can still be met. A job that has missed all of them goes last within
// its precedence. A job of low priority whose tasks should start soon is served like the
// priority above: it preempts no task for that, but gets some of what becomes free.
func (q *Queue) computeDeadlines(job *PendingJob) {
	spec, submittedAt := job.record.Spec, job.record.SubmittedAt
	if spec.IsService() {
		// No replica can wait, whether the objectives of the first ones were met or not.
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

// applyObjective applies an objective: the job has to meet it within target of its submission, and its
// tasks have to run for leadTime before that.
func (q *Queue) applyObjective(job *PendingJob, target, leadTime time.Duration) {
	lead := protocol.Millis(leadTime.Milliseconds())
	dueAt := job.record.SubmittedAt + protocol.Millis(target.Milliseconds())
	start := dueAt - startLeadFactor*lead
	job.initialLatestStart = min(job.initialLatestStart, start)
	if q.Now.Wall < start {
		job.latestStart = min(job.latestStart, start)
	}
	canBeMet := q.Now.Wall+lead <= dueAt
	if canBeMet && (job.isLate || dueAt < job.dueAt) {
		job.dueAt, job.isLate = dueAt, false
	}
}

// promoteNearStart serves a job like the priority above while little of the time is left within
// which its tasks should start. None is promoted to the highest priority, 0.
func (q *Queue) promoteNearStart(job *PendingJob, target time.Duration) {
	startWithin := protocol.Millis(target.Milliseconds())
	remaining := job.record.SubmittedAt + startWithin - q.Now.Wall
	if job.queuePrecedence > 1 && remaining > 0 && promotionDivisor*remaining < startWithin {
		job.queuePrecedence--
	}
}

// shouldExpediteHeartbeats tells whether a job's tasks have to start sooner than all machines send a
// heartbeat by themselves.
func (q *Queue) shouldExpediteHeartbeats(job *PendingJob) bool {
	return !job.isLate && job.timeUntilLatestStart(q.Now) < expediteSlackIntervals*q.Config.HeartbeatInterval
}

// needsWarmCapacity tells whether a job's tasks have to start sooner than machines that are
// provisioned for them can be relied on.
func (q *Queue) needsWarmCapacity(job *PendingJob) bool {
	slack := step.MillisToDuration(job.initialLatestStart - job.record.SubmittedAt)
	provisioningTime := q.catalog.ProvisioningTime(job.record.Spec)
	return slack < time.Duration(q.Config.IdleTimeoutFactor*float64(provisioningTime))
}

// quotaHeadroom tells how many more tasks of the job its team's limit allows.
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

// teamUsage sums up what a team's tasks take, placed and planned.
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

// fittingTasks tells how many tasks fit into an amount.
func fittingTasks(amount, perTask float64) int {
	return int(math.Floor(amount/perTask + catalog.Epsilon))
}
