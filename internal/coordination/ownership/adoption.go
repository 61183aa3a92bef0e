package ownership

import (
	"log/slog"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// WriteAdoptions handles the machines without a live owner whose heartbeats this controller has
// deferred. It adopts machines that have no record, and takes over the shards of the other machines
// when a failover is due.
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
			// The delays of a failover apply here, too. If the first controller that receives a heartbeat
			// took over the shard, the first controller to restart after an outage of all controllers
			// would own all machines.
			mgr.failOverShard(batch, entry.Record.Shard, state.LatestHeartbeat.FencingToken)
		}
	}
}

// adoptMachine adds a machine that has no record, provided that its agent has answered a probe. Without
// an answer, the heartbeat may be a delayed copy from a machine that was terminated.
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
