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

// fixture holds the parts of this package on a registered controller whose replica is up to date.
// Fakes replace the packages that depend on this one.
type fixture struct {
	steptest.Fixture
	*Parts

	commit        *commit.Parts
	cancellations fakeCancellations
	terminations  steptest.FakeTerminations
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	base := steptest.NewFixture(steptest.Config())
	f := &fixture{
		Fixture:       base,
		Parts:         New(base.Context),
		commit:        commit.New(base.Context),
		cancellations: fakeCancellations{},
		terminations:  steptest.FakeTerminations{},
	}
	peers := &steptest.FakePeers{ElectsSelf: true}
	machineTypes := catalog.New(base.Context).Catalog
	f.commit.Connect(commit.Dependencies{
		MachineTracker:    f.Table,
		StoreReports:      peers,
		SuccessorElection: peers,
		Catalog:           machineTypes,
		TransferTracker:   steptest.NoTransfers{},
	})
	f.Connect(Dependencies{
		Catalog:             machineTypes,
		RemovalRecorder:     f.terminations,
		CancellationChecker: f.cancellations,
		Lease:               f.commit.Lease,
		PlacementForecast:   steptest.NoPlan{},
		Replication:         f.commit.Replication,
		QuiesceChecker:      steptest.NoTransfers{},
		Committer:           f.commit.Committer,
		ShardWriter:         f.commit.ShardWriter,
		TerminationChecker:  f.terminations,
		ScaleInEvaluator:    fakeScaleIn{},
	})
	committest.Register(t, f.Context, f.commit)
	return f
}

// advance advances the clock and deletes the effects emitted so far.
func (f *fixture) advance(d time.Duration) {
	f.Advance(d)
	f.Effects = nil
}

// addOwnedMachine adds the record of a machine that this controller owns, and returns its entry and state.
func (f *fixture) addOwnedMachine(t *testing.T, record storage.MachineRecord) (*storage.Machine, *MachineState) {
	t.Helper()
	entry := f.PutMachine(t, f.commit.Lease.Incarnation(), testShardEpoch, testMachine, record)
	return entry, f.Table.TrackOwnedMachine(entry, testMachine)
}

// putJob adds the record of the job.
func (f *fixture) putJob(t *testing.T, record string) {
	t.Helper()
	f.Put(t, storage.JobKey(testJob), []byte(record), 2)
}

// receive processes a heartbeat as one step of the controller does.
func (f *fixture) receive(heartbeat *protocol.Heartbeat) {
	f.Heartbeats.OnHeartbeat(step.HeartbeatInput{
		RequestID: step.RequestID(heartbeat.Sequence),
		Body:      protocol.Encode(heartbeat),
	})
	f.Heartbeats.ResolveDeferredHeartbeats()
}

// tick checks the machines and the deferred heartbeats as one step of the controller does.
func (f *fixture) tick() {
	f.ShouldRecheckDeferredHeartbeats = true
	f.Monitor.TickMachines()
	f.Heartbeats.ResolveDeferredHeartbeats()
}

// fakeCancellations holds the jobs whose cancellation has been requested.
type fakeCancellations map[protocol.JobID]bool

func (f fakeCancellations) CancelRequested(id protocol.JobID) bool { return f[id] }

// fakeScaleIn never terminates a machine.
type fakeScaleIn struct{}

func (fakeScaleIn) BeginScaleInReview(int)                                {}
func (fakeScaleIn) EvaluateScaleIn(*storage.Machine, *MachineState, bool) {}
