package scheduling

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Candidate is a machine in one planning pass. It consists of a snapshot, which the pass only reads,
// and of what the pass has planned on the machine so far.
type Candidate struct {
	machineSnapshot
	plannedUse
}

// machineSnapshot is the state of a machine at the start of the pass.
type machineSnapshot struct {
	id                  protocol.MachineID
	record              *storage.MachineRecord
	machineType         *protocol.MachineType
	state               *agents.MachineState // nil if this process has no state of the machine
	isProvisioning      bool                 // the machine is not up yet, so nothing can be assigned to it
	isNearSpotPeriodEnd bool                 // the spot period ends too soon for new tasks
}

// plannedUse starts with the assignments of the machine's record and grows as the pass places tasks.
// The effect of a preemption is computed on a copy of free.
type plannedUse struct {
	free            catalog.Resources
	isUnschedulable bool // takes no new tasks because it is closed or reserved for a starved job
	allocations     []allocation
	// backfillReservation is reserved for tasks that are to start when running tasks end.
	backfillReservation catalog.Resources
}

// concurrentFetches is the number of image fetches that share a machine's fetch rate when a second fetch
// starts while one is in progress.
const concurrentFetches = 2

// allocation is the resources that the tasks of one attempt of a job occupy on a machine.
type allocation struct {
	job        protocol.JobID
	attempt    protocol.Attempt // 0 if planned in this pass and not written
	count      int
	spec       *protocol.Job
	precedence int
}

// cores returns the number of cores that the tasks occupy together.
func (a *allocation) cores() float64 { return float64(a.count) * a.spec.Cores }

// imageFetchTime returns the time until the machine has the job's image, or 0 if it has the image.
func (c *Candidate) imageFetchTime(spec *protocol.Job) time.Duration {
	if c.state.HasImage(spec.Image) {
		return 0
	}
	fetchTime := protocol.Seconds(catalog.ImageFetchSeconds(c.machineType, spec))
	if c.state.IsFetchingImage() {
		fetchTime *= concurrentFetches
	}
	return fetchTime
}

// pricePerCore returns the price of the machine per core.
func (c *Candidate) pricePerCore() float64 {
	price := c.machineType.OnDemandPrice
	if c.record.Spot {
		price = c.machineType.SpotPrice
	}
	return price / max(c.machineType.Cores, catalog.Epsilon)
}
