package steptest

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// FakePeers answers for package ownership what a controller knows of the others, which it has not
// heard from lately.
type FakePeers struct {
	StoreUnavailable bool // they say so of the store
	ElectsSelf       bool // the controller under test takes over from those that have expired
}

// PeersReportStoreUnavailable gives StoreUnavailable.
func (f *FakePeers) PeersReportStoreUnavailable(time.Duration) bool { return f.StoreUnavailable }

// IsSuccessor gives ElectsSelf.
func (f *FakePeers) IsSuccessor(string) bool { return f.ElectsSelf }

// HasHeardFrom is false for every incarnation.
func (f *FakePeers) HasHeardFrom(storage.Incarnation, time.Duration) bool { return false }

// ExpediteStatus does nothing.
func (f *FakePeers) ExpediteStatus() {}

// NoTransfers answers for package ownership that no shard is being transferred.
type NoTransfers struct{}

// IsQuiesced is false for every shard.
func (NoTransfers) IsQuiesced(storage.ShardID) bool { return false }

// ShardsInTransfer lists none.
func (NoTransfers) ShardsInTransfer(func(storage.TransferPhase) bool) map[storage.ShardID]bool {
	return nil
}

// FakeTerminations answers for package provisioning which machines the cloud has confirmed as
// terminated.
type FakeTerminations map[protocol.MachineID]bool

// IsTerminationConfirmed tells whether the machine is in the set.
func (f FakeTerminations) IsTerminationConfirmed(id protocol.MachineID) bool { return f[id] }

// RecordRemoval does nothing.
func (f FakeTerminations) RecordRemoval(protocol.MachineID) {}

// TerminateUnrecorded does nothing.
func (f FakeTerminations) TerminateUnrecorded(protocol.MachineID) {}

// NoPlan answers for package scheduling that no machine is about to be given tasks.
type NoPlan struct{}

// ExpectsPlacement is false for every machine.
func (NoPlan) ExpectsPlacement(protocol.MachineID) bool { return false }
