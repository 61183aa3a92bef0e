// Package committest helps the tests of the packages that build on package commit.
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

// Register brings the parts to the point where the controller holds a lease, has read an empty
// store and is registered under the lease, with an up-to-date replica of revision 2. It leaves
// no effect in the context.
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
		t.Fatal("a batch of records may be sent before the registration")
	}
	sent := steptest.EffectsOf[step.Commit](ctx.Effects)
	if len(sent) != 1 {
		t.Fatalf("%d transactions sent, want the registration", len(sent))
	}
	parts.Committer.OnCommitResult(steptest.CommittedAt(sent[0].ID, registeredRevision))
	parts.Replication.OnWatchResult(steptest.UnchangedUntil(loadedRevision, registeredRevision))
	if !parts.Lease.IsRegistered() || !parts.Replication.IsUpToDate() {
		t.Fatal("the controller is not registered and up to date")
	}
	ctx.Effects = nil
}
