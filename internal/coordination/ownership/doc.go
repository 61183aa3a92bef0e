// Package ownership decides which controller owns which shards of machines, and writes the
// changes: failover of ended controllers, adoption of machines that are on no record, hand-off of
// machines whose agents send heartbeats elsewhere, rebalancing and recorded transfers. It also
// exchanges status with the other controllers, as ownership rests on who is alive and able to
// serve more machines.
//
// The decisions are in package sharding, which is pure; this package takes the snapshots that
// those rest on, and writes what they say. It owns the status of the peers, the requests to hand
// machines off, since when incarnations are known to have ended, and the observed progress of
// transfers. It changes no job and assigns no task.
package ownership
