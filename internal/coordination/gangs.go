package coordination

import (
	"cmp"
	"log/slog"
	"slices"
	"sort"
	"time"

	"tillerarch/internal/protocol"
)

// placeGang places all tasks of a gang that are not done, or none.
func (c *Core) placeGang(b *batch, job *pendingJob, candidates []*candidate) {
	d := job.record.Spec
	remaining := d.TaskCount - job.doneTasks
	if job.placedTasks > 0 {
		c.retainGangMachines(job, candidates)
		c.completeGangPlacement(b, job, candidates)
		return
	}
	if remaining <= 0 || c.quotaHeadroom(candidates, d) < remaining {
		return
	}
	zones := []protocol.Zone{""}
	if d.SingleZone {
		zones = c.zones()
	}
	best := c.chooseGangPlacement(b, job, candidates, zones, remaining)
	switch {
	case best == nil:
		c.preemptForGang(b, job, candidates, zones, remaining)
	case c.canWriteGang(b, job, best):
		c.writeGangPlacement(b, job, best, remaining)
	default:
		for _, p := range best {
			job.recordAllocation(p.machine, p.count, 0)
			c.lastPlan.retainedMachines[p.machine.id] = true
			c.lastPlan.pendingPlacements[p.machine.id] = true
		}
	}
}

// retainGangMachines keeps the machines on which a gang has tasks.
func (c *Core) retainGangMachines(job *pendingJob, candidates []*candidate) {
	for _, machine := range candidates {
		for _, alloc := range machine.allocations {
			if alloc.job == job.id {
				c.lastPlan.retainedMachines[machine.id] = true
			}
		}
	}
}

// chooseGangPlacement chooses where the tasks of a gang go; nil: room is to be made for them. To
// stop what ranks lower is quicker than to wait for a machine that boots, or for an
// image where others have it.
func (c *Core) chooseGangPlacement(b *batch, job *pendingJob, candidates []*candidate, zones []protocol.Zone, tasks int) []placement {
	var best []placement
	for _, z := range zones {
		p := c.distributeGang(b, job, candidates, z, tasks, nil)
		if p != nil && (best == nil || placementCost(p) < placementCost(best)) {
			best = p
		}
	}
	d := job.record.Spec
	if reservation := c.currentReservation(job, candidates, tasks); reservation != nil {
		if slices.ContainsFunc(reservation, func(p placement) bool { return p.machine.capacityFor(d) < p.count }) {
			return nil // once it is empty
		}
		return reservation
	}
	if best != nil && c.fitsJobRecord(best) && (c.wouldDelayGang(best, d, true) && c.cheapestPreemption(job, candidates, zones, tasks, true) != nil ||
		c.wouldDelayGang(best, d, false) && c.cheapestPreemption(job, candidates, zones, tasks, false) != nil) {
		return nil
	}
	return best
}

// canWriteGang tells whether this run writes the choice now. A gang too large for one
// transaction is written in several; nobody starts a task of it before the last one.
func (c *Core) canWriteGang(b *batch, job *pendingJob, placements []placement) bool {
	canWrite := c.canWritePlacements(b, job) && c.now.Monotonic >= c.jobState(job.id).notBefore
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
	if c.pendingGangOps == 0 {
		c.pendingGangOps = requiredOps + c.reservedUserTokens()
	}
	return false
}

// writeGangPlacement writes as much of the choice as the transaction takes.
func (c *Core) writeGangPlacement(b *batch, job *pendingJob, placements []placement, tasks int) {
	pending := c.pendingTasks(b, job, tasks)
	attempt := c.jobState(job.id).nextAttempt
	b.onSend = append(b.onSend, func() { c.jobState(job.id).gangAttemptInProgress = attempt })
	for _, p := range placements {
		if c.fitsTransaction(b, p.machine, job.record.Spec) {
			b.assignTasks(p.machine.id, job.id, pending[:p.count], attempt)
			c.expedite(b, p.machine.id)
			c.recordPlacement(b, job, p.machine, p.count, attempt)
		}
		pending = pending[p.count:]
		job.recordAllocation(p.machine, p.count, attempt)
		c.lastPlan.retainedMachines[p.machine.id] = true
	}
}

