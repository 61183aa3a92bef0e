// Package ownership decides which controller owns which shards of machines, and writes the
// changes:
//
//   - failover: the shards of an ended incarnation go to its successors;
//   - adoption: a machine that sends heartbeats and is on no record is added to a shard of this controller;
//   - hand-off: the owner gives up machines whose agents send heartbeats to another controller;
//   - transfer: the owner gives a shard to another controller, to rebalance or when an operator asks.
//
// It also exchanges status with the other controllers, as ownership depends on who is alive and able
// to serve more machines.
//
// The rules are in package sharding, which has no state; this package takes the snapshots that they
// need, and writes what they decide. It owns the status of the peers, the pending hand-off requests,
// since when incarnations are known to have ended, the detection of overload, and the observed
// progress of transfers. It changes shards and transfers only through a commit.Batch; it changes no
// job and assigns no task.
package ownership
