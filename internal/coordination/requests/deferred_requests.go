package requests

import (
	"log/slog"
	"net/http"
	"slices"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// deferredState identifies the event that a deferred request waits for. A request passes through
// the states in this order.
type deferredState int

const (
	awaitsRead         deferredState = iota // the start of a read of the store's revision after the request was received
	awaitsRevision                          // the result of that read
	awaitsReplica                           // the replica reaching that revision
	awaitsCancellation                      // the confirmation of the job's cancellation
)

// deferredRequest is a request whose answer needs a replica at least as new as a revision of the
// store that was read after the request was received.
type deferredRequest struct {
	requestID   step.RequestID
	requestType protocol.RequestType
	jobID       protocol.JobID
	job         *protocol.Job // set for a submission only
	receivedAt  protocol.Instant
	state       deferredState
	minRevision protocol.Revision // set from awaitsReplica on
}

// revisionRead holds the state of the read of the store's revision that deferred requests share.
type revisionRead struct {
	isInFlight  bool
	requestedAt protocol.Instant
}

// HasDeferredRequests reports whether requests are waiting for a newer replica.
func (u *UserRequests) HasDeferredRequests() bool { return len(u.deferred) > 0 }

// OnReadRevisionResult records the store's revision for all requests that wait for it.
func (u *UserRequests) OnReadRevisionResult(result step.ReadRevisionResult) {
	u.revisionRead.isInFlight = false
	isAnswered := u.store.RecordContact(u.revisionRead.requestedAt, result.Err)
	u.deferred = slices.DeleteFunc(u.deferred, func(request *deferredRequest) bool {
		if request.state != awaitsRevision {
			return false
		}
		if !isAnswered {
			u.rejectUnavailable(request.requestID)
			return true
		}
		// An empty store has revision 0. It sets no bound for the replica, so the request waits for the
		// next read.
		if result.Revision != 0 {
			request.state, request.minRevision = awaitsReplica, result.Revision
		}
		return false
	})
}

// deferSubmission defers the answer to a submission that was received at receivedAt.
func (u *UserRequests) deferSubmission(requestID step.RequestID, job *protocol.Job, receivedAt protocol.Instant) {
	u.deferRequest(&deferredRequest{
		requestID:   requestID,
		requestType: protocol.RequestSubmit,
		jobID:       job.ID,
		job:         job,
		receivedAt:  receivedAt,
	})
}

// deferRequest adds a request to the deferred requests. It rejects the request if the store is
// unavailable or too many requests are deferred already.
func (u *UserRequests) deferRequest(request *deferredRequest) {
	if u.replication.StoreUnavailable() || len(u.deferred) >= maxWaitingRequests {
		u.rejectUnavailable(request.requestID)
		return
	}
	u.deferred = append(u.deferred, request)
	u.requestRevision()
}

// requestRevision starts a read of the store's revision unless one is in flight. All requests that
// were received since the last read began share the read.
func (u *UserRequests) requestRevision() {
	if u.revisionRead.isInFlight {
		return
	}
	isNeeded := false
	for _, request := range u.deferred {
		if request.state == awaitsRead {
			request.state, isNeeded = awaitsRevision, true
		}
	}
	if !isNeeded {
		return
	}
	u.revisionRead = revisionRead{isInFlight: true, requestedAt: u.Now.Monotonic}
	u.Emit(step.ReadRevision{})
}

// replyToDeferredRequests answers the deferred requests that can be answered now.
func (u *UserRequests) replyToDeferredRequests() {
	u.deferred = slices.DeleteFunc(u.deferred, u.tryReplyToDeferred)
	u.requestRevision()
}

// tryReplyToDeferred answers a deferred request if that is possible now, and reports whether it did. It must
// not defer another request, because the caller is filtering the list of deferred requests.
func (u *UserRequests) tryReplyToDeferred(request *deferredRequest) (isAnswered bool) {
	if u.replyIfFinal(request.requestID, request.requestType, request.jobID) {
		return true
	}
	if !u.isReplicaNewEnough(request) {
		return false
	}
	entry := u.Replica.Jobs[request.jobID]
	switch {
	case entry == nil && request.requestType == protocol.RequestSubmit:
		u.replyToUnrecordedSubmission(request)
	case entry == nil:
		u.replyError(request.requestID, http.StatusNotFound, messageNoSuchJob)
	case request.requestType == protocol.RequestCancel:
		u.cancellations.RequestCancellation(request.jobID)
		request.state = awaitsCancellation
		return false
	default:
		u.Reply(request.requestID, http.StatusOK, u.jobStatus(request.jobID, &entry.Record, request.requestType))
	}
	return true
}

// isReplicaNewEnough reports whether the replica has reached the revision that a request waits for.
func (u *UserRequests) isReplicaNewEnough(request *deferredRequest) bool {
	return request.state == awaitsReplica &&
		u.Replica.Revision >= request.minRevision &&
		u.replication.IsLoaded()
}

// replyToUnrecordedSubmission handles a deferred submission of a job that no controller has recorded
// in the store.
func (u *UserRequests) replyToUnrecordedSubmission(request *deferredRequest) {
	switch {
	case !u.knowsMachineTypes():
		u.rejectUnavailable(request.requestID)
	case !u.JobRecordFits(request.job):
		u.Log(slog.LevelInfo, "job rejected, description too long", "job", string(request.jobID),
			"value_limit", u.limits.AdmissionLimits().ValueBytes)
		u.replyError(request.requestID, http.StatusBadRequest, messageJobTooLarge)
	case !u.canEverRun(request.job):
		u.Log(slog.LevelInfo, "job rejected, requirements cannot be met",
			"job", string(request.jobID), "team", request.job.Team)
		u.replyError(request.requestID, http.StatusUnprocessableEntity, messageNeverRuns)
	case !u.canQueueSubmission():
		u.rejectUnavailable(request.requestID)
	default:
		u.queueSubmission(request.requestID, request.job)
	}
}

// rejectExpiredDeferredRequests rejects the deferred requests that have expired.
func (u *UserRequests) rejectExpiredDeferredRequests(isExpired func(receivedAt protocol.Instant) bool) {
	u.deferred = rejectExpired(u.deferred,
		func(request *deferredRequest) bool { return isExpired(request.receivedAt) },
		func(request *deferredRequest) { u.rejectUnavailable(request.requestID) })
}
