package ownership

import (
	"log/slog"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// WriteAdoptions finds an owner for the machines whose heartbeats wait here for one: those that are
// on no record are added, and the shards of the others are taken over when that is due.
func (mgr *Manager) WriteAdoptions(b *commit.Batch) {
	for _, id := range step.SortedKeys(mgr.agents.AwaitingOwner()) {
		state := mgr.agents.Lookup(id)
		if !b.CanAddMachine() {
			break
		}
		entry := mgr.Replica.Machines[id]
		if entry == nil {
			mgr.adoptMachine(b, id, state)
		} else if mgr.shouldFailOver(b, entry.Record.Shard, true) {
			// Not by whoever hears from it first: after an outage of all controllers, the first
			// to come back would take over the whole fleet.
			mgr.failOverShard(b, entry.Record.Shard, state.LatestHeartbeat.FencingToken)
		}
	}
}

// adoptMachine adds a machine that is on no record. Its agent must have answered a probe: the
// heartbeat may be a late copy that outlived its machine.
func (mgr *Manager) adoptMachine(b *commit.Batch, id protocol.MachineID, state *agents.MachineState) {
	if !state.HasAnsweredProbe {
		return
	}
	heartbeat := state.LatestHeartbeat
	record := &storage.MachineRecord{
		AgentEpoch:  heartbeat.AgentEpoch,
		Address:     heartbeat.Addr,
		MachineType: heartbeat.Type,
		Zone:        heartbeat.Zone,
		Spot:        heartbeat.Spot,
		AddedAt:     mgr.Now.Wall,
	}
	b.AddMachine(id, record, heartbeat.FencingToken)
	b.Log(slog.LevelInfo, "machine adopted",
		"machine", string(id), "machine_type", string(heartbeat.Type), "zone", string(heartbeat.Zone))
}
