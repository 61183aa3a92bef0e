package coordination

import (
	"math"
	"sort"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// jobQueue orders unfinished jobs by the precedence in which they are served.
type jobQueue struct {
	*stepContext

	catalog *machineCatalog
}

// task of a job in the planner's order.
type pendingJob struct {
	id              protocol.JobID
	record          *storage.JobRecord
	precedence      int
	queuePrecedence int // the order in which it is served: that of its rank, or a better one
	dueAt           protocol.Millis
	isLate          bool
	// The latest begin of its tasks that meets all aims that can still be met, and the
	// same as it was at the submission.
	latestStart        protocol.Millis
	initialLatestStart protocol.Millis
	isUrgent           bool                              // they had to begin sooner than machines can be relied on to be rented
	avoidedTypes       map[protocol.MachineTypeName]bool // machine types that it leaves to others
	tasksByZone        map[protocol.Zone]int
	placedTasks        int
	doneTasks          int
	isStarved          bool // has waited so long without beginning that it goes before all others
	isLongRunning      bool // has been here so long that a part of the fleet goes to it first
}

// precedenceOf ranks jobs: a smaller one goes first and may take the place of a
// larger one. A team within its guarantee goes before all others.
func (jq *jobQueue) precedenceOf(j *protocol.Job) int {
	if jq.isWithinGuarantee(j.Team) {
		return -1
	}
	return j.Priority.Precedence()
}

// isWithinGuarantee tells whether a team's unfinished jobs fit into its guarantee.
func (jq *jobQueue) isWithinGuarantee(team string) bool {
	quota := jq.cfg.Quotas[team]
	if quota.GuaranteedCores <= 0 && quota.GuaranteedAccelerators <= 0 || len(jq.cfg.Quotas) < 2 {
		return false
	}
	cores, accelerators := 0.0, 0.0
	for id, e := range jq.replica.UnfinishedJobs {
		if d := e.Record.Spec; d.Team == team {
			remaining := float64(d.TaskCount - jq.replica.CompletedTasks(id).Len())
			cores += remaining * d.Cores
			accelerators += remaining * d.Accelerators
		}
	}
	return cores <= quota.GuaranteedCores+epsilon && accelerators <= quota.GuaranteedAccelerators+epsilon
}

// listPendingJobs lists the unfinished jobs in the order in which they are served.
func (jq *jobQueue) listPendingJobs(b *batch, candidates []*candidate) []*pendingJob {
	byJob := map[protocol.JobID]*pendingJob{}
	var jobs []*pendingJob
	for id := range jq.replica.UnfinishedJobs {
		r := b.jobRecord(id)
		if r.State.IsTerminal() || r.CancelRequested || r.Spec == nil {
			continue
		}
		job := &pendingJob{id: id, record: r, precedence: jq.precedenceOf(r.Spec), tasksByZone: map[protocol.Zone]int{}, doneTasks: b.doneTasks(id).Len()}
		job.queuePrecedence = job.precedence
		jq.computeDeadlines(job)
		job.isUrgent = jq.needsWarmCapacity(job)
		byJob[id] = job
		jobs = append(jobs, job)
	}
	for _, r := range candidates {
		for _, alloc := range r.allocations {
			if job := byJob[alloc.job]; job != nil {
				job.placedTasks += alloc.count
				job.tasksByZone[r.record.Zone] += alloc.count
			}
		}
	}
	for _, job := range jobs {
		waited := millisToDuration(jq.now.Wall - job.record.SubmittedAt)
		job.isStarved = waited > jq.cfg.AgingThreshold && job.placedTasks == 0 && job.doneTasks == 0
		job.isLongRunning = waited > 2*jq.cfg.AgingThreshold && !job.isStarved && job.record.Spec.Kind == protocol.KindArray
	}
	sort.Slice(jobs, func(i, k int) bool {
		a, z := jobs[i], jobs[k]
		switch {
		case a.isStarved != z.isStarved:
			return a.isStarved
		case a.isStarved && a.record.SubmittedAt != z.record.SubmittedAt:
			return a.record.SubmittedAt < z.record.SubmittedAt
		case a.queuePrecedence != z.queuePrecedence:
			return a.queuePrecedence < z.queuePrecedence
		case a.isLate != z.isLate:
			return z.isLate
		case a.dueAt != z.dueAt:
			return a.dueAt < z.dueAt
		}
		return a.id < z.id
	})
	return jobs
}

// startLeadFactor is how many times the least time that a job's tasks may run is set
// aside for them where a late end would miss an aim.
const startLeadFactor = 3

// computeDeadlines tells by when a job is to be served: the first of its class's aims, and
// of its deadline, that can still be met. What has missed all of them goes last
// within its rank. A job of low rank whose tasks should begin soon is served like
// the rank above: it stops nobody's work, but gets some of what becomes free.
func (jq *jobQueue) computeDeadlines(job *pendingJob) {
	d, sent := job.record.Spec, job.record.SubmittedAt
	if d.IsService() {
		// No replica can wait, whatever has become of the aims for the first ones.
		job.dueAt, job.latestStart, job.initialLatestStart = sent, jq.now.Wall, sent
		return
	}
	objectives := jq.cfg.Objectives[d.Class]
	job.dueAt, job.isLate = sent+protocol.Millis(600_000), true
	job.latestStart, job.initialLatestStart = job.dueAt, job.dueAt
	applyObjective := func(target, leadTime time.Duration) {
		dueAt := sent + protocol.Millis(target.Milliseconds())
		start := dueAt - startLeadFactor*protocol.Millis(leadTime.Milliseconds())
		job.initialLatestStart = min(job.initialLatestStart, start)
		if jq.now.Wall < start {
			job.latestStart = min(job.latestStart, start)
		}
		if jq.now.Wall+protocol.Millis(leadTime.Milliseconds()) <= dueAt && (job.isLate || dueAt < job.dueAt) {
			job.dueAt, job.isLate = dueAt, false
		}
	}
	minRuntime := protocol.Seconds(d.EstimatedRunSeconds / 2) // estimates are often wrong by half
	for _, objective := range objectives.StartWithin {
		applyObjective(objective, 0)
		if remaining := sent + protocol.Millis(objective.Milliseconds()) - jq.now.Wall; job.queuePrecedence > 1 && remaining > 0 && 3*remaining < protocol.Millis(objective.Milliseconds()) {
			job.queuePrecedence--
		}
	}
	for _, objective := range objectives.FinishWithin {
		applyObjective(objective, minRuntime)
	}
	if d.DeadlineSeconds != nil {
		applyObjective(protocol.Seconds(*d.DeadlineSeconds), minRuntime)
		for _, multiple := range objectives.DeadlineFactors {
			applyObjective(protocol.Seconds(*d.DeadlineSeconds*multiple), minRuntime)
		}
	}
	if len(objectives.StartWithin)+len(objectives.FinishWithin) == 0 && d.DeadlineSeconds == nil {
		job.isLate = false
	}
}

// hasSamePrecedence tells whether nothing but their dues puts one job before the other.
func (j *pendingJob) hasSamePrecedence(other *pendingJob) bool {
	return j.queuePrecedence == other.queuePrecedence && j.isLate == other.isLate && !j.isStarved && !other.isStarved
}

// quotaHeadroom tells how many more tasks of the job its team's limit allows.
func (jq *jobQueue) quotaHeadroom(candidates []*candidate, j *protocol.Job) int {
	quota := jq.cfg.Quotas[j.Team]
	if !quota.hasLimit() {
		return protocol.MaxTasks
	}
	cores, accelerators := 0.0, 0.0
	for _, machine := range candidates {
		for _, alloc := range machine.allocations {
			if alloc.desc.Team == j.Team {
				cores += float64(alloc.count) * alloc.desc.Cores
				accelerators += float64(alloc.count) * alloc.desc.Accelerators
			}
		}
	}
	n := protocol.MaxTasks
	if quota.MaxCores > 0 && j.Cores > 0 {
		n = min(n, int(math.Floor((quota.MaxCores-cores)/j.Cores+epsilon)))
	}
	if quota.MaxAccelerators > 0 && j.Accelerators > 0 {
		n = min(n, int(math.Floor((quota.MaxAccelerators-accelerators)/j.Accelerators+epsilon)))
	}
	return max(n, 0)
}

// shouldExpedite tells whether a job's tasks have to begin sooner than all machines report
// by themselves.
func (jq *jobQueue) shouldExpedite(job *pendingJob) bool {
	return !job.isLate && millisToDuration(job.latestStart-jq.now.Wall) < 2*jq.cfg.HeartbeatInterval
}

// needsWarmCapacity tells whether a job's tasks have to begin sooner than machines can be relied
// on to be rented for them.
func (jq *jobQueue) needsWarmCapacity(q *pendingJob) bool {
	slack := millisToDuration(q.initialLatestStart - q.record.SubmittedAt)
	return slack < time.Duration(jq.cfg.IdleTimeoutFactor*float64(jq.catalog.provisioningTime(q.record.Spec)))
}
