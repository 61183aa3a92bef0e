package agents

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Names of the one machine and job of these tests, and the epoch of the machine's shard.
const (
	testController = "stall-0"
	testShard      = "p"
	testMachine    = "m-1"
	testJob        = "j-1"
	testShardEpoch = storage.ShardEpoch(3)
)

// fixture is the parts of this package on a registered controller whose replica is up to date.
// Later packages are replaced by fakes.
type fixture struct {
	*step.Context
	*Parts

	commit      *commit.Parts
	cancelled   fakeCancellations
	termination fakeTerminations
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ctx := &step.Context{
		Config: step.Config{
			ControllerID:      testController,
			Quotas:            map[string]step.Quota{"core": {}},
			HeartbeatInterval: 2 * time.Second,
			AgentLeaseTTL:     14 * time.Second,
			CancelTimeout:     40 * time.Second,
			WritesPerSecond:   100,
			TransactionOps:    8,
			ValueBytes:        8192,
			Tuning:            step.DefaultTuning(),
		},
		Now:     step.Now{Monotonic: 1, Wall: 1e12},
		Replica: storage.NewReplica(),
	}
	f := &fixture{
		Context:     ctx,
		Parts:       New(ctx),
		commit:      commit.New(ctx),
		cancelled:   fakeCancellations{},
		termination: fakeTerminations{},
	}
	machineTypes := catalog.New(ctx).Catalog
	f.commit.Connect(commit.Dependencies{
		MachineTracker:    f.Table,
		StoreReports:      fakePeers{},
		SuccessorElection: fakePeers{},
		Catalog:           machineTypes,
		TransferTracker:   fakeTransfers{},
	})
	f.Connect(Dependencies{
		Catalog:             machineTypes,
		RemovalRecorder:     f.termination,
		CancellationChecker: f.cancelled,
		Lease:               f.commit.Lease,
		PlacementForecast:   fakePlan{},
		Replication:         f.commit.Replication,
		QuiesceChecker:      fakeTransfers{},
		Committer:           f.commit.Committer,
		ShardWriter:         f.commit.ShardWriter,
		TerminationChecker:  f.termination,
		ScaleInEvaluator:    fakeScaleIn{},
	})
	f.commit.Limits.UpdateWriteLimiter()
	f.register(t)
	return f
}

// register lets the controller load the records, obtain its lease and register.
func (f *fixture) register(t *testing.T) {
	t.Helper()
	f.commit.Replication.TickLoad()
	f.commit.Lease.TickLease()
	f.commit.Lease.OnGrantLeaseResult(step.GrantLeaseResult{LeaseID: 7})
	f.commit.Replication.OnLoadRecordsResult(step.LoadRecordsResult{StartRevision: 1, EndRevision: 1})
	f.commit.Committer.ReadyForRecordBatch()
	for _, effect := range f.Effects {
		if transaction, ok := effect.(step.Commit); ok {
			f.commit.Committer.OnCommitResult(step.CommitResult{
				ID:      transaction.ID,
				Outcome: storage.OutcomeApplied,
				Result:  protocol.TransactionResult{Revision: 2},
			})
		}
	}
	f.commit.Replication.OnWatchResult(step.WatchResult{AfterRevision: 1, Response: &protocol.WatchResponse{Revision: 2}})
	if !f.commit.Lease.IsRegistered() || !f.commit.Replication.IsUpToDate() {
		t.Fatal("the controller does not register")
	}
	f.Effects = nil
}

// advance lets time pass, and drops the effects so far.
func (f *fixture) advance(d time.Duration) {
	f.Now.Monotonic = f.Now.Monotonic.Add(d)
	f.Now.Wall += protocol.Millis(d.Milliseconds())
	f.Effects = nil
}

// addOwnedMachine puts the machine on record as owned by this controller.
func (f *fixture) addOwnedMachine(t *testing.T, record storage.MachineRecord) (*storage.Machine, *MachineState) {
	t.Helper()
	key := storage.ShardKey(testShard)
	shard := storage.EncodePlainShard(f.commit.Lease.Incarnation(), testShardEpoch, []string{record.EncodeLine(testMachine)}, nil)
	if _, err := f.Replica.Put(key, shard, f.Replica.ModRevision(key)+1); err != nil {
		t.Fatal(err)
	}
	entry := f.Replica.Machines[testMachine]
	return entry, f.Table.TrackOwnedMachine(entry, testMachine)
}

// putJob puts the job on record.
func (f *fixture) putJob(t *testing.T, record string) {
	t.Helper()
	if _, err := f.Replica.Put(storage.JobKey(testJob), []byte(record), 2); err != nil {
		t.Fatal(err)
	}
}

// receive handles a heartbeat as one step does.
func (f *fixture) receive(heartbeat *protocol.Heartbeat) {
	f.Heartbeats.OnHeartbeat(step.HeartbeatInput{
		RequestID: step.RequestID(heartbeat.Sequence),
		Body:      protocol.Encode(heartbeat),
	})
	f.Heartbeats.ResolveDeferredHeartbeats()
}

// tick looks after the machines and the deferred heartbeats as one step does.
func (f *fixture) tick() {
	f.ShouldRecheckDeferred = true
	f.Monitor.TickMachines()
	f.Heartbeats.ResolveDeferredHeartbeats()
}

// replyStatus is the status of the reply among the effects, 0 for none.
func (f *fixture) replyStatus() int {
	for _, effect := range f.Effects {
		if reply, ok := effect.(step.Reply); ok {
			return reply.Status
		}
	}
	return 0
}

// newHeartbeat makes a heartbeat that shows the machine's token and agent epoch on record.
func newHeartbeat(machine *storage.Machine, sequence protocol.Sequence, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Machine:      testMachine,
		Addr:         "a",
		Type:         "s",
		Zone:         "a",
		AgentEpoch:   machine.Record.AgentEpoch,
		Sequence:     sequence,
		FencingToken: machine.Record.FencingToken,
		Tasks:        tasks,
	}
}

type fakeCancellations map[protocol.JobID]bool

func (f fakeCancellations) CancelRequested(id protocol.JobID) bool { return f[id] }

// fakeTerminations names the machines whose termination the cloud has confirmed.
type fakeTerminations map[protocol.MachineID]bool

func (f fakeTerminations) IsTerminationConfirmed(id protocol.MachineID) bool { return f[id] }
func (f fakeTerminations) RecordRemoval(protocol.MachineID)                  {}

type fakePeers struct{}

func (fakePeers) PeersReportStoreUnavailable(time.Duration) bool { return false }
func (fakePeers) IsSuccessor(string) bool                        { return true }

type fakeTransfers struct{}

func (fakeTransfers) IsQuiesced(storage.ShardID) bool { return false }
func (fakeTransfers) ShardsInTransfer(func(storage.TransferPhase) bool) map[storage.ShardID]bool {
	return nil
}

type fakePlan struct{}

func (fakePlan) ExpectsPlacement(protocol.MachineID) bool { return false }

type fakeScaleIn struct{}

func (fakeScaleIn) BeginScaleInReview(int)                                {}
func (fakeScaleIn) EvaluateScaleIn(*storage.Machine, *MachineState, bool) {}
