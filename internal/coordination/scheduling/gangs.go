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
)

// GangScheduler places gangs: all tasks of a job or none.
type GangScheduler struct {
	*step.Context

	acquirer   *JobAcquirer
	capacity   *CandidateLister
	catalog    *catalog.Catalog
	jobs       *agents.JobTable
	limits     *commit.WriteLimiter
	plan       *Plan
	preemption *Preemptor
	queue      *Queue
	scheduler  *Scheduler
}

// placeGang places all tasks of a gang that are not done, or none.
func (g *GangScheduler) placeGang(b *commit.Batch, job *PendingJob, candidates []*Candidate) {
	d := job.Record.Spec
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
		zones = g.catalog.Zones()
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
			g.plan.retainedMachines[p.machine.ID] = true
			g.plan.pendingPlacements[p.machine.ID] = true
		}
	}
}

// retainGangMachines keeps the machines on which a gang has tasks.
func (g *GangScheduler) retainGangMachines(job *PendingJob, candidates []*Candidate) {
	for _, machine := range candidates {
		for _, alloc := range machine.Allocations {
			if alloc.Job == job.ID {
				g.plan.retainedMachines[machine.ID] = true
			}
		}
	}
}

// chooseGangPlacement chooses where the tasks of a gang go; nil: room is to be made for them. To
// stop what ranks lower is quicker than to wait for a machine that boots, or for an
// image where others have it.
func (g *GangScheduler) chooseGangPlacement(b *commit.Batch, job *PendingJob, candidates []*Candidate, zones []protocol.Zone, tasks int) []placement {
	var best []placement
	for _, z := range zones {
		p := g.distributeGang(b, job, candidates, z, tasks, nil)
		if p != nil && (best == nil || placementCost(p) < placementCost(best)) {
			best = p
		}
	}
	d := job.Record.Spec
	if reservation := g.preemption.currentReservation(job, candidates, tasks); reservation != nil {
		if slices.ContainsFunc(reservation, func(p placement) bool { return p.machine.CapacityFor(d) < p.count }) {
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
func (g *GangScheduler) canWriteGang(b *commit.Batch, job *PendingJob, placements []placement) bool {
	canWrite := g.acquirer.canWritePlacements(b, job) && g.Now.Monotonic >= g.jobs.JobState(job.ID).NotBefore
	var ids []protocol.MachineID
	for _, p := range placements {
		if p.machine.isProvisioning {
			return false
		}
		ids = append(ids, p.machine.ID)
		canWrite = canWrite && b.HasShardHeadroom(p.machine.Record)
	}
	if !canWrite {
		return false
	}
	fits, requiredOps := b.CanWriteMachines(ids)
	if requiredOps == 0 || fits {
		return true
	}
	if g.plan.pendingGangOps == 0 {
		g.plan.pendingGangOps = requiredOps + g.limits.ReservedUserTokens()
	}
	return false
}

// writeGangPlacement writes as much of the choice as the transaction takes.
func (g *GangScheduler) writeGangPlacement(b *commit.Batch, job *PendingJob, placements []placement, tasks int) {
	pending := g.acquirer.pendingTasks(b, job, tasks)
	attempt := g.jobs.JobState(job.ID).NextAttempt
	b.OnSend(func() { g.jobs.JobState(job.ID).GangAttemptInProgress = attempt })
	for _, p := range placements {
		if g.scheduler.fitsTransaction(b, p.machine, job.Record.Spec) {
			b.AssignTasks(p.machine.ID, job.ID, pending[:p.count], attempt)
			g.scheduler.expedite(b, p.machine.ID)
			g.scheduler.recordPlacement(b, job, p.machine, p.count, attempt)
		}
		pending = pending[p.count:]
		job.recordAllocation(p.machine, p.count, attempt)
		g.plan.retainedMachines[p.machine.ID] = true
	}
}

// completeGangPlacement writes what is missing of a gang that did not fit one transaction.
func (g *GangScheduler) completeGangPlacement(b *commit.Batch, job *PendingJob, candidates []*Candidate) {
	remaining := job.Record.Spec.TaskCount - job.doneTasks - job.placedTasks
	state := g.jobs.JobState(job.ID)
	if remaining <= 0 {
		state.GangAttemptInProgress = 0
	}
	if remaining <= 0 || !g.acquirer.canWritePlacements(b, job) {
		return
	}
	attempt := g.jobs.HighestAttempt(job.ID, b)
	// Only an attempt that is still being written. One that has lost a task is
	// not mended: its other tasks end, and the gang starts anew as a whole.
	if attempt == 0 || attempt != state.GangAttemptInProgress || job.Record.GracefulStopAttempt >= attempt || state.GangIncompleteAt != 0 && g.Since(state.GangIncompleteAt) > 2*time.Second {
		return
	}
	for _, p := range g.distributeGang(b, job, candidates, job.pinnedZone(), remaining, nil) {
		if p.machine.isProvisioning || !g.scheduler.fitsTransaction(b, p.machine, job.Record.Spec) {
			return
		}
		pending := g.acquirer.pendingTasks(b, job, p.count)
		b.AssignTasks(p.machine.ID, job.ID, pending, attempt)
		g.scheduler.expedite(b, p.machine.ID)
		g.scheduler.recordPlacement(b, job, p.machine, len(pending), attempt)
		job.recordAllocation(p.machine, len(pending), attempt)
	}
}

type placement struct {
	machine *Candidate
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
func (g *GangScheduler) distributeGang(b *commit.Batch, job *PendingJob, candidates []*Candidate, zone protocol.Zone, tasks int, capacity func(*Candidate) int) []placement {
	var placements []placement
	tasksByZone := map[protocol.Zone]int{}
	d := job.Record.Spec
	machines := candidates
	if capacity == nil {
		machines = g.scheduler.rankedCandidates(b, job, false)
	}
	for _, machine := range machines {
		if tasks == 0 {
			break
		}
		if zone != "" && machine.Record.Zone != zone || machine.IsUnschedulable || !g.capacity.IsMachineAllowed(d, machine) {
			continue
		}
		count := machine.CapacityFor(d)
		if capacity != nil {
			count = capacity(machine)
		}
		count = min(count, tasks, job.zoneHeadroom(machine.Record.Zone)-tasksByZone[machine.Record.Zone])
		if count <= 0 {
			continue
		}
		tasksByZone[machine.Record.Zone] += count
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
func (g *GangScheduler) wouldDelayGang(placements []placement, d *protocol.Job, includeImages bool) bool {
	const preemptionSeconds = 6 // seconds that it takes to stop what runs, and to write it
	return slices.ContainsFunc(placements, func(p placement) bool {
		return p.machine.isProvisioning || includeImages && catalog.ImageFetchSeconds(p.machine.MachineType, d) > preemptionSeconds && !p.machine.state.HasImage(d.Image)
	})
}

// preemptForGang keeps machines for a gang that fits nowhere, while their owners stop
// what ranks lower there. The job's claimant chooses them and writes its choice
// down: if every owner chose for itself, two could make room for one gang.
func (g *GangScheduler) preemptForGang(b *commit.Batch, job *PendingJob, candidates []*Candidate, zones []protocol.Zone, tasks int) {
	d := job.Record.Spec
	canWrite := g.acquirer.canWritePlacements(b, job)
	placements := g.preemption.currentReservation(job, candidates, tasks)
	if placements == nil && job.IsStarved {
		if g.reserveMachines(b, job, candidates, zones, tasks) && canWrite {
			g.plan.unmetDemands = append(g.plan.unmetDemands, provisioning.UnmetDemand{Job: job.ID, Desc: d, Tasks: tasks, Zone: d.Zone, Order: job.precedence, SubmittedAt: job.Record.SubmittedAt, Urgent: true})
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
			g.plan.unmetDemands = append(g.plan.unmetDemands, provisioning.UnmetDemand{Job: job.ID, Desc: d, Tasks: tasks, Zone: d.Zone, Order: job.precedence, SubmittedAt: job.Record.SubmittedAt, Urgent: true})
		} else if b.HasCapacity(b.WritesNeeded("", job.ID)) {
			recordReservation(b, job.ID, placements, "preemption planned for gang")
		}
	}
	reserved := g.Replica.Jobs[job.ID].Record.ReservedMachines
	for _, p := range placements {
		simulated := *p.machine
		for _, alloc := range g.preemption.victims(p.machine, job) {
			if simulated.CapacityFor(d) >= p.count {
				break
			}
			simulated.Allocate(alloc.Desc, -alloc.Count)
			if alloc.Attempt > 0 && slices.Contains(reserved, p.machine.ID) {
				g.preemption.preemptTasks(p.machine, alloc, job, alloc.Count)
			}
		}
		job.recordAllocation(p.machine, p.count, 0)
		g.plan.retainedMachines[p.machine.ID] = true
	}
}

// reserveMachines keeps machines for a job that has waited too long and fits nowhere,
// until what runs there has ended: nothing more is placed on them. Without it a
// stream of smaller jobs of its own rank would take each gap as it opens. One job
// of a rank at a time, so that few machines run empty. It tells whether the job
// is the one. The choice is on record, so that all controllers keep to it.
func (g *GangScheduler) reserveMachines(b *commit.Batch, job *PendingJob, candidates []*Candidate, zones []protocol.Zone, tasks int) bool {
	if g.plan.reservedPrecedences[job.precedence] {
		return false
	}
	d := job.Record.Spec
	// What an emptied machine takes, less what goes before this job.
	capacityWhenEmptied := func(machine *Candidate) int {
		if machine.isProvisioning {
			return 0
		}
		simulated := *machine
		for _, alloc := range machine.Allocations {
			if alloc.precedence >= job.precedence {
				simulated.Allocate(alloc.Desc, -alloc.Count)
			}
		}
		return simulated.CapacityFor(d)
	}
	distribute := func(machines []*Candidate) []placement {
		for _, z := range zones {
			if placements := g.distributeGang(nil, job, machines, z, tasks, capacityWhenEmptied); placements != nil {
				return placements
			}
		}
		return nil
	}
	placements := distribute(job.reservedCandidates(candidates))
	if placements == nil {
		if !g.acquirer.canWritePlacements(b, job) || !b.HasCapacity(b.WritesNeeded("", job.ID)) {
			return false
		}
		// Those that are emptiest, and where what runs has run longest.
		machines := slices.Clone(candidates)
		cost := map[*Candidate]float64{}
		for _, machine := range machines {
			for _, alloc := range machine.Allocations {
				cost[machine] += float64(alloc.Count) * alloc.Desc.Cores / machine.MachineType.Cores * g.preemption.expectedRemainingSeconds(machine, alloc)
			}
		}
		slices.SortStableFunc(machines, func(a, z *Candidate) int { return cmp.Compare(cost[a], cost[z]) })
		if placements = distribute(machines); placements == nil || !g.preemption.fitsJobRecord(placements) {
			return false
		}
		recordReservation(b, job.ID, placements, "machines reserved for starved job")
	}
	g.plan.reservedPrecedences[job.precedence] = true
	for _, p := range placements {
		p.machine.IsUnschedulable = true
		p.machine.Cores = 0
		g.plan.retainedMachines[p.machine.ID] = true
	}
	return true
}

// recordReservation puts a choice of machines on record; the caller has asked for room.
func recordReservation(b *commit.Batch, id protocol.JobID, placements []placement, message string) {
	record := b.MutableJob(id)
	record.ReservedMachines = nil
	for _, p := range placements {
		record.ReservedMachines = append(record.ReservedMachines, p.machine.ID)
	}
	b.Log(slog.LevelInfo, message, "job", string(id), "machines", record.ReservedMachines)
}

// reservedCandidates lists the machines of the choice on record.
func (j *PendingJob) reservedCandidates(candidates []*Candidate) []*Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(machine *Candidate) bool { return !slices.Contains(j.Record.ReservedMachines, machine.ID) })
}
