package coordination

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// placementPlan is what the last pass of the planner found.
type placementPlan struct {
	computedAt                 protocol.Instant
	retainedMachines           map[protocol.MachineID]bool       // machines that the plan wants to keep
	hasPendingRemotePlacements bool                              // tasks of own jobs wait to be written to others' pages
	pendingPlacements          map[protocol.MachineID]bool       // those on which it has tasks that are not written yet
	availableCandidates        []*candidate                      // machines that may still take something
	contendedTypes             map[protocol.MachineTypeName]bool // machine types that tasks have waited for of late
	reservedPrecedences        map[int]bool                      // orders in which a job waits for machines to empty
}

func (c *Core) nextPlanTime() protocol.Instant {
	return c.lastPlan.computedAt.Add(c.cfg.MinCommitInterval)
}

func (c *Core) machineType(name protocol.MachineTypeName) *protocol.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return nil
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

// quotaHeadroom tells how many more tasks of the job its team's limit allows.
func (c *Core) quotaHeadroom(candidates []*candidate, j *protocol.Job) int {
	quota := c.cfg.Quotas[j.Team]
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

// placePendingJobs plans where all queued tasks go, in order, and writes the part of it
// that belongs to jobs claimed by this run. Jobs that others have claimed are
// planned just the same, so that all nodes keep the same room for them.
func (c *Core) placePendingJobs(b *batch) {
	c.lastPlan.computedAt = c.now.Monotonic
	c.lastPlan.retainedMachines = map[protocol.MachineID]bool{}
	c.lastPlan.hasPendingRemotePlacements = false
	c.lastPlan.pendingPlacements = map[protocol.MachineID]bool{}
	c.unmetDemands = c.unmetDemands[:0]
	if len(c.machineTypes) == 0 {
		return
	}
	candidates := c.listCandidates(b)
	c.logFleet(candidates)
	c.lastPlan.reservedPrecedences = map[int]bool{}
	c.lastPlan.availableCandidates = slices.DeleteFunc(slices.Clone(candidates), func(machine *candidate) bool { return machine.isUnschedulable })
	jobs := c.listPendingJobs(b, candidates)
	c.warmPool.observe(c.now.Monotonic, jobs)
	c.warmPool.selectRetained(candidates, c.isMachineAllowed)
	c.lastPlan.contendedTypes = c.contendedTypes()
	c.placeLongRunningArrays(b, jobs, candidates)
	for len(jobs) > 0 {
		n := 1
		for n < len(jobs) && jobs[n].hasSamePrecedence(jobs[0]) {
			n++
		}
		c.placeSamePrecedence(b, jobs[:n], candidates)
		jobs = jobs[n:]
	}
}

// placeSamePrecedence places jobs that differ in their dues only. Where the news of own pages
// is more than a transaction takes, what is free on a page goes first to arrays whose
// claimant owns it, and then to those of others: a controller writes its own pages all
// the time, one of another's is a change more, which comes late while the room waits
// for it. Elsewhere the order of dues alone serves better.
func (c *Core) placeSamePrecedence(b *batch, jobs []*pendingJob, candidates []*candidate) {
	for _, job := range jobs {
		c.acquireJob(b, job)
		if job.record.Spec.IsGang() {
			c.placeGang(b, job, candidates)
		} else if job.record.Spec.IsService() {
			c.placeReplicas(b, job, candidates)
		} else if len(jobs) > 1 && c.lastCommitWasPartial {
			c.placeArray(b, job, candidates, protocol.MaxTasks, true)
		}
	}
	for _, job := range jobs {
		if job.record.Spec.Kind == protocol.KindArray {
			c.placeArray(b, job, candidates, protocol.MaxTasks, false)
		}
	}
}

// placeLongRunningArrays gives a quarter of the fleet's cores to arrays that have been here
// very long, oldest first. By due time they would come last, behind a stream of
// newer ones for ever; with all they ask for they would make those late too.
func (c *Core) placeLongRunningArrays(b *batch, jobs []*pendingJob, candidates []*candidate) {
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
			c.acquireJob(b, job)
			before := job.placedTasks
			c.placeArray(b, job, candidates, n, false)
			remainingCores -= float64(job.placedTasks-before) * coresPerTask
		}
	}
}

