// Package commit keeps this controller in touch with the key-value store: its lease and
// registration, the replica of the records, the write budget, the storage format, and the
// transactions that change records.
//
// It owns the transactions under way, the lease, the store's health, the replica's progress
// and the layout of shards. A Batch is the only way in which other packages change records.
// It decides nothing about jobs or machines.
package commit
