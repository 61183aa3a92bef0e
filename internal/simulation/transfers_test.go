package simulation

import (
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// newTransferWorld returns a deployment of many small shards in which transfers are recorded in the
// store.
func newTransferWorld(t *testing.T, seed uint64) *World {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.traceLogsTo(t)
	w.restartWithConfig(func(config *step.Config) {
		config.RecordTransfers = true
		config.ValueBytes = 2500
		config.MinRebalanceInterval = time.Second
		config.IdleTimeoutFactor = 1000 // prevents scale-in
	})
	w.addSmallMachines(24, testZones...)
	return w
}

// onTransferPhase calls a callback each time that a transfer enters a phase. The call follows the write
// that records the phase.
func (w *World) onTransferPhase(phase storage.TransferPhase, callback func(storage.TransferRecord)) {
	w.AddTransferRecordHook(func(record storage.TransferRecord) {
		if record.Phase == phase {
			w.After(0, func() { callback(record) })
		}
	})
}

// onEveryNthTransfer calls a callback for every n-th transfer that enters a phase, as onTransferPhase
// does.
func (w *World) onEveryNthTransfer(phase storage.TransferPhase, n int, callback func(storage.TransferRecord)) {
	count := 0
	w.onTransferPhase(phase, func(record storage.TransferRecord) {
		if count++; count%n == 0 {
			callback(record)
		}
	})
}

// controllerOf returns the controller of an incarnation, or nil if there is no such controller.
func (w *World) controllerOf(incarnation storage.Incarnation) *Controller {
	for _, controller := range w.Controllers {
		if controller.ID == incarnation.Controller() {
			return controller
		}
	}
	return nil
}

// requestRandomTransfers requests transfers between random controllers, as an operator does, until a
// time. The intervals between the requests are random, from half to one and a half of meanInterval.
func (w *World) requestRandomTransfers(meanInterval, until time.Duration) {
	requestCount := 0
	var requestNext func()
	requestNext = func() {
		if w.Now > until {
			return
		}
		requestCount++
		source, receiver := w.Rand.IntN(len(w.Controllers)), w.Rand.IntN(len(w.Controllers))
		target := (source + 1 + w.Rand.IntN(len(w.Controllers)-1)) % len(w.Controllers)
		name := fmt.Sprintf("drill-%d", requestCount)
		w.Controllers[receiver].DeliverOperatorRequest(func(id step.RequestID) step.Input {
			return requests.TransferRequest{RequestID: id, Name: name, Source: w.Controllers[source].ID, Target: w.Controllers[target].ID}
		}, func(step.Effect) {})
		w.After(time.Duration(float64(meanInterval)*(0.5+w.Rand.Float64())), requestNext)
	}
	w.After(5*time.Second, requestNext)
}

// TestTransfersUnderFaults transfers shards all the time while jobs of every kind run, and lets
// faults happen just when transfers enter a phase. No rule is violated, each machine has one owner at
// every revision of the store, and all jobs and all transfers end after the faults have ended.
func TestTransfersUnderFaults(t *testing.T) {
	const faultPeriod = 90 * time.Second
	for _, test := range []struct {
		name                 string
		minShardsTransferred int
		inject               func(w *World)
	}{
		{"no fault", 25, noFault},
		{"the source fails when a transfer is proposed", 5, sourceFailsAfterProposal},
		{"the source fails when a transfer is prepared, and restarts at once", 5, sourceFailsAfterPreparation},
		{"the source fails when a transfer is prepared, and stays down", 3, sourceStaysDownAfterPreparation},
		{"the target fails when a transfer is prepared", 3, targetFailsAfterPreparation},
		{"the target fails when it owns the shard", 3, targetFailsAfterCommit},
		{"source and target fail when a transfer is prepared", 3, bothFailAfterPreparation},
		{"source and target fail when a transfer is committed", 3, bothFailAfterCommit},
		{"the source pauses until after its lease has expired", 3, sourcePausesPastLease},
		{"the target pauses until after its lease has expired", 3, targetPausesPastLease},
		{"the store is unavailable between two phases", 3, storeOutageBetweenPhases},
		{"the source alone cannot reach the store", 3, sourceLosesStore},
		{"replies to transactions are lost", 10, writeRepliesLost},
		{"transactions are applied late", 10, writesDelayed},
		{"messages are lost, and duplicate heartbeats come late", 5, messagesLostAndDuplicated},
		{"the controllers do not reach each other", 10, allPeersUnreachable},
		{"machines of the shard are preempted or terminated during the transfer", 10, shardMachinesPreemptedOrTerminated},
		{"machines of the shard become unreachable during the transfer", 5, shardMachinesPartitioned},
		{"the source cannot reach its agents", 3, sourceLosesAgents},
		{"running jobs are cancelled when a transfer is prepared", 10, jobsCancelledAfterPreparation},
		{"running jobs are cancelled when a transfer is committed", 10, jobsCancelledAfterCommit},
		{"records are packed, and the store tightens its limits during transfers", 10, limitsTightenDuringTransfers},
		{"a controller runs the version in production", 5, oneControllerOfProductionVersion},
		{"controllers of the version in production take turns", 5, productionVersionTakesTurns},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed < max(seedCount(), 2); seed++ {
				w := newTransferWorld(t, seed)
				jobIDs := submitMixedJobs(w, 40)
				w.requestRandomTransfers(1200*time.Millisecond, faultPeriod)
				test.inject(w)
				w.Advance(faultPeriod)
				w.endFaults()
				w.Advance(seconds(200))
				w.Rules.CheckFinal(w.Now)
				checkTransfers(t, w, seed, jobIDs, test.minShardsTransferred)
			}
		})
	}
}

