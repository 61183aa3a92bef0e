package coordination

import (
	"tillerarch/internal/protocol"
)

// SetDrainingRequest asks for a controller to be drained, or to be no longer. It is answered once
// that is on record; asked again it does nothing more.
type DrainRequest struct {
	Req        RequestID
	Controller protocol.ControllerID
	Drain      bool
}

// DrainReply answers a SetDrainingRequest.
type DrainReply struct {
	Req    RequestID
	Status ControllerStatus // of the controller as it is now
	Err    error
}
