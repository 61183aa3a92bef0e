package coordination

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// serviceScheduler places the replicas of services.
type serviceScheduler struct {
	*stepContext

	capacity   *candidateLister
	acquirer   *jobAcquirer
	agents     *agentTable
	catalog    *machineCatalog
	jobs       *jobTable
	lease      *incarnationLease
	plan       *placementPlan
	preemption *preemptor
	queue      *jobQueue
	scheduler  *scheduler
}

// A job of shape daemon is a standing service: its tasks are replicas that run until
// their user cancels the job. It is never done, has no end to plan with, and every
// second in which a replica does not run counts. So replicas are urgent at all times,
// go where their image is already, and take the place of lower ranked tasks where that
// is quicker than to fetch an image or to rent a machine.

const (
	// slowImageFetch is a fetch that takes longer than to make room on a machine which has
	// the image.
	slowImageFetch = 3 * time.Second
	// largeTypeFactor is how many times the cores of the smallest type that fits a machine
	// may have to take replicas before all others are full: one that never ends would
	// keep gangs off a large machine for good.
	largeTypeFactor = 4
	// replicaStopCostSeconds is what stopping a replica is taken to cost, in seconds of its run.
	replicaStopCostSeconds = 60
	// spotReplicaPenalty puts spot machines behind all others for replicas.
	spotReplicaPenalty = 400
	// earlyExitWindow is the time from its placement within which the end of a replica counts as
	// a failure.
	earlyExitWindow = 20 * time.Second
	// Bounds of the pause before a replica of a job that fails again and again.
	minRestartBackoff = time.Second
	maxRestartBackoff = 30 * time.Second
	// unboundedRuntime stands for the end of what does not end.
	unboundedRuntime = 24 * time.Hour
)

// placeReplicas places the replicas of a daemon that do not run.
func (s *serviceScheduler) placeReplicas(b *batch, job *pendingJob, candidates []*candidate) {
	d := job.record.Spec
	p := replicaPlacer{services: s, batch: b, job: job, candidates: candidates, remaining: min(d.TaskCount-job.placedTasks, s.queue.quotaHeadroom(candidates, d)),
		replicasByMachine: map[protocol.MachineID]int{}, reservationUsed: map[protocol.MachineID]int{}}
	if p.remaining <= 0 {
		return
	}
	p.canWrite = s.acquirer.canWritePlacements(b, job) && s.now.Monotonic >= s.jobs.jobState(job.id).notBefore && !b.failedServices[job.id]
	if p.canWrite {
		p.pending = s.acquirer.pendingTasks(b, job, p.remaining)
		p.remaining = min(p.remaining, len(p.pending))
	}
	for id := range s.replica.MachinesWithJob(job.id) {
		for a := range s.replica.Machines[id].Record.AssignmentsOf(job.id) {
			p.replicasByMachine[id] += a.Tasks.Len()
		}
	}
	job.avoidedTypes = s.largeMachineTypes(d)
	fetchesQuickly := func(machine *candidate) bool { return s.imageFetchTime(machine, d) < slowImageFetch }
	anyMachine := func(*candidate) bool { return true }
	p.placeOnFree(fetchesQuickly)
	p.placeByPreemption(fetchesQuickly)
	p.placeByReservation(fetchesQuickly)
	// One on each machine that has to fetch the image: the more machines have it, the
	// more of the next replicas begin at once.
	p.onePerMachine = true
	p.placeOnFree(anyMachine)
	p.onePerMachine = false
	p.placeOnFree(anyMachine)
	p.placeByPreemption(anyMachine)
	p.placeByReservation(anyMachine)
	// To run beside each other is better than not to run.
	p.unlimitedPerMachine = true
	p.placeOnFree(anyMachine)
	job.avoidedTypes = nil
	p.placeOnFree(anyMachine)
	if p.remaining > 0 && job.record.Owner == s.lease.incarnation {
		s.plan.unmetDemands = append(s.plan.unmetDemands, unmetDemand{job: job.id, desc: d, tasks: p.remaining, zone: job.pinnedZone(), order: job.precedence,
			submittedAt: job.record.SubmittedAt, urgent: true})
	}
}

