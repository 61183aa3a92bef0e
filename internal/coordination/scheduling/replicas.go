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

// ServiceScheduler places the replicas of services.
type ServiceScheduler struct {
	*step.Context

	capacity   *CandidateLister
	acquirer   *JobAcquirer
	agents     *agents.Table
	catalog    *catalog.Catalog
	jobs       *agents.JobTable
	lease      *commit.Lease
	plan       *Plan
	preemption *Preemptor
	queue      *Queue
	scheduler  *Scheduler
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
	// EarlyExitWindow is the time from its placement within which the end of a replica counts as
	// a failure.
	EarlyExitWindow = 20 * time.Second
	// Bounds of the pause before a replica of a job that fails again and again.
	minRestartBackoff = time.Second
	MaxRestartBackoff = 30 * time.Second
	// unboundedRuntime stands for the end of what does not end.
	unboundedRuntime = 24 * time.Hour
)

// placeReplicas places the replicas of a daemon that do not run.
func (s *ServiceScheduler) placeReplicas(b *commit.Batch, job *PendingJob, candidates []*Candidate) {
	d := job.Record.Spec
	p := replicaPlacer{services: s, batch: b, job: job, candidates: candidates, remaining: min(d.TaskCount-job.placedTasks, s.queue.quotaHeadroom(candidates, d)),
		replicasByMachine: map[protocol.MachineID]int{}, reservationUsed: map[protocol.MachineID]int{}}
	if p.remaining <= 0 {
		return
	}
	p.canWrite = s.acquirer.canWritePlacements(b, job) && s.Now.Monotonic >= s.jobs.JobState(job.ID).NotBefore && !b.HasFailedReplica(job.ID)
	if p.canWrite {
		p.pending = s.acquirer.pendingTasks(b, job, p.remaining)
		p.remaining = min(p.remaining, len(p.pending))
	}
	for id := range s.Replica.MachinesWithJob(job.ID) {
		for a := range s.Replica.Machines[id].Record.AssignmentsOf(job.ID) {
			p.replicasByMachine[id] += a.Tasks.Len()
		}
	}
	job.avoidedTypes = s.largeMachineTypes(d)
	fetchesQuickly := func(machine *Candidate) bool { return s.imageFetchTime(machine, d) < slowImageFetch }
	anyMachine := func(*Candidate) bool { return true }
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
	if p.remaining > 0 && job.Record.Owner == s.lease.Incarnation() {
		s.plan.unmetDemands = append(s.plan.unmetDemands, provisioning.UnmetDemand{Job: job.ID, Desc: d, Tasks: p.remaining, Zone: job.pinnedZone(), Order: job.precedence,
			SubmittedAt: job.Record.SubmittedAt, Urgent: true})
	}
}

