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

// handOffRequest is the request of another controller to take over an owned machine, because the
// machine's agent sends its heartbeats to that controller.
type handOffRequest struct {
	target      storage.Incarnation
	requestedAt protocol.Instant
	ownership   agents.Ownership // period of ownership in which the request arrived; the request is void in a later one
}

// misdirectedMachine is an owned machine that is to be handed off to the target.
type misdirectedMachine struct {
	id     protocol.MachineID
	entry  *storage.Machine
	target storage.Incarnation
}

// targetCounts holds, for each other incarnation, how many machines of one shard send heartbeats to it.
type targetCounts map[storage.Incarnation]int

// mostFrequent returns the incarnation with the highest count, and the total of all counts. Among
// incarnations with equal counts, it returns the first in alphabetical order.
func (counts targetCounts) mostFrequent() (target storage.Incarnation, total int) {
	for _, incarnation := range step.SortedKeys(counts) {
		total += counts[incarnation]
		if target == "" || counts[incarnation] > counts[target] {
			target = incarnation
		}
	}
	return target, total
}

// handOffMargin is the time, in addition to the heartbeat interval, for which a request stays valid. A
// request is repeated at each heartbeat that reaches another controller, and its message may be delayed.
const handOffMargin = 4 * time.Second

// RecordMisdirectedHeartbeats records hand-off requests for the owned machines whose agents send
// heartbeats to another controller. The status of that controller lists these heartbeats.
func (mgr *Manager) RecordMisdirectedHeartbeats(status *step.PeerStatus) {
	heartbeats := status.MisdirectedHeartbeats
	for _, heartbeat := range heartbeats[:min(len(heartbeats), step.MaxMisdirectedPerStatus)] {
		entry := mgr.Replica.Machines[heartbeat.Machine]
		if !mgr.ownsMachine(entry) || !mgr.Replica.IsAlive(status.Incarnation) {
			continue
		}
		state := mgr.agents.TrackOwnedMachine(entry, heartbeat.Machine)
		if !state.RecordMisdirectedHeartbeat(heartbeat.AgentEpoch, heartbeat.Sequence) {
			continue // a delayed copy of a heartbeat that this controller has received
		}
		mgr.pendingHandOffs[heartbeat.Machine] = handOffRequest{
			target:      status.Incarnation,
			requestedAt: mgr.Now.Monotonic,
			ownership:   state.Ownership(),
		}
	}
}

// ownsMachine reports whether a machine has a record and is owned by this incarnation.
func (mgr *Manager) ownsMachine(entry *storage.Machine) bool {
	return entry != nil && mgr.lease.OwnsMachine(&entry.Record)
}

// HandOffMachines hands off machines to the controllers that their agents send heartbeats to. A shard
// is transferred as a whole if most of its machines are misdirected, because such a transfer is one
// operation and a controller that has lost its agents has hundreds of machines to hand off. The shard
// is not quiesced, because the messages of this controller do not reach those agents.
func (mgr *Manager) HandOffMachines(batch *commit.Batch) {
	machines := mgr.misdirectedMachines()
	countsByShard := map[storage.ShardID]targetCounts{}
	for _, machine := range machines {
		shard := machine.entry.Record.Shard
		if countsByShard[shard] == nil {
			countsByShard[shard] = targetCounts{}
		}
		countsByShard[shard][machine.target]++
	}
	for _, id := range step.SortedKeys(countsByShard) {
		target, misdirected := countsByShard[id].mostFrequent()
		shard := mgr.Replica.Shards[id]
		if sharding.ShouldHandOffShard(len(shard.Machines), misdirected, mgr.countResponsive(shard)) &&
			batch.HasCapacity(mgr.shardWriter.ShardWriteOps(id)) && !batch.ChangesShard(id) {
			mgr.recordShedding()
			mgr.transferShard(batch, id, target, sharding.ReasonMisdirectedHeartbeats)
		}
	}
	mgr.handOffIndividually(batch, machines)
}

