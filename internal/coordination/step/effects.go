package step

import (
	"log/slog"
	"time"

	"tillerarch/internal/protocol"
)

// Effect is an action that a step asks its caller to perform: one of the types in this file, or
// one of the responses to operators that package requests defines.
type Effect any

// Effects on users, agents, other controllers and the operator's log.
type (
	// Reply is the response to a request of a user or an agent.
	Reply struct {
		RequestID         RequestID
		Status            int // HTTP status code
		RetryAfterSeconds int
		Body              []byte
	}
	// SendCommands sends commands directly to an agent. An AgentResult reports the response.
	SendCommands struct {
		Machine  protocol.MachineID
		Addr     string
		Commands protocol.Commands
	}
	// ProbeAgent requests a heartbeat from an agent. An AgentResult reports the response.
	ProbeAgent struct {
		Machine protocol.MachineID
		Addr    string
	}
	// SendPeerStatus sends this controller's status to all other controllers.
	SendPeerStatus struct{ Status PeerStatus }
	// Log writes a log line for the operator.
	Log struct {
		Level   slog.Level
		Message string
		Args    []any
	}
)

// Requests to the key-value store.
type (
	// Commit sends a transaction.
	Commit struct {
		ID          uint64
		Transaction protocol.Transaction
	}
	// LoadRecords reads all records.
	LoadRecords struct{}
	// Watch waits for changes after a revision.
	Watch struct{ AfterRevision protocol.Revision }
	// ReadRevision reads the current revision.
	ReadRevision struct{}
	// GrantLease requests a new lease.
	GrantLease struct{ TTL time.Duration }
	// RenewLease renews a lease.
	RenewLease struct{ LeaseID protocol.LeaseID }
)

// Requests to the cloud.
type (
	// ListMachineTypes reads the machine types and their prices.
	ListMachineTypes struct{}
	// ProvisionMachines requests new machines.
	ProvisionMachines struct{ Request protocol.ProvisionRequest }
	// TerminateMachines terminates machines.
	TerminateMachines struct{ Machines []protocol.MachineID }
	// ListInstances reads the list of instances.
	ListInstances struct{}
)

// ErrorResponse is the body of a Reply that refuses a request.
type ErrorResponse struct {
	Error string `json:"error"`
}
