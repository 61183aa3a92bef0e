package ownership

import (
	"log/slog"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// WriteFailovers takes over the shards of ended incarnations whose successor this controller is, or
// that the successor has not taken over in time.
func (mgr *Manager) WriteFailovers(batch *commit.Batch) {
	for _, id := range step.SortedKeys(mgr.Replica.Shards) {
		if !batch.ChangesShard(id) && mgr.shouldFailOver(batch, id, false) {
			mgr.failOverShard(batch, id, 0)
		}
	}
}

// shouldFailOver tells whether to take over a shard now. hasHeartbeat: a machine in it has sent a
// heartbeat here that waits for an owner.
func (mgr *Manager) shouldFailOver(batch *commit.Batch, id storage.ShardID, hasHeartbeat bool) bool {
	expiredAt, isExpired := mgr.expiredAt[mgr.Replica.Shards[id].Owner]
	return isExpired && batch.HasCapacity(mgr.failoverOps(id)) &&
		sharding.IsFailoverDue(mgr.Since(expiredAt), mgr.isShardSuccessor(id), hasHeartbeat)
}

// isShardSuccessor tells whether this controller is the one to take over a shard. One in transfer
// falls to the target, any other to a controller that is not draining if there is one.
func (mgr *Manager) isShardSuccessor(id storage.ShardID) bool {
	if transfer := mgr.pendingTransferOf(id); transfer != nil && mgr.Replica.IsAlive(transfer.Target) {
		return transfer.Target == mgr.lease.Incarnation()
	}
	return mgr.isSuccessorAmong(storage.ShardKey(id), func(controller protocol.ControllerID) bool {
		return !mgr.Replica.IsDraining(controller)
	})
}

// pendingTransferOf is the transfer of a shard that has not reached its target, nil for none.
func (mgr *Manager) pendingTransferOf(id storage.ShardID) *storage.TransferRecord {
	if _, transfer := mgr.Replica.OpenTransferOf(id); transfer != nil && transfer.Record.Phase.IsPending() {
		return &transfer.Record
	}
	return nil
}

// failoverOps is how many operations it takes to take over a shard and end its transfer.
func (mgr *Manager) failoverOps(id storage.ShardID) int {
	ops := mgr.shardWriter.ShardWriteOps(id)
	if mgr.pendingTransferOf(id) != nil {
		ops++
	}
	return ops
}

// failOverShard makes this incarnation the owner of a shard, with all machines in it, and ends the
// transfer that the former owner had begun. The epoch rises above the former one and above any
// that an agent has shown here.
func (mgr *Manager) failOverShard(batch *commit.Batch, id storage.ShardID, observedToken protocol.FencingToken) {
	draft := batch.MutableShard(id)
	if draft.Owner == mgr.lease.Incarnation() {
		return // for another of its machines, earlier in this batch
	}
	batch.Log(slog.LevelInfo, "shard failover",
		"shard", string(id), "count", len(draft.MachineIDs),
		"source", string(draft.Owner), "epoch", uint64(draft.Epoch+1))
	draft.ChangeOwner(mgr.lease.Incarnation(), max(draft.Epoch, storage.ShardEpochOf(observedToken))+1)
	mgr.transfers.endTransferOnFailover(batch, id)
}
