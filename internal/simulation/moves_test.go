package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// movingWorld is a deployment of many small pages in which moves are on record.
func movingWorld(t *testing.T, seed uint64) *World {
	w := NewWorld(seed, 3, testFlavors, testTeams())
	w.Rules.Limits["tight"] = 10
	w.Config.RecordTransfers = true
	w.Config.ValueBytes = 2500
	w.Config.MinRebalanceInterval = time.Second
	w.Config.IdleTimeoutFactor = 1000 // idle machines stay
	if os.Getenv("TRACE") != "" {
		w.Trace = func(l string) { t.Log(l) }
	}
	for _, n := range w.Nodes {
		n.Start()
	}
	for i := range 24 {
		w.Machine("small", protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
	}
	return w
}

// onPhase calls f each time a move comes to a phase.
func (w *World) onPhase(phase storage.TransferPhase, f func(storage.TransferRecord)) {
	before := w.State.Observe
	w.State.Observe = func(rev protocol.Revision, news []protocol.Event) {
		before(rev, news)
		for _, change := range news {
			var record storage.TransferRecord
			if strings.HasPrefix(change.PutKey, storage.TransferKey("")) && json.Unmarshal(change.Value, &record) == nil && record.Phase == phase {
				w.At(0, func() { f(record) })
			}
		}
	}
}

// node is the controller of a run.
func (w *World) node(run storage.Incarnation) *Node {
	for _, n := range w.Nodes {
		if n.Member == run.Controller() {
			return n
		}
	}
	return nil
}

// bounce ends the controller of a run and brings it back, unless it is away already.
func (w *World) bounce(run storage.Incarnation, away time.Duration) {
	n := w.node(run)
	if n == nil || !n.Alive {
		return
	}
	n.Kill()
	w.At(away, n.Start)
}

// moveAround asks for moves of pages at random, from one controller to the next, until a
// time.
func (w *World) moveAround(every, until time.Duration) {
	number := 0
	var again func()
	again = func() {
		if w.Now > until {
			return
		}
		number++
		from, asked := w.Rng.IntN(len(w.Nodes)), w.Rng.IntN(len(w.Nodes))
		to := (from + 1 + w.Rng.IntN(len(w.Nodes)-1)) % len(w.Nodes)
		name := fmt.Sprintf("drill-%d", number)
		w.Nodes[asked].Operator(func(id coordination.RequestID) coordination.Input {
			return coordination.TransferRequest{Req: id, Name: name, Source: w.Nodes[from].Member, Target: w.Nodes[to].Member}
		}, func(coordination.Effect) {})
		w.At(time.Duration(float64(every)*(0.5+w.Rng.Float64())), again)
	}
	w.At(5*time.Second, again)
}

// Pages move all the time while jobs of every kind run, and something fails just as a move
// comes to a phase. Every rule must hold, each machine must have one owner at every
// revision, and once it is over all jobs and all moves must come to their end.
func TestMovesUnderFailures(t *testing.T) {
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
			w.onPhase(storage.TransferProposed, each(4, func(r storage.TransferRecord) { w.bounce(r.Source, 3*time.Second) }))
		}},
		{"the giver ends with a move prepared, and is back at once", 5, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(4, func(r storage.TransferRecord) { w.bounce(r.Source, 200*time.Millisecond) }))
		}},
		{"the giver ends with a move prepared, and stays away", 3, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(5, func(r storage.TransferRecord) { w.bounce(r.Source, 20*time.Second) }))
		}},
		{"the taker ends with a move prepared", 3, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(4, func(r storage.TransferRecord) { w.bounce(r.Target, 4*time.Second) }))
		}},
		{"the taker ends as it has the page", 3, func(w *World) {
			w.onPhase(storage.TransferCommitted, each(4, func(r storage.TransferRecord) { w.bounce(r.Target, 12*time.Second) }))
		}},
		{"both ends are gone with a move prepared", 3, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(6, func(r storage.TransferRecord) {
				w.bounce(r.Source, 15*time.Second)
				w.bounce(r.Target, 18*time.Second)
			}))
		}},
		{"both ends are gone behind the transfer", 3, func(w *World) {
			w.onPhase(storage.TransferCommitted, each(6, func(r storage.TransferRecord) {
				w.bounce(r.Source, 15*time.Second)
				w.bounce(r.Target, 18*time.Second)
			}))
		}},
		{"the giver is frozen past its lease, and goes on", 3, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(5, func(r storage.TransferRecord) { w.node(r.Source).Freeze(12 * time.Second) }))
		}},
		{"the taker is frozen past its lease, and goes on", 3, func(w *World) {
			w.onPhase(storage.TransferCommitted, each(5, func(r storage.TransferRecord) { w.node(r.Target).Freeze(12 * time.Second) }))
		}},
		{"the state service is away between two phases", 3, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(6, func(storage.TransferRecord) {
				w.State.Down = true
				w.At(9*time.Second, func() { w.State.Down = false })
			}))
		}},
		{"the giver alone loses the state service", 3, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(6, func(r storage.TransferRecord) {
				n := w.node(r.Source)
				n.NoState = true
				w.At(15*time.Second, func() { n.NoState = false })
			}))
		}},
		{"answers of transactions are lost", 10, func(w *World) { w.Unheard = 0.1 }},
		{"transactions are carried out late", 10, func(w *World) { w.Late = 0.04 }},
		{"messages are lost, and copies of reports come late", 5, func(w *World) { w.Drop, w.Copies = 0.03, 0.2 }},
		{"the controllers hear nothing of each other", 10, func(w *World) {
			for _, n := range w.Nodes {
				n.NoPeers = true
			}
		}},
		{"machines of the page are reclaimed and lost on the way", 10, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(3, func(r storage.TransferRecord) {
				for i, m := range w.machinesOf(r.Shard) {
					switch i % 3 {
					case 0:
						w.Recall(m, 5*time.Second)
					case 1:
						w.Lose(m)
					}
				}
			}))
		}},
		{"machines of the page fall silent on the way", 5, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(3, func(r storage.TransferRecord) {
				for _, id := range w.machinesOf(r.Shard) {
					m := w.Workers[id]
					m.Cut = true
					w.At(20*time.Second, func() { m.Cut = false })
				}
			}))
		}},
		{"the giver loses its workers", 3, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(8, func(r storage.TransferRecord) {
				n := w.node(r.Source)
				n.NoWorker = true
				w.At(20*time.Second, func() { n.NoWorker = false })
			}))
		}},
		{"all running jobs are cancelled as a move is prepared", 10, func(w *World) {
			w.onPhase(storage.TransferPrepared, each(5, func(storage.TransferRecord) { w.cancelRunning(3) }))
		}},
		{"all running jobs are cancelled as a page has passed", 10, func(w *World) {
			w.onPhase(storage.TransferCommitted, each(5, func(storage.TransferRecord) { w.cancelRunning(3) }))
		}},
		{"records are packed and the limits tighten on the way", 10, func(w *World) {
			w.Config.AnnouncedLimits = &coordination.WriteLimits{WritesPerSecond: 28, TransactionOps: 6, ValueBytes: 2048}
			for _, n := range w.Nodes {
				n.Start()
			}
			w.At(40*time.Second, func() { w.State.Value, w.State.Ops = 2048, 6 })
		}},
		{"a controller runs the version in production", 5, func(w *World) {
			w.Nodes[2].Kill()
			w.Nodes[2].Old = true
			w.Nodes[2].Start()
		}},
		{"controllers of the version in production take turns", 5, func(w *World) {
			for i, n := range w.Nodes {
				w.At(time.Duration(10+25*i)*time.Second, func() { n.Kill(); n.Old = true; n.Start() })
				w.At(time.Duration(28+25*i)*time.Second, func() { n.Kill(); n.Old = false; n.Start() })
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed < max(seeds(), 2); seed++ {
				w := movingWorld(t, seed)
				ids := submitMix(w, 40)
				w.moveAround(1200*time.Millisecond, busy)
				c.failure(w)
				w.Run(busy)
				w.calm()
				w.Run(200 * time.Second)
				w.Rules.End(w.Now)
				checkMoved(t, w, seed, ids, c.passed)
			}
		})
	}
}

