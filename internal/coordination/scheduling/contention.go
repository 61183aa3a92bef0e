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

// Some tasks fit only certain machine types. While such tasks wait, jobs that can get a cheaper type in
// time avoid these types. Otherwise small tasks of higher priority would fill the machines, and more
// expensive large machines would be provisioned.
const (
	// bootTimeFactor is the assumed boot time of a machine as a multiple of the usual boot time of its type.
	bootTimeFactor = 1.2
	// contentionWindow is how long a type counts as contended after the last plan that left tasks waiting
	// for it.
	contentionWindow = 2 * time.Second
)

// contentionTracker records the machine types that tasks wait for and decides which jobs avoid them.
type contentionTracker struct {
	*step.Context

	catalog     *catalog.Catalog
	plan        *Plan
	provisioner *provisioning.Provisioner
	spot        *catalog.SpotPricing

	lastContendedAt map[protocol.MachineTypeName]protocol.Instant // when tasks last found no machine of the type
}

func newContentionTracker(ctx *step.Context) *contentionTracker {
	return &contentionTracker{
		Context:         ctx,
		lastContendedAt: map[protocol.MachineTypeName]protocol.Instant{},
	}
}

// recordContention records that tasks of a job have found no machine.
func (ct *contentionTracker) recordContention(job *PendingJob) {
	types, _ := ct.preferredTypes(job)
	for _, name := range types {
		ct.lastContendedAt[name] = ct.Now.Monotonic
	}
}

// contendedTypes returns the machine types that tasks have waited for within contentionWindow.
func (ct *contentionTracker) contendedTypes() map[protocol.MachineTypeName]bool {
	contended := map[protocol.MachineTypeName]bool{}
	for name, contendedAt := range ct.lastContendedAt {
		if ct.Since(contendedAt) < contentionWindow {
			contended[name] = true
		}
	}
	return contended
}

// typesToAvoid returns the contended machine types that a job leaves to the jobs that wait for them.
func (ct *contentionTracker) typesToAvoid(job *PendingJob) map[protocol.MachineTypeName]bool {
	avoided := map[protocol.MachineTypeName]bool{}
	contended := ct.plan.pass.contendedTypes
	if len(contended) == 0 {
		return avoided
	}
	preferred, bootsInTime := ct.preferredTypes(job)
	if !bootsInTime {
		return avoided
	}
	for name := range contended {
		if !slices.Contains(preferred, name) {
			avoided[name] = true
		}
	}
	return avoided
}

// preferredTypes returns the machine types on which a job's tasks would be provisioned: the cheapest
// available type, preceded by the cheaper types that are unavailable. The result bootsInTime reports
// whether new machines of the available type are up before the tasks have to start.
func (ct *contentionTracker) preferredTypes(job *PendingJob) (types []protocol.MachineTypeName, bootsInTime bool) {
	for _, option := range ct.provisionOptions(job.record.Spec) {
		types = append(types, option.machineType.Name)
		if option.isAvailable {
			return types, ct.bootsInTime(job, option.machineType)
		}
	}
	return types, false
}

// bootsInTime reports whether a machine of the type that is provisioned now is up before the job's
// tasks have to start.
func (ct *contentionTracker) bootsInTime(job *PendingJob, machineType *protocol.MachineType) bool {
	if job.isLate || job.isStarved {
		return false
	}
	extraBootTime := protocol.Seconds(machineType.BootSeconds * (bootTimeFactor - 1))
	startDelay := extraBootTime + catalog.MachineStartupTime(machineType, job.record.Spec)
	return startDelay <= job.timeUntilLatestStart(ct.Now)
}

// provisionOption is a machine type, either spot or on demand, that could run tasks of a job.
type provisionOption struct {
	machineType *protocol.MachineType
	costPerTask float64
	isAvailable bool // the cloud may have capacity
}

// provisionOptions returns the options to provision machines for a job, cheapest first.
func (ct *contentionTracker) provisionOptions(spec *protocol.Job) []provisionOption {
	var options []provisionOption
	types := ct.catalog.MachineTypes()
	for i := range types {
		machineType := &types[i]
		tasks := float64(catalog.MachineTypeCapacity(machineType, spec))
		if tasks == 0 {
			continue
		}
		if ct.spot.CanUseSpot(spec, machineType) {
			options = append(options, provisionOption{
				machineType: machineType,
				costPerTask: machineType.SpotPrice / tasks,
				isAvailable: ct.isTypeAvailable(machineType, spec, true),
			})
		}
		options = append(options, provisionOption{
			machineType: machineType,
			costPerTask: machineType.OnDemandPrice / tasks,
			isAvailable: ct.isTypeAvailable(machineType, spec, false),
		})
	}
	slices.SortStableFunc(options, func(left, right provisionOption) int {
		return cmp.Compare(left.costPerTask, right.costPerTask)
	})
	return options
}

// isTypeAvailable reports whether the cloud may have capacity for the machine type in a zone that the
// job allows.
func (ct *contentionTracker) isTypeAvailable(machineType *protocol.MachineType, spec *protocol.Job, spot bool) bool {
	return slices.ContainsFunc(machineType.Zones, func(zone protocol.Zone) bool {
		pool := provisioning.PoolKey{MachineType: machineType.Name, Zone: zone, Spot: spot}
		return spec.AllowsPlacement(machineType.Name, zone) && !ct.provisioner.IsPoolExhausted(pool)
	})
}
