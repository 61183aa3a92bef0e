package coordination

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// operatorRequests holds operators' requests until what they ask for is on record.
type operatorRequests struct {
	*stepContext

	lease       *incarnationLease
	overload    *overloadDetector
	replication *replicaSync
	transfers   *transferManager

	pendingOperatorRequests []*operatorRequest // that are not on record yet
}

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

func newPermanentError(format string, args ...any) *RequestError {
	return &RequestError{Reason: fmt.Sprintf(format, args...)}
}

func newTransientError(reason string) *RequestError {
	return &RequestError{Reason: reason, Transient: true}
}

// Bounds of operators' requests.
const (
	maxOperatorRequests    = 16 // that wait to be on record
	operatorRequestTimeout = 5 * time.Second
)

// operatorRequest is a request that is not on record yet.
type operatorRequest struct {
	receivedAt protocol.Instant
	// tryWrite puts the change into a transaction, or gives the answer once it is on record.
	tryWrite  func(b *batch) (answer Effect, err *RequestError)
	rejection func(err *RequestError) Effect // the answer to a request that is refused
}

// enqueueOperatorRequest takes a request in, unless it is refused.
func (o *operatorRequests) enqueueOperatorRequest(request *operatorRequest, err *RequestError) {
	switch {
	case o.replication.storeUnavailable() || !o.lease.isRegistered():
		err = newTransientError("this controller does not reach the state service")
	case err == nil && len(o.pendingOperatorRequests) >= maxOperatorRequests:
		err = newTransientError("too many requests wait to be written")
	}
	if err != nil {
		o.emit(request.rejection(err))
		return
	}
	request.receivedAt = o.now.Monotonic
	o.pendingOperatorRequests = append(o.pendingOperatorRequests, request)
	o.shouldRecheckDeferred = true
}

// writeOperatorRequests offers a transaction to all requests, and answers those that are on record.
func (o *operatorRequests) writeOperatorRequests(b *batch) {
	o.pendingOperatorRequests = slices.DeleteFunc(o.pendingOperatorRequests, func(request *operatorRequest) bool {
		answer, err := request.tryWrite(b)
		if err != nil {
			answer = request.rejection(err)
		}
		if answer == nil {
			return false
		}
		o.emit(answer)
		return true
	})
}

// expireOperatorRequests gives up on requests that could not be written in time.
func (o *operatorRequests) expireOperatorRequests() {
	o.pendingOperatorRequests = slices.DeleteFunc(o.pendingOperatorRequests, func(request *operatorRequest) bool {
		expired := o.since(request.receivedAt) > operatorRequestTimeout
		if expired {
			o.emit(request.rejection(newTransientError("it could not be written in time; ask again under the same name")))
		}
		return expired
	})
}

// onDrainRequest takes a request in.
func (o *operatorRequests) onDrainRequest(v DrainRequest) {
	o.enqueueOperatorRequest(&operatorRequest{
		rejection: func(err *RequestError) Effect { return DrainReply{Req: v.Req, Err: err} },
		tryWrite:  func(b *batch) (Effect, *RequestError) { return o.writeDrain(b, &v) },
	}, o.checkDrain(&v))
}

// checkDrain refuses to drain a controller that nobody knows, and the last one that could
// take machines.
func (o *operatorRequests) checkDrain(v *DrainRequest) *RequestError {
	if !v.Drain || o.replica.IsDraining(v.Controller) {
		return nil
	}
	if o.replica.Controllers[v.Controller] == nil {
		return newPermanentError("no controller %q is up", v.Controller)
	}
	for controller := range o.replica.Controllers {
		if controller != v.Controller && !o.replica.IsDraining(controller) {
			return nil
		}
	}
	return newPermanentError("no other controller is up that could take the machines of %q", v.Controller)
}

