package coordination

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// transferManager rebalances shards between controllers and advances recorded transfers.
type transferManager struct {
	*stepContext

	agents        *agentTable
	cancellations *canceller
	lease         *incarnationLease
	overload      *overloadDetector
	ownership     *shardOwnership
	peers         *peerTable
	shards        *shardWriter

	transferObservations map[storage.TransferSlot]transferObservation
	lastRebalanceAt      protocol.Instant // when moves were last planned
	lastTransferNumber   int              // of the last move that was named
}

func newTransferManager(ctx *stepContext) *transferManager {
	return &transferManager{
		stepContext:          ctx,
		transferObservations: map[storage.TransferSlot]transferObservation{},
	}
}

// A page of machines goes to another controller while its jobs run. Where moves are on
// record (`moves.recorded`), the giver first lets the page come to rest: nothing new is
// placed there, no start is sent, and it waits until its workers have reported behind the
// last one. Else, and where there is no time for it, the page passes in one write; what
// was on its way is then settled by the taker, on the usual proofs.

// transferObservation is since when this process has seen a move in its phase.
type transferObservation struct {
	modRevision protocol.ModRevision
	observedAt  protocol.Instant
}

// Bounds of the moves under way.
const (
	maxIncomingTransfers = 2 // to one controller
	maxTransfersPerPlan  = 1 // of one plan
	gangWaitTimeout      = 10 * time.Second
)

// transferLimits are how long a move may stay in each phase.
func (tm *transferManager) transferLimits() sharding.TransferTimeouts {
	quiesceTimeout := tm.agents.silenceTimeout() + tm.cfg.MaxResponseDelay + tm.cfg.MaxIdleResponseDelay
	return sharding.TransferTimeouts{GangPlacement: gangWaitTimeout, Proposal: gangWaitTimeout + quiesceTimeout, Quiesce: quiesceTimeout, TokenObservation: tm.cfg.AgentLeaseTTL}
}

// rebalance begins the moves that the load asks for, one at a time: writing what starts
// and ends is the owner's work, and each may write only so much.
func (tm *transferManager) rebalance(b *batch) {
	interval, reason := tm.cfg.MinRebalanceInterval, sharding.ReasonLoadImbalance
	overloaded := tm.overload.isOverloaded()
	if overloaded {
		interval, reason = interval/3, sharding.ReasonSourceOverloaded
	} else if tm.replica.IsDraining(tm.cfg.ControllerID) {
		interval, reason = interval/3, sharding.ReasonSourceDraining
	}
	if tm.since(tm.lastRebalanceAt) < interval || !b.hasCapacity(1) {
		return
	}
	policy := sharding.RebalancePolicy{MaxTransfers: maxTransfersPerPlan, MaxIncomingTransfers: maxIncomingTransfers, DemandWeight: tm.cfg.RebalanceDemandWeight}
	for _, transfer := range sharding.PlanRebalance(tm.shardingSnapshot(overloaded), policy) {
		if b.shards[transfer.Shard] != nil || !b.hasCapacity(tm.shards.shardWriteOps(transfer.Shard)) {
			continue
		}
		tm.lastRebalanceAt = tm.now.Monotonic
		if overloaded {
			tm.ownership.lastShedAt = tm.now.Monotonic // and nobody gives it any for a while
		}
		if overloaded || !tm.recordsTransfers(transfer.Target) {
			tm.ownership.transferShard(b, transfer.Shard, transfer.Target, reason)
		} else {
			tm.openTransfer(b, transfer, storage.TransferPrepared, reason, "")
		}
	}
}

// recordsTransfers tells whether a move to a run goes on record: not if its version does not
// know the records.
func (tm *transferManager) recordsTransfers(target storage.Incarnation) bool {
	e := tm.replica.Controllers[target.Controller()]
	return tm.cfg.RecordTransfers && e != nil && e.Record.SupportsTransfers
}

