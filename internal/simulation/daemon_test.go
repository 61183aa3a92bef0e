package simulation

import (
	"maps"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
)

// up counts the replicas of a daemon that run now.
func (w *World) up(id protocol.JobID) (n int) {
	for _, m := range w.Workers {
		for t, k := range m.tasks {
			if t.Job == id && k.stage == protocol.TaskRunning && !m.Gone && !m.Cut && !m.hung {
				n++
			}
		}
	}
	return n
}

// taken counts the tasks of a job that are on machines or on their way to run there.
func (w *World) taken(id protocol.JobID) (n int) {
	for _, m := range w.Workers {
		for t, k := range m.tasks {
			if t.Job == id && k.stage != protocol.TaskExited && !m.Gone {
				n++
			}
		}
	}
	return n
}

// hosts lists the machines on which a job has tasks, in order.
func (w *World) hosts(id protocol.JobID) (out []*Worker) {
	for _, name := range slices.Sorted(maps.Keys(w.Workers)) {
		m := w.Workers[name]
		for t, k := range m.tasks {
			if t.Job == id && k.stage != protocol.TaskExited && !m.Gone {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

// A daemon's replicas come back whatever becomes of their machines and of the
// controllers, and only a cancellation ends them.
func TestDaemons(t *testing.T) {
	for _, c := range []struct {
		name    string
		pieces  int
		change  func(d *protocol.Job)
		trouble func(w *World)
		back    float64 // seconds until all replicas are up again
	}{
		{"quiet", 4, nil, func(*World) {}, 0},
		{"its machine dies", 3, nil, func(w *World) { w.Lose(w.hosts("j-1")[0].ID) }, 30},
		{"its machine loses the network for good", 3, nil, func(w *World) { w.hosts("j-1")[0].Cut = true }, 60},
		{"its machine begins a new session", 3, nil, func(w *World) { w.hosts("j-1")[0].Reboot() }, 8},
		{"its machines begin new sessions again and again", 1, nil, func(w *World) {
			for range 8 {
				w.hosts("j-1")[0].Reboot()
				w.Run(seconds(7))
			}
		}, 0},
		{"all controllers end", 4, nil, func(w *World) {
			w.Lose(w.hosts("j-1")[0].ID)
			for _, n := range w.Nodes {
				w.restart(n, 0, 3*time.Second)
			}
		}, 50},
		{"the state service is down as its machine dies", 4, nil, func(w *World) {
			w.State.Down = true
			w.Lose(w.hosts("j-1")[0].ID)
			w.At(10*time.Second, func() { w.State.Down = false })
		}, 50},
		{"a leader is refused", 4, nil, func(w *World) {
			n := w.leader()
			n.Refused = true
			w.At(20*time.Second, func() { n.Refused = false })
			w.Lose(w.hosts("j-1")[0].ID)
		}, 50},
		{"scattered over zones", 5, func(d *protocol.Job) { d.SpreadZones = true }, func(w *World) { w.Lose(w.hosts("j-1")[0].ID) }, 30},
		{"its spot machine is taken with notice", 2, func(d *protocol.Job) { d.AllowSpot, d.Cores = true, 3 }, func(w *World) {
			for _, m := range w.hosts("j-1") {
				w.Recall(m.ID, 9*time.Second)
			}
		}, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds(); seed++ {
				w := mixedWorld(t, seed)
				d := daemon("j-1", c.pieces)
				if c.change != nil {
					c.change(d)
				}
				w.At(seconds(4), func() { w.Submit(d) })
				w.Run(seconds(20))
				if w.up("j-1") != c.pieces {
					t.Fatalf("seed %d: %d of %d replicas are up", seed, w.up("j-1"), c.pieces)
				}
				c.trouble(w)
				w.Run(seconds(c.back + 0.1))
				if w.up("j-1") != c.pieces {
					t.Errorf("seed %d: %d of %d replicas are up again", seed, w.up("j-1"), c.pieces)
				}
				for _, m := range w.Workers {
					m.Cut = false
				}
				w.Run(seconds(30))
				w.Rules.End(w.Now)
				if w.Done["j-1"] || len(w.Rules.Broken) > 0 {
					t.Errorf("seed %d: ended %v, broken %v", seed, w.Done["j-1"], w.Rules.Broken)
				}
				w.Abort("j-1")
				w.Run(seconds(8))
				if w.up("j-1") != 0 || w.Rules.job("j-1").told != protocol.JobCancelled {
					t.Errorf("seed %d: %d replicas are up after the cancellation, it is called %q", seed, w.up("j-1"), w.Rules.job("j-1").told)
				}
				w.Run(seconds(40))
				if w.up("j-1") != 0 || len(w.Rules.Broken) > 0 {
					t.Errorf("seed %d: %d replicas are up, broken %v", seed, w.up("j-1"), w.Rules.Broken)
				}
			}
		})
	}
}

// Replicas of high rank take the place of lower ranked tasks on full machines, and no
// more of them than they need; replicas of low rank do not.
func TestReplicasMakeRoom(t *testing.T) {
	for _, c := range []struct {
		rank protocol.Priority
		up   int
	}{{"critical", 3}, {"low", 0}} {
		w := mixedWorld(t, 4)
		w.NoHire = true
		w.At(seconds(3), func() { w.Submit(array("j-2", "l", "standard", 32, 1, 600)) })
		w.Run(seconds(15))
		before, starts := w.taken("j-2"), w.Starts
		d := daemon("j-1", 3)
		d.Priority = c.rank
		w.Submit(d)
		w.Run(seconds(10))
		after := w.taken("j-2")
		// One that is stopped without need would find its room again, and start anew.
		if before != 32 || w.up("j-1") != c.up || before-after != c.up || w.Starts-starts != c.up || len(w.Rules.Broken) > 0 {
			t.Errorf("%s: %d replicas are up, %d of %d other tasks left, %d starts, broken %v", c.rank, w.up("j-1"), after, before,
				w.Starts-starts, w.Rules.Broken)
		}
	}
}

// Replicas share a machine if there is no other; as soon as there are others, half of
// them at most stand on one.
func TestReplicasShareTheOnlyMachine(t *testing.T) {
	for _, machines := range []int{1, 4} {
		w := NewWorld(3, 3, testFlavors, testTeams())
		w.NoHire = true
		for range machines {
			w.Machine("small", "a", false, 0)
		}
		w.At(seconds(4), func() { w.Submit(daemon("j-1", 4)) })
		w.Run(seconds(15))
		if hosts := len(w.hosts("j-1")); w.up("j-1") != 4 || hosts < min(machines, 2) {
			t.Errorf("%d machines: %d replicas are up on %d", machines, w.up("j-1"), hosts)
		}
		w.Rules.Calm = w.Now
		w.Run(seconds(100))
		if len(w.Rules.Broken) > 0 {
			t.Errorf("%d machines: %v", machines, w.Rules.Broken)
		}
	}
}

// A replica that ends as soon as it starts is tried ever less often, and keeps nothing
// else from running.
func TestReplicaThatEndsAtOnce(t *testing.T) {
	for _, lane := range []string{laneEnds, laneFails} {
		w := mixedWorld(t, 6)
		d := daemon("j-1", 2)
		d.Class = lane
		w.At(seconds(3), func() { w.Submit(d) })
		good := daemon("j-2", 4)
		w.At(seconds(30), func() { w.Submit(good) })
		w.Run(seconds(40))
		early := w.Starts
		w.Run(seconds(120))
		if late := w.Starts - early; w.up("j-2") != 4 || late < 4 || late > 2*120/20 || w.Done["j-1"] {
			t.Errorf("%s: %d starts in two minutes, %d good replicas are up, done %v", lane, late, w.up("j-2"), w.Done["j-1"])
		}
		if len(w.Rules.Broken) > 0 {
			t.Errorf("%s: %v", lane, w.Rules.Broken)
		}
	}
}

// A daemon all of whose replicas together need more than its team's limit can never
// run; one that fits keeps the limit with others of its team.
func TestDaemonsOfLimitedTeam(t *testing.T) {
	w := mixedWorld(t, 2)
	w.Config.Quotas = map[string]coordination.Quota{"tight": {MaxCores: 10}}
	big := daemon("j-1", 11)
	big.Team = "tight"
	w.At(seconds(3), func() { w.Unfit(big.ID, protocol.Encode(big)) })
	for i, id := range []protocol.JobID{"j-2", "j-3"} {
		d := daemon(id, 6)
		d.Team = "tight"
		w.At(seconds(4+float64(i)), func() { w.Submit(d) })
	}
	w.Run(seconds(30))
	if n := w.up("j-2") + w.up("j-3"); n != 10 || len(w.Rules.Broken) > 0 || w.Rules.job("j-1").accepted {
		t.Errorf("%d replicas of 10 cores are up, broken %v", n, w.Rules.Broken)
	}
}
