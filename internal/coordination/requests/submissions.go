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
	// may take; the rest is left for what is noted of the job later.
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
func (h *UserRequests) HasSubmissions() bool { return len(h.submissions) > 0 }

// WriteBatch puts new jobs and cancellations into the batch.
func (h *UserRequests) WriteBatch(b *commit.Batch) {
	h.cancellations.Write(b)
	for _, id := range step.SortedKeys(h.submissions) {
		if h.Replica.Jobs[id] != nil || !b.HasCapacity(1) {
			continue
		}
		pending := h.submissions[id]
		b.AddJob(id, h.newJobRecord(pending.job, pending.submittedAt))
	}
}

func (h *UserRequests) newJobRecord(job *protocol.Job, submittedAt protocol.Millis) *storage.JobRecord {
	return &storage.JobRecord{
		Spec:        job,
		Owner:       h.lease.Incarnation(),
		NextAttempt: step.AttemptBlockSize,
		SubmittedAt: submittedAt,
	}
}

// JobRecordFits tells whether a job's record stays within a value of the store, whatever is noted of
// it later, also under limits that are announced.
func (h *UserRequests) JobRecordFits(job *protocol.Job) bool {
	format := storage.FormatPlain
	if h.Config.AnnouncedLimits != nil {
		format = storage.FormatPacked
	}
	size := len(storage.EncodeJob(format, h.newJobRecord(job, h.Now.Wall)))
	return size <= h.limits.AdmissionLimits().ValueBytes*maxJobRecordPercent/100
}

// onSubmit takes a valid job in.
func (h *UserRequests) onSubmit(requestID step.RequestID, job *protocol.Job) {
	switch {
	case h.replyIfFinal(requestID, protocol.RequestSubmit, job.ID):
	case h.Replica.Jobs[job.ID] != nil:
		h.deferSubmission(requestID, job, h.Now.Monotonic)
	case !h.canTakeSubmission():
		h.rejectUnavailable(requestID)
	case !h.canEverRun(job):
		// It may be rejected only once it is certain that no other controller has accepted it.
		h.deferSubmission(requestID, job, h.Now.Monotonic)
	default:
		h.addSubmission(requestID, job)
	}
}

// canTakeSubmission tells whether one more job can wait to be put on record.
func (h *UserRequests) canTakeSubmission() bool {
	return !h.replication.StoreUnavailable() && h.knowsMachineTypes() && len(h.submissions) < maxWaitingRequests
}

// knowsMachineTypes tells whether the cloud's machine types have been read, without which nobody
// can say what can run.
func (h *UserRequests) knowsMachineTypes() bool { return len(h.catalog.MachineTypes()) > 0 }

// addSubmission lets a job wait to be put on record.
func (h *UserRequests) addSubmission(requestID step.RequestID, job *protocol.Job) {
	pending := h.submissions[job.ID]
	if pending == nil {
		pending = &submission{job: job, receivedAt: h.Now.Monotonic, submittedAt: h.Now.Wall}
		h.submissions[job.ID] = pending
	}
	pending.requestIDs = append(pending.requestIDs, requestID)
}

// canEverRun tells whether the team's quota and the cloud's machine types allow the job at all.
func (h *UserRequests) canEverRun(job *protocol.Job) bool {
	quota, ok := h.Config.Quotas[job.Team]
	return ok && fitsQuota(job, quota) && h.fitsAnyMachineType(job)
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
func (h *UserRequests) fitsAnyMachineType(job *protocol.Job) bool {
	machineTypes := h.catalog.MachineTypes()
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
func (h *UserRequests) replyToSubmissions() {
	for _, id := range step.SortedKeys(h.submissions) {
		pending, e := h.submissions[id], h.Replica.Jobs[id]
		if e == nil {
			continue
		}
		delete(h.submissions, id)
		for _, requestID := range pending.requestIDs {
			h.replyToSubmission(requestID, pending, e)
		}
	}
}

// replyToSubmission answers for a job that is on record. One that another controller has put there
// may have come further than this replica says.
func (h *UserRequests) replyToSubmission(requestID step.RequestID, pending *submission, e *storage.Versioned[storage.JobRecord]) {
	id := pending.job.ID
	switch {
	case e.Record.State.IsTerminal():
		h.Reply(requestID, http.StatusOK, h.jobStatus(id, &e.Record, protocol.RequestSubmit))
	case e.Record.Owner == h.lease.Incarnation():
		h.Log(slog.LevelDebug, "job accepted", "job", string(id), "class", pending.job.Class, "tasks", pending.job.TaskCount)
		h.Reply(requestID, http.StatusCreated, h.jobStatus(id, &e.Record, protocol.RequestSubmit))
	default:
		h.deferSubmission(requestID, pending.job, pending.receivedAt)
	}
}

func (h *UserRequests) expireSubmissions(isExpired func(receivedAt protocol.Instant) bool) {
	for _, id := range step.SortedKeys(h.submissions) {
		pending := h.submissions[id]
		if !isExpired(pending.receivedAt) {
			continue
		}
		delete(h.submissions, id)
		for _, requestID := range pending.requestIDs {
			h.rejectUnavailable(requestID)
		}
	}
}
