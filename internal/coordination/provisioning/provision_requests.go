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

// ProvisionRequest is a request for machines whose outcome is not known yet, or whose machines
// are not all on record.
type ProvisionRequest struct {
	request     protocol.ProvisionRequest
	requestedAt protocol.Instant
	inFlight    bool
	retryAt     protocol.Instant
	granted     []protocol.MachineID // as answered; nil: there is no answer yet
}

// Name identifies the request: the cloud carries out requests of one name only once.
func (r *ProvisionRequest) Name() string { return r.request.RequestID }

// Pool is the pool that the machines are requested from.
func (r *ProvisionRequest) Pool() PoolKey {
	return PoolKey{MachineType: r.request.Type, Zone: r.request.Zone, Spot: r.request.Spot}
}

// UnrecordedMachineCount returns the number of machines of the request that have no record yet. Until the
// cloud has answered, this is the number of machines that were requested.
func (r *ProvisionRequest) UnrecordedMachineCount(replica *storage.Replica) int {
	if r.granted == nil {
		return r.request.Count
	}
	unrecorded := 0
	for _, id := range r.granted {
		if replica.Machines[id] == nil {
			unrecorded++
		}
	}
	return unrecorded
}

// PendingRequests lists the requests under way, ordered by name.
func (p *Provisioner) PendingRequests() []*ProvisionRequest {
	var pending []*ProvisionRequest
	for _, name := range step.SortedKeys(p.requests) {
		pending = append(pending, p.requests[name])
	}
	return pending
}

// OnProvisionMachinesResult handles the answer to a provision request.
func (p *Provisioner) OnProvisionMachinesResult(result step.ProvisionMachinesResult) {
	r := p.requests[result.Request.RequestID]
	if r == nil {
		return
	}
	r.inFlight = false
	pool := r.Pool()
	switch {
	case result.NoCapacity:
		p.MarkPoolExhausted(pool)
		delete(p.requests, r.Name())
		p.Log(slog.LevelInfo, "cloud has no capacity",
			"machine_type", string(pool.MachineType), "zone", string(pool.Zone), "spot", pool.Spot)
	case result.Invalid:
		p.MarkPoolExhausted(pool)
		delete(p.requests, r.Name())
		p.Log(slog.LevelError, "provision request rejected as invalid", "request", r.Name())
	case result.Err != nil:
		// The cloud may have carried it out: it is repeated under the same name.
		r.retryAt = p.Now.Monotonic.Add(p.Jitter(retryDelay))
		p.Log(slog.LevelWarn, "provision request failed, will retry", "request", r.Name(), "error", result.Err)
	default:
		p.recordGrant(r, result.Machines)
	}
}

// recordGrant remembers the granted machines of a request until they are on record.
func (p *Provisioner) recordGrant(r *ProvisionRequest, machines []protocol.MachineID) {
	if len(machines) < r.request.Count {
		p.MarkPoolExhausted(r.Pool())
	}
	r.granted = machines
	if len(machines) == 0 {
		delete(p.requests, r.Name())
	}
	p.Log(slog.LevelInfo, "provision request granted",
		"request", r.Name(), "count", len(machines), "requested", r.request.Count)
}

// RecordGrantedMachines writes records for granted machines into the batch.
func (p *Provisioner) RecordGrantedMachines(b *commit.Batch) {
	for _, r := range p.PendingRequests() {
		if r.granted == nil {
			continue
		}
		missing := 0
		for _, id := range r.granted {
			if p.terminator.wasTerminated(id) || p.Replica.Machines[id] != nil {
				continue
			}
			missing++
			if !b.ChangesMachine(id) && b.CanAddMachine() {
				b.AddMachine(id, p.newMachineRecord(r), 0)
			}
		}
		if missing == 0 {
			delete(p.requests, r.Name())
		}
	}
}

// newMachineRecord is the record of a machine of a request: it counts as added when it was
// requested.
func (p *Provisioner) newMachineRecord(r *ProvisionRequest) *storage.MachineRecord {
	return &storage.MachineRecord{
		MachineType: r.request.Type,
		Zone:        r.request.Zone,
		Spot:        r.request.Spot,
		AddedAt:     p.Now.Wall - protocol.Millis(p.Since(r.requestedAt).Milliseconds()),
	}
}

// sendRequest requests machines of a pool from the cloud, under a new name.
func (p *Provisioner) sendRequest(pool PoolKey, count int, job protocol.JobID) {
	p.sequence++
	request := protocol.ProvisionRequest{
		RequestID: fmt.Sprintf("%s-%d", p.lease.Incarnation(), p.sequence),
		Type:      pool.MachineType,
		Zone:      pool.Zone,
		Spot:      pool.Spot,
		Count:     count,
	}
	p.requests[request.RequestID] = &ProvisionRequest{request: request, requestedAt: p.Now.Monotonic, inFlight: true}
	p.Log(slog.LevelInfo, "provisioning machines", "request", request.RequestID,
		"machine_type", string(pool.MachineType), "zone", string(pool.Zone),
		"spot", pool.Spot, "count", count, "job", string(job))
	p.Emit(step.ProvisionMachines{Request: request})
}

// retryRequests repeats the requests that failed.
func (p *Provisioner) retryRequests() {
	for _, r := range p.PendingRequests() {
		if r.granted == nil && !r.inFlight && p.Now.Monotonic >= r.retryAt {
			r.inFlight = true
			p.Emit(step.ProvisionMachines{Request: r.request})
		}
	}
}

// isGranted tells whether a machine is one of those that a pending request was answered with.
func (p *Provisioner) isGranted(id protocol.MachineID) bool {
	for _, r := range p.requests {
		if slices.Contains(r.granted, id) {
			return true
		}
	}
	return false
}

// pendingPools is the set of pools that a request is under way for.
func (p *Provisioner) pendingPools() map[PoolKey]bool {
	pools := map[PoolKey]bool{}
	for _, r := range p.requests {
		pools[r.Pool()] = true
	}
	return pools
}
