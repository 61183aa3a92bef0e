package requests

import (
	"log/slog"
	"slices"

	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// UserRequests answers users' requests; those that need a newer replica are deferred.
type UserRequests struct {
	*step.Context

	cancellations *cancellation.Canceller
	catalog       *catalog.Catalog
	lease         *commit.Lease
	limits        *commit.WriteLimiter
	replication   *commit.Replication
	store         *commit.StoreHealth

	submissions      map[protocol.JobID]*submission
	deferredRequests []*deferredRequest
	revisionRead     revisionRead
}

func NewUserRequests(ctx *step.Context) *UserRequests {
	return &UserRequests{
		Context:     ctx,
		submissions: map[protocol.JobID]*submission{},
	}
}

// maxDeferredRequests bounds the users that may wait at once; the rest are told to come back.
const maxDeferredRequests = 2000

// submission is a job that is not written yet.
type submission struct {
	job         *protocol.Job
	receivedAt  protocol.Instant
	submittedAt protocol.Millis
	requestIDs  []step.RequestID
}

// deferredRequest is a request whose answer needs the replica at least as new as a
// revision read after the request arrived.
type deferredRequest struct {
	requestID           step.RequestID
	requestType         protocol.RequestType
	jobID               protocol.JobID
	job                 *protocol.Job // of a submission
	receivedAt          protocol.Instant
	isRevisionRequested bool              // the read that counts has begun
	minRevision         protocol.Revision // and gave this
	awaitsCancellation  bool              // waits for the job to be withdrawn
}

// revisionRead is the read of the state service's revision that waiters share.
type revisionRead struct {
	isInFlight  bool
	requestedAt protocol.Instant
}

func (h *UserRequests) rejectUnavailable(requestID step.RequestID) {
	h.Emit(step.Reply{RequestID: requestID, Status: 503, RetryAfterSeconds: 1, Body: protocol.Encode(step.ErrorBody{Error: "cannot decide now"})})
}

// jobStatus is what the replica says of a job.
func (h *UserRequests) jobStatus(id protocol.JobID, record *storage.JobRecord, withCounts bool) protocol.JobStatus {
	status := protocol.JobStatus{ID: id, State: record.State}
	running := 0
	if !record.State.IsTerminal() {
		for machineID := range h.Replica.MachinesWithJob(id) {
			for assigned := range h.Replica.Machines[machineID].Record.AssignmentsOf(id) {
				running += assigned.Tasks.Len()
			}
		}
		status.State = protocol.JobQueued
		if running > 0 {
			status.State = protocol.JobRunning
		}
	}
	if withCounts {
		done := h.Replica.CompletedTasks(id).Len()
		if record.State == protocol.JobDone {
			done = record.TaskCount
		}
		status.DoneTasks, status.RunningTasks = &done, &running
	}
	return status
}

func (h *UserRequests) OnUserInput(v step.UserInput) {
	if v.Type == protocol.RequestSubmit {
		job, err := protocol.ParseJob(v.Body)
		if err != nil {
			h.Log(slog.LevelInfo, "job submission invalid", "error", err.Error(), "body", string(v.Body[:min(len(v.Body), 600)]))
			h.Reply(v.RequestID, 400, step.ErrorBody{Error: err.Error()})
			return
		}
		if !h.JobRecordFits(job) {
			h.Reply(v.RequestID, 400, step.ErrorBody{Error: "description is too long"})
			return
		}
		h.onSubmit(v.RequestID, job)
		return
	}
	if !v.Job.IsValid() {
		h.Reply(v.RequestID, 404, step.ErrorBody{Error: "no such job"})
		return
	}
	if h.replyIfFinal(v.RequestID, v.Type, v.Job) {
		return
	}
	if v.Type == protocol.RequestCancel && h.Replica.Jobs[v.Job] != nil && !h.replication.StoreUnavailable() {
		h.cancellations.RequestCancellation(v.Job)
	}
	h.deferRequest(&deferredRequest{requestID: v.RequestID, requestType: v.Type, jobID: v.Job, receivedAt: h.Now.Monotonic})
}

// replyIfFinal answers from the replica alone: a final state never changes.
func (h *UserRequests) replyIfFinal(requestID step.RequestID, requestType protocol.RequestType, id protocol.JobID) bool {
	e := h.Replica.Jobs[id]
	if e == nil || !e.Record.State.IsTerminal() {
		return false
	}
	h.Reply(requestID, 200, h.jobStatus(id, &e.Record, requestType == protocol.RequestQuery))
	return true
}

func (h *UserRequests) deferRequest(request *deferredRequest) {
	if h.replication.StoreUnavailable() || len(h.deferredRequests) >= maxDeferredRequests {
		h.rejectUnavailable(request.requestID)
		return
	}
	h.deferredRequests = append(h.deferredRequests, request)
	h.requestRevision()
}

// requestRevision reads the revision once for all that wait.
func (h *UserRequests) requestRevision() {
	if h.revisionRead.isInFlight {
		return
	}
	for _, request := range h.deferredRequests {
		if !request.isRevisionRequested {
			h.revisionRead.isInFlight = true
		}
	}
	if !h.revisionRead.isInFlight {
		return
	}
	for _, request := range h.deferredRequests {
		request.isRevisionRequested = true
	}
	h.revisionRead.requestedAt = h.Now.Monotonic
	h.Emit(step.ReadRevision{})
}

func (h *UserRequests) OnReadRevisionResult(v step.ReadRevisionResult) {
	h.revisionRead.isInFlight = false
	answered := h.store.RecordContact(h.revisionRead.requestedAt, v.Err)
	h.deferredRequests = slices.DeleteFunc(h.deferredRequests, func(request *deferredRequest) bool {
		if !request.isRevisionRequested || request.minRevision != 0 {
			return false
		}
		if !answered {
			h.rejectUnavailable(request.requestID)
		}
		request.minRevision = v.Revision
		return !answered
	})
}

func (h *UserRequests) onSubmit(requestID step.RequestID, job *protocol.Job) {
	if h.replyIfFinal(requestID, protocol.RequestSubmit, job.ID) {
		return
	}
	if h.Replica.Jobs[job.ID] != nil {
		h.deferRequest(&deferredRequest{requestID: requestID, requestType: protocol.RequestSubmit, jobID: job.ID, job: job, receivedAt: h.Now.Monotonic})
		return
	}
	if h.replication.StoreUnavailable() || len(h.catalog.MachineTypes()) == 0 || len(h.submissions) >= maxDeferredRequests {
		h.rejectUnavailable(requestID)
		return
	}
	if !h.canEverRun(job) {
		// Only sure once it is certain that no other node has accepted it.
		h.deferRequest(&deferredRequest{requestID: requestID, requestType: protocol.RequestSubmit, jobID: job.ID, job: job, receivedAt: h.Now.Monotonic})
		return
	}
	pending := h.submissions[job.ID]
	if pending == nil {
		pending = &submission{job: job, receivedAt: h.Now.Monotonic, submittedAt: h.Now.Wall}
		h.submissions[job.ID] = pending
	}
	pending.requestIDs = append(pending.requestIDs, requestID)
}

// JobRecordFits tells whether a job's record stays within a value of the state service,
// whatever is to be noted of it, also under the limits that are announced.
func (h *UserRequests) JobRecordFits(job *protocol.Job) bool {
	format := storage.FormatPlain
	if h.Config.AnnouncedLimits != nil {
		format = storage.FormatPacked
	}
	size := len(storage.EncodeJob(format, &storage.JobRecord{Spec: job, Owner: h.lease.Incarnation(), NextAttempt: step.AttemptBlockSize, SubmittedAt: h.Now.Wall}))
	return size <= h.limits.AdmissionLimits().ValueBytes*maxJobRecordPercent/100
}

// maxJobRecordPercent is the part of a value, in hundredths, that a new job's record may take.
const maxJobRecordPercent = 85

// canEverRun tells whether the job could ever run here.
func (h *UserRequests) canEverRun(job *protocol.Job) bool {
	quota, ok := h.Config.Quotas[job.Team]
	if !ok {
		return false
	}
	concurrentTasks := 1.0
	if job.IsGang() || job.IsService() {
		concurrentTasks = float64(job.TaskCount)
	}
	if quota.MaxCores > 0 && concurrentTasks*job.Cores > quota.MaxCores+1e-9 || quota.MaxAccelerators > 0 && concurrentTasks*job.Accelerators > quota.MaxAccelerators+1e-9 {
		return false
	}
	for i := range h.catalog.MachineTypes() {
		machineType := &h.catalog.MachineTypes()[i]
		for _, zone := range machineType.Zones {
			if job.AllowsPlacement(machineType.Name, zone) && machineType.CanFitTask(job) {
				return true
			}
		}
	}
	return false
}

// HasSubmissions tells whether jobs wait to be put on record.
func (h *UserRequests) HasSubmissions() bool { return len(h.submissions) > 0 }

// HasDeferred tells whether users wait for a newer replica.
func (h *UserRequests) HasDeferred() bool { return len(h.deferredRequests) > 0 }

// WriteUserRequests puts new and withdrawn jobs into the transaction.
func (h *UserRequests) WriteUserRequests(b *commit.Batch) {
	h.cancellations.WriteCancellations(b)
	for _, id := range step.SortedKeys(h.submissions) {
		pending := h.submissions[id]
		if h.Replica.Jobs[id] != nil || !b.HasCapacity(1) {
			continue
		}
		b.AddJob(id, &storage.JobRecord{
			Spec:        pending.job,
			Owner:       h.lease.Incarnation(),
			NextAttempt: step.AttemptBlockSize,
			SubmittedAt: pending.submittedAt,
		})
	}
}

// ReplyPending answers whoever can be answered now.
func (h *UserRequests) ReplyPending() {
	for _, id := range step.SortedKeys(h.submissions) {
		pending := h.submissions[id]
		e := h.Replica.Jobs[id]
		if e == nil {
			continue
		}
		delete(h.submissions, id)
		for _, requestID := range pending.requestIDs {
			if e.Record.State.IsTerminal() {
				h.Reply(requestID, 200, h.jobStatus(id, &e.Record, false))
				continue
			}
			// Written just now or by another node; at least queued.
			if e.Record.Owner == h.lease.Incarnation() {
				h.Log(slog.LevelDebug, "job accepted", "job", string(id), "class", pending.job.Class, "tasks", pending.job.TaskCount)
				h.Reply(requestID, 201, h.jobStatus(id, &e.Record, false))
			} else {
				h.deferRequest(&deferredRequest{requestID: requestID, requestType: protocol.RequestSubmit, jobID: id, job: pending.job, receivedAt: pending.receivedAt})
			}
		}
	}
	h.deferredRequests = slices.DeleteFunc(h.deferredRequests, h.tryReply)
	h.requestRevision()
}

func (h *UserRequests) tryReply(request *deferredRequest) bool {
	if h.replyIfFinal(request.requestID, request.requestType, request.jobID) {
		return true
	}
	if request.awaitsCancellation || request.minRevision == 0 || h.Replica.Revision < request.minRevision || !h.replication.IsLoaded() {
		return false
	}
	e := h.Replica.Jobs[request.jobID]
	switch {
	case e == nil && request.requestType == protocol.RequestSubmit:
		if len(h.catalog.MachineTypes()) == 0 {
			h.rejectUnavailable(request.requestID)
		} else if h.canEverRun(request.job) {
			h.onSubmit(request.requestID, request.job)
		} else {
			h.Log(slog.LevelInfo, "job rejected, requirements cannot be met", "job", string(request.jobID), "team", request.job.Team)
			h.Reply(request.requestID, 422, step.ErrorBody{Error: "can never run"})
		}
	case e == nil:
		h.Reply(request.requestID, 404, step.ErrorBody{Error: "no such job"})
	case request.requestType == protocol.RequestCancel:
		h.cancellations.RequestCancellation(request.jobID)
		request.awaitsCancellation = true
		return false
	default:
		h.Reply(request.requestID, 200, h.jobStatus(request.jobID, &e.Record, request.requestType == protocol.RequestQuery))
	}
	return true
}

// ExpireUserRequests gives up on requests whose user would not wait any longer.
func (h *UserRequests) ExpireUserRequests() {
	unavailable := h.replication.StoreUnavailable()
	for _, id := range step.SortedKeys(h.submissions) {
		pending := h.submissions[id]
		if unavailable || h.Since(pending.receivedAt) > h.Config.UserRequestTimeout {
			delete(h.submissions, id)
			for _, requestID := range pending.requestIDs {
				h.rejectUnavailable(requestID)
			}
		}
	}
	h.deferredRequests = slices.DeleteFunc(h.deferredRequests, func(request *deferredRequest) bool {
		expired := unavailable || h.Since(request.receivedAt) > h.Config.UserRequestTimeout
		if expired {
			h.rejectUnavailable(request.requestID)
		}
		return expired
	})
}
