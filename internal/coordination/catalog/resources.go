package catalog

import (
	"math"

	"tillerarch/internal/protocol"
)

// Epsilon absorbs rounding errors where amounts of resources are compared, because users request
// amounts as decimal fractions.
const Epsilon = 1e-6

// Resources holds the amounts of resources that a machine offers or a task needs. An amount is
// negative if more is allocated than the machine has.
type Resources struct{ Cores, accelerators, MemoryGB float64 }

// CapacityOf returns the resources of an empty machine of a type.
func CapacityOf(machineType *protocol.MachineType) Resources {
	return Resources{
		Cores:        machineType.Cores,
		accelerators: machineType.Accelerators,
		MemoryGB:     machineType.MemoryGB,
	}
}

// MachineTypeCapacity returns the number of tasks of a job that fit on an empty machine of a type.
func MachineTypeCapacity(machineType *protocol.MachineType, job *protocol.Job) int {
	capacity := CapacityOf(machineType)
	return capacity.CapacityFor(job)
}

// CapacityFor returns the number of tasks of a job for which the resources suffice.
func (r *Resources) CapacityFor(job *protocol.Job) int {
	tasks := protocol.MaxTasks
	for _, amount := range [3]struct{ free, needed float64 }{
		{r.Cores, job.Cores}, {r.accelerators, job.Accelerators}, {r.MemoryGB, job.MemoryGB},
	} {
		if amount.needed > 0 {
			tasks = min(tasks, int(math.Floor(amount.free/amount.needed+Epsilon)))
		}
	}
	return max(tasks, 0)
}

// Allocate subtracts the resources that tasks of a job need. A negative number of tasks releases
// resources.
func (r *Resources) Allocate(job *protocol.Job, tasks int) {
	r.Cores -= float64(tasks) * job.Cores
	r.accelerators -= float64(tasks) * job.Accelerators
	r.MemoryGB -= float64(tasks) * job.MemoryGB
}

// Without returns the resources that are left after other is subtracted.
func (r Resources) Without(other Resources) Resources {
	return Resources{
		Cores:        r.Cores - other.Cores,
		accelerators: r.accelerators - other.accelerators,
		MemoryGB:     r.MemoryGB - other.MemoryGB,
	}
}
