// Package admin is the RPC service by which operators' tools talk to a running
// controller: gRPC on a loopback address of its own, off unless it is configured. It owns
// the service's messages, its limits, the server and the client.
//
// It knows nothing of the core: a Backend, which the daemon implements, carries the
// requests out. It may not import the packages of the control plane (coordination,
// storage, sharding), so that a tool links no more than it needs.
//
// A method is a typed request, a typed response, a method of Backend and a line in the
// service's description; another one is added the same way. Messages are encoded as JSON
// (codec.go), so that no generated code is needed. Method names and JSON fields are fixed
// by the tools that are in use:
//
//	wire                          here
//	Shares                        GetShardingStatus
//	Move, Abort                   StartTransfer, AbortTransfer
//	Drain                         SetDraining
//	member, run                   Controller, Incarnation
//	page, pages                   Shard, Shards
//	moves, plan                   Transfers or SupportsTransfers, PlannedTransfers
//	from, to                      Source, Target
//	begun, prepared, passed       ProposedAt, PreparedAt, CommittedAt
//	ended, why                    EndedAt, Reason
//
// Goroutines: gRPC's own. The server's end with Stop or GracefulStop of the *grpc.Server,
// the client's with Close.
package admin
