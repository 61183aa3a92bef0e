package commit

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/storage"
)

var errUnreachable = errors.New("store unreachable")

// fakeMachineTracker is a MachineTracker that holds no state.
type fakeMachineTracker struct{}

func (fakeMachineTracker) ForgetAssignments()                        {}
func (fakeMachineTracker) ForgetUnrecordedMachines(*storage.Replica) {}
func (fakeMachineTracker) OnMachinesRemoved()                        {}

// testController connects the parts of this package and passes inputs to them as the core does.
type testController struct {
	steptest.Fixture
	*Parts

	catalog *catalog.Catalog
}

// newTestController returns a controller that is not registered.
func newTestController() *testController {
	base := steptest.NewFixture(steptest.Config())
	controller := &testController{
		Fixture: base,
		Parts:   New(base.Context),
		catalog: catalog.New(base.Context).Catalog,
	}
	peers := &steptest.FakePeers{ElectsSelf: true}
	controller.Connect(Dependencies{
		MachineTracker:    fakeMachineTracker{},
		StoreReports:      peers,
		SuccessorElection: peers,
		Catalog:           controller.catalog,
		TransferTracker:   steptest.NoTransfers{},
	})
	controller.Limits.UpdateWriteLimiter()
	return controller
}

// newReadyController returns a controller that is registered and has an up-to-date replica.
func newReadyController(t *testing.T) *testController {
	t.Helper()
	controller := newTestController()
	controller.advance(0, step.Tick{})
	controller.advance(0, step.GrantLeaseResult{LeaseID: 7})
	registration := sentTransaction(controller.advance(0, step.LoadRecordsResult{StartRevision: 1, EndRevision: 1}))
	if registration == nil {
		t.Fatal("no registration was sent after the records were loaded")
	}
	controller.advance(0, steptest.CommittedAt(registration.ID, 2))
	controller.advance(0, steptest.UnchangedUntil(1, 2))
	if !controller.Lease.IsRegistered() || !controller.Replication.IsUpToDate() {
		t.Fatal("the controller is not registered or its replica is not up to date")
	}
	return controller
}

// advance advances the clock, passes an input to the part that handles it and returns the effects of
// the step.
func (c *testController) advance(after time.Duration, in step.Input) []step.Effect {
	c.Advance(after)
	c.Effects = nil
	switch input := in.(type) {
	case step.CommitResult:
		c.Committer.OnCommitResult(input)
	case step.LoadRecordsResult:
		c.Replication.OnLoadRecordsResult(input)
	case step.WatchResult:
		c.Replication.OnWatchResult(input)
	case step.GrantLeaseResult:
		c.Lease.OnGrantLeaseResult(input)
	case step.RenewLeaseResult:
		c.Lease.OnRenewLeaseResult(input)
	case step.Tick:
		c.Replication.TickLoad()
		c.Lease.TickLease()
	default:
		panic(fmt.Sprintf("unknown input %T", in))
	}
	c.Committer.PrepareForRecordBatch()
	c.Replication.WatchRecords(false)
	return c.Effects
}

// sentTransaction returns the first transaction among the effects of a step, or nil if there is none.
func sentTransaction(effects []step.Effect) *step.Commit {
	if sent := steptest.EffectsOf[step.Commit](effects); len(sent) > 0 {
		return &sent[0]
	}
	return nil
}
