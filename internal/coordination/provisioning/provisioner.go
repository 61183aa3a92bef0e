package provisioning

import (
	"cmp"
	"slices"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// maxPoolCostRatio bounds the cost per task, relative to the cheapest pool, of the further pools
// that machines are requested from at the same time for work that is not urgent.
const maxPoolCostRatio = 1.05

// Provisioner scales out: it requests machines for demand that no machine can take.
type Provisioner struct {
	*step.Context

	catalog      *catalog.Catalog
	lease        *commit.Lease
	demandSource DemandSource
	replication  *commit.Replication
	spot         *catalog.SpotPricing
	terminator   *Terminator

	requests     map[string]*ProvisionRequest // under way, by their names
	lastSequence int                          // of the last request of this process
	exhaustedAt  map[PoolKey]protocol.Instant // when a pool last had fewer machines than requested
}

func newProvisioner(ctx *step.Context) *Provisioner {
	return &Provisioner{
		Context:     ctx,
		requests:    map[string]*ProvisionRequest{},
		exhaustedAt: map[PoolKey]protocol.Instant{},
	}
}

// ScaleOut requests machines from the cloud for what the owned jobs need and no machine, up or
// being provisioned, can take.
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

func (p *Provisioner) countSpotMachines() int {
	count := 0
	for _, entry := range p.Replica.Machines {
		if entry.Record.Spot {
			count++
		}
	}
	return count
}

// provisionForDemand sends the requests for one job's demand, at most one at a time to a pool.
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

// requestSize is the number of machines to request from a pool, within the limits of one request and
// of the spot machines of the fleet.
func (p *Provisioner) requestSize(pool pricedPool, taskCount, spotCount int) int {
	neededCount := (taskCount + pool.tasksPerMachine - 1) / pool.tasksPerMachine
	count := min(neededCount, p.Config.MaxProvisionCount, protocol.MaxProvisionCount)
	if pool.key.Spot {
		count = min(count, p.Config.MaxSpotMachines-spotCount)
	}
	return count
}
