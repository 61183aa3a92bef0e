package provisioning

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// DemandSource holds the demand that no machine can take, as of the last plan.
type DemandSource interface {
	Age() time.Duration
	Demands() []UnmetDemand
	ClearDemands()
}

// Provisioner scales out: it requests machines for demand that no machine can take.
type Provisioner struct {
	*step.Context

	catalog     *catalog.Catalog
	lease       *commit.Lease
	plan        DemandSource
	replication *commit.Replication
	spot        *catalog.SpotPricing
	terminator  *Terminator

	Requests    map[string]*pendingProvision
	sequence    int
	ExhaustedAt map[PoolKey]protocol.Instant // when a pool last had fewer machines than asked for
}

func NewProvisioner(ctx *step.Context) *Provisioner {
	return &Provisioner{
		Context:     ctx,
		Requests:    map[string]*pendingProvision{},
		ExhaustedAt: map[PoolKey]protocol.Instant{},
	}
}

// PoolKey names the machines of one type, zone and kind: the cloud runs out of each
// of these pools alone.
type PoolKey struct {
	MachineType protocol.MachineTypeName
	Zone        protocol.Zone
	Spot        bool
}

// pendingProvision is a rental request that is not over yet.
type pendingProvision struct {
	Request         protocol.ProvisionRequest
	requestedAt     protocol.Instant
	inFlight        bool
	retryAt         protocol.Instant
	GrantedMachines []protocol.MachineID // as granted; their records are still to be written
}

// isGranted tells whether a machine is one of those that a request was answered with.
func (p *Provisioner) isGranted(id protocol.MachineID) bool {
	for _, request := range p.Requests {
		if slices.Contains(request.GrantedMachines, id) {
			return true
		}
	}
	return false
}

// pendingPools lists the pools that a request is under way for.
func (p *Provisioner) pendingPools() map[PoolKey]bool {
	pools := map[PoolKey]bool{}
	for _, request := range p.Requests {
		pools[request.pool()] = true
	}
	return pools
}

func (p *pendingProvision) pool() PoolKey {
	return PoolKey{MachineType: p.Request.Type, Zone: p.Request.Zone, Spot: p.Request.Spot}
}

// UnmetDemand is work that no machine, up or coming, can take.
type UnmetDemand struct {
	Job         protocol.JobID
	Desc        *protocol.Job
	Tasks       int
	Zone        protocol.Zone // the only one it may be in, if not empty
	Order       int
	SubmittedAt protocol.Millis
	// All pools are asked for it at once; else dearer ones only where cheaper ones have
	// no machines.
	Urgent bool
}

// minDemandAge is the age from which a job's unmet demand counts: a younger one may
// not have been planned by its claimant yet.
const minDemandAge protocol.Millis = 300

// maxPoolCostRatio is how many times as dear as the cheapest pool another one may be that is
// asked beside it for work that is not urgent.
const maxPoolCostRatio = 1.05

// maxPlanAge is the age up to which a plan may be acted on.
const maxPlanAge = 2 * time.Second

// ScaleOut asks the cloud for what the claimed jobs need and no machine, up or
// coming, can take.
func (mp *Provisioner) ScaleOut() {
	mp.retryProvisioning()
	if mp.replication.StoreUnavailable() || mp.plan.Age() > maxPlanAge {
		return
	}
	demands := mp.plan.Demands()
	slices.SortStableFunc(demands, func(a, z UnmetDemand) int { return cmp.Compare(a.Order, z.Order) })
	pendingPools := mp.pendingPools()
	spotCount := mp.countSpotMachines()
	for _, d := range demands {
		if mp.Now.Wall-d.SubmittedAt >= minDemandAge {
			mp.ProvisionForDemand(d, pendingPools, spotCount)
		}
	}
	mp.plan.ClearDemands()
}

// retryProvisioning sends requests again that had no answer.
func (mp *Provisioner) retryProvisioning() {
	for _, name := range step.SortedKeys(mp.Requests) {
		r := mp.Requests[name]
		if r.GrantedMachines == nil && !r.inFlight && mp.Now.Monotonic >= r.retryAt {
			r.inFlight = true
			mp.Emit(step.ProvisionMachines{Request: r.Request})
		}
	}
}

func (mp *Provisioner) countSpotMachines() int {
	n := 0
	for _, e := range mp.Replica.Machines {
		if e.Record.Spot {
			n++
		}
	}
	return n
}

// ProvisionForDemand sends the requests for one job's demand, at most one at a time to a pool.
func (mp *Provisioner) ProvisionForDemand(d UnmetDemand, pendingPools map[PoolKey]bool, spotCount int) {
	remaining := d.Tasks
	cheapest := 0.0
	for _, p := range mp.poolsByCost(d) {
		if mp.IsPoolExhausted(p.key) {
			continue
		}
		if cheapest == 0 {
			cheapest = p.costPerTask
		}
		if remaining <= 0 || !d.Urgent && p.costPerTask > cheapest*maxPoolCostRatio {
			return
		}
		if pendingPools[p.key] {
			continue
		}
		n := min((remaining+p.tasksPerMachine-1)/p.tasksPerMachine, mp.Config.MaxProvisionCount, protocol.MaxProvisionCount)
		if p.key.Spot {
			n = min(n, mp.Config.MaxSpotMachines-spotCount)
		}
		if n <= 0 {
			continue
		}
		pendingPools[p.key] = true
		mp.sendProvisionRequest(p.key, n, d.Job)
		remaining -= n * p.tasksPerMachine
	}
}

