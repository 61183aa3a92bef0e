// Package storage defines the state that must survive the end of a controller process: the
// records in the key-value store (the store, for short), their keys and their encodings. It
// also contains the client that reads and writes the records, and the replica, which is a copy
// of all records in memory.
//
//   - keys.go: the keys, and the kind of record under each key.
//   - records.go, shards.go, transfers.go, drains.go: the records.
//   - format.go, machine_line.go, shards_packed.go, task_set.go, task_set_compact.go: the
//     encodings of the records. Every version of the program reads all formats up to its own.
//     Names in JSON and in machine lines never change, because other versions read them.
//   - client.go: requests to the store, and the outcome of each request.
//   - replica.go: lookup of records by key; replica_shards.go: shards and their machines;
//     machine_index.go and completed_task_index.go: indexes for frequent queries.
//
// The package makes no decisions: the coordination layer determines what is written and on
// which conditions. The package does not log, starts no goroutines and reads no clock. Of this
// module it imports only protocol and transport. Only the client does I/O, through the Caller
// that it is given. A Replica must be used by only one goroutine.
package storage
