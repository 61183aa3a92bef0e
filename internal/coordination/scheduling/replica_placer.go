package scheduling

import (
	"cmp"
	"slices"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// replicaLimit is a limit on the number of replicas of a job on one machine.
type replicaLimit int

const (
	// halfOfReplicas applies as long as there are other machines, because the loss of one machine must
	// not stop the service.
	halfOfReplicas replicaLimit = iota
	oneReplica
	allReplicas
)

// replicaPlacer places the replicas of one job in a planning pass.
type replicaPlacer struct {
	services          *ServiceScheduler
	batch             *commit.Batch
	job               *PendingJob
	candidates        []*Candidate
	limit             replicaLimit
	canWrite          bool  // whether this incarnation may write the job's placements now
	pendingReplicas   []int // indexes of the replicas to place, if canWrite
	remainingReplicas int
	replicasByMachine map[protocol.MachineID]int // replicas of the job, recorded and planned
	usedReservations  map[protocol.MachineID]int // replicas that use the recorded reservation
}

// machineFilter reports whether a machine is eligible.
type machineFilter func(*Candidate) bool

func (s *ServiceScheduler) newReplicaPlacer(
	batch *commit.Batch, job *PendingJob, candidates []*Candidate, replicas int,
) *replicaPlacer {
	placer := &replicaPlacer{
		services:          s,
		batch:             batch,
		job:               job,
		candidates:        candidates,
		remainingReplicas: replicas,
		replicasByMachine: map[protocol.MachineID]int{},
		usedReservations:  map[protocol.MachineID]int{},
	}
	placer.canWrite = s.acquirer.canPlaceNow(batch, job) && !batch.HasFailedReplica(job.id)
	if placer.canWrite {
		placer.pendingReplicas = s.acquirer.pendingTasks(batch, job, placer.remainingReplicas)
		placer.remainingReplicas = min(placer.remainingReplicas, len(placer.pendingReplicas))
	}
	for id := range s.Replica.MachinesWithJob(job.id) {
		for assigned := range s.Replica.Machines[id].Record.AssignmentsOf(job.id) {
			placer.replicasByMachine[id] += assigned.Tasks.Len()
		}
	}
	return placer
}

// replicaHeadroom returns how many more replicas of the job may run on the machine.
func (p *replicaPlacer) replicaHeadroom(machine *Candidate) int {
	replicas := p.job.record.Spec.TaskCount
	switch p.limit {
	case halfOfReplicas:
		replicas = halfRoundedUp(replicas)
	case oneReplica:
		replicas = 1
	case allReplicas:
	}
	headroom := max(replicas-p.replicasByMachine[machine.id], 0)
	return min(headroom, p.remainingReplicas, p.job.zoneHeadroom(machine.record.Zone))
}

// preemptionHeadroom returns the part of replicaHeadroom for which a preemption frees capacity.
func (p *replicaPlacer) preemptionHeadroom(machine *Candidate) int {
	return min(p.services.preemptor.capacityAfterPreemption(machine, p.job), p.replicaHeadroom(machine))
}

// placeOnFreeCapacity places replicas on eligible machines that have free capacity.
func (p *replicaPlacer) placeOnFreeCapacity(isEligible machineFilter) {
	if p.remainingReplicas <= 0 {
		return
	}
	for _, machine := range p.services.scheduler.rankedCandidates(p.batch, p.job, allShards) {
		count := min(machine.free.CapacityFor(p.job.record.Spec), p.replicaHeadroom(machine))
		if count > 0 && isEligible(machine) {
			p.placeOnMachine(machine, count)
		}
	}
}

// placeOnMachine places replicas on a machine that has capacity for them.
func (p *replicaPlacer) placeOnMachine(machine *Candidate, count int) {
	scheduler := p.services.scheduler
	canAssign := p.canWrite && !machine.isProvisioning
	writeNow := canAssign && scheduler.fitsTransaction(p.batch, machine, p.job.record.Spec)
	scheduler.planTasks(p.batch, p.job, machine, count, writeNow, p.takePendingReplicas(count))
	p.replicasByMachine[machine.id] += count
	p.remainingReplicas -= count
}

// takePendingReplicas removes and returns the indexes of the next replicas to place. It returns nil if
// this incarnation does not write them.
func (p *replicaPlacer) takePendingReplicas(count int) []int {
	if !p.canWrite {
		return nil
	}
	taken := p.pendingReplicas[:count]
	p.pendingReplicas = p.pendingReplicas[count:]
	return taken
}

// placeByPreemption preempts tasks of lower priority on owned machines. The job's owner chooses only among
// its own machines. Therefore no other controller preempts for the same replicas, and the choice need not
// be recorded first.
func (p *replicaPlacer) placeByPreemption(isEligible machineFilter) {
	if p.remainingReplicas <= 0 || !p.canWrite {
		return
	}
	isOwnedAndEligible := func(machine *Candidate) bool {
		return p.services.lease.OwnsMachine(machine.record) && isEligible(machine)
	}
	for _, machine := range p.cheapestToPreempt(isOwnedAndEligible) {
		p.preemptOnMachine(machine, p.remainingReplicas, true)
	}
}

// placeByReservation also preempts on machines of other controllers, where owned machines do not suffice.
// The job's owner records its choice, in which a machine occurs once per replica, and the owners of the
// machines stop tasks there.
func (p *replicaPlacer) placeByReservation(isEligible machineFilter) {
	if p.remainingReplicas <= 0 {
		return
	}
	chosenMachines := p.reservedMachines(isEligible)
	reservedReplicas := 0
	for _, machine := range chosenMachines {
		reservedReplicas += min(p.preemptionHeadroom(machine), p.unusedReservation(p.job.record, machine))
	}
	canRecord := p.canWrite && p.batch.HasCapacity(p.batch.OpsNeeded("", p.job.id))
	if canRecord && reservedReplicas < p.remainingReplicas {
		if newReservation := p.reserveForPreemption(isEligible, reservedReplicas); newReservation != nil {
			chosenMachines = newReservation
		}
	}
	recordedMachines := p.services.Replica.Jobs[p.job.id].Record.ReservedMachines
	for _, machine := range chosenMachines {
		remainingBefore := p.remainingReplicas
		limit := p.unusedReservation(p.batch.JobRecord(p.job.id), machine)
		p.preemptOnMachine(machine, limit, slices.Contains(recordedMachines, machine.id))
		p.usedReservations[machine.id] += remainingBefore - p.remainingReplicas
	}
}

// reservedMachines returns the eligible machines whose recorded reservation this pass has not used up.
func (p *replicaPlacer) reservedMachines(isEligible machineFilter) []*Candidate {
	return p.cheapestToPreempt(func(machine *Candidate) bool {
		return p.unusedReservation(p.job.record, machine) > 0 && isEligible(machine)
	})
}

// unusedReservation returns the number of replicas for which a job's record reserves the machine and that
// this pass has not planned there yet.
func (p *replicaPlacer) unusedReservation(record *storage.JobRecord, machine *Candidate) int {
	unusedReplicas := -p.usedReservations[machine.id]
	for _, id := range record.ReservedMachines {
		if id == machine.id {
			unusedReplicas++
		}
	}
	return unusedReplicas
}

// reserveForPreemption records machines to preempt on, if they have room for more replicas than the
// recorded reservation, and returns these machines. Otherwise, or if they do not fit the job's record, it
// returns nil.
func (p *replicaPlacer) reserveForPreemption(isEligible machineFilter, reservedReplicas int) []*Candidate {
	var placements []placement
	remainingReplicas := p.remainingReplicas
	for _, machine := range p.cheapestToPreempt(isEligible) {
		for range min(p.preemptionHeadroom(machine), remainingReplicas) {
			placements = append(placements, placement{machine: machine, count: 1})
			remainingReplicas--
		}
	}
	if len(placements) <= reservedReplicas || !p.services.preemptor.fitsJobRecord(placements) {
		return nil
	}
	recordReservation(p.batch, p.job.id, placements, "preemption planned for service replicas")
	var machines []*Candidate
	for _, chosen := range placements {
		machines = append(machines, chosen.machine)
	}
	return slices.Compact(machines)
}

// cheapestToPreempt returns the eligible machines on which tasks of lower priority can be stopped for
// replicas, lowest cost first.
func (p *replicaPlacer) cheapestToPreempt(isEligible machineFilter) []*Candidate {
	preemptor := p.services.preemptor
	cost := map[*Candidate]float64{}
	var machines []*Candidate
	for _, machine := range p.candidates {
		if !p.mayPreemptOn(machine) || !isEligible(machine) {
			continue
		}
		if preemptor.capacityAfterPreemption(machine, p.job) > 0 {
			cost[machine] = preemptor.replicaStartCost(machine, p.job)
			machines = append(machines, machine)
		}
	}
	slices.SortStableFunc(machines, func(left, right *Candidate) int { return cmp.Compare(cost[left], cost[right]) })
	return machines
}

// mayPreemptOn reports whether tasks on a machine may be preempted for the replicas.
func (p *replicaPlacer) mayPreemptOn(machine *Candidate) bool {
	if machine.isProvisioning || machine.isUnschedulable || p.job.avoidedTypes[machine.record.MachineType] {
		return false
	}
	return p.services.lister.isMachineAllowed(p.job.record.Spec, machine)
}

// preemptOnMachine plans up to limit replicas on a machine. If the choice of the machine is decided and
// this incarnation owns it, preemptOnMachine stops tasks of lower priority there.
func (p *replicaPlacer) preemptOnMachine(machine *Candidate, limit int, isDecided bool) {
	count := min(p.preemptionHeadroom(machine), limit)
	if count <= 0 {
		return
	}
	services := p.services
	if isDecided && services.lease.OwnsMachine(machine.record) && machine.state != nil {
		services.preemptor.preemptForReplicas(machine, p.job, count)
	}
	p.job.recordAllocation(machine, count, 0)
	services.plan.retainMachine(machine)
	services.plan.expectPlacement(machine)
	p.replicasByMachine[machine.id] += count
	p.takePendingReplicas(count)
	p.remainingReplicas -= count
}
