package requests

import (
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// ShardingStatusRequest requests the owners of all shards, and the transfers.
type ShardingStatusRequest struct{ RequestID step.RequestID }

// ShardingStatusReply answers a ShardingStatusRequest from one revision of the records.
type ShardingStatusReply struct {
	RequestID        step.RequestID
	Revision         protocol.Revision
	Stale            bool // the store may be ahead of this controller
	Controllers      []ControllerStatus
	Shards           []ShardStatus
	Transfers        []storage.TransferRecord
	PlannedTransfers []sharding.Transfer // transfers that this controller would begin now
}

// ControllerStatus holds the state of a controller, and the numbers of shards and machines that it
// owns.
type ControllerStatus struct {
	ID                protocol.ControllerID
	Incarnation       storage.Incarnation
	Shards            int
	Machines          int
	SupportsTransfers bool // its version takes part in recorded transfers
	Draining          bool
}

// ShardStatus holds the owner of a shard, and the numbers of its machines and assigned tasks.
type ShardStatus struct {
	ID       storage.ShardID
	Owner    storage.Incarnation
	Epoch    storage.ShardEpoch
	Machines int
	Tasks    int
}

// maxPlannedTransfers limits the planned transfers in a reply to the number that two targets may
// receive at once.
const maxPlannedTransfers = 2 * ownership.MaxIncomingTransfers

// OnShardingStatusRequest answers with the ownership and the transfers as of the replica's revision.
func (o *OperatorRequests) OnShardingStatusRequest(request ShardingStatusRequest) {
	reply := ShardingStatusReply{RequestID: request.RequestID, Revision: o.Replica.Revision, Stale: !o.replication.IsUpToDate()}
	for _, id := range step.SortedKeys(o.Replica.Shards) {
		reply.Shards = append(reply.Shards, o.shardStatus(id))
	}
	for _, controller := range step.SortedKeys(o.Replica.Controllers) {
		reply.Controllers = append(reply.Controllers, o.controllerStatus(controller))
	}
	for _, slot := range step.SortedKeys(o.Replica.Transfers) {
		reply.Transfers = append(reply.Transfers, o.Replica.Transfers[slot].Record)
	}
	if o.lease.IsRegistered() {
		reply.PlannedTransfers = o.plannedTransfers()
	}
	o.Emit(reply)
}

// shardStatus returns the status of a recorded shard.
func (o *OperatorRequests) shardStatus(id storage.ShardID) ShardStatus {
	shard := o.Replica.Shards[id]
	status := ShardStatus{ID: id, Owner: shard.Owner, Epoch: shard.Epoch, Machines: len(shard.Machines)}
	for _, machineID := range shard.Machines {
		entry := o.Replica.Machines[machineID]
		if entry == nil {
			continue
		}
		for i := range entry.Record.Assignments {
			status.Tasks += entry.Record.Assignments[i].Tasks.Len()
		}
	}
	return status
}

// controllerStatus returns the status of a controller, which need not be registered.
func (o *OperatorRequests) controllerStatus(controller protocol.ControllerID) ControllerStatus {
	status := ControllerStatus{ID: controller, Draining: o.Replica.IsDraining(controller)}
	if entry := o.Replica.Controllers[controller]; entry != nil {
		status.Incarnation = entry.Record.Incarnation
		status.SupportsTransfers = entry.Record.SupportsTransfers
	}
	for _, shard := range o.Replica.Shards {
		if status.Incarnation != "" && shard.Owner == status.Incarnation {
			status.Shards++
			status.Machines += len(shard.Machines)
		}
	}
	return status
}

// plannedTransfers returns the transfers that this controller's rebalancing would begin now.
func (o *OperatorRequests) plannedTransfers() []sharding.Transfer {
	snapshot := o.transfers.ShardingSnapshot(o.overload.IsOverloaded())
	return sharding.PlanRebalance(snapshot, sharding.RebalancePolicy{
		MaxTransfers:         maxPlannedTransfers,
		MaxIncomingTransfers: ownership.MaxIncomingTransfers,
		DemandWeight:         o.Config.RebalanceDemandWeight,
	})
}
