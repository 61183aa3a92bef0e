package ownership

import (
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// MaxIncomingTransfers is the maximum number of open transfers to one controller. Each source checks
// the number before it begins a transfer.
const MaxIncomingTransfers = 2

const (
	// maxTransfersPerPlan is one, because the new owner writes every start and end of a task on the
	// shard, and the write rate of each controller is limited.
	maxTransfersPerPlan = 1
	// evacuationSpeedup is the factor by which an overloaded or draining controller transfers shards
	// more often.
	evacuationSpeedup = 3
	// loadPerShard is the same for all shards, because splits and merges keep shards at a similar size.
	loadPerShard = 1
)

// Rebalance begins the transfers that package sharding plans for the current load.
func (t *Transfers) Rebalance(batch *commit.Batch) {
	isOverloaded := t.overload.IsOverloaded()
	interval, reason := t.rebalanceInterval(isOverloaded)
	if t.Since(t.lastRebalanceAt) < interval || !batch.HasCapacity(1) {
		return
	}
	policy := sharding.RebalancePolicy{
		MaxTransfers:         maxTransfersPerPlan,
		MaxIncomingTransfers: MaxIncomingTransfers,
		DemandWeight:         t.Config.RebalanceDemandWeight,
	}
	for _, transfer := range sharding.PlanRebalance(t.ShardingSnapshot(isOverloaded), policy) {
		if batch.ChangesShard(transfer.Shard) || !batch.HasCapacity(t.shardWriter.ShardWriteOps(transfer.Shard)) {
			continue
		}
		t.lastRebalanceAt = t.Now.Monotonic
		if isOverloaded {
			t.ownership.recordShedding()
		}
		// An overloaded controller has no time to quiesce the shard.
		if isOverloaded || !t.shouldRecordTransfersTo(transfer.Target) {
			t.ownership.transferShard(batch, transfer.Shard, transfer.Target, reason)
		} else {
			t.OpenTransfer(batch, transfer, storage.TransferPrepared, reason, "")
		}
	}
}

// rebalanceInterval returns the minimum time between two transfers, and the reason for the transfers.
func (t *Transfers) rebalanceInterval(isOverloaded bool) (interval time.Duration, reason string) {
	switch interval = t.Config.MinRebalanceInterval; {
	case isOverloaded:
		return interval / evacuationSpeedup, sharding.ReasonSourceOverloaded
	case t.Replica.IsDraining(t.Config.ControllerID):
		return interval / evacuationSpeedup, sharding.ReasonSourceDraining
	}
	return interval, sharding.ReasonLoadImbalance
}

// ShardingSnapshot returns the state of shards and controllers from which transfers are planned.
func (t *Transfers) ShardingSnapshot(isOverloaded bool) sharding.Snapshot {
	incomingCounts, targets := t.openTransferTargets()
	return sharding.Snapshot{
		Self:              t.lease.Incarnation(),
		Controllers:       t.controllersToBalance(isOverloaded),
		Shards:            t.shardsToBalance(targets),
		IncomingTransfers: incomingCounts,
	}
}

// openTransferTargets returns the number of open transfers to each incarnation, and the target of each
// shard that has an open transfer.
func (t *Transfers) openTransferTargets() (
	incomingCounts map[storage.Incarnation]int, targets map[storage.ShardID]storage.Incarnation,
) {
	incomingCounts, targets = map[storage.Incarnation]int{}, map[storage.ShardID]storage.Incarnation{}
	for _, transfer := range t.Replica.Transfers {
		if transfer.Record.Phase.IsOpen() {
			incomingCounts[transfer.Record.Target]++
			targets[transfer.Record.Shard] = transfer.Record.Target
		}
	}
	return incomingCounts, targets
}

// controllersToBalance returns this controller and the other controllers that accept shards.
func (t *Transfers) controllersToBalance(isOverloaded bool) []sharding.Controller {
	demand := t.demandByOwner()
	self := t.lease.Incarnation()
	controllers := []sharding.Controller{{
		Incarnation: self,
		Overloaded:  isOverloaded,
		DemandCores: demand[self],
		Draining:    t.Replica.IsDraining(t.Config.ControllerID),
	}}
	for _, incarnation := range t.peers.acceptingShards() {
		controllers = append(controllers, sharding.Controller{
			Incarnation: incarnation,
			Eligible:    true,
			DemandCores: demand[incarnation],
			Draining:    t.Replica.IsDraining(incarnation.Controller()),
		})
	}
	return controllers
}

// shardsToBalance returns all shards. A shard in transfer counts as owned by the target. Empty shards and
// shards in transfer are pinned, and so are owned shards whose machines are reserved for a gang.
func (t *Transfers) shardsToBalance(transferTargets map[storage.ShardID]storage.Incarnation) []sharding.Shard {
	var shards []sharding.Shard
	reserved := t.machinesReservedForGangs()
	for id, entry := range t.Replica.Shards {
		isEmpty := len(entry.Machines) == 0
		shard := sharding.Shard{ID: id, Owner: entry.Owner, Load: loadPerShard, Pinned: isEmpty}
		if target, isInTransfer := transferTargets[id]; isInTransfer {
			shard.Owner, shard.Pinned = target, true
		} else if entry.Owner == t.lease.Incarnation() && !shard.Pinned {
			shard.TransferCost, shard.Pinned = t.transferCost(entry, reserved)
		}
		shards = append(shards, shard)
	}
	return shards
}

// transferCost returns the number of starts in flight that a transfer of an owned shard would delay.
// isPinned reports whether machines of the shard are reserved for a gang. Both are zero if transfers
// are not recorded.
func (t *Transfers) transferCost(
	shard *storage.Shard, reserved map[protocol.MachineID]bool,
) (cost float64, isPinned bool) {
	if !t.Config.RecordTransfers {
		return 0, false // the owner changes in one write, which delays nothing
	}
	for _, id := range shard.Machines {
		if reserved[id] {
			return 0, true
		}
		if state := t.agents.Lookup(id); state != nil && t.Replica.Machines[id] != nil {
			cost += float64(len(state.InflightStarts))
		}
	}
	return cost, false
}

// demandByOwner returns the number of cores that the unfinished tasks of each incarnation's jobs request.
// Cancelled jobs do not count. The result is empty if demand has no weight in the plan.
func (t *Transfers) demandByOwner() map[storage.Incarnation]float64 {
	demand := map[storage.Incarnation]float64{}
	if t.Config.RebalanceDemandWeight == 0 {
		return demand
	}
	for id, job := range t.Replica.UnfinishedJobs {
		if job.Record.IsCancelledOrCancelling() {
			continue
		}
		unfinishedTasks := job.Record.Spec.TaskCount - t.Replica.CompletedTasks(id).Len()
		demand[job.Record.Owner] += float64(unfinishedTasks) * job.Record.Spec.Cores
	}
	return demand
}
