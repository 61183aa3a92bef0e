package ownership

import (
	"log/slog"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// WriteAdoptions handles the machines without a living owner whose heartbeats are deferred here: those
// that are on no record are adopted, and the shards of the others fail over when that is due.
func (mgr *Manager) WriteAdoptions(batch *commit.Batch) {
	for _, id := range step.SortedKeys(mgr.agents.AwaitingOwner()) {
		state := mgr.agents.Lookup(id)
		if !batch.CanAddMachine() {
			break
		}
		entry := mgr.Replica.Machines[id]
		if entry == nil {
			mgr.adoptMachine(batch, id, state)
		} else if mgr.shouldFailOver(batch, entry.Record.Shard, true) {
			// The rules of failover hold here, too: if the first controller to receive a heartbeat took
			// the shard, the first to restart after an outage of all would own the whole fleet.
			mgr.failOverShard(batch, entry.Record.Shard, state.LatestHeartbeat.FencingToken)
		}
	}
}

// adoptMachine adds a machine that is on no record. Its agent must have answered a probe: the
// heartbeat may be a late copy that outlived its machine.
func (mgr *Manager) adoptMachine(batch *commit.Batch, id protocol.MachineID, state *agents.MachineState) {
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
	batch.AddMachine(id, record, heartbeat.FencingToken)
	batch.Log(slog.LevelInfo, "machine adopted",
		"machine", string(id), "machine_type", string(heartbeat.Type), "zone", string(heartbeat.Zone))
}