func (mp *Provisioner) sendProvisionRequest(pool PoolKey, count int, job protocol.JobID) {
	mp.sequence++
	name := fmt.Sprintf("%s-%d", mp.lease.Incarnation(), mp.sequence)
	request := protocol.ProvisionRequest{RequestID: name, Type: pool.MachineType, Zone: pool.Zone, Spot: pool.Spot, Count: count}
	mp.Requests[name] = &pendingProvision{Request: request, requestedAt: mp.Now.Monotonic, inFlight: true}
	mp.Log(slog.LevelInfo, "provisioning machines", "request", name, "machine_type", string(pool.MachineType), "zone", string(pool.Zone),
		"spot", pool.Spot, "count", count, "job", string(job))
	mp.Emit(step.ProvisionMachines{Request: request})
}

// IsPoolExhausted tells whether the cloud had too few machines of a pool just now.
func (mp *Provisioner) IsPoolExhausted(p PoolKey) bool {
	at, known := mp.ExhaustedAt[p]
	return known && mp.Since(at) < mp.Config.NoCapacityBackoff
}

// pricedPool is what could be rented for a job.
type pricedPool struct {
	key             PoolKey
	tasksPerMachine int // tasks of the job on one machine
	costPerTask     float64
}

// poolsByCost lists what could be rented for a job, cheapest per task first.
func (mp *Provisioner) poolsByCost(d UnmetDemand) []pricedPool {
	var out []pricedPool
	for i := range mp.catalog.MachineTypes() {
		f := &mp.catalog.MachineTypes()[i]
		tasksPerMachine := catalog.MachineTypeCapacity(f, d.Desc)
		if tasksPerMachine == 0 {
			continue
		}
		for _, z := range f.Zones {
			if !d.Desc.AllowsPlacement(f.Name, z) || d.Zone != "" && z != d.Zone {
				continue
			}
			tasks := float64(min(tasksPerMachine, d.Tasks))
			out = append(out, pricedPool{key: PoolKey{MachineType: f.Name, Zone: z, Spot: false}, tasksPerMachine: tasksPerMachine, costPerTask: f.OnDemandPrice / tasks})
			if t := mp.spot.Threshold(catalog.PriceKey{MachineType: f.Name, Zone: z}); !d.Desc.IsService() && mp.spot.CanUseSpot(d.Desc, f) && t != nil && t.AllowsSpot() {
				out = append(out, pricedPool{key: PoolKey{MachineType: f.Name, Zone: z, Spot: true}, tasksPerMachine: tasksPerMachine, costPerTask: f.SpotPrice / tasks})
			}
		}
	}
	slices.SortStableFunc(out, func(a, z pricedPool) int {
		// Controllers differ in the zone that they try first.
		return cmp.Or(cmp.Compare(a.costPerTask, z.costPerTask), cmp.Compare(mp.zonePreference(z), mp.zonePreference(a)))
	})
	return out
}

func (mp *Provisioner) zonePreference(p pricedPool) uint64 {
	return sharding.RendezvousWeight(string(mp.Config.ControllerID), string(p.key.Zone))
}

// OnProvisionResult takes the answer to a rental request.
func (mp *Provisioner) OnProvisionResult(v step.ProvisionMachinesResult) {
	r := mp.Requests[v.Request.RequestID]
	if r == nil {
		return
	}
	r.inFlight = false
	pool := r.pool()
	switch {
	case v.NoCapacity:
		mp.ExhaustedAt[pool] = mp.Now.Monotonic
		delete(mp.Requests, v.Request.RequestID)
		mp.Log(slog.LevelInfo, "cloud has no capacity", "machine_type", string(pool.MachineType), "zone", string(pool.Zone), "spot", pool.Spot)
	case v.Invalid:
		mp.ExhaustedAt[pool] = mp.Now.Monotonic
		delete(mp.Requests, v.Request.RequestID)
		mp.Log(slog.LevelError, "provision request rejected as invalid", "request", v.Request.RequestID)
	case v.Err != nil:
		// It may have been carried out: the same name is asked again.
		r.retryAt = mp.Now.Monotonic.Add(mp.Jitter(time.Second))
		mp.Log(slog.LevelWarn, "provision request failed, will retry", "request", v.Request.RequestID, "error", v.Err.Error())
	default:
		if len(v.Machines) < v.Request.Count {
			mp.ExhaustedAt[pool] = mp.Now.Monotonic
		}
		r.GrantedMachines = v.Machines
		if len(v.Machines) == 0 {
			delete(mp.Requests, v.Request.RequestID)
		}
		mp.Log(slog.LevelInfo, "provision request granted", "request", v.Request.RequestID, "count", len(v.Machines), "requested", v.Request.Count)
	}
}

// RecordGrantedMachines puts granted machines on record.
func (mp *Provisioner) RecordGrantedMachines(b *commit.Batch) {
	for _, name := range step.SortedKeys(mp.Requests) {
		r := mp.Requests[name]
		if r.GrantedMachines == nil {
			continue
		}
		missing := 0
		for _, id := range r.GrantedMachines {
			if _, released := mp.terminator.terminatedAt[id]; released || mp.Replica.Machines[id] != nil {
				continue
			}
			missing++
			if !b.ChangesMachine(id) && b.CanAddMachine() {
				b.AddMachine(id, &storage.MachineRecord{MachineType: r.Request.Type, Zone: r.Request.Zone, Spot: r.Request.Spot,
					AddedAt: mp.Now.Wall - protocol.Millis(mp.Since(r.requestedAt).Milliseconds())}, 0)
			}
		}
		if missing == 0 {
			delete(mp.Requests, name)
		}
	}
}
