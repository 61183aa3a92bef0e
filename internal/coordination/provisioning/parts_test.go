package provisioning

import (
	"math/rand/v2"
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Small machines are cheaper per core on spot and slower to boot than large machines.
var (
	smallMachineType = steptest.SmallMachineType()
	largeMachineType = steptest.LargeMachineType()
)

// fakePlan replaces the scheduler's plan and its reserve of idle machines.
type fakePlan struct {
	retainsMachine     bool
	retainsIdleMachine bool
}

func (f *fakePlan) Age() time.Duration                            { return 0 }
func (f *fakePlan) Demands() []UnmetDemand                        { return nil }
func (f *fakePlan) ClearDemands()                                 {}
func (f *fakePlan) RetainsMachine(protocol.MachineID) bool        { return f.retainsMachine }
func (f *fakePlan) RetainsIdleMachine(id protocol.MachineID) bool { return f.retainsIdleMachine }

// testParts holds the parts of provisioning, connected with those of the packages on which they depend.
type testParts struct {
	steptest.Fixture
	*Parts

	agents *agents.Parts
	plan   *fakePlan
	peers  *steptest.FakePeers
}

// newTestParts returns parts whose catalog has the two machine types.
func newTestParts(t *testing.T) *testParts {
	t.Helper()
	fixture := steptest.NewFixture(steptest.Config())
	fixture.Rand = rand.New(rand.NewPCG(1, 1))
	ctx := fixture.Context
	catalogParts, commitParts, agentParts, cancellations :=
		catalog.New(ctx), commit.New(ctx), agents.New(ctx), cancellation.New(ctx)
	catalogParts.Catalog.OnListMachineTypesResult(step.ListMachineTypesResult{
		MachineTypes: []protocol.MachineType{smallMachineType, largeMachineType},
	})
	cancellations.Connect(cancellation.Dependencies{
		Agents:      agentParts.Table,
		Lease:       commitParts.Lease,
		Replication: commitParts.Replication,
	})
	parts := &testParts{
		Fixture: fixture,
		Parts:   New(ctx),
		agents:  agentParts,
		plan:    &fakePlan{},
		peers:   &steptest.FakePeers{},
	}
	commitParts.Connect(commit.Dependencies{StoreReports: parts.peers})
	parts.Connect(Dependencies{
		Ownership:      ownership.New(ctx).Manager,
		Replication:    commitParts.Replication,
		Catalog:        catalogParts.Catalog,
		Lease:          commitParts.Lease,
		DemandSource:   parts.plan,
		Spot:           catalogParts.Spot,
		Agents:         agentParts.Table,
		Cancellations:  cancellations.Canceller,
		PlanUseChecker: parts.plan,
		IdlePolicy:     parts.plan,
	})
	return parts
}

// putMachine puts the record of machine m-1 into a shard with the given epoch, and begins to track the
// ownership of the machine.
func (p *testParts) putMachine(
	t *testing.T, epoch storage.ShardEpoch, record storage.MachineRecord,
) (*storage.Machine, *agents.MachineState) {
	t.Helper()
	entry := p.PutMachine(t, "stall-0#1", epoch, "m-1", record)
	return entry, p.agents.Table.TrackOwnedMachine(entry, "m-1")
}
