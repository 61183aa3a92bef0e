package coordination

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// shardOwnership decides when this controller takes over or hands off shards, and writes the change.
type shardOwnership struct {
	*stepContext

	agents    *agentTable
	lease     *incarnationLease
	limits    *writeLimiter
	overload  *overloadDetector
	shards    *shardWriter
	transfers *transferManager

	expiredAt       map[storage.Incarnation]protocol.Instant // since when a run is known to be dead
	pendingHandOffs map[protocol.MachineID]bool              // owned ones whose workers report to another controller
	lastShedAt      protocol.Instant                         // when machines last left because this controller was no good for them
}

func newShardOwnership(ctx *stepContext) *shardOwnership {
	return &shardOwnership{
		stepContext:     ctx,
		expiredAt:       map[storage.Incarnation]protocol.Instant{},
		pendingHandOffs: map[protocol.MachineID]bool{},
	}
}

// sheddingCooldown is how long a controller that was no good for its machines is given none.
const sheddingCooldown = time.Minute

// canAcceptMachines tells whether this controller may be given machines.
func (o *shardOwnership) canAcceptMachines() bool {
	return o.overload.overloadedSince == 0 && (o.lastShedAt == 0 || o.since(o.lastShedAt) > sheddingCooldown)
}

// trackExpiredIncarnations notes since when runs are dead, so that takeovers spread out.
func (o *shardOwnership) trackExpiredIncarnations() {
	expired := map[storage.Incarnation]bool{}
	recordIfExpired := func(incarnation storage.Incarnation) {
		if o.replica.IsAlive(incarnation) {
			return // nobody's things are a dead run's too
		}
		expired[incarnation] = true
		if _, ok := o.expiredAt[incarnation]; !ok {
			o.expiredAt[incarnation] = o.now.Monotonic
		}
	}
	for _, p := range o.replica.Shards {
		recordIfExpired(p.Owner)
	}
	for _, j := range o.replica.UnfinishedJobs {
		recordIfExpired(j.Record.Owner)
	}
	for incarnation := range o.expiredAt {
		if !expired[incarnation] {
			delete(o.expiredAt, incarnation)
		}
	}
}

// IsSuccessor tells whether this node is the one to take over what key names.
func (o *shardOwnership) IsSuccessor(key string) bool {
	return o.isSuccessorAmong(key, func(protocol.ControllerID) bool { return true })
}

// isSuccessorAmong tells the same where some controllers come before all others.
func (o *shardOwnership) isSuccessorAmong(key string, isPreferred func(protocol.ControllerID) bool) bool {
	var live, preferred []protocol.ControllerID
	for controller, e := range o.replica.Controllers {
		if e.Record.Incarnation == "" {
			continue
		}
		live = append(live, controller)
		if isPreferred(controller) {
			preferred = append(preferred, controller)
		}
	}
	if len(preferred) > 0 {
		live = preferred
	}
	return sharding.Successor(live, key) == o.cfg.ControllerID
}

// isShardSuccessor tells whether this node is the one to take over a page: one that is on its
// way falls to the controller to which it goes.
func (o *shardOwnership) isShardSuccessor(id storage.ShardID) bool {
	if _, transfer := o.replica.OpenTransferOf(id); transfer != nil && transfer.Record.Phase.IsPending() && o.replica.IsAlive(transfer.Record.Target) {
		return transfer.Record.Target == o.lease.incarnation
	}
	return o.isSuccessorAmong(storage.ShardKey(id), func(controller protocol.ControllerID) bool { return !o.replica.IsDraining(controller) })
}

// writeOwnershipChanges writes what changes of ownership there are: machines that report here and
// have no owner, pages whose owner is dead and that fall to this node, moves.
func (c *Core) writeOwnershipChanges(b *batch) {
	c.ownership.writeAdoptions(b)
	if len(c.ownership.expiredAt) > 0 {
		c.ownership.writeFailovers(b)
	}
	c.transfers.advanceTransfers(b)
	c.operators.writeOperatorRequests(b)
	if len(c.ownership.expiredAt) == 0 {
		c.transfers.rebalance(b)
	}
}

