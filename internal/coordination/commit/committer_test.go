package commit

import (
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// sendJob sends a transaction that puts a job on record.
func sendJob(controller *testController) *step.Commit {
	controller.Effects = nil
	batch := controller.ShardWriter.NewBatch(controller.Config.TransactionOps)
	batch.AddJob("j-1", &storage.JobRecord{Spec: &protocol.Job{ID: "j-1"}})
	controller.Committer.SendUserBatch(batch)
	return sentTransaction(controller.Effects)
}

// Every transaction of records has a condition on the revision of the registration key, so that
// none of an ended incarnation can be applied.
func TestTransactionsDependOnRegistration(t *testing.T) {
	controller := newReadyController(t)
	sent := sendJob(controller)
	want := protocol.Condition{Key: storage.ControllerKey("stall-0"), ModRevision: controller.Lease.registrationRevision}
	if sent == nil || !slices.Contains(sent.Transaction.Conditions, want) {
		t.Errorf("no condition %v in %+v", want, sent)
	}
}

// What is sent after an outcome says whether it is known what became of the transaction.
func TestTransactionOutcomes(t *testing.T) {
	for _, test := range []struct {
		outcome     storage.Outcome
		wantBarrier bool // a write barrier follows
		wantLease   bool // another lease is requested
	}{
		{outcome: storage.OutcomeApplied},
		{outcome: storage.OutcomeConflict},
		{outcome: storage.OutcomeThrottled},
		{outcome: storage.OutcomeUnavailable},
		{outcome: storage.OutcomeInvalid},
		{outcome: storage.OutcomeLeaseExpired, wantLease: true},
		{outcome: storage.OutcomeUnknown, wantBarrier: true},
	} {
		t.Run(test.outcome.String(), func(t *testing.T) {
			controller := newReadyController(t)
			sent := sendJob(controller)
			if sent == nil {
				t.Fatal("no transaction is sent")
			}
			result := steptest.CommittedAt(sent.ID, 2)
			result.Outcome = test.outcome
			controller.advance(0, result)
			if controller.Committer.pendingUser != nil {
				t.Error("the transaction is still pending")
			}
			effects := controller.advance(time.Second, step.Tick{})
			pending := controller.Committer.pending
			if got := pending != nil && pending.kind == writeBarrierTransaction; got != test.wantBarrier {
				t.Errorf("write barrier: %v", got)
			}
			if got := steptest.HasEffect[step.GrantLease](effects); got != test.wantLease {
				t.Errorf("lease requested: %v", got)
			}
		})
	}
}
