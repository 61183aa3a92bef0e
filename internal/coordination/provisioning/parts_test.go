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
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Small machines are cheap by the core and slow to boot, large ones the other way round.
var (
	smallMachineType = protocol.MachineType{
		Name:                 "small",
		Cores:                4,
		MemoryGB:             8,
		OnDemandPrice:        0.16,
		SpotPrice:            0.06,
		BootSeconds:          40,
		ImagePullGBPerSecond: 0.25,
		Zones:                []protocol.Zone{"a", "b"},
	}
	largeMachineType = protocol.MachineType{
		Name:                 "large",
		Cores:                16,
		MemoryGB:             32,
		OnDemandPrice:        0.64,
		SpotPrice:            0.27,
		BootSeconds:          15,
		ImagePullGBPerSecond: 0.8,
		Zones:                []protocol.Zone{"a", "b"},
	}
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

// fakeStoreReports stands for what other controllers say of the store.
type fakeStoreReports struct{ unavailable bool }

func (f *fakeStoreReports) PeersReportStoreUnavailable(time.Duration) bool { return f.unavailable }

// testParts are the parts of provisioning on those of the packages below.
type testParts struct {
	*Parts
	ctx    *step.Context
	agents *agents.Parts
	plan   *fakePlan
	peers  *fakeStoreReports
}

// newTestParts makes parts that know the two machine types.
func newTestParts(t *testing.T) *testParts {
	t.Helper()
	ctx := &step.Context{
		Config: step.Config{
			ControllerID:      "stall-0",
			HeartbeatInterval: 2 * time.Second,
			AgentLeaseTTL:     14 * time.Second,
			CancelTimeout:     40 * time.Second,
			Tuning:            step.DefaultTuning(),
		},
		Now:     step.Now{Monotonic: 1, Wall: 1e12},
		Rand:    rand.New(rand.NewPCG(1, 1)),
		Replica: storage.NewReplica(),
	}
	cloud, records, fleet, cancellations := catalog.New(ctx), commit.New(ctx), agents.New(ctx), cancellation.New(ctx)
	cloud.Catalog.OnListMachineTypesResult(step.ListMachineTypesResult{
		MachineTypes: []protocol.MachineType{smallMachineType, largeMachineType},
	})
	cancellations.Connect(cancellation.Dependencies{
		Agents:      fleet.Table,
		Lease:       records.Lease,
		Replication: records.Replication,
	})
	parts := &testParts{Parts: New(ctx), ctx: ctx, agents: fleet, plan: &fakePlan{}, peers: &fakeStoreReports{}}
	records.Connect(commit.Dependencies{StoreReports: parts.peers})
	parts.Connect(Dependencies{
		Ownership:     ownership.New(ctx).Manager,
		Replication:   records.Replication,
		Catalog:       cloud.Catalog,
		Lease:         records.Lease,
		DemandSource:  parts.plan,
		Spot:          cloud.Spot,
		Agents:        fleet.Table,
		Cancellations: cancellations.Canceller,
		PlanUse:       parts.plan,
		IdlePolicy:    parts.plan,
	})
	return parts
}

// advance lets time pass.
func (p *testParts) advance(d time.Duration) {
	p.ctx.Now.Monotonic = p.ctx.Now.Monotonic.Add(d)
	p.ctx.Now.Wall += protocol.Millis(d.Milliseconds())
}

// putMachine puts machine m-1 on record, on a shard of an epoch, and begins its ownership.
func (p *testParts) putMachine(t *testing.T, epoch storage.ShardEpoch, record storage.MachineRecord) (*storage.Machine, *agents.MachineState) {
	t.Helper()
	key := storage.ShardKey("p")
	value := storage.EncodePlainShard("stall-0#1", epoch, []string{record.EncodeLine("m-1")}, nil)
	if _, err := p.ctx.Replica.Put(key, value, p.ctx.Replica.ModRevision(key)+1); err != nil {
		t.Fatal(err)
	}
	entry := p.ctx.Replica.Machines["m-1"]
	return entry, p.agents.Table.TrackOwnedMachine(entry, "m-1")
}