// acquireJob takes over jobs whose claimant is dead, and sets attempts aside.
func (c *Core) acquireJob(b *batch, job *pendingJob) {
	state := c.jobState(job.id)
	if job.record.Owner == c.incarnation {
		if state.attemptsOwner != c.incarnation || job.record.NextAttempt > state.attemptsEnd {
			state.attemptsOwner, state.nextAttempt, state.attemptsEnd = c.incarnation, job.record.NextAttempt-attemptBlockSize+1, job.record.NextAttempt
		}
		if state.attemptsEnd-state.nextAttempt > 8 {
			return
		}
	} else if expiredAt, isExpired := c.ownership.expiredAt[job.record.Owner]; !isExpired || c.since(expiredAt) < 500*time.Millisecond ||
		!c.isSuccessor(storage.JobKey(job.id)) && c.since(expiredAt) < 10*time.Second {
		return
	}
	if !b.hasCapacity(b.writesNeeded("", job.id)) {
		return
	}
	record := b.mutableJob(job.id)
	if record.Owner != c.incarnation {
		b.log(slog.LevelInfo, "job claimed", "job", string(job.id), "from", string(record.Owner))
	}
	record.Owner = c.incarnation
	record.NextAttempt += attemptBlockSize
	job.record = record
}

// canWritePlacements tells whether this run may write placements of the job now. The replica
// must have all that was written before the claim.
func (c *Core) canWritePlacements(b *batch, job *pendingJob) bool {
	entry := c.replica.Jobs[job.id]
	state := c.jobState(job.id)
	return entry != nil && entry.Record.Owner == c.incarnation && state.attemptsOwner == c.incarnation && state.nextAttempt < state.attemptsEnd &&
		c.replica.Revision >= protocol.Revision(entry.ModRevision) && b.jobRecord(job.id).Owner == c.incarnation
}

