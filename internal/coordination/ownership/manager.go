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

// Manager decides when this controller takes over the shards of ended ones, adopts machines, and hands
// off machines that it cannot serve, and writes the change. Planned transfers are the part of Transfers.
type Manager struct {
	*step.Context

	agents      *agents.Table
	lease       *commit.Lease
	limits      *commit.WriteLimiter
	overload    *OverloadDetector
	shardWriter *commit.ShardWriter
	transfers   *Transfers

	expiredAt       map[storage.Incarnation]protocol.Instant // when this process first saw that it had ended
	pendingHandOffs map[protocol.MachineID]handOffRequest
	lastShedAt      protocol.Instant // when this controller last shed machines (recordShedding)
}

func newManager(ctx *step.Context) *Manager {
	return &Manager{
		Context:         ctx,
		expiredAt:       map[storage.Incarnation]protocol.Instant{},
		pendingHandOffs: map[protocol.MachineID]handOffRequest{},
	}
}

// ExpiredSince tells since when this controller has known that an incarnation has ended.
func (mgr *Manager) ExpiredSince(incarnation storage.Incarnation) (since protocol.Instant, isExpired bool) {
	since, isExpired = mgr.expiredAt[incarnation]
	return since, isExpired
}

// HasExpiredOwners tells whether shards or jobs belong to incarnations that have ended.
func (mgr *Manager) HasExpiredOwners() bool { return len(mgr.expiredAt) > 0 }

// TrackExpiredIncarnations records when each owner of shards or jobs was first seen to have ended.
// The delays of a failover count from then, so that the successors share the work.
func (mgr *Manager) TrackExpiredIncarnations() {
	expired := map[storage.Incarnation]bool{}
	recordIfExpired := func(owner storage.Incarnation) {
		if mgr.Replica.IsAlive(owner) {
			return
		}
		// That includes the empty owner: a shard without one fails over by the same rules.
		expired[owner] = true
		if _, isTracked := mgr.expiredAt[owner]; !isTracked {
			mgr.expiredAt[owner] = mgr.Now.Monotonic
		}
	}
	for _, shard := range mgr.Replica.Shards {
		recordIfExpired(shard.Owner)
	}
	for _, job := range mgr.Replica.UnfinishedJobs {
		recordIfExpired(job.Record.Owner)
	}
	for incarnation := range mgr.expiredAt {
		if !expired[incarnation] {
			delete(mgr.expiredAt, incarnation)
		}
	}
}

// IsSuccessor tells whether this controller is the one to take over what a key names.
func (mgr *Manager) IsSuccessor(key string) bool {
	return mgr.isSuccessorAmong(key, func(protocol.ControllerID) bool { return true })
}

// isSuccessorAmong tells the same where only preferred controllers can be successors, as long as one of
// them is alive.
func (mgr *Manager) isSuccessorAmong(key string, isPreferred func(protocol.ControllerID) bool) bool {
	var alive, preferred []protocol.ControllerID
	for controller, entry := range mgr.Replica.Controllers {
		if entry.Record.Incarnation == "" {
			continue
		}
		alive = append(alive, controller)
		if isPreferred(controller) {
			preferred = append(preferred, controller)
		}
	}
	if len(preferred) > 0 {
		alive = preferred
	}
	return sharding.Successor(alive, key) == mgr.Config.ControllerID
}

// sheddingCooldown is how long a controller accepts no shards after it has shed machines.
const sheddingCooldown = time.Minute

// recordShedding records that this controller sheds machines: it hands them off or transfers them as it
// cannot serve them, because their agents do not reach it or it is overloaded.
func (mgr *Manager) recordShedding() { mgr.lastShedAt = mgr.Now.Monotonic }

// acceptsShards tells whether other controllers may transfer shards to this one.
func (mgr *Manager) acceptsShards() bool {
	hasShedLately := mgr.lastShedAt != 0 && mgr.Since(mgr.lastShedAt) <= sheddingCooldown
	return !mgr.overload.isFallingBehind() && !hasShedLately
}

// transferShard makes another incarnation the owner of a shard, with all machines in it. The
// transaction depends on that incarnation's key: a shard never goes to one that has ended.
func (mgr *Manager) transferShard(batch *commit.Batch, id storage.ShardID, target storage.Incarnation, reason string) {
	draft := batch.MutableShard(id)
	batch.DependOn(storage.ControllerKey(target.Controller()))
	draft.ChangeOwner(target, draft.Epoch+1)
	batch.Log(slog.LevelInfo, "shard ownership transferred",
		"shard", string(id), "count", len(draft.MachineIDs), "target", string(target), "reason", reason)
}
