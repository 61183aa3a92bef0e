package ownership

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// Transfers rebalances shards between controllers and advances recorded transfers.
type Transfers struct {
	*step.Context

	agents        *agents.Table
	cancellations *cancellation.Canceller
	lease         *commit.Lease
	overload      *OverloadDetector
	ownership     *Manager
	peers         *Peers
	shards        *commit.ShardWriter

	transferObservations map[storage.TransferSlot]transferObservation
	lastRebalanceAt      protocol.Instant // when moves were last planned
	lastTransferNumber   int              // of the last move that was named
}

func NewTransfers(ctx *step.Context) *Transfers {
	return &Transfers{
		Context:              ctx,
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
	MaxIncomingTransfers = 2 // to one controller
	maxTransfersPerPlan  = 1 // of one plan
	gangWaitTimeout      = 10 * time.Second
)

// transferLimits are how long a move may stay in each phase.
func (tm *Transfers) transferLimits() sharding.TransferTimeouts {
	quiesceTimeout := tm.agents.SilenceTimeout() + tm.Config.MaxResponseDelay + tm.Config.MaxIdleResponseDelay
	return sharding.TransferTimeouts{GangPlacement: gangWaitTimeout, Proposal: gangWaitTimeout + quiesceTimeout, Quiesce: quiesceTimeout, TokenObservation: tm.Config.AgentLeaseTTL}
}

// Rebalance begins the moves that the load asks for, one at a time: writing what starts
// and ends is the owner's work, and each may write only so much.
func (tm *Transfers) Rebalance(b *commit.Batch) {
	interval, reason := tm.Config.MinRebalanceInterval, sharding.ReasonLoadImbalance
	overloaded := tm.overload.IsOverloaded()
	if overloaded {
		interval, reason = interval/3, sharding.ReasonSourceOverloaded
	} else if tm.Replica.IsDraining(tm.Config.ControllerID) {
		interval, reason = interval/3, sharding.ReasonSourceDraining
	}
	if tm.Since(tm.lastRebalanceAt) < interval || !b.HasCapacity(1) {
		return
	}
	policy := sharding.RebalancePolicy{MaxTransfers: maxTransfersPerPlan, MaxIncomingTransfers: MaxIncomingTransfers, DemandWeight: tm.Config.RebalanceDemandWeight}
	for _, transfer := range sharding.PlanRebalance(tm.ShardingSnapshot(overloaded), policy) {
		if b.ChangesShard(transfer.Shard) || !b.HasCapacity(tm.shards.ShardWriteOps(transfer.Shard)) {
			continue
		}
		tm.lastRebalanceAt = tm.Now.Monotonic
		if overloaded {
			tm.ownership.lastShedAt = tm.Now.Monotonic // and nobody gives it any for a while
		}
		if overloaded || !tm.recordsTransfers(transfer.Target) {
			tm.ownership.transferShard(b, transfer.Shard, transfer.Target, reason)
		} else {
			tm.OpenTransfer(b, transfer, storage.TransferPrepared, reason, "")
		}
	}
}

// recordsTransfers tells whether a move to a run goes on record: not if its version does not
// know the records.
func (tm *Transfers) recordsTransfers(target storage.Incarnation) bool {
	e := tm.Replica.Controllers[target.Controller()]
	return tm.Config.RecordTransfers && e != nil && e.Record.SupportsTransfers
}

// ShardingSnapshot is what moves are planned from.
func (tm *Transfers) ShardingSnapshot(overloaded bool) sharding.Snapshot {
	snapshot := sharding.Snapshot{Self: tm.lease.Incarnation(), IncomingTransfers: map[storage.Incarnation]int{}}
	demand := tm.demandByOwner()
	snapshot.Controllers = append(snapshot.Controllers, sharding.Controller{Incarnation: tm.lease.Incarnation(), Overloaded: overloaded, DemandCores: demand[tm.lease.Incarnation()],
		Draining: tm.Replica.IsDraining(tm.Config.ControllerID)})
	for controller, p := range tm.peers.peers {
		if tm.Since(p.receivedAt) <= 3*time.Second && p.status.StoreReachable && p.status.AcceptsShards && tm.Replica.IsAlive(p.status.Incarnation) {
			snapshot.Controllers = append(snapshot.Controllers, sharding.Controller{Incarnation: p.status.Incarnation, Eligible: true, DemandCores: demand[p.status.Incarnation],
				Draining: tm.Replica.IsDraining(controller)})
		}
	}
	transferTargets := map[storage.ShardID]storage.Incarnation{}
	for _, e := range tm.Replica.Transfers {
		if e.Record.Phase.IsOpen() {
			snapshot.IncomingTransfers[e.Record.Target]++
			transferTargets[e.Record.Shard] = e.Record.Target
		}
	}
	reserved := tm.machinesReservedForGangs()
	for id, p := range tm.Replica.Shards {
		shard := sharding.Shard{ID: id, Owner: p.Owner, Load: 1, Pinned: len(p.Machines) == 0}
		if target, inTransfer := transferTargets[id]; inTransfer {
			shard.Owner, shard.Pinned = target, true
		} else if p.Owner == tm.lease.Incarnation() && !shard.Pinned {
			shard.TransferCost, shard.Pinned = tm.transferCost(p, reserved)
		}
		snapshot.Shards = append(snapshot.Shards, shard)
	}
	return snapshot
}

// transferCost is what a move of an own page would hold up: the tasks that it has yet to
// start. fixed: machines of it are kept for a gang.
func (tm *Transfers) transferCost(shard *storage.Shard, reserved map[protocol.MachineID]bool) (cost float64, pinned bool) {
	if !tm.Config.RecordTransfers {
		return 0, false // nothing is held up
	}
	for _, id := range shard.Machines {
		if reserved[id] {
			return 0, true
		}
		if e, m := tm.Replica.Machines[id], tm.agents.Lookup(id); e != nil && m != nil {
			cost += float64(len(m.InflightStarts))
		}
	}
	return cost, false
}

// machinesReservedForGangs lists the machines on which room is made for gangs.
func (tm *Transfers) machinesReservedForGangs() map[protocol.MachineID]bool {
	reserved := map[protocol.MachineID]bool{}
	for _, e := range tm.Replica.UnfinishedJobs {
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
func (tm *Transfers) demandByOwner() map[storage.Incarnation]float64 {
	demand := map[storage.Incarnation]float64{}
	if tm.Config.RebalanceDemandWeight == 0 {
		return demand
	}
	for id, e := range tm.Replica.UnfinishedJobs {
		if !e.Record.IsCancelledOrPending() {
			demand[e.Record.Owner] += float64(e.Record.Spec.TaskCount-tm.Replica.CompletedTasks(id).Len()) * e.Record.Spec.Cores
		}
	}
	return demand
}

// OpenTransfer puts a move on record, in a slot of its taker that no open move has. It rests
// on the keys of both runs and on the page.
func (tm *Transfers) OpenTransfer(b *commit.Batch, transfer sharding.Transfer, phase storage.TransferPhase, reason, name string) {
	slot, ok := tm.freeTransferSlot(b, transfer.Target.Controller())
	if !ok {
		return // all are taken; it is tried again
	}
	if name == "" {
		tm.lastTransferNumber++
		name = fmt.Sprintf("%s-%d", tm.lease.Incarnation(), tm.lastTransferNumber)
	}
	record := storage.TransferRecord{Name: name, Shard: transfer.Shard, Source: transfer.Source, Target: transfer.Target, Phase: phase, Reason: reason,
		MachineCount: len(tm.Replica.Shards[transfer.Shard].Machines), ProposedAt: tm.Now.Wall}
	if phase == storage.TransferPrepared {
		record.PreparedAt = tm.Now.Wall
	}
	b.PutTransfer(slot, &record)
	b.DependOn(storage.ShardKey(transfer.Shard))
	b.DependOn(storage.ControllerKey(transfer.Source.Controller()))
	b.DependOn(storage.ControllerKey(transfer.Target.Controller()))
	b.Log(slog.LevelInfo, "shard transfer started", "transfer", name, "shard", string(transfer.Shard), "count", record.MachineCount,
		"source", string(transfer.Source), "target", string(transfer.Target), "phase", string(phase), "reason", reason)
}

// freeTransferSlot gives the slot of a taker whose move ended first, or that never had one.
func (tm *Transfers) freeTransferSlot(b *commit.Batch, target protocol.ControllerID) (best storage.TransferSlot, ok bool) {
	var oldest protocol.ModRevision
	for n := range storage.TransferSlotsPerController {
		slot := storage.NewTransferSlot(target, n)
		if e := tm.Replica.Transfers[slot]; b.ChangesTransfer(slot) || e != nil && e.Record.Phase.IsOpen() {
			continue
		}
		if modRevision := tm.Replica.ModRevision(storage.TransferKey(slot)); !ok || modRevision < oldest {
			best, oldest, ok = slot, modRevision, true
		}
	}
	return best, ok
}

// AdvanceTransfers takes the moves on record as far as it is for this controller to do.
func (tm *Transfers) AdvanceTransfers(b *commit.Batch) {
	if len(tm.Replica.Transfers) == 0 {
		return
	}
	reserved := tm.machinesReservedForGangs()
	for _, slot := range step.SortedKeys(tm.Replica.Transfers) {
		e := tm.Replica.Transfers[slot]
		observation := tm.transferObservations[slot]
		if observation.modRevision != e.ModRevision {
			observation = transferObservation{modRevision: e.ModRevision, observedAt: tm.Now.Monotonic}
			tm.transferObservations[slot] = observation
		}
		if !e.Record.Phase.IsOpen() || b.ChangesTransfer(slot) {
			continue
		}
		progress := tm.transferProgress(slot, &e.Record, reserved)
		progress.PhaseAge = tm.Since(observation.observedAt)
		if step := sharding.NextStep(progress, tm.transferLimits()); step.Phase != "" {
			tm.WriteTransferStep(b, slot, step)
		}
	}
}

// transferProgress is how this controller sees a move.
func (tm *Transfers) transferProgress(slot storage.TransferSlot, transfer *storage.TransferRecord, reserved map[protocol.MachineID]bool) sharding.TransferStatus {
	progress := sharding.TransferStatus{Transfer: *transfer, Self: tm.lease.Incarnation(), SourceAlive: tm.Replica.IsAlive(transfer.Source), TargetAlive: tm.Replica.IsAlive(transfer.Target),
		IsSuccessor: tm.ownership.IsSuccessor(storage.TransferKey(slot))}
	activeSlot, _ := tm.Replica.OpenTransferOf(transfer.Shard)
	progress.Superseded = activeSlot != slot
	shard := tm.Replica.Shards[transfer.Shard]
	if shard == nil || len(shard.Machines) == 0 {
		return progress // one without machines is about to be deleted
	}
	progress.Owner = shard.Owner
	progress.ReservedForGang = slices.ContainsFunc(shard.Machines, func(id protocol.MachineID) bool { return reserved[id] })
	if shard.Owner == tm.lease.Incarnation() {
		progress.Quiesced = transfer.Phase == storage.TransferPrepared && tm.isShardQuiescent(shard)
		progress.TargetTokenObserved = transfer.Phase == storage.TransferCommitted && tm.isShardTokenConfirmed(shard)
	}
	return progress
}

// isShardQuiescent tells whether nothing that this owner has sent to the page's workers is on
// its way, and whether they do what cancellations want. A worker that is silent is not
// waited for: an answer that it has not carried out within seconds it never will.
func (tm *Transfers) isShardQuiescent(shard *storage.Shard) bool {
	return tm.allResponsive(shard, func(e *storage.Machine, m *agents.MachineState) bool {
		return len(m.InflightStarts) == 0 && tm.areCancellationsResolved(e)
	})
}

// areCancellationsResolved tells whether no task of a job that is called off can begin on an
// owned machine any more.
func (tm *Transfers) areCancellationsResolved(e *storage.Machine) bool {
	for i := range e.Record.Assignments {
		if job := e.Record.Assignments[i].Job; tm.cancellations.CancelRequested(job) && !tm.cancellations.IsMachineQuiescent(e.ID, job) {
			return false
		}
	}
	return true
}

// isShardTokenConfirmed tells whether the workers of an owned page know its owner: they have shown
// its token, so that an earlier one commands nothing.
func (tm *Transfers) isShardTokenConfirmed(shard *storage.Shard) bool {
	return tm.allResponsive(shard, func(e *storage.Machine, m *agents.MachineState) bool {
		return storage.ShardEpochOf(m.ConfirmedToken) == e.Record.ShardEpoch
	})
}

// allResponsive asks the same of all machines of an owned page that are up and not silent.
func (tm *Transfers) allResponsive(shard *storage.Shard, predicate func(*storage.Machine, *agents.MachineState) bool) bool {
	for _, id := range shard.Machines {
		e := tm.Replica.Machines[id]
		if e == nil || !tm.lease.OwnsMachine(&e.Record) || e.Record.AgentEpoch == 0 || e.Record.Terminating {
			continue
		}
		if m := tm.agents.TrackOwnedMachine(e, id); !tm.agents.IsSilent(m) && !predicate(e, m) {
			return false
		}
	}
	return true
}

// WriteTransferStep writes the next phase of a move.
func (tm *Transfers) WriteTransferStep(b *commit.Batch, slot storage.TransferSlot, step sharding.TransferStep) {
	previous := tm.Replica.Transfers[slot].Record
	ops := 1
	if step.Phase == storage.TransferCommitted {
		ops += tm.shards.ShardWriteOps(previous.Shard)
		if b.ChangesShard(previous.Shard) {
			return // it changes in this transaction already; the next one does it
		}
	}
	if !b.HasCapacity(ops) {
		return
	}
	record := previous
	record.Phase = step.Phase
	switch step.Phase {
	case storage.TransferPrepared:
		record.PreparedAt = tm.Now.Wall
		b.DependOn(storage.ShardKey(record.Shard))
	case storage.TransferCommitted:
		record.CommittedAt = tm.Now.Wall
		record.MachineCount = len(tm.Replica.Shards[record.Shard].Machines)
		tm.ownership.transferShard(b, record.Shard, record.Target, record.Reason)
	case storage.TransferAborted:
		record.Reason, record.EndedAt = step.Reason, tm.Now.Wall
	case storage.TransferClosed:
		record.EndedAt = tm.Now.Wall
	}
	b.PutTransfer(slot, &record)
	level := slog.LevelDebug
	if !step.Phase.IsOpen() {
		level = slog.LevelInfo
	}
	b.Log(level, "shard transfer phase changed", "transfer", record.Name, "shard", string(record.Shard), "phase", string(record.Phase), "reason", record.Reason,
		"quiesced_ms", int64(max(record.CommittedAt-record.PreparedAt, 0)), "duration_ms", int64(max(record.EndedAt-record.ProposedAt, 0)))
}

// endTransferOnFailover ends the pending move of a page that this run takes over: it is
// where it was to go, or it is over.
func (tm *Transfers) endTransferOnFailover(b *commit.Batch, id storage.ShardID) {
	slot, e := tm.Replica.OpenTransferOf(id)
	if e == nil || !e.Record.Phase.IsPending() || b.ChangesTransfer(slot) {
		return
	}
	record := e.Record
	if record.Target == tm.lease.Incarnation() {
		record.Phase, record.CommittedAt = storage.TransferCommitted, tm.Now.Wall
	} else {
		record.Phase, record.EndedAt, record.Reason = storage.TransferAborted, tm.Now.Wall, sharding.ReasonFailover
	}
	b.PutTransfer(slot, &record)
}

// ShardsInTransfer lists the pages that have a move in one of the phases.
func (tm *Transfers) ShardsInTransfer(matches func(storage.TransferPhase) bool) map[storage.ShardID]bool {
	shards := map[storage.ShardID]bool{}
	for _, e := range tm.Replica.Transfers {
		if matches(e.Record.Phase) {
			shards[e.Record.Shard] = true
		}
	}
	return shards
}

// IsPrepared tells whether nothing new may begin on a page with a move in this phase.
func IsPrepared(phase storage.TransferPhase) bool { return phase == storage.TransferPrepared }

// IsQuiesced tells whether nothing new may begin on a page. It is asked for each report.
func (tm *Transfers) IsQuiesced(shard storage.ShardID) bool {
	for _, e := range tm.Replica.Transfers {
		if e.Record.Shard == shard && IsPrepared(e.Record.Phase) {
			return true
		}
	}
	return false
}
