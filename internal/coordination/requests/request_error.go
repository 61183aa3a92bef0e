package requests

import (
	"fmt"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// RequestError is the reason for the refusal of an operator's request. Operators' tools show the
// reason unchanged, so the texts must keep their words: "page" for a shard and "move" for a transfer,
// as in the commands.
type RequestError struct {
	Reason    string
	Transient bool // the same request may succeed later
}

// Error returns the reason.
func (e *RequestError) Error() string { return e.Reason }

// Refusals that apply to every request that changes something.
var (
	errStoreUnavailable = newTransientError("this controller does not reach the state service")
	errTooManyRequests  = newTransientError("too many requests wait to be written")
	errWriteTimeout     = newTransientError("it could not be written in time; ask again under the same name")
)

// newPermanentError returns a refusal that repeating the request does not change.
func newPermanentError(format string, args ...any) *RequestError {
	return &RequestError{Reason: fmt.Sprintf(format, args...)}
}

// newTransientError returns a refusal of a request that may succeed later.
func newTransientError(format string, args ...any) *RequestError {
	return &RequestError{Reason: fmt.Sprintf(format, args...), Transient: true}
}

// newUnknownControllerError returns the refusal of a request for a controller that is not registered.
func newUnknownControllerError(id protocol.ControllerID) *RequestError {
	return newPermanentError("no controller %q is up", id)
}

// newUnknownShardError returns the refusal of a request for a shard that has no record.
func newUnknownShardError(id storage.ShardID) *RequestError {
	return newPermanentError("no page %q", id)
}
