package step

import (
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Input is an event that a step handles: one of the types in this file, or one of the operators'
// requests that package requests defines.
type Input any

// RequestID identifies the request that a response belongs to.
type RequestID uint64

// Inputs from users, agents, other controllers and the clock.
type (
	// UserInput is a request of a user to submit, query or cancel a job.
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
	// AgentResult is the response of an agent to SendCommands or ProbeAgent.
	AgentResult struct {
		Machine   protocol.MachineID
		Heartbeat *protocol.Heartbeat
		Err       error
	}
	// PeerStatusInput is a status that another controller sent.
	PeerStatusInput struct{ Status PeerStatus }
	// Tick is the periodic input of the clock. It carries no data.
	Tick struct{}
)

// Results of requests to the key-value store.
type (
	// CommitResult is the outcome of a transaction. The core acts on Outcome only. Err is for the
	// operator: the cause of an outcome that is not a regular response. It may be nil.
	CommitResult struct {
		ID      uint64
		Outcome storage.Outcome
		Result  protocol.TransactionResult
		Err     error
	}
	// LoadRecordsResult holds all records. They were read in portions between StartRevision and
	// EndRevision, so they are consistent only once the changes up to EndRevision have been
	// applied to them.
	LoadRecordsResult struct {
		Entries                    []protocol.Entry
		StartRevision, EndRevision protocol.Revision
		Err                        error
	}
	// WatchResult holds the changes after a revision. Err is storage.ErrRevisionTooOld if the
	// store has compacted these changes.
	WatchResult struct {
		AfterRevision protocol.Revision
		Response      *protocol.WatchResponse
		Err           error
	}
	// ReadRevisionResult holds the current revision of the store.
	ReadRevisionResult struct {
		Revision protocol.Revision
		Err      error
	}
	// GrantLeaseResult holds the ID of a new lease.
	GrantLeaseResult struct {
		LeaseID protocol.LeaseID
		Err     error
	}
	// RenewLeaseResult is the response to the renewal of a lease. Err is storage.ErrLeaseExpired
	// if the lease had expired.
	RenewLeaseResult struct {
		LeaseID protocol.LeaseID
		Err     error
	}
)

// Results of requests to the cloud.
type (
	// ListMachineTypesResult holds the machine types and their prices.
	ListMachineTypesResult struct {
		MachineTypes []protocol.MachineType
		Err          error
	}
	// ProvisionMachinesResult is the response to a provision request. NoCapacity reports that the
	// cloud has no capacity at present, Invalid that the cloud will never grant this request.
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
	// ListInstancesResult holds the cloud's list of instances.
	ListInstancesResult struct {
		RequestedAt protocol.Instant
		Instances   []protocol.Instance
		Err         error
	}
)
