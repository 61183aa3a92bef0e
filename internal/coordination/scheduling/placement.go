package scheduling

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Scheduler plans where pending tasks go, and writes the placements of jobs that this controller owns.
type Scheduler struct {
	*step.Context

	acquirer   *JobAcquirer
	backfill   *Backfill
	capacity   *CandidateLister
	catalog    *catalog.Catalog
	contention *ContentionTracker
	gangs      *GangScheduler
	jobs       *agents.JobTable
	lease      *commit.Lease
	plan       *Plan
	queue      *Queue
	commits    *commit.Committer
	services   *ServiceScheduler

	WarmPool warmPool
}

func NewScheduler(ctx *step.Context) *Scheduler {
	return &Scheduler{
		Context:  ctx,
		WarmPool: newWarmPool(),
	}
}

// zoneHeadroom tells how many more tasks of the job may be in the zone.
func (j *PendingJob) zoneHeadroom(zone protocol.Zone) int {
	d := j.Record.Spec
	if d.SingleZone {
		for other, tasks := range j.tasksByZone {
			if other != zone && tasks > 0 {
				return 0
			}
		}
	}
	if d.SpreadZones {
		return max((d.TaskCount+1)/2-j.tasksByZone[zone], 0)
	}
	return protocol.MaxTasks
}

// RetainsIdleMachine tells whether an idle machine is kept for work that cannot wait until
// another one is provisioned.
func (s *Scheduler) RetainsIdleMachine(id protocol.MachineID) bool {
	return s.WarmPool.ShouldRetain(id)
}

// PlacePendingJobs plans where all queued tasks go, in order, and writes the part of it
// that belongs to jobs claimed by this run. Jobs that others have claimed are
// planned just the same, so that all nodes keep the same room for them.
func (s *Scheduler) PlacePendingJobs(b *commit.Batch) {
	s.plan.computedAt = s.Now.Monotonic
	s.plan.retainedMachines = map[protocol.MachineID]bool{}
	s.plan.hasPendingRemotePlacements = false
	s.plan.pendingPlacements = map[protocol.MachineID]bool{}
	s.plan.unmetDemands = s.plan.unmetDemands[:0]
	if len(s.catalog.MachineTypes()) == 0 {
		return
	}
	candidates := s.capacity.listCandidates(b)
	s.capacity.logFleet(candidates)
	s.plan.reservedPrecedences = map[int]bool{}
	s.plan.availableCandidates = slices.DeleteFunc(slices.Clone(candidates), func(machine *Candidate) bool { return machine.IsUnschedulable })
	jobs := s.queue.ListPendingJobs(b, candidates)
	s.WarmPool.Observe(s.Now.Monotonic, jobs)
	s.WarmPool.SelectRetained(candidates, s.capacity.IsMachineAllowed)
	s.plan.ContendedTypes = s.contention.ContendedTypes()
	s.placeLongRunningArrays(b, jobs, candidates)
	for len(jobs) > 0 {
		n := 1
		for n < len(jobs) && jobs[n].hasSamePrecedence(jobs[0]) {
			n++
		}
		s.placeSamePrecedence(b, jobs[:n], candidates)
		jobs = jobs[n:]
	}
}

// placeSamePrecedence places jobs that differ in their dues only. Where the news of own pages
// is more than a transaction takes, what is free on a page goes first to arrays whose
// claimant owns it, and then to those of others: a controller writes its own pages all
// the time, one of another's is a change more, which comes late while the room waits
// for it. Elsewhere the order of dues alone serves better.
func (s *Scheduler) placeSamePrecedence(b *commit.Batch, jobs []*PendingJob, candidates []*Candidate) {
	for _, job := range jobs {
		s.acquirer.acquireJob(b, job)
		if job.Record.Spec.IsGang() {
			s.gangs.placeGang(b, job, candidates)
		} else if job.Record.Spec.IsService() {
			s.services.placeReplicas(b, job, candidates)
		} else if len(jobs) > 1 && s.commits.IsPartial() {
			s.placeArray(b, job, candidates, protocol.MaxTasks, true)
		}
	}
	for _, job := range jobs {
		if job.Record.Spec.Kind == protocol.KindArray {
			s.placeArray(b, job, candidates, protocol.MaxTasks, false)
		}
	}
}

