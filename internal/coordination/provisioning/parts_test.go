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

// Small machines are cheap by the core and slow to boot, large ones the other way round.
var (
	smallMachineType = steptest.SmallMachineType()
	largeMachineType = steptest.LargeMachineType()
)

// fakePlan stands for the scheduler's plan and its reserve of idle machines.
type fakePlan struct {
	retains     bool
	retainsIdle bool
}

func (f *fakePlan) Age() time.Duration                            { return 0 }
func (f *fakePlan) Demands() []UnmetDemand                        { return nil }
func (f *fakePlan) ClearDemands()                                 {}
func (f *fakePlan) RetainsMachine(protocol.MachineID) bool        { return f.retains }
func (f *fakePlan) RetainsIdleMachine(id protocol.MachineID) bool { return f.retainsIdle }

// testParts are the parts of provisioning on those of the packages below.
type testParts struct {
	steptest.Fixture
	*Parts

	agents *agents.Parts
	plan   *fakePlan
	peers  *steptest.FakePeers
}

// newTestParts makes parts that know the two machine types.
func newTestParts(t *testing.T) *testParts {
	t.Helper()
	base := steptest.NewFixture(steptest.Config())
	base.Rand = rand.New(rand.NewPCG(1, 1))
	ctx := base.Context
	cloud, records, fleet, cancellations := catalog.New(ctx), commit.New(ctx), agents.New(ctx), cancellation.New(ctx)
	cloud.Catalog.OnListMachineTypesResult(step.ListMachineTypesResult{
		MachineTypes: []protocol.MachineType{smallMachineType, largeMachineType},
	})
	cancellations.Connect(cancellation.Dependencies{
		Agents:      fleet.Table,
		Lease:       records.Lease,
		Replication: records.Replication,
	})
	parts := &testParts{
		Fixture: base,
		Parts:   New(ctx),
		agents:  fleet,
		plan:    &fakePlan{},
		peers:   &steptest.FakePeers{},
	}
	records.Connect(commit.Dependencies{StoreReports: parts.peers})
	parts.Connect(Dependencies{
		Ownership:      ownership.New(ctx).Manager,
		Replication:    records.Replication,
		Catalog:        cloud.Catalog,
		Lease:          records.Lease,
		DemandSource:   parts.plan,
		Spot:           cloud.Spot,
		Agents:         fleet.Table,
		Cancellations:  cancellations.Canceller,
		PlanUseChecker: parts.plan,
		IdlePolicy:     parts.plan,
	})
	return parts
}

// putMachine puts machine m-1 on record, on a shard of an epoch, and begins its ownership.
func (p *testParts) putMachine(
	t *testing.T, epoch storage.ShardEpoch, record storage.MachineRecord,
) (*storage.Machine, *agents.MachineState) {
	t.Helper()
	entry := p.PutMachine(t, "stall-0#1", epoch, "m-1", record)
	return entry, p.agents.Table.TrackOwnedMachine(entry, "m-1")
}
