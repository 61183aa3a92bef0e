package requests

import (
	"log/slog"
	"net/http"
	"slices"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// deferredState is what a deferred request waits for. The states come in this order.
type deferredState int

const (
	awaitsRead         deferredState = iota // a read of the store's revision that begins after it came
	awaitsRevision                          // the result of that read
	awaitsReplica                           // the replica, to reach that revision
	awaitsCancellation                      // the confirmation of the job's cancellation
)

// deferredRequest is a request whose answer needs the replica at least as new as a revision of the
// store that was read after the request came.
type deferredRequest struct {
	requestID   step.RequestID
	requestType protocol.RequestType
	jobID       protocol.JobID
	job         *protocol.Job // of a submission
	receivedAt  protocol.Instant
	state       deferredState
	minRevision protocol.Revision // from awaitsReplica on
}

// revisionRead is the read of the store's revision that deferred requests share.
type revisionRead struct {
	isInFlight  bool
	requestedAt protocol.Instant
}

// HasDeferred tells whether requests wait for a newer replica.
func (h *UserRequests) HasDeferred() bool { return len(h.deferred) > 0 }

// OnReadRevisionResult takes in the store's revision, for all requests that wait for it.
func (h *UserRequests) OnReadRevisionResult(v step.ReadRevisionResult) {
	h.revisionRead.isInFlight = false
	isAnswered := h.store.RecordContact(h.revisionRead.requestedAt, v.Err)
	h.deferred = slices.DeleteFunc(h.deferred, func(request *deferredRequest) bool {
		if request.state != awaitsRevision {
			return false
		}
		if !isAnswered {
			h.rejectUnavailable(request.requestID)
			return true
		}
		// Revision 0 is that of a store which nothing has been written to; it says nothing of
		// what the replica must have, and the request waits for the next read.
		if v.Revision != 0 {
			request.state, request.minRevision = awaitsReplica, v.Revision
		}
		return false
	})
}

func (h *UserRequests) deferSubmission(requestID step.RequestID, job *protocol.Job, receivedAt protocol.Instant) {
	h.deferRequest(&deferredRequest{
		requestID:   requestID,
		requestType: protocol.RequestSubmit,
		jobID:       job.ID,
		job:         job,
		receivedAt:  receivedAt,
	})
}

func (h *UserRequests) deferRequest(request *deferredRequest) {
	if h.replication.StoreUnavailable() || len(h.deferred) >= maxWaitingRequests {
		h.rejectUnavailable(request.requestID)
		return
	}
	h.deferred = append(h.deferred, request)
	h.requestRevision()
}

// requestRevision reads the store's revision once for all requests that have come since the last
// read began.
func (h *UserRequests) requestRevision() {
	if h.revisionRead.isInFlight {
		return
	}
	isNeeded := false
	for _, request := range h.deferred {
		if request.state == awaitsRead {
			request.state, isNeeded = awaitsRevision, true
		}
	}
	if !isNeeded {
		return
	}
	h.revisionRead = revisionRead{isInFlight: true, requestedAt: h.Now.Monotonic}
	h.Emit(step.ReadRevision{})
}

// replyToDeferred answers the deferred requests that can be answered now.
func (h *UserRequests) replyToDeferred() {
	h.deferred = slices.DeleteFunc(h.deferred, h.tryReply)
	h.requestRevision()
}

// tryReply answers a deferred request if that can be done now. It must not defer another one, as
// the list is being filtered.
func (h *UserRequests) tryReply(request *deferredRequest) (isAnswered bool) {
	if h.replyIfFinal(request.requestID, request.requestType, request.jobID) {
		return true
	}
	if !h.isReplicaNewEnough(request) {
		return false
	}
	e := h.Replica.Jobs[request.jobID]
	switch {
	case e == nil && request.requestType == protocol.RequestSubmit:
		h.replyToUnrecorded(request)
	case e == nil:
		h.replyError(request.requestID, http.StatusNotFound, messageNoSuchJob)
	case request.requestType == protocol.RequestCancel:
		h.cancellations.RequestCancellation(request.jobID)
		request.state = awaitsCancellation
		return false
	default:
		h.Reply(request.requestID, http.StatusOK, h.jobStatus(request.jobID, &e.Record, request.requestType))
	}
	return true
}

// isReplicaNewEnough tells whether the replica has reached the revision that a request waits for.
func (h *UserRequests) isReplicaNewEnough(request *deferredRequest) bool {
	return request.state == awaitsReplica && h.Replica.Revision >= request.minRevision && h.replication.IsLoaded()
}

// replyToUnrecorded goes on with a deferred submission that no controller has put on record.
func (h *UserRequests) replyToUnrecorded(request *deferredRequest) {
	switch {
	case !h.knowsMachineTypes():
		h.rejectUnavailable(request.requestID)
	case !h.canEverRun(request.job):
		h.Log(slog.LevelInfo, "job rejected, requirements cannot be met", "job", string(request.jobID), "team", request.job.Team)
		h.replyError(request.requestID, http.StatusUnprocessableEntity, messageNeverRuns)
	case !h.canTakeSubmission():
		h.rejectUnavailable(request.requestID)
	default:
		h.addSubmission(request.requestID, request.job)
	}
}

func (h *UserRequests) expireDeferred(isExpired func(receivedAt protocol.Instant) bool) {
	h.deferred = expire(h.deferred,
		func(request *deferredRequest) bool { return isExpired(request.receivedAt) },
		func(request *deferredRequest) { h.rejectUnavailable(request.requestID) })
}
