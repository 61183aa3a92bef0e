package storage

import (
	"fmt"
	"testing"

	"tillerarch/internal/protocol"
)

// BenchmarkReplicaPutShard measures Put of one changed shard of 17 machines. Every line differs
// from the previous one, so that all machines are parsed and indexed again.
func BenchmarkReplicaPutShard(b *testing.B) {
	var versions [2][]byte
	for i := range versions {
		lines, completed := fullShard(17, 2+i, 2)
		versions[i] = EncodePlainShard("stall-0#7", 3, lines, completed)
	}
	replica, key := NewReplica(), ShardKey("stall-0#7-1")
	for i := 0; b.Loop(); i++ {
		if _, err := replica.Put(key, versions[i%2], protocol.ModRevision(i+1)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReplicaFailover measures Put of a shard of 17 machines of which only the owner changes.
func BenchmarkReplicaFailover(b *testing.B) {
	lines, completed := fullShard(17, 2, 2)
	var versions [2][]byte
	for i := range versions {
		versions[i] = EncodePlainShard(Incarnation(fmt.Sprintf("stall-%d#7", i)), 3, lines, completed)
	}
	replica, key := NewReplica(), ShardKey("stall-0#7-1")
	for i := 0; b.Loop(); i++ {
		if _, err := replica.Put(key, versions[i%2], protocol.ModRevision(i+1)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReplicaModRevision measures the lookup of one key of each kind.
func BenchmarkReplicaModRevision(b *testing.B) {
	replica := NewReplica()
	keys := []string{
		JobKey("j-000001"),
		ShardKey("stall-0#7-1"),
		ControllerKey("stall-0"),
		QuotaKey("team"),
		TransferKey("stall-0/1"),
		DrainKey("stall-0"),
		RegistryKey,
		FormatKey,
	}
	for b.Loop() {
		for _, key := range keys {
			replica.ModRevision(key)
		}
	}
}
