package ownership

import (
	"log/slog"
	"slices"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// AdvanceTransfers writes the next steps of the recorded transfers for which this controller is
// responsible by the rules of package sharding.
func (t *Transfers) AdvanceTransfers(batch *commit.Batch) {
	if len(t.Replica.Transfers) == 0 {
		return
	}
	reserved := t.machinesReservedForGangs()
	for _, slot := range step.SortedKeys(t.Replica.Transfers) {
		observation := t.observeTransfer(slot)
		if !t.hasOpenTransfer(slot) || batch.ChangesTransfer(slot) {
			continue
		}
		status := t.transferStatus(slot, reserved)
		status.PhaseAge = t.Since(observation.observedAt)
		if next := sharding.NextStep(status, t.transferTimeouts()); next.Phase != "" {
			t.WriteTransferStep(batch, slot, next)
		}
	}
}

// observeTransfer returns the observation of the transfer in a slot at its current revision. It records a
// new observation if the transfer has changed.
func (t *Transfers) observeTransfer(slot storage.TransferSlot) transferObservation {
	observation := t.observations[slot]
	if modRevision := t.Replica.Transfers[slot].ModRevision; observation.modRevision != modRevision {
		observation = transferObservation{modRevision: modRevision, observedAt: t.Now.Monotonic}
		t.observations[slot] = observation
	}
	return observation
}

// transferStatus returns the status of the transfer in a slot as this controller sees it, without the age
// of the phase. reserved holds the machines that are reserved for gangs.
func (t *Transfers) transferStatus(
	slot storage.TransferSlot, reserved map[protocol.MachineID]bool,
) sharding.TransferStatus {
	transfer := &t.Replica.Transfers[slot].Record
	firstSlot, _ := t.Replica.OpenTransferOf(transfer.Shard)
	status := sharding.TransferStatus{
		Transfer:    *transfer,
		Self:        t.lease.Incarnation(),
		SourceAlive: t.Replica.IsAlive(transfer.Source),
		TargetAlive: t.Replica.IsAlive(transfer.Target),
		IsSuccessor: t.ownership.IsSuccessor(storage.TransferKey(slot)),
		Superseded:  firstSlot != slot,
	}
	shard := t.Replica.Shards[transfer.Shard]
	if shard == nil || len(shard.Machines) == 0 {
		return status // a shard without machines is about to be deleted
	}
	status.Owner = shard.Owner
	isReserved := func(id protocol.MachineID) bool { return reserved[id] }
	status.ReservedForGang = slices.ContainsFunc(shard.Machines, isReserved)
	if shard.Owner == t.lease.Incarnation() {
		status.Quiesced = transfer.Phase == storage.TransferPrepared && t.isShardQuiescent(shard)
		status.TargetTokenObserved = transfer.Phase == storage.TransferCommitted && t.isShardTokenConfirmed(shard)
	}
	return status
}

// WriteTransferStep writes the next phase of a transfer. It writes nothing if the batch has no capacity
// for the step, or if the step is a commit and the batch changes the shard already. A later batch
// writes the step then.
func (t *Transfers) WriteTransferStep(batch *commit.Batch, slot storage.TransferSlot, next sharding.TransferStep) {
	record := t.Replica.Transfers[slot].Record
	ops := 1
	if next.Phase == storage.TransferCommitted {
		if batch.ChangesShard(record.Shard) {
			return
		}
		ops += t.shardWriter.ShardWriteOps(record.Shard)
	}
	if !batch.HasCapacity(ops) || batch.IsPostponed(storage.TransferKey(slot)) {
		return
	}
	record.Phase = next.Phase
	switch next.Phase {
	case storage.TransferPrepared:
		record.PreparedAt = t.Now.Wall
		batch.DependOn(storage.ShardKey(record.Shard))
	case storage.TransferCommitted:
		record.CommittedAt = t.Now.Wall
		record.MachineCount = len(t.Replica.Shards[record.Shard].Machines)
		t.ownership.transferShard(batch, record.Shard, record.Target, record.Reason)
	case storage.TransferAborted:
		record.Reason, record.EndedAt = next.Reason, t.Now.Wall
	case storage.TransferClosed:
		record.EndedAt = t.Now.Wall
	}
	batch.PutTransfer(slot, &record)
	logTransferStep(batch, &record)
}

// logTransferStep logs the phase that a transfer enters. The end of a transfer is logged at level info for
// operators, and any other phase at level debug.
func logTransferStep(batch *commit.Batch, record *storage.TransferRecord) {
	level := slog.LevelDebug
	if !record.Phase.IsOpen() {
		level = slog.LevelInfo
	}
	batch.Log(level, "shard transfer phase changed",
		"transfer", record.Name, "shard", string(record.Shard),
		"phase", string(record.Phase), "reason", record.Reason,
		"quiesced_ms", int64(max(record.CommittedAt-record.PreparedAt, 0)),
		"duration_ms", int64(max(record.EndedAt-record.ProposedAt, 0)))
}

// endTransferOnFailover writes the outcome of the pending transfer of a shard that this incarnation takes
// over. The transfer is committed if this incarnation is its target, and aborted otherwise.
func (t *Transfers) endTransferOnFailover(batch *commit.Batch, id storage.ShardID) {
	slot, transfer := t.Replica.OpenTransferOf(id)
	if transfer == nil || !transfer.Record.Phase.IsPending() || batch.ChangesTransfer(slot) {
		return
	}
	record := transfer.Record
	if record.Target == t.lease.Incarnation() {
		record.Phase, record.CommittedAt = storage.TransferCommitted, t.Now.Wall
	} else {
		record.Phase, record.EndedAt = storage.TransferAborted, t.Now.Wall
		record.Reason = sharding.ReasonFailover
	}
	batch.PutTransfer(slot, &record)
}
