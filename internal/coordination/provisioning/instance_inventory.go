package provisioning

import (
	"log/slog"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// missedListsUntilMissing is the number of consecutive lists without a machine after which the
	// machine counts as missing. All of them were requested after the last list with the machine.
	missedListsUntilMissing = 2

	// missedListsUntilForgotten is the number of such lists after which the machine is forgotten.
	missedListsUntilForgotten = 6

	// A machine that is older than unlistedLagFactor times the lag of the list plus unlistedMargin must
	// have been listed.
	unlistedLagFactor = 3
	unlistedMargin    = 5 * time.Second

	// minOrphanAgeSeconds is the age by which the controller that requested a listed machine must have
	// recorded the machine in the store.
	minOrphanAgeSeconds = 20

	millisPerSecond = 1000
)

// Inventory holds the cloud's list of instances and adopts instances that have no machine record.
type Inventory struct {
	*step.Context

	ownership   *ownership.Manager
	provisioner *Provisioner
	replication *commit.Replication
	terminator  *Terminator

	isListing          bool // a list has been requested and not received
	nextListAt         protocol.Instant
	lastListAt         protocol.Instant // when the last list was requested
	silentMachineCount int              // number of owned machines that are silent
	listedInstances    map[protocol.MachineID]*listedInstance
}

// listedInstance holds what the cloud's lists contain about a machine. A recorded machine that no list
// contains, although it must have been listed, has a listedInstance with only the ID.
type listedInstance struct {
	instance        protocol.Instance
	listedAt        protocol.Instant // when the last list with the machine was requested
	missedListCount int              // number of later lists, in a row, without the machine
}

// newInventory returns an inventory that has received no list.
func newInventory(ctx *step.Context) *Inventory {
	return &Inventory{
		Context:         ctx,
		listedInstances: map[protocol.MachineID]*listedInstance{},
	}
}

// PollInstances requests the cloud's list of instances when the next list is due. Lists are requested
// more often while owned machines are silent.
func (inv *Inventory) PollInstances() {
	now := inv.Now.Monotonic
	if inv.silentMachineCount > 0 {
		inv.nextListAt = min(inv.nextListAt, inv.lastListAt.Add(inv.Config.SilentInstanceListInterval))
	}
	if !inv.isListing && now >= inv.nextListAt {
		inv.lastListAt = now
		inv.isListing = true
		inv.nextListAt = now.Add(inv.Jitter(inv.Config.InstanceListInterval))
		inv.Emit(step.ListInstances{})
	}
}

// OnListInstancesResult handles the result of a request for the cloud's list of instances.
func (inv *Inventory) OnListInstancesResult(result step.ListInstancesResult) {
	inv.isListing = false
	if result.Err != nil {
		inv.Log(slog.LevelDebug, "listing instances failed", "error", result.Err)
		return
	}
	if !inv.replication.IsLoaded() {
		return
	}
	listedIDs := inv.recordListedInstances(result)
	inv.countMissedLists(listedIDs, result.RequestedAt)
	inv.recordNeverListedMachines(listedIDs, result.RequestedAt)
}

// recordListedInstances records the instances of a list and returns the set of their IDs. It ignores
// instances with invalid IDs.
func (inv *Inventory) recordListedInstances(result step.ListInstancesResult) map[protocol.MachineID]bool {
	listedIDs := map[protocol.MachineID]bool{}
	for _, instance := range result.Instances {
		if !instance.ID.IsValid() {
			continue
		}
		listedIDs[instance.ID] = true
		inv.listedInstances[instance.ID] = &listedInstance{instance: instance, listedAt: result.RequestedAt}
	}
	return listedIDs
}

// countMissedLists counts a list for each known machine that the list lacks. Because lists arrive late
// and out of order, a list counts only if it was requested after the last list with the machine.
func (inv *Inventory) countMissedLists(listedIDs map[protocol.MachineID]bool, requestedAt protocol.Instant) {
	for id, listed := range inv.listedInstances {
		if listedIDs[id] || requestedAt <= listed.listedAt {
			continue
		}
		if listed.missedListCount++; listed.missedListCount >= missedListsUntilForgotten {
			delete(inv.listedInstances, id)
		}
	}
}

// recordNeverListedMachines adds the recorded machines that no list has contained although they must
// have been listed. From then on, countMissedLists counts the lists without them.
func (inv *Inventory) recordNeverListedMachines(listedIDs map[protocol.MachineID]bool, requestedAt protocol.Instant) {
	maxUnlistedAge := unlistedLagFactor*inv.Config.InstanceListLag + unlistedMargin
	for id, entry := range inv.Replica.Machines {
		if listedIDs[id] || inv.listedInstances[id] != nil {
			continue
		}
		if step.MillisToDuration(inv.Now.Wall-entry.Record.AddedAt) > maxUnlistedAge {
			inv.listedInstances[id] = &listedInstance{instance: protocol.Instance{ID: id}, listedAt: requestedAt}
		}
	}
}

// AdoptOrphanedInstances adds records to the batch for listed machines that have none. Such machines
// were granted late, or their controller ended before it recorded them. After the adoption they are
// used or scaled in.
func (inv *Inventory) AdoptOrphanedInstances(batch *commit.Batch) {
	orphanIDs := step.SelectKeys(inv.listedInstances, func(listed *listedInstance) bool {
		return inv.Replica.Machines[listed.instance.ID] == nil
	})
	for _, id := range orphanIDs {
		listed := inv.listedInstances[id]
		if !listed.isAdoptable() || !batch.CanAddMachine() || batch.ChangesMachine(id) {
			continue
		}
		if inv.terminator.wasRemovedRecently(id) || !inv.ownership.IsSuccessor(string(id)) || inv.provisioner.isGranted(id) {
			continue
		}
		batch.AddMachine(id, inv.newMachineRecord(&listed.instance), 0)
		batch.Log(slog.LevelInfo, "orphaned instance adopted", "machine", string(id))
	}
}

// isAdoptable reports whether an unrecorded machine certainly exists and is so old that no controller is
// about to record it.
func (listed *listedInstance) isAdoptable() bool {
	instance := &listed.instance
	return listed.missedListCount == 0 && instance.AgeSeconds >= minOrphanAgeSeconds && instance.Type != ""
}

// newMachineRecord returns the machine record of an adopted instance.
func (inv *Inventory) newMachineRecord(instance *protocol.Instance) *storage.MachineRecord {
	return &storage.MachineRecord{
		Address:     instance.Addr,
		MachineType: instance.Type,
		Zone:        instance.Zone,
		Spot:        instance.Spot,
		AddedAt:     inv.Now.Wall - protocol.Millis(instance.AgeSeconds*millisPerSecond),
	}
}

// setSilentMachineCount sets the number of owned machines that are silent.
func (inv *Inventory) setSilentMachineCount(count int) { inv.silentMachineCount = count }

// isListedAsFailed reports whether the cloud lists a machine as failed.
func (inv *Inventory) isListedAsFailed(id protocol.MachineID) bool {
	listed := inv.listedInstances[id]
	return listed != nil && listed.instance.State == protocol.InstanceFailed
}

// isMissing reports whether the cloud no longer lists a machine.
func (inv *Inventory) isMissing(id protocol.MachineID) bool {
	listed := inv.listedInstances[id]
	return listed != nil && listed.missedListCount >= missedListsUntilMissing
}
