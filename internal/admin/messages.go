// Package admin is the RPC service by which operators' tools talk to a running daemon:
// gRPC on a loopback address of its own, off unless it is configured. A method is a typed
// request, a typed answer and a line in the service's description; whatever a later tool
// needs is added the same way.
//
// Messages are encoded as JSON (codec.go), so that no generated code is needed.
package admin

import "time"

// SharesRequest asks who owns which machines.
type SharesRequest struct{}

// Shares is who owns which machines, as of one revision of the records.
type Shares struct {
	Revision uint64 `json:"revision"`
	// The controller that answers may be behind: it does not reach the state service.
	Stale       bool         `json:"stale"`
	Controllers []Controller `json:"controllers"`
	Pages       []Page       `json:"pages"`
	Moves       []Move       `json:"moves"`
	Plan        []Planned    `json:"plan"`
}

// Controller is a controller with what it owns.
type Controller struct {
	Member   string `json:"member"`
	Run      string `json:"run"`
	Pages    int    `json:"pages"`
	Machines int    `json:"machines"`
	Moves    bool   `json:"moves"` // it takes part in moves on record
	Draining bool   `json:"draining"`
}

// Page is a page of machines with its owner.
type Page struct {
	Page     string `json:"page"`
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	Machines int    `json:"machines"`
	Tasks    int    `json:"tasks"`
}

// Move is a move as it is on record.
type Move struct {
	Name     string    `json:"name"`
	Page     string    `json:"page"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Phase    string    `json:"phase"`
	Why      string    `json:"why,omitempty"`
	Machines int       `json:"machines"`
	Begun    time.Time `json:"begun,omitzero"`
	Prepared time.Time `json:"prepared,omitzero"`
	Passed   time.Time `json:"passed,omitzero"`
	Ended    time.Time `json:"ended,omitzero"`
}

// Planned is a move that the controller would begin now.
type Planned struct {
	Page string `json:"page"`
	From string `json:"from"`
	To   string `json:"to"`
}

// MoveRequest asks for a page to be moved. It is accepted once it is on record; asked again
// under the same name it does nothing more.
type MoveRequest struct {
	Name string `json:"name"`
	Page string `json:"page,omitempty"` // which page; or
	From string `json:"from,omitempty"` // any one of this controller
	To   string `json:"to"`
}

// DrainRequest asks for a controller to give its machines away and be given none, or to
// take part again. It is accepted once it is on record, and holds for later processes, too.
type DrainRequest struct {
	Member string `json:"member"`
	Drain  bool   `json:"drain"`
}

// AbortRequest asks for a move to be aborted.
type AbortRequest struct {
	Name string `json:"name"`
}
