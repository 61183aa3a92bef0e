package steptest

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// FakePeers stands for what package ownership knows of the other controllers: none of them has sent
// a status lately.
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

// NoTransfers stands for package ownership while no shard is being transferred.
type NoTransfers struct{}

// IsQuiesced is false for every shard.
func (NoTransfers) IsQuiesced(storage.ShardID) bool { return false }

// ShardsInTransfer lists none.
func (NoTransfers) ShardsInTransfer(func(storage.TransferPhase) bool) map[storage.ShardID]bool {
	return nil
}

// FakeTerminations stands for package provisioning. It is the set of machines whose termination the
// cloud has confirmed.
type FakeTerminations map[protocol.MachineID]bool

// IsTerminationConfirmed tells whether the machine is in the set.
func (f FakeTerminations) IsTerminationConfirmed(id protocol.MachineID) bool { return f[id] }

// RecordRemoval does nothing.
func (f FakeTerminations) RecordRemoval(protocol.MachineID) {}

// TerminateUnrecorded does nothing.
func (f FakeTerminations) TerminateUnrecorded(protocol.MachineID) {}

// NoPlan stands for package scheduling with an empty plan.
type NoPlan struct{}

// ExpectsPlacement is false for every machine.
func (NoPlan) ExpectsPlacement(protocol.MachineID) bool { return false }
