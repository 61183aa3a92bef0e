package coordination

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/protocol"
)

// gangScheduler places gangs: all tasks of a job or none.
type gangScheduler struct {
	*stepContext

	acquirer   *jobAcquirer
	capacity   *candidateLister
	catalog    *machineCatalog
	jobs       *jobTable
	limits     *writeLimiter
	plan       *placementPlan
	preemption *preemptor
	queue      *jobQueue
	scheduler  *scheduler
}

// placeGang places all tasks of a gang that are not done, or none.
func (g *gangScheduler) placeGang(b *batch, job *pendingJob, candidates []*candidate) {
	d := job.record.Spec
	remaining := d.TaskCount - job.doneTasks
	if job.placedTasks > 0 {
		g.retainGangMachines(job, candidates)
		g.completeGangPlacement(b, job, candidates)
		return
	}
	if remaining <= 0 || g.queue.quotaHeadroom(candidates, d) < remaining {
		return
	}
	zones := []protocol.Zone{""}
	if d.SingleZone {
		zones = g.catalog.zones()
	}
	best := g.chooseGangPlacement(b, job, candidates, zones, remaining)
	switch {
	case best == nil:
		g.preemptForGang(b, job, candidates, zones, remaining)
	case g.canWriteGang(b, job, best):
		g.writeGangPlacement(b, job, best, remaining)
	default:
		for _, p := range best {
			job.recordAllocation(p.machine, p.count, 0)
			g.plan.retainedMachines[p.machine.id] = true
			g.plan.pendingPlacements[p.machine.id] = true
		}
	}
}

// retainGangMachines keeps the machines on which a gang has tasks.
func (g *gangScheduler) retainGangMachines(job *pendingJob, candidates []*candidate) {
	for _, machine := range candidates {
		for _, alloc := range machine.allocations {
			if alloc.job == job.id {
				g.plan.retainedMachines[machine.id] = true
			}
		}
	}
}

// chooseGangPlacement chooses where the tasks of a gang go; nil: room is to be made for them. To
// stop what ranks lower is quicker than to wait for a machine that boots, or for an
// image where others have it.
func (g *gangScheduler) chooseGangPlacement(b *batch, job *pendingJob, candidates []*candidate, zones []protocol.Zone, tasks int) []placement {
	var best []placement
	for _, z := range zones {
		p := g.distributeGang(b, job, candidates, z, tasks, nil)
		if p != nil && (best == nil || placementCost(p) < placementCost(best)) {
			best = p
		}
	}
	d := job.record.Spec
	if reservation := g.preemption.currentReservation(job, candidates, tasks); reservation != nil {
		if slices.ContainsFunc(reservation, func(p placement) bool { return p.machine.capacityFor(d) < p.count }) {
			return nil // once it is empty
		}
		return reservation
	}
	if best != nil && g.preemption.fitsJobRecord(best) && (g.wouldDelayGang(best, d, true) && g.preemption.cheapestPreemption(job, candidates, zones, tasks, true) != nil ||
		g.wouldDelayGang(best, d, false) && g.preemption.cheapestPreemption(job, candidates, zones, tasks, false) != nil) {
		return nil
	}
	return best
}

// canWriteGang tells whether this run writes the choice now. A gang too large for one
// transaction is written in several; nobody starts a task of it before the last one.
func (g *gangScheduler) canWriteGang(b *batch, job *pendingJob, placements []placement) bool {
	canWrite := g.acquirer.canWritePlacements(b, job) && g.now.Monotonic >= g.jobs.jobState(job.id).notBefore
	var ids []protocol.MachineID
	for _, p := range placements {
		if p.machine.isProvisioning {
			return false
		}
		ids = append(ids, p.machine.id)
		canWrite = canWrite && b.hasShardHeadroom(p.machine.record)
	}
	if !canWrite {
		return false
	}
	fits, requiredOps := b.canWriteMachines(ids)
	if requiredOps == 0 || fits {
		return true
	}
	if g.plan.pendingGangOps == 0 {
		g.plan.pendingGangOps = requiredOps + g.limits.reservedUserTokens()
	}
	return false
}

// writeGangPlacement writes as much of the choice as the transaction takes.
func (g *gangScheduler) writeGangPlacement(b *batch, job *pendingJob, placements []placement, tasks int) {
	pending := g.acquirer.pendingTasks(b, job, tasks)
	attempt := g.jobs.jobState(job.id).nextAttempt
	b.onSend = append(b.onSend, func() { g.jobs.jobState(job.id).gangAttemptInProgress = attempt })
	for _, p := range placements {
		if g.scheduler.fitsTransaction(b, p.machine, job.record.Spec) {
			b.assignTasks(p.machine.id, job.id, pending[:p.count], attempt)
			g.scheduler.expedite(b, p.machine.id)
			g.scheduler.recordPlacement(b, job, p.machine, p.count, attempt)
		}
		pending = pending[p.count:]
		job.recordAllocation(p.machine, p.count, attempt)
		g.plan.retainedMachines[p.machine.id] = true
	}
}

