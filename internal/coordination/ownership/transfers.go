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
// Jobs continue to run on the machines of a shard in transfer. If transfers are recorded (setting
// `moves.recorded`), the source first quiesces the shard: it places nothing new on the machines, sends
// no start, and waits for a heartbeat that each agent has sent after its last start. If transfers are
// not recorded, or if the source has no time to quiesce the shard, one write changes the owner. The
// target then resolves the commands in flight from the reports of the agents.
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
	lastTransferNumber int              // number in the last transfer name of this process
}

// transferObservation holds the revision of a transfer and when this process first saw the transfer at
// that revision.
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

// OpenTransfer records a transfer in a free slot of its target. It writes nothing if no slot is free or the batch
// has no capacity. An empty name is replaced by a new name. The transaction is conditional on the keys of the shard and of
// both controllers.
func (t *Transfers) OpenTransfer(
	batch *commit.Batch, transfer sharding.Transfer, phase storage.TransferPhase, reason, name string,
) {
	slot, ok := t.freeTransferSlot(batch, transfer.Target.Controller())
	dependencies := []string{
		storage.ShardKey(transfer.Shard),
		storage.ControllerKey(transfer.Source.Controller()),
		storage.ControllerKey(transfer.Target.Controller()),
	}
	if !ok || !batch.HasCapacityWith(1, dependencies...) {
		return // the caller tries again
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
	for _, key := range dependencies {
		batch.DependOn(key)
	}
	batch.Log(slog.LevelInfo, "shard transfer started",
		"transfer", name, "shard", string(transfer.Shard), "count", record.MachineCount,
		"source", string(transfer.Source), "target", string(transfer.Target),
		"phase", string(phase), "reason", reason)
}

// ShardsInTransfer returns the shards that have a transfer in a matching phase.
func (t *Transfers) ShardsInTransfer(matches func(storage.TransferPhase) bool) map[storage.ShardID]bool {
	shards := map[storage.ShardID]bool{}
	for _, transfer := range t.Replica.Transfers {
		if matches(transfer.Record.Phase) {
			shards[transfer.Record.Shard] = true
		}
	}
	return shards
}

// IsPrepared reports whether a transfer in the given phase quiesces its shard, so that no task may start
// on the shard.
func IsPrepared(phase storage.TransferPhase) bool { return phase == storage.TransferPrepared }

// IsQuiesced reports whether a shard has a prepared transfer, so that no task may start on the shard. It
// is called for each heartbeat and therefore does not build the set of ShardsInTransfer.
func (t *Transfers) IsQuiesced(id storage.ShardID) bool {
	for _, transfer := range t.Replica.Transfers {
		if transfer.Record.Shard == id && IsPrepared(transfer.Record.Phase) {
			return true
		}
	}
	return false
}

// nextTransferName returns a name that no other transfer has or had.
func (t *Transfers) nextTransferName() string {
	t.lastTransferNumber++
	return fmt.Sprintf("%s-%d", t.lease.Incarnation(), t.lastTransferNumber)
}

// freeTransferSlot returns the slot of a target whose transfer ended first, or a slot that never had a
// transfer. Slots that the batch changes are left out. ok reports whether there is a free slot.
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

// hasOpenTransfer reports whether a slot holds a transfer that has not ended.
func (t *Transfers) hasOpenTransfer(slot storage.TransferSlot) bool {
	transfer := t.Replica.Transfers[slot]
	return transfer != nil && transfer.Record.Phase.IsOpen()
}

// shouldRecordTransfersTo reports whether transfers to an incarnation are recorded. They are recorded if
// the setting says so and the version of the target knows such records.
func (t *Transfers) shouldRecordTransfersTo(target storage.Incarnation) bool {
	controller := t.Replica.Controllers[target.Controller()]
	return t.Config.RecordTransfers && controller != nil && controller.Record.SupportsTransfers
}

// gangWaitTimeout is the maximum time for which a proposed transfer waits until a gang is placed on its
// shard.
const gangWaitTimeout = 10 * time.Second

// transferTimeouts returns the maximum time of a transfer in each phase.
func (t *Transfers) transferTimeouts() sharding.TransferTimeouts {
	quiesceTimeout := t.agents.SilenceTimeout() + t.Config.MaxResponseDelay + t.Config.MaxIdleResponseDelay
	return sharding.TransferTimeouts{
		GangPlacement:    gangWaitTimeout,
		Proposal:         gangWaitTimeout + quiesceTimeout,
		Quiesce:          quiesceTimeout,
		TokenObservation: t.Config.AgentLeaseTTL,
	}
}

// machinesReservedForGangs returns the machines on which capacity is reserved for gangs.
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
