package requests

import (
	"log/slog"
	"net/http"

	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// maxWaitingRequests bounds the jobs that wait to be put on record, and the requests that are
	// deferred. Users beyond that are told to ask again.
	maxWaitingRequests = 2000

	// retryAfterSeconds is when a user who is told to ask again should do so.
	retryAfterSeconds = 1

	// maxLoggedBodyBytes is how much of an invalid submission goes into the log.
	maxLoggedBodyBytes = 600
)

// What users are told.
const (
	messageUnavailable = "cannot decide now"
	messageNoSuchJob   = "no such job"
	messageJobTooLarge = "description is too long"
	messageNeverRuns   = "can never run"
)

// UserRequests answers users' requests: to submit, query or cancel a job. Those that need a newer
// replica are deferred, and jobs wait here until they are on record.
type UserRequests struct {
	*step.Context

	cancellations *cancellation.Canceller
	catalog       *catalog.Catalog
	lease         *commit.Lease
	limits        *commit.WriteLimiter
	replication   *commit.Replication
	store         *commit.StoreHealth

	submissions  map[protocol.JobID]*submission
	deferred     []*deferredRequest
	revisionRead revisionRead
}

// newUserRequests makes a part with no request in it.
func newUserRequests(ctx *step.Context) *UserRequests {
	return &UserRequests{
		Context:     ctx,
		submissions: map[protocol.JobID]*submission{},
	}
}

// OnUserInput takes a request in, and answers it if that can be done at once.
func (h *UserRequests) OnUserInput(v step.UserInput) {
	switch {
	case v.Type == protocol.RequestSubmit:
		h.onSubmitInput(v)
	case !v.Job.IsValid():
		h.replyError(v.RequestID, http.StatusNotFound, messageNoSuchJob)
	case h.replyIfFinal(v.RequestID, v.Type, v.Job):
	default:
		h.onJobInput(v)
	}
}

// onSubmitInput checks the description of a submitted job.
func (h *UserRequests) onSubmitInput(v step.UserInput) {
	job, err := protocol.ParseJob(v.Body)
	if err != nil {
		body := v.Body[:min(len(v.Body), maxLoggedBodyBytes)]
		h.Log(slog.LevelInfo, "job submission invalid", "error", err, "body", string(body))
		h.replyError(v.RequestID, http.StatusBadRequest, err.Error())
		return
	}
	if !h.JobRecordFits(job) {
		h.replyError(v.RequestID, http.StatusBadRequest, messageJobTooLarge)
		return
	}
	h.onSubmit(v.RequestID, job)
}

// onJobInput takes in a request for a job that is not final here. A cancellation of a job that is
// known to exist begins at once; the answer waits for its confirmation either way.
func (h *UserRequests) onJobInput(v step.UserInput) {
	isKnown := h.Replica.Jobs[v.Job] != nil
	if v.Type == protocol.RequestCancel && isKnown && !h.replication.StoreUnavailable() {
		h.cancellations.RequestCancellation(v.Job)
	}
	h.deferRequest(&deferredRequest{
		requestID:   v.RequestID,
		requestType: v.Type,
		jobID:       v.Job,
		receivedAt:  h.Now.Monotonic,
	})
}

// replyIfFinal answers a request from the replica alone if the job is in a final state, which never
// changes.
func (h *UserRequests) replyIfFinal(requestID step.RequestID, requestType protocol.RequestType, id protocol.JobID) bool {
	e := h.Replica.Jobs[id]
	if e == nil || !e.Record.State.IsTerminal() {
		return false
	}
	h.Reply(requestID, http.StatusOK, h.jobStatus(id, &e.Record, requestType))
	return true
}

// jobStatus is what the replica says of a job, as the answer to a type of request.
func (h *UserRequests) jobStatus(
	id protocol.JobID, record *storage.JobRecord, requestType protocol.RequestType,
) protocol.JobStatus {
	status := protocol.JobStatus{ID: id, State: record.State}
	running := 0
	if !record.State.IsTerminal() {
		running = h.runningTasks(id)
		status.State = protocol.JobQueued
		if running > 0 {
			status.State = protocol.JobRunning
		}
	}
	if requestType == protocol.RequestQuery {
		done := h.Replica.CompletedTasks(id).Len()
		if record.State == protocol.JobDone {
			done = record.TaskCount
		}
		status.DoneTasks, status.RunningTasks = &done, &running
	}
	return status
}

// runningTasks counts the tasks of a job that are assigned to machines.
func (h *UserRequests) runningTasks(id protocol.JobID) int {
	running := 0
	for machineID := range h.Replica.MachinesWithJob(id) {
		for assignment := range h.Replica.Machines[machineID].Record.AssignmentsOf(id) {
			running += assignment.Tasks.Len()
		}
	}
	return running
}

func (h *UserRequests) replyError(requestID step.RequestID, status int, message string) {
	h.Reply(requestID, status, step.ErrorResponse{Error: message})
}

// rejectUnavailable tells a user to ask again.
func (h *UserRequests) rejectUnavailable(requestID step.RequestID) {
	h.Emit(step.Reply{
		RequestID:         requestID,
		Status:            http.StatusServiceUnavailable,
		RetryAfterSeconds: retryAfterSeconds,
		Body:              protocol.Encode(step.ErrorResponse{Error: messageUnavailable}),
	})
}

// ReplyPending answers every request that can be answered now.
func (h *UserRequests) ReplyPending() {
	h.replyToSubmissions()
	h.replyToDeferred()
}

// ExpireUserRequests gives up on requests that have waited too long. While the store is unavailable
// none is kept: the user is better off asking another controller at once.
func (h *UserRequests) ExpireUserRequests() {
	unavailable := h.replication.StoreUnavailable()
	isExpired := func(receivedAt protocol.Instant) bool {
		return unavailable || h.Since(receivedAt) > h.Config.UserRequestTimeout
	}
	h.expireSubmissions(isExpired)
	h.expireDeferred(isExpired)
}
