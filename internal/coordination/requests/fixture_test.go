package requests

import (
	"math/rand/v2"
	"testing"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/commit/committest"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/storage"
)

const testIncarnation storage.Incarnation = "stall-0#7" // of the controller under test

// fixture holds the parts of this package and the parts of other packages that they depend on.
type fixture struct {
	steptest.Fixture
	*Parts

	catalog   *catalog.Parts
	commit    *commit.Parts
	canceller *cancellation.Canceller
}

// newFixture returns a fixture that has loaded an empty store at revision 1 and is not registered.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	config := steptest.Config()
	config.RecordTransfers = true
	base := steptest.NewFixture(config)
	base.Rand = rand.New(rand.NewPCG(1, 1))
	ctx := base.Context
	agentParts, owners, cancellations := agents.New(ctx), ownership.New(ctx), cancellation.New(ctx)
	f := &fixture{
		Fixture:   base,
		Parts:     New(ctx),
		catalog:   catalog.New(ctx),
		commit:    commit.New(ctx),
		canceller: cancellations.Canceller,
	}
	f.commit.Connect(commit.Dependencies{
		MachineTracker:    agentParts.Table,
		StoreReports:      owners.Peers,
		SuccessorElection: owners.Manager,
		Catalog:           f.catalog.Catalog,
		TransferTracker:   owners.Transfers,
	})
	cancellations.Connect(cancellation.Dependencies{
		Agents:            agentParts.Table,
		Calls:             agentParts.Calls,
		Committer:         f.commit.Committer,
		Lease:             f.commit.Lease,
		Limits:            f.commit.Limits,
		SuccessorElection: owners.Manager,
		PeerNotifier:      owners.Peers,
		Replication:       f.commit.Replication,
	})
	owners.Connect(ownership.Dependencies{
		Cancellations: cancellations.Canceller,
		Lease:         f.commit.Lease,
		Misdirected:   agentParts.Misdirected,
		Replication:   f.commit.Replication,
		Store:         f.commit.Store,
		Agents:        agentParts.Table,
		Limits:        f.commit.Limits,
		ShardWriter:   f.commit.ShardWriter,
	})
	f.Connect(Dependencies{
		Lease:         f.commit.Lease,
		Overload:      owners.Overload,
		Replication:   f.commit.Replication,
		Transfers:     owners.Transfers,
		Cancellations: cancellations.Canceller,
		Catalog:       f.catalog.Catalog,
		Limits:        f.commit.Limits,
		Store:         f.commit.Store,
	})
	f.commit.Limits.UpdateWriteLimiter()
	f.commit.Replication.OnLoadRecordsResult(step.LoadRecordsResult{StartRevision: 1, EndRevision: 1})
	return f
}

// newRegisteredFixture returns a fixture whose incarnation is registered, and which is up to date at
// revision 2.
func newRegisteredFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	committest.Register(t, f.Context, f.commit)
	if got := f.commit.Lease.Incarnation(); got != testIncarnation {
		t.Fatalf("registered as %q, want %q", got, testIncarnation)
	}
	return f
}

// takeEffects returns the effects of type T since the last call, and discards all effects.
func takeEffects[T step.Effect](f *fixture) []T {
	taken := steptest.EffectsOf[T](f.Effects)
	f.Effects = nil
	return taken
}
