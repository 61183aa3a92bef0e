package coordination

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// ownership is what this process knows of how machines change their owners, beyond the
// records. What is to change is decided in package shares; this file and moves.go put it
// into transactions.
type ownership struct {
	expiredAt       map[storage.Incarnation]protocol.Instant // since when a run is known to be dead
	pendingHandOffs map[protocol.MachineID]bool              // owned ones whose workers report to another controller
	lastShedAt      protocol.Instant                         // when machines last left because this controller was no good for them
}

func newOwnership() ownership {
	return ownership{expiredAt: map[storage.Incarnation]protocol.Instant{}, pendingHandOffs: map[protocol.MachineID]bool{}}
}

// sheddingCooldown is how long a controller that was no good for its machines is given none.
const sheddingCooldown = time.Minute

// canAcceptMachines tells whether this controller may be given machines.
func (c *Core) canAcceptMachines() bool {
	return c.overloadedSince == 0 && (c.ownership.lastShedAt == 0 || c.since(c.ownership.lastShedAt) > sheddingCooldown)
}

// trackExpiredIncarnations notes since when runs are dead, so that takeovers spread out.
func (c *Core) trackExpiredIncarnations() {
	expired := map[storage.Incarnation]bool{}
	recordIfExpired := func(incarnation storage.Incarnation) {
		if c.replica.IsAlive(incarnation) {
			return // nobody's things are a dead run's too
		}
		expired[incarnation] = true
		if _, ok := c.ownership.expiredAt[incarnation]; !ok {
			c.ownership.expiredAt[incarnation] = c.now.Monotonic
		}
	}
	for _, p := range c.replica.Shards {
		recordIfExpired(p.Owner)
	}
	for _, j := range c.replica.UnfinishedJobs {
		recordIfExpired(j.Record.Owner)
	}
	for incarnation := range c.ownership.expiredAt {
		if !expired[incarnation] {
			delete(c.ownership.expiredAt, incarnation)
		}
	}
}

// isSuccessor tells whether this node is the one to take over what key names.
func (c *Core) isSuccessor(key string) bool {
	return c.isSuccessorAmong(key, func(protocol.ControllerID) bool { return true })
}

