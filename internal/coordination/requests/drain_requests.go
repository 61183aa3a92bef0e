package requests

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// SetDrainingRequest asks for a controller to be drained, or to be no longer. It is answered once
// that is on record; asked again it does nothing more.
type DrainRequest struct {
	Req        step.RequestID
	Controller protocol.ControllerID
	Drain      bool
}

// DrainReply answers a SetDrainingRequest.
type DrainReply struct {
	Req    step.RequestID
	Status ControllerStatus // of the controller as it is now
	Err    error
}