// placeLongRunningArrays gives a quarter of the fleet's cores to arrays that have been here
// very long, oldest first. By due time they would come last, behind a stream of
// newer ones for ever; with all they ask for they would make those late too.
func (s *Scheduler) placeLongRunningArrays(b *commit.Batch, jobs []*PendingJob, candidates []*Candidate) {
	var longRunning []*PendingJob
	for _, job := range jobs {
		if job.isLongRunning {
			longRunning = append(longRunning, job)
		}
	}
	if len(longRunning) == 0 {
		return
	}
	remainingCores := 0.0
	for _, machine := range candidates {
		if !machine.isProvisioning {
			remainingCores += machine.MachineType.Cores / 4
		}
	}
	slices.SortStableFunc(longRunning, func(a, z *PendingJob) int { return cmp.Compare(a.Record.SubmittedAt, z.Record.SubmittedAt) })
	for _, job := range longRunning {
		coresPerTask := max(job.Record.Spec.Cores, 0.01)
		remainingCores -= float64(job.placedTasks) * coresPerTask
		if n := int(remainingCores / coresPerTask); n > 0 {
			s.acquirer.acquireJob(b, job)
			before := job.placedTasks
			s.placeArray(b, job, candidates, n, false)
			remainingCores -= float64(job.placedTasks-before) * coresPerTask
		}
	}
}

// score ranks machines for a task: small types first, so that the large ones
// stay free for what fits nowhere else; then, in seconds, what it takes until
// the task runs: the image, and the wait for the machine's next report. Pages of
// other owners come later, as writing them means to collide with their owners.
func (s *Scheduler) score(b *commit.Batch, job *PendingJob, machine *Candidate) float64 {
	j := job.Record.Spec
	score := machine.MachineType.Cores*10 + machine.MachineType.Accelerators*1000
	if machine.isProvisioning {
		return score + 1e6
	}
	m := machine.state
	if j.IsService() {
		score += s.services.imageFetchTime(machine, j).Seconds()
	} else if !m.HasImage(j.Image) {
		score += min(catalog.ImageFetchSeconds(machine.MachineType, j), 60)
	}
	switch {
	case machine.Record.Spot && j.IsService():
		score += spotReplicaPenalty
	case machine.Record.Spot:
		score -= 5
	}
	if m != nil && m.Slowdown.IsSlow() {
		score += slowMachinePenalty
	}
	if machine.Record.Owner != job.Record.Owner {
		score += remoteShardPenalty
	} else if m == nil || m.DeferredRequest == 0 {
		score += s.Config.HeartbeatInterval.Seconds() / 2
	}
	if !b.ChangesShard(machine.Record.Shard) {
		score += 1
	}
	return score
}

// slowMachinePenalty puts slow machines behind all others of their size: they still serve
// when there is nothing else, and go back first as they idle first.
const slowMachinePenalty = 120

// remoteShardPenalty is how many seconds a page of one's own is better than another's.
const remoteShardPenalty = 8

