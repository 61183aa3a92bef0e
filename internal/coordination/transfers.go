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
func (c *Core) transferLimits() sharding.TransferTimeouts {
	quiesceTimeout := c.silenceTimeout() + c.cfg.MaxResponseDelay + c.cfg.MaxIdleResponseDelay
	return sharding.TransferTimeouts{GangPlacement: gangWaitTimeout, Proposal: gangWaitTimeout + quiesceTimeout, Quiesce: quiesceTimeout, TokenObservation: c.cfg.AgentLeaseTTL}
}

// rebalance begins the moves that the load asks for, one at a time: writing what starts
// and ends is the owner's work, and each may write only so much.
func (c *Core) rebalance(b *batch) {
	interval, reason := c.cfg.MinRebalanceInterval, sharding.ReasonLoadImbalance
	overloaded := c.isOverloaded()
	if overloaded {
		interval, reason = interval/3, sharding.ReasonSourceOverloaded
	} else if c.replica.IsDraining(c.cfg.ControllerID) {
		interval, reason = interval/3, sharding.ReasonSourceDraining
	}
	if c.since(c.lastRebalanceAt) < interval || !b.hasCapacity(1) {
		return
	}
	policy := sharding.RebalancePolicy{MaxTransfers: maxTransfersPerPlan, MaxIncomingTransfers: maxIncomingTransfers, DemandWeight: c.cfg.RebalanceDemandWeight}
	for _, transfer := range sharding.PlanRebalance(c.shardingSnapshot(overloaded), policy) {
		if b.shards[transfer.Shard] != nil || !b.hasCapacity(c.shardWriteOps(transfer.Shard)) {
			continue
		}
		c.lastRebalanceAt = c.now.Monotonic
		if overloaded {
			c.ownership.lastShedAt = c.now.Monotonic // and nobody gives it any for a while
		}
		if overloaded || !c.recordsTransfers(transfer.Target) {
			c.transferShard(b, transfer.Shard, transfer.Target, reason)
		} else {
			c.openTransfer(b, transfer, storage.TransferPrepared, reason, "")
		}
	}
}

// recordsTransfers tells whether a move to a run goes on record: not if its version does not
// know the records.
func (c *Core) recordsTransfers(target storage.Incarnation) bool {
	e := c.replica.Controllers[target.Controller()]
	return c.cfg.RecordTransfers && e != nil && e.Record.SupportsTransfers
}

// shardingSnapshot is what moves are planned from.
func (c *Core) shardingSnapshot(overloaded bool) sharding.Snapshot {
	snapshot := sharding.Snapshot{Self: c.incarnation, IncomingTransfers: map[storage.Incarnation]int{}}
	demand := c.demandByOwner()
	snapshot.Controllers = append(snapshot.Controllers, sharding.Controller{Incarnation: c.incarnation, Overloaded: overloaded, DemandCores: demand[c.incarnation],
		Draining: c.replica.IsDraining(c.cfg.ControllerID)})
	for controller, p := range c.peers {
		if c.since(p.receivedAt) <= 3*time.Second && p.status.StoreReachable && p.status.AcceptsShards && c.replica.IsAlive(p.status.Incarnation) {
			snapshot.Controllers = append(snapshot.Controllers, sharding.Controller{Incarnation: p.status.Incarnation, Eligible: true, DemandCores: demand[p.status.Incarnation],
				Draining: c.replica.IsDraining(controller)})
		}
	}
	transferTargets := map[storage.ShardID]storage.Incarnation{}
	for _, e := range c.replica.Transfers {
		if e.Record.Phase.IsOpen() {
			snapshot.IncomingTransfers[e.Record.Target]++
			transferTargets[e.Record.Shard] = e.Record.Target
		}
	}
	reserved := c.machinesReservedForGangs()
	for id, p := range c.replica.Shards {
		shard := sharding.Shard{ID: id, Owner: p.Owner, Load: 1, Pinned: len(p.Machines) == 0}
		if target, inTransfer := transferTargets[id]; inTransfer {
			shard.Owner, shard.Pinned = target, true
		} else if p.Owner == c.incarnation && !shard.Pinned {
			shard.TransferCost, shard.Pinned = c.transferCost(p, reserved)
		}
		snapshot.Shards = append(snapshot.Shards, shard)
	}
	return snapshot
}

// transferCost is what a move of an own page would hold up: the tasks that it has yet to
// start. fixed: machines of it are kept for a gang.
func (c *Core) transferCost(shard *storage.Shard, reserved map[protocol.MachineID]bool) (cost float64, pinned bool) {
	if !c.cfg.RecordTransfers {
		return 0, false // nothing is held up
	}
	for _, id := range shard.Machines {
		if reserved[id] {
			return 0, true
		}
		if e, m := c.replica.Machines[id], c.machineStates[id]; e != nil && m != nil {
			cost += float64(len(m.inflightStarts))
		}
	}
	return cost, false
}