// replicaPlacer is one pass over the replicas of one job.
type replicaPlacer struct {
	services          *serviceScheduler
	batch             *batch
	job               *pendingJob
	candidates        []*candidate
	canWrite          bool  // this run writes the job's placements
	pending           []int // replicas to place, where it does
	remaining         int
	replicasByMachine map[protocol.MachineID]int // replicas of the job on a machine
	reservationUsed   map[protocol.MachineID]int // replicas that the choice on record has been used for
	// How many replicas of the job a machine may have: spread: one; crowd: any number.
	onePerMachine, unlimitedPerMachine bool
}

// maxReplicasOn is how many more replicas of the job the machine should have: half of them at
// most, as long as there are others, so that the loss of one does not stop the service.
func (p *replicaPlacer) maxReplicasOn(machine *candidate) int {
	maxReplicas := (p.job.record.Spec.TaskCount + 1) / 2
	switch {
	case p.onePerMachine:
		maxReplicas = 1
	case p.unlimitedPerMachine:
		maxReplicas = p.job.record.Spec.TaskCount
	}
	return min(max(maxReplicas-p.replicasByMachine[machine.id], 0), p.remaining, p.job.zoneHeadroom(machine.record.Zone))
}

// placeOnFree places replicas where there is room.
func (p *replicaPlacer) placeOnFree(isEligible func(*candidate) bool) {
	if p.remaining <= 0 {
		return
	}
	for _, machine := range p.services.scheduler.rankedCandidates(p.batch, p.job, false) {
		if n := min(machine.capacityFor(p.job.record.Spec), p.maxReplicasOn(machine)); n > 0 && isEligible(machine) {
			p.placeOn(machine, n)
		}
	}
}

// placeOn places n replicas on a machine that has room for them.
func (p *replicaPlacer) placeOn(machine *candidate, count int) {
	services := p.services
	writeNow := p.canWrite && !machine.isProvisioning && services.scheduler.fitsTransaction(p.batch, machine, p.job.record.Spec)
	services.scheduler.planTasks(p.batch, p.job, machine, count, writeNow, p.nextPending(count))
	p.replicasByMachine[machine.id] += count
	p.remaining -= count
}

func (p *replicaPlacer) nextPending(n int) []int {
	if !p.canWrite {
		return nil
	}
	next := p.pending[:n]
	p.pending = p.pending[n:]
	return next
}

// placeByPreemption makes room for replicas on own machines by stopping what ranks lower. The
// claimant of the job chooses among its own machines only: no other controller makes
// room for the same replicas then, and nothing has to be written before.
func (p *replicaPlacer) placeByPreemption(isEligible func(*candidate) bool) {
	if p.remaining <= 0 || !p.canWrite {
		return
	}
	for _, machine := range p.cheapestToPreempt(func(machine *candidate) bool {
		return p.services.lease.ownsMachine(machine.record) && isEligible(machine)
	}) {
		p.preemptOn(machine, p.remaining, true)
	}
}

// placeByReservation makes room where own machines don't do, on those of other controllers too:
// the claimant puts its choice on record, a machine once for each replica, and their
// owners stop tasks there.
func (p *replicaPlacer) placeByReservation(isEligible func(*candidate) bool) {
	c, job := p.services, p.job
	if p.remaining <= 0 {
		return
	}
	chosen := p.cheapestToPreempt(func(machine *candidate) bool {
		return p.remainingReservation(job.record.ReservedMachines, machine) > 0 && isEligible(machine)
	})
	capacity := 0
	for _, machine := range chosen {
		capacity += min(c.preemption.capacityAfterPreemption(machine, job), p.maxReplicasOn(machine), p.remainingReservation(job.record.ReservedMachines, machine))
	}
	if p.canWrite && capacity < p.remaining && p.batch.hasCapacity(p.batch.writesNeeded("", job.id)) {
		if better := p.reserveMachines(isEligible, capacity); better != nil {
			chosen = better
		}
	}
	reserved := c.replica.Jobs[job.id].Record.ReservedMachines
	for _, machine := range chosen {
		before := p.remaining
		p.preemptOn(machine, p.remainingReservation(p.batch.jobRecord(job.id).ReservedMachines, machine), slices.Contains(reserved, machine.id))
		p.reservationUsed[machine.id] += before - p.remaining
	}
}

