package bookkeeping

import (
	"encoding/json"
	"fmt"
	"strings"

	"tillerarch/internal/protocol"
)

// movePrefix begins the keys of moves. A version that does not know them passes them
// over: who owns a page is what the page says, with or without a move's record.
const movePrefix = Prefix + "m/"

// MoveSlots is how many moves to one controller are kept on record, open and ended. A
// new move replaces an ended one, so that records need no other clean-up.
const MoveSlots = 4

// MoveSlot names the record of a move: "stall-1/0". Whoever proposes a move to a
// controller takes a slot of that controller, so that of two proposals made in the same
// instant the stamp of the slot lets one through.
type MoveSlot string

// NewMoveSlot names a slot of the controller that takes the machines.
func NewMoveSlot(taker protocol.Member, n int) MoveSlot {
	return MoveSlot(fmt.Sprintf("%s/%d", taker, n))
}

// MoveKey is the key of a move's record.
func MoveKey(slot MoveSlot) string { return movePrefix + string(slot) }

// MovePhase is how far a move has come.
type MovePhase string

// Phases of a move, in their order. A move is aborted from one before the transfer only.
const (
	MoveProposed    MovePhase = "proposed"    // asked for; nothing has changed
	MovePrepared    MovePhase = "prepared"    // nothing new is placed or started on the page
	MoveTransferred MovePhase = "transferred" // the page has its new owner
	MoveClosed      MovePhase = "closed"      // its workers know the new owner
	MoveAborted     MovePhase = "aborted"     // the page has stayed, or went elsewhere
)

// Open tells whether somebody has yet to act on the move.
func (p MovePhase) Open() bool { return p != MoveClosed && p != MoveAborted }

// Pending tells whether the page has not changed its owner yet.
func (p MovePhase) Pending() bool { return p == MoveProposed || p == MovePrepared }

// Follows tells whether a move may come from a phase to this one in one write.
func (p MovePhase) Follows(before MovePhase) bool {
	switch p {
	case MoveProposed:
		return !before.Open()
	case MovePrepared:
		return !before.Open() || before == MoveProposed // a giver needs no proposal to itself
	case MoveTransferred:
		return before.Pending()
	case MoveClosed:
		return before == MoveTransferred
	case MoveAborted:
		return before.Pending()
	}
	return false
}

// MoveRecord is a page of machines on its way from one run to another.
type MoveRecord struct {
	Name     string          `json:"n"` // unique; a request that is repeated has the same
	Page     PageID          `json:"g"`
	From     Run             `json:"f"`
	To       Run             `json:"t"`
	Phase    MovePhase       `json:"p"`
	Why      string          `json:"w,omitempty"` // why it was proposed, or ended
	Machines int             `json:"k,omitempty"`
	Begun    protocol.Millis `json:"b"`           // when it was proposed
	Held     protocol.Millis `json:"h,omitempty"` // when it was prepared
	Passed   protocol.Millis `json:"s,omitempty"` // when it was transferred
	Ended    protocol.Millis `json:"e,omitempty"` // when it was closed or aborted
}

// decodeMove refuses a record that names no page, no runs or no known phase.
func decodeMove(data json.RawMessage) (MoveRecord, error) {
	rec, err := decodeJSON[MoveRecord](data)
	if err != nil {
		return rec, err
	}
	switch rec.Phase {
	case MoveProposed, MovePrepared, MoveTransferred, MoveClosed, MoveAborted:
	default:
		return rec, fmt.Errorf("unknown phase %q", rec.Phase)
	}
	if rec.Page == "" || rec.From == "" || rec.To == "" {
		return rec, fmt.Errorf("move without page, giver or taker")
	}
	return rec, nil
}

// MoveOf gives the open move of a page. Of several the one that came first counts; who
// drives them ends the others.
func (m *Replica) MoveOf(page PageID) (MoveSlot, *Entry[MoveRecord]) {
	var first MoveSlot
	for slot, e := range m.Moves {
		if e.Rec.Page != page || !e.Rec.Phase.Open() {
			continue
		}
		if first == "" || precedes(slot, e, first, m.Moves[first]) {
			first = slot
		}
	}
	return first, m.Moves[first]
}

// precedes orders open moves of one page: by when they began, then by slot.
func precedes(a MoveSlot, x *Entry[MoveRecord], b MoveSlot, y *Entry[MoveRecord]) bool {
	if x.Rec.Begun != y.Rec.Begun {
		return x.Rec.Begun < y.Rec.Begun
	}
	return strings.Compare(string(a), string(b)) < 0
}

// Listing is a page's owner, epoch and machines as they are written.
type Listing struct {
	Owner    Run
	Epoch    Epoch
	Machines []protocol.MachineID
}

// ReadListing reads who owns which machines from a page's written form.
func ReadListing(data json.RawMessage) (Listing, error) {
	form, _, err := decodePage(data)
	if err != nil {
		return Listing{}, err
	}
	l := Listing{Owner: form.Owner, Epoch: form.Epoch}
	for _, line := range form.Machines {
		id, _, _ := strings.Cut(line, " ")
		l.Machines = append(l.Machines, protocol.MachineID(id))
	}
	return l, nil
}
