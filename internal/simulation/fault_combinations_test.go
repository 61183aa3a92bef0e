package simulation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// runningJobs lists jobs of which a task is on a machine, in order.
func (w *World) runningJobs() []protocol.JobID {
	placed := map[protocol.JobID]bool{}
	for _, m := range w.Machines {
		for t, execution := range m.tasks {
			if !m.Terminated && execution.state != protocol.TaskExited {
				placed[t.Job] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(placed))
}

// cancelRunningJobs lets users call off up to n jobs that run.
func (w *World) cancelRunningJobs(n int) {
	for _, id := range w.runningJobs() {
		if observed := w.Rules.job(id); n > 0 && observed.accepted && !observed.cancelRequested {
			n--
			w.After(time.Duration(w.Rand.IntN(200))*time.Millisecond, func() { w.Cancel(id) })
		}
	}
}

// randomMachines gives about the given part of the machines, in order.
func (w *World) randomMachines(fraction float64) (out []*Machine) {
	for _, id := range slices.Sorted(maps.Keys(w.Machines)) {
		if m := w.Machines[id]; !m.Terminated && w.Rand.Float64() < fraction {
			out = append(out, m)
		}
	}
	return out
}

// submitLongJobs sends jobs of few tasks that end far apart.
func (w *World) submitLongJobs(n int, team string, runSeconds float64) {
	for i := range n {
		job := newArray(protocol.JobID(fmt.Sprintf("j-8%03d", i)), "long", "standard", 2+i%2, 2, runSeconds)
		job.Team = team
		w.After(time.Duration(3000+i*500)*time.Millisecond, func() { w.Submit(job) })
	}
}

// Two troubles at once, meetings that the users have listed; TestMoreFaultCombinations has the
// others. Each row's number is its line on their page.
func TestFaultCombinations(t *testing.T) {
	outage := func(w *World, from, duration float64) {
		w.After(seconds(from), func() { w.Store.Unavailable = true })
		w.After(seconds(from+duration), func() { w.Store.Unavailable = false })
	}
	refuseByStore := func(w *World, from, duration float64) {
		w.After(seconds(from), func() {
			controller := w.busiestController()
			controller.RefusedByStore = true
			w.After(seconds(duration), func() { controller.RefusedByStore = false })
		})
	}
	for _, m := range []faultCombination{
		{number: 1, name: "jobs are called off as the leader is refused, and a second later all are", inject: func(w *World) {
			w.submitLongJobs(8, "core", 60)
			for _, at := range []float64{25, 68} {
				refuseByStore(w, at, 14)
				w.After(seconds(at+0.2), func() { w.cancelRunningJobs(5) })
				outage(w, at+1, 34)
			}
		}},
		{number: 3, name: "a cancellation, a question or a repeated submission meets the end of the last task", inject: func(w *World) {
			w.CancelAtEndRate = 0.5
			w.After(seconds(100), func() { w.CancelAtEndRate = 0 })
			w.OnJobEnd = func(id protocol.JobID) {
				for _, controller := range w.Controllers {
					w.SendUserRequestTo(controller, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
					w.SendUserRequestTo(controller, protocol.RequestSubmit, id, protocol.Encode(w.Jobs[id]), func(int, protocol.JobState) {})
				}
			}
		}},
		{number: 4, name: "workers reach no controller, while direct commands reach them", inject: func(w *World) {
			w.submitLongJobs(4, "core", 60)
			for i := range 4 {
				w.After(seconds(20+18*float64(i)), func() {
					for _, m := range w.randomMachines(0.6) {
						m.HeartbeatsLost = true
						w.After(seconds(2+8*float64(i)), func() { m.HeartbeatsLost = false })
					}
					w.cancelRunningJobs(2)
				})
			}
		}},
		{number: 17, name: "old reports arrive after newer ones, of earlier sessions and attempts too", inject: func(w *World) {
			w.DuplicateHeartbeatRate = 0.6
			for i := range 12 {
				w.After(seconds(16+6*float64(i)), func() {
					for _, m := range w.randomMachines(0.15) {
						m.Reboot()
					}
				})
			}
			w.Controllers[1].ScheduleRestart(seconds(50), seconds(0.3))
		}},
		{number: 10, name: "jobs bound to one zone, arrays too, lose machines", inject: func(w *World) {
			for i := range 8 {
				job := newArray(protocol.JobID(fmt.Sprintf("j-7%03d", i)), "bound", "standard", 6, 2, 20)
				job.SingleZone = true
				if i%2 == 0 {
					job.Kind = protocol.KindGang
				}
				if i%3 == 0 {
					job.Zone = "a"
				}
				w.After(seconds(4+5*float64(i)), func() { w.Submit(job) })
			}
			for i := range 14 {
				w.After(seconds(15+5*float64(i)), func() {
					for _, m := range w.randomMachines(0.1) {
						if i%3 == 0 {
							m.Partitioned = true
							w.After(seconds(20), func() { m.Partitioned = false })
						} else {
							w.TerminateMachine(m.ID)
						}
					}
				})
			}
			w.Controllers[0].ScheduleRestart(seconds(40), seconds(2))
		}},
		{number: 13, name: "leaders change ten times in two minutes, also inside an outage", inject: func(w *World) {
			w.submitLongJobs(6, "core", 40)
			for i := range 10 {
				w.After(seconds(14+9*float64(i)), func() {
					w.restartBusiestController(seconds([]float64{0.2, 4}[i%2]))
				})
			}
			outage(w, 40, 16)
			w.After(seconds(45), func() { w.cancelRunningJobs(3) })
		}},
		{number: 23, name: "commands or their answers are held up for seconds, and the machines go on", inject: func(w *World) {
			w.MessageLossRate = 0.08
			w.submitLongJobs(6, "core", 40)
			for i := range 16 {
				w.After(seconds(14+5*float64(i)), func() {
					for _, m := range w.randomMachines(0.2) {
						m.Hang(seconds(1 + float64(w.Rand.IntN(13))))
					}
					w.cancelRunningJobs(1)
				})
			}
			w.Controllers[2].ScheduleRestart(seconds(60), seconds(1))
		}},
		{number: 8, name: "transactions without an answer are carried out late, after newer ones", inject: func(w *World) {
			// Few machines on a page: what is planned anew does not touch the same records.
			w.Config.ValueBytes, w.DelayedWriteRate = 1700, 0.35
			for _, controller := range w.Controllers {
				controller.Start()
			}
			w.After(seconds(105), func() { w.DelayedWriteRate = 0 })
			for i := range 5 {
				w.Controllers[i%3].ScheduleRestart(seconds(20+15*float64(i)), seconds([]float64{0.3, 4}[i%2]))
				w.After(seconds(24+15*float64(i)), func() { w.cancelRunningJobs(2) })
			}
		}},
		{number: 25, name: "reports are held back until a new leader has acted, and arrive there", inject: func(w *World) {
			w.submitLongJobs(6, "core", 50)
			for i := range 6 {
				w.After(seconds(18+14*float64(i)), func() {
					controller := w.busiestController()
					for _, m := range w.randomMachines(1) {
						body := m.nextHeartbeat()
						for _, other := range w.otherControllers(controller) {
							w.After(seconds(2+float64(w.Rand.IntN(12))), func() {
								if other.Alive {
									other.DeliverHeartbeat(body, func(int, []byte) {})
								}
							})
						}
					}
					controller.Kill()
					w.After(seconds(5), controller.Start)
					w.cancelRunningJobs(1)
				})
			}
		}},
		{number: 18, name: "the state service is slow, or refuses the leader and then everybody, while users cancel and ask", inject: func(w *World) {
			w.submitLongJobs(8, "core", 60)
			w.MaxStoreDelay = seconds(1.2)
			w.After(seconds(40), func() { w.MaxStoreDelay = 0 })
			for _, at := range []float64{22, 30, 45.5, 60, 80} {
				w.After(seconds(at), func() { w.cancelRunningJobs(2) })
			}
			refuseByStore(w, 45, 12)
			outage(w, 48, 45)
		}},
		{number: 5, name: "controllers hand over and back, all end, and one returns", inject: func(w *World) {
			w.submitLongJobs(6, "core", 40)
			for i, gap := range []float64{0.3, 0.9, 6} {
				for k, controller := range w.Controllers {
					w.After(seconds(20+30*float64(i)), controller.Kill)
					back := gap
					if k != i {
						back = gap + 12
					}
					w.After(seconds(20+30*float64(i)+back), controller.Start)
				}
				w.After(seconds(20+30*float64(i)+gap+2), func() { w.cancelRunningJobs(2) })
			}
		}},
		{number: 14, name: "jobs of two or three tasks end far apart across a change of leader", inject: func(w *World) {
			w.submitLongJobs(16, "core", 30)
			for i := range 9 {
				w.After(seconds(12+10*float64(i)), func() { w.restartBusiestController(seconds([]float64{0.3, 8}[i%2])) })
			}
		}},
		{number: 11, name: "more work than room, urgent and not, over slow links", inject: func(w *World) {
			w.MaxNetworkDelay, w.CloudOutOfCapacity = seconds(0.15), true
			w.After(seconds(105), func() { w.MaxNetworkDelay, w.CloudOutOfCapacity = 0, false })
			for i := range 40 {
				job := newArray(protocol.JobID(fmt.Sprintf("j-6%03d", i)), "more", []protocol.Priority{"high", "low", "standard"}[i%3], 8, 2, 5)
				w.After(seconds(5+2*float64(i)), func() { w.Submit(job) })
			}
			for i := range 5 {
				w.After(seconds(20+16*float64(i)), func() { w.cancelRunningJobs(2) })
			}
		}},
		{number: 21, name: "a team is at its limit as the leader changes, some machines can't be asked, and jobs are called off", inject: func(w *World) {
			w.submitLongJobs(14, "tight", 25)
			for i := range 5 {
				w.After(seconds(16+16*float64(i)), func() {
					w.partitionMachines(0.35, seconds(4+4*float64(i)))
					controller := w.busiestController()
					controller.Kill()
					w.After(seconds([]float64{0.3, 7}[i%2]), controller.Start)
					w.After(seconds(1), func() { w.cancelRunningJobs(3) })
				})
			}
		}},
		{number: 26, name: "all controllers are away for longer than lease_s", inject: func(w *World) {
			w.submitLongJobs(6, "core", 40)
			for _, at := range []float64{20, 70} {
				w.After(seconds(at-0.2), func() { w.cancelRunningJobs(3) })
				for i, controller := range w.Controllers {
					controller.ScheduleRestart(seconds(at), seconds(18+float64(i)))
				}
			}
		}},
		{number: 24, name: "a leader ends while machines with long tasks can't be reached or don't hear the new one", inject: func(w *World) {
			w.submitLongJobs(10, "core", 60)
			for i := range 5 {
				w.After(seconds(16+17*float64(i)), func() {
					for k, m := range w.randomMachines(0.6) {
						if k%2 == 0 {
							m.Partitioned = true
							w.After(seconds(3+4*float64(i)), func() { m.Partitioned = false })
						} else {
							m.CommandsLost = true
							w.After(seconds(3+4*float64(i)), func() { m.CommandsLost = false })
						}
					}
					controller := w.busiestController()
					controller.Kill()
					w.After(seconds([]float64{6, 0.4}[i%2]), controller.Start)
					w.cancelRunningJobs(1)
				})
			}
		}},
		{number: 20, name: "a leader loses state service and other controllers, and jobs are called off through the new one", inject: func(w *World) {
			w.submitLongJobs(10, "core", 60)
			for i := range 2 {
				w.After(seconds(20+45*float64(i)), func() {
					controller := w.busiestController()
					controller.StoreUnreachable, controller.PeersUnreachable = true, true
					w.After(seconds(36), func() { controller.StoreUnreachable, controller.PeersUnreachable = false, false })
					for _, at := range []float64{0.5, 4, 9, 14} {
						w.After(seconds(at), func() { w.cancelRunningJobs(2) })
					}
				})
			}
		}},
		{number: 22, name: "a zone with workers and a controller is cut off for longer than lease_s", inject: func(w *World) {
			w.submitLongJobs(10, "core", 50)
			for i := range 2 {
				controller := w.Controllers[2-i]
				z := []protocol.Zone{"a", "b"}[i]
				w.After(seconds(20+45*float64(i)), func() {
					controller.StoreUnreachable, controller.PeersUnreachable, controller.UsersUnreachable = true, true, true
					w.PartitionedZones[z] = controller
					w.After(seconds(3), func() { w.cancelRunningJobs(3) })
					w.After(seconds(20), func() { w.cancelRunningJobs(2) })
				})
				w.After(seconds(58+45*float64(i)), func() {
					controller.StoreUnreachable, controller.PeersUnreachable, controller.UsersUnreachable = false, false, false
					delete(w.PartitionedZones, z)
				})
			}
			w.Controllers[0].ScheduleRestart(seconds(30), seconds(0.4))
		}},
	} {
		t.Run(fmt.Sprintf("%d %s", m.number, m.name), func(t *testing.T) { runFaultCombination(t, m) })
	}
}