// remainingReservation counts the replicas that a choice has for a machine and that this pass has not
// provided for yet.
func (p *replicaPlacer) remainingReservation(reservation []protocol.MachineID, machine *candidate) int {
	n := -p.reservationUsed[machine.id]
	for _, id := range reservation {
		if id == machine.id {
			n++
		}
	}
	return n
}

// reserveMachines puts machines on record on which room is made, if that is for more replicas than
// the choice on record is.
func (p *replicaPlacer) reserveMachines(isEligible func(*candidate) bool, reservedCount int) []*candidate {
	var placements []placement
	remaining := p.remaining
	for _, machine := range p.cheapestToPreempt(isEligible) {
		for range min(p.services.preemption.capacityAfterPreemption(machine, p.job), p.maxReplicasOn(machine), remaining) {
			placements = append(placements, placement{machine: machine, count: 1})
			remaining--
		}
	}
	if len(placements) <= reservedCount || !p.services.preemption.fitsJobRecord(placements) {
		return nil
	}
	recordReservation(p.batch, p.job.id, placements, "preemption planned for service replicas")
	var machines []*candidate
	for _, chosen := range placements {
		machines = append(machines, chosen.machine)
	}
	return slices.Compact(machines)
}

// cheapestToPreempt lists machines on which lower ranked tasks can be stopped for replicas, those
// first where that costs least.
func (p *replicaPlacer) cheapestToPreempt(isEligible func(*candidate) bool) []*candidate {
	services := p.services
	cost := map[*candidate]float64{}
	var machines []*candidate
	for _, machine := range p.candidates {
		if !machine.isProvisioning && !machine.isUnschedulable && !p.job.avoidedTypes[machine.record.MachineType] && services.capacity.isMachineAllowed(p.job.record.Spec, machine) && isEligible(machine) && services.preemption.capacityAfterPreemption(machine, p.job) > 0 {
			cost[machine] = services.replicaStartCost(machine, p.job)
			machines = append(machines, machine)
		}
	}
	slices.SortStableFunc(machines, func(a, z *candidate) int { return cmp.Compare(cost[a], cost[z]) })
	return machines
}

// preemptOn keeps what up to most replicas are to take of a machine, and stops lower ranked
// tasks there if that is decided and the machine is this run's.
func (p *replicaPlacer) preemptOn(machine *candidate, limit int, mayPreempt bool) {
	services := p.services
	n := min(services.preemption.capacityAfterPreemption(machine, p.job), p.maxReplicasOn(machine), limit)
	if n <= 0 {
		return
	}
	if mayPreempt && services.lease.ownsMachine(machine.record) && machine.state != nil {
		services.preemptForReplicas(machine, p.job, n)
	}
	p.job.recordAllocation(machine, n, 0)
	services.plan.retainedMachines[machine.id] = true
	services.plan.pendingPlacements[machine.id] = true
	p.replicasByMachine[machine.id] += n
	p.nextPending(n)
	p.remaining -= n
}

// preemptForReplicas stops as few lower ranked tasks on an own machine as n replicas need.
func (s *serviceScheduler) preemptForReplicas(machine *candidate, job *pendingJob, replicas int) {
	simulated := *machine
	for _, alloc := range s.preemption.rankedVictims(machine, job) {
		stopped := 0
		for stopped < alloc.count && simulated.capacityFor(job.record.Spec) < replicas {
			simulated.allocate(alloc.desc, -1)
			stopped++
		}
		if stopped > 0 {
			s.preemption.preemptTasks(machine, alloc, job, stopped)
		}
	}
}