// rankedCandidates lists the machines that can take a task of the job, best first,
// machines of one page together; home: those on its claimant's pages only.
func (s *Scheduler) rankedCandidates(b *commit.Batch, job *PendingJob, ownerShardsOnly bool) []*Candidate {
	type scored struct {
		r *Candidate
		s float64
	}
	var ranked []scored
	available := s.plan.availableCandidates[:0]
	for _, r := range s.plan.availableCandidates {
		if r.Cores <= catalog.Epsilon || r.MemoryGB <= catalog.Epsilon {
			continue // full by now, for all that come later
		}
		available = append(available, r)
		if !job.avoidedTypes[r.Record.MachineType] && (!ownerShardsOnly || r.Record.Owner == job.Record.Owner) && r.CapacityFor(job.Record.Spec) > 0 && s.capacity.IsMachineAllowed(job.Record.Spec, r) {
			ranked = append(ranked, scored{r, s.score(b, job, r)})
		}
	}
	s.plan.availableCandidates = available
	slices.SortFunc(ranked, func(a, z scored) int {
		return cmp.Or(cmp.Compare(a.s, z.s), cmp.Compare(a.r.Record.Shard, z.r.Record.Shard), cmp.Compare(a.r.ID, z.r.ID))
	})
	candidates := make([]*Candidate, len(ranked))
	for i := range ranked {
		candidates[i] = ranked[i].r
	}
	return candidates
}

// recordAllocation notes n planned tasks of the job on the machine.
func (j *PendingJob) recordAllocation(machine *Candidate, count int, attempt protocol.Attempt) {
	machine.Allocate(j.Record.Spec, count)
	machine.Allocations = append(machine.Allocations, Allocation{Job: j.ID, Attempt: attempt, Count: count, Desc: j.Record.Spec, precedence: j.precedence})
	j.tasksByZone[machine.Record.Zone] += count
	j.placedTasks += count
}

// placeArray places up to most tasks of an array; home: on its claimant's pages only.
// Else what is left behind it is unmet demand.
func (s *Scheduler) placeArray(b *commit.Batch, job *PendingJob, candidates []*Candidate, maxTasks int, ownerShardsOnly bool) {
	d := job.Record.Spec
	remaining := d.TaskCount - job.doneTasks - job.placedTasks
	if remaining <= 0 {
		return
	}
	// The written form of what is done must stay within a value: gaps in it
	// are bounded by the tasks under way.
	limit := min(remaining, maxTasks, s.queue.quotaHeadroom(candidates, d), max(s.acquirer.maxTasksInProgress(d.TaskCount)-job.placedTasks, 0))
	canWrite := s.acquirer.canWritePlacements(b, job)
	state := s.jobs.JobState(job.ID)
	if canWrite && s.Now.Monotonic < state.NotBefore {
		canWrite = false
	}
	var pending []int
	if canWrite {
		pending = s.acquirer.pendingTasks(b, job, limit)
		limit = min(limit, len(pending))
	}
	if job.avoidedTypes == nil {
		job.avoidedTypes = s.contention.TypesToAvoid(job)
	}
	for _, machine := range s.rankedCandidates(b, job, ownerShardsOnly) {
		if limit <= 0 {
			break
		}
		n := min(machine.CapacityFor(d), limit, job.zoneHeadroom(machine.Record.Zone))
		if n <= 0 {
			continue
		}
		writeNow := canWrite && !machine.isProvisioning && s.fitsTransaction(b, machine, d)
		var tasks []int
		if canWrite {
			if writeNow {
				n = min(n, 200)
			}
			tasks, pending = pending[:n], pending[n:]
		}
		s.planTasks(b, job, machine, n, writeNow, tasks)
		remaining -= n
		limit -= n
	}
	if ownerShardsOnly {
		return
	}
	if job.IsStarved && job.placedTasks == 0 && limit > 0 {
		// Its tasks fit into no gap that others leave: some machines are emptied.
		s.gangs.reserveMachines(b, job, candidates, []protocol.Zone{""}, min(limit, 4))
	}
	if n := min(remaining, limit); n > 0 && maxTasks == protocol.MaxTasks {
		s.recordUnplaced(job, candidates, n)
	}
}

