package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// newTransferWorld is a deployment of many small pages in which moves are on record.
func newTransferWorld(t *testing.T, seed uint64) *World {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.Rules.QuotaLimits["tight"] = 10
	w.Config.RecordTransfers = true
	w.Config.ValueBytes = 2500
	w.Config.MinRebalanceInterval = time.Second
	w.Config.IdleTimeoutFactor = 1000 // idle machines stay
	if os.Getenv("TRACE") != "" {
		w.Trace = func(l string) { t.Log(l) }
	}
	for _, controller := range w.Controllers {
		controller.Start()
	}
	for i := range 24 {
		w.AddMachine("small", protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
	}
	return w
}

// onTransferPhase calls f each time a move comes to a phase.
func (w *World) onTransferPhase(phase storage.TransferPhase, callback func(storage.TransferRecord)) {
	before := w.Store.OnRevision
	w.Store.OnRevision = func(revision protocol.Revision, events []protocol.Event) {
		before(revision, events)
		for _, change := range events {
			var record storage.TransferRecord
			if strings.HasPrefix(change.PutKey, storage.TransferKey("")) && json.Unmarshal(change.Value, &record) == nil && record.Phase == phase {
				w.After(0, func() { callback(record) })
			}
		}
	}
}

// controllerOf is the controller of a run.
func (w *World) controllerOf(incarnation storage.Incarnation) *Controller {
	for _, controller := range w.Controllers {
		if controller.ID == incarnation.Controller() {
			return controller
		}
	}
	return nil
}

// requestRandomTransfers asks for moves of pages at random, from one controller to the next, until a
// time.
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
			return requests.TransferRequest{Req: id, Name: name, Source: w.Controllers[source].ID, Target: w.Controllers[target].ID}
		}, func(step.Effect) {})
		w.After(time.Duration(float64(every)*(0.5+w.Rand.Float64())), requestNext)
	}
	w.After(5*time.Second, requestNext)
}

