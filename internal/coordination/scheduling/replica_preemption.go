package scheduling

// replicaSecondCost is the cost of a second until a replica runs, in core-seconds of other work.
const replicaSecondCost = 10

// preemptForReplicas stops as few tasks of lower priority on an owned machine as the replicas need.
func (p *preemptor) preemptForReplicas(machine *Candidate, job *PendingJob, replicas int) {
	free := machine.free
	for _, victim := range p.victimsStoppingFirst(machine, job) {
		stopped := 0
		for stopped < victim.count && free.CapacityFor(job.record.Spec) < replicas {
			free.Allocate(victim.spec, -1)
			stopped++
		}
		if stopped > 0 {
			p.preemptTasks(machine, victim, job, stopped)
		}
	}
}

// replicaStartCost returns the cost until one replica runs on a machine, in core-seconds. It consists of
// lost work and of waiting time. Tasks that are being stopped already lose no more work, so that later
// passes make the same choice.
func (p *preemptor) replicaStartCost(machine *Candidate, job *PendingJob) float64 {
	free, cost, waitSeconds := machine.free, 0.0, 0.0
	for _, victim := range p.victimsStoppingFirst(machine, job) {
		stopping := countStoppingTasks(machine, victim)
		for stopped := 0; stopped < victim.count && free.CapacityFor(job.record.Spec) == 0; stopped++ {
			free.Allocate(victim.spec, -1)
			if stopped >= stopping {
				cost += p.lostWork(machine, victim) / float64(victim.count)
			}
			if victim.spec.CanCheckpoint() {
				waitSeconds = max(waitSeconds, victim.spec.CheckpointSaveSeconds)
			}
		}
	}
	return cost + replicaSecondCost*(waitSeconds+machine.imageFetchTime(job.record.Spec).Seconds())
}
