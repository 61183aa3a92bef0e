package requests

import (
	"slices"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Limits on operators' requests.
const (
	maxOperatorRequests    = 16 // pending at once
	operatorRequestTimeout = 5 * time.Second
)

// OperatorRequests answers operators' requests. A request that changes something waits until the
// change is recorded in the store: it is offered to every batch until the replica contains its
// change. A request that could not be written in time is refused. Its transaction may still succeed,
// so it must be safe to repeat the request.
type OperatorRequests struct {
	*step.Context

	lease       *commit.Lease
	overload    *ownership.OverloadDetector
	replication *commit.Replication
	transfers   *ownership.Transfers

	pending []*operatorRequest // not recorded yet
}

// operatorRequest is a request whose change is not recorded in the store yet.
type operatorRequest struct {
	receivedAt protocol.Instant
	// tryWrite writes the change into a batch, or returns the answer once the change is recorded.
	tryWrite func(batch *commit.Batch) (answer step.Effect, err *RequestError)
	// newRejection returns the answer that refuses the request.
	newRejection func(err *RequestError) step.Effect
}

// enqueue adds a request to the pending requests, unless it is refused: because the check of its
// type returned err, or for a reason that holds for all types. An unavailable store takes precedence
// over err, because the check may have read an outdated replica.
func (o *OperatorRequests) enqueue(request *operatorRequest, err *RequestError) {
	switch {
	case o.replication.StoreUnavailable() || !o.lease.IsRegistered():
		err = errStoreUnavailable
	case err == nil && len(o.pending) >= maxOperatorRequests:
		err = errTooManyRequests
	}
	if err != nil {
		o.Emit(request.newRejection(err))
		return
	}
	request.receivedAt = o.Now.Monotonic
	o.pending = append(o.pending, request)
	o.ShouldRecheckDeferredHeartbeats = true
}

// WriteOperatorRequests lets all pending requests write into a batch, and answers the requests whose
// changes are recorded.
func (o *OperatorRequests) WriteOperatorRequests(batch *commit.Batch) {
	o.pending = slices.DeleteFunc(o.pending, func(request *operatorRequest) bool {
		answer, err := request.tryWrite(batch)
		if err != nil {
			answer = request.newRejection(err)
		}
		if answer == nil {
			return false
		}
		o.Emit(answer)
		return true
	})
}

// ExpireOperatorRequests refuses the requests that could not be written in time.
func (o *OperatorRequests) ExpireOperatorRequests() {
	isExpired := func(request *operatorRequest) bool { return o.Since(request.receivedAt) > operatorRequestTimeout }
	o.pending = rejectExpired(o.pending, isExpired, func(request *operatorRequest) {
		o.Emit(request.newRejection(errWriteTimeout))
	})
}

// rejectExpired rejects the waiting requests that have expired, and returns the other requests.
func rejectExpired[T any](waiting []T, isExpired func(T) bool, reject func(T)) []T {
	return slices.DeleteFunc(waiting, func(request T) bool {
		expired := isExpired(request)
		if expired {
			reject(request)
		}
		return expired
	})
}
