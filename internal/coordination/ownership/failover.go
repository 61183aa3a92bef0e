package ownership

import (
	"log/slog"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// WriteFailovers takes over the shards of ended incarnations if this controller is their successor, or
// if the successor has not taken them over in time.
func (mgr *Manager) WriteFailovers(batch *commit.Batch) {
	for _, id := range step.SortedKeys(mgr.Replica.Shards) {
		if !batch.ChangesShard(id) && mgr.shouldFailOver(batch, id, false) {
			mgr.failOverShard(batch, id, 0)
		}
	}
}

// shouldFailOver reports whether this controller takes over a shard in this batch. hasHeartbeat means
// that a machine of the shard has sent this controller a heartbeat that waits for an owner.
func (mgr *Manager) shouldFailOver(batch *commit.Batch, id storage.ShardID, hasHeartbeat bool) bool {
	expiredAt, isExpired := mgr.expiredAt[mgr.Replica.Shards[id].Owner]
	return isExpired && batch.HasCapacity(mgr.failoverOps(id)) &&
		sharding.IsFailoverDue(mgr.Since(expiredAt), mgr.isShardSuccessor(id), hasHeartbeat)
}

// isShardSuccessor reports whether this controller is the successor for a shard. The successor for a
// shard in transfer is the target, if it is alive. For any other shard, controllers that are not
// draining are preferred.
func (mgr *Manager) isShardSuccessor(id storage.ShardID) bool {
	if transfer := mgr.pendingTransferOf(id); transfer != nil && mgr.Replica.IsAlive(transfer.Target) {
		return transfer.Target == mgr.lease.Incarnation()
	}
	return mgr.isSuccessorAmong(storage.ShardKey(id), func(controller protocol.ControllerID) bool {
		return !mgr.Replica.IsDraining(controller)
	})
}

// pendingTransferOf returns the pending transfer of a shard, or nil if there is none.
func (mgr *Manager) pendingTransferOf(id storage.ShardID) *storage.TransferRecord {
	if _, transfer := mgr.Replica.OpenTransferOf(id); transfer != nil && transfer.Record.Phase.IsPending() {
		return &transfer.Record
	}
	return nil
}

// failoverOps returns the number of operations that take over a shard and end its pending transfer.
func (mgr *Manager) failoverOps(id storage.ShardID) int {
	ops := mgr.shardWriter.ShardWriteOps(id)
	if mgr.pendingTransferOf(id) != nil {
		ops++
	}
	return ops
}

// failOverShard makes this incarnation the owner of a shard and all its machines, and ends the pending
// transfer of the shard. The new epoch is above the former epoch and above the epoch of observedToken,
// the fencing token in the heartbeat of an agent of the shard. observedToken is 0 if the failover does
// not result from a heartbeat.
func (mgr *Manager) failOverShard(batch *commit.Batch, id storage.ShardID, observedToken protocol.FencingToken) {
	draft := batch.MutableShard(id)
	if draft.Owner == mgr.lease.Incarnation() {
		return // taken over earlier in this batch, for another machine of the shard
	}
	batch.Log(slog.LevelInfo, "shard failover",
		"shard", string(id), "count", len(draft.MachineIDs),
		"source", string(draft.Owner), "epoch", uint64(draft.Epoch+1))
	draft.ChangeOwner(mgr.lease.Incarnation(), max(draft.Epoch, storage.ShardEpochOf(observedToken))+1)
	mgr.transfers.endTransferOnFailover(batch, id)
}
