package requests

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// OperatorRequests holds operators' requests until what they ask for is on record.
type OperatorRequests struct {
	*step.Context

	lease       *commit.Lease
	overload    *ownership.OverloadDetector
	replication *commit.Replication
	transfers   *ownership.Transfers

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
	tryWrite  func(b *commit.Batch) (answer step.Effect, err *RequestError)
	rejection func(err *RequestError) step.Effect // the answer to a request that is refused
}

// enqueueOperatorRequest takes a request in, unless it is refused.
func (o *OperatorRequests) enqueueOperatorRequest(request *operatorRequest, err *RequestError) {
	switch {
	case o.replication.StoreUnavailable() || !o.lease.IsRegistered():
		err = newTransientError("this controller does not reach the state service")
	case err == nil && len(o.pendingOperatorRequests) >= maxOperatorRequests:
		err = newTransientError("too many requests wait to be written")
	}
	if err != nil {
		o.Emit(request.rejection(err))
		return
	}
	request.receivedAt = o.Now.Monotonic
	o.pendingOperatorRequests = append(o.pendingOperatorRequests, request)
	o.ShouldRecheckDeferred = true
}

// WriteOperatorRequests offers a transaction to all requests, and answers those that are on record.
func (o *OperatorRequests) WriteOperatorRequests(b *commit.Batch) {
	o.pendingOperatorRequests = slices.DeleteFunc(o.pendingOperatorRequests, func(request *operatorRequest) bool {
		answer, err := request.tryWrite(b)
		if err != nil {
			answer = request.rejection(err)
		}
		if answer == nil {
			return false
		}
		o.Emit(answer)
		return true
	})
}

// ExpireOperatorRequests gives up on requests that could not be written in time.
func (o *OperatorRequests) ExpireOperatorRequests() {
	o.pendingOperatorRequests = slices.DeleteFunc(o.pendingOperatorRequests, func(request *operatorRequest) bool {
		expired := o.Since(request.receivedAt) > operatorRequestTimeout
		if expired {
			o.Emit(request.rejection(newTransientError("it could not be written in time; ask again under the same name")))
		}
		return expired
	})
}

// OnDrainRequest takes a request in.
func (o *OperatorRequests) OnDrainRequest(v DrainRequest) {
	o.enqueueOperatorRequest(&operatorRequest{
		rejection: func(err *RequestError) step.Effect { return DrainReply{Req: v.Req, Err: err} },
		tryWrite:  func(b *commit.Batch) (step.Effect, *RequestError) { return o.writeDrain(b, &v) },
	}, o.checkDrain(&v))
}

// checkDrain refuses to drain a controller that nobody knows, and the last one that could
// take machines.
func (o *OperatorRequests) checkDrain(v *DrainRequest) *RequestError {
	if !v.Drain || o.Replica.IsDraining(v.Controller) {
		return nil
	}
	if o.Replica.Controllers[v.Controller] == nil {
		return newPermanentError("no controller %q is up", v.Controller)
	}
	for controller := range o.Replica.Controllers {
		if controller != v.Controller && !o.Replica.IsDraining(controller) {
			return nil
		}
	}
	return newPermanentError("no other controller is up that could take the machines of %q", v.Controller)
}

// writeDrain writes one request. It rests on the keys of all other drains, so that two
// requests of the same instant do not drain the last controllers.
func (o *OperatorRequests) writeDrain(b *commit.Batch, v *DrainRequest) (step.Effect, *RequestError) {
	if v.Drain == o.Replica.IsDraining(v.Controller) {
		return DrainReply{Req: v.Req, Status: o.controllerStatus(v.Controller)}, nil
	}
	if err := o.checkDrain(v); err != nil {
		return nil, err
	}
	if !b.HasCapacity(1) || b.ChangesDrain(v.Controller) {
		return nil, nil
	}
	change := &commit.DrainChange{}
	if v.Drain {
		change.Record = &storage.DrainRecord{Since: o.Now.Wall}
	}
	b.SetDrain(v.Controller, change)
	for controller := range o.Replica.Controllers {
		b.DependOn(storage.DrainKey(controller))
	}
	b.Log(slog.LevelInfo, "controller drain changed", "controller", string(v.Controller), "draining", v.Drain)
	return nil, nil
}

// controllerStatus is what a controller owns.
func (o *OperatorRequests) controllerStatus(controller protocol.ControllerID) ControllerStatus {
	status := ControllerStatus{ID: controller, Draining: o.Replica.IsDraining(controller)}
	if e := o.Replica.Controllers[controller]; e != nil {
		status.Incarnation, status.RecordsTransfers = e.Record.Incarnation, e.Record.SupportsTransfers
	}
	for _, shard := range o.Replica.Shards {
		if status.Incarnation != "" && shard.Owner == status.Incarnation {
			status.Shards++
			status.Machines += len(shard.Machines)
		}
	}
	return status
}

