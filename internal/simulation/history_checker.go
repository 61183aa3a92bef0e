package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// HistoryChecker checks at every revision of the store that each recorded machine is in one
// shard with one owner, that a new owner is alive and has a higher token than all earlier ones,
// and that the phases of transfers follow in order. It reads the records from the store's events
// and not from a controller's replica.
type HistoryChecker struct {
	OnViolation         func(string)
	Revisions           int // number of revisions applied
	ShardsTransferred   int // number of shards that recorded transfers moved from one live owner to another
	TransfersClosed     int
	AbortedByReason     map[string]int  // number of aborted transfers by the reason of the abort
	QuiesceTimes        []time.Duration // time for which the shard of each closed transfer started no task
	TransferTimes       []time.Duration // time from the proposal to the end of each closed transfer
	TransferWrites      int             // number of writes of transfer records
	MachinesTransferred int             // number of machines in closed transfers, counted once for each transfer
	MachineQuiesceTime  time.Duration   // sum over transferred machines of the time for which they started no task

	shards           map[storage.ShardID]storage.ShardSummary
	shardsByMachine  map[protocol.MachineID]map[storage.ShardID]bool
	lastOwners       map[protocol.MachineID]storage.ShardSummary // last owner and epoch
	transfers        map[string]storage.TransferRecord
	liveIncarnations map[string]storage.Incarnation // by the controller's key in the store
	ownersByEpoch    map[machineEpoch]storage.Incarnation
	parts            map[storage.PartName]string // texts of all parts ever written
}

// NewHistoryChecker returns a checker for an empty store. It calls onViolation with the text of
// each violation.
func NewHistoryChecker(onViolation func(string)) *HistoryChecker {
	return &HistoryChecker{
		OnViolation:      onViolation,
		AbortedByReason:  map[string]int{},
		shards:           map[storage.ShardID]storage.ShardSummary{},
		shardsByMachine:  map[protocol.MachineID]map[storage.ShardID]bool{},
		lastOwners:       map[protocol.MachineID]storage.ShardSummary{},
		transfers:        map[string]storage.TransferRecord{},
		liveIncarnations: map[string]storage.Incarnation{},
		ownersByEpoch:    map[machineEpoch]storage.Incarnation{},
		parts:            map[storage.PartName]string{},
	}
}

func (h *HistoryChecker) recordViolation(revision protocol.Revision, format string, args ...any) {
	h.OnViolation(fmt.Sprintf("revision %d: ", revision) + fmt.Sprintf(format, args...))
}

