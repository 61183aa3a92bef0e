package provisioning

import (
	"cmp"
	"slices"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// maxPoolCostRatio is the maximum cost per task of a pool from which machines are requested for demand
// that is not urgent, as a multiple of the cost in the cheapest pool that is not exhausted.
const maxPoolCostRatio = 1.05

// Provisioner scales the fleet out. It requests machines for demand that no existing machine can take.
type Provisioner struct {
	*step.Context

	catalog      *catalog.Catalog
	lease        *commit.Lease
	demandSource DemandSource
	replication  *commit.Replication
	spot         *catalog.SpotPricing
	terminator   *Terminator

	requests     map[string]*ProvisionRequest // requests in progress, by name
	lastSequence int                          // sequence number of this process's last request
	exhaustedAt  map[PoolKey]protocol.Instant // when the cloud last had too few machines in a pool
}

// newProvisioner returns a provisioner without requests.
func newProvisioner(ctx *step.Context) *Provisioner {
	return &Provisioner{
		Context:     ctx,
		requests:    map[string]*ProvisionRequest{},
		exhaustedAt: map[PoolKey]protocol.Instant{},
	}
}

// ScaleOut retries failed provision requests, and requests machines for the plan's unmet demand, which
// is that of the jobs that this controller owns. It sends no new request while the store is unavailable
// or the plan is older than maxPlanAge.
func (p *Provisioner) ScaleOut() {
	p.retryRequests()
	if p.replication.StoreUnavailable() || p.demandSource.Age() > maxPlanAge {
		return
	}
	demands := p.demandSource.Demands()
	slices.SortStableFunc(demands, func(left, right UnmetDemand) int {
		return cmp.Compare(left.Precedence, right.Precedence)
	})
	pendingPools := p.poolsWithRequests()
	spotCount := p.countSpotMachines()
	for _, demand := range demands {
		if p.Now.Wall-demand.SubmittedAt >= minDemandAge {
			p.provisionForDemand(demand, pendingPools, spotCount)
		}
	}
	p.demandSource.ClearDemands()
}

// countSpotMachines returns the number of spot machines that have a record.
func (p *Provisioner) countSpotMachines() int {
	count := 0
	for _, entry := range p.Replica.Machines {
		if entry.Record.Spot {
			count++
		}
	}
	return count
}

// provisionForDemand sends the requests for one job's demand. A pool has at most one request in progress
// at a time. pendingPools holds the pools with a request, and provisionForDemand adds those to which it
// sends one.
func (p *Provisioner) provisionForDemand(demand UnmetDemand, pendingPools map[PoolKey]bool, spotCount int) {
	remainingTasks := demand.TaskCount
	cheapestCostPerTask := 0.0
	for _, pool := range p.poolsByCost(demand) {
		if p.IsPoolExhausted(pool.key) {
			continue
		}
		if cheapestCostPerTask == 0 {
			cheapestCostPerTask = pool.costPerTask
		}
		if remainingTasks <= 0 || !demand.IsUrgent && pool.costPerTask > cheapestCostPerTask*maxPoolCostRatio {
			return
		}
		if pendingPools[pool.key] {
			continue
		}
		machineCount := p.requestSize(pool, remainingTasks, spotCount)
		if machineCount <= 0 {
			continue
		}
		pendingPools[pool.key] = true
		p.sendRequest(pool.key, machineCount, demand.Job)
		remainingTasks -= machineCount * pool.tasksPerMachine
	}
}

// requestSize returns the number of machines to request from a pool for a number of tasks. It limits the
// number to the maximum of one request and, for a spot pool, to the number of spot machines that the
// fleet may still add.
func (p *Provisioner) requestSize(pool pricedPool, taskCount, spotCount int) int {
	neededCount := (taskCount + pool.tasksPerMachine - 1) / pool.tasksPerMachine
	count := min(neededCount, p.Config.MaxProvisionCount, protocol.MaxProvisionCount)
	if pool.key.Spot {
		count = min(count, p.Config.MaxSpotMachines-spotCount)
	}
	return count
}
