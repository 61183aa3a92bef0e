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
	b *commit.Batch, job *PendingJob, machine *Candidate, count int, writeNow bool, tasks []int,
) {
	if writeNow {
		s.writeTasks(b, job, machine, count, tasks)
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
func (s *Scheduler) writeTasks(b *commit.Batch, job *PendingJob, machine *Candidate, count int, tasks []int) {
	attempt := attemptsOf(s.jobs, job.id).next()
	b.AssignTasks(machine.id, job.id, tasks, attempt)
	s.recordPlacement(b, job, machine, count, attempt)
	if s.queue.shouldExpedite(job) && s.needsExpedite(job, machine) {
		s.expedite(b, machine.id)
	}
}

// needsExpedite tells whether the machine's agent may not receive its tasks before its next heartbeat.
// Whether another owner has deferred a heartbeat of it is not known here; for a replica it is taken
// not to have.
func (s *Scheduler) needsExpedite(job *PendingJob, machine *Candidate) bool {
	return s.lister.awaitsHeartbeat(machine) || job.record.Spec.IsService() && s.isRemote(machine)
}

// expedite makes the machine's agent send a heartbeat as soon as the placement is on record. A
// gang waits for the last of its machines: with heartbeats some seconds apart that is nearly
// a whole interval each time.
func (s *Scheduler) expedite(b *commit.Batch, id protocol.MachineID) {
	if s.Config.HeartbeatInterval >= minExpediteInterval {
		b.BumpFencingToken(id)
	}
}

// fitsTransaction tells whether a placement on the machine fits the transaction.
func (s *Scheduler) fitsTransaction(b *commit.Batch, machine *Candidate, spec *protocol.Job) bool {
	writes := b.OpsNeeded(machine.id)
	if s.mustLockQuota(b, spec.Team) {
		writes++
		if s.Replica.Revision < protocol.Revision(s.Replica.QuotaRevisions[spec.Team]) {
			return false // the team's usage in the replica is not the newest
		}
	}
	return b.HasCapacity(writes) && b.HasShardHeadroom(machine.record)
}

// mustLockQuota tells whether a placement needs the team's quota lock and the batch has it not
// yet: two controllers must not use up one limit at the same time.
func (s *Scheduler) mustLockQuota(b *commit.Batch, team string) bool {
	return s.Config.Quotas[team].HasLimit() && !b.LocksQuota(team)
}

// recordPlacement makes the batch with a written placement depend on the revision of the job, and on
// that of the team's quota where the team has a limit.
func (s *Scheduler) recordPlacement(
	b *commit.Batch, job *PendingJob, machine *Candidate, count int, attempt protocol.Attempt,
) {
	spec := job.record.Spec
	b.DependOn(storage.JobKey(job.id))
	if s.mustLockQuota(b, spec.Team) {
		b.LockQuota(spec.Team)
	}
	attempts := attemptsOf(s.jobs, job.id)
	b.OnSend(func() { attempts.recordPlacement(spec, count, attempt, s.Now.Monotonic) })
	b.Log(slog.LevelDebug, "tasks placed",
		"job", string(job.id),
		"tasks", count,
		"attempt", uint64(attempt),
		"machine", string(machine.id))
}
