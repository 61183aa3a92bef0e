package provisioning

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// retryDelay is the mean time after which a failed call to the cloud is retried.
const retryDelay = time.Second

// ProvisionRequest is a request for machines that the cloud has not answered, or whose machines do not
// all have a record yet.
type ProvisionRequest struct {
	spec            protocol.ProvisionRequest
	requestedAt     protocol.Instant
	isInFlight      bool
	retryAt         protocol.Instant
	grantedMachines []protocol.MachineID // nil until the cloud has answered
}

// Name returns the name of the request. The cloud carries out requests with the same name only once.
func (r *ProvisionRequest) Name() string { return r.spec.RequestID }

// Pool returns the pool from which the machines are requested.
func (r *ProvisionRequest) Pool() PoolKey {
	return PoolKey{MachineType: r.spec.Type, Zone: r.spec.Zone, Spot: r.spec.Spot}
}

// UnrecordedMachineCount returns the number of machines of the request that have no record yet. Until the
// cloud has answered, this is the number of machines that were requested.
func (r *ProvisionRequest) UnrecordedMachineCount(replica *storage.Replica) int {
	if r.grantedMachines == nil {
		return r.spec.Count
	}
	count := 0
	for _, id := range r.grantedMachines {
		if replica.Machines[id] == nil {
			count++
		}
	}
	return count
}

// PendingRequests returns the provision requests in progress, ordered by name.
func (p *Provisioner) PendingRequests() []*ProvisionRequest {
	var requests []*ProvisionRequest
	for _, name := range step.SortedKeys(p.requests) {
		requests = append(requests, p.requests[name])
	}
	return requests
}

// OnProvisionMachinesResult handles the cloud's answer to a provision request.
func (p *Provisioner) OnProvisionMachinesResult(result step.ProvisionMachinesResult) {
	request := p.requests[result.Request.RequestID]
	if request == nil {
		return
	}
	request.isInFlight = false
	pool := request.Pool()
	switch {
	case result.NoCapacity:
		p.MarkPoolExhausted(pool)
		delete(p.requests, request.Name())
		p.Log(slog.LevelInfo, "cloud has no capacity",
			"machine_type", string(pool.MachineType), "zone", string(pool.Zone), "spot", pool.Spot)
	case result.Invalid:
		p.MarkPoolExhausted(pool)
		delete(p.requests, request.Name())
		p.Log(slog.LevelError, "provision request rejected as invalid", "request", request.Name())
	case result.Err != nil:
		// The cloud may have carried out the request, so it is retried with the same name.
		request.retryAt = p.Now.Monotonic.Add(p.Jitter(retryDelay))
		p.Log(slog.LevelWarn, "provision request failed, will retry", "request", request.Name(), "error", result.Err)
	default:
		p.recordGrant(request, result.Machines)
	}
}

// recordGrant stores the granted machines in a request, which is kept until all of them have records. If
// the cloud granted fewer machines than requested, the pool counts as exhausted.
func (p *Provisioner) recordGrant(request *ProvisionRequest, machines []protocol.MachineID) {
	if len(machines) < request.spec.Count {
		p.MarkPoolExhausted(request.Pool())
	}
	request.grantedMachines = machines
	if len(machines) == 0 {
		delete(p.requests, request.Name())
	}
	p.Log(slog.LevelInfo, "provision request granted",
		"request", request.Name(), "count", len(machines), "requested", request.spec.Count)
}

// RecordGrantedMachines adds records for granted machines to the batch. It forgets the requests whose
// machines all have records or were removed recently.
func (p *Provisioner) RecordGrantedMachines(batch *commit.Batch) {
	for _, request := range p.PendingRequests() {
		if request.grantedMachines == nil {
			continue
		}
		unrecordedCount := 0
		for _, id := range request.grantedMachines {
			if p.terminator.wasRemovedRecently(id) || p.Replica.Machines[id] != nil {
				continue
			}
			unrecordedCount++
			if !batch.ChangesMachine(id) && batch.CanAddMachine() {
				batch.AddMachine(id, p.newMachineRecord(request), 0)
			}
		}
		if unrecordedCount == 0 {
			delete(p.requests, request.Name())
		}
	}
}

// newMachineRecord returns the record of a machine that was granted for a request. Its time of addition
// is the time of the request.
func (p *Provisioner) newMachineRecord(request *ProvisionRequest) *storage.MachineRecord {
	return &storage.MachineRecord{
		MachineType: request.spec.Type,
		Zone:        request.spec.Zone,
		Spot:        request.spec.Spot,
		AddedAt:     p.Now.Wall - protocol.Millis(p.Since(request.requestedAt).Milliseconds()),
	}
}

// sendRequest sends the cloud a provision request for machines of a pool, with a new name.
func (p *Provisioner) sendRequest(pool PoolKey, count int, job protocol.JobID) {
	p.lastSequence++
	spec := protocol.ProvisionRequest{
		RequestID: fmt.Sprintf("%s-%d", p.lease.Incarnation(), p.lastSequence),
		Type:      pool.MachineType,
		Zone:      pool.Zone,
		Spot:      pool.Spot,
		Count:     count,
	}
	p.requests[spec.RequestID] = &ProvisionRequest{spec: spec, requestedAt: p.Now.Monotonic, isInFlight: true}
	p.Log(slog.LevelInfo, "provisioning machines", "request", spec.RequestID,
		"machine_type", string(pool.MachineType), "zone", string(pool.Zone),
		"spot", pool.Spot, "count", count, "job", string(job))
	p.Emit(step.ProvisionMachines{Request: spec})
}

// retryRequests sends failed requests again once their retry is due.
func (p *Provisioner) retryRequests() {
	for _, request := range p.PendingRequests() {
		if request.grantedMachines == nil && !request.isInFlight && p.Now.Monotonic >= request.retryAt {
			request.isInFlight = true
			p.Emit(step.ProvisionMachines{Request: request.spec})
		}
	}
}

// isGranted reports whether the cloud has granted a machine for a pending request.
func (p *Provisioner) isGranted(id protocol.MachineID) bool {
	for _, request := range p.requests {
		if slices.Contains(request.grantedMachines, id) {
			return true
		}
	}
	return false
}

// poolsWithRequests returns the set of pools that have a request in progress.
func (p *Provisioner) poolsWithRequests() map[PoolKey]bool {
	pools := map[PoolKey]bool{}
	for _, request := range p.requests {
		pools[request.Pool()] = true
	}
	return pools
}