// score ranks machines for a task: small types first, so that the large ones
// stay free for what fits nowhere else; then, in seconds, what it takes until
// the task runs: the image, and the wait for the machine's next report. Pages of
// other owners come later, as writing them means to collide with their owners.
func (c *Core) score(b *batch, job *pendingJob, machine *candidate) float64 {
	j := job.record.Spec
	score := machine.machineType.Cores*10 + machine.machineType.Accelerators*1000
	if machine.isProvisioning {
		return score + 1e6
	}
	m := machine.state
	if j.IsService() {
		score += c.imageFetchTime(machine, j).Seconds()
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
		score += c.cfg.HeartbeatInterval.Seconds() / 2
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
func (c *Core) rankedCandidates(b *batch, job *pendingJob, ownerShardsOnly bool) []*candidate {
	type scored struct {
		r *candidate
		s float64
	}
	var ranked []scored
	available := c.lastPlan.availableCandidates[:0]
	for _, r := range c.lastPlan.availableCandidates {
		if r.cores <= epsilon || r.memoryGB <= epsilon {
			continue // full by now, for all that come later
		}
		available = append(available, r)
		if !job.avoidedTypes[r.record.MachineType] && (!ownerShardsOnly || r.record.Owner == job.record.Owner) && r.capacityFor(job.record.Spec) > 0 && c.isMachineAllowed(job.record.Spec, r) {
			ranked = append(ranked, scored{r, c.score(b, job, r)})
		}
	}
	c.lastPlan.availableCandidates = available
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
	machine.allocations = append(machine.allocations, allocation{j.id, attempt, count, j.record.Spec, j.precedence})
	j.tasksByZone[machine.record.Zone] += count
	j.placedTasks += count
}

// pendingTasks lists up to max tasks that are neither done nor assigned, in order.
func (c *Core) pendingTasks(b *batch, job *pendingJob, limit int) []int {
	covered := b.doneTasks(job.id)
	add := func(record *storage.MachineRecord) {
		for a := range record.AssignmentsOf(job.id) {
			covered = covered.Union(a.Tasks)
		}
	}
	for id := range c.replica.MachinesWithJob(job.id) {
		if !b.removesMachine(id) {
			add(b.machineRecord(id))
		}
	}
	for id := range b.machines {
		if !c.replica.MachinesWithJob(job.id)[id] {
			add(b.machines[id])
		}
	}
	return covered.FirstMissing(job.record.Spec.TaskCount, limit)
}

// maxTasksInProgress tells how many tasks of a job may be under way so that what is done of
// it can be written, in whatever order they end.
func (c *Core) maxTasksInProgress(tasks int) int {
	intervalSize := 2*len(strconv.Itoa(tasks)) + 2 // "lo-hi,"
	budget := c.jobRecordBudget()
	if c.storageFormat() >= storage.FormatPacked {
		if tasks/6 <= budget { // a bit each, as base64
			return tasks
		}
		intervalSize = 6 // two varints of two bytes at most, for most of the runs
	}
	if tasks/3*intervalSize <= budget {
		return tasks
	}
	return budget / intervalSize
}

// jobRecordBudget is what a job's record may take besides its description.
func (c *Core) jobRecordBudget() int {
	if c.storageFormat() < storage.FormatPacked {
		return c.writeLimits().ValueBytes - 1500
	}
	return c.writeLimits().ValueBytes - c.writeLimits().ValueBytes/2
}

// placeArray places up to most tasks of an array; home: on its claimant's pages only.
// Else what is left behind it is unmet demand.
func (c *Core) placeArray(b *batch, job *pendingJob, candidates []*candidate, maxTasks int, ownerShardsOnly bool) {
	d := job.record.Spec
	remaining := d.TaskCount - job.doneTasks - job.placedTasks
	if remaining <= 0 {
		return
	}
	// The written form of what is done must stay within a value: gaps in it
	// are bounded by the tasks under way.
	limit := min(remaining, maxTasks, c.quotaHeadroom(candidates, d), max(c.maxTasksInProgress(d.TaskCount)-job.placedTasks, 0))
	canWrite := c.canWritePlacements(b, job)
	state := c.jobState(job.id)
	if canWrite && c.now.Monotonic < state.notBefore {
		canWrite = false
	}
	var pending []int
	if canWrite {
		pending = c.pendingTasks(b, job, limit)
		limit = min(limit, len(pending))
	}
	if job.avoidedTypes == nil {
		job.avoidedTypes = c.typesToAvoid(job)
	}
	for _, machine := range c.rankedCandidates(b, job, ownerShardsOnly) {
		if limit <= 0 {
			break
		}
		n := min(machine.capacityFor(d), limit, job.zoneHeadroom(machine.record.Zone))
		if n <= 0 {
			continue
		}
		writeNow := canWrite && !machine.isProvisioning && c.fitsTransaction(b, machine, d)
		var tasks []int
		if canWrite {
			if writeNow {
				n = min(n, 200)
			}
			tasks, pending = pending[:n], pending[n:]
		}
		c.planTasks(b, job, machine, n, writeNow, tasks)
		remaining -= n
		limit -= n
	}
	if ownerShardsOnly {
		return
	}
	if job.isStarved && job.placedTasks == 0 && limit > 0 {
		// Its tasks fit into no gap that others leave: some machines are emptied.
		c.reserveMachines(b, job, candidates, []protocol.Zone{""}, min(limit, 4))
	}
	if n := min(remaining, limit); n > 0 && maxTasks == protocol.MaxTasks {
		c.recordUnplaced(job, candidates, n)
	}
}

// planTasks plans n tasks for a machine, and writes them if this transaction does; tasks
// are those, where this run writes the job's placements at all.
func (c *Core) planTasks(b *batch, job *pendingJob, machine *candidate, n int, writeNow bool, tasks []int) {
	if writeNow {
		attempt := c.jobState(job.id).nextAttempt
		b.assignTasks(machine.id, job.id, tasks, attempt)
		c.recordPlacement(b, job, machine, n, attempt)
		// Whether a report waits at another owner is not known here: a replica can't wait
		// for the next one.
		if c.shouldExpedite(job) && (c.awaitsHeartbeat(machine) || job.record.Spec.IsService() && machine.record.Owner != c.incarnation) {
			c.expedite(b, machine.id)
		}
	} else {
		c.lastPlan.hasPendingRemotePlacements = c.lastPlan.hasPendingRemotePlacements || tasks != nil && machine.record.Owner != c.incarnation && !machine.isProvisioning
		c.lastPlan.pendingPlacements[machine.id] = true
	}
	job.recordAllocation(machine, n, 0)
	c.lastPlan.retainedMachines[machine.id] = true
}

// recordUnplaced takes in that n tasks of an array have found no machine. What can wait for
// machines in use does so; the rest is demand.
func (c *Core) recordUnplaced(job *pendingJob, candidates []*candidate, n int) {
	c.recordContention(job)
	if !job.isUrgent {
		n -= c.reserveBackfill(job, candidates, n)
	}
	if n > 0 && job.record.Owner == c.incarnation {
		c.unmetDemands = append(c.unmetDemands, unmetDemand{job: job.id, desc: job.record.Spec, tasks: n, zone: job.pinnedZone(), order: job.precedence,
			submittedAt: job.record.SubmittedAt, urgent: job.isUrgent})
	}
}

// shouldExpedite tells whether a job's tasks have to begin sooner than all machines report
// by themselves.
func (c *Core) shouldExpedite(job *pendingJob) bool {
	return !job.isLate && millisToDuration(job.latestStart-c.now.Wall) < 2*c.cfg.HeartbeatInterval
}

// awaitsHeartbeat tells whether what is written to a machine goes out with its next
// report only: none of it waits for an answer here.
func (c *Core) awaitsHeartbeat(machine *candidate) bool {
	state := c.machineStates[machine.id]
	return machine.record.Owner == c.incarnation && state != nil && state.deferredRequest == 0
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
func (c *Core) fitsTransaction(b *batch, machine *candidate, d *protocol.Job) bool {
	n := b.writesNeeded(machine.id)
	if c.cfg.Quotas[d.Team].hasLimit() && !b.teams[d.Team] {
		n++
		if c.replica.Revision < protocol.Revision(c.replica.QuotaRevisions[d.Team]) {
			return false
		}
	}
	return b.hasCapacity(n) && b.hasShardHeadroom(machine.record)
}

// recordPlacement notes a written placement: it rests on the job's stamp, and on the
// team's where the team has a limit.
func (c *Core) recordPlacement(b *batch, job *pendingJob, machine *candidate, n int, attempt protocol.Attempt) {
	d := job.record.Spec
	b.dependOn(storage.JobKey(job.id))
	if c.cfg.Quotas[d.Team].hasLimit() && !b.teams[d.Team] {
		b.reserveWrite(storage.QuotaKey(d.Team), 100)
		b.teams[d.Team] = true
	}
	state := c.jobState(job.id)
	b.onSend = append(b.onSend, func() {
		state.nextAttempt = max(state.nextAttempt, attempt+1)
		// A job whose tasks come back again and again is tried ever less often:
		// it may fail everywhere until its user cancels it.
		if state.placements += n; !d.IsService() && state.placements >= 4*d.TaskCount {
			state.notBefore = c.now.Monotonic.Add(min(time.Duration(state.placements/d.TaskCount-3)*5*time.Second, 30*time.Second))
		}
	})
	b.log(slog.LevelDebug, "tasks placed", "job", string(job.id), "tasks", n, "attempt", uint64(attempt), "machine", string(machine.id))
}
