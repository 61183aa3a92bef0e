package storage

import (
	"encoding/json"
	"fmt"
	"strings"

	"tillerarch/internal/protocol"
)

// TransferSlotsPerController is how many moves to one controller are kept on record, open and ended. A
// new move replaces an ended one, so that records need no other clean-up.
const TransferSlotsPerController = 4

// TransferSlot names the record of a move: "stall-1/0". Whoever proposes a move to a
// controller takes a slot of that controller, so that of two proposals made in the same
// instant the stamp of the slot lets one through.
type TransferSlot string

// NewTransferSlot names a slot of the controller that takes the machines.
func NewTransferSlot(target protocol.ControllerID, n int) TransferSlot {
	return TransferSlot(fmt.Sprintf("%s/%d", target, n))
}

// TransferPhase is how far a move has come.
type TransferPhase string

// Phases of a move, in their order. A move is aborted from one before the transfer only.
const (
	TransferProposed  TransferPhase = "proposed"    // asked for; nothing has changed
	TransferPrepared  TransferPhase = "prepared"    // nothing new is placed or started on the page
	TransferCommitted TransferPhase = "transferred" // the page has its new owner
	TransferClosed    TransferPhase = "closed"      // its workers know the new owner
	TransferAborted   TransferPhase = "aborted"     // the page has stayed, or went elsewhere
)

// IsOpen tells whether somebody has yet to act on the move.
func (p TransferPhase) IsOpen() bool { return p != TransferClosed && p != TransferAborted }

// IsPending tells whether the page has not changed its owner yet.
func (p TransferPhase) IsPending() bool { return p == TransferProposed || p == TransferPrepared }

// CanFollow tells whether a move may come from a phase to this one in one write.
func (p TransferPhase) CanFollow(previous TransferPhase) bool {
	switch p {
	case TransferProposed:
		return !previous.IsOpen()
	case TransferPrepared:
		return !previous.IsOpen() || previous == TransferProposed // a giver needs no proposal to itself
	case TransferCommitted:
		return previous.IsPending()
	case TransferClosed:
		return previous == TransferCommitted
	case TransferAborted:
		return previous.IsPending()
	}
	return false
}

// TransferRecord is a page of machines on its way from one run to another.
type TransferRecord struct {
	Name         string          `json:"n"` // unique; a request that is repeated has the same
	Shard        ShardID         `json:"g"`
	Source       Incarnation     `json:"f"`
	Target       Incarnation     `json:"t"`
	Phase        TransferPhase   `json:"p"`
	Reason       string          `json:"w,omitempty"` // why it was proposed, or ended
	MachineCount int             `json:"k,omitempty"`
	ProposedAt   protocol.Millis `json:"b"`           // when it was proposed
	PreparedAt   protocol.Millis `json:"h,omitempty"` // when it was prepared
	CommittedAt  protocol.Millis `json:"s,omitempty"` // when it was transferred
	EndedAt      protocol.Millis `json:"e,omitempty"` // when it was closed or aborted
}

// decodeTransfer refuses a record that names no page, no runs or no known phase.
func decodeTransfer(data json.RawMessage) (TransferRecord, error) {
	record, err := decodeJSON[TransferRecord](data)
	if err != nil {
		return record, err
	}
	switch record.Phase {
	case TransferProposed, TransferPrepared, TransferCommitted, TransferClosed, TransferAborted:
	default:
		return record, fmt.Errorf("unknown phase %q", record.Phase)
	}
	if record.Shard == "" || record.Source == "" || record.Target == "" {
		return record, fmt.Errorf("move without page, giver or taker")
	}
	return record, nil
}

// OpenTransferOf gives the open move of a page. Of several the one that came first counts; who
// drives them ends the others.
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

// transferPrecedes orders open moves of one page: by when they began, then by slot.
func transferPrecedes(slotA TransferSlot, transferA *Versioned[TransferRecord], slotB TransferSlot, transferB *Versioned[TransferRecord]) bool {
	if transferA.Record.ProposedAt != transferB.Record.ProposedAt {
		return transferA.Record.ProposedAt < transferB.Record.ProposedAt
	}
	return strings.Compare(string(slotA), string(slotB)) < 0
}

// ShardSummary is a page's owner, epoch and machines as they are written.
type ShardSummary struct {
	Owner    Incarnation
	Epoch    ShardEpoch
	Machines []protocol.MachineID
}

// DecodeShardSummary reads who owns which machines from a page's written form.
func DecodeShardSummary(data json.RawMessage) (ShardSummary, error) {
	encoded, _, err := decodeShard(data)
	if err != nil {
		return ShardSummary{}, err
	}
	summary := ShardSummary{Owner: encoded.Owner, Epoch: encoded.Epoch}
	for _, line := range encoded.Machines {
		id, _, _ := strings.Cut(line, " ")
		summary.Machines = append(summary.Machines, protocol.MachineID(id))
	}
	return summary, nil
}
