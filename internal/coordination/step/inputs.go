package step

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Input is one of the types in this file, or one of the operators' requests that the package
// requests defines.
type Input any

// RequestID ties the response to a request.
type RequestID uint64

// Inputs from users, agents, other controllers and the clock.
type (
	// UserInput is a request on the users' path.
	UserInput struct {
		RequestID RequestID
		Type      protocol.RequestType
		Job       protocol.JobID
		Body      []byte
	}
	// HeartbeatInput is a heartbeat that an agent sent to this controller.
	HeartbeatInput struct {
		RequestID RequestID
		Body      []byte
	}
	// AgentResult is the response to commands or a probe that were sent to an agent.
	AgentResult struct {
		Machine   protocol.MachineID
		Heartbeat *protocol.Heartbeat
		Err       error
	}
	// PeerStatusInput is the status that another controller sent.
	PeerStatusInput struct{ Status PeerStatus }
	// Tick lets time pass.
	Tick struct{}
)

// Results of requests to the key-value store.
type (
	// CommitResult is the outcome of a transaction. The core acts on Outcome; Err is the cause of
	// one that is not a regular response, for the operator, and may be nil.
	CommitResult struct {
		ID      uint64
		Outcome storage.Outcome
		Result  protocol.TransactionResult
		Err     error
	}
	// LoadRecordsResult has all records. They were read in portions between two revisions, so
	// they are consistent once the changes up to EndRevision have been applied too.
	LoadRecordsResult struct {
		Entries                    []protocol.Entry
		StartRevision, EndRevision protocol.Revision
		Err                        error
	}
	// WatchResult has the changes behind a revision. Err is storage.ErrRevisionTooOld if the
	// store has compacted them.
	WatchResult struct {
		AfterRevision protocol.Revision
		Response      *protocol.WatchResponse
		Err           error
	}
	// ReadRevisionResult is the current revision of the store.
	ReadRevisionResult struct {
		Revision protocol.Revision
		Err      error
	}
	// GrantLeaseResult is a new lease.
	GrantLeaseResult struct {
		LeaseID protocol.LeaseID
		Err     error
	}
	// RenewLeaseResult is a renewed lease. Err is storage.ErrLeaseExpired if it had expired.
	RenewLeaseResult struct {
		LeaseID protocol.LeaseID
		Err     error
	}
)

// Results of requests to the cloud.
type (
	// ListMachineTypesResult has the machine types and their prices.
	ListMachineTypesResult struct {
		MachineTypes []protocol.MachineType
		Err          error
	}
	// ProvisionMachinesResult is the response to a provision request. NoCapacity tells that the
	// cloud has none at present, Invalid that it will never grant this request.
	ProvisionMachinesResult struct {
		Request    protocol.ProvisionRequest
		Machines   []protocol.MachineID
		NoCapacity bool
		Invalid    bool
		Err        error
	}
	// TerminateMachinesResult is the response to a request to terminate machines.
	TerminateMachinesResult struct {
		Machines []protocol.MachineID
		Err      error
	}
	// ListInstancesResult is the cloud's list of instances.
	ListInstancesResult struct {
		RequestedAt protocol.Instant
		Instances   []protocol.Instance
		Err         error
	}
)
