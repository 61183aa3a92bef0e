package scheduling

import (
	"cmp"
	"slices"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

const (
	// longRunningDivisor determines the part of the fleet's cores that goes to long-running arrays first. The
	// part is 1/longRunningDivisor.
	longRunningDivisor = 4
	// minCoresPerTask is the minimum number of cores that a task counts as, so that tasks that request no
	// cores are bounded too.
	minCoresPerTask = 0.01
)

// Scheduler plans the placement of pending tasks, and writes the placements of jobs that this controller
// owns.
type Scheduler struct {
	*step.Context

	acquirer   *jobAcquirer
	backfill   *backfillPlanner
	lister     *candidateLister
	catalog    *catalog.Catalog
	contention *contentionTracker
	gangs      *gangScheduler
	jobs       *agents.JobTable
	lease      *commit.Lease
	plan       *Plan
	queue      *Queue
	committer  *commit.Committer
	services   *ServiceScheduler

	warmPool warmPool
}

func newScheduler(ctx *step.Context) *Scheduler {
	return &Scheduler{
		Context:  ctx,
		warmPool: newWarmPool(),
	}
}

// RetainsIdleMachine reports whether an idle machine is retained for work that cannot wait until another
// machine is provisioned.
func (s *Scheduler) RetainsIdleMachine(id protocol.MachineID) bool {
	return s.warmPool.shouldRetainMachine(id)
}

// PlacePendingJobs plans the placement of all pending tasks in queue order, and writes the placements of
// jobs that this incarnation owns. It plans jobs of other owners in the same way, so that all controllers
// leave the same capacity to them.
func (s *Scheduler) PlacePendingJobs(batch *commit.Batch) {
	s.plan.reset()
	if len(s.catalog.MachineTypes()) == 0 {
		return
	}
	candidates := s.lister.listCandidates(batch)
	s.lister.logFleet(candidates)
	jobs := s.queue.ListPendingJobs(batch, candidates)
	s.warmPool.updatePeaks(s.Now.Monotonic, jobs)
	s.warmPool.selectRetainedMachines(candidates, s.lister.isMachineAllowed)
	s.plan.pass = planningPass{
		availableCandidates: schedulableCandidates(candidates),
		contendedTypes:      s.contention.contendedTypes(),
		reservedPrecedences: map[int]bool{},
	}
	s.placeLongRunningArrays(batch, jobs, candidates)
	for len(jobs) > 0 {
		groupSize := 1
		for groupSize < len(jobs) && jobs[groupSize].hasSamePrecedence(jobs[0]) {
			groupSize++
		}
		s.placeSamePrecedence(batch, jobs[:groupSize], candidates)
		jobs = jobs[groupSize:]
	}
}

// schedulableCandidates returns the candidates that take new tasks, in a new slice.
func schedulableCandidates(candidates []*Candidate) []*Candidate {
	isUnschedulable := func(machine *Candidate) bool { return machine.isUnschedulable }
	return slices.DeleteFunc(slices.Clone(candidates), isUnschedulable)
}

// placeSamePrecedence places jobs that differ only in their due times.
//
// If the last transaction could not hold all changes, the capacity of a shard goes first to arrays of the
// shard's owner, and then to other arrays. A controller writes its own shards all the time, whereas a
// shard of another controller takes one more operation, which may come late and leave the capacity idle.
// Otherwise the jobs are placed by due time alone, which serves them better.
func (s *Scheduler) placeSamePrecedence(batch *commit.Batch, jobs []*PendingJob, candidates []*Candidate) {
	ownerShardsFirst := len(jobs) > 1 && s.committer.IsBatchPartial()
	for _, job := range jobs {
		s.acquirer.acquireJob(batch, job)
		switch {
		case job.record.Spec.IsGang():
			s.gangs.placeGang(batch, job, candidates)
		case job.record.Spec.IsService():
			s.services.placeReplicas(batch, job, candidates)
		case ownerShardsFirst:
			s.placeArray(batch, job, candidates, protocol.MaxTasks, ownerShards)
		}
	}
	for _, job := range jobs {
		if job.record.Spec.Kind == protocol.KindArray {
			s.placeArray(batch, job, candidates, protocol.MaxTasks, allShards)
		}
	}
}

// placeLongRunningArrays assigns a part of the fleet's cores to arrays that have been unfinished for very
// long, oldest first. By due time these arrays would always follow newer ones. If they got all the cores
// that they request, the newer arrays would be late too.
func (s *Scheduler) placeLongRunningArrays(batch *commit.Batch, jobs []*PendingJob, candidates []*Candidate) {
	var longRunning []*PendingJob
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
			remainingCores += machine.machineType.Cores / longRunningDivisor
		}
	}
	slices.SortStableFunc(longRunning, func(left, right *PendingJob) int {
		return cmp.Compare(left.record.SubmittedAt, right.record.SubmittedAt)
	})
	for _, job := range longRunning {
		coresPerTask := max(job.record.Spec.Cores, minCoresPerTask)
		remainingCores -= float64(job.placedTasks) * coresPerTask
		allowedTasks := int(remainingCores / coresPerTask)
		if allowedTasks <= 0 {
			continue
		}
		s.acquirer.acquireJob(batch, job)
		placedBefore := job.placedTasks
		s.placeArray(batch, job, candidates, allowedTasks, allShards)
		remainingCores -= float64(job.placedTasks-placedBefore) * coresPerTask
	}
}
