package coordination

import (
	"log/slog"
	"strconv"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"time"
)

// attemptBlockSize is how many attempt numbers an owner of a job sets aside at once.
const attemptBlockSize = 1 << 10

// jobAcquirer acquires jobs for this controller and tells which of their tasks are to be placed.
type jobAcquirer struct {
	*stepContext

	jobs      *jobTable
	lease     *incarnationLease
	limits    *writeLimiter
	ownership *shardOwnership
}

// acquireJob takes over jobs whose claimant is dead, and sets attempts aside.
func (ja *jobAcquirer) acquireJob(b *batch, job *pendingJob) {
	state := ja.jobs.jobState(job.id)
	if job.record.Owner == ja.lease.incarnation {
		if state.attemptsOwner != ja.lease.incarnation || job.record.NextAttempt > state.attemptsEnd {
			state.attemptsOwner, state.nextAttempt, state.attemptsEnd = ja.lease.incarnation, job.record.NextAttempt-attemptBlockSize+1, job.record.NextAttempt
		}
		if state.attemptsEnd-state.nextAttempt > 8 {
			return
		}
	} else if expiredAt, isExpired := ja.ownership.expiredAt[job.record.Owner]; !isExpired || ja.since(expiredAt) < 500*time.Millisecond ||
		!ja.ownership.IsSuccessor(storage.JobKey(job.id)) && ja.since(expiredAt) < 10*time.Second {
		return
	}
	if !b.hasCapacity(b.writesNeeded("", job.id)) {
		return
	}
	record := b.mutableJob(job.id)
	if record.Owner != ja.lease.incarnation {
		b.log(slog.LevelInfo, "job acquired", "job", string(job.id), "source", string(record.Owner))
	}
	record.Owner = ja.lease.incarnation
	record.NextAttempt += attemptBlockSize
	job.record = record
}

// canWritePlacements tells whether this run may write placements of the job now. The replica
// must have all that was written before the claim.
func (ja *jobAcquirer) canWritePlacements(b *batch, job *pendingJob) bool {
	entry := ja.replica.Jobs[job.id]
	state := ja.jobs.jobState(job.id)
	return entry != nil && entry.Record.Owner == ja.lease.incarnation && state.attemptsOwner == ja.lease.incarnation && state.nextAttempt < state.attemptsEnd &&
		ja.replica.Revision >= protocol.Revision(entry.ModRevision) && b.jobRecord(job.id).Owner == ja.lease.incarnation
}

// pendingTasks lists up to max tasks that are neither done nor assigned, in order.
func (ja *jobAcquirer) pendingTasks(b *batch, job *pendingJob, limit int) []int {
	covered := b.doneTasks(job.id)
	add := func(record *storage.MachineRecord) {
		for a := range record.AssignmentsOf(job.id) {
			covered = covered.Union(a.Tasks)
		}
	}
	for id := range ja.replica.MachinesWithJob(job.id) {
		if !b.removesMachine(id) {
			add(b.machineRecord(id))
		}
	}
	for id := range b.machines {
		if !ja.replica.MachinesWithJob(job.id)[id] {
			add(b.machines[id])
		}
	}
	return covered.FirstMissing(job.record.Spec.TaskCount, limit)
}

// maxTasksInProgress tells how many tasks of a job may be under way so that what is done of
// it can be written, in whatever order they end.
func (ja *jobAcquirer) maxTasksInProgress(tasks int) int {
	intervalSize := 2*len(strconv.Itoa(tasks)) + 2 // "lo-hi,"
	budget := ja.limits.jobRecordBudget()
	if ja.limits.storageFormat() >= storage.FormatPacked {
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
