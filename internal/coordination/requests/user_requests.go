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
	// maxWaitingRequests limits the submissions that are not recorded yet, and separately the deferred
	// requests. Further requests are rejected, and the user must retry.
	maxWaitingRequests = 2000

	// retryAfterSeconds is the Retry-After header of a rejected request.
	retryAfterSeconds = 1

	// maxLoggedBodyBytes is the number of bytes of an invalid submission that are logged.
	maxLoggedBodyBytes = 600
)

// Error messages for users.
const (
	messageUnavailable = "cannot decide now"
	messageNoSuchJob   = "no such job"
	messageJobTooLarge = "description is too long"
	messageNeverRuns   = "can never run"
)

// UserRequests answers users' requests to submit, query or cancel a job. It defers requests that need
// a newer replica, and holds submitted jobs until they are recorded in the store.
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

// newUserRequests returns a UserRequests that holds no requests.
func newUserRequests(ctx *step.Context) *UserRequests {
	return &UserRequests{
		Context:     ctx,
		submissions: map[protocol.JobID]*submission{},
	}
}

// OnUserInput handles a request, and answers it if that is possible at once.
func (u *UserRequests) OnUserInput(input step.UserInput) {
	switch {
	case input.Type == protocol.RequestSubmit:
		u.onSubmitInput(input)
	case !input.Job.IsValid():
		u.replyError(input.RequestID, http.StatusNotFound, messageNoSuchJob)
	case u.replyIfFinal(input.RequestID, input.Type, input.Job):
	default:
		u.onJobInput(input)
	}
}

// onSubmitInput checks the description of a submitted job, and handles the submission if the
// description is valid.
func (u *UserRequests) onSubmitInput(input step.UserInput) {
	job, err := protocol.ParseJob(input.Body)
	if err != nil {
		body := input.Body[:min(len(input.Body), maxLoggedBodyBytes)]
		u.Log(slog.LevelInfo, "job submission invalid", "error", err, "body", string(body))
		u.replyError(input.RequestID, http.StatusBadRequest, err.Error())
		return
	}
	u.onValidSubmission(input.RequestID, job)
}

// onJobInput handles a query or a cancellation of a job that is not in a final state in the replica.
// The cancellation of a job that is known to exist begins at once. The answer to a cancellation waits
// for its confirmation in either case.
func (u *UserRequests) onJobInput(input step.UserInput) {
	isKnown := u.Replica.Jobs[input.Job] != nil
	if input.Type == protocol.RequestCancel && isKnown && !u.replication.StoreUnavailable() {
		u.cancellations.RequestCancellation(input.Job)
	}
	u.deferRequest(&deferredRequest{
		requestID:   input.RequestID,
		requestType: input.Type,
		jobID:       input.Job,
		receivedAt:  u.Now.Monotonic,
	})
}

// replyIfFinal answers a request from the replica alone if the job is in a final state, because such a
// state never changes. It reports whether it answered.
func (u *UserRequests) replyIfFinal(
	requestID step.RequestID, requestType protocol.RequestType, id protocol.JobID,
) bool {
	entry := u.Replica.Jobs[id]
	if entry == nil || !entry.Record.State.IsTerminal() {
		return false
	}
	u.Reply(requestID, http.StatusOK, u.jobStatus(id, &entry.Record, requestType))
	return true
}

// jobStatus returns the status of a job according to the replica. The counts of tasks are set only for
// a query.
func (u *UserRequests) jobStatus(
	id protocol.JobID, record *storage.JobRecord, requestType protocol.RequestType,
) protocol.JobStatus {
	status := protocol.JobStatus{ID: id, State: record.State}
	running := 0
	if !record.State.IsTerminal() {
		running = u.runningTasks(id)
		status.State = protocol.JobQueued
		if running > 0 {
			status.State = protocol.JobRunning
		}
	}
	if requestType == protocol.RequestQuery {
		completed := u.Replica.CompletedTasks(id).Len()
		if record.State == protocol.JobDone {
			completed = record.TaskCount
		}
		status.CompletedTasks, status.RunningTasks = &completed, &running
	}
	return status
}

// runningTasks returns the number of tasks of a job that are assigned to machines.
func (u *UserRequests) runningTasks(id protocol.JobID) int {
	running := 0
	for machineID := range u.Replica.MachinesWithJob(id) {
		for assignment := range u.Replica.Machines[machineID].Record.AssignmentsOf(id) {
			running += assignment.Tasks.Len()
		}
	}
	return running
}

// replyError answers a request with an error message.
func (u *UserRequests) replyError(requestID step.RequestID, status int, message string) {
	u.Reply(requestID, status, step.ErrorResponse{Error: message})
}

// rejectUnavailable answers that the request cannot be decided now and must be retried.
func (u *UserRequests) rejectUnavailable(requestID step.RequestID) {
	u.Emit(step.Reply{
		RequestID:         requestID,
		Status:            http.StatusServiceUnavailable,
		RetryAfterSeconds: retryAfterSeconds,
		Body:              protocol.Encode(step.ErrorResponse{Error: messageUnavailable}),
	})
}

// ReplyToPendingRequests answers every request that can be answered now.
func (u *UserRequests) ReplyToPendingRequests() {
	u.replyToSubmissions()
	u.replyToDeferredRequests()
}

// ExpireUserRequests rejects requests that have waited too long. While the store is unavailable it
// rejects all requests, because the user is better served by retrying with another controller at once.
func (u *UserRequests) ExpireUserRequests() {
	unavailable := u.replication.StoreUnavailable()
	isExpired := func(receivedAt protocol.Instant) bool {
		return unavailable || u.Since(receivedAt) > u.Config.UserRequestTimeout
	}
	u.rejectExpiredSubmissions(isExpired)
	u.rejectExpiredDeferredRequests(isExpired)
}
