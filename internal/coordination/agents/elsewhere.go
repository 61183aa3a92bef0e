package agents

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Ownership identifies one period in which an incarnation owns a machine, as this process tracks
// it. Two equal values are the same period: what was learned in one holds in no other.
type Ownership struct {
	incarnation storage.Incarnation
	shardEpoch  storage.ShardEpoch
	revision    protocol.Revision
}

// Ownership is the period that Table.TrackOwnedMachine has begun last.
func (m *MachineState) Ownership() Ownership {
	return Ownership{incarnation: m.ownerIncarnation, shardEpoch: m.ownershipEpoch, revision: m.OwnershipRevision}
}

// RecordHeartbeatElsewhere notes the place of a heartbeat that another controller received, and
// tells whether it is newer than all that were received here. What the agent sent here earlier
// and arrives later is then stale: it is no sign that the agent reaches this controller.
func (m *MachineState) RecordHeartbeatElsewhere(agentEpoch protocol.AgentEpoch, sequence protocol.Sequence) (isNewer bool) {
	if agentEpoch < m.LastAgentEpoch || agentEpoch == m.LastAgentEpoch && sequence <= m.LastSequence {
		return false
	}
	m.LastAgentEpoch, m.LastSequence = agentEpoch, sequence
	return true
}
