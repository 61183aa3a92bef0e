package catalog

import (
	"math"

	"tillerarch/internal/protocol"
)

// Epsilon absorbs rounding where amounts of resources are compared: those of the users'
// requests are decimal fractions.
const Epsilon = 1e-6

// Resources are amounts of what a machine offers and a task needs. Amounts may be negative where
// more is allocated than the machine has.
type Resources struct{ Cores, accelerators, MemoryGB float64 }

// CapacityOf is what an empty machine of a type offers.
func CapacityOf(machineType *protocol.MachineType) Resources {
	return Resources{
		Cores:        machineType.Cores,
		accelerators: machineType.Accelerators,
		MemoryGB:     machineType.MemoryGB,
	}
}

// MachineTypeCapacity tells how many tasks of a job an empty machine of a type takes.
func MachineTypeCapacity(machineType *protocol.MachineType, job *protocol.Job) int {
	capacity := CapacityOf(machineType)
	return capacity.CapacityFor(job)
}

// CapacityFor tells how many tasks of a job the resources suffice for.
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

// Allocate subtracts what a number of tasks of a job need; a negative number releases it.
func (r *Resources) Allocate(job *protocol.Job, tasks int) {
	r.Cores -= float64(tasks) * job.Cores
	r.accelerators -= float64(tasks) * job.Accelerators
	r.MemoryGB -= float64(tasks) * job.MemoryGB
}

// Without is what is left of the resources once others are subtracted.
func (r Resources) Without(other Resources) Resources {
	return Resources{
		Cores:        r.Cores - other.Cores,
		accelerators: r.accelerators - other.accelerators,
		MemoryGB:     r.MemoryGB - other.MemoryGB,
	}
}
