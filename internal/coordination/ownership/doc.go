// Package ownership decides which controller owns which shards of machines: failover,
// hand-off of machines that report elsewhere, rebalancing and recorded transfers. It also
// exchanges status with the other controllers, as ownership rests on who is alive and fit.
//
// The pure decisions are in package sharding; this package takes the snapshots and writes the
// changes. It owns the status of the peers, the expired incarnations and the progress of
// transfers.
package ownership
