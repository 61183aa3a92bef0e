package steptest

import (
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// FakePeers replaces the state that package ownership holds of the other controllers. None of them
// has sent a status recently.
type FakePeers struct {
	StoreUnavailable bool // the other controllers report that they do not reach the store
	ElectsSelf       bool // the controller under test takes over from expired incarnations
}

// PeersReportStoreUnavailable returns StoreUnavailable.
func (f *FakePeers) PeersReportStoreUnavailable(time.Duration) bool { return f.StoreUnavailable }

// IsSuccessor returns ElectsSelf.
func (f *FakePeers) IsSuccessor(string) bool { return f.ElectsSelf }

// HasHeardFrom returns false for every incarnation.
func (f *FakePeers) HasHeardFrom(storage.Incarnation, time.Duration) bool { return false }

// ExpediteStatus does nothing.
func (f *FakePeers) ExpediteStatus() {}

// NoTransfers replaces the transfers of package ownership. No shard is being transferred.
type NoTransfers struct{}

// IsQuiesced returns false for every shard.
func (NoTransfers) IsQuiesced(storage.ShardID) bool { return false }

// ShardsInTransfer returns no shards.
func (NoTransfers) ShardsInTransfer(func(storage.TransferPhase) bool) map[storage.ShardID]bool {
	return nil
}

// FakeTerminations replaces the terminations of package provisioning. It is the set of machines
// whose termination the cloud has confirmed.
type FakeTerminations map[protocol.MachineID]bool

// IsTerminationConfirmed reports whether the machine is in the set.
func (f FakeTerminations) IsTerminationConfirmed(id protocol.MachineID) bool { return f[id] }

// RecordRemoval does nothing.
func (f FakeTerminations) RecordRemoval(protocol.MachineID) {}

// TerminateUnrecorded does nothing.
func (f FakeTerminations) TerminateUnrecorded(protocol.MachineID) {}

// NoPlan replaces the plan of package scheduling. It is empty.
type NoPlan struct{}

// ExpectsPlacement returns false for every machine.
func (NoPlan) ExpectsPlacement(protocol.MachineID) bool { return false }
