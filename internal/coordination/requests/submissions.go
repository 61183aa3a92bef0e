package requests

import (
	"log/slog"
	"net/http"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// maxJobRecordPercent is the percentage of the largest stored value that a new job's record may
	// occupy. The rest is for the completed tasks and reservations that are recorded in it later.
	maxJobRecordPercent = 85

	// quotaTolerance absorbs rounding errors when a sum of resources is compared with a quota.
	quotaTolerance = 1e-9
)

// submission is a job that is not recorded in the store yet.
type submission struct {
	job         *protocol.Job
	receivedAt  protocol.Instant
	submittedAt protocol.Millis
	requestIDs  []step.RequestID // of all users who have submitted it meanwhile
}

// HasSubmissions reports whether jobs are waiting to be recorded.
func (u *UserRequests) HasSubmissions() bool { return len(u.submissions) > 0 }

// WriteUserRequests writes new jobs and the steps of cancellations into the batch.
func (u *UserRequests) WriteUserRequests(batch *commit.Batch) {
	u.cancellations.WriteCancellations(batch)
	for _, id := range step.SortedKeys(u.submissions) {
		if u.Replica.Jobs[id] != nil {
			continue
		}
		pending := u.submissions[id]
		record := u.newJobRecord(pending.job, pending.submittedAt)
		if batch.HasCapacity(batch.NewJobOps(id, record)) {
			batch.AddJob(id, record)
		}
	}
}

// newJobRecord returns the first record of a submitted job.
func (u *UserRequests) newJobRecord(job *protocol.Job, submittedAt protocol.Millis) *storage.JobRecord {
	return &storage.JobRecord{
		Spec:        job,
		Owner:       u.lease.Incarnation(),
		NextAttempt: step.AttemptBlockSize,
		SubmittedAt: submittedAt,
	}
}

// JobRecordFits reports whether a job's record fits into a stored value, including whatever is
// recorded in it later, under the current and the announced limits. It judges new jobs only: a job that
// was accepted under wider limits stays accepted.
func (u *UserRequests) JobRecordFits(job *protocol.Job) bool {
	format := storage.FormatPlain
	if u.Config.AnnouncedLimits != nil {
		format = storage.FormatPacked
	}
	size := len(storage.EncodeJob(format, u.newJobRecord(job, u.Now.Wall)))
	return size <= u.limits.AdmissionLimits().ValueBytes*maxJobRecordPercent/100
}

// onValidSubmission handles the submission of a job whose description is valid.
func (u *UserRequests) onValidSubmission(requestID step.RequestID, job *protocol.Job) {
	switch {
	case u.replyIfFinal(requestID, protocol.RequestSubmit, job.ID):
	case u.Replica.Jobs[job.ID] != nil:
		u.deferSubmission(requestID, job, u.Now.Monotonic)
	case !u.canQueueSubmission():
		u.rejectUnavailable(requestID)
	case !u.JobRecordFits(job) || !u.canEverRun(job):
		// The job may be rejected only once it is certain that no other controller has accepted it.
		u.deferSubmission(requestID, job, u.Now.Monotonic)
	default:
		u.queueSubmission(requestID, job)
	}
}

// canQueueSubmission reports whether one more job can wait to be recorded.
func (u *UserRequests) canQueueSubmission() bool {
	return !u.replication.StoreUnavailable() && u.knowsMachineTypes() && len(u.submissions) < maxWaitingRequests
}

// knowsMachineTypes reports whether the cloud's machine types have been read. Without them it is
// unknown which jobs can run.
func (u *UserRequests) knowsMachineTypes() bool { return len(u.catalog.MachineTypes()) > 0 }

// queueSubmission queues a job to be recorded, or adds the request to those of the same queued job.
func (u *UserRequests) queueSubmission(requestID step.RequestID, job *protocol.Job) {
	pending := u.submissions[job.ID]
	if pending == nil {
		pending = &submission{job: job, receivedAt: u.Now.Monotonic, submittedAt: u.Now.Wall}
		u.submissions[job.ID] = pending
	}
	pending.requestIDs = append(pending.requestIDs, requestID)
}

// canEverRun reports whether the team's quota and the cloud's machine types allow the job at all.
func (u *UserRequests) canEverRun(job *protocol.Job) bool {
	quota, hasQuota := u.Config.Quotas[job.Team]
	return hasQuota && fitsQuota(job, quota) && u.fitsAnyMachineType(job)
}

// fitsQuota reports whether the tasks of a job that must run at the same time stay within a quota.
func fitsQuota(job *protocol.Job, quota step.Quota) bool {
	concurrentTasks := 1.0
	if job.IsGang() || job.IsService() {
		concurrentTasks = float64(job.TaskCount)
	}
	return isWithinLimit(concurrentTasks*job.Cores, quota.MaxCores) &&
		isWithinLimit(concurrentTasks*job.Accelerators, quota.MaxAccelerators)
}

// isWithinLimit reports whether an amount is within a limit. A limit of 0 means no limit.
func isWithinLimit(amount, limit float64) bool { return limit <= 0 || amount <= limit+quotaTolerance }

// fitsAnyMachineType reports whether one task of a job fits a machine that it may be placed on.
func (u *UserRequests) fitsAnyMachineType(job *protocol.Job) bool {
	machineTypes := u.catalog.MachineTypes()
	for i := range machineTypes {
		machineType := &machineTypes[i]
		for _, zone := range machineType.Zones {
			if job.AllowsPlacement(machineType.Name, zone) && machineType.CanFitTask(job) {
				return true
			}
		}
	}
	return false
}

// replyToSubmissions answers the submissions of jobs that are recorded by now.
func (u *UserRequests) replyToSubmissions() {
	for _, id := range step.SortedKeys(u.submissions) {
		pending, entry := u.submissions[id], u.Replica.Jobs[id]
		if entry == nil {
			continue
		}
		delete(u.submissions, id)
		for _, requestID := range pending.requestIDs {
			u.replyToSubmission(requestID, pending, entry)
		}
	}
}

// replyToSubmission answers one request that submitted a recorded job. If another controller owns the
// job, its state may be newer than this replica, so the answer is deferred.
func (u *UserRequests) replyToSubmission(
	requestID step.RequestID, pending *submission, entry *storage.Versioned[storage.JobRecord],
) {
	id := pending.job.ID
	switch {
	case entry.Record.State.IsTerminal():
		u.Reply(requestID, http.StatusOK, u.jobStatus(id, &entry.Record, protocol.RequestSubmit))
	case entry.Record.Owner == u.lease.Incarnation():
		u.Log(slog.LevelDebug, "job accepted",
			"job", string(id), "class", pending.job.Class, "tasks", pending.job.TaskCount)
		u.Reply(requestID, http.StatusCreated, u.jobStatus(id, &entry.Record, protocol.RequestSubmit))
	default:
		u.deferSubmission(requestID, pending.job, pending.receivedAt)
	}
}

// rejectExpiredSubmissions rejects the requests of the submissions that have expired.
func (u *UserRequests) rejectExpiredSubmissions(isExpired func(receivedAt protocol.Instant) bool) {
	for _, id := range step.SortedKeys(u.submissions) {
		pending := u.submissions[id]
		if !isExpired(pending.receivedAt) {
			continue
		}
		delete(u.submissions, id)
		for _, requestID := range pending.requestIDs {
			u.rejectUnavailable(requestID)
		}
	}
}
