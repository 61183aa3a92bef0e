package ownership

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// Manager decides when this controller takes over or hands off shards, and writes the change.
type Manager struct {
	*step.Context

	agents    *agents.Table
	lease     *commit.Lease
	limits    *commit.WriteLimiter
	overload  *OverloadDetector
	shards    *commit.ShardWriter
	transfers *Transfers

	expiredAt       map[storage.Incarnation]protocol.Instant // since when a run is known to be dead
	pendingHandOffs map[protocol.MachineID]bool              // owned ones whose workers report to another controller
	lastShedAt      protocol.Instant                         // when machines last left because this controller was no good for them
}

func NewManager(ctx *step.Context) *Manager {
	return &Manager{
		Context:         ctx,
		expiredAt:       map[storage.Incarnation]protocol.Instant{},
		pendingHandOffs: map[protocol.MachineID]bool{},
	}
}

// sheddingCooldown is how long a controller that was no good for its machines is given none.
const sheddingCooldown = time.Minute

// canAcceptMachines tells whether this controller may be given machines.
func (o *Manager) canAcceptMachines() bool {
	return o.overload.overloadedSince == 0 && (o.lastShedAt == 0 || o.Since(o.lastShedAt) > sheddingCooldown)
}

// ExpiredSince tells since when this controller has known that an incarnation has ended.
func (o *Manager) ExpiredSince(incarnation storage.Incarnation) (since protocol.Instant, expired bool) {
	since, expired = o.expiredAt[incarnation]
	return since, expired
}

// HasExpiredOwners tells whether shards or jobs belong to incarnations that have ended.
func (o *Manager) HasExpiredOwners() bool { return len(o.expiredAt) > 0 }

// TrackExpiredIncarnations notes since when runs are dead, so that takeovers spread out.
func (o *Manager) TrackExpiredIncarnations() {
	expired := map[storage.Incarnation]bool{}
	recordIfExpired := func(incarnation storage.Incarnation) {
		if o.Replica.IsAlive(incarnation) {
			return // nobody's things are a dead run's too
		}
		expired[incarnation] = true
		if _, ok := o.expiredAt[incarnation]; !ok {
			o.expiredAt[incarnation] = o.Now.Monotonic
		}
	}
	for _, p := range o.Replica.Shards {
		recordIfExpired(p.Owner)
	}
	for _, j := range o.Replica.UnfinishedJobs {
		recordIfExpired(j.Record.Owner)
	}
	for incarnation := range o.expiredAt {
		if !expired[incarnation] {
			delete(o.expiredAt, incarnation)
		}
	}
}

// IsSuccessor tells whether this node is the one to take over what key names.
func (o *Manager) IsSuccessor(key string) bool {
	return o.isSuccessorAmong(key, func(protocol.ControllerID) bool { return true })
}