// writeAdoptions puts machines that report here and are on no record on a page, and takes
// over the pages of those whose owner is dead.
func (o *shardOwnership) writeAdoptions(b *batch) {
	for _, id := range sortedKeys(o.agents.awaitingOwner) {
		m := o.agents.machineStates[id]
		if !b.canAddMachine() {
			break
		}
		e := o.replica.Machines[id]
		if e == nil {
			if !m.hasAnsweredProbe {
				continue
			}
			b.addMachine(id, &storage.MachineRecord{AgentEpoch: m.latestHeartbeat.AgentEpoch, Address: m.latestHeartbeat.Addr, MachineType: m.latestHeartbeat.Type, Zone: m.latestHeartbeat.Zone,
				Spot: m.latestHeartbeat.Spot, AddedAt: o.now.Wall}, m.latestHeartbeat.FencingToken)
			b.log(slog.LevelInfo, "machine adopted", "machine", string(id), "machine_type", string(m.latestHeartbeat.Type), "zone", string(m.latestHeartbeat.Zone))
		} else if expiredAt, expired := o.expiredAt[e.Record.Owner]; expired && b.hasCapacity(o.failoverOps(e.Record.Shard)) &&
			sharding.IsFailoverDue(o.since(expiredAt), o.isShardSuccessor(e.Record.Shard), true) {
			// Not whoever hears of it first: when all come back, the first one
			// would have the whole fleet.
			o.failOverShard(b, e.Record.Shard, m.latestHeartbeat.FencingToken)
		}
	}
}

// writeFailovers takes over the pages of dead runs that fall to this node.
func (o *shardOwnership) writeFailovers(b *batch) {
	for _, id := range sortedKeys(o.replica.Shards) {
		shard := o.replica.Shards[id]
		expiredAt, expired := o.expiredAt[shard.Owner]
		if !expired || b.shards[id] != nil || !b.hasCapacity(o.failoverOps(id)) || !sharding.IsFailoverDue(o.since(expiredAt), o.isShardSuccessor(id), false) {
			continue
		}
		o.failOverShard(b, id, 0)
	}
}

// failoverOps is how many changes it takes to take over a page, and to end its move.
func (o *shardOwnership) failoverOps(id storage.ShardID) int {
	ops := o.shards.shardWriteOps(id)
	if _, transfer := o.replica.OpenTransferOf(id); transfer != nil && transfer.Record.Phase.IsPending() {
		ops++
	}
	return ops
}

// failOverShard makes this run the owner of a page, with all machines on it. A move that the
// dead owner had begun ends with it.
func (o *shardOwnership) failOverShard(b *batch, id storage.ShardID, observedToken protocol.FencingToken) {
	d := b.mutableShard(id)
	if d.owner == o.lease.incarnation {
		return
	}
	b.log(slog.LevelInfo, "shard failover", "shard", string(id), "count", len(d.machineIDs), "source", string(d.owner), "epoch", uint64(d.epoch+1))
	d.owner = o.lease.incarnation
	d.epoch = max(d.epoch, storage.ShardEpochOf(observedToken)) + 1
	o.transfers.endTransferOnFailover(b, id)
}

// transferShard makes another run the owner of a page, with all machines on it. It rests on
// that run's key: a page never goes to a run that has ended.
func (o *shardOwnership) transferShard(b *batch, id storage.ShardID, target storage.Incarnation, reason string) {
	d := b.mutableShard(id)
	b.dependOn(storage.ControllerKey(target.Controller()))
	d.owner = target
	d.epoch++
	b.log(slog.LevelInfo, "shard ownership transferred", "shard", string(id), "count", len(d.machineIDs), "target", string(target), "reason", reason)
}

// handOffMachines moves machines that report to another controller to a page of it. A
// page most of whose machines do so goes over as a whole: one change, where a node
// that has lost its workers has hundreds to give. There is nothing to prepare: what
// this node sends does not reach those workers.
func (o *shardOwnership) handOffMachines(b *batch) {
	ids, targetCounts := o.misdirectedMachines()
	for _, id := range sortedKeys(targetCounts) {
		target, total := storage.Incarnation(""), 0
		for _, incarnation := range sortedKeys(targetCounts[id]) {
			if total += targetCounts[id][incarnation]; target == "" || targetCounts[id][incarnation] > targetCounts[id][target] {
				target = incarnation
			}
		}
		shard := o.replica.Shards[id]
		if sharding.ShouldHandOffShard(len(shard.Machines), total, o.countResponsive(shard)) && b.hasCapacity(o.shards.shardWriteOps(id)) && b.shards[id] == nil {
			o.lastShedAt = o.now.Monotonic
			o.transferShard(b, id, target, sharding.ReasonMisdirectedHeartbeats)
		}
	}
	o.handOffIndividually(b, ids)
}

