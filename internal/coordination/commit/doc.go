// Package commit connects this controller to the key-value store. It maintains the controller's
// lease and registration, the replica of the records, the write budget and the storage format, and
// it sends the transactions that change records.
//
// The package owns the pending transactions, the lease, the store's health, the progress of the
// replica and the layout of shards. Other packages change records only through a Batch. The
// package makes no decisions about jobs or machines.
package commit
