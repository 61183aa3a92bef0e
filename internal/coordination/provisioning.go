package coordination

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/sharding"
	"tillerarch/internal/storage"
)

// DemandSource holds the demand that no machine can take, as of the last plan.
type DemandSource interface {
	Age() time.Duration
	Demands() []unmetDemand
	ClearDemands()
}

// machineProvisioner scales out: it requests machines for demand that no machine can take.
type machineProvisioner struct {
	*stepContext

	catalog     *machineCatalog
	lease       *incarnationLease
	plan        DemandSource
	replication *replicaSync
	spot        *spotPricing
	terminator  *machineTerminator

	requests    map[string]*pendingProvision
	sequence    int
	exhaustedAt map[poolKey]protocol.Instant // when a pool last had fewer machines than asked for
}

func newMachineProvisioner(ctx *stepContext) *machineProvisioner {
	return &machineProvisioner{
		stepContext: ctx,
		requests:    map[string]*pendingProvision{},
		exhaustedAt: map[poolKey]protocol.Instant{},
	}
}

// poolKey names the machines of one type, zone and kind: the cloud runs out of each
// of these pools alone.
type poolKey struct {
	machineType protocol.MachineTypeName
	zone        protocol.Zone
	spot        bool
}

// pendingProvision is a rental request that is not over yet.
type pendingProvision struct {
	request         protocol.ProvisionRequest
	requestedAt     protocol.Instant
	inFlight        bool
	retryAt         protocol.Instant
	grantedMachines []protocol.MachineID // as granted; their records are still to be written
}

// isGranted tells whether a machine is one of those that a request was answered with.
func (p *machineProvisioner) isGranted(id protocol.MachineID) bool {
	for _, request := range p.requests {
		if slices.Contains(request.grantedMachines, id) {
			return true
		}
	}
	return false
}

// pendingPools lists the pools that a request is under way for.
func (p *machineProvisioner) pendingPools() map[poolKey]bool {
	pools := map[poolKey]bool{}
	for _, request := range p.requests {
		pools[request.pool()] = true
	}
	return pools
}

func (p *pendingProvision) pool() poolKey {
	return poolKey{machineType: p.request.Type, zone: p.request.Zone, spot: p.request.Spot}
}

// unmetDemand is work that no machine, up or coming, can take.
type unmetDemand struct {
	job         protocol.JobID
	desc        *protocol.Job
	tasks       int
	zone        protocol.Zone // the only one it may be in, if not empty
	order       int
	submittedAt protocol.Millis
	// All pools are asked for it at once; else dearer ones only where cheaper ones have
	// no machines.
	urgent bool
}

// minDemandAge is the age from which a job's unmet demand counts: a younger one may
// not have been planned by its claimant yet.
const minDemandAge protocol.Millis = 300

// maxPoolCostRatio is how many times as dear as the cheapest pool another one may be that is
// asked beside it for work that is not urgent.
const maxPoolCostRatio = 1.05

// maxPlanAge is the age up to which a plan may be acted on.
const maxPlanAge = 2 * time.Second

// scaleOut asks the cloud for what the claimed jobs need and no machine, up or
// coming, can take.
func (mp *machineProvisioner) scaleOut() {
	mp.retryProvisioning()
	if mp.replication.storeUnavailable() || mp.plan.Age() > maxPlanAge {
		return
	}
	demands := mp.plan.Demands()
	slices.SortStableFunc(demands, func(a, z unmetDemand) int { return cmp.Compare(a.order, z.order) })
	pendingPools := mp.pendingPools()
	spotCount := mp.countSpotMachines()
	for _, d := range demands {
		if mp.now.Wall-d.submittedAt >= minDemandAge {
			mp.provisionForDemand(d, pendingPools, spotCount)
		}
	}
	mp.plan.ClearDemands()
}

// retryProvisioning sends requests again that had no answer.
func (mp *machineProvisioner) retryProvisioning() {
	for _, name := range sortedKeys(mp.requests) {
		r := mp.requests[name]
		if r.grantedMachines == nil && !r.inFlight && mp.now.Monotonic >= r.retryAt {
			r.inFlight = true
			mp.emit(ProvisionMachines{Request: r.request})
		}
	}
}

func (mp *machineProvisioner) countSpotMachines() int {
	n := 0
	for _, e := range mp.replica.Machines {
		if e.Record.Spot {
			n++
		}
	}
	return n
}

// provisionForDemand sends the requests for one job's demand, at most one at a time to a pool.
func (mp *machineProvisioner) provisionForDemand(d unmetDemand, pendingPools map[poolKey]bool, spotCount int) {
	remaining := d.tasks
	cheapest := 0.0
	for _, p := range mp.poolsByCost(d) {
		if mp.isPoolExhausted(p.key) {
			continue
		}
		if cheapest == 0 {
			cheapest = p.costPerTask
		}
		if remaining <= 0 || !d.urgent && p.costPerTask > cheapest*maxPoolCostRatio {
			return
		}
		if pendingPools[p.key] {
			continue
		}
		n := min((remaining+p.tasksPerMachine-1)/p.tasksPerMachine, mp.cfg.MaxProvisionCount, protocol.MaxProvisionCount)
		if p.key.spot {
			n = min(n, mp.cfg.MaxSpotMachines-spotCount)
		}
		if n <= 0 {
			continue
		}
		pendingPools[p.key] = true
		mp.sendProvisionRequest(p.key, n, d.job)
		remaining -= n * p.tasksPerMachine
	}
}

