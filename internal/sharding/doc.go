// Package sharding decides which controller should own which machines, and how the ownership
// of a shard of machines passes from one controller to another.
//
//   - PlanRebalance proposes transfers that even out the load (rebalance.go).
//   - NextStep tells what a controller has to write for a transfer on record (transfer.go).
//   - Successor and IsFailoverDue tell which controller takes over the shards of a dead
//     incarnation, and when (failover.go).
//   - ShouldHandOffShard tells when a shard follows its agents, whose heartbeats reach another
//     controller only (handoff.go).
//
// The package is pure: it looks at a snapshot of the records and says what is to be written.
// It keeps no state, does no I/O, does not log, reads no clock and draws no random numbers;
// the same snapshot gives the same decision, whatever its order. The coordination layer takes
// the snapshots and writes, in transactions that are conditional on the revisions of what the
// decision was taken from.
package sharding