// replicaPlacer is one pass over the replicas of one job.
type replicaPlacer struct {
	services          *ServiceScheduler
	batch             *commit.Batch
	job               *PendingJob
	candidates        []*Candidate
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
func (p *replicaPlacer) maxReplicasOn(machine *Candidate) int {
	maxReplicas := (p.job.Record.Spec.TaskCount + 1) / 2
	switch {
	case p.onePerMachine:
		maxReplicas = 1
	case p.unlimitedPerMachine:
		maxReplicas = p.job.Record.Spec.TaskCount
	}
	return min(max(maxReplicas-p.replicasByMachine[machine.ID], 0), p.remaining, p.job.zoneHeadroom(machine.Record.Zone))
}

// placeOnFree places replicas where there is room.
func (p *replicaPlacer) placeOnFree(isEligible func(*Candidate) bool) {
	if p.remaining <= 0 {
		return
	}
	for _, machine := range p.services.scheduler.rankedCandidates(p.batch, p.job, false) {
		if n := min(machine.CapacityFor(p.job.Record.Spec), p.maxReplicasOn(machine)); n > 0 && isEligible(machine) {
			p.placeOn(machine, n)
		}
	}
}

// placeOn places n replicas on a machine that has room for them.
func (p *replicaPlacer) placeOn(machine *Candidate, count int) {
	services := p.services
	writeNow := p.canWrite && !machine.isProvisioning && services.scheduler.fitsTransaction(p.batch, machine, p.job.Record.Spec)
	services.scheduler.planTasks(p.batch, p.job, machine, count, writeNow, p.nextPending(count))
	p.replicasByMachine[machine.ID] += count
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
func (p *replicaPlacer) placeByPreemption(isEligible func(*Candidate) bool) {
	if p.remaining <= 0 || !p.canWrite {
		return
	}
	for _, machine := range p.cheapestToPreempt(func(machine *Candidate) bool {
		return p.services.lease.OwnsMachine(machine.Record) && isEligible(machine)
	}) {
		p.preemptOn(machine, p.remaining, true)
	}
}

// placeByReservation makes room where own machines don't do, on those of other controllers too:
// the claimant puts its choice on record, a machine once for each replica, and their
// owners stop tasks there.
func (p *replicaPlacer) placeByReservation(isEligible func(*Candidate) bool) {
	c, job := p.services, p.job
	if p.remaining <= 0 {
		return
	}
	chosen := p.cheapestToPreempt(func(machine *Candidate) bool {
		return p.remainingReservation(job.Record.ReservedMachines, machine) > 0 && isEligible(machine)
	})
	capacity := 0
	for _, machine := range chosen {
		capacity += min(c.preemption.capacityAfterPreemption(machine, job), p.maxReplicasOn(machine), p.remainingReservation(job.Record.ReservedMachines, machine))
	}
	if p.canWrite && capacity < p.remaining && p.batch.HasCapacity(p.batch.WritesNeeded("", job.ID)) {
		if better := p.reserveMachines(isEligible, capacity); better != nil {
			chosen = better
		}
	}
	reserved := c.Replica.Jobs[job.ID].Record.ReservedMachines
	for _, machine := range chosen {
		before := p.remaining
		p.preemptOn(machine, p.remainingReservation(p.batch.JobRecord(job.ID).ReservedMachines, machine), slices.Contains(reserved, machine.ID))
		p.reservationUsed[machine.ID] += before - p.remaining
	}
}

// remainingReservation counts the replicas that a choice has for a machine and that this pass has not
// provided for yet.
func (p *replicaPlacer) remainingReservation(reservation []protocol.MachineID, machine *Candidate) int {
	n := -p.reservationUsed[machine.ID]
	for _, id := range reservation {
		if id == machine.ID {
			n++
		}
	}
	return n
}

// reserveMachines puts machines on record on which room is made, if that is for more replicas than
// the choice on record is.
func (p *replicaPlacer) reserveMachines(isEligible func(*Candidate) bool, reservedCount int) []*Candidate {
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
	recordReservation(p.batch, p.job.ID, placements, "preemption planned for service replicas")
	var machines []*Candidate
	for _, chosen := range placements {
		machines = append(machines, chosen.machine)
	}
	return slices.Compact(machines)
}

// cheapestToPreempt lists machines on which lower ranked tasks can be stopped for replicas, those
// first where that costs least.
func (p *replicaPlacer) cheapestToPreempt(isEligible func(*Candidate) bool) []*Candidate {
	services := p.services
	cost := map[*Candidate]float64{}
	var machines []*Candidate
	for _, machine := range p.candidates {
		if !machine.isProvisioning && !machine.IsUnschedulable && !p.job.avoidedTypes[machine.Record.MachineType] && services.capacity.IsMachineAllowed(p.job.Record.Spec, machine) && isEligible(machine) && services.preemption.capacityAfterPreemption(machine, p.job) > 0 {
			cost[machine] = services.replicaStartCost(machine, p.job)
			machines = append(machines, machine)
		}
	}
	slices.SortStableFunc(machines, func(a, z *Candidate) int { return cmp.Compare(cost[a], cost[z]) })
	return machines
}

// preemptOn keeps what up to most replicas are to take of a machine, and stops lower ranked
// tasks there if that is decided and the machine is this run's.
func (p *replicaPlacer) preemptOn(machine *Candidate, limit int, mayPreempt bool) {
	services := p.services
	n := min(services.preemption.capacityAfterPreemption(machine, p.job), p.maxReplicasOn(machine), limit)
	if n <= 0 {
		return
	}
	if mayPreempt && services.lease.OwnsMachine(machine.Record) && machine.state != nil {
		services.preemptForReplicas(machine, p.job, n)
	}
	p.job.recordAllocation(machine, n, 0)
	services.plan.retainedMachines[machine.ID] = true
	services.plan.pendingPlacements[machine.ID] = true
	p.replicasByMachine[machine.ID] += n
	p.nextPending(n)
	p.remaining -= n
}

// preemptForReplicas stops as few lower ranked tasks on an own machine as n replicas need.
func (s *ServiceScheduler) preemptForReplicas(machine *Candidate, job *PendingJob, replicas int) {
	simulated := *machine
	for _, alloc := range s.preemption.rankedVictims(machine, job) {
		stopped := 0
		for stopped < alloc.Count && simulated.CapacityFor(job.Record.Spec) < replicas {
			simulated.Allocate(alloc.Desc, -1)
			stopped++
		}
		if stopped > 0 {
			s.preemption.preemptTasks(machine, alloc, job, stopped)
		}
	}
}

// replicaStartCost is what it takes until one replica runs on a machine: work lost, and time.
// Tasks that are being stopped cost nothing more, so that a choice stays what it was.
func (s *ServiceScheduler) replicaStartCost(machine *Candidate, job *PendingJob) float64 {
	const costPerSecond = 10 // core-seconds that a second of a replica is worth
	simulated, cost, waitSeconds := *machine, 0.0, 0.0
	for _, alloc := range s.preemption.rankedVictims(machine, job) {
		stopping := s.preemption.countStopping(machine, alloc)
		for k := 0; k < alloc.Count && simulated.CapacityFor(job.Record.Spec) == 0; k++ {
			simulated.Allocate(alloc.Desc, -1)
			if k >= stopping {
				cost += s.preemption.lostWork(machine, alloc) / float64(alloc.Count)
			}
			if alloc.Desc.CanCheckpoint() {
				waitSeconds = max(waitSeconds, alloc.Desc.CheckpointSaveSeconds)
			}
		}
	}
	return cost + costPerSecond*(waitSeconds+s.imageFetchTime(machine, job.Record.Spec).Seconds())
}

// imageFetchTime is how long this machine takes until it has the job's image.
func (s *ServiceScheduler) imageFetchTime(machine *Candidate, d *protocol.Job) time.Duration {
	if machine.state.HasImage(d.Image) {
		return 0
	}
	fetch := protocol.Seconds(catalog.ImageFetchSeconds(machine.MachineType, d))
	if machine.state.IsFetchingImage() {
		fetch *= 2 // two images share the rate
	}
	return fetch
}

// largeMachineTypes lists the machine types that replicas leave to others as long as they can.
func (s *ServiceScheduler) largeMachineTypes(d *protocol.Job) map[protocol.MachineTypeName]bool {
	smallest := 0.0
	for i := range s.catalog.MachineTypes() {
		if machineType := &s.catalog.MachineTypes()[i]; catalog.MachineTypeCapacity(machineType, d) > 0 && (smallest == 0 || machineType.Cores < smallest) {
			smallest = machineType.Cores
		}
	}
	large := map[protocol.MachineTypeName]bool{}
	for i := range s.catalog.MachineTypes() {
		if s.catalog.MachineTypes()[i].Cores > largeTypeFactor*smallest {
			large[s.catalog.MachineTypes()[i].Name] = true
		}
	}
	return large
}

// RecordExitedReplicas finds replicas that have left a machine's record though the machine
// and its session go on: they have ended by themselves, or were stopped. All controllers
// see it, so whoever places the next ones knows how the last ones fared.
func (s *ServiceScheduler) RecordExitedReplicas(id protocol.MachineID, before, after *storage.MachineRecord) {
	if after.AgentEpoch != before.AgentEpoch {
		return
	}
	for i := range before.Assignments {
		assigned := &before.Assignments[i]
		entry := s.Replica.Jobs[assigned.Job]
		if entry == nil || entry.Record.Spec == nil || !entry.Record.Spec.IsService() || entry.Record.IsCancelledOrPending() {
			continue
		}
		remaining := 0
		for current := range after.AssignmentsOf(assigned.Job) {
			if current.Attempt == assigned.Attempt {
				remaining = current.Tasks.Len()
			}
		}
		if at, known := s.agents.AssignedSince(agents.AssignmentKey{Machine: id, Job: assigned.Job, Attempt: assigned.Attempt}); known && remaining < assigned.Tasks.Len() {
			s.onReplicasExited(assigned.Job, s.Since(at))
		}
	}
}

// onReplicasExited takes in that replicas have ended a while after they were placed. Those
// that do so soon are tried ever less often, so that they neither use up the writes nor
// hide others.
func (s *ServiceScheduler) onReplicasExited(id protocol.JobID, after time.Duration) {
	state := s.jobs.JobState(id)
	if after > EarlyExitWindow {
		state.EarlyExits, state.NotBefore = 0, 0
		clear(state.FailedMachines)
		return
	}
	backoff := min(minRestartBackoff<<min(state.EarlyExits, 8), MaxRestartBackoff)
	state.EarlyExits++
	state.NotBefore = s.Now.Monotonic.Add(backoff)
	s.Log(slog.LevelInfo, "replica exited early", "job", string(id), "backoff_seconds", backoff.Seconds())
}