// misdirectedMachines returns the owned machines whose agents send heartbeats to another controller and
// not to this one. It deletes the requests that are no longer valid.
func (mgr *Manager) misdirectedMachines() (machines []misdirectedMachine) {
	for _, id := range step.SortedKeys(mgr.pendingHandOffs) {
		entry := mgr.Replica.Machines[id]
		if !mgr.ownsMachine(entry) {
			delete(mgr.pendingHandOffs, id)
			continue
		}
		// TrackOwnedMachine begins a new period of ownership if the shard has had another owner since
		// the last call.
		state := mgr.agents.TrackOwnedMachine(entry, id)
		request := mgr.pendingHandOffs[id]
		if request.ownership != state.Ownership() || mgr.isHandOffOutdated(request) {
			delete(mgr.pendingHandOffs, id)
			continue
		}
		if mgr.agents.HasMissedHeartbeat(state) && mgr.Replica.IsAlive(request.target) && !entry.Record.Terminating {
			machines = append(machines, misdirectedMachine{id: id, entry: entry, target: request.target})
		}
	}
	return machines
}

// isHandOffOutdated reports whether a request is older than the time within which it would have been
// repeated if it were still valid.
func (mgr *Manager) isHandOffOutdated(request handOffRequest) bool {
	return mgr.Since(request.requestedAt) > mgr.Config.HeartbeatInterval+handOffMargin
}

// countResponsive returns the number of machines of an owned shard whose agents send their heartbeats
// to this controller.
func (mgr *Manager) countResponsive(shard *storage.Shard) (responsive int) {
	for _, id := range shard.Machines {
		entry := mgr.Replica.Machines[id]
		if entry == nil || entry.Record.AgentEpoch == 0 {
			continue
		}
		if !mgr.agents.HasMissedHeartbeat(mgr.agents.TrackOwnedMachine(entry, id)) {
			responsive++
		}
	}
	return responsive
}

const (
	// machineHandOffOps is the number of operations that move a machine from one shard to another.
	machineHandOffOps = 2
	// maxNewShardPercent is the percentage of the maximum size of a stored value that a new shard may
	// fill. The rest is left for the tasks that are assigned to the machines later.
	maxNewShardPercent = 75
)

// handOffIndividually moves machines to new shards that belong to the controllers that the machines'
// agents send heartbeats to. It leaves out machines whose shard is handed off as a whole.
func (mgr *Manager) handOffIndividually(batch *commit.Batch, machines []misdirectedMachine) {
	newShards := map[storage.Incarnation]storage.ShardID{}
	for _, machine := range machines {
		record := &machine.entry.Record
		if batch.GivesAwayShard(record.Shard) || !batch.HasCapacity(max(machineHandOffOps, batch.OpsNeeded(machine.id)+1)) {
			continue
		}
		target := machine.target
		if newShards[target] == "" || mgr.wouldOverflow(batch.Draft(newShards[target]), machine.id) {
			newShards[target] = batch.NewShard(target, record.ShardEpoch+1)
			batch.DependOn(storage.ControllerKey(target.Controller()))
		}
		// A fencing token must never decrease, so a machine whose epoch is not below the epoch of the new
		// shard waits for a later batch.
		if batch.Draft(newShards[target]).Epoch > record.ShardEpoch {
			batch.MoveMachine(machine.id, newShards[target])
			batch.MutableMachine(machine.id).Cordoned = false
			mgr.recordShedding()
			batch.Log(slog.LevelInfo, "machine handed off", "machine", string(machine.id), "target", string(target))
		}
	}
}

// wouldOverflow reports whether a new shard with one more machine would exceed maxNewShardPercent of
// the maximum size of a stored value.
func (mgr *Manager) wouldOverflow(draft *commit.ShardDraft, id protocol.MachineID) bool {
	machineSize := mgr.shardWriter.EstimateEncodedSize(len(mgr.Replica.EncodedLine(id)))
	return draft.EstimatedSize+machineSize > mgr.limits.WriteLimits().ValueBytes*maxNewShardPercent/100
}
