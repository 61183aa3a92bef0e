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

// requestsFixture holds the parts of this package and the parts of other packages that they depend on.
type requestsFixture struct {
	steptest.Fixture
	*Parts

	catalog   *catalog.Parts
	commit    *commit.Parts
	canceller *cancellation.Canceller
}

// newFixture returns a fixture that has loaded an empty store at revision 1 and is not registered.
func newFixture(t *testing.T) *requestsFixture {
	t.Helper()
	config := steptest.Config()
	config.RecordTransfers = true
	base := steptest.NewFixture(config)
	base.Rand = rand.New(rand.NewPCG(1, 1))
	ctx := base.Context
	agentParts, owners, cancellations := agents.New(ctx), ownership.New(ctx), cancellation.New(ctx)
	fixture := &requestsFixture{
		Fixture:   base,
		Parts:     New(ctx),
		catalog:   catalog.New(ctx),
		commit:    commit.New(ctx),
		canceller: cancellations.Canceller,
	}
	fixture.commit.Connect(commit.Dependencies{
		MachineTracker:    agentParts.Table,
		StoreReports:      owners.Peers,
		SuccessorElection: owners.Manager,
		Catalog:           fixture.catalog.Catalog,
		TransferTracker:   owners.Transfers,
	})
	cancellations.Connect(cancellation.Dependencies{
		Agents:            agentParts.Table,
		Calls:             agentParts.Calls,
		Committer:         fixture.commit.Committer,
		Lease:             fixture.commit.Lease,
		SuccessorElection: owners.Manager,
		PeerNotifier:      owners.Peers,
		Replication:       fixture.commit.Replication,
	})
	owners.Connect(ownership.Dependencies{
		Cancellations: cancellations.Canceller,
		Lease:         fixture.commit.Lease,
		Misdirected:   agentParts.Misdirected,
		Replication:   fixture.commit.Replication,
		Store:         fixture.commit.Store,
		Agents:        agentParts.Table,
		Limits:        fixture.commit.Limits,
		ShardWriter:   fixture.commit.ShardWriter,
	})
	fixture.Connect(Dependencies{
		Lease:         fixture.commit.Lease,
		Overload:      owners.Overload,
		Replication:   fixture.commit.Replication,
		Transfers:     owners.Transfers,
		Cancellations: cancellations.Canceller,
		Catalog:       fixture.catalog.Catalog,
		Limits:        fixture.commit.Limits,
		Store:         fixture.commit.Store,
	})
	fixture.commit.Limits.UpdateWriteLimiter()
	fixture.commit.Replication.OnLoadRecordsResult(step.LoadRecordsResult{StartRevision: 1, EndRevision: 1})
	return fixture
}

// newRegisteredFixture returns a fixture whose incarnation is registered, and which is up to date at
// revision 2.
func newRegisteredFixture(t *testing.T) *requestsFixture {
	t.Helper()
	fixture := newFixture(t)
	committest.Register(t, fixture.Context, fixture.commit)
	if got := fixture.commit.Lease.Incarnation(); got != testIncarnation {
		t.Fatalf("registered as %q, want %q", got, testIncarnation)
	}
	return fixture
}

// takeEffects returns the effects of type T since the last call, and discards all effects.
func takeEffects[T step.Effect](fixture *requestsFixture) []T {
	taken := steptest.EffectsOf[T](fixture.Effects)
	fixture.Effects = nil
	return taken
}
