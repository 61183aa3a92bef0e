package sharding

import (
	"cmp"
	"slices"

	"tillerarch/internal/storage"
)

// Controller is a controller as the planner sees it.
type Controller struct {
	Incarnation storage.Incarnation
	Eligible    bool    // may get shards: its agents and the store reach it, and it keeps up with its work
	Overloaded  bool    // falls behind with its work: all it has is better off elsewhere
	Draining    bool    // drained by an operator: transfers all it has, and gets nothing
	DemandCores float64 // cores that its unfinished jobs ask for
}

// Shard is a shard of machines as the planner sees it.
type Shard struct {
	ID           storage.ShardID
	Owner        storage.Incarnation // of a shard in transfer: the target
	Load         float64
	TransferCost float64 // what a transfer would hold up
	Pinned       bool    // not to be transferred: it is in transfer, or a gang is about to be placed on it
}

// Snapshot is what a plan is based on.
type Snapshot struct {
	Self              storage.Incarnation // who plans
	Controllers       []Controller
	Shards            []Shard
	IncomingTransfers map[storage.Incarnation]int // open transfers to each controller
}

// RebalancePolicy bounds what is planned.
type RebalancePolicy struct {
	MaxTransfers         int     // of one plan
	MaxIncomingTransfers int     // open transfers to one controller
	DemandWeight         float64 // part of the fair share that follows demand, 0 to 1; the rest is even
}

// maxTargetLoadRatio is the relative load that a target must lie below to get a shard, as a
// part of the source's: small differences cause no transfers.
const maxTargetLoadRatio = 0.75

// Transfer is a shard that is to pass from its owner to another controller.
type Transfer struct {
	Shard  storage.ShardID
	Source storage.Incarnation
	Target storage.Incarnation
}

// controllerLoad is what a controller has of the load, and what it should have.
type controllerLoad struct {
	Controller
	currentLoad       float64
	fairShare         float64 // its part of all load, above 0
	incomingTransfers int
}

// isEvacuating tells whether all that the controller has is better off elsewhere.
func (l *controllerLoad) isEvacuating() bool { return l.Overloaded || l.Draining }

// relativeLoad is the load by the fair share: the same for all controllers of a balanced fleet.
func (l *controllerLoad) relativeLoad() float64 { return l.currentLoad / l.fairShare }

// PlanRebalance lists the transfers that the snapshot's controller should begin as their
// source. Every controller plans for itself from the same records.
//
// A transfer leaves both the source's and the target's relative load below what the source's
// was, so that the sorted relative loads fall with every transfer and any sequence of
// transfers ends. An evacuating source is the exception; it gets nothing back.
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

// computeLoads sums up the load that each controller has, and its fair share.
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

// transferableShards lists the shards that the snapshot's controller may transfer, cheapest
// first. Among equal ones the order depends on the IDs only, not on that of the snapshot.
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

// selectTarget is the controller of lowest relative load that may get a shard from the source,
// or nil.
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

// mayReceiveShard tells whether the controller may get another shard, whatever the loads.
func (l *controllerLoad) mayReceiveShard(maxIncoming int) bool {
	return l.Eligible && !l.isEvacuating() && l.incomingTransfers < maxIncoming && l.fairShare > 0
}

// precedes orders targets: by relative load, then by name.
func (l *controllerLoad) precedes(other *controllerLoad) bool {
	return cmp.Or(
		cmp.Compare(l.relativeLoad(), other.relativeLoad()),
		cmp.Compare(l.Incarnation, other.Incarnation),
	) < 0
}

// improvesBalance tells whether a transfer leaves the target's relative load below the source's.
func improvesBalance(source, target *controllerLoad, shardLoad float64) bool {
	return source.isEvacuating() || (target.currentLoad+shardLoad)/target.fairShare < source.relativeLoad()
}
