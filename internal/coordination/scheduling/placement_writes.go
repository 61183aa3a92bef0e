package scheduling

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// minExpediteInterval is the shortest heartbeat interval that makes it worth a write to ask for a
// heartbeat at once.
const minExpediteInterval = 4 * time.Second

// planTasks plans count tasks on a machine, and writes them if writeNow is set. tasks are their
// indices if this incarnation writes the job's placements at all, nil if not.
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

// isRemote tells whether another controller owns the machine.
func (s *Scheduler) isRemote(machine *Candidate) bool {
	return machine.record.Owner != s.lease.Incarnation()
}

// writeTasks assigns tasks to a machine, and expedites its next heartbeat if they cannot wait for it.
func (s *Scheduler) writeTasks(batch *commit.Batch, job *PendingJob, machine *Candidate, count int, tasks []int) {
	attempt := attemptsOf(s.jobs, job.id).nextAttempt()
	batch.AssignTasks(machine.id, job.id, tasks, attempt)
	s.recordPlacement(batch, job, machine, count, attempt)
	if s.queue.shouldExpediteHeartbeats(job) && s.needsExpeditedHeartbeat(job, machine) {
		s.expediteHeartbeat(batch, machine.id)
	}
}

// needsExpeditedHeartbeat tells whether the machine's agent may not receive its tasks before its next heartbeat.
// Whether another owner has deferred a heartbeat of it is not known here; for a replica it is taken
// not to have.
func (s *Scheduler) needsExpeditedHeartbeat(job *PendingJob, machine *Candidate) bool {
	return s.lister.awaitsHeartbeat(machine) || job.record.Spec.IsService() && s.isRemote(machine)
}

// expediteHeartbeat makes the machine's agent send a heartbeat as soon as the placement is on record. A
// gang waits for the last of its machines: with heartbeats some seconds apart that is nearly
// a whole interval each time.
func (s *Scheduler) expediteHeartbeat(batch *commit.Batch, id protocol.MachineID) {
	if s.Config.HeartbeatInterval >= minExpediteInterval {
		batch.BumpFencingToken(id)
	}
}

// fitsTransaction tells whether a placement on the machine fits the transaction.
func (s *Scheduler) fitsTransaction(batch *commit.Batch, machine *Candidate, spec *protocol.Job) bool {
	writes := batch.OpsNeeded(machine.id)
	if s.mustLockQuota(batch, spec.Team) {
		writes++
		if s.Replica.Revision < protocol.Revision(s.Replica.QuotaRevisions[spec.Team]) {
			return false // the team's usage in the replica is not the newest
		}
	}
	return batch.HasCapacity(writes) && batch.HasShardHeadroom(machine.record)
}

// mustLockQuota tells whether a placement needs the team's quota lock and the batch has it not
// yet: two controllers must not use up one limit at the same time.
func (s *Scheduler) mustLockQuota(batch *commit.Batch, team string) bool {
	return s.Config.Quotas[team].HasLimit() && !batch.LocksQuota(team)
}

// recordPlacement makes the batch with a written placement depend on the revision of the job, and on
// that of the team's quota where the team has a limit.
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
