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

// sendJob sends a transaction that adds the record of a job, and returns the transaction.
func sendJob(controller *testController) *step.Commit {
	controller.Effects = nil
	batch := controller.ShardWriter.NewBatch(controller.Config.TransactionOps)
	batch.AddJob("j-1", &storage.JobRecord{Spec: &protocol.Job{ID: "j-1"}})
	controller.Committer.SendUserBatch(batch)
	return sentTransaction(controller.Effects)
}

// Every transaction of records has a condition on the revision of the registration key, so that no
// transaction of an ended incarnation can be applied.
func TestTransactionsDependOnRegistration(t *testing.T) {
	controller := newReadyController(t)
	sent := sendJob(controller)
	want := protocol.Condition{Key: storage.ControllerKey("stall-0"), ModRevision: controller.Lease.registrationRevision}
	if sent == nil || !slices.Contains(sent.Transaction.Conditions, want) {
		t.Errorf("condition %v is missing in transaction %+v", want, sent)
	}
}

// A write barrier follows an unknown outcome only, and a lease request follows an expired lease only.
func TestTransactionOutcomes(t *testing.T) {
	for _, test := range []struct {
		outcome     storage.Outcome
		wantBarrier bool // a write barrier is sent next
		wantLease   bool // another lease is requested next
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
				t.Fatal("no transaction was sent, want the job's")
			}
			result := steptest.CommittedAt(sent.ID, 2)
			result.Outcome = test.outcome
			controller.advance(0, result)
			if controller.Committer.pendingUser != nil {
				t.Error("the transaction is still pending after its outcome")
			}
			effects := controller.advance(time.Second, step.Tick{})
			pending := controller.Committer.pending
			if got := pending != nil && pending.kind == writeBarrierTransaction; got != test.wantBarrier {
				t.Errorf("write barrier sent: %v, want the opposite", got)
			}
			if got := steptest.HasEffect[step.GrantLease](effects); got != test.wantLease {
				t.Errorf("another lease requested: %v, want the opposite", got)
			}
		})
	}
}
