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

// Inventory holds the cloud's list of instances and adopts those that no record knows.
type Inventory struct {
	*step.Context

	ownership   *ownership.Manager
	provisioner *Provisioner
	replication *commit.Replication
	terminator  *Terminator

	isListingInstances  bool
	nextInstanceListAt  protocol.Instant // next read of the list
	lastInstanceListAt  protocol.Instant // last one
	silentOwnedMachines int              // owned machines that are silent
	listedInstances     map[protocol.MachineID]*listedInstance
}

func NewInventory(ctx *step.Context) *Inventory {
	return &Inventory{
		Context:         ctx,
		listedInstances: map[protocol.MachineID]*listedInstance{},
	}
}

// PollInstances reads the cloud's list of machines when that is due.
func (ii *Inventory) PollInstances() {
	now := ii.Now.Monotonic
	if ii.silentOwnedMachines > 0 {
		ii.nextInstanceListAt = min(ii.nextInstanceListAt, ii.lastInstanceListAt.Add(ii.Config.SilentInstanceListInterval))
	}
	if !ii.isListingInstances && now >= ii.nextInstanceListAt {
		ii.lastInstanceListAt = now
		ii.isListingInstances = true
		ii.nextInstanceListAt = now.Add(ii.Jitter(ii.Config.InstanceListInterval))
		ii.Emit(step.ListInstances{})
	}
}

func (ii *Inventory) OnInstanceList(v step.ListInstancesResult) {
	ii.isListingInstances = false
	if v.Err != nil {
		ii.Log(slog.LevelDebug, "listing instances failed", "error", v.Err.Error())
		return
	}
	if !ii.replication.IsLoaded() {
		return
	}
	listed := map[protocol.MachineID]bool{}
	for _, instance := range v.Instances {
		if !instance.ID.IsValid() {
			continue
		}
		listed[instance.ID] = true
		ii.listedInstances[instance.ID] = &listedInstance{instance: instance, listedAt: v.RequestedAt}
	}
	for id, l := range ii.listedInstances {
		// Lists come late and out of order: one that lacks a machine counts
		// only if it was asked for well after one that had it.
		if !listed[id] && v.RequestedAt.Sub(l.listedAt) > 0 {
			if l.missedLists++; l.missedLists > 5 {
				delete(ii.listedInstances, id)
			}
		}
	}
	// A machine that reported but was never listed counts as missing too, once
	// it must have been.
	for id, e := range ii.Replica.Machines {
		if !listed[id] && ii.listedInstances[id] == nil && step.MillisToDuration(ii.Now.Wall-e.Record.AddedAt) > 3*ii.Config.InstanceListLag+5*time.Second {
			ii.listedInstances[id] = &listedInstance{instance: protocol.Instance{ID: id}, listedAt: v.RequestedAt}
		}
	}
}

// AdoptOrphanedInstances are listed machines that no record tells of: late rentals, or ones
// whose renter died before it wrote them down. They are adopted, to be used or
// returned.
func (ii *Inventory) AdoptOrphanedInstances(b *commit.Batch) {
	orphaned := step.SelectKeys(ii.listedInstances, func(l *listedInstance) bool { return ii.Replica.Machines[l.instance.ID] == nil })
	for _, id := range orphaned {
		l := ii.listedInstances[id]
		if l.missedLists > 0 || l.instance.AgeSeconds < 20 || l.instance.Type == "" || !b.CanAddMachine() || b.ChangesMachine(id) {
			continue
		}
		if _, ok := ii.terminator.terminatedAt[id]; ok || !ii.ownership.IsSuccessor(string(id)) || ii.provisioner.isGranted(id) {
			continue
		}
		b.AddMachine(id, &storage.MachineRecord{Address: l.instance.Addr, MachineType: l.instance.Type, Zone: l.instance.Zone,
			Spot: l.instance.Spot, AddedAt: ii.Now.Wall - protocol.Millis(l.instance.AgeSeconds*1000)}, 0)
		b.Log(slog.LevelInfo, "orphaned instance adopted", "machine", string(id))
	}
}
