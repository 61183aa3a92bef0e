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

// Manager decides when this controller takes over the shards of ended incarnations, adopts machines and
// hands off machines that it cannot serve. It also writes these changes. Transfers is responsible for
// planned transfers.
type Manager struct {
	*step.Context

	agents      *agents.Table
	lease       *commit.Lease
	limits      *commit.WriteLimiter
	overload    *OverloadDetector
	shardWriter *commit.ShardWriter
	transfers   *Transfers

	expiredAt       map[storage.Incarnation]protocol.Instant // when this process first saw that an owner had ended
	pendingHandOffs map[protocol.MachineID]handOffRequest
	lastShedAt      protocol.Instant // when this controller last shed machines, see recordShedding
}

func newManager(ctx *step.Context) *Manager {
	return &Manager{
		Context:         ctx,
		expiredAt:       map[storage.Incarnation]protocol.Instant{},
		pendingHandOffs: map[protocol.MachineID]handOffRequest{},
	}
}

// ExpiredSince returns when this controller found that an incarnation had ended. isExpired reports
// whether the incarnation has ended and still owns shards or jobs.
func (mgr *Manager) ExpiredSince(incarnation storage.Incarnation) (since protocol.Instant, isExpired bool) {
	since, isExpired = mgr.expiredAt[incarnation]
	return since, isExpired
}

// HasExpiredOwners reports whether shards or jobs belong to incarnations that have ended.
func (mgr *Manager) HasExpiredOwners() bool { return len(mgr.expiredAt) > 0 }

// TrackExpiredIncarnations records when this controller first saw that an owner of shards or jobs had
// ended. The delays of a failover count from that time, so that the successors share the work.
func (mgr *Manager) TrackExpiredIncarnations() {
	expired := map[storage.Incarnation]bool{}
	recordIfExpired := func(owner storage.Incarnation) {
		if mgr.Replica.IsAlive(owner) {
			return
		}
		// The empty owner counts as expired, too: a shard without an owner fails over by the same rules.
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

// IsSuccessor reports whether this controller is the one, among all live controllers, that acts on what
// a key identifies: for example a record whose owner has ended, or an instance without a record.
func (mgr *Manager) IsSuccessor(key string) bool {
	return mgr.isSuccessorAmong(key, func(protocol.ControllerID) bool { return true })
}

// isSuccessorAmong reports whether this controller is the successor for a key among the preferred
// controllers, or among all controllers if no preferred controller is alive.
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

// sheddingCooldown is the time for which a controller accepts no shards after it has shed machines.
const sheddingCooldown = time.Minute

// recordShedding records that this controller sheds machines. A controller sheds machines when it hands
// them off because their agents do not reach it, or transfers them because it is overloaded.
func (mgr *Manager) recordShedding() { mgr.lastShedAt = mgr.Now.Monotonic }

// acceptsShards reports whether other controllers may transfer shards to this controller.
func (mgr *Manager) acceptsShards() bool {
	hasShedLately := mgr.lastShedAt != 0 && mgr.Since(mgr.lastShedAt) <= sheddingCooldown
	return !mgr.overload.isFallingBehind() && !hasShedLately
}

// transferShard makes the target the owner of a shard and all its machines. The transaction is
// conditional on the key of the target's controller, so that a shard never passes to an incarnation
// that has ended.
func (mgr *Manager) transferShard(batch *commit.Batch, id storage.ShardID, target storage.Incarnation, reason string) {
	draft := batch.MutableShard(id)
	batch.DependOn(storage.ControllerKey(target.Controller()))
	draft.ChangeOwner(target, draft.Epoch+1)
	batch.Log(slog.LevelInfo, "shard ownership transferred",
		"shard", string(id), "count", len(draft.MachineIDs), "target", string(target), "reason", reason)
}
