package sharding

import (
	"cmp"
	"slices"

	"tillerarch/internal/storage"
)

// Controller is a controller as the planner sees it.
type Controller struct {
	Incarnation storage.Incarnation
	// It may be given machines: its workers and the state service reach it, and it keeps
	// up with its work.
	Eligible bool
	// It falls behind: whatever it has is better off elsewhere.
	Overloaded bool
	// An operator has it drained: it gives all it has, and gets none.
	Draining    bool
	DemandCores float64 // cores that the unfinished jobs it has claimed ask for
}

// Shard is a page of machines as the planner sees it.
type Shard struct {
	ID           storage.ShardID
	Owner        storage.Incarnation // for a page on its way, the one that it goes to
	Load         float64
	TransferCost float64 // what a move would hold up
	Pinned       bool    // it stays: it is on its way, or a gang is about to be placed there
}

// Snapshot is what a plan rests on.
type Snapshot struct {
	Self              storage.Incarnation
	Controllers       []Controller
	Shards            []Shard
	IncomingTransfers map[storage.Incarnation]int // open moves to each controller
}

// RebalancePolicy bounds what is planned.
type RebalancePolicy struct {
	MaxTransfers         int     // of one plan
	MaxIncomingTransfers int     // open moves to one controller
	DemandWeight         float64 // part of the share that follows demand; the rest is even
}

// Transfer is a page that is to go from its owner to another controller.
type Transfer struct {
	Shard  storage.ShardID
	Source storage.Incarnation
	Target storage.Incarnation
}

// controllerLoad is a controller's part of the load, and what it should be.
type controllerLoad struct {
	Controller
	current           float64
	fairShare         float64 // its part of all load, above 0
	incomingTransfers int
}

// isEvacuating tells whether whatever the controller has is better off elsewhere.
func (l *controllerLoad) isEvacuating() bool { return l.Overloaded || l.Draining }

// relativeLoad is the load by what is wanted: the same for all in a balanced fleet.
func (l *controllerLoad) relativeLoad() float64 { return l.current / l.fairShare }

// PlanRebalance lists the moves that the snapshot's controller, as a giver, should begin. Every
// controller plans for itself from the same records. A move must lower the level of the
// giver below what it was and leave the taker under that, so that the sorted levels fall
// with every move and a sequence of moves ends. A taker must lie a quarter below the
// giver to begin with, so that small differences move nothing.
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
		i := slices.IndexFunc(transferable, func(shard Shard) bool { return improvesBalance(source, target, shard.Load) })
		if i < 0 {
			break
		}
		shard := transferable[i]
		transferable = slices.Delete(transferable, i, i+1)
		source.current -= shard.Load
		target.current += shard.Load
		target.incomingTransfers++
		transfers = append(transfers, Transfer{Shard: shard.ID, Source: source.Incarnation, Target: target.Incarnation})
	}
	return transfers
}

// computeLoads sums up what each controller has and should have.
func computeLoads(snapshot Snapshot, policy RebalancePolicy) map[storage.Incarnation]*controllerLoad {
	loads := map[storage.Incarnation]*controllerLoad{}
	demand, remaining := 0.0, 0
	for _, controller := range snapshot.Controllers {
		loads[controller.Incarnation] = &controllerLoad{Controller: controller, incomingTransfers: snapshot.IncomingTransfers[controller.Incarnation]}
		demand += controller.DemandCores
		if !controller.Draining {
			remaining++
		}
	}
	for _, load := range loads {
		load.fairShare = 1 / float64(max(remaining, 1))
		if demand > 0 {
			load.fairShare = (1-policy.DemandWeight)*load.fairShare + policy.DemandWeight*load.DemandCores/demand
		}
	}
	for _, shard := range snapshot.Shards {
		if load := loads[shard.Owner]; load != nil {
			load.current += shard.Load
		}
	}
	return loads
}

// transferableShards lists the pages that the snapshot's controller may give, cheapest first.
func transferableShards(snapshot Snapshot) []Shard {
	var transferable []Shard
	for _, shard := range snapshot.Shards {
		if shard.Owner == snapshot.Self && !shard.Pinned {
			transferable = append(transferable, shard)
		}
	}
	slices.SortFunc(transferable, func(a, b Shard) int {
		return cmp.Or(cmp.Compare(a.TransferCost, b.TransferCost), cmp.Compare(RendezvousWeight(string(a.ID), ""), RendezvousWeight(string(b.ID), "")), cmp.Compare(a.ID, b.ID))
	})
	return transferable
}

// selectTarget is the controller that should be given a page, if there is one.
func selectTarget(loads map[storage.Incarnation]*controllerLoad, source *controllerLoad, maxIncoming int) *controllerLoad {
	var best *controllerLoad
	for _, load := range loads {
		if load == source || !load.Eligible || load.isEvacuating() || load.incomingTransfers >= maxIncoming || load.fairShare <= 0 {
			continue
		}
		if !source.isEvacuating() && 4*load.relativeLoad() >= 3*source.relativeLoad() {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(load.relativeLoad(), best.relativeLoad()), cmp.Compare(load.Incarnation, best.Incarnation)) < 0 {
			best = load
		}
	}
	return best
}

// improvesBalance tells whether the levels of both are better off with a move.
func improvesBalance(source, target *controllerLoad, shardLoad float64) bool {
	return source.isEvacuating() || (target.current+shardLoad)/target.fairShare < source.relativeLoad()
}
