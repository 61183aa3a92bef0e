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
	// maxJobRecordPercent is the part of a stored value, in hundredths, that a new job's record
	// may take; the rest is for the done tasks and reservations that are recorded in it later.
	maxJobRecordPercent = 85

	// quotaTolerance absorbs rounding where resources are summed up and compared with a quota.
	quotaTolerance = 1e-9
)

// submission is a job that is not on record yet.
type submission struct {
	job         *protocol.Job
	receivedAt  protocol.Instant
	submittedAt protocol.Millis
	requestIDs  []step.RequestID // of all users who have submitted it meanwhile
}

// HasSubmissions tells whether jobs wait to be put on record.
func (u *UserRequests) HasSubmissions() bool { return len(u.submissions) > 0 }

// WriteUserRequests puts new jobs and the steps of cancellations into the batch.
func (u *UserRequests) WriteUserRequests(b *commit.Batch) {
	u.cancellations.WriteCancellations(b)
	for _, id := range step.SortedKeys(u.submissions) {
		if u.Replica.Jobs[id] != nil || !b.HasCapacity(1) {
			continue
		}
		pending := u.submissions[id]
		b.AddJob(id, u.newJobRecord(pending.job, pending.submittedAt))
	}
}

func (u *UserRequests) newJobRecord(job *protocol.Job, submittedAt protocol.Millis) *storage.JobRecord {
	return &storage.JobRecord{
		Spec:        job,
		Owner:       u.lease.Incarnation(),
		NextAttempt: step.AttemptBlockSize,
		SubmittedAt: submittedAt,
	}
}

// JobRecordFits tells whether a job's record stays within a stored value, whatever is recorded in it
// later, also under limits that are announced.
func (u *UserRequests) JobRecordFits(job *protocol.Job) bool {
	format := storage.FormatPlain
	if u.Config.AnnouncedLimits != nil {
		format = storage.FormatPacked
	}
	size := len(storage.EncodeJob(format, u.newJobRecord(job, u.Now.Wall)))
	return size <= u.limits.AdmissionLimits().ValueBytes*maxJobRecordPercent/100
}

// onSubmit handles the submission of a valid job.
func (u *UserRequests) onSubmit(requestID step.RequestID, job *protocol.Job) {
	switch {
	case u.replyIfFinal(requestID, protocol.RequestSubmit, job.ID):
	case u.Replica.Jobs[job.ID] != nil:
		u.deferSubmission(requestID, job, u.Now.Monotonic)
	case !u.canTakeSubmission():
		u.rejectUnavailable(requestID)
	case !u.canEverRun(job):
		// It may be rejected only once it is certain that no other controller has accepted it.
		u.deferSubmission(requestID, job, u.Now.Monotonic)
	default:
		u.addSubmission(requestID, job)
	}
}

// canTakeSubmission tells whether one more job can wait to be put on record.
func (u *UserRequests) canTakeSubmission() bool {
	return !u.replication.StoreUnavailable() && u.knowsMachineTypes() && len(u.submissions) < maxWaitingRequests
}

// knowsMachineTypes tells whether the cloud's machine types have been read: without them it is unknown
// which jobs can run.
func (u *UserRequests) knowsMachineTypes() bool { return len(u.catalog.MachineTypes()) > 0 }

// addSubmission queues a job to be put on record.
func (u *UserRequests) addSubmission(requestID step.RequestID, job *protocol.Job) {
	pending := u.submissions[job.ID]
	if pending == nil {
		pending = &submission{job: job, receivedAt: u.Now.Monotonic, submittedAt: u.Now.Wall}
		u.submissions[job.ID] = pending
	}
	pending.requestIDs = append(pending.requestIDs, requestID)
}

// canEverRun tells whether the team's quota and the cloud's machine types allow the job at all.
func (u *UserRequests) canEverRun(job *protocol.Job) bool {
	quota, ok := u.Config.Quotas[job.Team]
	return ok && fitsQuota(job, quota) && u.fitsAnyMachineType(job)
}

// fitsQuota tells whether the tasks of a job that must run at the same time stay within a quota.
func fitsQuota(job *protocol.Job, quota step.Quota) bool {
	concurrentTasks := 1.0
	if job.IsGang() || job.IsService() {
		concurrentTasks = float64(job.TaskCount)
	}
	return isWithin(concurrentTasks*job.Cores, quota.MaxCores) &&
		isWithin(concurrentTasks*job.Accelerators, quota.MaxAccelerators)
}

// isWithin tells whether an amount is within a limit; 0 is no limit.
func isWithin(amount, limit float64) bool { return limit <= 0 || amount <= limit+quotaTolerance }

// fitsAnyMachineType tells whether one task of a job fits a machine that it may be placed on.
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

// replyToSubmissions answers for the jobs that are on record by now.
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

// replyToSubmission answers for a job that is on record. If another controller has recorded it, its
// state may be newer than this replica.
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

func (u *UserRequests) expireSubmissions(isExpired func(receivedAt protocol.Instant) bool) {
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
