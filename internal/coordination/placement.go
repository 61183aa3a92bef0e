package coordination

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// scheduler plans where pending tasks go, and writes the placements of jobs that this controller owns.
type scheduler struct {
	*stepContext

	acquirer   *jobAcquirer
	backfill   *backfillPlanner
	capacity   *candidateLister
	catalog    *machineCatalog
	contention *contentionTracker
	gangs      *gangScheduler
	jobs       *jobTable
	lease      *incarnationLease
	plan       *placementPlan
	queue      *jobQueue
	commits    *committer
	services   *serviceScheduler

	warmPool warmPool
}

func newScheduler(ctx *stepContext) *scheduler {
	return &scheduler{
		stepContext: ctx,
		warmPool:    newWarmPool(),
	}
}

// zoneHeadroom tells how many more tasks of the job may be in the zone.
func (j *pendingJob) zoneHeadroom(zone protocol.Zone) int {
	d := j.record.Spec
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
func (s *scheduler) RetainsIdleMachine(id protocol.MachineID) bool {
	return s.warmPool.shouldRetain(id)
}

// placePendingJobs plans where all queued tasks go, in order, and writes the part of it
// that belongs to jobs claimed by this run. Jobs that others have claimed are
// planned just the same, so that all nodes keep the same room for them.
func (s *scheduler) placePendingJobs(b *batch) {
	s.plan.computedAt = s.now.Monotonic
	s.plan.retainedMachines = map[protocol.MachineID]bool{}
	s.plan.hasPendingRemotePlacements = false
	s.plan.pendingPlacements = map[protocol.MachineID]bool{}
	s.plan.unmetDemands = s.plan.unmetDemands[:0]
	if len(s.catalog.machineTypes) == 0 {
		return
	}
	candidates := s.capacity.listCandidates(b)
	s.capacity.logFleet(candidates)
	s.plan.reservedPrecedences = map[int]bool{}
	s.plan.availableCandidates = slices.DeleteFunc(slices.Clone(candidates), func(machine *candidate) bool { return machine.isUnschedulable })
	jobs := s.queue.listPendingJobs(b, candidates)
	s.warmPool.observe(s.now.Monotonic, jobs)
	s.warmPool.selectRetained(candidates, s.capacity.isMachineAllowed)
	s.plan.contendedTypes = s.contention.contendedTypes()
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
func (s *scheduler) placeSamePrecedence(b *batch, jobs []*pendingJob, candidates []*candidate) {
	for _, job := range jobs {
		s.acquirer.acquireJob(b, job)
		if job.record.Spec.IsGang() {
			s.gangs.placeGang(b, job, candidates)
		} else if job.record.Spec.IsService() {
			s.services.placeReplicas(b, job, candidates)
		} else if len(jobs) > 1 && s.commits.isPartial {
			s.placeArray(b, job, candidates, protocol.MaxTasks, true)
		}
	}
	for _, job := range jobs {
		if job.record.Spec.Kind == protocol.KindArray {
			s.placeArray(b, job, candidates, protocol.MaxTasks, false)
		}
	}
}

// placeLongRunningArrays gives a quarter of the fleet's cores to arrays that have been here
// very long, oldest first. By due time they would come last, behind a stream of
// newer ones for ever; with all they ask for they would make those late too.
func (s *scheduler) placeLongRunningArrays(b *batch, jobs []*pendingJob, candidates []*candidate) {
	var longRunning []*pendingJob
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
			remainingCores += machine.machineType.Cores / 4
		}
	}
	slices.SortStableFunc(longRunning, func(a, z *pendingJob) int { return cmp.Compare(a.record.SubmittedAt, z.record.SubmittedAt) })
	for _, job := range longRunning {
		coresPerTask := max(job.record.Spec.Cores, 0.01)
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
func (s *scheduler) score(b *batch, job *pendingJob, machine *candidate) float64 {
	j := job.record.Spec
	score := machine.machineType.Cores*10 + machine.machineType.Accelerators*1000
	if machine.isProvisioning {
		return score + 1e6
	}
	m := machine.state
	if j.IsService() {
		score += s.services.imageFetchTime(machine, j).Seconds()
	} else if !m.hasImage(j.Image) {
		score += min(imageFetchSeconds(machine.machineType, j), 60)
	}
	switch {
	case machine.record.Spot && j.IsService():
		score += spotReplicaPenalty
	case machine.record.Spot:
		score -= 5
	}
	if m != nil && m.slowdown.isSlow() {
		score += slowMachinePenalty
	}
	if machine.record.Owner != job.record.Owner {
		score += remoteShardPenalty
	} else if m == nil || m.deferredRequest == 0 {
		score += s.cfg.HeartbeatInterval.Seconds() / 2
	}
	if b.shards[machine.record.Shard] == nil {
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
func (s *scheduler) rankedCandidates(b *batch, job *pendingJob, ownerShardsOnly bool) []*candidate {
	type scored struct {
		r *candidate
		s float64
	}
	var ranked []scored
	available := s.plan.availableCandidates[:0]
	for _, r := range s.plan.availableCandidates {
		if r.cores <= epsilon || r.memoryGB <= epsilon {
			continue // full by now, for all that come later
		}
		available = append(available, r)
		if !job.avoidedTypes[r.record.MachineType] && (!ownerShardsOnly || r.record.Owner == job.record.Owner) && r.capacityFor(job.record.Spec) > 0 && s.capacity.isMachineAllowed(job.record.Spec, r) {
			ranked = append(ranked, scored{r, s.score(b, job, r)})
		}
	}
	s.plan.availableCandidates = available
	slices.SortFunc(ranked, func(a, z scored) int {
		return cmp.Or(cmp.Compare(a.s, z.s), cmp.Compare(a.r.record.Shard, z.r.record.Shard), cmp.Compare(a.r.id, z.r.id))
	})
	candidates := make([]*candidate, len(ranked))
	for i := range ranked {
		candidates[i] = ranked[i].r
	}
	return candidates
}

// recordAllocation notes n planned tasks of the job on the machine.
func (j *pendingJob) recordAllocation(machine *candidate, count int, attempt protocol.Attempt) {
	machine.allocate(j.record.Spec, count)
	machine.allocations = append(machine.allocations, allocation{job: j.id, attempt: attempt, count: count, desc: j.record.Spec, precedence: j.precedence})
	j.tasksByZone[machine.record.Zone] += count
	j.placedTasks += count
}

// placeArray places up to most tasks of an array; home: on its claimant's pages only.
// Else what is left behind it is unmet demand.
func (s *scheduler) placeArray(b *batch, job *pendingJob, candidates []*candidate, maxTasks int, ownerShardsOnly bool) {
	d := job.record.Spec
	remaining := d.TaskCount - job.doneTasks - job.placedTasks
	if remaining <= 0 {
		return
	}
	// The written form of what is done must stay within a value: gaps in it
	// are bounded by the tasks under way.
	limit := min(remaining, maxTasks, s.queue.quotaHeadroom(candidates, d), max(s.acquirer.maxTasksInProgress(d.TaskCount)-job.placedTasks, 0))
	canWrite := s.acquirer.canWritePlacements(b, job)
	state := s.jobs.jobState(job.id)
	if canWrite && s.now.Monotonic < state.notBefore {
		canWrite = false
	}
	var pending []int
	if canWrite {
		pending = s.acquirer.pendingTasks(b, job, limit)
		limit = min(limit, len(pending))
	}
	if job.avoidedTypes == nil {
		job.avoidedTypes = s.contention.typesToAvoid(job)
	}
	for _, machine := range s.rankedCandidates(b, job, ownerShardsOnly) {
		if limit <= 0 {
			break
		}
		n := min(machine.capacityFor(d), limit, job.zoneHeadroom(machine.record.Zone))
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
	if job.isStarved && job.placedTasks == 0 && limit > 0 {
		// Its tasks fit into no gap that others leave: some machines are emptied.
		s.gangs.reserveMachines(b, job, candidates, []protocol.Zone{""}, min(limit, 4))
	}
	if n := min(remaining, limit); n > 0 && maxTasks == protocol.MaxTasks {
		s.recordUnplaced(job, candidates, n)
	}
}

// planTasks plans n tasks for a machine, and writes them if this transaction does; tasks
// are those, where this run writes the job's placements at all.
func (s *scheduler) planTasks(b *batch, job *pendingJob, machine *candidate, n int, writeNow bool, tasks []int) {
	if writeNow {
		attempt := s.jobs.jobState(job.id).nextAttempt
		b.assignTasks(machine.id, job.id, tasks, attempt)
		s.recordPlacement(b, job, machine, n, attempt)
		// Whether a report waits at another owner is not known here: a replica can't wait
		// for the next one.
		if s.queue.shouldExpedite(job) && (s.capacity.awaitsHeartbeat(machine) || job.record.Spec.IsService() && machine.record.Owner != s.lease.incarnation) {
			s.expedite(b, machine.id)
		}
	} else {
		s.plan.hasPendingRemotePlacements = s.plan.hasPendingRemotePlacements || tasks != nil && machine.record.Owner != s.lease.incarnation && !machine.isProvisioning
		s.plan.pendingPlacements[machine.id] = true
	}
	job.recordAllocation(machine, n, 0)
	s.plan.retainedMachines[machine.id] = true
}

// recordUnplaced takes in that n tasks of an array have found no machine. What can wait for
// machines in use does so; the rest is demand.
func (s *scheduler) recordUnplaced(job *pendingJob, candidates []*candidate, n int) {
	s.contention.recordContention(job)
	if !job.isUrgent {
		n -= s.backfill.reserveBackfill(job, candidates, n)
	}
	if n > 0 && job.record.Owner == s.lease.incarnation {
		s.plan.unmetDemands = append(s.plan.unmetDemands, unmetDemand{job: job.id, desc: job.record.Spec, tasks: n, zone: job.pinnedZone(), order: job.precedence,
			submittedAt: job.record.SubmittedAt, urgent: job.isUrgent})
	}
}

// pinnedZone is the zone that the job is bound to by its other tasks.
func (j *pendingJob) pinnedZone() protocol.Zone {
	if j.record.Spec.SingleZone {
		for z, n := range j.tasksByZone {
			if n > 0 {
				return z
			}
		}
	}
	return ""
}

// fitsTransaction tells whether a placement on the machine fits the transaction.
func (s *scheduler) fitsTransaction(b *batch, machine *candidate, d *protocol.Job) bool {
	n := b.writesNeeded(machine.id)
	if s.cfg.Quotas[d.Team].hasLimit() && !b.teams[d.Team] {
		n++
		if s.replica.Revision < protocol.Revision(s.replica.QuotaRevisions[d.Team]) {
			return false
		}
	}
	return b.hasCapacity(n) && b.hasShardHeadroom(machine.record)
}

// recordPlacement notes a written placement: it rests on the job's stamp, and on the
// team's where the team has a limit.
func (s *scheduler) recordPlacement(b *batch, job *pendingJob, machine *candidate, n int, attempt protocol.Attempt) {
	d := job.record.Spec
	b.dependOn(storage.JobKey(job.id))
	if s.cfg.Quotas[d.Team].hasLimit() && !b.teams[d.Team] {
		b.reserveWrite(storage.QuotaKey(d.Team), 100)
		b.teams[d.Team] = true
	}
	state := s.jobs.jobState(job.id)
	b.onSend = append(b.onSend, func() {
		state.nextAttempt = max(state.nextAttempt, attempt+1)
		// A job whose tasks come back again and again is tried ever less often:
		// it may fail everywhere until its user cancels it.
		if state.placements += n; !d.IsService() && state.placements >= 4*d.TaskCount {
			state.notBefore = s.now.Monotonic.Add(min(time.Duration(state.placements/d.TaskCount-3)*5*time.Second, 30*time.Second))
		}
	})
	b.log(slog.LevelDebug, "tasks placed", "job", string(job.id), "tasks", n, "attempt", uint64(attempt), "machine", string(machine.id))
}

// expedite makes the machine's worker report as soon as the placement is on record.
// A gang waits for the last of its machines: with reports some seconds apart
// that is nearly a whole interval each time.
func (s *scheduler) expedite(b *batch, id protocol.MachineID) {
	if s.cfg.HeartbeatInterval >= 4*time.Second {
		b.bumpFencingToken(id)
	}
}
