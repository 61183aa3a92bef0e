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

// handOffRequest is a request of another controller for an owned machine whose agent sends heartbeats there.
type handOffRequest struct {
	target      storage.Incarnation
	requestedAt protocol.Instant
	ownership   agents.Ownership // under which it was requested; it is void under a later one
}

// misdirectedMachine is an owned machine that is to be handed off.
type misdirectedMachine struct {
	id     protocol.MachineID
	entry  *storage.Machine
	target storage.Incarnation
}

// targetCounts is how many machines of a shard send heartbeats to each other incarnation.
type targetCounts map[storage.Incarnation]int

// mostFrequent gives the incarnation that most machines name, the first in order among equals, and
// how many machines name any.
func (counts targetCounts) mostFrequent() (target storage.Incarnation, total int) {
	for _, incarnation := range step.SortedKeys(counts) {
		total += counts[incarnation]
		if target == "" || counts[incarnation] > counts[target] {
			target = incarnation
		}
	}
	return target, total
}

// handOffMargin is how much longer than a heartbeat interval a request is valid: it is repeated at
// each heartbeat that arrives elsewhere, and its message may be delayed.
const handOffMargin = 4 * time.Second

// RecordMisdirectedHeartbeats records the owned machines whose agents send heartbeats to the sender of
// a status, to be handed off.
func (mgr *Manager) RecordMisdirectedHeartbeats(status *step.PeerStatus) {
	heartbeats := status.MisdirectedHeartbeats
	for _, heartbeat := range heartbeats[:min(len(heartbeats), step.MaxMisdirectedPerStatus)] {
		entry := mgr.Replica.Machines[heartbeat.Machine]
		if !mgr.ownsMachine(entry) || !mgr.Replica.IsAlive(status.Incarnation) {
			continue
		}
		state := mgr.agents.TrackOwnedMachine(entry, heartbeat.Machine)
		if !state.RecordMisdirectedHeartbeat(heartbeat.AgentEpoch, heartbeat.Sequence) {
			continue // a late copy of a heartbeat that was received here
		}
		mgr.pendingHandOffs[heartbeat.Machine] = handOffRequest{
			target:      status.Incarnation,
			requestedAt: mgr.Now.Monotonic,
			ownership:   state.Ownership(),
		}
	}
}

// ownsMachine tells whether a machine is on record and owned by this incarnation.
func (mgr *Manager) ownsMachine(entry *storage.Machine) bool {
	return entry != nil && mgr.lease.OwnsMachine(&entry.Record)
}

// HandOffMachines hands machines off to the controllers that their agents send heartbeats to. A shard
// most of whose machines are misdirected is transferred whole: that is one operation, and a controller
// that has lost its agents has hundreds of machines to hand off. There is nothing to quiesce, as what this
// controller sends does not reach those agents.
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

// misdirectedMachines lists the owned machines whose agents send heartbeats to another controller
// and not here, and drops the requests that are no longer valid.
func (mgr *Manager) misdirectedMachines() (machines []misdirectedMachine) {
	for _, id := range step.SortedKeys(mgr.pendingHandOffs) {
		entry := mgr.Replica.Machines[id]
		if !mgr.ownsMachine(entry) {
			delete(mgr.pendingHandOffs, id)
			continue
		}
		// This begins a new ownership if the shard has had another owner since the last call.
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

// isHandOffOutdated tells whether a request would have been repeated by now if it were still valid.
func (mgr *Manager) isHandOffOutdated(request handOffRequest) bool {
	return mgr.Since(request.requestedAt) > mgr.Config.HeartbeatInterval+handOffMargin
}

// countResponsive counts the machines of an owned shard whose agents send their heartbeats here.
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
	// machineHandOffOps is how many operations moving a machine between shards takes.
	machineHandOffOps = 2
	// maxNewShardPercent is the part of a stored value, in hundredths, that a new shard may fill: the
	// rest is for the tasks that are assigned to its machines later.
	maxNewShardPercent = 75
)

// handOffIndividually moves machines to new shards of the controllers that their agents reach.
func (mgr *Manager) handOffIndividually(batch *commit.Batch, machines []misdirectedMachine) {
	newShards := map[storage.Incarnation]storage.ShardID{}
	for _, machine := range machines {
		record := &machine.entry.Record
		if batch.GivesAwayShard(record.Shard) || !batch.HasCapacity(machineHandOffOps) {
			continue
		}
		target := machine.target
		if newShards[target] == "" || mgr.wouldOverflow(batch.Draft(newShards[target]), machine.id) {
			newShards[target] = batch.NewShard(target, record.ShardEpoch+1)
			batch.DependOn(storage.ControllerKey(target.Controller()))
		}
		// A fencing token never falls: a machine with as high an epoch waits for a later batch.
		if batch.Draft(newShards[target]).Epoch > record.ShardEpoch {
			batch.MoveMachine(machine.id, newShards[target])
			batch.MutableMachine(machine.id).Cordoned = false
			mgr.recordShedding()
			batch.Log(slog.LevelInfo, "machine handed off", "machine", string(machine.id), "target", string(target))
		}
	}
}

// wouldOverflow tells whether a new shard would fill too much of a stored value with a machine more.
func (mgr *Manager) wouldOverflow(draft *commit.ShardDraft, id protocol.MachineID) bool {
	machineSize := mgr.shardWriter.EstimateEncodedSize(len(mgr.Replica.EncodedLine(id)))
	return draft.EstimatedSize+machineSize > mgr.limits.WriteLimits().ValueBytes*maxNewShardPercent/100
}
