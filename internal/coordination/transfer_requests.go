package coordination

import (
	"fmt"

	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// TransferRequest asks for a page to be moved, or for a move to be aborted. It is answered
// once it is on record, with the move as it is there; asked again under the same name it
// does nothing more.
type TransferRequest struct {
	Req    RequestID
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
	Req      RequestID
	Transfer storage.TransferRecord
	Err      error
}

// ShardingStatusRequest asks who owns which machines, and which moves there are.
type ShardingStatusRequest struct{ Req RequestID }

// ShardingStatusReply answers a ShardingStatusRequest from one revision of the records.
type ShardingStatusReply struct {
	Req              RequestID
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

// onTransferRequest takes a request in.
func (c *Core) onTransferRequest(v TransferRequest) {
	c.enqueueOperatorRequest(&operatorRequest{
		rejection: func(err *RequestError) Effect { return TransferReply{Req: v.Req, Err: err} },
		tryWrite: func(b *batch) (Effect, *RequestError) {
			transfer, recorded, err := c.writeTransferRequest(b, &v)
			if !recorded || err != nil {
				return nil, err
			}
			return TransferReply{Req: v.Req, Transfer: transfer}, nil
		},
	}, c.checkTransferRequest(&v))
}

// checkTransferRequest refuses what can be refused from the records at once.
func (c *Core) checkTransferRequest(v *TransferRequest) *RequestError {
	if v.Name == "" || len(v.Name) > maxTransferNameBytes {
		return newPermanentError("a move needs a name of 1 to %d bytes", maxTransferNameBytes)
	}
	if v.Abort || c.findTransfer(v.Name) != nil {
		return nil
	}
	if !c.cfg.RecordTransfers {
		return newPermanentError("moves are not on record here: moves.recorded is off")
	}
	if v.Source != "" && c.replica.Controllers[v.Source] == nil {
		return newPermanentError("no controller %q is up", v.Source)
	}
	target := c.replica.Controllers[v.Target]
	switch {
	case target == nil:
		return newPermanentError("no controller %q is up", v.Target)
	case v.Shard != "" && c.replica.Shards[v.Shard] == nil:
		return newPermanentError("no page %q", v.Shard)
	case v.Shard == "" && v.Source == "":
		return newPermanentError("neither a page nor a controller to take one from is named")
	}
	return nil
}

// findTransfer gives the newest move of a name.
func (c *Core) findTransfer(name string) *storage.Versioned[storage.TransferRecord] {
	var newest *storage.Versioned[storage.TransferRecord]
	for _, e := range c.replica.Transfers {
		if e.Record.Name == name && (newest == nil || e.ModRevision > newest.ModRevision) {
			newest = e
		}
	}
	return newest
}

// writeTransferRequest writes one request. done: it is on record.
func (c *Core) writeTransferRequest(b *batch, r *TransferRequest) (transfer storage.TransferRecord, recorded bool, err *RequestError) {
	if e := c.findTransfer(r.Name); e != nil {
		if !r.Abort || e.Record.Phase == storage.TransferAborted {
			return e.Record, true, nil
		}
		if !e.Record.Phase.IsPending() {
			return e.Record, false, newPermanentError("the move is %s already", e.Record.Phase)
		}
		c.abortTransfer(b, r.Name)
		return e.Record, false, nil
	}
	if r.Abort {
		return transfer, false, newPermanentError("no move %q", r.Name)
	}
	shard, err := c.requestedShard(r)
	if err != nil {
		return transfer, false, err
	}
	target := c.replica.Controllers[r.Target]
	if target == nil {
		return transfer, false, newPermanentError("controller %q has ended", r.Target)
	}
	source := c.replica.Shards[shard].Owner
	for _, controller := range []protocol.ControllerID{source.Controller(), r.Target} {
		if !c.replica.Controllers[controller].Record.SupportsTransfers {
			return transfer, false, transfersUnsupported(controller)
		}
	}
	if b.hasCapacity(1) {
		c.openTransfer(b, sharding.Transfer{Shard: shard, Source: source, Target: target.Record.Incarnation}, storage.TransferProposed, "asked for by the operator", r.Name)
	}
	return transfer, false, nil
}

// abortTransfer writes the end of a pending move.
func (c *Core) abortTransfer(b *batch, name string) {
	for _, slot := range sortedKeys(c.replica.Transfers) {
		e := c.replica.Transfers[slot]
		if e.Record.Name == name && e.Record.Phase.IsPending() && b.transfers[slot] == nil {
			c.writeTransferStep(b, slot, sharding.TransferStep{Phase: storage.TransferAborted, Reason: sharding.ReasonOperatorAbort})
		}
	}
}

// requestedShard is the page that a request means: the one it names, or one of the
// controller that it names with the fewest machines.
func (c *Core) requestedShard(r *TransferRequest) (storage.ShardID, *RequestError) {
	if r.Shard == "" {
		return c.smallestTransferableShard(r)
	}
	shard := c.replica.Shards[r.Shard]
	switch {
	case shard == nil:
		return "", newPermanentError("no page %q", r.Shard)
	case !c.replica.IsAlive(shard.Owner):
		return "", newTransientError("the page's owner has ended; another controller takes it over")
	case shard.Owner.Controller() == r.Target:
		return "", newPermanentError("the page is %q's already", r.Target)
	}
	if _, transfer := c.replica.OpenTransferOf(r.Shard); transfer != nil {
		return "", newTransientError(fmt.Sprintf("the page is on its way with move %q", transfer.Record.Name))
	}
	return r.Shard, nil
}

func (c *Core) smallestTransferableShard(r *TransferRequest) (smallest storage.ShardID, err *RequestError) {
	if r.Source == r.Target {
		return "", newPermanentError("giver and taker are the same")
	}
	for _, id := range sortedKeys(c.replica.Shards) {
		shard := c.replica.Shards[id]
		if _, transfer := c.replica.OpenTransferOf(id); transfer != nil || shard.Owner.Controller() != r.Source || !c.replica.IsAlive(shard.Owner) {
			continue
		}
		if smallest == "" || len(shard.Machines) < len(c.replica.Shards[smallest].Machines) {
			smallest = id
		}
	}
	if smallest == "" {
		return "", newTransientError(fmt.Sprintf("%q has no page that could move", r.Source))
	}
	return smallest, nil
}

// onShardingStatusRequest tells who owns what, as of the replica's revision.
func (c *Core) onShardingStatusRequest(v ShardingStatusRequest) {
	reply := ShardingStatusReply{Req: v.Req, Revision: c.replica.Revision, Stale: !c.isUpToDate()}
	for _, id := range sortedKeys(c.replica.Shards) {
		shard := c.replica.Shards[id]
		status := ShardStatus{ID: id, Owner: shard.Owner, Epoch: shard.Epoch, Machines: len(shard.Machines)}
		for _, machineID := range shard.Machines {
			if e := c.replica.Machines[machineID]; e != nil {
				for i := range e.Record.Assignments {
					status.Tasks += e.Record.Assignments[i].Tasks.Len()
				}
			}
		}
		reply.Shards = append(reply.Shards, status)
	}
	for _, controller := range sortedKeys(c.replica.Controllers) {
		reply.Controllers = append(reply.Controllers, c.controllerStatus(controller))
	}
	for _, slot := range sortedKeys(c.replica.Transfers) {
		reply.Transfers = append(reply.Transfers, c.replica.Transfers[slot].Record)
	}
	if c.isRegistered() {
		policy := sharding.RebalancePolicy{MaxTransfers: 2 * maxIncomingTransfers, MaxIncomingTransfers: maxIncomingTransfers, DemandWeight: c.cfg.RebalanceDemandWeight}
		reply.PlannedTransfers = sharding.PlanRebalance(c.shardingSnapshot(c.isOverloaded()), policy)
	}
	c.emit(reply)
}
