package requests

import (
	"fmt"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// RequestError is why a request of an operator is refused. Operators' tools show the reason as it
// is, so the texts keep their words, "page" for a shard and "move" for a transfer, as the commands do.
type RequestError struct {
	Reason    string
	Transient bool // the same request may succeed later
}

// Error gives the reason.
func (e *RequestError) Error() string { return e.Reason }

// Refusals of any request that changes something.
var (
	errStoreUnavailable = newTransientError("this controller does not reach the state service")
	errTooManyRequests  = newTransientError("too many requests wait to be written")
	errWriteTimeout     = newTransientError("it could not be written in time; ask again under the same name")
)

func newPermanentError(format string, args ...any) *RequestError {
	return &RequestError{Reason: fmt.Sprintf(format, args...)}
}

func newTransientError(format string, args ...any) *RequestError {
	return &RequestError{Reason: fmt.Sprintf(format, args...), Transient: true}
}

// newUnknownControllerError refuses a request that names a controller without a registration.
func newUnknownControllerError(id protocol.ControllerID) *RequestError {
	return newPermanentError("no controller %q is up", id)
}

// newUnknownShardError refuses a request that names a shard that is on no record.
func newUnknownShardError(id storage.ShardID) *RequestError {
	return newPermanentError("no page %q", id)
}
