package simulation

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// leader is the controller to which most machines with tasks report.
func (w *World) leader() *Node {
	n := map[int]int{}
	best := 0
	for _, m := range w.Workers {
		if !m.Gone && len(m.tasks) > 0 {
			if n[m.node%len(w.Nodes)]++; n[m.node%len(w.Nodes)] > n[best] {
				best = m.node % len(w.Nodes)
			}
		}
	}
	return w.Nodes[best]
}

// others are all controllers but one.
func (w *World) others(n *Node) (out []*Node) {
	for _, o := range w.Nodes {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}

// Jobs are called off while the controller that commands their machines does not hear
// of it from the state service, which is then out for all, for longer than cancel_s.
// What is called withdrawn is gone in time; questions and repeated submissions at every
// controller never go back, and are not all refused behind the troubles. Each case breaks
// a rule without the part of the mechanism that it is named after.
func TestWithdrawalInOutage(t *testing.T) {
	s := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	outage := func(w *World, from, to float64) {
		w.At(s(from), func() { w.State.Down = true })
		w.At(s(to), func() { w.State.Down = false })
	}
	refuse := func(w *World, from, to float64) *Node {
		n := w.leader()
		w.At(s(from), func() { n.Refused = true })
		w.At(s(to), func() { n.Refused = false })
		return n
	}
	abort := func(w *World, at float64) {
		for i := 0; i < 6; i++ {
			id := protocol.JobID(fmt.Sprintf("j-%d", i))
			w.At(s(at)+time.Duration(i)*100*time.Millisecond, func() { w.Abort(id) })
		}
	}
	for _, c := range []struct {
		name string
		// Withdrawn is told in the trouble (1), behind it (-1), or either way (0).
		told    int
		trouble func(w *World) // from the 25th second, over by the 90th
		once    bool           // nobody asks again: what was begun goes on, what was not does not
	}{
		{"the leader alone is refused, then everybody", 1, func(w *World) {
			refuse(w, 0, 14)
			abort(w, 0.2)
			outage(w, 4, 60)
		}, false},
		{"the same, connections between controllers cut", -1, func(w *World) {
			for _, n := range w.Nodes {
				n.NoPeers = true
				w.At(s(60), func() { n.NoPeers = false })
			}
			refuse(w, 0, 14)
			abort(w, 0.2)
			outage(w, 4, 60)
		}, false},
		{"the one that has acknowledged ends and is back at once", 1, func(w *World) {
			n := refuse(w, 0, 14)
			abort(w, 0.2)
			outage(w, 4, 60)
			w.At(s(5), n.Kill)
			w.At(s(5.3), n.Start)
		}, false},
		{"pages change hands between the steps", 0, func(w *World) {
			n := w.leader()
			for _, o := range w.Nodes {
				o.NoPeers = true // nobody acknowledges
				w.At(s(60), func() { o.NoPeers = false })
			}
			w.At(0, func() { n.NoState = true })
			w.At(s(60), func() { n.NoState = false })
			abort(w, 0.2)
			outage(w, 12, 60)
		}, false},
		{"their machines hang", 1, func(w *World) {
			refuse(w, 0, 14)
			abort(w, 0.2)
			outage(w, 4, 60)
			w.At(s(1.2), func() {
				k := 0
				for _, m := range w.Workers {
					if len(m.tasks) > 0 && k < 8 {
						m.Hang(s(50))
						k++
					}
				}
			})
		}, false},
		{"their machines hang, and the controller ends that commands them", 1, func(w *World) {
			n := w.leader()
			abort(w, 0.2)
			outage(w, 4, 60)
			w.At(s(0.1), func() {
				for _, m := range w.Workers {
					if len(m.tasks) > 0 && w.Nodes[m.node%3] == n {
						m.Hang(s(50))
					}
				}
			})
			w.At(s(3), n.Kill)
			w.At(s(4), n.Start)
		}, false},
		{"their machines hang while they fetch the image", 0, func(w *World) {
			w.Fetch = s(2)
			for _, m := range w.Workers {
				clear(m.images)
			}
			for i := 0; i < 6; i++ {
				d := array(protocol.JobID(fmt.Sprintf("j-%d", 10+i)), "l", "standard", 4, 1, 250)
				w.Submit(d)
				w.At(s(2), func() { w.Abort(d.ID) })
			}
			w.At(s(2)-10*time.Millisecond, func() {
				for _, m := range w.Workers {
					m.Hang(s(4))
				}
			})
			abort(w, 9)
		}, false},
		{"the one that has begun to withdraw ends", 0, func(w *World) {
			for _, n := range w.Nodes {
				n.NoPeers = true
				w.At(s(20), func() { n.NoPeers = false })
			}
			// Each is asked once, and nobody asks again.
			for i := 0; i < 6; i++ {
				id := protocol.JobID(fmt.Sprintf("j-%d", i))
				w.Rules.CancelWanted(id)
				w.At(s(0.2), func() { w.Ask(w.Nodes[i%2], protocol.RequestCancel, id, nil, func(int, protocol.JobState) {}) })
			}
			begun := func() bool {
				for _, i := range w.State.Items(storage.JobKey("")) {
					if strings.Contains(string(i.Value), `"w":true`) {
						return true
					}
				}
				return false
			}
			for k := range 200 { // at the moment at which the first intent is on record
				w.At(s(0.2)+time.Duration(k)*time.Millisecond, func() {
					for _, n := range w.Nodes[:2] {
						if n.Alive && begun() && n.life == 2 {
							n.Kill()
							w.At(s(4), n.Start)
						}
					}
				})
			}
		}, true},
		{"more of them waits than runs", 0, func(w *World) {
			for i := 0; i < 6; i++ {
				d := array(protocol.JobID(fmt.Sprintf("j-%d", 10+i)), "l", "high", 30, 1, 6)
				w.Submit(d)
				w.At(s(2.5)+time.Duration(i)*500*time.Millisecond, func() { w.Abort(d.ID) })
			}
			abort(w, 9)
		}, false},
		{"a zone with its controller is cut off, and the cloud is away", -1, func(w *World) {
			n := w.leader()
			n.NoState, n.NoPeers, n.NoUsers, w.NoCloud = true, true, true, true
			w.Zone["b"] = n
			abort(w, 0.2)
			w.At(s(62), func() {
				n.NoState, n.NoPeers, n.NoUsers, w.NoCloud = false, false, false, false
				delete(w.Zone, "b")
			})
		}, false},
		{"a zone with its controller is cut off", 0, func(w *World) {
			n := w.leader()
			n.NoState, n.NoPeers, n.NoUsers = true, true, true
			w.Zone["b"] = n
			abort(w, 0.2)
			outage(w, 12, 60)
			w.At(s(62), func() {
				n.NoState, n.NoPeers, n.NoUsers = false, false, false
				delete(w.Zone, "b")
			})
		}, false},
		{"the leader alone with its workers", 0, func(w *World) {
			n := w.leader()
			n.NoState, n.NoPeers = true, true
			abort(w, 0.2)
			outage(w, 5, 60)
			w.At(s(62), func() { n.NoState, n.NoPeers = false, false })
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds(); seed++ {
				w := NewWorld(seed, 3, testFlavors[:1], testTeams())
				w.NoHire = true
				w.Config.IdleTimeoutFactor = 100
				for _, n := range w.Nodes {
					n.Start()
				}
				if os.Getenv("TRACE") != "" {
					w.Trace = func(l string) { t.Log(l) }
				}
				for i := 0; i < 14; i++ {
					w.Machine("small", protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
				}
				ids := []protocol.JobID{}
				for i := 0; i < 7; i++ {
					d := array(protocol.JobID(fmt.Sprintf("j-%d", i)), "l", "standard", 4, 1, 250)
					if i == 6 {
						d.EstimatedRunSeconds = 60
					}
					ids = append(ids, d.ID)
					w.At(s(5)+time.Duration(i)*time.Second, func() { w.Submit(d) })
				}
				w.Run(s(25))
				if w.Rules.Started != 28 {
					t.Fatalf("seed %d: %d of 28 tasks started", seed, w.Rules.Started)
				}
				c.trouble(w)
				// Everybody is asked about everything all the time.
				k := 0
				w.Every(300*time.Millisecond, func() {
					k++
					id, n := ids[k%7], w.Nodes[k/7%3]
					if k%2 == 0 {
						w.Ask(n, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
					} else {
						w.Ask(n, protocol.RequestSubmit, id, protocol.Encode(w.Jobs[id]), func(int, protocol.JobState) {})
					}
				})
				w.Run(s(60))
				told := 0
				for _, id := range ids {
					if w.Rules.job(id).told == protocol.JobCancelled {
						told++
					}
				}
				if c.told > 0 && told < 6 || c.told < 0 && told == 6 {
					t.Errorf("seed %d: %d of 6 jobs are called withdrawn in the trouble", seed, told)
				}
				w.Run(s(30))
				w.Rules.Calm = w.Now
				w.Run(s(130))
				w.Rules.End(w.Now)
				records := map[string]string{}
				for _, i := range w.State.Items(storage.JobKey("")) {
					records[i.Key] = string(i.Value)
				}
				for _, id := range ids[:6] {
					if r := records[storage.JobKey(id)]; !strings.Contains(r, `"s":"withdrawn"`) && (!c.once || strings.Contains(r, `"w":true`)) {
						t.Errorf("seed %d: %s is never called withdrawn", seed, id)
					}
				}
				if len(w.Rules.Broken) > 0 || !w.Done["j-6"] {
					t.Errorf("seed %d: done %v, %d rules broken:\n%s", seed, w.Done["j-6"], len(w.Rules.Broken), strings.Join(w.Rules.Broken[:min(5, len(w.Rules.Broken))], "\n"))
				}
			}
		})
	}
}
