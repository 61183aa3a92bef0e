// Package admin is the RPC service by which operators' tools talk to a running daemon:
// gRPC on a loopback address of its own, off unless it is configured. A method is a typed
// request, a typed answer and a line in the service's description; whatever a later tool
// needs is added the same way.
//
// Messages are encoded as JSON (codec.go), so that no generated code is needed.
package admin

import "time"

// ShardingStatusRequest asks who owns which machines.
type ShardingStatusRequest struct{}

// ShardingStatus is who owns which machines, as of one revision of the records.
type ShardingStatus struct {
	Revision uint64 `json:"revision"`
	// The controller that answers may be behind: it does not reach the state service.
	Stale            bool              `json:"stale"`
	Controllers      []Controller      `json:"controllers"`
	Shards           []Shard           `json:"pages"`
	Transfers        []Transfer        `json:"moves"`
	PlannedTransfers []PlannedTransfer `json:"plan"`
}

// Controller is a controller with what it owns.
type Controller struct {
	ID                string `json:"member"`
	Incarnation       string `json:"run"`
	Shards            int    `json:"pages"`
	Machines          int    `json:"machines"`
	SupportsTransfers bool   `json:"moves"` // it takes part in moves on record
	Draining          bool   `json:"draining"`
}

// Shard is a page of machines with its owner.
type Shard struct {
	ID       string `json:"page"`
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	Machines int    `json:"machines"`
	Tasks    int    `json:"tasks"`
}

// Transfer is a move as it is on record.
type Transfer struct {
	Name        string    `json:"name"`
	Shard       string    `json:"page"`
	Source      string    `json:"from"`
	Target      string    `json:"to"`
	Phase       string    `json:"phase"`
	Reason      string    `json:"why,omitempty"`
	Machines    int       `json:"machines"`
	ProposedAt  time.Time `json:"begun,omitzero"`
	PreparedAt  time.Time `json:"prepared,omitzero"`
	CommittedAt time.Time `json:"passed,omitzero"`
	EndedAt     time.Time `json:"ended,omitzero"`
}

// PlannedTransfer is a move that the controller would begin now.
type PlannedTransfer struct {
	Shard  string `json:"page"`
	Source string `json:"from"`
	Target string `json:"to"`
}

// TransferRequest asks for a page to be moved. It is accepted once it is on record; asked again
// under the same name it does nothing more.
type TransferRequest struct {
	Name   string `json:"name"`
	Shard  string `json:"page,omitempty"` // which page; or
	Source string `json:"from,omitempty"` // any one of this controller
	Target string `json:"to"`
}

// SetDrainingRequest asks for a controller to give its machines away and be given none, or to
// take part again. It is accepted once it is on record, and holds for later processes, too.
type SetDrainingRequest struct {
	Controller string `json:"member"`
	Draining   bool   `json:"drain"`
}

// AbortTransferRequest asks for a move to be aborted.
type AbortTransferRequest struct {
	Name string `json:"name"`
}
