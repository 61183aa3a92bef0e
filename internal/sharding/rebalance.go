package sharding

import (
	"cmp"
	"slices"

	"tillerarch/internal/storage"
)

// Controller holds the properties of a controller that a rebalance plan depends on.
type Controller struct {
	Incarnation storage.Incarnation
	Eligible    bool    // can get shards, because it reaches its agents and the store and keeps up with its work
	Overloaded  bool    // falls behind with its work, so that any other eligible controller serves its shards better
	Draining    bool    // is drained by an operator, transfers all its shards and gets none
	DemandCores float64 // cores that its unfinished jobs request
}

// Shard holds the properties of a shard of machines that a rebalance plan depends on.
type Shard struct {
	ID           storage.ShardID
	Owner        storage.Incarnation // the target if the shard is in transfer
	Load         float64             // in any unit that is the same for all shards
	TransferCost float64             // work that a transfer would delay
	Pinned       bool                // must stay, because it is in transfer already, is empty or is reserved for a gang
}

// Snapshot is the state of controllers and shards that a plan is based on.
type Snapshot struct {
	Self              storage.Incarnation // incarnation of the controller that plans
	Controllers       []Controller
	Shards            []Shard
	IncomingTransfers map[storage.Incarnation]int // number of open transfers to each controller
}

// RebalancePolicy limits the transfers of a plan and defines the fair share of a controller.
type RebalancePolicy struct {
	MaxTransfers         int     // in one plan
	MaxIncomingTransfers int     // open at the same time to one controller
	DemandWeight         float64 // fraction of the fair share that follows demand, 0 to 1; the rest is the same for all
}

// maxTargetLoadRatio is the fraction of the source's relative load that the relative load of a
// target must be below, so that small differences cause no transfers.
const maxTargetLoadRatio = 0.75

// Transfer describes the planned transfer of a shard from its owner to another controller.
type Transfer struct {
	Shard  storage.ShardID
	Source storage.Incarnation
	Target storage.Incarnation
}

// controllerLoad holds the current load of a controller and the controller's fair share of all load.
type controllerLoad struct {
	Controller
	currentLoad       float64
	fairShare         float64 // fraction of all load that the controller should have; above 0 unless DemandWeight is 1
	incomingTransfers int
}

// isEvacuating reports whether the controller should transfer all its shards to other controllers.
func (l *controllerLoad) isEvacuating() bool { return l.Overloaded || l.Draining }

// relativeLoad returns the current load divided by the fair share. The relative loads of all
// controllers are equal if the load is balanced.
func (l *controllerLoad) relativeLoad() float64 { return l.currentLoad / l.fairShare }

// PlanRebalance returns the transfers that the controller snapshot.Self should begin as their
// source. Every controller plans its own transfers from the same records.
//
// After a transfer, the relative loads of both source and target are below the former relative
// load of the source. The sorted relative loads therefore decrease with every transfer, and any
// sequence of transfers ends. An evacuating source is the exception, but it gets no shards back.
func PlanRebalance(snapshot Snapshot, policy RebalancePolicy) []Transfer {
	loads := computeLoads(snapshot, policy)
	source := loads[snapshot.Self]
	if source == nil {
		return nil
	}
	transferable := transferableShards(snapshot)
	var transfers []Transfer
	for len(transfers) < policy.MaxTransfers {
		target := selectTarget(loads, source, policy.MaxIncomingTransfers)
		if target == nil {
			break
		}
		i := slices.IndexFunc(transferable, func(shard Shard) bool {
			return improvesBalance(source, target, shard.Load)
		})
		if i < 0 {
			break
		}
		shard := transferable[i]
		transferable = slices.Delete(transferable, i, i+1)
		source.currentLoad -= shard.Load
		target.currentLoad += shard.Load
		target.incomingTransfers++
		transfers = append(transfers, Transfer{
			Shard:  shard.ID,
			Source: source.Incarnation,
			Target: target.Incarnation,
		})
	}
	return transfers
}

// computeLoads returns the current load and the fair share of each controller.
func computeLoads(snapshot Snapshot, policy RebalancePolicy) map[storage.Incarnation]*controllerLoad {
	loads := map[storage.Incarnation]*controllerLoad{}
	totalDemandCores, remainingControllers := 0.0, 0
	for _, controller := range snapshot.Controllers {
		loads[controller.Incarnation] = &controllerLoad{
			Controller:        controller,
			incomingTransfers: snapshot.IncomingTransfers[controller.Incarnation],
		}
		totalDemandCores += controller.DemandCores
		if !controller.Draining {
			remainingControllers++
		}
	}
	evenShare := 1 / float64(max(remainingControllers, 1))
	for _, load := range loads {
		load.fairShare = evenShare
		if totalDemandCores > 0 {
			load.fairShare = (1-policy.DemandWeight)*evenShare + policy.DemandWeight*load.DemandCores/totalDemandCores
		}
	}
	for _, shard := range snapshot.Shards {
		if load := loads[shard.Owner]; load != nil {
			load.currentLoad += shard.Load
		}
	}
	return loads
}

// transferableShards returns the shards that the controller snapshot.Self may transfer, those of
// the lowest transfer cost first. The order of shards of equal cost depends on their IDs only, not
// on the order of the snapshot.
func transferableShards(snapshot Snapshot) []Shard {
	var transferable []Shard
	for _, shard := range snapshot.Shards {
		if shard.Owner == snapshot.Self && !shard.Pinned {
			transferable = append(transferable, shard)
		}
	}
	slices.SortFunc(transferable, func(a, b Shard) int {
		return cmp.Or(
			cmp.Compare(a.TransferCost, b.TransferCost),
			cmp.Compare(RendezvousWeight(string(a.ID), ""), RendezvousWeight(string(b.ID), "")),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return transferable
}

// selectTarget returns the controller of the lowest relative load that may receive a shard from the
// source, or nil if there is none.
func selectTarget(
	loads map[storage.Incarnation]*controllerLoad,
	source *controllerLoad,
	maxIncoming int,
) *controllerLoad {
	var best *controllerLoad
	for _, load := range loads {
		if load == source || !load.mayReceiveShard(maxIncoming) {
			continue
		}
		if !source.isEvacuating() && load.relativeLoad() >= maxTargetLoadRatio*source.relativeLoad() {
			continue
		}
		if best == nil || load.precedes(best) {
			best = load
		}
	}
	return best
}

// mayReceiveShard reports whether the controller may receive another shard, regardless of the loads.
func (l *controllerLoad) mayReceiveShard(maxIncoming int) bool {
	return l.Eligible && !l.isEvacuating() && l.incomingTransfers < maxIncoming && l.fairShare > 0
}

// precedes reports whether l is preferred to other as a target. Targets are ordered by relative
// load, then by incarnation.
func (l *controllerLoad) precedes(other *controllerLoad) bool {
	return cmp.Or(
		cmp.Compare(l.relativeLoad(), other.relativeLoad()),
		cmp.Compare(l.Incarnation, other.Incarnation),
	) < 0
}

// improvesBalance reports whether the target's relative load after the transfer is below the
// source's before it. The transfer from an evacuating source always counts as an improvement.
func improvesBalance(source, target *controllerLoad, shardLoad float64) bool {
	return source.isEvacuating() || (target.currentLoad+shardLoad)/target.fairShare < source.relativeLoad()
}
