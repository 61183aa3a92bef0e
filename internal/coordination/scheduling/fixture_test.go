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

// schedulingFixture holds the components of this package and of the packages that it needs, connected as
// in Core but without cancellations.
type schedulingFixture struct {
	steptest.Fixture
	*Parts

	catalog      *catalog.Parts
	commit       *commit.Parts
	agents       *agents.Parts
	provisioning *provisioning.Parts
}

// newFixtureWithTwoMachineTypes returns the components of a controller that is registered and up to date,
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

// wireParts creates the components and connects them with each other.
func wireParts(base steptest.Fixture) *schedulingFixture {
	ctx := base.Context
	offers := catalog.New(ctx)
	records := commit.New(ctx)
	machines := agents.New(ctx)
	owners := ownership.New(ctx)
	cloud := provisioning.New(ctx)
	parts := New(ctx)
	records.Connect(commit.Dependencies{
		MachineTracker:    machines.Table,
		StoreReports:      owners.Peers,
		SuccessorElection: owners.Manager,
		Catalog:           offers.Catalog,
		TransferTracker:   owners.Transfers,
	})
	machines.Connect(agents.Dependencies{
		Catalog:            offers.Catalog,
		RemovalRecorder:    cloud.Terminator,
		Lease:              records.Lease,
		PlacementForecast:  parts.Plan,
		Replication:        records.Replication,
		QuiesceChecker:     owners.Transfers,
		Committer:          records.Committer,
		ShardWriter:        records.ShardWriter,
		TerminationChecker: cloud.Terminator,
		ScaleInEvaluator:   cloud.Terminator,
	})
	owners.Connect(ownership.Dependencies{
		Lease:       records.Lease,
		Misdirected: machines.Misdirected,
		Replication: records.Replication,
		Store:       records.Store,
		Agents:      machines.Table,
		Limits:      records.Limits,
		ShardWriter: records.ShardWriter,
	})
	cloud.Connect(provisioning.Dependencies{
		Ownership:    owners.Manager,
		Replication:  records.Replication,
		Catalog:      offers.Catalog,
		Lease:        records.Lease,
		DemandSource: parts.Plan,
		Spot:         offers.Spot,
		Agents:       machines.Table,
		PlanUse:      parts.Plan,
		IdlePolicy:   parts.Scheduler,
	})
	parts.Connect(Dependencies{
		Catalog:     offers.Catalog,
		Agents:      machines.Table,
		Lease:       records.Lease,
		Provisioner: cloud.Provisioner,
		Spot:        offers.Spot,
		Terminator:  cloud.Terminator,
		Transfers:   owners.Transfers,
		Jobs:        machines.Jobs,
		Limits:      records.Limits,
		Ownership:   owners.Manager,
		Committer:   records.Committer,
		Stopper:     machines.Stopper,
	})
	return &schedulingFixture{
		Fixture:      base,
		Parts:        parts,
		catalog:      offers,
		commit:       records,
		agents:       machines,
		provisioning: cloud,
	}
}

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
