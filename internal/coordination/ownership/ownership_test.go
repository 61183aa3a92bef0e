package ownership

import (
	"fmt"
	"testing"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/commit/committest"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	selfController  protocol.ControllerID = "tiller-0"
	otherController protocol.ControllerID = "tiller-1"
	// otherIncarnation is the incarnation of otherController that registerOther registers.
	otherIncarnation storage.Incarnation = "tiller-1#1"
)

// fakeScaleIn is an agents.ScaleInEvaluator that evaluates no machine.
type fakeScaleIn struct{}

func (fakeScaleIn) BeginScaleInReview(int)                                       {}
func (fakeScaleIn) EvaluateScaleIn(*storage.Machine, *agents.MachineState, bool) {}

// testController holds the parts of this package and of the packages that it depends on, for a
// controller that is registered and up to date.
type testController struct {
	steptest.Fixture
	*Parts
	agents *agents.Parts
	commit *commit.Parts
}

// newTestController returns a controller with one machine type, s, in zone a.
func newTestController(t *testing.T) *testController {
	t.Helper()
	config := steptest.Config()
	config.ControllerID = selfController
	fixture := steptest.NewFixture(config)
	ctx := fixture.Context
	catalogParts, commitParts, agentParts := catalog.New(ctx), commit.New(ctx), agents.New(ctx)
	cancellationParts, parts := cancellation.New(ctx), New(ctx)
	terminations := steptest.FakeTerminations{}
	commitParts.Connect(commit.Dependencies{
		MachineTracker:    agentParts.Table,
		StoreReports:      parts.Peers,
		SuccessorElection: parts.Manager,
		Catalog:           catalogParts.Catalog,
		TransferTracker:   parts.Transfers,
	})
	agentParts.Connect(agents.Dependencies{
		Catalog:             catalogParts.Catalog,
		RemovalRecorder:     terminations,
		CancellationChecker: cancellationParts.Canceller,
		Lease:               commitParts.Lease,
		PlacementForecast:   steptest.NoPlan{},
		Replication:         commitParts.Replication,
		QuiesceChecker:      parts.Transfers,
		Committer:           commitParts.Committer,
		ShardWriter:         commitParts.ShardWriter,
		TerminationChecker:  terminations,
		ScaleInEvaluator:    fakeScaleIn{},
	})
	cancellationParts.Connect(cancellation.Dependencies{
		Agents:            agentParts.Table,
		Calls:             agentParts.Calls,
		Committer:         commitParts.Committer,
		Lease:             commitParts.Lease,
		SuccessorElection: parts.Manager,
		PeerNotifier:      parts.Peers,
		Replication:       commitParts.Replication,
		ForcedTerminator:  terminations,
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
	controller := &testController{Fixture: fixture, Parts: parts, agents: agentParts, commit: commitParts}
	committest.Register(t, ctx, commitParts)
	catalogParts.Catalog.OnListMachineTypesResult(step.ListMachineTypesResult{
		MachineTypes: []protocol.MachineType{{Name: "s", Cores: 4, MemoryGB: 8, Zones: []protocol.Zone{"a"}}},
	})
	return controller
}

// put puts a record into the replica as a change at the next revision.
func (c *testController) put(t *testing.T, key string, value []byte) {
	t.Helper()
	c.Replica.Revision++
	c.Put(t, key, value, protocol.ModRevision(c.Replica.Revision))
}

// registerOther registers otherController with otherIncarnation in the replica.
func (c *testController) registerOther(t *testing.T) {
	t.Helper()
	c.put(t, storage.ControllerKey(otherController), fmt.Appendf(nil, `{"r":%q}`, otherIncarnation))
}

// putShard puts a shard with one machine, m-1, into the replica, and returns the machine.
func (c *testController) putShard(
	t *testing.T, id storage.ShardID, owner storage.Incarnation, epoch storage.ShardEpoch, record storage.MachineRecord,
) *storage.Machine {
	t.Helper()
	lines := []string{record.EncodeLine("m-1")}
	c.put(t, storage.ShardKey(id), storage.EncodePlainShard(owner, epoch, lines, nil))
	return c.Replica.Machines["m-1"]
}

// writtenShards returns the shards that a batch writes, as a replica decodes them.
func writtenShards(t *testing.T, batch *commit.Batch) map[storage.ShardID]*storage.Shard {
	t.Helper()
	written := storage.NewReplica()
	for _, operation := range batch.Transaction().Operations {
		if operation.PutKey == "" {
			continue
		}
		if _, err := written.Put(operation.PutKey, operation.Value, 1); err != nil {
			t.Fatal(err)
		}
	}
	return written.Shards
}
