package coordination

import (
	"errors"
	"log/slog"
	"slices"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// userRequestHandler answers users' requests; those that need a newer replica are deferred.
type userRequestHandler struct {
	*stepContext

	cancellations *canceller
	catalog       *machineCatalog
	lease         *incarnationLease
	limits        *writeLimiter
	replication   *replicaSync
	store         *storeHealth

	submissions      map[protocol.JobID]*submission
	deferredRequests []*deferredRequest
	revisionRead     revisionRead
}

func newUserRequestHandler(ctx *stepContext) *userRequestHandler {
	return &userRequestHandler{
		stepContext: ctx,
		submissions: map[protocol.JobID]*submission{},
	}
}

var errNoUsableResponse = errors.New("no usable answer")

// maxDeferredRequests bounds the users that may wait at once; the rest are told to come back.
const maxDeferredRequests = 2000

// submission is a job that is not written yet.
type submission struct {
	job         *protocol.Job
	receivedAt  protocol.Instant
	submittedAt protocol.Millis
	requestIDs  []RequestID
}

// deferredRequest is a request whose answer needs the replica at least as new as a
// revision read after the request arrived.
type deferredRequest struct {
	requestID           RequestID
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

type errorBody struct {
	Error string `json:"error"`
}

func (h *userRequestHandler) rejectUnavailable(requestID RequestID) {
	h.emit(Reply{RequestID: requestID, Status: 503, RetryAfterSeconds: 1, Body: protocol.Encode(errorBody{Error: "cannot decide now"})})
}

// jobStatus is what the replica says of a job.
func (h *userRequestHandler) jobStatus(id protocol.JobID, record *storage.JobRecord, withCounts bool) protocol.JobStatus {
	status := protocol.JobStatus{ID: id, State: record.State}
	running := 0
	if !record.State.IsTerminal() {
		for machineID := range h.replica.MachinesWithJob(id) {
			for assigned := range h.replica.Machines[machineID].Record.AssignmentsOf(id) {
				running += assigned.Tasks.Len()
			}
		}
		status.State = protocol.JobQueued
		if running > 0 {
			status.State = protocol.JobRunning
		}
	}
	if withCounts {
		done := h.replica.CompletedTasks(id).Len()
		if record.State == protocol.JobDone {
			done = record.TaskCount
		}
		status.DoneTasks, status.RunningTasks = &done, &running
	}
	return status
}

func (h *userRequestHandler) onUserInput(v UserInput) {
	if v.Type == protocol.RequestSubmit {
		job, err := protocol.ParseJob(v.Body)
		if err != nil {
			h.log(slog.LevelInfo, "job submission invalid", "error", err.Error(), "body", string(v.Body[:min(len(v.Body), 600)]))
			h.reply(v.RequestID, 400, errorBody{Error: err.Error()})
			return
		}
		if !h.jobRecordFits(job) {
			h.reply(v.RequestID, 400, errorBody{Error: "description is too long"})
			return
		}
		h.onSubmit(v.RequestID, job)
		return
	}
	if !v.Job.IsValid() {
		h.reply(v.RequestID, 404, errorBody{Error: "no such job"})
		return
	}
	if h.replyIfFinal(v.RequestID, v.Type, v.Job) {
		return
	}
	if v.Type == protocol.RequestCancel && h.replica.Jobs[v.Job] != nil && !h.replication.storeUnavailable() {
		h.cancellations.requestCancellation(v.Job)
	}
	h.deferRequest(&deferredRequest{requestID: v.RequestID, requestType: v.Type, jobID: v.Job, receivedAt: h.now.Monotonic})
}

// replyIfFinal answers from the replica alone: a final state never changes.
func (h *userRequestHandler) replyIfFinal(requestID RequestID, requestType protocol.RequestType, id protocol.JobID) bool {
	e := h.replica.Jobs[id]
	if e == nil || !e.Record.State.IsTerminal() {
		return false
	}
	h.reply(requestID, 200, h.jobStatus(id, &e.Record, requestType == protocol.RequestQuery))
	return true
}

func (h *userRequestHandler) deferRequest(request *deferredRequest) {
	if h.replication.storeUnavailable() || len(h.deferredRequests) >= maxDeferredRequests {
		h.rejectUnavailable(request.requestID)
		return
	}
	h.deferredRequests = append(h.deferredRequests, request)
	h.requestRevision()
}

// requestRevision reads the revision once for all that wait.
func (h *userRequestHandler) requestRevision() {
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
	h.revisionRead.requestedAt = h.now.Monotonic
	h.emit(ReadRevision{})
}

func (h *userRequestHandler) onReadRevisionResult(v ReadRevisionResult) {
	h.revisionRead.isInFlight = false
	answered := h.store.recordContact(h.revisionRead.requestedAt, v.Err)
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

func (h *userRequestHandler) onSubmit(requestID RequestID, job *protocol.Job) {
	if h.replyIfFinal(requestID, protocol.RequestSubmit, job.ID) {
		return
	}
	if h.replica.Jobs[job.ID] != nil {
		h.deferRequest(&deferredRequest{requestID: requestID, requestType: protocol.RequestSubmit, jobID: job.ID, job: job, receivedAt: h.now.Monotonic})
		return
	}
	if h.replication.storeUnavailable() || len(h.catalog.machineTypes) == 0 || len(h.submissions) >= maxDeferredRequests {
		h.rejectUnavailable(requestID)
		return
	}
	if !h.canEverRun(job) {
		// Only sure once it is certain that no other node has accepted it.
		h.deferRequest(&deferredRequest{requestID: requestID, requestType: protocol.RequestSubmit, jobID: job.ID, job: job, receivedAt: h.now.Monotonic})
		return
	}
	pending := h.submissions[job.ID]
	if pending == nil {
		pending = &submission{job: job, receivedAt: h.now.Monotonic, submittedAt: h.now.Wall}
		h.submissions[job.ID] = pending
	}
	pending.requestIDs = append(pending.requestIDs, requestID)
}

// jobRecordFits tells whether a job's record stays within a value of the state service,
// whatever is to be noted of it, also under the limits that are announced.
func (h *userRequestHandler) jobRecordFits(job *protocol.Job) bool {
	format := storage.FormatPlain
	if h.cfg.AnnouncedLimits != nil {
		format = storage.FormatPacked
	}
	size := len(storage.EncodeJob(format, &storage.JobRecord{Spec: job, Owner: h.lease.incarnation, NextAttempt: attemptBlockSize, SubmittedAt: h.now.Wall}))
	return size <= h.limits.admissionLimits().ValueBytes*maxJobRecordPercent/100
}

// maxJobRecordPercent is the part of a value, in hundredths, that a new job's record may take.
const maxJobRecordPercent = 85

// canEverRun tells whether the job could ever run here.
func (h *userRequestHandler) canEverRun(job *protocol.Job) bool {
	quota, ok := h.cfg.Quotas[job.Team]
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
	for i := range h.catalog.machineTypes {
		machineType := &h.catalog.machineTypes[i]
		for _, zone := range machineType.Zones {
			if job.AllowsPlacement(machineType.Name, zone) && machineType.CanFitTask(job) {
				return true
			}
		}
	}
	return false
}

// writeUserRequests puts new and withdrawn jobs into the transaction.
func (h *userRequestHandler) writeUserRequests(b *batch) {
	h.cancellations.writeCancellations(b)
	for _, id := range sortedKeys(h.submissions) {
		pending := h.submissions[id]
		if h.replica.Jobs[id] != nil || !b.hasCapacity(1) {
			continue
		}
		b.reserveWrite(storage.JobKey(id), 700)
		b.jobs[id] = &storage.JobRecord{Spec: pending.job, Owner: h.lease.incarnation, NextAttempt: attemptBlockSize, SubmittedAt: pending.submittedAt}
	}
}

// replyPending answers whoever can be answered now.
func (h *userRequestHandler) replyPending() {
	for _, id := range sortedKeys(h.submissions) {
		pending := h.submissions[id]
		e := h.replica.Jobs[id]
		if e == nil {
			continue
		}
		delete(h.submissions, id)
		for _, requestID := range pending.requestIDs {
			if e.Record.State.IsTerminal() {
				h.reply(requestID, 200, h.jobStatus(id, &e.Record, false))
				continue
			}
			// Written just now or by another node; at least queued.
			if e.Record.Owner == h.lease.incarnation {
				h.log(slog.LevelDebug, "job accepted", "job", string(id), "class", pending.job.Class, "tasks", pending.job.TaskCount)
				h.reply(requestID, 201, h.jobStatus(id, &e.Record, false))
			} else {
				h.deferRequest(&deferredRequest{requestID: requestID, requestType: protocol.RequestSubmit, jobID: id, job: pending.job, receivedAt: pending.receivedAt})
			}
		}
	}
	h.deferredRequests = slices.DeleteFunc(h.deferredRequests, h.tryReply)
	h.requestRevision()
}

func (h *userRequestHandler) tryReply(request *deferredRequest) bool {
	if h.replyIfFinal(request.requestID, request.requestType, request.jobID) {
		return true
	}
	if request.awaitsCancellation || request.minRevision == 0 || h.replica.Revision < request.minRevision || !h.replication.isLoaded {
		return false
	}
	e := h.replica.Jobs[request.jobID]
	switch {
	case e == nil && request.requestType == protocol.RequestSubmit:
		if len(h.catalog.machineTypes) == 0 {
			h.rejectUnavailable(request.requestID)
		} else if h.canEverRun(request.job) {
			h.onSubmit(request.requestID, request.job)
		} else {
			h.log(slog.LevelInfo, "job rejected, requirements cannot be met", "job", string(request.jobID), "team", request.job.Team)
			h.reply(request.requestID, 422, errorBody{Error: "can never run"})
		}
	case e == nil:
		h.reply(request.requestID, 404, errorBody{Error: "no such job"})
	case request.requestType == protocol.RequestCancel:
		h.cancellations.requestCancellation(request.jobID)
		request.awaitsCancellation = true
		return false
	default:
		h.reply(request.requestID, 200, h.jobStatus(request.jobID, &e.Record, request.requestType == protocol.RequestQuery))
	}
	return true
}

// expireUserRequests gives up on requests whose user would not wait any longer.
func (h *userRequestHandler) expireUserRequests() {
	unavailable := h.replication.storeUnavailable()
	for _, id := range sortedKeys(h.submissions) {
		pending := h.submissions[id]
		if unavailable || h.since(pending.receivedAt) > h.cfg.UserRequestTimeout {
			delete(h.submissions, id)
			for _, requestID := range pending.requestIDs {
				h.rejectUnavailable(requestID)
			}
		}
	}
	h.deferredRequests = slices.DeleteFunc(h.deferredRequests, func(request *deferredRequest) bool {
		expired := unavailable || h.since(request.receivedAt) > h.cfg.UserRequestTimeout
		if expired {
			h.rejectUnavailable(request.requestID)
		}
		return expired
	})
}
