package scheduling

import (
	"cmp"
	"slices"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// ContentionTracker keeps machine types that are in short supply for the jobs that need them.
type ContentionTracker struct {
	*step.Context

	catalog     *catalog.Catalog
	plan        *Plan
	provisioner *provisioning.Provisioner
	spot        *catalog.SpotPricing

	lastContendedAt map[protocol.MachineTypeName]protocol.Instant // when tasks last found no machine of a type
}

func NewContentionTracker(ctx *step.Context) *ContentionTracker {
	return &ContentionTracker{
		Context:         ctx,
		lastContendedAt: map[protocol.MachineTypeName]protocol.Instant{},
	}
}

// Some machine types are the only ones that certain tasks fit. While such tasks wait,
// jobs that can have a cheaper type in time leave those machines to them: else higher
// ranked small tasks fill them, and dearer large machines are rented instead.

const (
	// bootTimeFactor is how many times as long as usual a machine is taken to need to come up.
	bootTimeFactor = 1.2
	// contentionWindow is for how long a type counts as contended behind the last plan that
	// left tasks without it.
	contentionWindow = 2 * time.Second
)

// provisionOption is a machine type of one kind that a job may be served by.
type provisionOption struct {
	machineType *protocol.MachineType
	costPerTask float64 // of a task
	isAvailable bool    // the cloud may have some
}

// preferredTypes lists the types that a job's tasks are to be rented on: the one that costs
// least and has machines, and those that would cost less but have none. inTime tells
// whether new machines of that one are up before the tasks have to begin.
func (ct *ContentionTracker) preferredTypes(job *PendingJob) (types []protocol.MachineTypeName, bootsInTime bool) {
	for _, option := range ct.provisionOptions(job.Record.Spec) {
		types = append(types, option.machineType.Name)
		if !option.isAvailable {
			continue
		}
		extraBootTime := protocol.Seconds(option.machineType.BootSeconds * (bootTimeFactor - 1))
		startDelay := extraBootTime + catalog.MachineStartupTime(option.machineType, job.Record.Spec)
		bootsInTime = !job.IsLate && !job.IsStarved && startDelay <= step.MillisToDuration(job.LatestStart-ct.Now.Wall)
		return types, bootsInTime
	}
	return types, false
}

// provisionOptions lists how a job could be served, cheapest first.
func (ct *ContentionTracker) provisionOptions(d *protocol.Job) []provisionOption {
	var options []provisionOption
	for i := range ct.catalog.MachineTypes() {
		machineType := &ct.catalog.MachineTypes()[i]
		tasks := float64(catalog.MachineTypeCapacity(machineType, d))
		if tasks == 0 {
			continue
		}
		if ct.spot.CanUseSpot(d, machineType) {
			options = append(options, provisionOption{machineType: machineType, costPerTask: machineType.SpotPrice / tasks, isAvailable: ct.isTypeAvailable(machineType, d, true)})
		}
		options = append(options, provisionOption{machineType: machineType, costPerTask: machineType.OnDemandPrice / tasks, isAvailable: ct.isTypeAvailable(machineType, d, false)})
	}
	slices.SortStableFunc(options, func(a, z provisionOption) int { return cmp.Compare(a.costPerTask, z.costPerTask) })
	return options
}

// isTypeAvailable tells whether the cloud may have a machine of a type in a zone that the
// job allows.
func (ct *ContentionTracker) isTypeAvailable(machineType *protocol.MachineType, d *protocol.Job, spot bool) bool {
	return slices.ContainsFunc(machineType.Zones, func(zone protocol.Zone) bool {
		return d.AllowsPlacement(machineType.Name, zone) && !ct.provisioner.IsPoolExhausted(provisioning.PoolKey{MachineType: machineType.Name, Zone: zone, Spot: spot})
	})
}

// TypesToAvoid lists the types that a job leaves to others which wait for them.
func (ct *ContentionTracker) TypesToAvoid(job *PendingJob) map[protocol.MachineTypeName]bool {
	avoided := map[protocol.MachineTypeName]bool{}
	if len(ct.plan.ContendedTypes) == 0 {
		return avoided
	}
	preferred, bootsInTime := ct.preferredTypes(job)
	if !bootsInTime {
		return avoided
	}
	for name := range ct.plan.ContendedTypes {
		if !slices.Contains(preferred, name) {
			avoided[name] = true
		}
	}
	return avoided
}

// RecordContention notes that tasks of a job have found no machine.
func (ct *ContentionTracker) RecordContention(job *PendingJob) {
	types, _ := ct.preferredTypes(job)
	for _, name := range types {
		ct.lastContendedAt[name] = ct.Now.Monotonic
	}
}

// ContendedTypes lists the types that tasks have waited for of late.
func (ct *ContentionTracker) ContendedTypes() map[protocol.MachineTypeName]bool {
	out := map[protocol.MachineTypeName]bool{}
	for name, at := range ct.lastContendedAt {
		if ct.Since(at) < contentionWindow {
			out[name] = true
		}
	}
	return out
}
