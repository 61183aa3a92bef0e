// Package admin provides the RPC service through which operators' tools talk to a running
// controller. The service is gRPC on its own loopback address, and is off unless it is
// configured. The package defines the messages and limits of the service, and provides its
// server and its client.
//
// The package does not depend on the control plane: a Backend, which the daemon implements,
// carries out the requests. The package may not import the packages of the control plane
// (coordination, storage, sharding), so that a tool links no more than it needs.
//
// A method consists of a typed request, a typed response, a method of Backend and an entry
// in serviceDesc. A new method is added in the same way. Messages are encoded as JSON
// (codec.go), so that no generated code is needed. The names of methods and JSON fields are
// fixed by the tools that are in use:
//
//	wire                          Go
//	Shares                        GetShardingStatus
//	Move, Abort                   StartTransfer, AbortTransfer
//	Drain                         SetDraining
//	member                        Controller.ID, SetDrainingRequest.Controller
//	run                           Incarnation
//	page                          Shard.ID, Shard
//	pages                         Shards
//	moves (of a status)           Transfers
//	moves (of a controller)       SupportsTransfers
//	plan                          PlannedTransfers
//	from, to                      Source, Target
//	begun, prepared, passed       ProposedAt, PreparedAt, CommittedAt
//	ended, why                    EndedAt, Reason
//	drain                         SetDrainingRequest.Draining
//
// Goroutines: only those of gRPC. The server's goroutines end with Stop or GracefulStop of
// the *grpc.Server, the client's with Close.
package admin