// replicaStartCost is what it takes until one replica runs on a machine: work lost, and time.
// Tasks that are being stopped cost nothing more, so that a choice stays what it was.
func (s *serviceScheduler) replicaStartCost(machine *candidate, job *pendingJob) float64 {
	const costPerSecond = 10 // core-seconds that a second of a replica is worth
	simulated, cost, waitSeconds := *machine, 0.0, 0.0
	for _, alloc := range s.preemption.rankedVictims(machine, job) {
		stopping := s.preemption.countStopping(machine, alloc)
		for k := 0; k < alloc.count && simulated.capacityFor(job.record.Spec) == 0; k++ {
			simulated.allocate(alloc.desc, -1)
			if k >= stopping {
				cost += s.preemption.lostWork(machine, alloc) / float64(alloc.count)
			}
			if alloc.desc.CanCheckpoint() {
				waitSeconds = max(waitSeconds, alloc.desc.CheckpointSaveSeconds)
			}
		}
	}
	return cost + costPerSecond*(waitSeconds+s.imageFetchTime(machine, job.record.Spec).Seconds())
}

// imageFetchTime is how long this machine takes until it has the job's image.
func (s *serviceScheduler) imageFetchTime(machine *candidate, d *protocol.Job) time.Duration {
	if machine.state.hasImage(d.Image) {
		return 0
	}
	fetch := protocol.Seconds(imageFetchSeconds(machine.machineType, d))
	if machine.state.isFetchingImage() {
		fetch *= 2 // two images share the rate
	}
	return fetch
}

// isFetchingImage tells whether the newest report shows an image that is being fetched.
func (m *machineState) isFetchingImage() bool {
	if m == nil {
		return false
	}
	for _, p := range m.taskStatuses {
		if p.State == protocol.TaskPullingImage {
			return true
		}
	}
	return false
}

// largeMachineTypes lists the machine types that replicas leave to others as long as they can.
func (s *serviceScheduler) largeMachineTypes(d *protocol.Job) map[protocol.MachineTypeName]bool {
	smallest := 0.0
	for i := range s.catalog.machineTypes {
		if machineType := &s.catalog.machineTypes[i]; machineTypeCapacity(machineType, d) > 0 && (smallest == 0 || machineType.Cores < smallest) {
			smallest = machineType.Cores
		}
	}
	large := map[protocol.MachineTypeName]bool{}
	for i := range s.catalog.machineTypes {
		if s.catalog.machineTypes[i].Cores > largeTypeFactor*smallest {
			large[s.catalog.machineTypes[i].Name] = true
		}
	}
	return large
}

// recordExitedReplicas finds replicas that have left a machine's record though the machine
// and its session go on: they have ended by themselves, or were stopped. All controllers
// see it, so whoever places the next ones knows how the last ones fared.
func (s *serviceScheduler) recordExitedReplicas(id protocol.MachineID, before, after *storage.MachineRecord) {
	if after.AgentEpoch != before.AgentEpoch {
		return
	}
	for i := range before.Assignments {
		assigned := &before.Assignments[i]
		entry := s.replica.Jobs[assigned.Job]
		if entry == nil || entry.Record.Spec == nil || !entry.Record.Spec.IsService() || entry.Record.IsCancelledOrPending() {
			continue
		}
		remaining := 0
		for current := range after.AssignmentsOf(assigned.Job) {
			if current.Attempt == assigned.Attempt {
				remaining = current.Tasks.Len()
			}
		}
		if at, known := s.agents.assignedAt[assignmentKey{machine: id, job: assigned.Job, attempt: assigned.Attempt}]; known && remaining < assigned.Tasks.Len() {
			s.onReplicasExited(assigned.Job, s.since(at))
		}
	}
}

// onReplicasExited takes in that replicas have ended a while after they were placed. Those
// that do so soon are tried ever less often, so that they neither use up the writes nor
// hide others.
func (s *serviceScheduler) onReplicasExited(id protocol.JobID, after time.Duration) {
	state := s.jobs.jobState(id)
	if after > earlyExitWindow {
		state.earlyExits, state.notBefore = 0, 0
		clear(state.failedMachines)
		return
	}
	backoff := min(minRestartBackoff<<min(state.earlyExits, 8), maxRestartBackoff)
	state.earlyExits++
	state.notBefore = s.now.Monotonic.Add(backoff)
	s.log(slog.LevelInfo, "replica exited early", "job", string(id), "backoff_seconds", backoff.Seconds())
}
