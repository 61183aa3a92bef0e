package coordination

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/coordination/step/steptest"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

var errStoreUnreachable = errors.New("store unreachable")

// A transaction with unknown outcome is followed by a write barrier, and by nothing else
// before the replica has all that was written until then.
func TestWriteBarrierAfterUnknownOutcome(t *testing.T) {
	c, advance := newReadyCore(t)
	machineType := protocol.MachineType{Name: "s", Cores: 4, MemoryGB: 8, Zones: []protocol.Zone{"a"}}
	advance(0, step.ListMachineTypesResult{MachineTypes: []protocol.MachineType{machineType}})
	const job = `{"uid":"j-1","lane":"l","desk":"core","shape":"batch","rank":"low",
"pieces":1,"cores":1,"accelerators":0,"mem_gb":1,"bundle":"b","pull_gb":0,"together":false,"scatter":false,
"loaners":false,"reckon_s":1,"bookmark_s":0,"stow_s":0}`
	submit := func() []step.Effect {
		return advance(time.Second, step.UserInput{RequestID: 1, Type: protocol.RequestSubmit, Body: []byte(job)})
	}
	writtenKeys := func(commits []step.Commit) (keys []string) {
		for _, commit := range commits {
			for _, operation := range commit.Transaction.Operations {
				keys = append(keys, operation.PutKey)
			}
		}
		return keys
	}
	commits := steptest.EffectsOf[step.Commit](submit())
	if len(commits) != 1 || writtenKeys(commits)[0] != storage.JobKey("j-1") {
		t.Fatalf("%d commits of %v", len(commits), writtenKeys(commits))
	}
	// Whatever is sent rests on this incarnation's own key: once that has gone, nothing
	// that is still on its way is applied.
	registrationKey := storage.ControllerKey("stall-0")
	registration := protocol.Condition{Key: registrationKey, ModRevision: registeredAt}
	if conditions := commits[0].Transaction.Conditions; !slices.Contains(conditions, registration) {
		t.Errorf("the transaction does not depend on the registration key: %v", conditions)
	}
	effects := advance(0, step.CommitResult{ID: commits[0].ID, Outcome: storage.OutcomeUnknown, Err: errStoreUnreachable})
	effects = append(effects, advance(time.Second, step.RenewLeaseResult{LeaseID: 7})...)
	barriers := steptest.EffectsOf[step.Commit](effects)
	if len(barriers) != 1 || !isWriteBarrier(barriers[0], registrationKey) ||
		barriers[0].Transaction.Operations[0].Lease != 7 {
		t.Fatalf("no write barrier: %+v", barriers)
	}
	effects = advance(0, steptest.CommittedAt(barriers[0].ID, 9))
	effects = append(effects, submit()...)
	if commits := steptest.EffectsOf[step.Commit](effects); len(commits) != 0 {
		t.Fatalf("%v is written before the replica is at the write barrier", writtenKeys(commits))
	}
	effects = advance(0, steptest.UnchangedUntil(c.ctx.Replica.Revision, 9))
	if len(steptest.EffectsOf[step.Commit](effects)) != 1 {
		t.Fatal("nothing is written after the write barrier")
	}
}

// isWriteBarrier tells whether a transaction rewrites the registration with another barrier, and
// nothing else.
func isWriteBarrier(commit step.Commit, registrationKey string) bool {
	operations := commit.Transaction.Operations
	if len(operations) != 1 || operations[0].PutKey != registrationKey {
		return false
	}
	var record storage.ControllerRecord
	return json.Unmarshal(operations[0].Value, &record) == nil && record.WriteBarrier == 1
}