// shardingSnapshot is what moves are planned from.
func (tm *transferManager) shardingSnapshot(overloaded bool) sharding.Snapshot {
	snapshot := sharding.Snapshot{Self: tm.lease.incarnation, IncomingTransfers: map[storage.Incarnation]int{}}
	demand := tm.demandByOwner()
	snapshot.Controllers = append(snapshot.Controllers, sharding.Controller{Incarnation: tm.lease.incarnation, Overloaded: overloaded, DemandCores: demand[tm.lease.incarnation],
		Draining: tm.replica.IsDraining(tm.cfg.ControllerID)})
	for controller, p := range tm.peers.peers {
		if tm.since(p.receivedAt) <= 3*time.Second && p.status.StoreReachable && p.status.AcceptsShards && tm.replica.IsAlive(p.status.Incarnation) {
			snapshot.Controllers = append(snapshot.Controllers, sharding.Controller{Incarnation: p.status.Incarnation, Eligible: true, DemandCores: demand[p.status.Incarnation],
				Draining: tm.replica.IsDraining(controller)})
		}
	}
	transferTargets := map[storage.ShardID]storage.Incarnation{}
	for _, e := range tm.replica.Transfers {
		if e.Record.Phase.IsOpen() {
			snapshot.IncomingTransfers[e.Record.Target]++
			transferTargets[e.Record.Shard] = e.Record.Target
		}
	}
	reserved := tm.machinesReservedForGangs()
	for id, p := range tm.replica.Shards {
		shard := sharding.Shard{ID: id, Owner: p.Owner, Load: 1, Pinned: len(p.Machines) == 0}
		if target, inTransfer := transferTargets[id]; inTransfer {
			shard.Owner, shard.Pinned = target, true
		} else if p.Owner == tm.lease.incarnation && !shard.Pinned {
			shard.TransferCost, shard.Pinned = tm.transferCost(p, reserved)
		}
		snapshot.Shards = append(snapshot.Shards, shard)
	}
	return snapshot
}

// transferCost is what a move of an own page would hold up: the tasks that it has yet to
// start. fixed: machines of it are kept for a gang.
func (tm *transferManager) transferCost(shard *storage.Shard, reserved map[protocol.MachineID]bool) (cost float64, pinned bool) {
	if !tm.cfg.RecordTransfers {
		return 0, false // nothing is held up
	}
	for _, id := range shard.Machines {
		if reserved[id] {
			return 0, true
		}
		if e, m := tm.replica.Machines[id], tm.agents.machineStates[id]; e != nil && m != nil {
			cost += float64(len(m.inflightStarts))
		}
	}
	return cost, false
}

// machinesReservedForGangs lists the machines on which room is made for gangs.
func (tm *transferManager) machinesReservedForGangs() map[protocol.MachineID]bool {
	reserved := map[protocol.MachineID]bool{}
	for _, e := range tm.replica.UnfinishedJobs {
		if e.Record.Spec.IsGang() {
			for _, id := range e.Record.ReservedMachines {
				reserved[id] = true
			}
		}
	}
	return reserved
}

// demandByOwner is how many cores the unfinished jobs of each controller ask for, as far
// as any machine can be meant.
func (tm *transferManager) demandByOwner() map[storage.Incarnation]float64 {
	demand := map[storage.Incarnation]float64{}
	if tm.cfg.RebalanceDemandWeight == 0 {
		return demand
	}
	for id, e := range tm.replica.UnfinishedJobs {
		if !e.Record.IsCancelledOrPending() {
			demand[e.Record.Owner] += float64(e.Record.Spec.TaskCount-tm.replica.CompletedTasks(id).Len()) * e.Record.Spec.Cores
		}
	}
	return demand
}

// openTransfer puts a move on record, in a slot of its taker that no open move has. It rests
// on the keys of both runs and on the page.
func (tm *transferManager) openTransfer(b *batch, transfer sharding.Transfer, phase storage.TransferPhase, reason, name string) {
	slot, ok := tm.freeTransferSlot(b, transfer.Target.Controller())
	if !ok {
		return // all are taken; it is tried again
	}
	if name == "" {
		tm.lastTransferNumber++
		name = fmt.Sprintf("%s-%d", tm.lease.incarnation, tm.lastTransferNumber)
	}
	record := storage.TransferRecord{Name: name, Shard: transfer.Shard, Source: transfer.Source, Target: transfer.Target, Phase: phase, Reason: reason,
		MachineCount: len(tm.replica.Shards[transfer.Shard].Machines), ProposedAt: tm.now.Wall}
	if phase == storage.TransferPrepared {
		record.PreparedAt = tm.now.Wall
	}
	b.putTransfer(slot, &record)
	b.dependOn(storage.ShardKey(transfer.Shard))
	b.dependOn(storage.ControllerKey(transfer.Source.Controller()))
	b.dependOn(storage.ControllerKey(transfer.Target.Controller()))
	b.log(slog.LevelInfo, "shard transfer started", "transfer", name, "shard", string(transfer.Shard), "count", record.MachineCount,
		"source", string(transfer.Source), "target", string(transfer.Target), "phase", string(phase), "reason", reason)
}