// completeGangPlacement writes what is missing of a gang that did not fit one transaction.
func (g *gangScheduler) completeGangPlacement(b *batch, job *pendingJob, candidates []*candidate) {
	remaining := job.record.Spec.TaskCount - job.doneTasks - job.placedTasks
	state := g.jobs.jobState(job.id)
	if remaining <= 0 {
		state.gangAttemptInProgress = 0
	}
	if remaining <= 0 || !g.acquirer.canWritePlacements(b, job) {
		return
	}
	attempt := g.jobs.highestAttempt(job.id, b)
	// Only an attempt that is still being written. One that has lost a task is
	// not mended: its other tasks end, and the gang starts anew as a whole.
	if attempt == 0 || attempt != state.gangAttemptInProgress || job.record.GracefulStopAttempt >= attempt || state.gangIncompleteAt != 0 && g.since(state.gangIncompleteAt) > 2*time.Second {
		return
	}
	for _, p := range g.distributeGang(b, job, candidates, job.pinnedZone(), remaining, nil) {
		if p.machine.isProvisioning || !g.scheduler.fitsTransaction(b, p.machine, job.record.Spec) {
			return
		}
		pending := g.acquirer.pendingTasks(b, job, p.count)
		b.assignTasks(p.machine.id, job.id, pending, attempt)
		g.scheduler.expedite(b, p.machine.id)
		g.scheduler.recordPlacement(b, job, p.machine, len(pending), attempt)
		job.recordAllocation(p.machine, len(pending), attempt)
	}
}

type placement struct {
	machine *candidate
	count   int
}

func placementCost(placements []placement) float64 {
	cost := 0.0
	for _, p := range placements {
		cost += 1
		if p.machine.isProvisioning {
			cost += 1000
		}
	}
	return cost
}

// distributeGang spreads n tasks over the machines of a zone (any, if empty).
// freed adds what could be made free on a machine.
func (g *gangScheduler) distributeGang(b *batch, job *pendingJob, candidates []*candidate, zone protocol.Zone, tasks int, capacity func(*candidate) int) []placement {
	var placements []placement
	tasksByZone := map[protocol.Zone]int{}
	d := job.record.Spec
	machines := candidates
	if capacity == nil {
		machines = g.scheduler.rankedCandidates(b, job, false)
	}
	for _, machine := range machines {
		if tasks == 0 {
			break
		}
		if zone != "" && machine.record.Zone != zone || machine.isUnschedulable || !g.capacity.isMachineAllowed(d, machine) {
			continue
		}
		count := machine.capacityFor(d)
		if capacity != nil {
			count = capacity(machine)
		}
		count = min(count, tasks, job.zoneHeadroom(machine.record.Zone)-tasksByZone[machine.record.Zone])
		if count <= 0 {
			continue
		}
		tasksByZone[machine.record.Zone] += count
		placements = append(placements, placement{machine: machine, count: count})
		tasks -= count
	}
	if tasks > 0 {
		return nil
	}
	return placements
}

// wouldDelayGang tells whether a gang would wait on these machines: for one that boots,
// or, if images count, for an image that takes longer than to make room elsewhere.
func (g *gangScheduler) wouldDelayGang(placements []placement, d *protocol.Job, includeImages bool) bool {
	const preemptionSeconds = 6 // seconds that it takes to stop what runs, and to write it
	return slices.ContainsFunc(placements, func(p placement) bool {
		return p.machine.isProvisioning || includeImages && imageFetchSeconds(p.machine.machineType, d) > preemptionSeconds && !p.machine.state.hasImage(d.Image)
	})
}

