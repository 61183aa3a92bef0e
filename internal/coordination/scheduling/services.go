package scheduling

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// slowImageFetch is the duration from which an image fetch is slow: it then takes longer than a preemption
	// on a machine that has the image.
	slowImageFetch = 3 * time.Second
	// largeTypeFactor bounds the machine types on which replicas are placed before all others are full, as a
	// multiple of the cores of the smallest type that fits. A replica never ends, and would keep gangs off a
	// large machine permanently.
	largeTypeFactor = 4
	// unboundedRuntime is the assumed run time of tasks that do not end.
	unboundedRuntime = 24 * time.Hour
)

// ServiceScheduler places the replicas of services.
//
// The tasks of a service are replicas that run until their user cancels the job. A service is never done and
// has no expected end, and every second in which a replica does not run counts. Replicas are therefore
// always urgent, are placed where their image is present, and preempt tasks of lower priority where that is
// quicker than to fetch an image or to provision a machine.
type ServiceScheduler struct {
	*step.Context

	lister    *candidateLister
	acquirer  *jobAcquirer
	agents    *agents.Table
	catalog   *catalog.Catalog
	jobs      *agents.JobTable
	lease     *commit.Lease
	plan      *Plan
	preemptor *preemptor
	queue     *Queue
	scheduler *Scheduler
}

// RecordExitedReplicas finds replicas that are no longer assigned to a machine, while the machine and its
// agent epoch continue. These replicas have ended by themselves or were stopped. All controllers observe
// the change, so that the controller that places the next replicas knows how long the last ones ran.
func (s *ServiceScheduler) RecordExitedReplicas(id protocol.MachineID, before, after *storage.MachineRecord) {
	if after.AgentEpoch != before.AgentEpoch {
		return
	}
	for i := range before.Assignments {
		assigned := &before.Assignments[i]
		if !s.isRunningService(assigned.Job) || remainingTasks(after, assigned) >= assigned.Tasks.Len() {
			continue
		}
		key := agents.AssignmentKey{Machine: id, Job: assigned.Job, Attempt: assigned.Attempt}
		if assignedAt, isKnown := s.agents.AssignedSince(key); isKnown {
			s.onReplicasExited(assigned.Job, s.Since(assignedAt))
		}
	}
}

// isRunningService reports whether a job is a service that its user has not cancelled.
func (s *ServiceScheduler) isRunningService(id protocol.JobID) bool {
	entry := s.Replica.Jobs[id]
	if entry == nil || entry.Record.Spec == nil || !entry.Record.Spec.IsService() {
		return false
	}
	return !entry.Record.IsCancelledOrCancelling()
}

// remainingTasks returns the number of an assignment's tasks that a later record of the machine contains.
func remainingTasks(after *storage.MachineRecord, assigned *storage.Assignment) int {
	remainingCount := 0
	for current := range after.AssignmentsOf(assigned.Job) {
		if current.Attempt == assigned.Attempt {
			remainingCount = current.Tasks.Len()
		}
	}
	return remainingCount
}

// onReplicasExited handles replicas that ended some time after their placement. It places a service whose
// replicas end soon less and less often, so that the service does not use up the write rate.
func (s *ServiceScheduler) onReplicasExited(id protocol.JobID, runtime time.Duration) {
	attempts := attemptsOf(s.jobs, id)
	if runtime > EarlyExitWindow {
		attempts.resetFailures()
		return
	}
	backoff := attempts.recordEarlyExit(s.Now.Monotonic)
	s.Log(slog.LevelInfo, "replica exited early", "job", string(id), "backoff_seconds", backoff.Seconds())
}

// placeReplicas places the replicas of a service that do not run. It first uses machines on which they
// start soonest, then machines on which that takes longer, and finally places several replicas on one
// machine, which is better than not running them.
func (s *ServiceScheduler) placeReplicas(batch *commit.Batch, job *PendingJob, candidates []*Candidate) {
	spec := job.record.Spec
	replicas := min(spec.TaskCount-job.placedTasks, s.queue.quotaHeadroom(candidates, spec))
	if replicas <= 0 {
		return
	}
	placer := s.newReplicaPlacer(batch, job, candidates, replicas)
	fetchesQuickly := func(machine *Candidate) bool { return machine.imageFetchTime(spec) < slowImageFetch }
	anyMachine := func(*Candidate) bool { return true }

	job.avoidedTypes = s.largeMachineTypes(spec)
	placer.placeOnFreeCapacity(fetchesQuickly)
	placer.placeByPreemption(fetchesQuickly)
	placer.placeByReservation(fetchesQuickly)
	// Place at most one replica on each machine that has to fetch the image. The more machines have the image,
	// the more of the next replicas can start at once.
	placer.limit = oneReplica
	placer.placeOnFreeCapacity(anyMachine)
	placer.limit = halfOfReplicas
	placer.placeOnFreeCapacity(anyMachine)
	placer.placeByPreemption(anyMachine)
	placer.placeByReservation(anyMachine)
	placer.limit = allReplicas
	placer.placeOnFreeCapacity(anyMachine)
	job.avoidedTypes = nil
	placer.placeOnFreeCapacity(anyMachine)

	if placer.remainingReplicas > 0 && job.record.Owner == s.lease.Incarnation() {
		s.plan.addDemand(job, placer.remainingReplicas, job.pinnedZone(), true)
	}
}

// largeMachineTypes returns the machine types that replicas avoid as long as other types have capacity.
func (s *ServiceScheduler) largeMachineTypes(spec *protocol.Job) map[protocol.MachineTypeName]bool {
	types := s.catalog.MachineTypes()
	smallestCores := 0.0
	for i := range types {
		machineType := &types[i]
		fits := catalog.MachineTypeCapacity(machineType, spec) > 0
		if fits && (smallestCores == 0 || machineType.Cores < smallestCores) {
			smallestCores = machineType.Cores
		}
	}
	largeTypes := map[protocol.MachineTypeName]bool{}
	for i := range types {
		if types[i].Cores > largeTypeFactor*smallestCores {
			largeTypes[types[i].Name] = true
		}
	}
	return largeTypes
}
