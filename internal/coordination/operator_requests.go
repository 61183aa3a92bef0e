package coordination

import (
	"fmt"
	"slices"
	"time"

	"tillerarch/internal/protocol"
)

// Requests of operators that change something are answered once the change is on record:
// each is offered to every transaction until it sees its change in the replica. A request
// that could not be written in time is given up; what was sent for it may still come on
// record, so it must be safe to ask again.

// RequestError is why a request of an operator is refused.
type RequestError struct {
	Reason    string
	Transient bool // it may be asked again as it is
}

func (e *RequestError) Error() string { return e.Reason }

func newPermanentError(format string, args ...any) *RequestError {
	return &RequestError{Reason: fmt.Sprintf(format, args...)}
}

func newTransientError(reason string) *RequestError {
	return &RequestError{Reason: reason, Transient: true}
}

// Bounds of operators' requests.
const (
	maxOperatorRequests    = 16 // that wait to be on record
	operatorRequestTimeout = 5 * time.Second
)

// operatorRequest is a request that is not on record yet.
type operatorRequest struct {
	receivedAt protocol.Instant
	// tryWrite puts the change into a transaction, or gives the answer once it is on record.
	tryWrite  func(b *batch) (answer Effect, err *RequestError)
	rejection func(err *RequestError) Effect // the answer to a request that is refused
}

// enqueueOperatorRequest takes a request in, unless it is refused.
func (c *Core) enqueueOperatorRequest(request *operatorRequest, err *RequestError) {
	switch {
	case c.storeUnavailable() || !c.isRegistered():
		err = newTransientError("this controller does not reach the state service")
	case err == nil && len(c.pendingOperatorRequests) >= maxOperatorRequests:
		err = newTransientError("too many requests wait to be written")
	}
	if err != nil {
		c.emit(request.rejection(err))
		return
	}
	request.receivedAt = c.now.Monotonic
	c.pendingOperatorRequests = append(c.pendingOperatorRequests, request)
	c.shouldRecheckDeferred = true
}

// writeOperatorRequests offers a transaction to all requests, and answers those that are on record.
func (c *Core) writeOperatorRequests(b *batch) {
	c.pendingOperatorRequests = slices.DeleteFunc(c.pendingOperatorRequests, func(request *operatorRequest) bool {
		answer, err := request.tryWrite(b)
		if err != nil {
			answer = request.rejection(err)
		}
		if answer == nil {
			return false
		}
		c.emit(answer)
		return true
	})
}

// expireOperatorRequests gives up on requests that could not be written in time.
func (c *Core) expireOperatorRequests() {
	c.pendingOperatorRequests = slices.DeleteFunc(c.pendingOperatorRequests, func(request *operatorRequest) bool {
		expired := c.since(request.receivedAt) > operatorRequestTimeout
		if expired {
			c.emit(request.rejection(newTransientError("it could not be written in time; ask again under the same name")))
		}
		return expired
	})
}