// planTasks plans n tasks for a machine, and writes them if this transaction does; tasks
// are those, where this run writes the job's placements at all.
func (s *Scheduler) planTasks(b *commit.Batch, job *PendingJob, machine *Candidate, n int, writeNow bool, tasks []int) {
	if writeNow {
		attempt := s.jobs.JobState(job.ID).NextAttempt
		b.AssignTasks(machine.ID, job.ID, tasks, attempt)
		s.recordPlacement(b, job, machine, n, attempt)
		// Whether a report waits at another owner is not known here: a replica can't wait
		// for the next one.
		if s.queue.ShouldExpedite(job) && (s.capacity.AwaitsHeartbeat(machine) || job.Record.Spec.IsService() && machine.Record.Owner != s.lease.Incarnation()) {
			s.expedite(b, machine.ID)
		}
	} else {
		s.plan.hasPendingRemotePlacements = s.plan.hasPendingRemotePlacements || tasks != nil && machine.Record.Owner != s.lease.Incarnation() && !machine.isProvisioning
		s.plan.pendingPlacements[machine.ID] = true
	}
	job.recordAllocation(machine, n, 0)
	s.plan.retainedMachines[machine.ID] = true
}

// recordUnplaced takes in that n tasks of an array have found no machine. What can wait for
// machines in use does so; the rest is demand.
func (s *Scheduler) recordUnplaced(job *PendingJob, candidates []*Candidate, n int) {
	s.contention.RecordContention(job)
	if !job.IsUrgent {
		n -= s.backfill.ReserveBackfill(job, candidates, n)
	}
	if n > 0 && job.Record.Owner == s.lease.Incarnation() {
		s.plan.unmetDemands = append(s.plan.unmetDemands, provisioning.UnmetDemand{Job: job.ID, Desc: job.Record.Spec, Tasks: n, Zone: job.pinnedZone(), Order: job.precedence,
			SubmittedAt: job.Record.SubmittedAt, Urgent: job.IsUrgent})
	}
}

// pinnedZone is the zone that the job is bound to by its other tasks.
func (j *PendingJob) pinnedZone() protocol.Zone {
	if j.Record.Spec.SingleZone {
		for z, n := range j.tasksByZone {
			if n > 0 {
				return z
			}
		}
	}
	return ""
}

// fitsTransaction tells whether a placement on the machine fits the transaction.
func (s *Scheduler) fitsTransaction(b *commit.Batch, machine *Candidate, d *protocol.Job) bool {
	n := b.WritesNeeded(machine.ID)
	if s.Config.Quotas[d.Team].HasLimit() && !b.LocksQuota(d.Team) {
		n++
		if s.Replica.Revision < protocol.Revision(s.Replica.QuotaRevisions[d.Team]) {
			return false
		}
	}
	return b.HasCapacity(n) && b.HasShardHeadroom(machine.Record)
}

// recordPlacement notes a written placement: it rests on the job's stamp, and on the
// team's where the team has a limit.
func (s *Scheduler) recordPlacement(b *commit.Batch, job *PendingJob, machine *Candidate, n int, attempt protocol.Attempt) {
	d := job.Record.Spec
	b.DependOn(storage.JobKey(job.ID))
	if s.Config.Quotas[d.Team].HasLimit() && !b.LocksQuota(d.Team) {
		b.LockQuota(d.Team)
	}
	state := s.jobs.JobState(job.ID)
	b.OnSend(func() {
		state.NextAttempt = max(state.NextAttempt, attempt+1)
		// A job whose tasks come back again and again is tried ever less often:
		// it may fail everywhere until its user cancels it.
		if state.Placements += n; !d.IsService() && state.Placements >= 4*d.TaskCount {
			state.NotBefore = s.Now.Monotonic.Add(min(time.Duration(state.Placements/d.TaskCount-3)*5*time.Second, 30*time.Second))
		}
	})
	b.Log(slog.LevelDebug, "tasks placed", "job", string(job.ID), "tasks", n, "attempt", uint64(attempt), "machine", string(machine.ID))
}

// expedite makes the machine's worker report as soon as the placement is on record.
// A gang waits for the last of its machines: with reports some seconds apart
// that is nearly a whole interval each time.
func (s *Scheduler) expedite(b *commit.Batch, id protocol.MachineID) {
	if s.Config.HeartbeatInterval >= 4*time.Second {
		b.BumpFencingToken(id)
	}
}
