package commit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

var errUnreachable = errors.New("store unreachable")

// Fakes of what the parts ask of other packages: no machines are tracked, no shard is being
// transferred, this controller is elected, and no other one is heard of.
type (
	fakeMachineTracker    struct{}
	fakeStoreReports      struct{}
	fakeSuccessorElection struct{}
	fakeTransferTracker   struct{}
)

func (fakeMachineTracker) ForgetAssignments()                        {}
func (fakeMachineTracker) ForgetUnrecordedMachines(*storage.Replica) {}
func (fakeMachineTracker) OnMachinesRemoved()                        {}

func (fakeStoreReports) PeersReportStoreUnavailable(time.Duration) bool { return false }

func (fakeSuccessorElection) IsSuccessor(string) bool { return true }

func (fakeTransferTracker) ShardsInTransfer(func(storage.TransferPhase) bool) map[storage.ShardID]bool {
	return nil
}

// testController is the parts of this package, driven as the core drives them.
type testController struct {
	*Parts
	*step.Context
	catalog *catalog.Catalog
}

func newTestController() *testController {
	ctx := &step.Context{
		Config: step.Config{
			ControllerID:    "stall-0",
			WritesPerSecond: 100,
			TransactionOps:  8,
			ValueBytes:      8192,
			Tuning:          step.DefaultTuning(),
		},
		Now:     step.Now{Monotonic: 1, Wall: 1e12},
		Rand:    rand.New(rand.NewPCG(0, 7)),
		Replica: storage.NewReplica(),
	}
	c := &testController{Parts: New(ctx), Context: ctx, catalog: catalog.New(ctx).Catalog}
	c.Connect(Dependencies{
		MachineTracker:    fakeMachineTracker{},
		StoreReports:      fakeStoreReports{},
		SuccessorElection: fakeSuccessorElection{},
		Catalog:           c.catalog,
		TransferTracker:   fakeTransferTracker{},
	})
	c.Limits.UpdateWriteLimiter()
	return c
}

// newReadyController brings a controller to the point where it is registered and up to date.
func newReadyController(t *testing.T) *testController {
	t.Helper()
	c := newTestController()
	c.advance(0, step.Tick{})
	c.advance(0, step.GrantLeaseResult{LeaseID: 7})
	registration := sentTransaction(c.advance(0, step.LoadRecordsResult{StartRevision: 1, EndRevision: 1}))
	if registration == nil {
		t.Fatal("the controller does not register")
	}
	c.advance(0, committedAt(registration.ID, 2))
	c.advance(0, unchangedUntil(1, 2))
	if !c.Lease.IsRegistered() || !c.Replication.IsUpToDate() {
		t.Fatal("the controller is not registered and up to date")
	}
	return c
}

// advance lets time pass and passes an input to the part that it is for.
func (c *testController) advance(after time.Duration, in step.Input) []step.Effect {
	c.Now.Monotonic = c.Now.Monotonic.Add(after)
	c.Now.Wall += protocol.Millis(after.Milliseconds())
	c.Effects = nil
	switch v := in.(type) {
	case step.CommitResult:
		c.Committer.OnCommitResult(v)
	case step.LoadRecordsResult:
		c.Replication.OnLoadRecordsResult(v)
	case step.WatchResult:
		c.Replication.OnWatchResult(v)
	case step.GrantLeaseResult:
		c.Lease.OnGrantLeaseResult(v)
	case step.RenewLeaseResult:
		c.Lease.OnRenewLeaseResult(v)
	case step.Tick:
		c.Replication.TickLoad()
		c.Lease.TickLease()
	default:
		panic(fmt.Sprintf("unknown input %T", in))
	}
	c.Committer.ReadyForRecordBatch()
	c.Replication.WatchRecords(false)
	return c.Effects
}

// sentTransaction is the transaction among the effects of a step, nil if there is none.
func sentTransaction(effects []step.Effect) *step.Commit {
	for _, effect := range effects {
		if commit, ok := effect.(step.Commit); ok {
			return &commit
		}
	}
	return nil
}

// hasEffect tells whether there is an effect of a type.
func hasEffect[E any](effects []step.Effect) bool {
	for _, effect := range effects {
		if _, ok := effect.(E); ok {
			return true
		}
	}
	return false
}

// committedAt is the result of a transaction that was applied at a revision.
func committedAt(id uint64, revision protocol.Revision) step.CommitResult {
	return step.CommitResult{
		ID:      id,
		Outcome: storage.OutcomeApplied,
		Result:  protocol.TransactionResult{Revision: revision},
	}
}

// unchangedUntil is the result of a watch request that no record has changed up to a revision.
func unchangedUntil(after, revision protocol.Revision) step.WatchResult {
	return step.WatchResult{
		AfterRevision: after,
		Response:      &protocol.WatchResponse{Revision: revision},
	}
}