// freeTransferSlot gives the slot of a taker whose move ended first, or that never had one.
func (tm *transferManager) freeTransferSlot(b *batch, target protocol.ControllerID) (best storage.TransferSlot, ok bool) {
	var oldest protocol.ModRevision
	for n := range storage.TransferSlotsPerController {
		slot := storage.NewTransferSlot(target, n)
		if e := tm.replica.Transfers[slot]; b.transfers[slot] != nil || e != nil && e.Record.Phase.IsOpen() {
			continue
		}
		if modRevision := tm.replica.ModRevision(storage.TransferKey(slot)); !ok || modRevision < oldest {
			best, oldest, ok = slot, modRevision, true
		}
	}
	return best, ok
}

// advanceTransfers takes the moves on record as far as it is for this controller to do.
func (tm *transferManager) advanceTransfers(b *batch) {
	if len(tm.replica.Transfers) == 0 {
		return
	}
	reserved := tm.machinesReservedForGangs()
	for _, slot := range sortedKeys(tm.replica.Transfers) {
		e := tm.replica.Transfers[slot]
		observation := tm.transferObservations[slot]
		if observation.modRevision != e.ModRevision {
			observation = transferObservation{modRevision: e.ModRevision, observedAt: tm.now.Monotonic}
			tm.transferObservations[slot] = observation
		}
		if !e.Record.Phase.IsOpen() || b.transfers[slot] != nil {
			continue
		}
		progress := tm.transferProgress(slot, &e.Record, reserved)
		progress.PhaseAge = tm.since(observation.observedAt)
		if step := sharding.NextStep(progress, tm.transferLimits()); step.Phase != "" {
			tm.writeTransferStep(b, slot, step)
		}
	}
}

// transferProgress is how this controller sees a move.
func (tm *transferManager) transferProgress(slot storage.TransferSlot, transfer *storage.TransferRecord, reserved map[protocol.MachineID]bool) sharding.TransferStatus {
	progress := sharding.TransferStatus{Transfer: *transfer, Self: tm.lease.incarnation, SourceAlive: tm.replica.IsAlive(transfer.Source), TargetAlive: tm.replica.IsAlive(transfer.Target),
		IsSuccessor: tm.ownership.IsSuccessor(storage.TransferKey(slot))}
	activeSlot, _ := tm.replica.OpenTransferOf(transfer.Shard)
	progress.Superseded = activeSlot != slot
	shard := tm.replica.Shards[transfer.Shard]
	if shard == nil || len(shard.Machines) == 0 {
		return progress // one without machines is about to be deleted
	}
	progress.Owner = shard.Owner
	progress.ReservedForGang = slices.ContainsFunc(shard.Machines, func(id protocol.MachineID) bool { return reserved[id] })
	if shard.Owner == tm.lease.incarnation {
		progress.Quiesced = transfer.Phase == storage.TransferPrepared && tm.isShardQuiescent(shard)
		progress.TargetTokenObserved = transfer.Phase == storage.TransferCommitted && tm.isShardTokenConfirmed(shard)
	}
	return progress
}

// isShardQuiescent tells whether nothing that this owner has sent to the page's workers is on
// its way, and whether they do what cancellations want. A worker that is silent is not
// waited for: an answer that it has not carried out within seconds it never will.
func (tm *transferManager) isShardQuiescent(shard *storage.Shard) bool {
	return tm.allResponsive(shard, func(e *storage.Machine, m *machineState) bool {
		return len(m.inflightStarts) == 0 && tm.areCancellationsResolved(e)
	})
}

// areCancellationsResolved tells whether no task of a job that is called off can begin on an
// owned machine any more.
func (tm *transferManager) areCancellationsResolved(e *storage.Machine) bool {
	for i := range e.Record.Assignments {
		if job := e.Record.Assignments[i].Job; tm.cancellations.CancelRequested(job) && !tm.cancellations.isMachineQuiescent(e.ID, job) {
			return false
		}
	}
	return true
}

