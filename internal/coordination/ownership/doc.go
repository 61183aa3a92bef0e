// Package ownership decides which controller owns which shards of machines, and writes the changes
// of ownership:
//
//   - Failover: the successors of an ended incarnation take over its shards.
//   - Adoption: a machine that sends heartbeats and has no record is added to a shard of this controller.
//   - Hand-off: the owner passes machines to the controller that their agents send heartbeats to.
//   - Transfer: the owner passes a shard to another controller, to balance the load or at the request
//     of an operator.
//
// The package also exchanges statuses with the other controllers, because ownership depends on which
// controllers are alive and able to serve more machines.
//
// Package sharding contains the rules and has no state. Package ownership takes the snapshots that the
// rules read, and writes the decisions. Its state consists of the statuses of the peers, the pending
// hand-off requests, the times at which incarnations were found to have ended, the detection of
// overload, and the observed progress of transfers. It changes shards and transfers only through a
// commit.Batch. It changes no job and assigns no task.
package ownership
