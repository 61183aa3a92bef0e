package agents

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/commit/committest"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Identifiers of the one machine and the one job of these tests, and the epoch of the machine's shard.
const (
	testController = steptest.ControllerID
	testMachine    = "m-1"
	testJob        = "j-1"
	testShardEpoch = storage.ShardEpoch(3)
)

// agentsFixture holds the parts of this package on a registered controller whose replica is up to date.
// Fakes replace the packages that depend on this one.
type agentsFixture struct {
	steptest.Fixture
	*Parts

	commit        *commit.Parts
	cancellations fakeCancellations
	terminations  steptest.FakeTerminations
}

func newFixture(t *testing.T) *agentsFixture {
	t.Helper()
	base := steptest.NewFixture(steptest.Config())
	fixture := &agentsFixture{
		Fixture:       base,
		Parts:         New(base.Context),
		commit:        commit.New(base.Context),
		cancellations: fakeCancellations{},
		terminations:  steptest.FakeTerminations{},
	}
	peers := &steptest.FakePeers{ElectsSelf: true}
	machineTypes := catalog.New(base.Context).Catalog
	fixture.commit.Connect(commit.Dependencies{
		MachineTracker:    fixture.Table,
		StoreReports:      peers,
		SuccessorElection: peers,
		Catalog:           machineTypes,
		TransferTracker:   steptest.NoTransfers{},
	})
	fixture.Connect(Dependencies{
		Catalog:             machineTypes,
		RemovalRecorder:     fixture.terminations,
		CancellationChecker: fixture.cancellations,
		Lease:               fixture.commit.Lease,
		PlacementForecast:   steptest.NoPlan{},
		Replication:         fixture.commit.Replication,
		QuiesceChecker:      steptest.NoTransfers{},
		Committer:           fixture.commit.Committer,
		ShardWriter:         fixture.commit.ShardWriter,
		TerminationChecker:  fixture.terminations,
		ScaleInEvaluator:    fakeScaleIn{},
	})
	committest.Register(t, fixture.Context, fixture.commit)
	return fixture
}

// advance advances the clock and deletes the effects emitted so far.
func (f *agentsFixture) advance(d time.Duration) {
	f.Advance(d)
	f.Effects = nil
}

// addOwnedMachine adds the record of a machine that this controller owns, and returns its entry and state.
func (f *agentsFixture) addOwnedMachine(t *testing.T, record storage.MachineRecord) (*storage.Machine, *MachineState) {
	t.Helper()
	entry := f.PutMachine(t, f.commit.Lease.Incarnation(), testShardEpoch, testMachine, record)
	return entry, f.Table.TrackOwnedMachine(entry, testMachine)
}

// putJob adds the record of the job.
func (f *agentsFixture) putJob(t *testing.T, record string) {
	t.Helper()
	f.Put(t, storage.JobKey(testJob), []byte(record), 2)
}

// receive processes a heartbeat as one step of the controller does.
func (f *agentsFixture) receive(heartbeat *protocol.Heartbeat) {
	f.Heartbeats.OnHeartbeat(step.HeartbeatInput{
		RequestID: step.RequestID(heartbeat.Sequence),
		Body:      protocol.Encode(heartbeat),
	})
	f.Heartbeats.ResolveDeferredHeartbeats()
}

// tick checks the machines and the deferred heartbeats as one step of the controller does.
func (f *agentsFixture) tick() {
	f.ShouldRecheckDeferredHeartbeats = true
	f.Monitor.TickMachines()
	f.Heartbeats.ResolveDeferredHeartbeats()
}

// fakeCancellations holds the jobs whose cancellation has been requested.
type fakeCancellations map[protocol.JobID]bool

func (f fakeCancellations) CancelRequested(id protocol.JobID) bool { return f[id] }
func (f fakeCancellations) IsCancelling(id protocol.JobID) bool    { return f[id] }

// fakeScaleIn never terminates a machine.
type fakeScaleIn struct{}

func (fakeScaleIn) BeginScaleInReview(int)                                {}
func (fakeScaleIn) EvaluateScaleIn(*storage.Machine, *MachineState, bool) {}
