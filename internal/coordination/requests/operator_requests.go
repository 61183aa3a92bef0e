package requests

import (
	"slices"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Bounds of operators' requests.
const (
	maxOperatorRequests    = 16 // that are pending at once
	operatorRequestTimeout = 5 * time.Second
)

// OperatorRequests answers operators' requests. Those that change something wait until the change
// is on record: each is offered to every batch until it sees its change in the replica. A request
// that could not be written in time is given up; its transaction may still succeed, so it must be safe
// to repeat the request.
type OperatorRequests struct {
	*step.Context

	lease       *commit.Lease
	overload    *ownership.OverloadDetector
	replication *commit.Replication
	transfers   *ownership.Transfers

	pending []*operatorRequest // not on record yet
}

// operatorRequest is a request that is not on record yet.
type operatorRequest struct {
	receivedAt protocol.Instant
	// tryWrite puts the change into a batch, or gives the answer once the change is on record.
	tryWrite func(b *commit.Batch) (answer step.Effect, err *RequestError)
	// rejection is the answer to a request that is refused.
	rejection func(err *RequestError) step.Effect
}

// enqueue adds a request to the pending ones, unless it is refused: by the check of its kind (err), or
// for a reason that holds for all kinds. An unavailable store comes first, as the check may have read
// an old replica.
func (o *OperatorRequests) enqueue(request *operatorRequest, err *RequestError) {
	switch {
	case o.replication.StoreUnavailable() || !o.lease.IsRegistered():
		err = errStoreUnavailable
	case err == nil && len(o.pending) >= maxOperatorRequests:
		err = errTooManyRequests
	}
	if err != nil {
		o.Emit(request.rejection(err))
		return
	}
	request.receivedAt = o.Now.Monotonic
	o.pending = append(o.pending, request)
	o.ShouldRecheckDeferredHeartbeats = true
}

// WriteOperatorRequests offers a batch to all requests, and answers those that are on record.
func (o *OperatorRequests) WriteOperatorRequests(b *commit.Batch) {
	o.pending = slices.DeleteFunc(o.pending, func(request *operatorRequest) bool {
		answer, err := request.tryWrite(b)
		if err != nil {
			answer = request.rejection(err)
		}
		if answer == nil {
			return false
		}
		o.Emit(answer)
		return true
	})
}

// ExpireOperatorRequests gives up on requests that could not be written in time.
func (o *OperatorRequests) ExpireOperatorRequests() {
	isExpired := func(request *operatorRequest) bool { return o.Since(request.receivedAt) > operatorRequestTimeout }
	o.pending = expire(o.pending, isExpired, func(request *operatorRequest) {
		o.Emit(request.rejection(errWriteTimeout))
	})
}

// expire rejects the requests that have waited too long, and gives those that still wait.
func expire[T any](waiting []T, isExpired func(T) bool, reject func(T)) []T {
	return slices.DeleteFunc(waiting, func(request T) bool {
		expired := isExpired(request)
		if expired {
			reject(request)
		}
		return expired
	})
}