// completeGangPlacement writes what is missing of a gang that did not fit one transaction.
func (c *Core) completeGangPlacement(b *batch, job *pendingJob, candidates []*candidate) {
	remaining := job.record.Spec.TaskCount - job.doneTasks - job.placedTasks
	state := c.jobState(job.id)
	if remaining <= 0 {
		state.gangAttemptInProgress = 0
	}
	if remaining <= 0 || !c.canWritePlacements(b, job) {
		return
	}
	attempt := c.highestAttempt(job.id, b)
	// Only an attempt that is still being written. One that has lost a task is
	// not mended: its other tasks end, and the gang starts anew as a whole.
	if attempt == 0 || attempt != state.gangAttemptInProgress || job.record.GracefulStopAttempt >= attempt || state.gangIncompleteAt != 0 && c.since(state.gangIncompleteAt) > 2*time.Second {
		return
	}
	for _, p := range c.distributeGang(b, job, candidates, job.pinnedZone(), remaining, nil) {
		if p.machine.isProvisioning || !c.fitsTransaction(b, p.machine, job.record.Spec) {
			return
		}
		pending := c.pendingTasks(b, job, p.count)
		b.assignTasks(p.machine.id, job.id, pending, attempt)
		c.expedite(b, p.machine.id)
		c.recordPlacement(b, job, p.machine, len(pending), attempt)
		job.recordAllocation(p.machine, len(pending), attempt)
	}
}

