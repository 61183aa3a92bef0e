package requests

import (
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// TransferRequest begins or aborts a shard transfer. It is answered with the recorded transfer once
// the change is recorded in the store. A repeated request of the same name has no further effect.
type TransferRequest struct {
	RequestID step.RequestID
	Name      string                // of the transfer
	Abort     bool                  // abort the transfer of that name instead of beginning one
	Shard     storage.ShardID       // the shard to transfer, or empty for the smallest shard of Source
	Source    protocol.ControllerID // the controller to take a shard from if Shard is empty
	Target    protocol.ControllerID
}

// TransferReply answers a TransferRequest.
type TransferReply struct {
	RequestID step.RequestID
	Transfer  storage.TransferRecord
	Err       error
}

// maxTransferNameBytes is the longest name of a transfer, in bytes.
const maxTransferNameBytes = 100

// operatorTransferReason is the recorded reason of a transfer that an operator requested.
const operatorTransferReason = "asked for by the operator"

// OnTransferRequest queues a transfer request, or refuses it.
func (o *OperatorRequests) OnTransferRequest(request TransferRequest) {
	o.enqueue(&operatorRequest{
		newRejection: func(err *RequestError) step.Effect { return TransferReply{RequestID: request.RequestID, Err: err} },
		tryWrite: func(batch *commit.Batch) (step.Effect, *RequestError) {
			transfer, err := o.writeTransferRequest(batch, &request)
			if transfer == nil || err != nil {
				return nil, err
			}
			return TransferReply{RequestID: request.RequestID, Transfer: *transfer}, nil
		},
	}, o.checkTransferRequest(&request))
}

// checkTransferRequest refuses a request that the records show to be impossible.
func (o *OperatorRequests) checkTransferRequest(request *TransferRequest) *RequestError {
	if request.Name == "" || len(request.Name) > maxTransferNameBytes {
		return newPermanentError("a move needs a name of 1 to %d bytes", maxTransferNameBytes)
	}
	if request.Abort || o.findTransfer(request.Name) != nil {
		return nil
	}
	if !o.Config.RecordTransfers {
		return newPermanentError("moves are not on record here: moves.recorded is off")
	}
	switch {
	case request.Source != "" && o.Replica.Controllers[request.Source] == nil:
		return newUnknownControllerError(request.Source)
	case o.Replica.Controllers[request.Target] == nil:
		return newUnknownControllerError(request.Target)
	case request.Shard != "" && o.Replica.Shards[request.Shard] == nil:
		return newUnknownShardError(request.Shard)
	case request.Shard == "" && request.Source == "":
		return newPermanentError("neither a page nor a controller to take one from is named")
	}
	return nil
}

// findTransfer returns the newest transfer of a name, or nil if there is none.
func (o *OperatorRequests) findTransfer(name string) *storage.Versioned[storage.TransferRecord] {
	var newest *storage.Versioned[storage.TransferRecord]
	for _, entry := range o.Replica.Transfers {
		if entry.Record.Name == name && (newest == nil || entry.ModRevision > newest.ModRevision) {
			newest = entry
		}
	}
	return newest
}

// writeTransferRequest writes the requested change into the batch, or returns the transfer if the
// change is recorded already.
func (o *OperatorRequests) writeTransferRequest(
	batch *commit.Batch, request *TransferRequest,
) (*storage.TransferRecord, *RequestError) {
	entry := o.findTransfer(request.Name)
	switch {
	case entry == nil && request.Abort:
		return nil, newPermanentError("no move %q", request.Name)
	case entry == nil:
		return nil, o.proposeTransfer(batch, request)
	case !request.Abort || entry.Record.Phase == storage.TransferAborted:
		return &entry.Record, nil
	case !entry.Record.Phase.IsPending():
		return nil, newPermanentError("the move is %s already", entry.Record.Phase)
	}
	o.abortTransfer(batch, request.Name)
	return nil, nil
}

// proposeTransfer writes the record of a new transfer into the batch if the batch has capacity.
func (o *OperatorRequests) proposeTransfer(batch *commit.Batch, request *TransferRequest) *RequestError {
	shard, err := o.requestedShard(request)
	if err != nil {
		return err
	}
	target := o.Replica.Controllers[request.Target]
	if target == nil {
		return newPermanentError("controller %q has ended", request.Target)
	}
	source := o.Replica.Shards[shard].Owner
	for _, controller := range []protocol.ControllerID{source.Controller(), request.Target} {
		if !o.Replica.Controllers[controller].Record.SupportsTransfers {
			return newUnsupportedTransferError(controller)
		}
	}
	transfer := sharding.Transfer{Shard: shard, Source: source, Target: target.Record.Incarnation}
	o.transfers.OpenTransfer(batch, transfer, storage.TransferProposed, operatorTransferReason, request.Name)
	return nil
}

// newUnsupportedTransferError returns the refusal of a transfer from or to a controller that would not
// act on the transfer's record.
func newUnsupportedTransferError(controller protocol.ControllerID) *RequestError {
	return newPermanentError(
		"controller %q runs a version, or with settings, that take no part in moves on record", controller)
}

// abortTransfer writes the abort of the pending transfers of a name into the batch.
func (o *OperatorRequests) abortTransfer(batch *commit.Batch, name string) {
	for _, slot := range step.SortedKeys(o.Replica.Transfers) {
		entry := o.Replica.Transfers[slot]
		if entry.Record.Name == name && entry.Record.Phase.IsPending() && !batch.ChangesTransfer(slot) {
			o.transfers.WriteTransferStep(batch, slot, sharding.TransferStep{
				Phase:  storage.TransferAborted,
				Reason: sharding.ReasonOperatorAbort,
			})
		}
	}
}

// requestedShard returns the shard to transfer: the shard that a request names, or else the smallest
// transferable shard of the source.
func (o *OperatorRequests) requestedShard(request *TransferRequest) (storage.ShardID, *RequestError) {
	if request.Shard == "" {
		return o.smallestTransferableShard(request)
	}
	shard := o.Replica.Shards[request.Shard]
	switch {
	case shard == nil:
		return "", newUnknownShardError(request.Shard)
	case !o.Replica.IsAlive(shard.Owner):
		return "", newTransientError("the page's owner has ended; another controller takes it over")
	case shard.Owner.Controller() == request.Target:
		return "", newPermanentError("the page is %q's already", request.Target)
	}
	if _, transfer := o.Replica.OpenTransferOf(request.Shard); transfer != nil {
		return "", newTransientError("the page is on its way with move %q", transfer.Record.Name)
	}
	return request.Shard, nil
}

// smallestTransferableShard returns the shard with the fewest machines among the source's shards that
// are not being transferred.
func (o *OperatorRequests) smallestTransferableShard(
	request *TransferRequest,
) (smallest storage.ShardID, err *RequestError) {
	if request.Source == request.Target {
		return "", newPermanentError("giver and taker are the same")
	}
	for _, id := range step.SortedKeys(o.Replica.Shards) {
		if !o.isTransferableFrom(request.Source, id) {
			continue
		}
		if smallest == "" || len(o.Replica.Shards[id].Machines) < len(o.Replica.Shards[smallest].Machines) {
			smallest = id
		}
	}
	if smallest == "" {
		return "", newTransientError("%q has no page that could move", request.Source)
	}
	return smallest, nil
}

// isTransferableFrom reports whether a shard belongs to the live incarnation of a controller and is
// not being transferred.
func (o *OperatorRequests) isTransferableFrom(source protocol.ControllerID, id storage.ShardID) bool {
	owner := o.Replica.Shards[id].Owner
	_, transfer := o.Replica.OpenTransferOf(id)
	return transfer == nil && owner.Controller() == source && o.Replica.IsAlive(owner)
}