// preemptForGang keeps machines for a gang that fits nowhere, while their owners stop
// what ranks lower there. The job's claimant chooses them and writes its choice
// down: if every owner chose for itself, two could make room for one gang.
func (g *gangScheduler) preemptForGang(b *batch, job *pendingJob, candidates []*candidate, zones []protocol.Zone, tasks int) {
	d := job.record.Spec
	canWrite := g.acquirer.canWritePlacements(b, job)
	placements := g.preemption.currentReservation(job, candidates, tasks)
	if placements == nil && job.isStarved {
		if g.reserveMachines(b, job, candidates, zones, tasks) && canWrite {
			g.plan.unmetDemands = append(g.plan.unmetDemands, unmetDemand{job: job.id, desc: d, tasks: tasks, zone: d.Zone, order: job.precedence, submittedAt: job.record.SubmittedAt, urgent: true})
		}
		if g.plan.reservedPrecedences[job.precedence] {
			return
		}
	}
	if placements == nil && canWrite {
		if placements = g.preemption.cheapestPreemption(job, candidates, zones, tasks, true); placements == nil {
			placements = g.preemption.cheapestPreemption(job, candidates, zones, tasks, false)
		}
		if !g.preemption.fitsJobRecord(placements) {
			placements = nil
		}
		if placements == nil {
			g.plan.unmetDemands = append(g.plan.unmetDemands, unmetDemand{job: job.id, desc: d, tasks: tasks, zone: d.Zone, order: job.precedence, submittedAt: job.record.SubmittedAt, urgent: true})
		} else if b.hasCapacity(b.writesNeeded("", job.id)) {
			recordReservation(b, job.id, placements, "preemption planned for gang")
		}
	}
	reserved := g.replica.Jobs[job.id].Record.ReservedMachines
	for _, p := range placements {
		simulated := *p.machine
		for _, alloc := range g.preemption.victims(p.machine, job) {
			if simulated.capacityFor(d) >= p.count {
				break
			}
			simulated.allocate(alloc.desc, -alloc.count)
			if alloc.attempt > 0 && slices.Contains(reserved, p.machine.id) {
				g.preemption.preemptTasks(p.machine, alloc, job, alloc.count)
			}
		}
		job.recordAllocation(p.machine, p.count, 0)
		g.plan.retainedMachines[p.machine.id] = true
	}
}

// reserveMachines keeps machines for a job that has waited too long and fits nowhere,
// until what runs there has ended: nothing more is placed on them. Without it a
// stream of smaller jobs of its own rank would take each gap as it opens. One job
// of a rank at a time, so that few machines run empty. It tells whether the job
// is the one. The choice is on record, so that all controllers keep to it.
func (g *gangScheduler) reserveMachines(b *batch, job *pendingJob, candidates []*candidate, zones []protocol.Zone, tasks int) bool {
	if g.plan.reservedPrecedences[job.precedence] {
		return false
	}
	d := job.record.Spec
	// What an emptied machine takes, less what goes before this job.
	capacityWhenEmptied := func(machine *candidate) int {
		if machine.isProvisioning {
			return 0
		}
		simulated := *machine
		for _, alloc := range machine.allocations {
			if alloc.precedence >= job.precedence {
				simulated.allocate(alloc.desc, -alloc.count)
			}
		}
		return simulated.capacityFor(d)
	}
	distribute := func(machines []*candidate) []placement {
		for _, z := range zones {
			if placements := g.distributeGang(nil, job, machines, z, tasks, capacityWhenEmptied); placements != nil {
				return placements
			}
		}
		return nil
	}
	placements := distribute(job.reservedCandidates(candidates))
	if placements == nil {
		if !g.acquirer.canWritePlacements(b, job) || !b.hasCapacity(b.writesNeeded("", job.id)) {
			return false
		}
		// Those that are emptiest, and where what runs has run longest.
		machines := slices.Clone(candidates)
		cost := map[*candidate]float64{}
		for _, machine := range machines {
			for _, alloc := range machine.allocations {
				cost[machine] += float64(alloc.count) * alloc.desc.Cores / machine.machineType.Cores * g.preemption.expectedRemainingSeconds(machine, alloc)
			}
		}
		slices.SortStableFunc(machines, func(a, z *candidate) int { return cmp.Compare(cost[a], cost[z]) })
		if placements = distribute(machines); placements == nil || !g.preemption.fitsJobRecord(placements) {
			return false
		}
		recordReservation(b, job.id, placements, "machines reserved for starved job")
	}
	g.plan.reservedPrecedences[job.precedence] = true
	for _, p := range placements {
		p.machine.isUnschedulable = true
		p.machine.cores = 0
		g.plan.retainedMachines[p.machine.id] = true
	}
	return true
}

// recordReservation puts a choice of machines on record; the caller has asked for room.
func recordReservation(b *batch, id protocol.JobID, placements []placement, message string) {
	record := b.mutableJob(id)
	record.ReservedMachines = nil
	for _, p := range placements {
		record.ReservedMachines = append(record.ReservedMachines, p.machine.id)
	}
	b.log(slog.LevelInfo, message, "job", string(id), "machines", record.ReservedMachines)
}

// reservedCandidates lists the machines of the choice on record.
func (j *pendingJob) reservedCandidates(candidates []*candidate) []*candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(machine *candidate) bool { return !slices.Contains(j.record.ReservedMachines, machine.id) })
}

// assignmentKey is the tasks of a job that one attempt has on a machine.
type assignmentKey struct {
	machine protocol.MachineID
	job     protocol.JobID
	attempt protocol.Attempt
}