// isShardTokenConfirmed tells whether the workers of an owned page know its owner: they have shown
// its token, so that an earlier one commands nothing.
func (tm *transferManager) isShardTokenConfirmed(shard *storage.Shard) bool {
	return tm.allResponsive(shard, func(e *storage.Machine, m *machineState) bool {
		return storage.ShardEpochOf(m.confirmedToken) == e.Record.ShardEpoch
	})
}

// allResponsive asks the same of all machines of an owned page that are up and not silent.
func (tm *transferManager) allResponsive(shard *storage.Shard, predicate func(*storage.Machine, *machineState) bool) bool {
	for _, id := range shard.Machines {
		e := tm.replica.Machines[id]
		if e == nil || !tm.lease.ownsMachine(&e.Record) || e.Record.AgentEpoch == 0 || e.Record.Terminating {
			continue
		}
		if m := tm.agents.trackOwnedMachine(e, id); !tm.agents.isSilent(m) && !predicate(e, m) {
			return false
		}
	}
	return true
}

// writeTransferStep writes the next phase of a move.
func (tm *transferManager) writeTransferStep(b *batch, slot storage.TransferSlot, step sharding.TransferStep) {
	previous := tm.replica.Transfers[slot].Record
	ops := 1
	if step.Phase == storage.TransferCommitted {
		ops += tm.shards.shardWriteOps(previous.Shard)
		if b.shards[previous.Shard] != nil {
			return // it changes in this transaction already; the next one does it
		}
	}
	if !b.hasCapacity(ops) {
		return
	}
	record := previous
	record.Phase = step.Phase
	switch step.Phase {
	case storage.TransferPrepared:
		record.PreparedAt = tm.now.Wall
		b.dependOn(storage.ShardKey(record.Shard))
	case storage.TransferCommitted:
		record.CommittedAt = tm.now.Wall
		record.MachineCount = len(tm.replica.Shards[record.Shard].Machines)
		tm.ownership.transferShard(b, record.Shard, record.Target, record.Reason)
	case storage.TransferAborted:
		record.Reason, record.EndedAt = step.Reason, tm.now.Wall
	case storage.TransferClosed:
		record.EndedAt = tm.now.Wall
	}
	b.putTransfer(slot, &record)
	level := slog.LevelDebug
	if !step.Phase.IsOpen() {
		level = slog.LevelInfo
	}
	b.log(level, "shard transfer phase changed", "transfer", record.Name, "shard", string(record.Shard), "phase", string(record.Phase), "reason", record.Reason,
		"quiesced_ms", int64(max(record.CommittedAt-record.PreparedAt, 0)), "duration_ms", int64(max(record.EndedAt-record.ProposedAt, 0)))
}

// endTransferOnFailover ends the pending move of a page that this run takes over: it is
// where it was to go, or it is over.
func (tm *transferManager) endTransferOnFailover(b *batch, id storage.ShardID) {
	slot, e := tm.replica.OpenTransferOf(id)
	if e == nil || !e.Record.Phase.IsPending() || b.transfers[slot] != nil {
		return
	}
	record := e.Record
	if record.Target == tm.lease.incarnation {
		record.Phase, record.CommittedAt = storage.TransferCommitted, tm.now.Wall
	} else {
		record.Phase, record.EndedAt, record.Reason = storage.TransferAborted, tm.now.Wall, sharding.ReasonFailover
	}
	b.putTransfer(slot, &record)
}

// ShardsInTransfer lists the pages that have a move in one of the phases.
func (tm *transferManager) ShardsInTransfer(matches func(storage.TransferPhase) bool) map[storage.ShardID]bool {
	shards := map[storage.ShardID]bool{}
	for _, e := range tm.replica.Transfers {
		if matches(e.Record.Phase) {
			shards[e.Record.Shard] = true
		}
	}
	return shards
}

// isPrepared tells whether nothing new may begin on a page with a move in this phase.
func isPrepared(phase storage.TransferPhase) bool { return phase == storage.TransferPrepared }

// IsQuiesced tells whether nothing new may begin on a page. It is asked for each report.
func (tm *transferManager) IsQuiesced(shard storage.ShardID) bool {
	for _, e := range tm.replica.Transfers {
		if e.Record.Shard == shard && isPrepared(e.Record.Phase) {
			return true
		}
	}
	return false
}
