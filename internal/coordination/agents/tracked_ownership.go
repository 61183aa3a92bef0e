package agents

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// trackedOwnership identifies the ownership under which the rest of a machine's state was collected.
type trackedOwnership struct {
	ownerIncarnation storage.Incarnation
	ownershipEpoch   storage.ShardEpoch

	// ownershipRevision is the revision that the replica must have reached before a heartbeat is
	// answered. An older replica may lack writes of the previous owner, such as requests to cancel a job.
	ownershipRevision protocol.Revision
}

// matchesRecord reports whether o is the recorded ownership of the machine.
func (o *trackedOwnership) matchesRecord(record *storage.MachineRecord) bool {
	return o.ownerIncarnation == record.Owner && o.ownershipEpoch == record.ShardEpoch
}

// Ownership identifies one period in which an incarnation owns a machine, as this process tracks the
// period. Equal values identify the same period. Observations of one period are not valid in another.
type Ownership struct {
	tracked trackedOwnership
}

// Ownership returns the period that Table.TrackOwnedMachine began last.
func (m *MachineState) Ownership() Ownership { return Ownership{tracked: m.trackedOwnership} }
