package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	selfController  protocol.ControllerID = "tiller-0"
	otherController protocol.ControllerID = "tiller-1"
	// otherIncarnation is registered by registerOther.
	otherIncarnation storage.Incarnation = "tiller-1#1"

	testLeaseID protocol.LeaseID = 7
)

// fakeProvisioning stands for the packages that this one does not import: no machine is terminated,
// and none is about to be given tasks.
type fakeProvisioning struct{}

func (fakeProvisioning) RecordRemoval(protocol.MachineID)                             {}
func (fakeProvisioning) ExpectsPlacement(protocol.MachineID) bool                     { return false }
func (fakeProvisioning) IsTerminationConfirmed(protocol.MachineID) bool               { return false }
func (fakeProvisioning) TerminateUnrecorded(protocol.MachineID)                       {}
func (fakeProvisioning) BeginScaleInReview(int)                                       {}
func (fakeProvisioning) EvaluateScaleIn(*storage.Machine, *agents.MachineState, bool) {}

// testController has the parts of this package and of those below, for a controller that is
// registered and up to date.
type testController struct {
	*step.Context
	*Parts
	agents *agents.Parts
	commit *commit.Parts
}

func newTestController(t *testing.T) *testController {
	t.Helper()
	ctx := &step.Context{
		Config: step.Config{
			ControllerID:      selfController,
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
		Rand:    rand.New(rand.NewPCG(0, 7)),
		Replica: storage.NewReplica(),
	}
	catalogParts, commitParts, agentParts := catalog.New(ctx), commit.New(ctx), agents.New(ctx)
	cancellationParts, parts := cancellation.New(ctx), New(ctx)
	provisioning := fakeProvisioning{}
	commitParts.Connect(commit.Dependencies{
		MachineTracker:    agentParts.Table,
		StoreReports:      parts.Peers,
		SuccessorElection: parts.Manager,
		Catalog:           catalogParts.Catalog,
		TransferTracker:   parts.Transfers,
	})
	agentParts.Connect(agents.Dependencies{
		Catalog:             catalogParts.Catalog,
		RemovalRecorder:     provisioning,
		CancellationChecker: cancellationParts.Canceller,
		Lease:               commitParts.Lease,
		PlacementForecast:   provisioning,
		Replication:         commitParts.Replication,
		QuiesceChecker:      parts.Transfers,
		Committer:           commitParts.Committer,
		ShardWriter:         commitParts.ShardWriter,
		TerminationChecker:  provisioning,
		ScaleInEvaluator:    provisioning,
	})
	cancellationParts.Connect(cancellation.Dependencies{
		Agents:           agentParts.Table,
		Calls:            agentParts.Calls,
		Committer:        commitParts.Committer,
		Lease:            commitParts.Lease,
		Limits:           commitParts.Limits,
		OwnerElection:    parts.Manager,
		PeerNotifier:     parts.Peers,
		Replication:      commitParts.Replication,
		ForcedTerminator: provisioning,
	})
	parts.Connect(Dependencies{
		Cancellations: cancellationParts.Canceller,
		Lease:         commitParts.Lease,
		Misdirected:   agentParts.Misdirected,
		Replication:   commitParts.Replication,
		Store:         commitParts.Store,
		Agents:        agentParts.Table,
		Limits:        commitParts.Limits,
		ShardWriter:   commitParts.ShardWriter,
	})
	c := &testController{Context: ctx, Parts: parts, agents: agentParts, commit: commitParts}
	c.register(t)
	catalogParts.Catalog.OnListMachineTypesResult(step.ListMachineTypesResult{
		MachineTypes: []protocol.MachineType{{Name: "s", Cores: 4, MemoryGB: 8, Zones: []protocol.Zone{"a"}}},
	})
	return c
}

// register has the controller load no records and register itself.
func (c *testController) register(t *testing.T) {
	t.Helper()
	c.commit.Limits.UpdateWriteLimiter()
	c.commit.Lease.OnGrantLeaseResult(step.GrantLeaseResult{LeaseID: testLeaseID})
	c.commit.Replication.OnLoadRecordsResult(step.LoadRecordsResult{StartRevision: 1, EndRevision: 1})
	c.commit.Committer.ReadyForRecordBatch()
	for _, effect := range c.Effects {
		if sent, ok := effect.(step.Commit); ok {
			result := protocol.TransactionResult{Revision: 2}
			c.commit.Committer.OnCommitResult(step.CommitResult{ID: sent.ID, Outcome: storage.OutcomeApplied, Result: result})
		}
	}
	c.commit.Replication.OnWatchResult(step.WatchResult{AfterRevision: 1, Response: &protocol.WatchResponse{Revision: 2}})
	if !c.commit.Lease.IsRegistered() {
		t.Fatal("the controller does not register")
	}
}

func (c *testController) advance(d time.Duration) {
	c.Now.Monotonic = c.Now.Monotonic.Add(d)
	c.Now.Wall += protocol.Millis(d.Milliseconds())
}

func (c *testController) put(t *testing.T, key string, value []byte) {
	t.Helper()
	c.Replica.Revision++
	if _, err := c.Replica.Put(key, value, protocol.ModRevision(c.Replica.Revision)); err != nil {
		t.Fatal(err)
	}
}

// registerOther puts another controller on record.
func (c *testController) registerOther(t *testing.T) {
	t.Helper()
	c.put(t, storage.ControllerKey(otherController), fmt.Appendf(nil, `{"r":%q}`, otherIncarnation))
}

// putShard puts a shard of one machine, m-1, on record.
func (c *testController) putShard(
	t *testing.T, id storage.ShardID, owner storage.Incarnation, epoch storage.ShardEpoch, record storage.MachineRecord,
) *storage.Machine {
	t.Helper()
	lines := []string{record.EncodeLine("m-1")}
	c.put(t, storage.ShardKey(id), storage.EncodePlainShard(owner, epoch, lines, nil))
	return c.Replica.Machines["m-1"]
}

// writtenShards reads the shards that a batch writes, as a replica would.
func writtenShards(t *testing.T, b *commit.Batch) map[storage.ShardID]*storage.Shard {
	t.Helper()
	written := storage.NewReplica()
	for _, operation := range b.Transaction().Operations {
		if operation.PutKey == "" {
			continue
		}
		if _, err := written.Put(operation.PutKey, operation.Value, 1); err != nil {
			t.Fatal(err)
		}
	}
	return written.Shards
}
