package admin

import "time"

// ShardingStatusRequest asks who owns which machines.
type ShardingStatusRequest struct{}

// ShardingStatus is who owns which machines, as of one revision of the records.
type ShardingStatus struct {
	Revision uint64 `json:"revision"`
	// Stale says that the answering controller does not reach the store and may lack its
	// latest changes.
	Stale            bool              `json:"stale"`
	Controllers      []Controller      `json:"controllers"`
	Shards           []Shard           `json:"pages"`
	Transfers        []Transfer        `json:"moves"`
	PlannedTransfers []PlannedTransfer `json:"plan"`
}

// Controller is a controller with what it owns. Shards and Machines are counts.
type Controller struct {
	ID                string `json:"member"`
	Incarnation       string `json:"run"`
	Shards            int    `json:"pages"`
	Machines          int    `json:"machines"`
	SupportsTransfers bool   `json:"moves"` // it takes part in recorded transfers
	Draining          bool   `json:"draining"`
}

// Shard is a shard of the fleet with its owner, an incarnation of a controller. Machines
// and Tasks are counts.
type Shard struct {
	ID       string `json:"page"`
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	Machines int    `json:"machines"`
	Tasks    int    `json:"tasks"`
}

// Transfer is a transfer of a shard as it is recorded. A phase that was not reached has
// no time.
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

// PlannedTransfer is a transfer that the controller would propose now.
type PlannedTransfer struct {
	Shard  string `json:"page"`
	Source string `json:"from"`
	Target string `json:"to"`
}

// TransferRequest asks for the transfer of a shard. It is accepted once the transfer is
// recorded. Name makes it idempotent: asked again, it does nothing more.
type TransferRequest struct {
	Name   string `json:"name"`
	Shard  string `json:"page,omitempty"` // which shard, or
	Source string `json:"from,omitempty"` // any shard of this controller
	Target string `json:"to"`
}

// SetDrainingRequest asks for a controller to give its machines away and be given none, or
// to take part again. It is accepted once it is recorded, and holds for later incarnations
// of the controller, too.
type SetDrainingRequest struct {
	Controller string `json:"member"`
	Draining   bool   `json:"drain"`
}

// AbortTransferRequest asks for a transfer to be aborted.
type AbortTransferRequest struct {
	Name string `json:"name"`
}