// writeDrain writes one request. It rests on the keys of all other drains, so that two
// requests of the same instant do not drain the last controllers.
func (o *operatorRequests) writeDrain(b *batch, v *DrainRequest) (Effect, *RequestError) {
	if v.Drain == o.replica.IsDraining(v.Controller) {
		return DrainReply{Req: v.Req, Status: o.controllerStatus(v.Controller)}, nil
	}
	if err := o.checkDrain(v); err != nil {
		return nil, err
	}
	if !b.hasCapacity(1) || b.drains[v.Controller] != nil {
		return nil, nil
	}
	change := &drainChange{}
	if v.Drain {
		change.record = &storage.DrainRecord{Since: o.now.Wall}
	}
	b.setDrain(v.Controller, change)
	for controller := range o.replica.Controllers {
		b.dependOn(storage.DrainKey(controller))
	}
	b.log(slog.LevelInfo, "controller drain changed", "controller", string(v.Controller), "draining", v.Drain)
	return nil, nil
}

// controllerStatus is what a controller owns.
func (o *operatorRequests) controllerStatus(controller protocol.ControllerID) ControllerStatus {
	status := ControllerStatus{ID: controller, Draining: o.replica.IsDraining(controller)}
	if e := o.replica.Controllers[controller]; e != nil {
		status.Incarnation, status.RecordsTransfers = e.Record.Incarnation, e.Record.SupportsTransfers
	}
	for _, shard := range o.replica.Shards {
		if status.Incarnation != "" && shard.Owner == status.Incarnation {
			status.Shards++
			status.Machines += len(shard.Machines)
		}
	}
	return status
}

// onTransferRequest takes a request in.
func (o *operatorRequests) onTransferRequest(v TransferRequest) {
	o.enqueueOperatorRequest(&operatorRequest{
		rejection: func(err *RequestError) Effect { return TransferReply{Req: v.Req, Err: err} },
		tryWrite: func(b *batch) (Effect, *RequestError) {
			transfer, recorded, err := o.writeTransferRequest(b, &v)
			if !recorded || err != nil {
				return nil, err
			}
			return TransferReply{Req: v.Req, Transfer: transfer}, nil
		},
	}, o.checkTransferRequest(&v))
}

// checkTransferRequest refuses what can be refused from the records at once.
func (o *operatorRequests) checkTransferRequest(v *TransferRequest) *RequestError {
	if v.Name == "" || len(v.Name) > maxTransferNameBytes {
		return newPermanentError("a move needs a name of 1 to %d bytes", maxTransferNameBytes)
	}
	if v.Abort || o.findTransfer(v.Name) != nil {
		return nil
	}
	if !o.cfg.RecordTransfers {
		return newPermanentError("moves are not on record here: moves.recorded is off")
	}
	if v.Source != "" && o.replica.Controllers[v.Source] == nil {
		return newPermanentError("no controller %q is up", v.Source)
	}
	target := o.replica.Controllers[v.Target]
	switch {
	case target == nil:
		return newPermanentError("no controller %q is up", v.Target)
	case v.Shard != "" && o.replica.Shards[v.Shard] == nil:
		return newPermanentError("no page %q", v.Shard)
	case v.Shard == "" && v.Source == "":
		return newPermanentError("neither a page nor a controller to take one from is named")
	}
	return nil
}

// findTransfer gives the newest move of a name.
func (o *operatorRequests) findTransfer(name string) *storage.Versioned[storage.TransferRecord] {
	var newest *storage.Versioned[storage.TransferRecord]
	for _, e := range o.replica.Transfers {
		if e.Record.Name == name && (newest == nil || e.ModRevision > newest.ModRevision) {
			newest = e
		}
	}
	return newest
}

// writeTransferRequest writes one request. done: it is on record.
func (o *operatorRequests) writeTransferRequest(b *batch, r *TransferRequest) (transfer storage.TransferRecord, recorded bool, err *RequestError) {
	if e := o.findTransfer(r.Name); e != nil {
		if !r.Abort || e.Record.Phase == storage.TransferAborted {
			return e.Record, true, nil
		}
		if !e.Record.Phase.IsPending() {
			return e.Record, false, newPermanentError("the move is %s already", e.Record.Phase)
		}
		o.abortTransfer(b, r.Name)
		return e.Record, false, nil
	}
	if r.Abort {
		return transfer, false, newPermanentError("no move %q", r.Name)
	}
	shard, err := o.requestedShard(r)
	if err != nil {
		return transfer, false, err
	}
	target := o.replica.Controllers[r.Target]
	if target == nil {
		return transfer, false, newPermanentError("controller %q has ended", r.Target)
	}
	source := o.replica.Shards[shard].Owner
	for _, controller := range []protocol.ControllerID{source.Controller(), r.Target} {
		if !o.replica.Controllers[controller].Record.SupportsTransfers {
			return transfer, false, transfersUnsupported(controller)
		}
	}
	if b.hasCapacity(1) {
		o.transfers.openTransfer(b, sharding.Transfer{Shard: shard, Source: source, Target: target.Record.Incarnation}, storage.TransferProposed, "asked for by the operator", r.Name)
	}
	return transfer, false, nil
}

