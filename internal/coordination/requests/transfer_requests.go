package requests

import (
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// TransferRequest asks for a page to be moved, or for a move to be aborted. It is answered
// once it is on record, with the move as it is there; asked again under the same name it
// does nothing more.
type TransferRequest struct {
	Req    step.RequestID
	Name   string                // of the move
	Abort  bool                  // end the move of that name instead
	Shard  storage.ShardID       // which page; or
	Source protocol.ControllerID // any one of this controller's
	Target protocol.ControllerID
}

// maxTransferNameBytes is the longest name of a move, in bytes.
const maxTransferNameBytes = 100

// TransferReply answers a TransferRequest.
type TransferReply struct {
	Req      step.RequestID
	Transfer storage.TransferRecord
	Err      error
}

// ShardingStatusRequest asks who owns which machines, and which moves there are.
type ShardingStatusRequest struct{ Req step.RequestID }

// ShardingStatusReply answers a ShardingStatusRequest from one revision of the records.
type ShardingStatusReply struct {
	Req              step.RequestID
	Revision         protocol.Revision
	Stale            bool // the state service may have gone on without this controller
	Controllers      []ControllerStatus
	Shards           []ShardStatus
	Transfers        []storage.TransferRecord
	PlannedTransfers []sharding.Transfer // what this controller would begin now
}

// ControllerStatus is what a controller owns.
type ControllerStatus struct {
	ID               protocol.ControllerID
	Incarnation      storage.Incarnation
	Shards           int
	Machines         int
	RecordsTransfers bool // its version takes part in moves on record
	Draining         bool
}

// ShardStatus is a page with its owner.
type ShardStatus struct {
	ID       storage.ShardID
	Owner    storage.Incarnation
	Epoch    storage.ShardEpoch
	Machines int
	Tasks    int
}

// transfersUnsupported refuses a move from or to a controller that would not act on its record.
func transfersUnsupported(controller protocol.ControllerID) *RequestError {
	return newPermanentError("controller %q runs a version, or with settings, that take no part in moves on record", controller)
}
