package requests

import (
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// TransferRequest asks for a shard transfer, or for one to be aborted. It is answered once it is
// on record, with the transfer as it is there; asked again under the same name it does nothing
// more.
type TransferRequest struct {
	Req    step.RequestID
	Name   string                // of the transfer
	Abort  bool                  // end the transfer of that name instead
	Shard  storage.ShardID       // the shard to transfer; or
	Source protocol.ControllerID // any one of this controller's
	Target protocol.ControllerID
}

// TransferReply answers a TransferRequest.
type TransferReply struct {
	Req      step.RequestID
	Transfer storage.TransferRecord
	Err      error
}

// maxTransferNameBytes is the longest name of a transfer, in bytes.
const maxTransferNameBytes = 100

// operatorTransferReason is the reason on record of a transfer that an operator asked for.
const operatorTransferReason = "asked for by the operator"

// OnTransferRequest takes a request in.
func (o *OperatorRequests) OnTransferRequest(v TransferRequest) {
	o.enqueue(&operatorRequest{
		rejection: func(err *RequestError) step.Effect { return TransferReply{Req: v.Req, Err: err} },
		tryWrite: func(b *commit.Batch) (step.Effect, *RequestError) {
			transfer, err := o.writeTransferRequest(b, &v)
			if transfer == nil || err != nil {
				return nil, err
			}
			return TransferReply{Req: v.Req, Transfer: *transfer}, nil
		},
	}, o.checkTransferRequest(&v))
}

// checkTransferRequest refuses what can be refused from the records at once.
func (o *OperatorRequests) checkTransferRequest(v *TransferRequest) *RequestError {
	if v.Name == "" || len(v.Name) > maxTransferNameBytes {
		return newPermanentError("a move needs a name of 1 to %d bytes", maxTransferNameBytes)
	}
	if v.Abort || o.findTransfer(v.Name) != nil {
		return nil
	}
	if !o.Config.RecordTransfers {
		return newPermanentError("moves are not on record here: moves.recorded is off")
	}
	switch {
	case v.Source != "" && o.Replica.Controllers[v.Source] == nil:
		return newUnknownControllerError(v.Source)
	case o.Replica.Controllers[v.Target] == nil:
		return newUnknownControllerError(v.Target)
	case v.Shard != "" && o.Replica.Shards[v.Shard] == nil:
		return newUnknownShardError(v.Shard)
	case v.Shard == "" && v.Source == "":
		return newPermanentError("neither a page nor a controller to take one from is named")
	}
	return nil
}

// findTransfer gives the newest transfer of a name, nil for none.
func (o *OperatorRequests) findTransfer(name string) *storage.Versioned[storage.TransferRecord] {
	var newest *storage.Versioned[storage.TransferRecord]
	for _, e := range o.Replica.Transfers {
		if e.Record.Name == name && (newest == nil || e.ModRevision > newest.ModRevision) {
			newest = e
		}
	}
	return newest
}

// writeTransferRequest puts a request into the batch, or gives the transfer if what was asked for
// is on record.
func (o *OperatorRequests) writeTransferRequest(b *commit.Batch, r *TransferRequest) (*storage.TransferRecord, *RequestError) {
	e := o.findTransfer(r.Name)
	switch {
	case e == nil && r.Abort:
		return nil, newPermanentError("no move %q", r.Name)
	case e == nil:
		return nil, o.proposeTransfer(b, r)
	case !r.Abort || e.Record.Phase == storage.TransferAborted:
		return &e.Record, nil
	case !e.Record.Phase.IsPending():
		return nil, newPermanentError("the move is %s already", e.Record.Phase)
	}
	o.abortTransfer(b, r.Name)
	return nil, nil
}

// proposeTransfer puts the record of a new transfer into the batch, if there is room for it.
func (o *OperatorRequests) proposeTransfer(b *commit.Batch, r *TransferRequest) *RequestError {
	shard, err := o.requestedShard(r)
	if err != nil {
		return err
	}
	target := o.Replica.Controllers[r.Target]
	if target == nil {
		return newPermanentError("controller %q has ended", r.Target)
	}
	source := o.Replica.Shards[shard].Owner
	for _, controller := range []protocol.ControllerID{source.Controller(), r.Target} {
		if !o.Replica.Controllers[controller].Record.SupportsTransfers {
			return newUnsupportedTransferError(controller)
		}
	}
	if b.HasCapacity(1) {
		transfer := sharding.Transfer{Shard: shard, Source: source, Target: target.Record.Incarnation}
		o.transfers.OpenTransfer(b, transfer, storage.TransferProposed, operatorTransferReason, r.Name)
	}
	return nil
}

// newUnsupportedTransferError refuses a transfer from or to a controller that would not act on its
// record.
func newUnsupportedTransferError(controller protocol.ControllerID) *RequestError {
	return newPermanentError("controller %q runs a version, or with settings, that take no part in moves on record", controller)
}

// abortTransfer puts the end of the pending transfers of a name into the batch.
func (o *OperatorRequests) abortTransfer(b *commit.Batch, name string) {
	for _, slot := range step.SortedKeys(o.Replica.Transfers) {
		e := o.Replica.Transfers[slot]
		if e.Record.Name == name && e.Record.Phase.IsPending() && !b.ChangesTransfer(slot) {
			o.transfers.WriteTransferStep(b, slot, sharding.TransferStep{
				Phase:  storage.TransferAborted,
				Reason: sharding.ReasonOperatorAbort,
			})
		}
	}
}

// requestedShard is the shard that a request means: the one it names, or one of the source.
func (o *OperatorRequests) requestedShard(r *TransferRequest) (storage.ShardID, *RequestError) {
	if r.Shard == "" {
		return o.smallestTransferableShard(r)
	}
	shard := o.Replica.Shards[r.Shard]
	switch {
	case shard == nil:
		return "", newUnknownShardError(r.Shard)
	case !o.Replica.IsAlive(shard.Owner):
		return "", newTransientError("the page's owner has ended; another controller takes it over")
	case shard.Owner.Controller() == r.Target:
		return "", newPermanentError("the page is %q's already", r.Target)
	}
	if _, transfer := o.Replica.OpenTransferOf(r.Shard); transfer != nil {
		return "", newTransientError("the page is on its way with move %q", transfer.Record.Name)
	}
	return r.Shard, nil
}

// smallestTransferableShard is the shard of the source with the fewest machines, of those that are
// not being transferred.
func (o *OperatorRequests) smallestTransferableShard(r *TransferRequest) (smallest storage.ShardID, err *RequestError) {
	if r.Source == r.Target {
		return "", newPermanentError("giver and taker are the same")
	}
	for _, id := range step.SortedKeys(o.Replica.Shards) {
		if !o.isTransferableFrom(r.Source, id) {
			continue
		}
		if smallest == "" || len(o.Replica.Shards[id].Machines) < len(o.Replica.Shards[smallest].Machines) {
			smallest = id
		}
	}
	if smallest == "" {
		return "", newTransientError("%q has no page that could move", r.Source)
	}
	return smallest, nil
}

// isTransferableFrom tells whether a shard belongs to the living incarnation of a controller, and is
// not being transferred.
func (o *OperatorRequests) isTransferableFrom(source protocol.ControllerID, id storage.ShardID) bool {
	owner := o.Replica.Shards[id].Owner
	_, transfer := o.Replica.OpenTransferOf(id)
	return transfer == nil && owner.Controller() == source && o.Replica.IsAlive(owner)
}
