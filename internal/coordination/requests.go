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

func refusal(format string, args ...any) *RequestError {
	return &RequestError{Reason: fmt.Sprintf(format, args...)}
}

func transient(reason string) *RequestError { return &RequestError{Reason: reason, Transient: true} }

// Bounds of operators' requests.
const (
	maxRequests = 16 // that wait to be on record
	requestWait = 5 * time.Second
)

// pendingRequest is a request that is not on record yet.
type pendingRequest struct {
	at protocol.Instant
	// write puts the change into a transaction, or gives the answer once it is on record.
	write   func(b *batch) (answer Effect, err *RequestError)
	refused func(err *RequestError) Effect // the answer to a request that is refused
}

// request takes a request in, unless it is refused.
func (c *Core) request(r *pendingRequest, err *RequestError) {
	switch {
	case c.stateDown() || !c.registered():
		err = transient("this controller does not reach the state service")
	case err == nil && len(c.pendingOperatorRequests) >= maxRequests:
		err = transient("too many requests wait to be written")
	}
	if err != nil {
		c.emit(r.refused(err))
		return
	}
	r.at = c.now.Steady
	c.pendingOperatorRequests = append(c.pendingOperatorRequests, r)
	c.stirred = true
}

// writeRequests offers a transaction to all requests, and answers those that are on record.
func (c *Core) writeRequests(b *batch) {
	c.pendingOperatorRequests = slices.DeleteFunc(c.pendingOperatorRequests, func(r *pendingRequest) bool {
		answer, err := r.write(b)
		if err != nil {
			answer = r.refused(err)
		}
		if answer == nil {
			return false
		}
		c.emit(answer)
		return true
	})
}

// tickRequests gives up on requests that could not be written in time.
func (c *Core) tickRequests() {
	c.pendingOperatorRequests = slices.DeleteFunc(c.pendingOperatorRequests, func(r *pendingRequest) bool {
		late := c.since(r.at) > requestWait
		if late {
			c.emit(r.refused(transient("it could not be written in time; ask again under the same name")))
		}
		return late
	})
}
