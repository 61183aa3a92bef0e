package scheduling

import (
	"log/slog"
	"strconv"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// JobAcquirer acquires jobs for this controller and tells which of their tasks are to be placed.
type JobAcquirer struct {
	*step.Context

	jobs      *agents.JobTable
	lease     *commit.Lease
	limits    *commit.WriteLimiter
	ownership *ownership.Manager
}

// acquireJob takes over jobs whose claimant is dead, and sets attempts aside.
func (ja *JobAcquirer) acquireJob(b *commit.Batch, job *PendingJob) {
	state := ja.jobs.JobState(job.ID)
	if job.Record.Owner == ja.lease.Incarnation() {
		if state.AttemptsOwner != ja.lease.Incarnation() || job.Record.NextAttempt > state.AttemptsEnd {
			state.AttemptsOwner, state.NextAttempt, state.AttemptsEnd = ja.lease.Incarnation(), job.Record.NextAttempt-step.AttemptBlockSize+1, job.Record.NextAttempt
		}
		if state.AttemptsEnd-state.NextAttempt > 8 {
			return
		}
	} else if expiredAt, isExpired := ja.ownership.ExpiredSince(job.Record.Owner); !isExpired || ja.Since(expiredAt) < 500*time.Millisecond ||
		!ja.ownership.IsSuccessor(storage.JobKey(job.ID)) && ja.Since(expiredAt) < 10*time.Second {
		return
	}
	if !b.HasCapacity(b.WritesNeeded("", job.ID)) {
		return
	}
	record := b.MutableJob(job.ID)
	if record.Owner != ja.lease.Incarnation() {
		b.Log(slog.LevelInfo, "job acquired", "job", string(job.ID), "source", string(record.Owner))
	}
	record.Owner = ja.lease.Incarnation()
	record.NextAttempt += step.AttemptBlockSize
	job.Record = record
}

// canWritePlacements tells whether this run may write placements of the job now. The replica
// must have all that was written before the claim.
func (ja *JobAcquirer) canWritePlacements(b *commit.Batch, job *PendingJob) bool {
	entry := ja.Replica.Jobs[job.ID]
	state := ja.jobs.JobState(job.ID)
	return entry != nil && entry.Record.Owner == ja.lease.Incarnation() && state.AttemptsOwner == ja.lease.Incarnation() && state.NextAttempt < state.AttemptsEnd &&
		ja.Replica.Revision >= protocol.Revision(entry.ModRevision) && b.JobRecord(job.ID).Owner == ja.lease.Incarnation()
}

// pendingTasks lists up to max tasks that are neither done nor assigned, in order.
func (ja *JobAcquirer) pendingTasks(b *commit.Batch, job *PendingJob, limit int) []int {
	covered := b.DoneTasks(job.ID)
	add := func(record *storage.MachineRecord) {
		for a := range record.AssignmentsOf(job.ID) {
			covered = covered.Union(a.Tasks)
		}
	}
	for id := range ja.Replica.MachinesWithJob(job.ID) {
		if !b.RemovesMachine(id) {
			add(b.MachineRecord(id))
		}
	}
	for id, record := range b.ChangedMachines() {
		if !ja.Replica.MachinesWithJob(job.ID)[id] {
			add(record)
		}
	}
	return covered.FirstMissing(job.Record.Spec.TaskCount, limit)
}

// maxTasksInProgress tells how many tasks of a job may be under way so that what is done of
// it can be written, in whatever order they end.
func (ja *JobAcquirer) maxTasksInProgress(tasks int) int {
	intervalSize := 2*len(strconv.Itoa(tasks)) + 2 // "lo-hi,"
	budget := ja.limits.JobRecordBudget()
	if ja.limits.StorageFormat() >= storage.FormatPacked {
		if tasks/6 <= budget { // a bit each, as base64
			return tasks
		}
		intervalSize = 6 // two varints of two bytes at most, for most of the runs
	}
	if tasks/3*intervalSize <= budget {
		return tasks
	}
	return budget / intervalSize
}