// misdirectedMachines lists the owned machines whose workers report to another controller and not
// here, and for each page how many report to which.
func (o *shardOwnership) misdirectedMachines() (ids []protocol.MachineID, targetCounts map[storage.ShardID]map[storage.Incarnation]int) {
	targetCounts = map[storage.ShardID]map[storage.Incarnation]int{}
	for _, id := range sortedKeys(o.pendingHandOffs) {
		e := o.replica.Machines[id]
		if e == nil || !o.lease.ownsMachine(&e.Record) {
			delete(o.pendingHandOffs, id)
			continue
		}
		// What an earlier ownership was told is forgotten first.
		m := o.agents.trackOwnedMachine(e, id)
		if m.handOffTarget == "" || o.since(m.handOffRequestedAt) > o.cfg.HeartbeatInterval+4*time.Second {
			delete(o.pendingHandOffs, id)
			continue
		}
		if !o.agents.hasMissedHeartbeat(m) || !o.replica.IsAlive(m.handOffTarget) || e.Record.Terminating {
			continue
		}
		if targetCounts[e.Record.Shard] == nil {
			targetCounts[e.Record.Shard] = map[storage.Incarnation]int{}
		}
		targetCounts[e.Record.Shard][m.handOffTarget]++
		ids = append(ids, id)
	}
	return ids, targetCounts
}

// handOffIndividually moves machines to new pages of the controllers that their workers reach.
func (o *shardOwnership) handOffIndividually(b *batch, ids []protocol.MachineID) {
	newShards := map[storage.Incarnation]storage.ShardID{}
	for _, id := range ids {
		m, e := o.agents.machineStates[id], o.replica.Machines[id]
		if d := b.shards[e.Record.Shard]; d != nil && d.owner != o.lease.incarnation || !b.hasCapacity(2) {
			continue
		}
		// A page takes what fits into a value, whatever still begins there.
		if shard := newShards[m.handOffTarget]; shard == "" || b.shards[shard].estimatedSize+o.shards.estimateEncodedSize(len(o.replica.EncodedLine(id))) > o.limits.writeLimits().ValueBytes*3/4 {
			newShards[m.handOffTarget] = b.newShard(m.handOffTarget, e.Record.ShardEpoch+1)
			b.dependOn(storage.ControllerKey(m.handOffTarget.Controller()))
		}
		if shard := newShards[m.handOffTarget]; b.shards[shard].epoch > e.Record.ShardEpoch {
			b.moveMachine(id, shard)
			b.machines[id].Cordoned = false
			o.lastShedAt = o.now.Monotonic
			b.log(slog.LevelInfo, "machine handed off", "machine", string(id), "target", string(m.handOffTarget))
		}
	}
}

// countResponsive counts the machines of an own page whose workers have been heard of lately.
func (o *shardOwnership) countResponsive(shard *storage.Shard) (n int) {
	for _, id := range shard.Machines {
		if e := o.replica.Machines[id]; e != nil && e.Record.AgentEpoch > 0 && !o.agents.hasMissedHeartbeat(o.agents.trackOwnedMachine(e, id)) {
			n++
		}
	}
	return n
}

// recordHeartbeatsElsewhere marks the owned machines whose workers report to the sender of a
// hint, to be handed over.
func (o *shardOwnership) recordHeartbeatsElsewhere(h *PeerStatus) {
	for _, misdirected := range h.MisdirectedHeartbeats[:min(len(h.MisdirectedHeartbeats), maxMisdirectedPerStatus)] {
		if e := o.replica.Machines[misdirected.Machine]; e != nil && o.lease.ownsMachine(&e.Record) && o.replica.IsAlive(h.Incarnation) {
			m := o.agents.trackOwnedMachine(e, misdirected.Machine)
			if misdirected.AgentEpoch < m.lastAgentEpoch || misdirected.AgentEpoch == m.lastAgentEpoch && misdirected.Sequence <= m.lastSequence {
				continue // a late copy of a report that has been here
			}
			// What was sent before and comes here late is no sign that the worker reaches
			// this node.
			m.lastAgentEpoch, m.lastSequence = misdirected.AgentEpoch, misdirected.Sequence
			m.handOffTarget, m.handOffRequestedAt = h.Incarnation, o.now.Monotonic
			o.pendingHandOffs[misdirected.Machine] = true
		}
	}
}