// ApplyRevision applies all changes of one revision and checks the resulting state.
func (h *HistoryChecker) ApplyRevision(revision protocol.Revision, changes []protocol.Event) {
	h.Revisions++
	shardsBefore := map[storage.ShardID]storage.ShardSummary{}
	changedMachines := map[protocol.MachineID]bool{}
	var transfers []storage.TransferRecord
	for _, change := range changes {
		key := change.PutKey + change.DeleteKey
		if strings.HasPrefix(key, storage.ControllerKey("")) {
			h.applyController(revision, key, change.Value)
		} else if storage.IsPartKey(key) {
			h.applyPart(revision, key, change.Value)
		} else if id, ok := strings.CutPrefix(key, storage.ShardKey("")); ok {
			shardsBefore[storage.ShardID(id)] = h.shards[storage.ShardID(id)]
			h.applyShard(revision, storage.ShardID(id), change.Value, changedMachines)
		} else if strings.HasPrefix(change.PutKey, storage.TransferKey("")) {
			if record, ok := h.applyTransfer(revision, change.PutKey, change.Value); ok {
				transfers = append(transfers, record)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(changedMachines)) {
		h.checkMachineOwner(revision, id)
	}
	for _, record := range transfers {
		h.checkOwnershipChange(revision, record, shardsBefore)
	}
}

// applyController records which incarnation of a controller is alive. data is empty if the
// controller's lease has expired.
func (h *HistoryChecker) applyController(revision protocol.Revision, key string, data json.RawMessage) {
	delete(h.liveIncarnations, key)
	if len(data) == 0 {
		return
	}
	var record storage.ControllerRecord
	if err := json.Unmarshal(data, &record); err != nil {
		h.recordViolation(revision, "controller %s can't be read: %v", key, err)
		return
	}
	h.liveIncarnations[key] = record.Incarnation
}

// applyPart records the text of a part of a record. data is empty if the part is deleted.
func (h *HistoryChecker) applyPart(revision protocol.Revision, key string, data json.RawMessage) {
	if len(data) == 0 {
		return // the text is kept: no part ever changes
	}
	part, err := storage.DecodePart(key, data)
	if err != nil {
		h.recordViolation(revision, "part %s can't be read: %v", key, err)
		return
	}
	h.parts[part.Name] = part.Text
}

// partText returns the text of a part that has been written.
func (h *HistoryChecker) partText(name storage.PartName) (text string, ok bool) {
	text, ok = h.parts[name]
	return text, ok
}

// applyShard replaces a shard and its machines. data is empty if the shard is deleted.
func (h *HistoryChecker) applyShard(revision protocol.Revision, id storage.ShardID, data json.RawMessage, changedMachines map[protocol.MachineID]bool) {
	for _, machine := range h.shards[id].Machines {
		changedMachines[machine] = true
		delete(h.shardsByMachine[machine], id)
	}
	delete(h.shards, id)
	if len(data) == 0 {
		return
	}
	shard, err := storage.DecodeShardSummary(id, data, h.partText)
	if err != nil {
		h.recordViolation(revision, "shard %s can't be read: %v", id, err)
		return
	}
	h.shards[id] = shard
	for _, machine := range shard.Machines {
		changedMachines[machine] = true
		if h.shardsByMachine[machine] == nil {
			h.shardsByMachine[machine] = map[storage.ShardID]bool{}
		}
		h.shardsByMachine[machine][id] = true
	}
}

// checkMachineOwner checks that a machine is in at most one shard, and that its owner and epoch
// follow the previous ones.
func (h *HistoryChecker) checkMachineOwner(revision protocol.Revision, id protocol.MachineID) {
	if len(h.shardsByMachine[id]) > 1 {
		h.recordViolation(revision, "machine %s is in %d shards", id, len(h.shardsByMachine[id]))
		return
	}
	for shard := range h.shardsByMachine[id] {
		current, last := h.shards[shard], h.lastOwners[id]
		switch {
		case current.Owner != last.Owner && !h.isAlive(current.Owner):
			h.recordViolation(revision, "machine %s is assigned to %s, which is not alive", id, current.Owner)
		case last.Owner == "":
		case current.Owner != last.Owner && current.Epoch <= last.Epoch:
			h.recordViolation(revision, "machine %s changes owner from %s to %s without a higher token: %d, %d",
				id, last.Owner, current.Owner, last.Epoch, current.Epoch)
		case current.Epoch < last.Epoch:
			h.recordViolation(revision, "the token of machine %s decreases from %d to %d", id, last.Epoch, current.Epoch)
		}
		h.lastOwners[id] = storage.ShardSummary{Owner: current.Owner, Epoch: current.Epoch}
		epoch := machineEpoch{machine: id, epoch: current.Epoch}
		if other, hasOwner := h.ownersByEpoch[epoch]; hasOwner && other != current.Owner {
			h.recordViolation(revision, "machine %s has two owners in epoch %d: %s, %s", id, current.Epoch, other, current.Owner)
		}
		h.ownersByEpoch[epoch] = current.Owner
	}
}

// isAlive reports whether an incarnation is the one in its controller's record.
func (h *HistoryChecker) isAlive(incarnation storage.Incarnation) bool {
	return h.liveIncarnations[storage.ControllerKey(incarnation.Controller())] == incarnation
}

// CheckCommand checks that the controller whose commands a machine accepts with a fencing token
// owned the machine in the token's epoch.
func (h *HistoryChecker) CheckCommand(id protocol.MachineID, token protocol.FencingToken, controller protocol.ControllerID) {
	epoch := storage.ShardEpochOf(token)
	if owner := h.ownersByEpoch[machineEpoch{machine: id, epoch: epoch}]; owner.Controller() != controller {
		h.OnViolation(fmt.Sprintf("machine %s accepts commands from %s in epoch %d, which belongs to %q", id, controller, epoch, owner))
	}
}

// applyTransfer applies a transfer's record and checks that its phase may follow the previous
// one. It returns false if the record can't be read.
func (h *HistoryChecker) applyTransfer(revision protocol.Revision, key string, data json.RawMessage) (record storage.TransferRecord, ok bool) {
	h.TransferWrites++
	if err := json.Unmarshal(data, &record); err != nil {
		h.recordViolation(revision, "transfer %s can't be read: %v", key, err)
		return record, false
	}
	last, isKnown := h.transfers[key]
	if !isKnown {
		last.Phase = storage.TransferClosed
	}
	h.transfers[key] = record
	if !record.Phase.CanFollow(last.Phase) || record.Name != last.Name && last.Phase.IsOpen() {
		h.recordViolation(revision, "transfer %s %q changes its phase from %s to %s", key, record.Name, last.Phase, record.Phase)
	}
	switch record.Phase {
	case storage.TransferClosed:
		h.TransfersClosed++
		h.TransferTimes = append(h.TransferTimes, time.Duration(record.EndedAt-record.ProposedAt)*time.Millisecond)
		quiesced := time.Duration(0) // stays 0 if the source failed before the preparation
		if record.PreparedAt > 0 {
			quiesced = time.Duration(record.CommittedAt-record.PreparedAt) * time.Millisecond
		}
		h.QuiesceTimes = append(h.QuiesceTimes, quiesced)
		h.MachinesTransferred += record.MachineCount
		h.MachineQuiesceTime += time.Duration(record.MachineCount) * quiesced
	case storage.TransferAborted:
		h.AbortedByReason[record.Reason]++
	}
	return record, true
}

// checkOwnershipChange checks that the revision that commits a transfer also writes the shard's
// new owner, and that each machine of the shard is still in a shard.
func (h *HistoryChecker) checkOwnershipChange(revision protocol.Revision, record storage.TransferRecord, shardsBefore map[storage.ShardID]storage.ShardSummary) {
	if record.Phase != storage.TransferCommitted {
		return
	}
	shardBefore, hasChanged := shardsBefore[record.Shard]
	if !hasChanged || shardBefore.Owner != record.Source || h.shards[record.Shard].Owner != record.Target {
		h.recordViolation(revision, "transfer %q is committed, but the owner of its shard went from %q to %q",
			record.Name, shardBefore.Owner, h.shards[record.Shard].Owner)
		return
	}
	for _, machine := range shardBefore.Machines {
		if len(h.shardsByMachine[machine]) == 0 {
			h.recordViolation(revision, "machine %s is in no shard after transfer %q", machine, record.Name)
		}
	}
	h.ShardsTransferred++
}

// OwnedMachineCount returns the number of machines in the shards of a controller.
func (w *World) OwnedMachineCount(controller *Controller) (machines int) {
	for _, shard := range w.History.shards {
		if shard.Owner.Controller() == controller.ID {
			machines += len(shard.Machines)
		}
	}
	return machines
}

// OpenTransfers returns the name, shard and phase of each transfer that has not ended, sorted.
func (h *HistoryChecker) OpenTransfers() (names []string) {
	for _, record := range h.transfers {
		if record.Phase.IsOpen() {
			names = append(names, fmt.Sprintf("%s %s %s", record.Name, record.Shard, record.Phase))
		}
	}
	slices.Sort(names)
	return names
}

// AddTransferRecordHook adds a callback for each write of a transfer's record. The callback runs
// within the write and after the previous Store.OnRevision, such as the checker. Setting
// Store.OnRevision to the checker again removes the callback.
func (w *World) AddTransferRecordHook(callback func(storage.TransferRecord)) {
	previousHook := w.Store.OnRevision
	w.Store.OnRevision = func(revision protocol.Revision, events []protocol.Event) {
		previousHook(revision, events)
		for _, event := range events {
			var record storage.TransferRecord
			if strings.HasPrefix(event.PutKey, storage.TransferKey("")) && json.Unmarshal(event.Value, &record) == nil {
				callback(record)
			}
		}
	}
}
