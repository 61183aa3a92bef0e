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

// newTransferWorld is a deployment of many small shards in which transfers are on record.
func newTransferWorld(t *testing.T, seed uint64) *World {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.traceLogsTo(t)
	w.restartWithConfig(func(config *step.Config) {
		config.RecordTransfers = true
		config.ValueBytes = 2500
		config.MinRebalanceInterval = time.Second
		config.IdleTimeoutFactor = 1000 // no scale-in
	})
	w.addSmallMachines(24, testZones...)
	return w
}

// onTransferPhase calls a callback each time a transfer comes to a phase, after the write.
func (w *World) onTransferPhase(phase storage.TransferPhase, callback func(storage.TransferRecord)) {
	w.AddTransferRecordHook(func(record storage.TransferRecord) {
		if record.Phase == phase {
			w.After(0, func() { callback(record) })
		}
	})
}

// onEveryTransfer calls a callback for every n-th transfer that comes to a phase.
func (w *World) onEveryTransfer(phase storage.TransferPhase, n int, callback func(storage.TransferRecord)) {
	count := 0
	w.onTransferPhase(phase, func(record storage.TransferRecord) {
		if count++; count%n == 0 {
			callback(record)
		}
	})
}

// controllerOf is the controller of an incarnation.
func (w *World) controllerOf(incarnation storage.Incarnation) *Controller {
	for _, controller := range w.Controllers {
		if controller.ID == incarnation.Controller() {
			return controller
		}
	}
	return nil
}

// requestRandomTransfers asks for transfers between random controllers until a time.
func (w *World) requestRandomTransfers(every, until time.Duration) {
	number := 0
	var requestNext func()
	requestNext = func() {
		if w.Now > until {
			return
		}
		number++
		source, receiver := w.Rand.IntN(len(w.Controllers)), w.Rand.IntN(len(w.Controllers))
		target := (source + 1 + w.Rand.IntN(len(w.Controllers)-1)) % len(w.Controllers)
		name := fmt.Sprintf("drill-%d", number)
		w.Controllers[receiver].DeliverOperatorRequest(func(id step.RequestID) step.Input {
			return requests.TransferRequest{RequestID: id, Name: name, Source: w.Controllers[source].ID, Target: w.Controllers[target].ID}
		}, func(step.Effect) {})
		w.After(time.Duration(float64(every)*(0.5+w.Rand.Float64())), requestNext)
	}
	w.After(5*time.Second, requestNext)
}

// Shards are transferred all the time while jobs of every kind run, and something fails just as
// a transfer comes to a phase. No rule is broken, each machine has one owner at every revision,
// and once the faults are over all jobs and all transfers end.
func TestTransfersUnderFaults(t *testing.T) {
	const busy = 90 * time.Second
	for _, c := range []struct {
		name           string
		minTransferred int // shards
		inject         func(w *World)
	}{
		{"nothing fails", 25, noFault},
		{"the source ends with a transfer proposed", 5, sourceFailsAsProposed},
		{"the source ends with a transfer prepared, and is back at once", 5, sourceFailsAsPrepared},
		{"the source ends with a transfer prepared, and stays away", 3, sourceStaysAwayAsPrepared},
		{"the target ends with a transfer prepared", 3, targetFailsAsPrepared},
		{"the target ends as it owns the shard", 3, targetFailsAsCommitted},
		{"source and target are gone with a transfer prepared", 3, bothFailAsPrepared},
		{"source and target are gone after the transfer", 3, bothFailAsCommitted},
		{"the source is paused past its lease, and resumes", 3, sourcePausesPastLease},
		{"the target is paused past its lease, and resumes", 3, targetPausesPastLease},
		{"the store is away between two phases", 3, storeOutageBetweenPhases},
		{"the source alone loses the store", 3, sourceLosesStore},
		{"replies to transactions are lost", 10, writeRepliesLost},
		{"transactions are applied late", 10, writesDelayed},
		{"messages are lost, and duplicate heartbeats come late", 5, messagesLostAndDuplicated},
		{"the controllers do not reach each other", 10, peersUnreachableAll},
		{"machines of the shard are preempted and lost during the transfer", 10, shardMachinesPreempted},
		{"machines of the shard become unreachable during the transfer", 5, shardMachinesPartitioned},
		{"the source loses its agents", 3, sourceLosesAgents},
		{"all running jobs are cancelled as a transfer is prepared", 10, jobsCancelledAsPrepared},
		{"all running jobs are cancelled after a transfer", 10, jobsCancelledAsCommitted},
		{"records are packed and the limits tighten during transfers", 10, limitsTightenDuringTransfers},
		{"a controller runs the version in production", 5, oneControllerOfProductionVersion},
		{"controllers of the version in production take turns", 5, productionVersionTakesTurns},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed < max(seedCount(), 2); seed++ {
				w := newTransferWorld(t, seed)
				ids := submitMixedJobs(w, 40)
				w.requestRandomTransfers(1200*time.Millisecond, busy)
				c.inject(w)
				w.Advance(busy)
				w.endFaults()
				w.Advance(seconds(200))
				w.Rules.CheckFinal(w.Now)
				checkTransfers(t, w, seed, ids, c.minTransferred)
			}
		})
	}
}

// endFaults ends all faults.
func (w *World) endFaults() {
	w.Store.Unavailable = false
	w.LostWriteReplyRate, w.DelayedWriteRate, w.MessageLossRate, w.DuplicateHeartbeatRate = 0, 0, 0, 0
	for _, controller := range w.Controllers {
		controller.StoreUnreachable, controller.AgentsUnreachable, controller.PeersUnreachable = false, false, false
	}
	for _, m := range w.Machines {
		m.Partitioned = false
	}
	w.Store.OnRevision = w.History.ApplyRevision
	w.Rules.FaultsEndedAt = w.Now
}

// shardMachines lists the machines of a shard, as they are on record.
func (w *World) shardMachines(shard storage.ShardID) []protocol.MachineID {
	return w.History.shards[shard].Machines
}

// checkTransfers checks that no rule is broken, all jobs and transfers have ended, and enough
// shards were transferred.
func checkTransfers(t *testing.T, w *World, seed uint64, ids []protocol.JobID, transferred int) {
	t.Helper()
	for _, id := range ids {
		if w.Jobs[id] != nil && !w.FinishedJobs[id] {
			t.Errorf("seed %d: %s has not ended", seed, id)
		}
	}
	if len(w.Rules.Violations) > 0 {
		t.Errorf("seed %d: broken %v", seed, w.Rules.Violations)
	}
	h := w.History
	if open := h.OpenTransfers(); len(open) > 0 {
		t.Errorf("seed %d: transfers that do not end: %v", seed, open)
	}
	if h.ShardsTransferred < transferred {
		t.Errorf("seed %d: %d shards were transferred, want %d; aborted %v", seed, h.ShardsTransferred, transferred, h.AbortedByReason)
	}
	t.Logf("seed %d: %d shards transferred, aborted %v, %d revisions", seed, h.ShardsTransferred, h.AbortedByReason, h.Revisions)
}