// expedite makes the machine's worker report as soon as the placement is on record.
// A gang waits for the last of its machines: with reports some seconds apart
// that is nearly a whole interval each time.
func (c *Core) expedite(b *batch, id protocol.MachineID) {
	if c.cfg.HeartbeatInterval >= 4*time.Second {
		b.bumpFencingToken(id)
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

func (c *Core) zones() []protocol.Zone {
	seen := map[protocol.Zone]bool{}
	var out []protocol.Zone
	for i := range c.machineTypes {
		for _, z := range c.machineTypes[i].Zones {
			if !seen[z] {
				seen[z] = true
				out = append(out, z)
			}
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i] < out[k] })
	return out
}

// distributeGang spreads n tasks over the machines of a zone (any, if empty).
// freed adds what could be made free on a machine.
func (c *Core) distributeGang(b *batch, job *pendingJob, candidates []*candidate, zone protocol.Zone, tasks int, capacity func(*candidate) int) []placement {
	var placements []placement
	tasksByZone := map[protocol.Zone]int{}
	d := job.record.Spec
	machines := candidates
	if capacity == nil {
		machines = c.rankedCandidates(b, job, false)
	}
	for _, machine := range machines {
		if tasks == 0 {
			break
		}
		if zone != "" && machine.record.Zone != zone || machine.isUnschedulable || !c.isMachineAllowed(d, machine) {
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
		placements = append(placements, placement{machine, count})
		tasks -= count
	}
	if tasks > 0 {
		return nil
	}
	return placements
}

// wouldDelayGang tells whether a gang would wait on these machines: for one that boots,
// or, if images count, for an image that takes longer than to make room elsewhere.
func (c *Core) wouldDelayGang(placements []placement, d *protocol.Job, includeImages bool) bool {
	const preemptionSeconds = 6 // seconds that it takes to stop what runs, and to write it
	return slices.ContainsFunc(placements, func(p placement) bool {
		return p.machine.isProvisioning || includeImages && imageFetchSeconds(p.machine.machineType, d) > preemptionSeconds && !p.machine.state.hasImage(d.Image)
	})
}

// preemptForGang keeps machines for a gang that fits nowhere, while their owners stop
// what ranks lower there. The job's claimant chooses them and writes its choice
// down: if every owner chose for itself, two could make room for one gang.
func (c *Core) preemptForGang(b *batch, job *pendingJob, candidates []*candidate, zones []protocol.Zone, tasks int) {
	d := job.record.Spec
	canWrite := c.canWritePlacements(b, job)
	placements := c.currentReservation(job, candidates, tasks)
	if placements == nil && job.isStarved {
		if c.reserveMachines(b, job, candidates, zones, tasks) && canWrite {
			c.unmetDemands = append(c.unmetDemands, unmetDemand{job: job.id, desc: d, tasks: tasks, zone: d.Zone, order: job.precedence, submittedAt: job.record.SubmittedAt, urgent: true})
		}
		if c.lastPlan.reservedPrecedences[job.precedence] {
			return
		}
	}
	if placements == nil && canWrite {
		if placements = c.cheapestPreemption(job, candidates, zones, tasks, true); placements == nil {
			placements = c.cheapestPreemption(job, candidates, zones, tasks, false)
		}
		if !c.fitsJobRecord(placements) {
			placements = nil
		}
		if placements == nil {
			c.unmetDemands = append(c.unmetDemands, unmetDemand{job: job.id, desc: d, tasks: tasks, zone: d.Zone, order: job.precedence, submittedAt: job.record.SubmittedAt, urgent: true})
		} else if b.hasCapacity(b.writesNeeded("", job.id)) {
			b.recordReservation(job.id, placements, "room is made for a gang")
		}
	}
	reserved := c.replica.Jobs[job.id].Record.ReservedMachines
	for _, p := range placements {
		simulated := *p.machine
		for _, alloc := range c.victims(p.machine, job) {
			if simulated.capacityFor(d) >= p.count {
				break
			}
			simulated.allocate(alloc.desc, -alloc.count)
			if alloc.attempt > 0 && slices.Contains(reserved, p.machine.id) {
				c.preemptTasks(p.machine, alloc, job, alloc.count)
			}
		}
		job.recordAllocation(p.machine, p.count, 0)
		c.lastPlan.retainedMachines[p.machine.id] = true
	}
}

// reserveMachines keeps machines for a job that has waited too long and fits nowhere,
// until what runs there has ended: nothing more is placed on them. Without it a
// stream of smaller jobs of its own rank would take each gap as it opens. One job
// of a rank at a time, so that few machines run empty. It tells whether the job
// is the one. The choice is on record, so that all controllers keep to it.
func (c *Core) reserveMachines(b *batch, job *pendingJob, candidates []*candidate, zones []protocol.Zone, tasks int) bool {
	if c.lastPlan.reservedPrecedences[job.precedence] {
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
			if placements := c.distributeGang(nil, job, machines, z, tasks, capacityWhenEmptied); placements != nil {
				return placements
			}
		}
		return nil
	}
	placements := distribute(job.reservedCandidates(candidates))
	if placements == nil {
		if !c.canWritePlacements(b, job) || !b.hasCapacity(b.writesNeeded("", job.id)) {
			return false
		}
		// Those that are emptiest, and where what runs has run longest.
		machines := slices.Clone(candidates)
		cost := map[*candidate]float64{}
		for _, machine := range machines {
			for _, alloc := range machine.allocations {
				cost[machine] += float64(alloc.count) * alloc.desc.Cores / machine.machineType.Cores * c.expectedRemainingSeconds(machine, alloc)
			}
		}
		slices.SortStableFunc(machines, func(a, z *candidate) int { return cmp.Compare(cost[a], cost[z]) })
		if placements = distribute(machines); placements == nil || !c.fitsJobRecord(placements) {
			return false
		}
		b.recordReservation(job.id, placements, "machines are kept for a job that has waited long")
	}
	c.lastPlan.reservedPrecedences[job.precedence] = true
	for _, p := range placements {
		p.machine.isUnschedulable = true
		p.machine.cores = 0
		c.lastPlan.retainedMachines[p.machine.id] = true
	}
	return true
}

// expectedRemainingSeconds is for how many seconds more tasks are expected to run.
func (c *Core) expectedRemainingSeconds(machine *candidate, alloc allocation) float64 {
	if alloc.desc.IsService() {
		return unboundedRuntime.Seconds()
	}
	return max(alloc.desc.EstimatedRunSeconds-c.runningSeconds(machine, alloc), 5)
}

// runningSeconds is for how many seconds tasks have been assigned, as far as it is known.
func (c *Core) runningSeconds(machine *candidate, alloc allocation) float64 {
	if assignedAt, ok := c.assignedAt[assignmentKey{machine.id, alloc.job, alloc.attempt}]; ok {
		return c.since(assignedAt).Seconds()
	}
	return 0
}

// recordReservation puts a choice of machines on record; the caller has asked for room.
func (b *batch) recordReservation(id protocol.JobID, placements []placement, message string) {
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

// fitsJobRecord tells whether a choice of machines fits the job's record. One that
// does not would be refused with all else that is in its transaction.
func (c *Core) fitsJobRecord(placements []placement) bool {
	return len(placements) <= c.jobRecordBudget()/14
}

// capacityAfterPreemption tells how many tasks of the gang fit once what ranks lower is gone.
func (c *Core) capacityAfterPreemption(machine *candidate, job *pendingJob) int {
	if machine.isProvisioning {
		return 0
	}
	simulated := *machine
	for _, alloc := range c.victims(machine, job) {
		simulated.allocate(alloc.desc, -alloc.count)
	}
	return simulated.capacityFor(job.record.Spec)
}

// currentReservation is the choice on record, as long as it still serves.
func (c *Core) currentReservation(job *pendingJob, candidates []*candidate, tasks int) []placement {
	if len(job.record.ReservedMachines) == 0 {
		return nil
	}
	return c.distributeGang(nil, job, job.reservedCandidates(candidates), "", tasks, func(machine *candidate) int { return c.capacityAfterPreemption(machine, job) })
}

// cheapestPreemption chooses the machines on which the least work is lost.
// warm: only of those that have the image.
func (c *Core) cheapestPreemption(job *pendingJob, candidates []*candidate, zones []protocol.Zone, tasks int, requireImage bool) []placement {
	cost := map[*candidate]float64{}
	var machines []*candidate
	for _, machine := range candidates {
		if !machine.isUnschedulable && !machine.isProvisioning && machine.machineType.CanFitTask(job.record.Spec) && (!requireImage || machine.state.hasImage(job.record.Spec.Image)) {
			machines = append(machines, machine)
		}
	}
	for _, machine := range machines {
		cost[machine] = c.preemptionCost(machine, job)
	}
	sort.SliceStable(machines, func(i, k int) bool { return cost[machines[i]] < cost[machines[k]] })
	for _, zone := range zones {
		if placements := c.distributeGang(nil, job, machines, zone, tasks, func(machine *candidate) int { return c.capacityAfterPreemption(machine, job) }); placements != nil {
			return placements
		}
	}
	return nil
}

// preemptionCost is what making room on a machine costs, in core-seconds: work lost,
// and cores that wait for tasks to save or for the image.
func (c *Core) preemptionCost(machine *candidate, job *pendingJob) float64 {
	d := job.record.Spec
	simulated, cost, waitSeconds := *machine, 0.0, 0.0
	for _, alloc := range c.victims(machine, job) {
		if simulated.capacityFor(d) > 0 {
			break
		}
		simulated.allocate(alloc.desc, -alloc.count)
		cost += c.lostWork(machine, alloc)
		if alloc.desc.CanCheckpoint() {
			waitSeconds = max(waitSeconds, alloc.desc.CheckpointSaveSeconds)
		}
	}
	if !machine.state.hasImage(d.Image) {
		waitSeconds += imageFetchSeconds(machine.machineType, d)
	}
	return cost + waitSeconds*d.Cores
}

// lostWork is the work, in core-seconds, that stopping the tasks would throw away.
func (c *Core) lostWork(machine *candidate, alloc allocation) float64 {
	if alloc.desc.CanCheckpoint() {
		return float64(alloc.count) * alloc.desc.Cores * alloc.desc.CheckpointSaveSeconds
	}
	if alloc.desc.IsService() {
		return float64(alloc.count) * alloc.desc.Cores * replicaStopCostSeconds
	}
	return float64(alloc.count) * alloc.desc.Cores * c.runningSeconds(machine, alloc)
}

// assignmentKey is the tasks of a job that one attempt has on a machine.
type assignmentKey struct {
	machine protocol.MachineID
	job     protocol.JobID
	attempt protocol.Attempt
}

// victims lists what ranks lower on a machine, least loss per core first.
func (c *Core) victims(machine *candidate, job *pendingJob) []allocation {
	var out []allocation
	for _, alloc := range machine.allocations {
		if alloc.precedence > job.precedence {
			out = append(out, alloc)
		}
	}
	loss := func(alloc allocation) float64 {
		return c.lostWork(machine, alloc) / max(float64(alloc.count)*alloc.desc.Cores, epsilon)
	}
	slices.SortStableFunc(out, func(a, z allocation) int { return cmp.Compare(loss(a), loss(z)) })
	return out
}

// preemptTasks stops up to most of a job's tasks on an owned machine for one of higher rank,
// those that are being stopped already among them.
func (c *Core) preemptTasks(machine *candidate, alloc allocation, preemptor *pendingJob, maxTasks int) {
	if !c.ownsMachine(machine.record) || c.now.Wall-preemptor.record.SubmittedAt < 500 {
		return
	}
	state := c.machineStates[machine.id]
	if state == nil {
		return
	}
	if alloc.desc.IsGang() && alloc.desc.TaskCount > 1 && alloc.desc.CanCheckpoint() {
		c.gracefulStops[alloc.job] = alloc.attempt // all its tasks must hear of it, not only those here
		return
	}
	grace := 0.0
	if alloc.desc.CanCheckpoint() {
		grace = alloc.desc.CheckpointSaveSeconds + 0.5
	}
	for i := range machine.record.Assignments {
		assigned := &machine.record.Assignments[i]
		if assigned.Job != alloc.job || assigned.Attempt != alloc.attempt {
			continue
		}
		assigned.Tasks.Each(func(index int) bool {
			if s, ok := state.stopRequests[protocol.Task{Job: assigned.Job, Index: index}]; ok && s.attempt == assigned.Attempt {
				maxTasks--
			}
			return true
		})
		assigned.Tasks.Each(func(index int) bool {
			task := protocol.Task{Job: assigned.Job, Index: index}
			if s, ok := state.stopRequests[task]; maxTasks > 0 && (!ok || s.attempt != assigned.Attempt) {
				c.requestStop(state, task, assigned.Attempt, grace, "makes room for "+string(preemptor.id))
				maxTasks--
			}
			return maxTasks > 0
		})
	}
}
