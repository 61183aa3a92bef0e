package scheduling

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// minExpediteInterval is the shortest heartbeat interval at which an immediate heartbeat is worth a
// write.
const minExpediteInterval = 4 * time.Second

// planTasks plans count tasks on a machine, and writes them if writeNow is set. tasks are the indexes of
// the tasks, or nil if this incarnation does not write the job's placements.
func (s *Scheduler) planTasks(
	batch *commit.Batch, job *PendingJob, machine *Candidate, count int, writeNow bool, tasks []int,
) {
	if writeNow {
		s.writeTasks(batch, job, machine, count, tasks)
	} else {
		if tasks != nil && s.isRemote(machine) && !machine.isProvisioning {
			s.plan.hasPendingRemotePlacements = true
		}
		s.plan.expectPlacement(machine)
	}
	job.recordAllocation(machine, count, 0)
	s.plan.retainMachine(machine)
}

// isRemote reports whether another controller owns the machine.
func (s *Scheduler) isRemote(machine *Candidate) bool {
	return machine.record.Owner != s.lease.Incarnation()
}

// writeTasks assigns tasks to a machine, and expedites the next heartbeat of the machine's agent if the
// tasks cannot wait for it.
func (s *Scheduler) writeTasks(batch *commit.Batch, job *PendingJob, machine *Candidate, count int, tasks []int) {
	attempt := attemptsOf(s.jobs, job.id).nextAttempt()
	batch.AssignTasks(machine.id, job.id, tasks, attempt)
	s.recordPlacement(batch, job, machine, count, attempt)
	if s.queue.shouldExpediteHeartbeats(job) && s.needsExpeditedHeartbeat(job, machine) {
		s.expediteHeartbeat(batch, machine.id)
	}
}

// needsExpeditedHeartbeat reports whether the machine's agent might not receive its tasks before its next
// heartbeat. This controller does not know whether another owner has deferred a heartbeat of the agent.
// For service replicas it assumes that the owner has not.
func (s *Scheduler) needsExpeditedHeartbeat(job *PendingJob, machine *Candidate) bool {
	return s.lister.awaitsHeartbeat(machine) || job.record.Spec.IsService() && s.isRemote(machine)
}

// expediteHeartbeat makes the machine's agent send a heartbeat as soon as the placement is recorded in the
// store. A gang waits for the last of its machines. With heartbeats several seconds apart, that is nearly
// a whole interval each time.
func (s *Scheduler) expediteHeartbeat(batch *commit.Batch, id protocol.MachineID) {
	if s.Config.HeartbeatInterval >= minExpediteInterval {
		batch.BumpFencingToken(id)
	}
}

// fitsTransaction reports whether a placement on the machine fits in the transaction.
func (s *Scheduler) fitsTransaction(batch *commit.Batch, machine *Candidate, spec *protocol.Job) bool {
	writes := batch.OpsNeeded(machine.id)
	if s.mustLockQuota(batch, spec.Team) {
		writes++
		key := storage.QuotaKey(spec.Team)
		if batch.IsPostponed(key) || s.Replica.Revision < protocol.Revision(s.Replica.ModRevision(key)) {
			return false // the replica does not have the team's latest usage, or the key can't be written
		}
	}
	return batch.HasCapacity(writes) && batch.HasShardHeadroom(machine.record)
}

// mustLockQuota reports whether a placement needs the team's quota lock and the batch does not hold it
// yet. The lock prevents two controllers from using up one limit at the same time.
func (s *Scheduler) mustLockQuota(batch *commit.Batch, team string) bool {
	return s.Config.Quotas[team].HasLimit() && !batch.LocksQuota(team)
}

// recordPlacement makes the batch, which contains the placement, conditional on the revision of the job
// and, if the team has a limit, on the revision of the team's quota.
func (s *Scheduler) recordPlacement(
	batch *commit.Batch, job *PendingJob, machine *Candidate, count int, attempt protocol.Attempt,
) {
	spec := job.record.Spec
	batch.DependOn(storage.JobKey(job.id))
	if s.mustLockQuota(batch, spec.Team) {
		batch.LockQuota(spec.Team)
	}
	attempts := attemptsOf(s.jobs, job.id)
	batch.OnSend(func() { attempts.recordPlacement(spec, count, attempt, s.Now.Monotonic) })
	batch.Log(slog.LevelDebug, "tasks placed",
		"job", string(job.id),
		"tasks", count,
		"attempt", uint64(attempt),
		"machine", string(machine.id))
}
