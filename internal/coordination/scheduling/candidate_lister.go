package scheduling

import (
	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// provisioningIDPrefix is the prefix of the ID of a candidate that has no machine yet. No machine's ID
// starts with it.
const provisioningIDPrefix = "~"

// expectedProvisioning is the number of machines being provisioned for which the candidate list has
// initial capacity.
const expectedProvisioning = 16

// candidateLister lists machines with their free capacity as candidates for placement.
type candidateLister struct {
	*step.Context

	agents      *agents.Table
	catalog     *catalog.Catalog
	lease       *commit.Lease
	provisioner *provisioning.Provisioner
	queue       *Queue
	spot        *catalog.SpotPricing
	terminator  *provisioning.Terminator
	transfers   *ownership.Transfers

	nextFleetLogAt protocol.Instant
}

// listCandidates returns all machines in the state that the batch leaves them in, sorted by ID, followed
// by the machines that are being provisioned.
func (l *candidateLister) listCandidates(batch *commit.Batch) []*Candidate {
	machines := l.Replica.SortedMachines()
	listing := l.newListing(batch)
	candidates := make([]*Candidate, 0, len(machines)+expectedProvisioning)
	for _, entry := range machines {
		id, record := entry.ID, &entry.Record
		if batch.ChangesShard(record.Shard) {
			if batch.RemovesMachine(id) {
				continue
			}
			record = batch.MachineRecord(id)
		}
		if machineType := listing.machineTypes[record.MachineType]; machineType != nil {
			candidates = append(candidates, listing.newCandidateFromRecord(id, record, machineType))
		}
	}
	return append(candidates, l.provisioningCandidates()...)
}

// isMachineAllowed reports whether the job's constraints allow its tasks on the machine.
func (l *candidateLister) isMachineAllowed(spec *protocol.Job, machine *Candidate) bool {
	if !spec.AllowsPlacement(machine.record.MachineType, machine.record.Zone) {
		return false
	}
	return !machine.record.Spot || l.spot.CanUseSpot(spec, machine.machineType)
}

// awaitsHeartbeat reports whether a placement on the machine would reach its agent only with the response
// to the next heartbeat: this controller owns the machine, has state of it, and holds no deferred
// heartbeat request that it could answer now.
func (l *candidateLister) awaitsHeartbeat(machine *Candidate) bool {
	state := l.agents.Lookup(machine.id)
	return machine.record.Owner == l.lease.Incarnation() && state != nil && state.DeferredRequest == 0
}

// candidateListing holds the lookup tables that one call of listCandidates shares among all machines.
type candidateListing struct {
	lister         *candidateLister
	batch          *commit.Batch
	machineTypes   map[protocol.MachineTypeName]*protocol.MachineType
	liveOwners     map[storage.Incarnation]bool
	quiescedShards map[storage.ShardID]bool
	precedences    map[*protocol.Job]int
}

func (l *candidateLister) newListing(batch *commit.Batch) *candidateListing {
	listing := &candidateListing{
		lister:         l,
		batch:          batch,
		machineTypes:   map[protocol.MachineTypeName]*protocol.MachineType{},
		liveOwners:     map[storage.Incarnation]bool{l.lease.Incarnation(): true},
		quiescedShards: l.transfers.ShardsInTransfer(ownership.IsPrepared),
		precedences:    map[*protocol.Job]int{},
	}
	for _, entry := range l.Replica.Controllers {
		listing.liveOwners[entry.Record.Incarnation] = true
	}
	types := l.catalog.MachineTypes()
	for i := range types {
		listing.machineTypes[types[i].Name] = &types[i]
	}
	return listing
}

// newCandidateFromRecord returns the candidate for a machine that has a record.
func (c *candidateListing) newCandidateFromRecord(
	id protocol.MachineID, record *storage.MachineRecord, machineType *protocol.MachineType,
) *Candidate {
	machine := &Candidate{
		machineSnapshot: machineSnapshot{
			id:             id,
			record:         record,
			machineType:    machineType,
			state:          c.lister.agents.Lookup(id),
			isProvisioning: record.AgentEpoch == 0,
		},
		plannedUse: plannedUse{
			free:            catalog.CapacityOf(machineType),
			isUnschedulable: c.isClosedToNewTasks(id, record),
		},
	}
	c.addAssignments(machine)
	if record.Spot && !machine.isUnschedulable {
		c.markUnusableSpot(machine)
	}
	return machine
}

// isClosedToNewTasks reports whether the machine takes no new tasks, whatever its free resources.
func (c *candidateListing) isClosedToNewTasks(id protocol.MachineID, record *storage.MachineRecord) bool {
	return record.Terminating || record.Cordoned || !c.liveOwners[record.Owner] ||
		c.quiescedShards[record.Shard] || c.lister.terminator.IsTerminating(id)
}

// addAssignments subtracts the assignments of the machine's record from its free resources.
func (c *candidateListing) addAssignments(machine *Candidate) {
	for i := range machine.record.Assignments {
		assigned := &machine.record.Assignments[i]
		job := c.batch.JobRecord(assigned.Job)
		if job == nil || job.Spec == nil {
			machine.isUnschedulable = true // the resources of the tasks are unknown
			continue
		}
		count := assigned.Tasks.Len()
		machine.free.Allocate(job.Spec, count)
		machine.allocations = append(machine.allocations, allocation{
			job:        assigned.Job,
			attempt:    assigned.Attempt,
			count:      count,
			spec:       job.Spec,
			precedence: c.precedenceOf(job.Spec),
		})
	}
}

// precedenceOf returns Queue.precedenceOf of a job, which it computes once per job.
func (c *candidateListing) precedenceOf(spec *protocol.Job) int {
	precedence, ok := c.precedences[spec]
	if !ok {
		precedence = c.lister.queue.precedenceOf(spec)
		c.precedences[spec] = precedence
	}
	return precedence
}

// markUnusableSpot marks a spot machine as unschedulable while its price is above the threshold and near
// the end of its spot period.
func (c *candidateListing) markUnusableSpot(machine *Candidate) {
	lister, record := c.lister, machine.record
	age := step.MillisToDuration(lister.Now.Wall - record.AddedAt)
	machine.isNearSpotPeriodEnd = catalog.IsNearPeriodBoundary(
		machine.id, age, lister.Config.SpotPeriod, lister.Config.SpotPeriodEndMargin)
	threshold := lister.spot.Threshold(catalog.PriceKey{MachineType: record.MachineType, Zone: record.Zone})
	isAboveThreshold := threshold != nil && !threshold.AllowsSpot()
	if isAboveThreshold || machine.isNearSpotPeriodEnd {
		machine.isUnschedulable = true
	}
}

// provisioningCandidates returns candidates for the requested machines that have no record yet.
func (l *candidateLister) provisioningCandidates() []*Candidate {
	var candidates []*Candidate
	for _, request := range l.provisioner.PendingRequests() {
		pool := request.Pool()
		machineType := l.catalog.MachineType(pool.MachineType)
		if machineType == nil {
			continue
		}
		for range request.UnrecordedMachineCount(l.Replica) {
			candidates = append(candidates, newProvisioningCandidate(request.Name(), pool, machineType))
		}
	}
	return candidates
}

// newProvisioningCandidate returns the candidate for a requested machine that has no record yet.
func newProvisioningCandidate(request string, pool provisioning.PoolKey, machineType *protocol.MachineType) *Candidate {
	record := &storage.MachineRecord{MachineType: pool.MachineType, Zone: pool.Zone, Spot: pool.Spot}
	return &Candidate{
		machineSnapshot: machineSnapshot{
			id:             protocol.MachineID(provisioningIDPrefix + request),
			record:         record,
			machineType:    machineType,
			isProvisioning: true,
		},
		plannedUse: plannedUse{free: catalog.CapacityOf(machineType)},
	}
}