// calm ends all troubles.
func (w *World) calm() {
	w.State.Down = false
	w.Unheard, w.Late, w.Drop, w.Copies = 0, 0, 0, 0
	for _, n := range w.Nodes {
		n.NoState, n.NoWorker, n.NoPeers = false, false, false
	}
	for _, m := range w.Workers {
		m.Cut = false
	}
	w.State.Observe = w.History.Apply
	w.Rules.Calm = w.Now
}

// machinesOf lists the machines of a page, as they are on record.
func (w *World) machinesOf(page storage.ShardID) []protocol.MachineID {
	return w.History.pages[page].Machines
}

func checkMoved(t *testing.T, w *World, seed uint64, ids []protocol.JobID, passed int) {
	t.Helper()
	for _, id := range ids {
		if w.Jobs[id] != nil && !w.Done[id] {
			t.Errorf("seed %d: %s has not come to its end", seed, id)
		}
	}
	if len(w.Rules.Broken) > 0 {
		t.Errorf("seed %d: broken %v", seed, w.Rules.Broken)
	}
	h := w.History
	if open := h.Open(); len(open) > 0 {
		t.Errorf("seed %d: moves that hang: %v", seed, open)
	}
	if h.Passed < passed {
		t.Errorf("seed %d: %d pages have changed hands, %d are asked for; aborted %v", seed, h.Passed, passed, h.Aborted)
	}
	t.Logf("seed %d: %d pages passed, aborted %v, %d revisions", seed, h.Passed, h.Aborted, h.Revisions)
}
