// Package committest provides helpers for the tests of packages that use package commit.
package committest

import (
	"testing"

	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
)

const (
	leaseID            = 7
	loadedRevision     = 1
	registeredRevision = 2
)

// Register passes inputs to the parts until the controller holds a lease, has loaded an empty store
// and is registered under the lease. The replica is then up to date at revision 2, and ctx has no
// effects.
func Register(t testing.TB, ctx *step.Context, parts *commit.Parts) {
	t.Helper()
	parts.Limits.UpdateWriteLimiter()
	parts.Lease.OnGrantLeaseResult(step.GrantLeaseResult{LeaseID: leaseID})
	parts.Replication.OnLoadRecordsResult(step.LoadRecordsResult{
		StartRevision: loadedRevision,
		EndRevision:   loadedRevision,
	})
	ctx.Effects = nil
	if parts.Committer.PrepareForRecordBatch() {
		t.Fatal("a batch of records may be sent before the registration, want the registration first")
	}
	sent := steptest.EffectsOf[step.Commit](ctx.Effects)
	if len(sent) != 1 {
		t.Fatalf("%d transactions were sent, want only the registration", len(sent))
	}
	parts.Committer.OnCommitResult(steptest.CommittedAt(sent[0].ID, registeredRevision))
	parts.Replication.OnWatchResult(steptest.UnchangedUntil(loadedRevision, registeredRevision))
	if !parts.Lease.IsRegistered() || !parts.Replication.IsUpToDate() {
		t.Fatal("the controller is not registered or its replica is not up to date")
	}
	ctx.Effects = nil
}
