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

const (
	// successorDelay is how long an incarnation must have been expired before its successor acquires its
	// jobs.
	successorDelay = 500 * time.Millisecond
	// anyControllerDelay is how long an incarnation must have been expired before any controller may
	// acquire its jobs, in case the successor does not.
	anyControllerDelay = 10 * time.Second
)

// CancellationChecker reports whether a job is being cancelled, also while this controller is about to record that.
type CancellationChecker interface {
	IsCancelling(id protocol.JobID) bool
}

// jobAcquirer acquires jobs for this controller and determines which of their tasks are to be placed.
type jobAcquirer struct {
	*step.Context

	cancellations CancellationChecker
	jobs          *agents.JobTable
	lease         *commit.Lease
	limits        *commit.WriteLimiter
	ownership     *ownership.Manager
}

// acquireJob acquires a job whose owner has expired. For a job that this incarnation owns already, it
// reserves another block of attempt numbers if few are left.
func (ja *jobAcquirer) acquireJob(batch *commit.Batch, job *PendingJob) {
	self := ja.lease.Incarnation()
	attempts := attemptsOf(ja.jobs, job.id)
	if job.record.Owner == self {
		attempts.loadAttemptBlock(self, job.record)
		if attempts.hasSpareAttempts() {
			return
		}
	} else if !ja.mayAcquireJob(job) {
		return
	}
	if !batch.HasCapacity(batch.OpsNeeded("", job.id)) {
		return
	}
	record := batch.MutableJob(job.id)
	if record.Owner != self {
		batch.Log(slog.LevelInfo, "job acquired", "job", string(job.id), "source", string(record.Owner))
	}
	record.Owner = self
	record.NextAttempt += step.AttemptBlockSize
	job.record = record
}

// mayAcquireJob reports whether the job's owner has been expired for long enough that this controller may
// acquire the job.
func (ja *jobAcquirer) mayAcquireJob(job *PendingJob) bool {
	expiredAt, isExpired := ja.ownership.ExpiredSince(job.record.Owner)
	if !isExpired || ja.Since(expiredAt) < successorDelay {
		return false
	}
	return ja.ownership.IsSuccessor(storage.JobKey(job.id)) || ja.Since(expiredAt) >= anyControllerDelay
}

// canWritePlacements reports whether this incarnation may write placements of the job now. The replica
// must contain all writes that precede the acquisition of the job.
func (ja *jobAcquirer) canWritePlacements(batch *commit.Batch, job *PendingJob) bool {
	self := ja.lease.Incarnation()
	entry := ja.Replica.Jobs[job.id]
	hasAttempt := attemptsOf(ja.jobs, job.id).hasUnusedAttempt(self)
	if entry == nil || entry.Record.Owner != self || !hasAttempt || ja.cancellations.IsCancelling(job.id) {
		return false
	}
	isReplicaUpToDate := ja.Replica.Revision >= protocol.Revision(entry.ModRevision)
	return isReplicaUpToDate && batch.JobRecord(job.id).Owner == self
}

// canPlaceNow reports whether this incarnation may write placements of the job now and the job is not
// backing off.
func (ja *jobAcquirer) canPlaceNow(batch *commit.Batch, job *PendingJob) bool {
	isBackingOff := attemptsOf(ja.jobs, job.id).isBackingOff(ja.Now.Monotonic)
	return ja.canWritePlacements(batch, job) && !isBackingOff
}

// pendingTasks returns the indexes of up to limit tasks that are neither completed nor assigned, in
// ascending order.
func (ja *jobAcquirer) pendingTasks(batch *commit.Batch, job *PendingJob, limit int) []int {
	coveredTasks := batch.CompletedTasks(job.id)
	addAssigned := func(record *storage.MachineRecord) {
		for assigned := range record.AssignmentsOf(job.id) {
			coveredTasks = coveredTasks.Union(assigned.Tasks)
		}
	}
	recordedMachines := ja.Replica.MachinesWithJob(job.id)
	for id := range recordedMachines {
		if !batch.RemovesMachine(id) {
			addAssigned(batch.MachineRecord(id))
		}
	}
	for id, record := range batch.ChangedMachines() {
		if !recordedMachines[id] {
			addAssigned(record)
		}
	}
	return coveredTasks.FirstMissing(job.record.Spec.TaskCount, limit)
}

// maxTasksInProgress returns the maximum number of a job's tasks that may be in progress at the same
// time, so that the set of completed tasks fits the job's record in whatever order the tasks end.
func (ja *jobAcquirer) maxTasksInProgress(tasks int) int {
	const (
		tasksPerBase64Byte  = 6 // the packed format may write one bit per task, in base64
		packedIntervalBytes = 6 // in base64; most intervals need at most two varints of two bytes
		separatorBytes      = 2 // per interval in the plain format, "lo-hi,"
		// tasksPerInterval is the length of the shortest interval, which is two tasks and the gap after them.
		tasksPerInterval = 3
	)
	intervalBytes := 2*len(strconv.Itoa(tasks)) + separatorBytes
	budget := ja.limits.JobRecordBudget()
	if ja.limits.StorageFormat() >= storage.FormatPacked {
		if tasks/tasksPerBase64Byte <= budget {
			return tasks
		}
		intervalBytes = packedIntervalBytes
	}
	if tasks/tasksPerInterval*intervalBytes <= budget {
		return tasks
	}
	return budget / intervalBytes
}
