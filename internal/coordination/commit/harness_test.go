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

// fakeMachineTracker stands for package agents, which tracks no machine.
type fakeMachineTracker struct{}

func (fakeMachineTracker) ForgetAssignments()                        {}
func (fakeMachineTracker) ForgetUnrecordedMachines(*storage.Replica) {}
func (fakeMachineTracker) OnMachinesRemoved()                        {}

// testController is the parts of this package, driven as the core drives them.
type testController struct {
	steptest.Fixture
	*Parts

	catalog *catalog.Catalog
}

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

// newReadyController brings a controller to the point where it is registered and up to date.
func newReadyController(t *testing.T) *testController {
	t.Helper()
	controller := newTestController()
	controller.advance(0, step.Tick{})
	controller.advance(0, step.GrantLeaseResult{LeaseID: 7})
	registration := sentTransaction(controller.advance(0, step.LoadRecordsResult{StartRevision: 1, EndRevision: 1}))
	if registration == nil {
		t.Fatal("the controller does not register")
	}
	controller.advance(0, steptest.CommittedAt(registration.ID, 2))
	controller.advance(0, steptest.UnchangedUntil(1, 2))
	if !controller.Lease.IsRegistered() || !controller.Replication.IsUpToDate() {
		t.Fatal("the controller is not registered and up to date")
	}
	return controller
}

// advance lets time pass and passes an input to the part that it is for.
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

// sentTransaction is the transaction among the effects of a step, nil if there is none.
func sentTransaction(effects []step.Effect) *step.Commit {
	if sent := steptest.EffectsOf[step.Commit](effects); len(sent) > 0 {
		return &sent[0]
	}
	return nil
}
