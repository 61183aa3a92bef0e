package admin

import "time"

// ShardingStatusRequest requests the ShardingStatus.
type ShardingStatusRequest struct{}

// ShardingStatus is the ownership of all machines as of one revision of the records.
type ShardingStatus struct {
	Revision uint64 `json:"revision"`
	// Stale means that the responding controller does not reach the store and may lack
	// the store's latest changes.
	Stale            bool              `json:"stale"`
	Controllers      []Controller      `json:"controllers"`
	Shards           []Shard           `json:"pages"`
	Transfers        []Transfer        `json:"moves"`
	PlannedTransfers []PlannedTransfer `json:"plan"`
}

// Controller is the status of a controller. Shards and Machines are the numbers of shards
// and machines that it owns.
type Controller struct {
	ID                string `json:"member"`
	Incarnation       string `json:"run"`
	Shards            int    `json:"pages"`
	Machines          int    `json:"machines"`
	SupportsTransfers bool   `json:"moves"` // the controller takes part in recorded transfers
	Draining          bool   `json:"draining"`
}

// Shard is the status of a shard. Owner is an incarnation of a controller. Machines and Tasks
// are the numbers of machines and tasks of the shard.
type Shard struct {
	ID       string `json:"page"`
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	Machines int    `json:"machines"`
	Tasks    int    `json:"tasks"`
}

// Transfer is the recorded transfer of a shard. The time of a phase that was not reached is
// zero.
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

// PlannedTransfer is a transfer that the responding controller would propose now.
type PlannedTransfer struct {
	Shard  string `json:"page"`
	Source string `json:"from"`
	Target string `json:"to"`
}

// TransferRequest requests the transfer of a shard. The request is accepted once the transfer
// is recorded. Name makes the request idempotent: a repeated request has no further effect.
type TransferRequest struct {
	Name   string `json:"name"`
	Shard  string `json:"page,omitempty"` // the shard to transfer; empty means any shard of Source
	Source string `json:"from,omitempty"` // the controller that transfers a shard away, if Shard is empty
	Target string `json:"to"`
}

// SetDrainingRequest requests that a controller transfers its machines away and receives
// none, or that it takes part again. The request is accepted once it is recorded, and also
// applies to later incarnations of the controller.
type SetDrainingRequest struct {
	Controller string `json:"member"`
	Draining   bool   `json:"drain"`
}

// AbortTransferRequest requests that a transfer is aborted.
type AbortTransferRequest struct {
	Name string `json:"name"`
}
