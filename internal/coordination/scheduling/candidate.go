package scheduling

import (
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Candidate is a machine as one planning pass sees it: a snapshot, which the pass only reads,
// and what the pass has planned on the machine so far.
type Candidate struct {
	machineSnapshot
	plannedUse
}

// machineSnapshot is what is known of a machine at the start of the pass.
type machineSnapshot struct {
	id                  protocol.MachineID
	record              *storage.MachineRecord
	machineType         *protocol.MachineType
	state               *agents.MachineState // nil: this process remembers nothing of the machine
	isProvisioning      bool                 // not up yet: nothing can be assigned to it
	isNearSpotPeriodEnd bool                 // the end of its spot period is so close that it takes no new task
}

// plannedUse starts with what the records assign to the machine; placing a task adds to it.
// What a preemption would free is computed on a copy of free.
type plannedUse struct {
	free            catalog.Resources
	isUnschedulable bool // takes no new task: closed, or reserved for a starved job
	allocations     []allocation
	// Resources for tasks that are to start when running ones end.
	backfillReservation catalog.Resources
}

// concurrentFetches is how many fetches share a machine's rate if one more image is fetched while one is
// under way already.
const concurrentFetches = 2

// allocation is what the tasks of one attempt of a job take of a machine.
type allocation struct {
	job        protocol.JobID
	attempt    protocol.Attempt // 0: planned in this pass and not written
	count      int
	spec       *protocol.Job
	precedence int
}

// cores is what the tasks take together.
func (a *allocation) cores() float64 { return float64(a.count) * a.spec.Cores }

// imageFetchTime is how long the machine takes until it has the job's image.
func (c *Candidate) imageFetchTime(spec *protocol.Job) time.Duration {
	if c.state.HasImage(spec.Image) {
		return 0
	}
	fetch := protocol.Seconds(catalog.ImageFetchSeconds(c.machineType, spec))
	if c.state.IsFetchingImage() {
		fetch *= concurrentFetches
	}
	return fetch
}

// pricePerCore is the price of a core of the machine.
func (c *Candidate) pricePerCore() float64 {
	price := c.machineType.OnDemandPrice
	if c.record.Spot {
		price = c.machineType.SpotPrice
	}
	return price / max(c.machineType.Cores, catalog.Epsilon)
}
