package agents

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// trackedOwnership is the ownership under which the rest of a machine's state was gathered.
type trackedOwnership struct {
	ownerIncarnation storage.Incarnation
	ownershipEpoch   storage.ShardEpoch

	// ownershipRevision is what the replica must have reached before a heartbeat is answered:
	// an older one lacks what the previous owner wrote, such as requests to cancel a job.
	ownershipRevision protocol.Revision
}

// matchesRecord tells whether this is the ownership on record.
func (o *trackedOwnership) matchesRecord(record *storage.MachineRecord) bool {
	return o.ownerIncarnation == record.Owner && o.ownershipEpoch == record.ShardEpoch
}

// Ownership identifies one period in which an incarnation owns a machine, as this process tracks
// it. Two equal values are the same period: what was learned in one holds in no other.
type Ownership struct {
	tracked trackedOwnership
}

// Ownership is the period that Table.TrackOwnedMachine has begun last.
func (m *MachineState) Ownership() Ownership { return Ownership{tracked: m.trackedOwnership} }