// endFaults ends the faults that the tests of transfers inject, also those that hooks on transfers
// would cause later.
func (w *World) endFaults() {
	w.Store.Unavailable = false
	w.LostWriteReplyRate, w.DelayedWriteRate, w.MessageLossRate, w.DuplicateHeartbeatRate = 0, 0, 0, 0
	for _, controller := range w.Controllers {
		controller.StoreUnreachable, controller.AgentsUnreachable, controller.PeersUnreachable = false, false, false
	}
	for _, machine := range w.Machines {
		machine.Partitioned = false
	}
	w.Store.OnRevision = w.History.ApplyRevision
	w.Rules.FaultsEndedAt = w.Now
}

// shardMachines returns the machines of a shard as recorded in the store.
func (w *World) shardMachines(shard storage.ShardID) []protocol.MachineID {
	return w.History.shards[shard].Machines
}

// checkTransfers checks that no rule is violated, that all submitted jobs and all transfers have ended,
// and that at least minShardsTransferred shards were transferred.
func checkTransfers(t *testing.T, w *World, seed uint64, jobIDs []protocol.JobID, minShardsTransferred int) {
	t.Helper()
	for _, id := range jobIDs {
		if w.Jobs[id] != nil && !w.FinishedJobs[id] {
			t.Errorf("seed %d: %s has not ended", seed, id)
		}
	}
	if len(w.Rules.Violations) > 0 {
		t.Errorf("seed %d: rule violations %v, want none", seed, w.Rules.Violations)
	}
	history := w.History
	if open := history.OpenTransfers(); len(open) > 0 {
		t.Errorf("seed %d: open transfers %v, want none", seed, open)
	}
	if history.ShardsTransferred < minShardsTransferred {
		t.Errorf("seed %d: %d shards were transferred, want at least %d; aborted transfers by reason %v",
			seed, history.ShardsTransferred, minShardsTransferred, history.AbortedByReason)
	}
	t.Logf("seed %d: %d shards transferred, aborted transfers by reason %v, %d revisions", seed, history.ShardsTransferred, history.AbortedByReason, history.Revisions)
}
