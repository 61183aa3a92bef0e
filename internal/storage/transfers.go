package storage

import (
	"encoding/json"
	"fmt"

	"tillerarch/internal/protocol"
)

// TransferSlotsPerController is how many transfers to one controller are kept on record, open
// and ended. A new transfer replaces an ended one, so that records need no other clean-up.
const TransferSlotsPerController = 4

// TransferSlot names the record of a transfer: "stall-1/0". Whoever proposes a transfer to a
// controller takes a slot of that controller, so that of two proposals made in the same
// instant the revision of the slot lets one through.
type TransferSlot string

// NewTransferSlot names a slot of the controller that is the target.
func NewTransferSlot(target protocol.ControllerID, number int) TransferSlot {
	return TransferSlot(fmt.Sprintf("%s/%d", target, number))
}

// TransferPhase is how far a transfer has come.
type TransferPhase string

// Phases of a transfer, in their order. Only a pending transfer can be aborted.
const (
	TransferProposed  TransferPhase = "proposed"    // requested; nothing has changed
	TransferPrepared  TransferPhase = "prepared"    // nothing new is placed or started on the shard
	TransferCommitted TransferPhase = "transferred" // the shard has its new owner
	TransferClosed    TransferPhase = "closed"      // the shard's agents know the new owner
	TransferAborted   TransferPhase = "aborted"     // the shard has stayed, or got another owner
)

// IsOpen tells whether a controller has yet to act on the transfer.
func (p TransferPhase) IsOpen() bool { return p != TransferClosed && p != TransferAborted }

// IsPending tells whether the shard has not changed its owner yet.
func (p TransferPhase) IsPending() bool { return p == TransferProposed || p == TransferPrepared }

// CanFollow tells whether one write may bring a record from the previous phase to this one.
func (p TransferPhase) CanFollow(previous TransferPhase) bool {
	switch p {
	case TransferProposed:
		return !previous.IsOpen()
	case TransferPrepared:
		return !previous.IsOpen() || previous == TransferProposed // a source that plans needs no proposal
	case TransferCommitted:
		return previous.IsPending()
	case TransferClosed:
		return previous == TransferCommitted
	case TransferAborted:
		return previous.IsPending()
	}
	return false
}

// TransferRecord is the transfer of a shard of machines from one incarnation to another. It
// orders who acts and when; who owns the shard is what the shard's record says, with or
// without a transfer. So a version that does not know these records may ignore them.
type TransferRecord struct {
	Name         string          `json:"n"` // unique; a repeated request has the same one
	Shard        ShardID         `json:"g"`
	Source       Incarnation     `json:"f"`
	Target       Incarnation     `json:"t"`
	Phase        TransferPhase   `json:"p"`
	Reason       string          `json:"w,omitempty"` // why it was proposed or aborted; shown to operators
	MachineCount int             `json:"k,omitempty"`
	ProposedAt   protocol.Millis `json:"b"`
	PreparedAt   protocol.Millis `json:"h,omitempty"`
	CommittedAt  protocol.Millis `json:"s,omitempty"`
	EndedAt      protocol.Millis `json:"e,omitempty"` // closed or aborted
}

// decodeTransfer rejects a record that lacks its shard, an incarnation or a known phase.
func decodeTransfer(data json.RawMessage) (TransferRecord, error) {
	record, err := decodeJSON[TransferRecord](data)
	if err != nil {
		return record, err
	}
	switch record.Phase {
	case TransferProposed, TransferPrepared, TransferCommitted, TransferClosed, TransferAborted:
	default:
		return record, fmt.Errorf("transfer %q: unknown phase %q", record.Name, record.Phase)
	}
	if record.Shard == "" || record.Source == "" || record.Target == "" {
		return record, fmt.Errorf("transfer %q: no shard, source or target", record.Name)
	}
	return record, nil
}

// OpenTransferOf is the open transfer of a shard; the slot is empty if there is none. Of
// several the first counts, and the controllers that act on the others abort them.
func (r *Replica) OpenTransferOf(shard ShardID) (TransferSlot, *Versioned[TransferRecord]) {
	var first TransferSlot
	for slot, entry := range r.Transfers {
		if entry.Record.Shard != shard || !entry.Record.Phase.IsOpen() {
			continue
		}
		if first == "" || transferPrecedes(slot, entry, first, r.Transfers[first]) {
			first = slot
		}
	}
	return first, r.Transfers[first]
}

// transferPrecedes orders open transfers of one shard: by when they were proposed, then by slot.
func transferPrecedes(
	slotA TransferSlot, transferA *Versioned[TransferRecord],
	slotB TransferSlot, transferB *Versioned[TransferRecord],
) bool {
	if transferA.Record.ProposedAt != transferB.Record.ProposedAt {
		return transferA.Record.ProposedAt < transferB.Record.ProposedAt
	}
	return slotA < slotB
}
