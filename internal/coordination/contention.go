package coordination

import (
	"cmp"
	"slices"
	"time"

	"tillerarch/internal/protocol"
)

// contentionTracker keeps machine types that are in short supply for the jobs that need them.
type contentionTracker struct {
	*stepContext

	catalog     *machineCatalog
	plan        *placementPlan
	provisioner *machineProvisioner
	spot        *spotPricing

	lastContendedAt map[protocol.MachineTypeName]protocol.Instant // when tasks last found no machine of a type
}

func newContentionTracker(ctx *stepContext) *contentionTracker {
	return &contentionTracker{
		stepContext:     ctx,
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
func (ct *contentionTracker) preferredTypes(job *pendingJob) (types []protocol.MachineTypeName, bootsInTime bool) {
	for _, option := range ct.provisionOptions(job.record.Spec) {
		types = append(types, option.machineType.Name)
		if !option.isAvailable {
			continue
		}
		extraBootTime := protocol.Seconds(option.machineType.BootSeconds * (bootTimeFactor - 1))
		startDelay := extraBootTime + machineStartupTime(option.machineType, job.record.Spec)
		bootsInTime = !job.isLate && !job.isStarved && startDelay <= millisToDuration(job.latestStart-ct.now.Wall)
		return types, bootsInTime
	}
	return types, false
}

// provisionOptions lists how a job could be served, cheapest first.
func (ct *contentionTracker) provisionOptions(d *protocol.Job) []provisionOption {
	var options []provisionOption
	for i := range ct.catalog.machineTypes {
		machineType := &ct.catalog.machineTypes[i]
		tasks := float64(machineTypeCapacity(machineType, d))
		if tasks == 0 {
			continue
		}
		if ct.spot.canUseSpot(d, machineType) {
			options = append(options, provisionOption{machineType: machineType, costPerTask: machineType.SpotPrice / tasks, isAvailable: ct.isTypeAvailable(machineType, d, true)})
		}
		options = append(options, provisionOption{machineType: machineType, costPerTask: machineType.OnDemandPrice / tasks, isAvailable: ct.isTypeAvailable(machineType, d, false)})
	}
	slices.SortStableFunc(options, func(a, z provisionOption) int { return cmp.Compare(a.costPerTask, z.costPerTask) })
	return options
}

// isTypeAvailable tells whether the cloud may have a machine of a type in a zone that the
// job allows.
func (ct *contentionTracker) isTypeAvailable(machineType *protocol.MachineType, d *protocol.Job, spot bool) bool {
	return slices.ContainsFunc(machineType.Zones, func(zone protocol.Zone) bool {
		return d.AllowsPlacement(machineType.Name, zone) && !ct.provisioner.isPoolExhausted(poolKey{machineType: machineType.Name, zone: zone, spot: spot})
	})
}

// typesToAvoid lists the types that a job leaves to others which wait for them.
func (ct *contentionTracker) typesToAvoid(job *pendingJob) map[protocol.MachineTypeName]bool {
	avoided := map[protocol.MachineTypeName]bool{}
	if len(ct.plan.contendedTypes) == 0 {
		return avoided
	}
	preferred, bootsInTime := ct.preferredTypes(job)
	if !bootsInTime {
		return avoided
	}
	for name := range ct.plan.contendedTypes {
		if !slices.Contains(preferred, name) {
			avoided[name] = true
		}
	}
	return avoided
}

// recordContention notes that tasks of a job have found no machine.
func (ct *contentionTracker) recordContention(job *pendingJob) {
	types, _ := ct.preferredTypes(job)
	for _, name := range types {
		ct.lastContendedAt[name] = ct.now.Monotonic
	}
}

// contendedTypes lists the types that tasks have waited for of late.
func (ct *contentionTracker) contendedTypes() map[protocol.MachineTypeName]bool {
	out := map[protocol.MachineTypeName]bool{}
	for name, at := range ct.lastContendedAt {
		if ct.since(at) < contentionWindow {
			out[name] = true
		}
	}
	return out
}