// OnTransferRequest takes a request in.
func (o *OperatorRequests) OnTransferRequest(v TransferRequest) {
	o.enqueueOperatorRequest(&operatorRequest{
		rejection: func(err *RequestError) step.Effect { return TransferReply{Req: v.Req, Err: err} },
		tryWrite: func(b *commit.Batch) (step.Effect, *RequestError) {
			transfer, recorded, err := o.writeTransferRequest(b, &v)
			if !recorded || err != nil {
				return nil, err
			}
			return TransferReply{Req: v.Req, Transfer: transfer}, nil
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
	if v.Source != "" && o.Replica.Controllers[v.Source] == nil {
		return newPermanentError("no controller %q is up", v.Source)
	}
	target := o.Replica.Controllers[v.Target]
	switch {
	case target == nil:
		return newPermanentError("no controller %q is up", v.Target)
	case v.Shard != "" && o.Replica.Shards[v.Shard] == nil:
		return newPermanentError("no page %q", v.Shard)
	case v.Shard == "" && v.Source == "":
		return newPermanentError("neither a page nor a controller to take one from is named")
	}
	return nil
}

// findTransfer gives the newest move of a name.
func (o *OperatorRequests) findTransfer(name string) *storage.Versioned[storage.TransferRecord] {
	var newest *storage.Versioned[storage.TransferRecord]
	for _, e := range o.Replica.Transfers {
		if e.Record.Name == name && (newest == nil || e.ModRevision > newest.ModRevision) {
			newest = e
		}
	}
	return newest
}

// writeTransferRequest writes one request. done: it is on record.
func (o *OperatorRequests) writeTransferRequest(b *commit.Batch, r *TransferRequest) (transfer storage.TransferRecord, recorded bool, err *RequestError) {
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
	target := o.Replica.Controllers[r.Target]
	if target == nil {
		return transfer, false, newPermanentError("controller %q has ended", r.Target)
	}
	source := o.Replica.Shards[shard].Owner
	for _, controller := range []protocol.ControllerID{source.Controller(), r.Target} {
		if !o.Replica.Controllers[controller].Record.SupportsTransfers {
			return transfer, false, transfersUnsupported(controller)
		}
	}
	if b.HasCapacity(1) {
		o.transfers.OpenTransfer(b, sharding.Transfer{Shard: shard, Source: source, Target: target.Record.Incarnation}, storage.TransferProposed, "asked for by the operator", r.Name)
	}
	return transfer, false, nil
}

// abortTransfer writes the end of a pending move.
func (o *OperatorRequests) abortTransfer(b *commit.Batch, name string) {
	for _, slot := range step.SortedKeys(o.Replica.Transfers) {
		e := o.Replica.Transfers[slot]
		if e.Record.Name == name && e.Record.Phase.IsPending() && !b.ChangesTransfer(slot) {
			o.transfers.WriteTransferStep(b, slot, sharding.TransferStep{Phase: storage.TransferAborted, Reason: sharding.ReasonOperatorAbort})
		}
	}
}

// requestedShard is the page that a request means: the one it names, or one of the
// controller that it names with the fewest machines.
func (o *OperatorRequests) requestedShard(r *TransferRequest) (storage.ShardID, *RequestError) {
	if r.Shard == "" {
		return o.smallestTransferableShard(r)
	}
	shard := o.Replica.Shards[r.Shard]
	switch {
	case shard == nil:
		return "", newPermanentError("no page %q", r.Shard)
	case !o.Replica.IsAlive(shard.Owner):
		return "", newTransientError("the page's owner has ended; another controller takes it over")
	case shard.Owner.Controller() == r.Target:
		return "", newPermanentError("the page is %q's already", r.Target)
	}
	if _, transfer := o.Replica.OpenTransferOf(r.Shard); transfer != nil {
		return "", newTransientError(fmt.Sprintf("the page is on its way with move %q", transfer.Record.Name))
	}
	return r.Shard, nil
}

func (o *OperatorRequests) smallestTransferableShard(r *TransferRequest) (smallest storage.ShardID, err *RequestError) {
	if r.Source == r.Target {
		return "", newPermanentError("giver and taker are the same")
	}
	for _, id := range step.SortedKeys(o.Replica.Shards) {
		shard := o.Replica.Shards[id]
		if _, transfer := o.Replica.OpenTransferOf(id); transfer != nil || shard.Owner.Controller() != r.Source || !o.Replica.IsAlive(shard.Owner) {
			continue
		}
		if smallest == "" || len(shard.Machines) < len(o.Replica.Shards[smallest].Machines) {
			smallest = id
		}
	}
	if smallest == "" {
		return "", newTransientError(fmt.Sprintf("%q has no page that could move", r.Source))
	}
	return smallest, nil
}

// OnShardingStatusRequest tells who owns what, as of the replica's revision.
func (o *OperatorRequests) OnShardingStatusRequest(v ShardingStatusRequest) {
	reply := ShardingStatusReply{Req: v.Req, Revision: o.Replica.Revision, Stale: !o.replication.IsUpToDate()}
	for _, id := range step.SortedKeys(o.Replica.Shards) {
		shard := o.Replica.Shards[id]
		status := ShardStatus{ID: id, Owner: shard.Owner, Epoch: shard.Epoch, Machines: len(shard.Machines)}
		for _, machineID := range shard.Machines {
			if e := o.Replica.Machines[machineID]; e != nil {
				for i := range e.Record.Assignments {
					status.Tasks += e.Record.Assignments[i].Tasks.Len()
				}
			}
		}
		reply.Shards = append(reply.Shards, status)
	}
	for _, controller := range step.SortedKeys(o.Replica.Controllers) {
		reply.Controllers = append(reply.Controllers, o.controllerStatus(controller))
	}
	for _, slot := range step.SortedKeys(o.Replica.Transfers) {
		reply.Transfers = append(reply.Transfers, o.Replica.Transfers[slot].Record)
	}
	if o.lease.IsRegistered() {
		policy := sharding.RebalancePolicy{MaxTransfers: 2 * ownership.MaxIncomingTransfers, MaxIncomingTransfers: ownership.MaxIncomingTransfers, DemandWeight: o.Config.RebalanceDemandWeight}
		reply.PlannedTransfers = sharding.PlanRebalance(o.transfers.ShardingSnapshot(o.overload.IsOverloaded()), policy)
	}
	o.Emit(reply)
}
