package storage

import (
	"encoding/json"
	"fmt"

	"tillerarch/internal/protocol"
)

// TransferSlotsPerController is the number of transfers to one controller, open or ended, that
// the store keeps. A new transfer replaces an ended one, so that transfer records need no other
// clean-up.
const TransferSlotsPerController = 4

// TransferSlot is the name of a place for a transfer's record, such as "stall-1/0". A transfer
// to a controller is proposed in a slot of that controller. If two transfers are proposed in the
// same slot at the same time, the store accepts only one of them, because the other requires an
// outdated revision of the slot.
type TransferSlot string

// NewTransferSlot returns the name of a slot of the target of a transfer. Slots are numbered from
// 0 to TransferSlotsPerController - 1.
func NewTransferSlot(target protocol.ControllerID, number int) TransferSlot {
	return TransferSlot(fmt.Sprintf("%s/%d", target, number))
}

// TransferPhase is the phase that a transfer has reached.
type TransferPhase string

// Phases of a transfer, in their order. Only a pending transfer can be aborted.
const (
	TransferProposed  TransferPhase = "proposed"    // the transfer is requested; nothing has changed
	TransferPrepared  TransferPhase = "prepared"    // no new task is placed or started on the shard
	TransferCommitted TransferPhase = "transferred" // the shard has its new owner
	TransferClosed    TransferPhase = "closed"      // the shard's agents know the new owner
	TransferAborted   TransferPhase = "aborted"     // the shard kept its owner or got another one
)

// IsOpen reports whether a controller still has to act on the transfer.
func (p TransferPhase) IsOpen() bool { return p != TransferClosed && p != TransferAborted }

// IsPending reports whether the transfer has neither ended nor changed the shard's owner.
func (p TransferPhase) IsPending() bool { return p == TransferProposed || p == TransferPrepared }

// CanFollow reports whether one write may change a slot's record from the previous phase to p.
func (p TransferPhase) CanFollow(previous TransferPhase) bool {
	switch p {
	case TransferProposed:
		return !previous.IsOpen()
	case TransferPrepared:
		return !previous.IsOpen() || previous == TransferProposed // a source needs no proposal for its own plan
	case TransferCommitted:
		return previous.IsPending()
	case TransferClosed:
		return previous == TransferCommitted
	case TransferAborted:
		return previous.IsPending()
	}
	return false
}

// TransferRecord describes the transfer of a shard of machines from one incarnation to another.
// It determines which controller acts when. The owner of the shard is always the one in the
// shard's record, with or without a transfer. A version that does not know transfer records may
// therefore ignore them.
type TransferRecord struct {
	Name         string          `json:"n"` // unique; a repeated request has the same name
	Shard        ShardID         `json:"g"`
	Source       Incarnation     `json:"f"`
	Target       Incarnation     `json:"t"`
	Phase        TransferPhase   `json:"p"`
	Reason       string          `json:"w,omitempty"` // why the transfer was proposed or aborted; shown to operators
	MachineCount int             `json:"k,omitempty"` // machines of the shard
	ProposedAt   protocol.Millis `json:"b"`
	PreparedAt   protocol.Millis `json:"h,omitempty"`
	CommittedAt  protocol.Millis `json:"s,omitempty"`
	EndedAt      protocol.Millis `json:"e,omitempty"` // when the transfer was closed or aborted
}

// decodeTransfer decodes a transfer record. It returns an error for a record without a shard,
// source, target or known phase.
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
		return record, fmt.Errorf("transfer %q: shard, source or target is missing", record.Name)
	}
	return record, nil
}

// OpenTransferOf returns the open transfer of a shard and its slot, or an empty slot and nil if
// there is none. If a shard has several open transfers, the first one takes effect, and the
// controllers that act on the others abort them.
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

// transferPrecedes reports whether open transfer A of a shard precedes open transfer B. The
// earlier proposal comes first; of two proposals at the same time, the lower slot.
func transferPrecedes(
	slotA TransferSlot, transferA *Versioned[TransferRecord],
	slotB TransferSlot, transferB *Versioned[TransferRecord],
) bool {
	if transferA.Record.ProposedAt != transferB.Record.ProposedAt {
		return transferA.Record.ProposedAt < transferB.Record.ProposedAt
	}
	return slotA < slotB
}
