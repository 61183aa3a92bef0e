package coordination

import (
	"math"

	"tillerarch/internal/protocol"
)

// epsilon absorbs rounding where amounts of resources are compared: those of the users'
// requests are decimal fractions.
const epsilon = 1e-6

// resources are amounts of what a machine offers and a task takes. Amounts may be negative
// where more is reserved than is free.
type resources struct{ cores, accelerators, memoryGB float64 }

// capacityOf is what an empty machine of a type offers.
func capacityOf(machineType *protocol.MachineType) resources {
	return resources{cores: machineType.Cores, accelerators: machineType.Accelerators, memoryGB: machineType.MemoryGB}
}

// capacityFor tells how many tasks of a job fit.
func (r *resources) capacityFor(job *protocol.Job) int {
	n := protocol.MaxTasks
	for _, amount := range [3]struct{ free, needed float64 }{
		{r.cores, job.Cores}, {r.accelerators, job.Accelerators}, {r.memoryGB, job.MemoryGB},
	} {
		if amount.needed > 0 {
			n = min(n, int(math.Floor(amount.free/amount.needed+epsilon)))
		}
	}
	return max(n, 0)
}

// allocate takes what n tasks of a job need; a negative n gives it back.
func (r *resources) allocate(job *protocol.Job, n int) {
	r.cores -= float64(n) * job.Cores
	r.accelerators -= float64(n) * job.Accelerators
	r.memoryGB -= float64(n) * job.MemoryGB
}

// without is what is left of the resources beside others.
func (r resources) without(other resources) resources {
	return resources{cores: r.cores - other.cores, accelerators: r.accelerators - other.accelerators, memoryGB: r.memoryGB - other.memoryGB}
}

// machineTypeCapacity tells how many tasks of a job an empty machine of a type takes.
func machineTypeCapacity(machineType *protocol.MachineType, job *protocol.Job) int {
	capacity := capacityOf(machineType)
	return capacity.capacityFor(job)
}
