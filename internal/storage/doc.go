// Package storage owns what must outlive a controller process: the records in the key-value
// store (short: the store), their keys and encodings, the client that reads and writes them,
// and the replica, a copy of all records in memory.
//
//   - keys.go: which keys there are, and which kind of record each holds.
//   - records.go, shards.go, transfers.go, drains.go: the records.
//   - format.go, machine_line.go, shards_packed.go, taskset.go, taskset_compact.go: their
//     encodings. Every version reads all formats up to its own; the names in JSON and in the
//     machine lines are read by other versions and never change.
//   - client.go: requests to the store, with the outcome of each.
//   - replica.go: records by key; replica_shards.go: shards and their machines;
//     machine_index.go and completed_index.go: what is asked of them often.
//
// The package decides nothing: what is written, and on which conditions, is the business of
// the coordination layer. It does not log, starts no goroutines, reads no clock, and imports
// no package of this module but protocol and transport. Only the client does I/O, through the
// Caller it is given; a Replica belongs to one goroutine.
package storage