// abortTransfer writes the end of a pending move.
func (o *operatorRequests) abortTransfer(b *batch, name string) {
	for _, slot := range sortedKeys(o.replica.Transfers) {
		e := o.replica.Transfers[slot]
		if e.Record.Name == name && e.Record.Phase.IsPending() && b.transfers[slot] == nil {
			o.transfers.writeTransferStep(b, slot, sharding.TransferStep{Phase: storage.TransferAborted, Reason: sharding.ReasonOperatorAbort})
		}
	}
}

// requestedShard is the page that a request means: the one it names, or one of the
// controller that it names with the fewest machines.
func (o *operatorRequests) requestedShard(r *TransferRequest) (storage.ShardID, *RequestError) {
	if r.Shard == "" {
		return o.smallestTransferableShard(r)
	}
	shard := o.replica.Shards[r.Shard]
	switch {
	case shard == nil:
		return "", newPermanentError("no page %q", r.Shard)
	case !o.replica.IsAlive(shard.Owner):
		return "", newTransientError("the page's owner has ended; another controller takes it over")
	case shard.Owner.Controller() == r.Target:
		return "", newPermanentError("the page is %q's already", r.Target)
	}
	if _, transfer := o.replica.OpenTransferOf(r.Shard); transfer != nil {
		return "", newTransientError(fmt.Sprintf("the page is on its way with move %q", transfer.Record.Name))
	}
	return r.Shard, nil
}

func (o *operatorRequests) smallestTransferableShard(r *TransferRequest) (smallest storage.ShardID, err *RequestError) {
	if r.Source == r.Target {
		return "", newPermanentError("giver and taker are the same")
	}
	for _, id := range sortedKeys(o.replica.Shards) {
		shard := o.replica.Shards[id]
		if _, transfer := o.replica.OpenTransferOf(id); transfer != nil || shard.Owner.Controller() != r.Source || !o.replica.IsAlive(shard.Owner) {
			continue
		}
		if smallest == "" || len(shard.Machines) < len(o.replica.Shards[smallest].Machines) {
			smallest = id
		}
	}
	if smallest == "" {
		return "", newTransientError(fmt.Sprintf("%q has no page that could move", r.Source))
	}
	return smallest, nil
}

// onShardingStatusRequest tells who owns what, as of the replica's revision.
func (o *operatorRequests) onShardingStatusRequest(v ShardingStatusRequest) {
	reply := ShardingStatusReply{Req: v.Req, Revision: o.replica.Revision, Stale: !o.replication.isUpToDate()}
	for _, id := range sortedKeys(o.replica.Shards) {
		shard := o.replica.Shards[id]
		status := ShardStatus{ID: id, Owner: shard.Owner, Epoch: shard.Epoch, Machines: len(shard.Machines)}
		for _, machineID := range shard.Machines {
			if e := o.replica.Machines[machineID]; e != nil {
				for i := range e.Record.Assignments {
					status.Tasks += e.Record.Assignments[i].Tasks.Len()
				}
			}
		}
		reply.Shards = append(reply.Shards, status)
	}
	for _, controller := range sortedKeys(o.replica.Controllers) {
		reply.Controllers = append(reply.Controllers, o.controllerStatus(controller))
	}
	for _, slot := range sortedKeys(o.replica.Transfers) {
		reply.Transfers = append(reply.Transfers, o.replica.Transfers[slot].Record)
	}
	if o.lease.isRegistered() {
		policy := sharding.RebalancePolicy{MaxTransfers: 2 * maxIncomingTransfers, MaxIncomingTransfers: maxIncomingTransfers, DemandWeight: o.cfg.RebalanceDemandWeight}
		reply.PlannedTransfers = sharding.PlanRebalance(o.transfers.shardingSnapshot(o.overload.isOverloaded()), policy)
	}
	o.emit(reply)
}
