package scheduling

import (
	"math"
	"sort"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Queue orders unfinished jobs by the precedence in which they are served.
type Queue struct {
	*step.Context

	catalog *catalog.Catalog
}

// task of a job in the planner's order.
type PendingJob struct {
	ID              protocol.JobID
	Record          *storage.JobRecord
	precedence      int
	queuePrecedence int // the order in which it is served: that of its rank, or a better one
	dueAt           protocol.Millis
	IsLate          bool
	// The latest begin of its tasks that meets all aims that can still be met, and the
	// same as it was at the submission.
	LatestStart        protocol.Millis
	InitialLatestStart protocol.Millis
	IsUrgent           bool                              // they had to begin sooner than machines can be relied on to be rented
	avoidedTypes       map[protocol.MachineTypeName]bool // machine types that it leaves to others
	tasksByZone        map[protocol.Zone]int
	placedTasks        int
	doneTasks          int
	IsStarved          bool // has waited so long without beginning that it goes before all others
	isLongRunning      bool // has been here so long that a part of the fleet goes to it first
}

// precedenceOf ranks jobs: a smaller one goes first and may take the place of a
// larger one. A team within its guarantee goes before all others.
func (jq *Queue) precedenceOf(j *protocol.Job) int {
	if jq.isWithinGuarantee(j.Team) {
		return -1
	}
	return j.Priority.Precedence()
}

// isWithinGuarantee tells whether a team's unfinished jobs fit into its guarantee.
func (jq *Queue) isWithinGuarantee(team string) bool {
	quota := jq.Config.Quotas[team]
	if quota.GuaranteedCores <= 0 && quota.GuaranteedAccelerators <= 0 || len(jq.Config.Quotas) < 2 {
		return false
	}
	cores, accelerators := 0.0, 0.0
	for id, e := range jq.Replica.UnfinishedJobs {
		if d := e.Record.Spec; d.Team == team {
			remaining := float64(d.TaskCount - jq.Replica.CompletedTasks(id).Len())
			cores += remaining * d.Cores
			accelerators += remaining * d.Accelerators
		}
	}
	return cores <= quota.GuaranteedCores+catalog.Epsilon && accelerators <= quota.GuaranteedAccelerators+catalog.Epsilon
}

// ListPendingJobs lists the unfinished jobs in the order in which they are served.
func (jq *Queue) ListPendingJobs(b *commit.Batch, candidates []*Candidate) []*PendingJob {
	byJob := map[protocol.JobID]*PendingJob{}
	var jobs []*PendingJob
	for id := range jq.Replica.UnfinishedJobs {
		r := b.JobRecord(id)
		if r.State.IsTerminal() || r.CancelRequested || r.Spec == nil {
			continue
		}
		job := &PendingJob{ID: id, Record: r, precedence: jq.precedenceOf(r.Spec), tasksByZone: map[protocol.Zone]int{}, doneTasks: b.DoneTasks(id).Len()}
		job.queuePrecedence = job.precedence
		jq.computeDeadlines(job)
		job.IsUrgent = jq.NeedsWarmCapacity(job)
		byJob[id] = job
		jobs = append(jobs, job)
	}
	for _, r := range candidates {
		for _, alloc := range r.Allocations {
			if job := byJob[alloc.Job]; job != nil {
				job.placedTasks += alloc.Count
				job.tasksByZone[r.Record.Zone] += alloc.Count
			}
		}
	}
	for _, job := range jobs {
		waited := step.MillisToDuration(jq.Now.Wall - job.Record.SubmittedAt)
		job.IsStarved = waited > jq.Config.AgingThreshold && job.placedTasks == 0 && job.doneTasks == 0
		job.isLongRunning = waited > 2*jq.Config.AgingThreshold && !job.IsStarved && job.Record.Spec.Kind == protocol.KindArray
	}
	sort.Slice(jobs, func(i, k int) bool {
		a, z := jobs[i], jobs[k]
		switch {
		case a.IsStarved != z.IsStarved:
			return a.IsStarved
		case a.IsStarved && a.Record.SubmittedAt != z.Record.SubmittedAt:
			return a.Record.SubmittedAt < z.Record.SubmittedAt
		case a.queuePrecedence != z.queuePrecedence:
			return a.queuePrecedence < z.queuePrecedence
		case a.IsLate != z.IsLate:
			return z.IsLate
		case a.dueAt != z.dueAt:
			return a.dueAt < z.dueAt
		}
		return a.ID < z.ID
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
func (jq *Queue) computeDeadlines(job *PendingJob) {
	d, sent := job.Record.Spec, job.Record.SubmittedAt
	if d.IsService() {
		// No replica can wait, whatever has become of the aims for the first ones.
		job.dueAt, job.LatestStart, job.InitialLatestStart = sent, jq.Now.Wall, sent
		return
	}
	objectives := jq.Config.Objectives[d.Class]
	job.dueAt, job.IsLate = sent+protocol.Millis(600_000), true
	job.LatestStart, job.InitialLatestStart = job.dueAt, job.dueAt
	applyObjective := func(target, leadTime time.Duration) {
		dueAt := sent + protocol.Millis(target.Milliseconds())
		start := dueAt - startLeadFactor*protocol.Millis(leadTime.Milliseconds())
		job.InitialLatestStart = min(job.InitialLatestStart, start)
		if jq.Now.Wall < start {
			job.LatestStart = min(job.LatestStart, start)
		}
		if jq.Now.Wall+protocol.Millis(leadTime.Milliseconds()) <= dueAt && (job.IsLate || dueAt < job.dueAt) {
			job.dueAt, job.IsLate = dueAt, false
		}
	}
	minRuntime := protocol.Seconds(d.EstimatedRunSeconds / 2) // estimates are often wrong by half
	for _, objective := range objectives.StartWithin {
		applyObjective(objective, 0)
		if remaining := sent + protocol.Millis(objective.Milliseconds()) - jq.Now.Wall; job.queuePrecedence > 1 && remaining > 0 && 3*remaining < protocol.Millis(objective.Milliseconds()) {
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
		job.IsLate = false
	}
}

// hasSamePrecedence tells whether nothing but their dues puts one job before the other.
func (j *PendingJob) hasSamePrecedence(other *PendingJob) bool {
	return j.queuePrecedence == other.queuePrecedence && j.IsLate == other.IsLate && !j.IsStarved && !other.IsStarved
}

// quotaHeadroom tells how many more tasks of the job its team's limit allows.
func (jq *Queue) quotaHeadroom(candidates []*Candidate, j *protocol.Job) int {
	quota := jq.Config.Quotas[j.Team]
	if !quota.HasLimit() {
		return protocol.MaxTasks
	}
	cores, accelerators := 0.0, 0.0
	for _, machine := range candidates {
		for _, alloc := range machine.Allocations {
			if alloc.Desc.Team == j.Team {
				cores += float64(alloc.Count) * alloc.Desc.Cores
				accelerators += float64(alloc.Count) * alloc.Desc.Accelerators
			}
		}
	}
	n := protocol.MaxTasks
	if quota.MaxCores > 0 && j.Cores > 0 {
		n = min(n, int(math.Floor((quota.MaxCores-cores)/j.Cores+catalog.Epsilon)))
	}
	if quota.MaxAccelerators > 0 && j.Accelerators > 0 {
		n = min(n, int(math.Floor((quota.MaxAccelerators-accelerators)/j.Accelerators+catalog.Epsilon)))
	}
	return max(n, 0)
}

// ShouldExpedite tells whether a job's tasks have to begin sooner than all machines report
// by themselves.
func (jq *Queue) ShouldExpedite(job *PendingJob) bool {
	return !job.IsLate && step.MillisToDuration(job.LatestStart-jq.Now.Wall) < 2*jq.Config.HeartbeatInterval
}

// NeedsWarmCapacity tells whether a job's tasks have to begin sooner than machines can be relied
// on to be rented for them.
func (jq *Queue) NeedsWarmCapacity(q *PendingJob) bool {
	slack := step.MillisToDuration(q.InitialLatestStart - q.Record.SubmittedAt)
	return slack < time.Duration(jq.Config.IdleTimeoutFactor*float64(jq.catalog.ProvisioningTime(q.Record.Spec)))
}
