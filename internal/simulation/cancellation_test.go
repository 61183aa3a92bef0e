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

// busiestController is the controller to which most machines with tasks report.
func (w *World) busiestController() *Controller {
	taskCounts := map[int]int{}
	best := 0
	for _, m := range w.Machines {
		if !m.Terminated && len(m.tasks) > 0 {
			if taskCounts[m.controllerIndex%len(w.Controllers)]++; taskCounts[m.controllerIndex%len(w.Controllers)] > taskCounts[best] {
				best = m.controllerIndex % len(w.Controllers)
			}
		}
	}
	return w.Controllers[best]
}

// otherControllers are all controllers but one.
func (w *World) otherControllers(controller *Controller) (result []*Controller) {
	for _, other := range w.Controllers {
		if other != controller {
			result = append(result, other)
		}
	}
	return result
}

// Jobs are called off while the controller that commands their machines does not hear
// of it from the state service, which is then out for all, for longer than cancel_s.
// What is called withdrawn is gone in time; questions and repeated submissions at every
// controller never go back, and are not all refused behind the troubles. Each case breaks
// a rule without the part of the mechanism that it is named after.
func TestCancellationDuringOutage(t *testing.T) {
	s := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	outage := func(w *World, from, to float64) {
		w.After(s(from), func() { w.Store.Unavailable = true })
		w.After(s(to), func() { w.Store.Unavailable = false })
	}
	refuseByStore := func(w *World, from, to float64) *Controller {
		n := w.busiestController()
		w.After(s(from), func() { n.RefusedByStore = true })
		w.After(s(to), func() { n.RefusedByStore = false })
		return n
	}
	cancel := func(w *World, at float64) {
		for i := 0; i < 6; i++ {
			id := protocol.JobID(fmt.Sprintf("j-%d", i))
			w.After(s(at)+time.Duration(i)*100*time.Millisecond, func() { w.Cancel(id) })
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
			refuseByStore(w, 0, 14)
			cancel(w, 0.2)
			outage(w, 4, 60)
		}, false},
		{"the same, connections between controllers cut", -1, func(w *World) {
			for _, n := range w.Controllers {
				n.PeersUnreachable = true
				w.After(s(60), func() { n.PeersUnreachable = false })
			}
			refuseByStore(w, 0, 14)
			cancel(w, 0.2)
			outage(w, 4, 60)
		}, false},
		{"the one that has acknowledged ends and is back at once", 1, func(w *World) {
			n := refuseByStore(w, 0, 14)
			cancel(w, 0.2)
			outage(w, 4, 60)
			w.After(s(5), n.Kill)
			w.After(s(5.3), n.Start)
		}, false},
		{"pages change hands between the steps", 0, func(w *World) {
			n := w.busiestController()
			for _, other := range w.Controllers {
				other.PeersUnreachable = true // nobody acknowledges
				w.After(s(60), func() { other.PeersUnreachable = false })
			}
			w.After(0, func() { n.StoreUnreachable = true })
			w.After(s(60), func() { n.StoreUnreachable = false })
			cancel(w, 0.2)
			outage(w, 12, 60)
		}, false},
		{"their machines hang", 1, func(w *World) {
			refuseByStore(w, 0, 14)
			cancel(w, 0.2)
			outage(w, 4, 60)
			w.After(s(1.2), func() {
				k := 0
				for _, m := range w.Machines {
					if len(m.tasks) > 0 && k < 8 {
						m.Hang(s(50))
						k++
					}
				}
			})
		}, false},
		{"their machines hang, and the controller ends that commands them", 1, func(w *World) {
			n := w.busiestController()
			cancel(w, 0.2)
			outage(w, 4, 60)
			w.After(s(0.1), func() {
				for _, m := range w.Machines {
					if len(m.tasks) > 0 && w.Controllers[m.controllerIndex%3] == n {
						m.Hang(s(50))
					}
				}
			})
			w.After(s(3), n.Kill)
			w.After(s(4), n.Start)
		}, false},
		{"their machines hang while they fetch the image", 0, func(w *World) {
			w.ImagePullTime = s(2)
			for _, m := range w.Machines {
				clear(m.cachedImages)
			}
			for i := 0; i < 6; i++ {
				job := newArray(protocol.JobID(fmt.Sprintf("j-%d", 10+i)), "l", "standard", 4, 1, 250)
				w.Submit(job)
				w.After(s(2), func() { w.Cancel(job.ID) })
			}
			w.After(s(2)-10*time.Millisecond, func() {
				for _, m := range w.Machines {
					m.Hang(s(4))
				}
			})
			cancel(w, 9)
		}, false},
		{"the one that has begun to withdraw ends", 0, func(w *World) {
			for _, n := range w.Controllers {
				n.PeersUnreachable = true
				w.After(s(20), func() { n.PeersUnreachable = false })
			}
			// Each is asked once, and nobody asks again.
			for i := 0; i < 6; i++ {
				id := protocol.JobID(fmt.Sprintf("j-%d", i))
				w.Rules.RecordCancelRequest(id)
				w.After(s(0.2), func() {
					w.SendUserRequestTo(w.Controllers[i%2], protocol.RequestCancel, id, nil, func(int, protocol.JobState) {})
				})
			}
			isCancelRecorded := func() bool {
				for _, i := range w.Store.List(storage.JobKey("")) {
					if strings.Contains(string(i.Value), `"w":true`) {
						return true
					}
				}
				return false
			}
			for k := range 200 { // at the moment at which the first intent is on record
				w.After(s(0.2)+time.Duration(k)*time.Millisecond, func() {
					for _, n := range w.Controllers[:2] {
						if n.Alive && isCancelRecorded() && n.generation == 2 {
							n.Kill()
							w.After(s(4), n.Start)
						}
					}
				})
			}
		}, true},
		{"more of them waits than runs", 0, func(w *World) {
			for i := 0; i < 6; i++ {
				job := newArray(protocol.JobID(fmt.Sprintf("j-%d", 10+i)), "l", "high", 30, 1, 6)
				w.Submit(job)
				w.After(s(2.5)+time.Duration(i)*500*time.Millisecond, func() { w.Cancel(job.ID) })
			}
			cancel(w, 9)
		}, false},
		{"a zone with its controller is cut off, and the cloud is away", -1, func(w *World) {
			n := w.busiestController()
			n.StoreUnreachable, n.PeersUnreachable, n.UsersUnreachable, w.CloudUnreachable = true, true, true, true
			w.PartitionedZones["b"] = n
			cancel(w, 0.2)
			w.After(s(62), func() {
				n.StoreUnreachable, n.PeersUnreachable, n.UsersUnreachable, w.CloudUnreachable = false, false, false, false
				delete(w.PartitionedZones, "b")
			})
		}, false},
		{"a zone with its controller is cut off", 0, func(w *World) {
			n := w.busiestController()
			n.StoreUnreachable, n.PeersUnreachable, n.UsersUnreachable = true, true, true
			w.PartitionedZones["b"] = n
			cancel(w, 0.2)
			outage(w, 12, 60)
			w.After(s(62), func() {
				n.StoreUnreachable, n.PeersUnreachable, n.UsersUnreachable = false, false, false
				delete(w.PartitionedZones, "b")
			})
		}, false},
		{"the leader alone with its workers", 0, func(w *World) {
			n := w.busiestController()
			n.StoreUnreachable, n.PeersUnreachable = true, true
			cancel(w, 0.2)
			outage(w, 5, 60)
			w.After(s(62), func() { n.StoreUnreachable, n.PeersUnreachable = false, false })
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w := NewWorld(seed, 3, testMachineTypes[:1], testTeams())
				w.CloudOutOfCapacity = true
				w.Config.IdleTimeoutFactor = 100
				for _, n := range w.Controllers {
					n.Start()
				}
				if os.Getenv("TRACE") != "" {
					w.Trace = func(l string) { t.Log(l) }
				}
				for i := 0; i < 14; i++ {
					w.AddMachine("small", protocol.Zone([]string{"a", "b"}[i%2]), false, 0)
				}
				ids := []protocol.JobID{}
				for i := 0; i < 7; i++ {
					job := newArray(protocol.JobID(fmt.Sprintf("j-%d", i)), "l", "standard", 4, 1, 250)
					if i == 6 {
						job.EstimatedRunSeconds = 60
					}
					ids = append(ids, job.ID)
					w.After(s(5)+time.Duration(i)*time.Second, func() { w.Submit(job) })
				}
				w.Advance(s(25))
				if w.Rules.TasksStarted != 28 {
					t.Fatalf("seed %d: %d of 28 tasks started", seed, w.Rules.TasksStarted)
				}
				c.trouble(w)
				// Everybody is asked about everything all the time.
				k := 0
				w.Every(300*time.Millisecond, func() {
					k++
					id, n := ids[k%7], w.Controllers[k/7%3]
					if k%2 == 0 {
						w.SendUserRequestTo(n, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
					} else {
						w.SendUserRequestTo(n, protocol.RequestSubmit, id, protocol.Encode(w.Jobs[id]), func(int, protocol.JobState) {})
					}
				})
				w.Advance(s(60))
				reported := 0
				for _, id := range ids {
					if w.Rules.job(id).reportedState == protocol.JobCancelled {
						reported++
					}
				}
				if c.told > 0 && reported < 6 || c.told < 0 && reported == 6 {
					t.Errorf("seed %d: %d of 6 jobs are called withdrawn in the trouble", seed, reported)
				}
				w.Advance(s(30))
				w.Rules.FaultsEndedAt = w.Now
				w.Advance(s(130))
				w.Rules.CheckFinal(w.Now)
				records := map[string]string{}
				for _, i := range w.Store.List(storage.JobKey("")) {
					records[i.Key] = string(i.Value)
				}
				for _, id := range ids[:6] {
					if r := records[storage.JobKey(id)]; !strings.Contains(r, `"s":"withdrawn"`) && (!c.once || strings.Contains(r, `"w":true`)) {
						t.Errorf("seed %d: %s is never called withdrawn", seed, id)
					}
				}
				if len(w.Rules.Violations) > 0 || !w.FinishedJobs["j-6"] {
					t.Errorf("seed %d: done %v, %d rules broken:\n%s", seed, w.FinishedJobs["j-6"], len(w.Rules.Violations), strings.Join(w.Rules.Violations[:min(5, len(w.Rules.Violations))], "\n"))
				}
			}
		})
	}
}