// machinesReservedForGangs lists the machines on which room is made for gangs.
func (c *Core) machinesReservedForGangs() map[protocol.MachineID]bool {
	reserved := map[protocol.MachineID]bool{}
	for _, e := range c.replica.UnfinishedJobs {
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
func (c *Core) demandByOwner() map[storage.Incarnation]float64 {
	demand := map[storage.Incarnation]float64{}
	if c.cfg.RebalanceDemandWeight == 0 {
		return demand
	}
	for id, e := range c.replica.UnfinishedJobs {
		if !e.Record.IsCancelledOrPending() {
			demand[e.Record.Owner] += float64(e.Record.Spec.TaskCount-c.replica.CompletedTasks(id).Len()) * e.Record.Spec.Cores
		}
	}
	return demand
}

// openTransfer puts a move on record, in a slot of its taker that no open move has. It rests
// on the keys of both runs and on the page.
func (c *Core) openTransfer(b *batch, transfer sharding.Transfer, phase storage.TransferPhase, reason, name string) {
	slot, ok := c.freeTransferSlot(b, transfer.Target.Controller())
	if !ok {
		return // all are taken; it is tried again
	}
	if name == "" {
		c.lastTransferNumber++
		name = fmt.Sprintf("%s-%d", c.incarnation, c.lastTransferNumber)
	}
	record := storage.TransferRecord{Name: name, Shard: transfer.Shard, Source: transfer.Source, Target: transfer.Target, Phase: phase, Reason: reason,
		MachineCount: len(c.replica.Shards[transfer.Shard].Machines), ProposedAt: c.now.Wall}
	if phase == storage.TransferPrepared {
		record.PreparedAt = c.now.Wall
	}
	b.putTransfer(slot, &record)
	b.dependOn(storage.ShardKey(transfer.Shard))
	b.dependOn(storage.ControllerKey(transfer.Source.Controller()))
	b.dependOn(storage.ControllerKey(transfer.Target.Controller()))
	b.log(slog.LevelInfo, "move of machines begins", "move", name, "page", string(transfer.Shard), "machines", record.MachineCount,
		"from", string(transfer.Source), "to", string(transfer.Target), "phase", string(phase), "why", reason)
}

// freeTransferSlot gives the slot of a taker whose move ended first, or that never had one.
func (c *Core) freeTransferSlot(b *batch, target protocol.ControllerID) (best storage.TransferSlot, ok bool) {
	var oldest protocol.ModRevision
	for n := range storage.TransferSlotsPerController {
		slot := storage.NewTransferSlot(target, n)
		if e := c.replica.Transfers[slot]; b.transfers[slot] != nil || e != nil && e.Record.Phase.IsOpen() {
			continue
		}
		if modRevision := c.replica.ModRevision(storage.TransferKey(slot)); !ok || modRevision < oldest {
			best, oldest, ok = slot, modRevision, true
		}
	}
	return best, ok
}

// advanceTransfers takes the moves on record as far as it is for this controller to do.
func (c *Core) advanceTransfers(b *batch) {
	if len(c.replica.Transfers) == 0 {
		return
	}
	reserved := c.machinesReservedForGangs()
	for _, slot := range sortedKeys(c.replica.Transfers) {
		e := c.replica.Transfers[slot]
		observation := c.transferObservations[slot]
		if observation.modRevision != e.ModRevision {
			observation = transferObservation{e.ModRevision, c.now.Monotonic}
			c.transferObservations[slot] = observation
		}
		if !e.Record.Phase.IsOpen() || b.transfers[slot] != nil {
			continue
		}
		progress := c.transferProgress(slot, &e.Record, reserved)
		progress.PhaseAge = c.since(observation.observedAt)
		if step := sharding.NextStep(progress, c.transferLimits()); step.Phase != "" {
			c.writeTransferStep(b, slot, step)
		}
	}
}

// transferProgress is how this controller sees a move.
func (c *Core) transferProgress(slot storage.TransferSlot, transfer *storage.TransferRecord, reserved map[protocol.MachineID]bool) sharding.TransferStatus {
	progress := sharding.TransferStatus{Transfer: *transfer, Self: c.incarnation, SourceAlive: c.replica.IsAlive(transfer.Source), TargetAlive: c.replica.IsAlive(transfer.Target),
		IsSuccessor: c.isSuccessor(storage.TransferKey(slot))}
	activeSlot, _ := c.replica.OpenTransferOf(transfer.Shard)
	progress.Superseded = activeSlot != slot
	shard := c.replica.Shards[transfer.Shard]
	if shard == nil || len(shard.Machines) == 0 {
		return progress // one without machines is about to be deleted
	}
	progress.Owner = shard.Owner
	progress.ReservedForGang = slices.ContainsFunc(shard.Machines, func(id protocol.MachineID) bool { return reserved[id] })
	if shard.Owner == c.incarnation {
		progress.Quiesced = transfer.Phase == storage.TransferPrepared && c.isShardQuiescent(shard)
		progress.TargetTokenObserved = transfer.Phase == storage.TransferCommitted && c.isShardTokenConfirmed(shard)
	}
	return progress
}

// isShardQuiescent tells whether nothing that this owner has sent to the page's workers is on
// its way, and whether they do what cancellations want. A worker that is silent is not
// waited for: an answer that it has not carried out within seconds it never will.
func (c *Core) isShardQuiescent(shard *storage.Shard) bool {
	return c.allResponsive(shard, func(e *storage.Machine, m *machineState) bool {
		return len(m.inflightStarts) == 0 && c.areCancellationsResolved(e)
	})
}

// areCancellationsResolved tells whether no task of a job that is called off can begin on an
// owned machine any more.
func (c *Core) areCancellationsResolved(e *storage.Machine) bool {
	for i := range e.Record.Assignments {
		if job := e.Record.Assignments[i].Job; c.cancelRequested(job) && !c.isMachineQuiescent(e.ID, job) {
			return false
		}
	}
	return true
}

// isShardTokenConfirmed tells whether the workers of an owned page know its owner: they have shown
// its token, so that an earlier one commands nothing.
func (c *Core) isShardTokenConfirmed(shard *storage.Shard) bool {
	return c.allResponsive(shard, func(e *storage.Machine, m *machineState) bool {
		return storage.ShardEpochOf(m.confirmedToken) == e.Record.ShardEpoch
	})
}

// allResponsive asks the same of all machines of an owned page that are up and not silent.
func (c *Core) allResponsive(shard *storage.Shard, predicate func(*storage.Machine, *machineState) bool) bool {
	for _, id := range shard.Machines {
		e := c.replica.Machines[id]
		if e == nil || !c.ownsMachine(&e.Record) || e.Record.AgentEpoch == 0 || e.Record.Terminating {
			continue
		}
		if m := c.trackOwnedMachine(e, id); !c.isSilent(m) && !predicate(e, m) {
			return false
		}
	}
	return true
}

// writeTransferStep writes the next phase of a move.
func (c *Core) writeTransferStep(b *batch, slot storage.TransferSlot, step sharding.TransferStep) {
	previous := c.replica.Transfers[slot].Record
	ops := 1
	if step.Phase == storage.TransferCommitted {
		ops += c.shardWriteOps(previous.Shard)
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
		record.PreparedAt = c.now.Wall
		b.dependOn(storage.ShardKey(record.Shard))
	case storage.TransferCommitted:
		record.CommittedAt = c.now.Wall
		record.MachineCount = len(c.replica.Shards[record.Shard].Machines)
		c.transferShard(b, record.Shard, record.Target, record.Reason)
	case storage.TransferAborted:
		record.Reason, record.EndedAt = step.Reason, c.now.Wall
	case storage.TransferClosed:
		record.EndedAt = c.now.Wall
	}
	b.putTransfer(slot, &record)
	level := slog.LevelDebug
	if !step.Phase.IsOpen() {
		level = slog.LevelInfo
	}
	b.log(level, "move of machines", "move", record.Name, "page", string(record.Shard), "phase", string(record.Phase), "why", record.Reason,
		"held_ms", int64(max(record.CommittedAt-record.PreparedAt, 0)), "took_ms", int64(max(record.EndedAt-record.ProposedAt, 0)))
}

// endTransferOnFailover ends the pending move of a page that this run takes over: it is
// where it was to go, or it is over.
func (c *Core) endTransferOnFailover(b *batch, id storage.ShardID) {
	slot, e := c.replica.OpenTransferOf(id)
	if e == nil || !e.Record.Phase.IsPending() || b.transfers[slot] != nil {
		return
	}
	record := e.Record
	if record.Target == c.incarnation {
		record.Phase, record.CommittedAt = storage.TransferCommitted, c.now.Wall
	} else {
		record.Phase, record.EndedAt, record.Reason = storage.TransferAborted, c.now.Wall, sharding.ReasonFailover
	}
	b.putTransfer(slot, &record)
}

// shardsInTransfer lists the pages that have a move in one of the phases.
func (c *Core) shardsInTransfer(matches func(storage.TransferPhase) bool) map[storage.ShardID]bool {
	shards := map[storage.ShardID]bool{}
	for _, e := range c.replica.Transfers {
		if matches(e.Record.Phase) {
			shards[e.Record.Shard] = true
		}
	}
	return shards
}

// isPrepared tells whether nothing new may begin on a page with a move in this phase.
func isPrepared(phase storage.TransferPhase) bool { return phase == storage.TransferPrepared }

// isQuiesced tells whether nothing new may begin on a page. It is asked for each report.
func (c *Core) isQuiesced(shard storage.ShardID) bool {
	for _, e := range c.replica.Transfers {
		if e.Record.Shard == shard && isPrepared(e.Record.Phase) {
			return true
		}
	}
	return false
}
