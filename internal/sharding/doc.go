// Package sharding decides which controller should own which machines, and how the ownership
// of a shard of machines passes from one controller to another.
//
//   - PlanRebalance plans transfers that even out the load (rebalance.go).
//   - NextStep returns the next write for a transfer that is recorded in the store (transfer.go).
//   - Successor selects the controller that takes over the shards of a dead incarnation, and
//     IsFailoverDue reports whether the time for that has come (failover.go).
//   - ShouldHandOffShard reports whether a shard passes to the controller that its agents send
//     heartbeats to (handoff.go).
//
// The package consists of pure functions: they read a snapshot of the records and return what
// is to be written. They keep no state, do no I/O, do not log, read no clock and draw no random
// numbers. Equal snapshots lead to equal decisions, in whatever order a snapshot lists its
// entries. The coordination layer takes the snapshots and writes the decisions, in transactions
// that are conditional on the revisions of the records that the decision was based on.
package sharding