// isSuccessorAmong tells the same where some controllers come before all others.
func (c *Core) isSuccessorAmong(key string, isPreferred func(protocol.ControllerID) bool) bool {
	var live, preferred []protocol.ControllerID
	for controller, e := range c.replica.Controllers {
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
	return sharding.Successor(live, key) == c.cfg.ControllerID
}

// isShardSuccessor tells whether this node is the one to take over a page: one that is on its
// way falls to the controller to which it goes.
func (c *Core) isShardSuccessor(id storage.ShardID) bool {
	if _, transfer := c.replica.OpenTransferOf(id); transfer != nil && transfer.Record.Phase.IsPending() && c.replica.IsAlive(transfer.Record.Target) {
		return transfer.Record.Target == c.incarnation
	}
	return c.isSuccessorAmong(storage.ShardKey(id), func(controller protocol.ControllerID) bool { return !c.replica.IsDraining(controller) })
}

// writeOwnershipChanges writes what changes of ownership there are: machines that report here and
// have no owner, pages whose owner is dead and that fall to this node, moves.
func (c *Core) writeOwnershipChanges(b *batch) {
	c.writeAdoptions(b)
	if len(c.ownership.expiredAt) > 0 {
		c.writeFailovers(b)
	}
	c.advanceTransfers(b)
	c.writeOperatorRequests(b)
	if len(c.ownership.expiredAt) == 0 {
		c.rebalance(b)
	}
}

// writeAdoptions puts machines that report here and are on no record on a page, and takes
// over the pages of those whose owner is dead.
func (c *Core) writeAdoptions(b *batch) {
	for _, id := range sortedKeys(c.awaitingOwner) {
		m := c.machineStates[id]
		if !b.canAddMachine() {
			break
		}
		e := c.replica.Machines[id]
		if e == nil {
			if !m.hasAnsweredProbe {
				continue
			}
			b.addMachine(id, &storage.MachineRecord{AgentEpoch: m.latestHeartbeat.AgentEpoch, Address: m.latestHeartbeat.Addr, MachineType: m.latestHeartbeat.Type, Zone: m.latestHeartbeat.Zone,
				Spot: m.latestHeartbeat.Spot, AddedAt: c.now.Wall}, m.latestHeartbeat.FencingToken)
			b.log(slog.LevelInfo, "machine adopted", "machine", string(id), "type", string(m.latestHeartbeat.Type), "zone", string(m.latestHeartbeat.Zone))
		} else if expiredAt, expired := c.ownership.expiredAt[e.Record.Owner]; expired && b.hasCapacity(c.failoverOps(e.Record.Shard)) &&
			sharding.IsFailoverDue(c.since(expiredAt), c.isShardSuccessor(e.Record.Shard), true) {
			// Not whoever hears of it first: when all come back, the first one
			// would have the whole fleet.
			c.failOverShard(b, e.Record.Shard, m.latestHeartbeat.FencingToken)
		}
	}
}

// writeFailovers takes over the pages of dead runs that fall to this node.
func (c *Core) writeFailovers(b *batch) {
	for _, id := range sortedKeys(c.replica.Shards) {
		shard := c.replica.Shards[id]
		expiredAt, expired := c.ownership.expiredAt[shard.Owner]
		if !expired || b.shards[id] != nil || !b.hasCapacity(c.failoverOps(id)) || !sharding.IsFailoverDue(c.since(expiredAt), c.isShardSuccessor(id), false) {
			continue
		}
		c.failOverShard(b, id, 0)
	}
}

// failoverOps is how many changes it takes to take over a page, and to end its move.
func (c *Core) failoverOps(id storage.ShardID) int {
	ops := c.shardWriteOps(id)
	if _, transfer := c.replica.OpenTransferOf(id); transfer != nil && transfer.Record.Phase.IsPending() {
		ops++
	}
	return ops
}

// failOverShard makes this run the owner of a page, with all machines on it. A move that the
// dead owner had begun ends with it.
func (c *Core) failOverShard(b *batch, id storage.ShardID, observedToken protocol.FencingToken) {
	d := b.mutableShard(id)
	if d.owner == c.incarnation {
		return
	}
	b.log(slog.LevelInfo, "page taken over", "page", string(id), "machines", len(d.machineIDs), "from", string(d.owner), "epoch", uint64(d.epoch+1))
	d.owner = c.incarnation
	d.epoch = max(d.epoch, storage.ShardEpochOf(observedToken)) + 1
	c.endTransferOnFailover(b, id)
}

// transferShard makes another run the owner of a page, with all machines on it. It rests on
// that run's key: a page never goes to a run that has ended.
func (c *Core) transferShard(b *batch, id storage.ShardID, target storage.Incarnation, reason string) {
	d := b.mutableShard(id)
	b.dependOn(storage.ControllerKey(target.Controller()))
	d.owner = target
	d.epoch++
	b.log(slog.LevelInfo, "page handed over", "page", string(id), "machines", len(d.machineIDs), "to", string(target), "why", reason)
}

// handOffMachines moves machines that report to another controller to a page of it. A
// page most of whose machines do so goes over as a whole: one change, where a node
// that has lost its workers has hundreds to give. There is nothing to prepare: what
// this node sends does not reach those workers.
func (c *Core) handOffMachines(b *batch) {
	ids, targetCounts := c.misdirectedMachines()
	for _, id := range sortedKeys(targetCounts) {
		target, total := storage.Incarnation(""), 0
		for _, incarnation := range sortedKeys(targetCounts[id]) {
			if total += targetCounts[id][incarnation]; target == "" || targetCounts[id][incarnation] > targetCounts[id][target] {
				target = incarnation
			}
		}
		shard := c.replica.Shards[id]
		if sharding.ShouldHandOffShard(len(shard.Machines), total, c.countResponsive(shard)) && b.hasCapacity(c.shardWriteOps(id)) && b.shards[id] == nil {
			c.ownership.lastShedAt = c.now.Monotonic
			c.transferShard(b, id, target, sharding.ReasonMisdirectedHeartbeats)
		}
	}
	c.handOffIndividually(b, ids)
}

// misdirectedMachines lists the owned machines whose workers report to another controller and not
// here, and for each page how many report to which.
func (c *Core) misdirectedMachines() (ids []protocol.MachineID, targetCounts map[storage.ShardID]map[storage.Incarnation]int) {
	targetCounts = map[storage.ShardID]map[storage.Incarnation]int{}
	for _, id := range sortedKeys(c.ownership.pendingHandOffs) {
		e := c.replica.Machines[id]
		if e == nil || !c.ownsMachine(&e.Record) {
			delete(c.ownership.pendingHandOffs, id)
			continue
		}
		// What an earlier ownership was told is forgotten first.
		m := c.trackOwnedMachine(e, id)
		if m.handOffTarget == "" || c.since(m.handOffRequestedAt) > c.cfg.HeartbeatInterval+4*time.Second {
			delete(c.ownership.pendingHandOffs, id)
			continue
		}
		if !c.hasMissedHeartbeat(m) || !c.replica.IsAlive(m.handOffTarget) || e.Record.Terminating {
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
func (c *Core) handOffIndividually(b *batch, ids []protocol.MachineID) {
	newShards := map[storage.Incarnation]storage.ShardID{}
	for _, id := range ids {
		m, e := c.machineStates[id], c.replica.Machines[id]
		if d := b.shards[e.Record.Shard]; d != nil && d.owner != c.incarnation || !b.hasCapacity(2) {
			continue
		}
		// A page takes what fits into a value, whatever still begins there.
		if shard := newShards[m.handOffTarget]; shard == "" || b.shards[shard].estimatedSize+c.estimateEncodedSize(len(c.replica.EncodedLine(id))) > c.writeLimits().ValueBytes*3/4 {
			newShards[m.handOffTarget] = b.newShard(m.handOffTarget, e.Record.ShardEpoch+1)
			b.dependOn(storage.ControllerKey(m.handOffTarget.Controller()))
		}
		if shard := newShards[m.handOffTarget]; b.shards[shard].epoch > e.Record.ShardEpoch {
			b.moveMachine(id, shard)
			b.machines[id].Cordoned = false
			c.ownership.lastShedAt = c.now.Monotonic
			b.log(slog.LevelInfo, "machine handed over, its worker reports there", "machine", string(id), "to", string(m.handOffTarget))
		}
	}
}

// countResponsive counts the machines of an own page whose workers have been heard of lately.
func (c *Core) countResponsive(shard *storage.Shard) (n int) {
	for _, id := range shard.Machines {
		if e := c.replica.Machines[id]; e != nil && e.Record.AgentEpoch > 0 && !c.hasMissedHeartbeat(c.trackOwnedMachine(e, id)) {
			n++
		}
	}
	return n
}