// isSuccessorAmong tells the same where some controllers come before all others.
func (o *Manager) isSuccessorAmong(key string, isPreferred func(protocol.ControllerID) bool) bool {
	var live, preferred []protocol.ControllerID
	for controller, e := range o.Replica.Controllers {
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
	return sharding.Successor(live, key) == o.Config.ControllerID
}

// isShardSuccessor tells whether this node is the one to take over a page: one that is on its
// way falls to the controller to which it goes.
func (o *Manager) isShardSuccessor(id storage.ShardID) bool {
	if _, transfer := o.Replica.OpenTransferOf(id); transfer != nil && transfer.Record.Phase.IsPending() && o.Replica.IsAlive(transfer.Record.Target) {
		return transfer.Record.Target == o.lease.Incarnation()
	}
	return o.isSuccessorAmong(storage.ShardKey(id), func(controller protocol.ControllerID) bool { return !o.Replica.IsDraining(controller) })
}

// WriteAdoptions puts machines that report here and are on no record on a page, and takes
// over the pages of those whose owner is dead.
func (o *Manager) WriteAdoptions(b *commit.Batch) {
	for _, id := range step.SortedKeys(o.agents.AwaitingOwner()) {
		m := o.agents.Lookup(id)
		if !b.CanAddMachine() {
			break
		}
		e := o.Replica.Machines[id]
		if e == nil {
			if !m.HasAnsweredProbe {
				continue
			}
			b.AddMachine(id, &storage.MachineRecord{AgentEpoch: m.LatestHeartbeat.AgentEpoch, Address: m.LatestHeartbeat.Addr, MachineType: m.LatestHeartbeat.Type, Zone: m.LatestHeartbeat.Zone,
				Spot: m.LatestHeartbeat.Spot, AddedAt: o.Now.Wall}, m.LatestHeartbeat.FencingToken)
			b.Log(slog.LevelInfo, "machine adopted", "machine", string(id), "machine_type", string(m.LatestHeartbeat.Type), "zone", string(m.LatestHeartbeat.Zone))
		} else if expiredAt, expired := o.expiredAt[e.Record.Owner]; expired && b.HasCapacity(o.failoverOps(e.Record.Shard)) &&
			sharding.IsFailoverDue(o.Since(expiredAt), o.isShardSuccessor(e.Record.Shard), true) {
			// Not whoever hears of it first: when all come back, the first one
			// would have the whole fleet.
			o.failOverShard(b, e.Record.Shard, m.LatestHeartbeat.FencingToken)
		}
	}
}

// WriteFailovers takes over the pages of dead runs that fall to this node.
func (o *Manager) WriteFailovers(b *commit.Batch) {
	for _, id := range step.SortedKeys(o.Replica.Shards) {
		shard := o.Replica.Shards[id]
		expiredAt, expired := o.expiredAt[shard.Owner]
		if !expired || b.ChangesShard(id) || !b.HasCapacity(o.failoverOps(id)) || !sharding.IsFailoverDue(o.Since(expiredAt), o.isShardSuccessor(id), false) {
			continue
		}
		o.failOverShard(b, id, 0)
	}
}

// failoverOps is how many changes it takes to take over a page, and to end its move.
func (o *Manager) failoverOps(id storage.ShardID) int {
	ops := o.shards.ShardWriteOps(id)
	if _, transfer := o.Replica.OpenTransferOf(id); transfer != nil && transfer.Record.Phase.IsPending() {
		ops++
	}
	return ops
}

// failOverShard makes this run the owner of a page, with all machines on it. A move that the
// dead owner had begun ends with it.
func (o *Manager) failOverShard(b *commit.Batch, id storage.ShardID, observedToken protocol.FencingToken) {
	d := b.MutableShard(id)
	if d.Owner == o.lease.Incarnation() {
		return
	}
	b.Log(slog.LevelInfo, "shard failover", "shard", string(id), "count", len(d.MachineIDs), "source", string(d.Owner), "epoch", uint64(d.Epoch+1))
	d.Owner = o.lease.Incarnation()
	d.Epoch = max(d.Epoch, storage.ShardEpochOf(observedToken)) + 1
	o.transfers.endTransferOnFailover(b, id)
}

// transferShard makes another run the owner of a page, with all machines on it. It rests on
// that run's key: a page never goes to a run that has ended.
func (o *Manager) transferShard(b *commit.Batch, id storage.ShardID, target storage.Incarnation, reason string) {
	d := b.MutableShard(id)
	b.DependOn(storage.ControllerKey(target.Controller()))
	d.Owner = target
	d.Epoch++
	b.Log(slog.LevelInfo, "shard ownership transferred", "shard", string(id), "count", len(d.MachineIDs), "target", string(target), "reason", reason)
}

// HandOffMachines moves machines that report to another controller to a page of it. A
// page most of whose machines do so goes over as a whole: one change, where a node
// that has lost its workers has hundreds to give. There is nothing to prepare: what
// this node sends does not reach those workers.
func (o *Manager) HandOffMachines(b *commit.Batch) {
	ids, targetCounts := o.misdirectedMachines()
	for _, id := range step.SortedKeys(targetCounts) {
		target, total := storage.Incarnation(""), 0
		for _, incarnation := range step.SortedKeys(targetCounts[id]) {
			if total += targetCounts[id][incarnation]; target == "" || targetCounts[id][incarnation] > targetCounts[id][target] {
				target = incarnation
			}
		}
		shard := o.Replica.Shards[id]
		if sharding.ShouldHandOffShard(len(shard.Machines), total, o.countResponsive(shard)) && b.HasCapacity(o.shards.ShardWriteOps(id)) && !b.ChangesShard(id) {
			o.lastShedAt = o.Now.Monotonic
			o.transferShard(b, id, target, sharding.ReasonMisdirectedHeartbeats)
		}
	}
	o.handOffIndividually(b, ids)
}

// misdirectedMachines lists the owned machines whose workers report to another controller and not
// here, and for each page how many report to which.
func (o *Manager) misdirectedMachines() (ids []protocol.MachineID, targetCounts map[storage.ShardID]map[storage.Incarnation]int) {
	targetCounts = map[storage.ShardID]map[storage.Incarnation]int{}
	for _, id := range step.SortedKeys(o.pendingHandOffs) {
		e := o.Replica.Machines[id]
		if e == nil || !o.lease.OwnsMachine(&e.Record) {
			delete(o.pendingHandOffs, id)
			continue
		}
		// What an earlier ownership was told is forgotten first.
		m := o.agents.TrackOwnedMachine(e, id)
		if m.HandOffTarget == "" || o.Since(m.HandOffRequestedAt) > o.Config.HeartbeatInterval+4*time.Second {
			delete(o.pendingHandOffs, id)
			continue
		}
		if !o.agents.HasMissedHeartbeat(m) || !o.Replica.IsAlive(m.HandOffTarget) || e.Record.Terminating {
			continue
		}
		if targetCounts[e.Record.Shard] == nil {
			targetCounts[e.Record.Shard] = map[storage.Incarnation]int{}
		}
		targetCounts[e.Record.Shard][m.HandOffTarget]++
		ids = append(ids, id)
	}
	return ids, targetCounts
}

// handOffIndividually moves machines to new pages of the controllers that their workers reach.
func (o *Manager) handOffIndividually(b *commit.Batch, ids []protocol.MachineID) {
	newShards := map[storage.Incarnation]storage.ShardID{}
	for _, id := range ids {
		m, e := o.agents.Lookup(id), o.Replica.Machines[id]
		if b.GivesAwayShard(e.Record.Shard) || !b.HasCapacity(2) {
			continue
		}
		// A page takes what fits into a value, whatever still begins there.
		if shard := newShards[m.HandOffTarget]; shard == "" || b.Draft(shard).EstimatedSize+o.shards.EstimateEncodedSize(len(o.Replica.EncodedLine(id))) > o.limits.WriteLimits().ValueBytes*3/4 {
			newShards[m.HandOffTarget] = b.NewShard(m.HandOffTarget, e.Record.ShardEpoch+1)
			b.DependOn(storage.ControllerKey(m.HandOffTarget.Controller()))
		}
		if shard := newShards[m.HandOffTarget]; b.Draft(shard).Epoch > e.Record.ShardEpoch {
			b.MoveMachine(id, shard)
			b.MutableMachine(id).Cordoned = false
			o.lastShedAt = o.Now.Monotonic
			b.Log(slog.LevelInfo, "machine handed off", "machine", string(id), "target", string(m.HandOffTarget))
		}
	}
}

// countResponsive counts the machines of an own page whose workers have been heard of lately.
func (o *Manager) countResponsive(shard *storage.Shard) (n int) {
	for _, id := range shard.Machines {
		if e := o.Replica.Machines[id]; e != nil && e.Record.AgentEpoch > 0 && !o.agents.HasMissedHeartbeat(o.agents.TrackOwnedMachine(e, id)) {
			n++
		}
	}
	return n
}

// RecordHeartbeatsElsewhere marks the owned machines whose workers report to the sender of a
// hint, to be handed over.
func (o *Manager) RecordHeartbeatsElsewhere(h *step.PeerStatus) {
	for _, misdirected := range h.MisdirectedHeartbeats[:min(len(h.MisdirectedHeartbeats), step.MaxMisdirectedPerStatus)] {
		if e := o.Replica.Machines[misdirected.Machine]; e != nil && o.lease.OwnsMachine(&e.Record) && o.Replica.IsAlive(h.Incarnation) {
			m := o.agents.TrackOwnedMachine(e, misdirected.Machine)
			if m.IsOutOfOrder(misdirected.AgentEpoch, misdirected.Sequence) {
				continue // a late copy of a report that has been here
			}
			// What was sent before and comes here late is no sign that the worker reaches
			// this node.
			m.AdvanceTo(misdirected.AgentEpoch, misdirected.Sequence)
			m.HandOffTarget, m.HandOffRequestedAt = h.Incarnation, o.Now.Monotonic
			o.pendingHandOffs[misdirected.Machine] = true
		}
	}
}
