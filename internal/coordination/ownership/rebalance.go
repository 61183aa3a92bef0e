package ownership

import (
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// MaxIncomingTransfers is how many transfers to one controller may be open. Each source checks it before
// it begins one.
const MaxIncomingTransfers = 2

const (
	// maxTransfersPerPlan is one: the new owner writes all that starts and ends on the shard, and the
	// write rate of each controller is limited.
	maxTransfersPerPlan = 1
	// evacuationSpeedup is how much faster an overloaded or draining controller transfers shards.
	evacuationSpeedup = 3
	// loadPerShard is the same for all shards: they are split and merged to a similar size.
	loadPerShard = 1
)

// Rebalance begins the transfers that package sharding plans for the present load.
func (t *Transfers) Rebalance(b *commit.Batch) {
	overloaded := t.overload.IsOverloaded()
	interval, reason := t.rebalanceInterval(overloaded)
	if t.Since(t.lastRebalanceAt) < interval || !b.HasCapacity(1) {
		return
	}
	policy := sharding.RebalancePolicy{
		MaxTransfers:         maxTransfersPerPlan,
		MaxIncomingTransfers: MaxIncomingTransfers,
		DemandWeight:         t.Config.RebalanceDemandWeight,
	}
	for _, transfer := range sharding.PlanRebalance(t.ShardingSnapshot(overloaded), policy) {
		if b.ChangesShard(transfer.Shard) || !b.HasCapacity(t.shardWriter.ShardWriteOps(transfer.Shard)) {
			continue
		}
		t.lastRebalanceAt = t.Now.Monotonic
		if overloaded {
			t.ownership.recordShedding()
		}
		// An overloaded controller has no time to quiesce the shard.
		if overloaded || !t.recordsTransfers(transfer.Target) {
			t.ownership.transferShard(b, transfer.Shard, transfer.Target, reason)
		} else {
			t.OpenTransfer(b, transfer, storage.TransferPrepared, reason, "")
		}
	}
}

// rebalanceInterval is the least time between two transfers, and why they are made.
func (t *Transfers) rebalanceInterval(overloaded bool) (interval time.Duration, reason string) {
	switch interval = t.Config.MinRebalanceInterval; {
	case overloaded:
		return interval / evacuationSpeedup, sharding.ReasonSourceOverloaded
	case t.Replica.IsDraining(t.Config.ControllerID):
		return interval / evacuationSpeedup, sharding.ReasonSourceDraining
	}
	return interval, sharding.ReasonLoadImbalance
}

// ShardingSnapshot is the state of shards and controllers from which transfers are planned.
func (t *Transfers) ShardingSnapshot(overloaded bool) sharding.Snapshot {
	incoming, targets := t.openTransferTargets()
	return sharding.Snapshot{
		Self:              t.lease.Incarnation(),
		Controllers:       t.controllersToBalance(overloaded),
		Shards:            t.shardsToBalance(targets),
		IncomingTransfers: incoming,
	}
}

// openTransferTargets counts the open transfers to each incarnation, and gives the target of each
// shard that has one.
func (t *Transfers) openTransferTargets() (
	incoming map[storage.Incarnation]int, targets map[storage.ShardID]storage.Incarnation,
) {
	incoming, targets = map[storage.Incarnation]int{}, map[storage.ShardID]storage.Incarnation{}
	for _, transfer := range t.Replica.Transfers {
		if transfer.Record.Phase.IsOpen() {
			incoming[transfer.Record.Target]++
			targets[transfer.Record.Shard] = transfer.Record.Target
		}
	}
	return incoming, targets
}

// controllersToBalance lists this controller, and the others that accept shards.
func (t *Transfers) controllersToBalance(overloaded bool) []sharding.Controller {
	demand := t.demandByOwner()
	self := t.lease.Incarnation()
	controllers := []sharding.Controller{{
		Incarnation: self,
		Overloaded:  overloaded,
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

// shardsToBalance lists all shards. One in transfer counts as owned by the target.
func (t *Transfers) shardsToBalance(transferTargets map[storage.ShardID]storage.Incarnation) []sharding.Shard {
	var shards []sharding.Shard
	reserved := t.machinesReservedForGangs()
	for id, recorded := range t.Replica.Shards {
		isEmpty := len(recorded.Machines) == 0
		shard := sharding.Shard{ID: id, Owner: recorded.Owner, Load: loadPerShard, Pinned: isEmpty}
		if target, inTransfer := transferTargets[id]; inTransfer {
			shard.Owner, shard.Pinned = target, true
		} else if recorded.Owner == t.lease.Incarnation() && !shard.Pinned {
			shard.TransferCost, shard.Pinned = t.transferCost(recorded, reserved)
		}
		shards = append(shards, shard)
	}
	return shards
}

// transferCost is the number of starts in flight that a transfer of an owned shard would delay. pinned:
// machines in it are reserved for a gang.
func (t *Transfers) transferCost(
	shard *storage.Shard, reserved map[protocol.MachineID]bool,
) (cost float64, pinned bool) {
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

// demandByOwner is how many cores the unfinished jobs of each controller ask for, empty if demand has no
// weight in the plan.
func (t *Transfers) demandByOwner() map[storage.Incarnation]float64 {
	demand := map[storage.Incarnation]float64{}
	if t.Config.RebalanceDemandWeight == 0 {
		return demand
	}
	for id, job := range t.Replica.UnfinishedJobs {
		if job.Record.IsCancelledOrPending() {
			continue
		}
		unfinishedTasks := job.Record.Spec.TaskCount - t.Replica.CompletedTasks(id).Len()
		demand[job.Record.Owner] += float64(unfinishedTasks) * job.Record.Spec.Cores
	}
	return demand
}