// Pages move all the time while jobs of every kind run, and something fails just as a move
// comes to a phase. Every rule must hold, each machine must have one owner at every
// revision, and once it is over all jobs and all moves must come to their end.
func TestTransfersUnderFaults(t *testing.T) {
	const busy = 90 * time.Second
	each := func(n int, f func(storage.TransferRecord)) func(storage.TransferRecord) {
		count := 0
		return func(r storage.TransferRecord) {
			if count++; count%n == 0 {
				f(r)
			}
		}
	}
	for _, c := range []struct {
		name    string
		passed  int // at least so many pages must have changed hands
		failure func(w *World)
	}{
		{"nothing fails", 25, func(w *World) {}},
		{"the giver ends with a move proposed", 5, func(w *World) {
			w.onTransferPhase(storage.TransferProposed, each(4, func(r storage.TransferRecord) { w.controllerOf(r.Source).restartIfAlive(3 * time.Second) }))
		}},
		{"the giver ends with a move prepared, and is back at once", 5, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(4, func(r storage.TransferRecord) { w.controllerOf(r.Source).restartIfAlive(200 * time.Millisecond) }))
		}},
		{"the giver ends with a move prepared, and stays away", 3, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(5, func(r storage.TransferRecord) { w.controllerOf(r.Source).restartIfAlive(20 * time.Second) }))
		}},
		{"the taker ends with a move prepared", 3, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(4, func(r storage.TransferRecord) { w.controllerOf(r.Target).restartIfAlive(4 * time.Second) }))
		}},
		{"the taker ends as it has the page", 3, func(w *World) {
			w.onTransferPhase(storage.TransferCommitted, each(4, func(r storage.TransferRecord) { w.controllerOf(r.Target).restartIfAlive(12 * time.Second) }))
		}},
		{"both ends are gone with a move prepared", 3, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(6, func(r storage.TransferRecord) {
				w.controllerOf(r.Source).restartIfAlive(15 * time.Second)
				w.controllerOf(r.Target).restartIfAlive(18 * time.Second)
			}))
		}},
		{"both ends are gone behind the transfer", 3, func(w *World) {
			w.onTransferPhase(storage.TransferCommitted, each(6, func(r storage.TransferRecord) {
				w.controllerOf(r.Source).restartIfAlive(15 * time.Second)
				w.controllerOf(r.Target).restartIfAlive(18 * time.Second)
			}))
		}},
		{"the giver is frozen past its lease, and goes on", 3, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(5, func(r storage.TransferRecord) { w.controllerOf(r.Source).Pause(12 * time.Second) }))
		}},
		{"the taker is frozen past its lease, and goes on", 3, func(w *World) {
			w.onTransferPhase(storage.TransferCommitted, each(5, func(r storage.TransferRecord) { w.controllerOf(r.Target).Pause(12 * time.Second) }))
		}},
		{"the state service is away between two phases", 3, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(6, func(storage.TransferRecord) {
				w.Store.Unavailable = true
				w.After(9*time.Second, func() { w.Store.Unavailable = false })
			}))
		}},
		{"the giver alone loses the state service", 3, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(6, func(r storage.TransferRecord) {
				n := w.controllerOf(r.Source)
				n.StoreUnreachable = true
				w.After(15*time.Second, func() { n.StoreUnreachable = false })
			}))
		}},
		{"answers of transactions are lost", 10, func(w *World) { w.LostWriteReplyRate = 0.1 }},
		{"transactions are carried out late", 10, func(w *World) { w.DelayedWriteRate = 0.04 }},
		{"messages are lost, and copies of reports come late", 5, func(w *World) { w.MessageLossRate, w.DuplicateHeartbeatRate = 0.03, 0.2 }},
		{"the controllers hear nothing of each other", 10, func(w *World) {
			for _, n := range w.Controllers {
				n.PeersUnreachable = true
			}
		}},
		{"machines of the page are reclaimed and lost on the way", 10, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(3, func(r storage.TransferRecord) {
				for i, m := range w.shardMachines(r.Shard) {
					switch i % 3 {
					case 0:
						w.PreemptMachine(m, 5*time.Second)
					case 1:
						w.TerminateMachine(m)
					}
				}
			}))
		}},
		{"machines of the page fall silent on the way", 5, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(3, func(r storage.TransferRecord) {
				for _, id := range w.shardMachines(r.Shard) {
					m := w.Machines[id]
					m.Partitioned = true
					w.After(20*time.Second, func() { m.Partitioned = false })
				}
			}))
		}},
		{"the giver loses its workers", 3, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(8, func(r storage.TransferRecord) {
				n := w.controllerOf(r.Source)
				n.AgentsUnreachable = true
				w.After(20*time.Second, func() { n.AgentsUnreachable = false })
			}))
		}},
		{"all running jobs are cancelled as a move is prepared", 10, func(w *World) {
			w.onTransferPhase(storage.TransferPrepared, each(5, func(storage.TransferRecord) { w.cancelRunningJobs(3) }))
		}},
		{"all running jobs are cancelled as a page has passed", 10, func(w *World) {
			w.onTransferPhase(storage.TransferCommitted, each(5, func(storage.TransferRecord) { w.cancelRunningJobs(3) }))
		}},
		{"records are packed and the limits tighten on the way", 10, func(w *World) {
			w.Config.AnnouncedLimits = &step.WriteLimits{WritesPerSecond: 28, TransactionOps: 6, ValueBytes: 2048}
			for _, n := range w.Controllers {
				n.Start()
			}
			w.After(40*time.Second, func() { w.Store.MaxValueBytes, w.Store.MaxOperations = 2048, 6 })
		}},
		{"a controller runs the version in production", 5, func(w *World) {
			w.Controllers[2].Kill()
			w.Controllers[2].RunsProductionVersion = true
			w.Controllers[2].Start()
		}},
		{"controllers of the version in production take turns", 5, func(w *World) {
			for i, n := range w.Controllers {
				w.After(time.Duration(10+25*i)*time.Second, func() { n.Kill(); n.RunsProductionVersion = true; n.Start() })
				w.After(time.Duration(28+25*i)*time.Second, func() { n.Kill(); n.RunsProductionVersion = false; n.Start() })
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed < max(seedCount(), 2); seed++ {
				w := newTransferWorld(t, seed)
				ids := submitMixedJobs(w, 40)
				w.requestRandomTransfers(1200*time.Millisecond, busy)
				c.failure(w)
				w.Advance(busy)
				w.endFaults()
				w.Advance(200 * time.Second)
				w.Rules.CheckFinal(w.Now)
				checkTransfers(t, w, seed, ids, c.passed)
			}
		})
	}
}

// endFaults ends all troubles.
func (w *World) endFaults() {
	w.Store.Unavailable = false
	w.LostWriteReplyRate, w.DelayedWriteRate, w.MessageLossRate, w.DuplicateHeartbeatRate = 0, 0, 0, 0
	for _, controller := range w.Controllers {
		controller.StoreUnreachable, controller.AgentsUnreachable, controller.PeersUnreachable = false, false, false
	}
	for _, m := range w.Machines {
		m.Partitioned = false
	}
	w.Store.OnRevision = w.History.Apply
	w.Rules.FaultsEndedAt = w.Now
}

// shardMachines lists the machines of a page, as they are on record.
func (w *World) shardMachines(shard storage.ShardID) []protocol.MachineID {
	return w.History.shards[shard].Machines
}

func checkTransfers(t *testing.T, w *World, seed uint64, ids []protocol.JobID, transferred int) {
	t.Helper()
	for _, id := range ids {
		if w.Jobs[id] != nil && !w.FinishedJobs[id] {
			t.Errorf("seed %d: %s has not come to its end", seed, id)
		}
	}
	if len(w.Rules.Violations) > 0 {
		t.Errorf("seed %d: broken %v", seed, w.Rules.Violations)
	}
	h := w.History
	if open := h.OpenTransfers(); len(open) > 0 {
		t.Errorf("seed %d: moves that hang: %v", seed, open)
	}
	if h.ShardsTransferred < transferred {
		t.Errorf("seed %d: %d pages have changed hands, %d are asked for; aborted %v", seed, h.ShardsTransferred, transferred, h.AbortedByReason)
	}
	t.Logf("seed %d: %d pages passed, aborted %v, %d revisions", seed, h.ShardsTransferred, h.AbortedByReason, h.Revisions)
}