func (mp *machineProvisioner) sendProvisionRequest(pool poolKey, count int, job protocol.JobID) {
	mp.sequence++
	name := fmt.Sprintf("%s-%d", mp.lease.incarnation, mp.sequence)
	request := protocol.ProvisionRequest{RequestID: name, Type: pool.machineType, Zone: pool.zone, Spot: pool.spot, Count: count}
	mp.requests[name] = &pendingProvision{request: request, requestedAt: mp.now.Monotonic, inFlight: true}
	mp.log(slog.LevelInfo, "provisioning machines", "request", name, "machine_type", string(pool.machineType), "zone", string(pool.zone),
		"spot", pool.spot, "count", count, "job", string(job))
	mp.emit(ProvisionMachines{Request: request})
}

// isPoolExhausted tells whether the cloud had too few machines of a pool just now.
func (mp *machineProvisioner) isPoolExhausted(p poolKey) bool {
	at, known := mp.exhaustedAt[p]
	return known && mp.since(at) < mp.cfg.NoCapacityBackoff
}

// pricedPool is what could be rented for a job.
type pricedPool struct {
	key             poolKey
	tasksPerMachine int // tasks of the job on one machine
	costPerTask     float64
}

// poolsByCost lists what could be rented for a job, cheapest per task first.
func (mp *machineProvisioner) poolsByCost(d unmetDemand) []pricedPool {
	var out []pricedPool
	for i := range mp.catalog.machineTypes {
		f := &mp.catalog.machineTypes[i]
		tasksPerMachine := machineTypeCapacity(f, d.desc)
		if tasksPerMachine == 0 {
			continue
		}
		for _, z := range f.Zones {
			if !d.desc.AllowsPlacement(f.Name, z) || d.zone != "" && z != d.zone {
				continue
			}
			tasks := float64(min(tasksPerMachine, d.tasks))
			out = append(out, pricedPool{key: poolKey{machineType: f.Name, zone: z, spot: false}, tasksPerMachine: tasksPerMachine, costPerTask: f.OnDemandPrice / tasks})
			if t := mp.spot.spotThresholds[priceKey{machineType: f.Name, zone: z}]; !d.desc.IsService() && mp.spot.canUseSpot(d.desc, f) && t != nil && t.AllowsSpot() {
				out = append(out, pricedPool{key: poolKey{machineType: f.Name, zone: z, spot: true}, tasksPerMachine: tasksPerMachine, costPerTask: f.SpotPrice / tasks})
			}
		}
	}
	slices.SortStableFunc(out, func(a, z pricedPool) int {
		// Controllers differ in the zone that they try first.
		return cmp.Or(cmp.Compare(a.costPerTask, z.costPerTask), cmp.Compare(mp.zonePreference(z), mp.zonePreference(a)))
	})
	return out
}

func (mp *machineProvisioner) zonePreference(p pricedPool) uint64 {
	return sharding.RendezvousWeight(string(mp.cfg.ControllerID), string(p.key.zone))
}

// onProvisionResult takes the answer to a rental request.
func (mp *machineProvisioner) onProvisionResult(v ProvisionMachinesResult) {
	r := mp.requests[v.Request.RequestID]
	if r == nil {
		return
	}
	r.inFlight = false
	pool := r.pool()
	switch {
	case v.NoCapacity:
		mp.exhaustedAt[pool] = mp.now.Monotonic
		delete(mp.requests, v.Request.RequestID)
		mp.log(slog.LevelInfo, "cloud has no capacity", "machine_type", string(pool.machineType), "zone", string(pool.zone), "spot", pool.spot)
	case v.Invalid:
		mp.exhaustedAt[pool] = mp.now.Monotonic
		delete(mp.requests, v.Request.RequestID)
		mp.log(slog.LevelError, "provision request rejected as invalid", "request", v.Request.RequestID)
	case v.Err != nil:
		// It may have been carried out: the same name is asked again.
		r.retryAt = mp.now.Monotonic.Add(mp.jitter(time.Second))
		mp.log(slog.LevelWarn, "provision request failed, will retry", "request", v.Request.RequestID, "error", v.Err.Error())
	default:
		if len(v.Machines) < v.Request.Count {
			mp.exhaustedAt[pool] = mp.now.Monotonic
		}
		r.grantedMachines = v.Machines
		if len(v.Machines) == 0 {
			delete(mp.requests, v.Request.RequestID)
		}
		mp.log(slog.LevelInfo, "provision request granted", "request", v.Request.RequestID, "count", len(v.Machines), "requested", v.Request.Count)
	}
}

// recordGrantedMachines puts granted machines on record.
func (mp *machineProvisioner) recordGrantedMachines(b *batch) {
	for _, name := range sortedKeys(mp.requests) {
		r := mp.requests[name]
		if r.grantedMachines == nil {
			continue
		}
		missing := 0
		for _, id := range r.grantedMachines {
			if _, released := mp.terminator.terminatedAt[id]; released || mp.replica.Machines[id] != nil {
				continue
			}
			missing++
			if b.machines[id] == nil && b.canAddMachine() {
				b.addMachine(id, &storage.MachineRecord{MachineType: r.request.Type, Zone: r.request.Zone, Spot: r.request.Spot,
					AddedAt: mp.now.Wall - protocol.Millis(mp.since(r.requestedAt).Milliseconds())}, 0)
			}
		}
		if missing == 0 {
			delete(mp.requests, name)
		}
	}
}
