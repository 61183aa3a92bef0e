package provisioning

import (
	"time"

	"tillerarch/internal/protocol"
)

// termination is a machine on its way back to the cloud.
type termination struct {
	retryAt    protocol.Instant
	inFlight   bool
	confirmed  bool // answered 200: the machine and all on it are gone
	unrecorded bool // nothing on record says so
}

// isolatedTimeoutFactor is how many times as long machines are waited for where nearly all are
// silent, so that it may be this node that is cut off. Their workers would have reached
// another controller by then, which would have been handed them: nobody reaches them.
const isolatedTimeoutFactor = 2

// listedInstance is what the cloud's list says of a machine.
type listedInstance struct {
	instance    protocol.Instance
	listedAt    protocol.Instant // when the list that had it was asked for
	missedLists int              // later lists in a row without it
}

// terminatedRetention is how long a machine that went back is remembered: the cloud's list may
// show it for as long.
const terminatedRetention = 90 * time.Second
