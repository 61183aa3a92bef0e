package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/commit/committest"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Small machines are cheaper per core on spot and boot slowly. Large machines boot quickly.
var (
	smallMachineType = steptest.SmallMachineType()
	largeMachineType = steptest.LargeMachineType()
)

// schedulingFixture holds the parts of this package and of the packages that it needs, connected as
// in Core but without cancellations.
type schedulingFixture struct {
	steptest.Fixture
	*Parts

	catalog      *catalog.Parts
	commit       *commit.Parts
	agents       *agents.Parts
	provisioning *provisioning.Parts
}

// newFixtureWithTwoMachineTypes returns the parts of a controller that is registered and up to date,
// with two machine types and no machines.
func newFixtureWithTwoMachineTypes(t *testing.T) *schedulingFixture {
	t.Helper()
	fixture := wireParts(steptest.NewFixture(steptest.Config()))
	committest.Register(t, fixture.Context, fixture.commit)
	fixture.catalog.Catalog.OnListMachineTypesResult(step.ListMachineTypesResult{
		MachineTypes: []protocol.MachineType{smallMachineType, largeMachineType},
	})
	return fixture
}

// wireParts creates the parts and connects them with each other.
func wireParts(base steptest.Fixture) *schedulingFixture {
	ctx := base.Context
	catalogParts := catalog.New(ctx)
	commitParts := commit.New(ctx)
	agentsParts := agents.New(ctx)
	ownershipParts := ownership.New(ctx)
	provisioningParts := provisioning.New(ctx)
	schedulingParts := New(ctx)
	commitParts.Connect(commit.Dependencies{
		MachineTracker:    agentsParts.Table,
		StoreReports:      ownershipParts.Peers,
		SuccessorElection: ownershipParts.Manager,
		Catalog:           catalogParts.Catalog,
		TransferTracker:   ownershipParts.Transfers,
	})
	agentsParts.Connect(agents.Dependencies{
		Catalog:            catalogParts.Catalog,
		RemovalRecorder:    provisioningParts.Terminator,
		Lease:              commitParts.Lease,
		PlacementForecast:  schedulingParts.Plan,
		Replication:        commitParts.Replication,
		QuiesceChecker:     ownershipParts.Transfers,
		Committer:          commitParts.Committer,
		ShardWriter:        commitParts.ShardWriter,
		TerminationChecker: provisioningParts.Terminator,
		ScaleInEvaluator:   provisioningParts.Terminator,
	})
	ownershipParts.Connect(ownership.Dependencies{
		Lease:       commitParts.Lease,
		Misdirected: agentsParts.Misdirected,
		Replication: commitParts.Replication,
		Store:       commitParts.Store,
		Agents:      agentsParts.Table,
		Limits:      commitParts.Limits,
		ShardWriter: commitParts.ShardWriter,
	})
	provisioningParts.Connect(provisioning.Dependencies{
		Ownership:      ownershipParts.Manager,
		Replication:    commitParts.Replication,
		Catalog:        catalogParts.Catalog,
		Lease:          commitParts.Lease,
		DemandSource:   schedulingParts.Plan,
		Spot:           catalogParts.Spot,
		Agents:         agentsParts.Table,
		PlanUseChecker: schedulingParts.Plan,
		IdlePolicy:     schedulingParts.Scheduler,
	})
	schedulingParts.Connect(Dependencies{
		Catalog:     catalogParts.Catalog,
		Agents:      agentsParts.Table,
		Lease:       commitParts.Lease,
		Provisioner: provisioningParts.Provisioner,
		Spot:        catalogParts.Spot,
		Terminator:  provisioningParts.Terminator,
		Transfers:   ownershipParts.Transfers,
		Jobs:        agentsParts.Jobs,
		Limits:      commitParts.Limits,
		Ownership:   ownershipParts.Manager,
		Committer:   commitParts.Committer,
		Stopper:     agentsParts.Stopper,

		CancellationChecker: noCancellations{},
	})
	return &schedulingFixture{
		Fixture:      base,
		Parts:        schedulingParts,
		catalog:      catalogParts,
		commit:       commitParts,
		agents:       agentsParts,
		provisioning: provisioningParts,
	}
}

// noCancellations is a CancellationChecker without cancellations.
type noCancellations struct{}

func (noCancellations) IsCancelling(protocol.JobID) bool { return false }

// newArrayJob returns an array job with ten tasks. Each task needs the given number of cores and as many
// GB of memory, and is estimated to run for the given number of seconds.
func newArrayJob(cores, estimate float64) *protocol.Job {
	return &protocol.Job{
		ID:                  "j-1",
		Class:               "lane",
		Team:                "core",
		Kind:                protocol.KindArray,
		TaskCount:           10,
		Cores:               cores,
		MemoryGB:            cores,
		AllowSpot:           true,
		Image:               "b",
		EstimatedRunSeconds: estimate,
	}
}

// newPendingJob returns a job that is submitted now and whose tasks can wait for slack before they have to
// start.
func (f *schedulingFixture) newPendingJob(spec *protocol.Job, slack time.Duration) *PendingJob {
	latestStart := f.Now.Wall + protocol.Millis(slack.Milliseconds())
	job := &PendingJob{
		id:            spec.ID,
		record:        &storage.JobRecord{Spec: spec, Owner: f.commit.Lease.Incarnation(), SubmittedAt: f.Now.Wall},
		startDeadline: startDeadline{latestStart: latestStart, initialLatestStart: latestStart},
		placementProgress: placementProgress{
			tasksByZone: map[protocol.Zone]int{},
		},
	}
	job.isUrgent = f.Queue.needsWarmCapacity(job)
	return job
}

// newCandidate returns an empty machine in zone a.
func newCandidate(machineType *protocol.MachineType, id protocol.MachineID, spot bool) *Candidate {
	return &Candidate{
		machineSnapshot: machineSnapshot{
			id:          id,
			record:      &storage.MachineRecord{MachineType: machineType.Name, Zone: "a", Spot: spot},
			machineType: machineType,
		},
		plannedUse: plannedUse{free: catalog.Resources{Cores: machineType.Cores, MemoryGB: machineType.MemoryGB}},
	}
}

// addTasks allocates tasks of a job that have been running on the machine for runningFor.
func (f *schedulingFixture) addTasks(machine *Candidate, spec *protocol.Job, alloc allocation, runningFor time.Duration) {
	alloc.spec = spec
	machine.free.Allocate(spec, alloc.count)
	machine.allocations = append(machine.allocations, alloc)
	now := f.Now.Monotonic
	f.Now.Monotonic = now.Add(-runningFor)
	f.agents.Table.RecordAssignments(machine.id, nil, &storage.MachineRecord{
		Assignments: []storage.Assignment{{Job: alloc.job, Attempt: alloc.attempt}},
	})
	f.Now.Monotonic = now
}
