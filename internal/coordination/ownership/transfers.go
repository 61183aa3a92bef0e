package ownership

import (
	"fmt"
	"log/slog"
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
//
// Jobs go on running on the machines of a shard in transfer. Where transfers are recorded (setting
// `moves.recorded`), the source first quiesces the shard: nothing new is placed there, no start is
// sent, and it waits for a heartbeat of each agent after the last start. Else, and where there is no
// time for that, the owner changes in one write; the target resolves the commands that were in flight
// from what the agents report.
type Transfers struct {
	*step.Context

	agents        *agents.Table
	cancellations *cancellation.Canceller
	lease         *commit.Lease
	overload      *OverloadDetector
	ownership     *Manager
	peers         *Peers
	shardWriter   *commit.ShardWriter

	observations       map[storage.TransferSlot]transferObservation
	lastRebalanceAt    protocol.Instant // when a transfer was last planned and written
	lastTransferNumber int              // of the last transfer that this process named
}

// transferObservation is since when this process has seen a transfer in its phase.
type transferObservation struct {
	modRevision protocol.ModRevision
	observedAt  protocol.Instant
}

func newTransfers(ctx *step.Context) *Transfers {
	return &Transfers{
		Context:      ctx,
		observations: map[storage.TransferSlot]transferObservation{},
	}
}

// OpenTransfer records a transfer in a slot of its target that has no open transfer. An empty name
// is replaced by a new one. The transaction depends on the keys of both incarnations and the shard.
func (t *Transfers) OpenTransfer(
	batch *commit.Batch, transfer sharding.Transfer, phase storage.TransferPhase, reason, name string,
) {
	slot, ok := t.freeTransferSlot(batch, transfer.Target.Controller())
	if !ok {
		return // all slots are taken; the caller tries again
	}
	if name == "" {
		name = t.nextTransferName()
	}
	record := storage.TransferRecord{
		Name:         name,
		Shard:        transfer.Shard,
		Source:       transfer.Source,
		Target:       transfer.Target,
		Phase:        phase,
		Reason:       reason,
		MachineCount: len(t.Replica.Shards[transfer.Shard].Machines),
		ProposedAt:   t.Now.Wall,
	}
	if phase == storage.TransferPrepared {
		record.PreparedAt = t.Now.Wall
	}
	batch.PutTransfer(slot, &record)
	batch.DependOn(storage.ShardKey(transfer.Shard))
	batch.DependOn(storage.ControllerKey(transfer.Source.Controller()))
	batch.DependOn(storage.ControllerKey(transfer.Target.Controller()))
	batch.Log(slog.LevelInfo, "shard transfer started",
		"transfer", name, "shard", string(transfer.Shard), "count", record.MachineCount,
		"source", string(transfer.Source), "target", string(transfer.Target),
		"phase", string(phase), "reason", reason)
}

// ShardsInTransfer lists the shards that have a transfer in a phase that matches.
func (t *Transfers) ShardsInTransfer(matches func(storage.TransferPhase) bool) map[storage.ShardID]bool {
	shards := map[storage.ShardID]bool{}
	for _, transfer := range t.Replica.Transfers {
		if matches(transfer.Record.Phase) {
			shards[transfer.Record.Shard] = true
		}
	}
	return shards
}

// IsPrepared tells whether a shard with a transfer in this phase is quiesced: nothing new may begin in it.
func IsPrepared(phase storage.TransferPhase) bool { return phase == storage.TransferPrepared }

// IsQuiesced tells whether nothing new may begin in a shard. It is called for each heartbeat, so it
// does not build the set of ShardsInTransfer.
func (t *Transfers) IsQuiesced(id storage.ShardID) bool {
	for _, transfer := range t.Replica.Transfers {
		if transfer.Record.Shard == id && IsPrepared(transfer.Record.Phase) {
			return true
		}
	}
	return false
}

// nextTransferName gives a name that no other transfer has or had.
func (t *Transfers) nextTransferName() string {
	t.lastTransferNumber++
	return fmt.Sprintf("%s-%d", t.lease.Incarnation(), t.lastTransferNumber)
}

// freeTransferSlot gives the slot of a target whose transfer ended first, or that never had one.
func (t *Transfers) freeTransferSlot(
	batch *commit.Batch, target protocol.ControllerID,
) (best storage.TransferSlot, ok bool) {
	var oldest protocol.ModRevision
	for number := range storage.TransferSlotsPerController {
		slot := storage.NewTransferSlot(target, number)
		if t.hasOpenTransfer(slot) || batch.ChangesTransfer(slot) {
			continue
		}
		if modRevision := t.Replica.ModRevision(storage.TransferKey(slot)); !ok || modRevision < oldest {
			best, oldest, ok = slot, modRevision, true
		}
	}
	return best, ok
}

// hasOpenTransfer tells whether the transfer in a slot has not ended.
func (t *Transfers) hasOpenTransfer(slot storage.TransferSlot) bool {
	transfer := t.Replica.Transfers[slot]
	return transfer != nil && transfer.Record.Phase.IsOpen()
}

// shouldRecordTransfersTo tells whether transfers to an incarnation are recorded: not if its version does
// not know such records.
func (t *Transfers) shouldRecordTransfersTo(target storage.Incarnation) bool {
	controller := t.Replica.Controllers[target.Controller()]
	return t.Config.RecordTransfers && controller != nil && controller.Record.SupportsTransfers
}

// gangWaitTimeout is how long a proposed transfer waits for a gang to be placed in its shard.
const gangWaitTimeout = 10 * time.Second

// transferTimeouts are how long a transfer may stay in each phase.
func (t *Transfers) transferTimeouts() sharding.TransferTimeouts {
	quiesceTimeout := t.agents.SilenceTimeout() + t.Config.MaxResponseDelay + t.Config.MaxIdleResponseDelay
	return sharding.TransferTimeouts{
		GangPlacement:    gangWaitTimeout,
		Proposal:         gangWaitTimeout + quiesceTimeout,
		Quiesce:          quiesceTimeout,
		TokenObservation: t.Config.AgentLeaseTTL,
	}
}

// machinesReservedForGangs lists the machines on which capacity is reserved for gangs.
func (t *Transfers) machinesReservedForGangs() map[protocol.MachineID]bool {
	reserved := map[protocol.MachineID]bool{}
	for _, job := range t.Replica.UnfinishedJobs {
		if !job.Record.Spec.IsGang() {
			continue
		}
		for _, id := range job.Record.ReservedMachines {
			reserved[id] = true
		}
	}
	return reserved
}
