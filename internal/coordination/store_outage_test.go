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

// errStoreUnreachable is the error of every request to the store during an outage.
var errStoreUnreachable = errors.New("store unreachable")

// A transaction with an unknown outcome is followed by a write barrier. No other transaction is sent
// before the replica contains everything that was written up to the write barrier.
func TestWriteBarrierAfterUnknownOutcome(t *testing.T) {
	core, advance := newReadyCore(t)
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
		t.Fatalf("%d transactions with keys %v after a submission, want one that begins with the job",
			len(commits), writtenKeys(commits))
	}
	// Each transaction is conditional on the incarnation's own registration key. Once that key is
	// deleted, transactions that are still in flight are not applied.
	registrationKey := storage.ControllerKey("stall-0")
	registration := protocol.Condition{Key: registrationKey, ModRevision: registeredAt}
	if conditions := commits[0].Transaction.Conditions; !slices.Contains(conditions, registration) {
		t.Errorf("the transaction has conditions %v, want one on the registration key", conditions)
	}
	effects := advance(0, step.CommitResult{ID: commits[0].ID, Outcome: storage.OutcomeUnknown, Err: errStoreUnreachable})
	effects = append(effects, advance(time.Second, step.RenewLeaseResult{LeaseID: 7})...)
	barriers := steptest.EffectsOf[step.Commit](effects)
	if len(barriers) != 1 || !isWriteBarrier(barriers[0], registrationKey) ||
		barriers[0].Transaction.Operations[0].Lease != 7 {
		t.Fatalf("transactions after an unknown outcome are %+v, want only a write barrier with lease 7", barriers)
	}
	effects = advance(0, steptest.CommittedAt(barriers[0].ID, 9))
	effects = append(effects, submit()...)
	if commits := steptest.EffectsOf[step.Commit](effects); len(commits) != 0 {
		t.Fatalf("keys %v are written before the replica has reached the write barrier", writtenKeys(commits))
	}
	effects = advance(0, steptest.UnchangedUntil(core.ctx.Replica.Revision, 9))
	if len(steptest.EffectsOf[step.Commit](effects)) != 1 {
		t.Fatal("the submission is not written although the replica has reached the write barrier")
	}
}

// isWriteBarrier reports whether a transaction only rewrites the registration with write barrier 1.
func isWriteBarrier(commit step.Commit, registrationKey string) bool {
	operations := commit.Transaction.Operations
	if len(operations) != 1 || operations[0].PutKey != registrationKey {
		return false
	}
	var record storage.ControllerRecord
	return json.Unmarshal(operations[0].Value, &record) == nil && record.WriteBarrier == 1
}
