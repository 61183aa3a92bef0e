package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// The functions of this file schedule the faults of TestFaultCombinations and
// TestMoreFaultCombinations, in the order of the combinations' numbers.

func cancelAsStoreRefuses(w *World) {
	w.submitLongJobs(8, "core", 60)
	for _, at := range []float64{25, 68} {
		w.scheduleRefusalOfBusiestController(at, 14)
		w.After(seconds(at+0.2), func() { w.cancelRunningJobs(5) })
		w.scheduleStoreOutage(at+1, 34)
	}
}

func cancelDuringFailover(w *World) {
	w.submitLongJobs(10, "core", 50)
	for i := range 5 {
		w.After(seconds(18+17*i), func() { w.restartBusiestController(seconds([]float64{0.3, 6}[i%2])) })
		for _, after := range []float64{-0.3, 0, 0.4, 1, 1.7, 2.5, 3.5, 5} {
			w.After(seconds(18+17*float64(i)+after), func() { w.cancelRunningJobs(1) })
		}
	}
}

func requestsAtJobEnd(w *World) {
	w.CancelAtEndRate = 0.5
	w.After(seconds(100), func() { w.CancelAtEndRate = 0 })
	w.OnJobEnd = func(id protocol.JobID) {
		for _, controller := range w.Controllers {
			w.SendUserRequestTo(controller, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
			w.SendUserRequestTo(controller, protocol.RequestSubmit, id, protocol.Encode(w.Jobs[id]), func(int, protocol.JobState) {})
		}
	}
}

func heartbeatsLostCommandsArrive(w *World) {
	w.submitLongJobs(4, "core", 60)
	for i := range 4 {
		w.After(seconds(20+18*i), func() {
			for _, m := range w.randomMachines(0.6) {
				w.setFlagsFor(seconds(2+8*i), &m.HeartbeatsLost)
			}
			w.cancelRunningJobs(2)
		})
	}
}

func allFailOneReturnsFirst(w *World) {
	w.submitLongJobs(6, "core", 40)
	for i, downtime := range []float64{0.3, 0.9, 6} {
		for k, controller := range w.Controllers {
			w.After(seconds(20+30*i), controller.Kill)
			restartDelay := downtime
			if k != i {
				restartDelay = downtime + 12
			}
			w.After(seconds(20+30*float64(i)+restartDelay), controller.Start)
		}
		w.After(seconds(20+30*float64(i)+downtime+2), func() { w.cancelRunningJobs(2) })
	}
}

func quotaFullMachinesLostControllersRestart(w *World) {
	w.setMissingQuotas(30)
	w.submitLongJobs(10, "core", 30)
	for i := range 10 {
		job := newArray(protocol.JobID(fmt.Sprintf("j-2%03d", i)), "tight", "standard", 2+i%2, 2, 25)
		job.Team = "tight"
		w.After(seconds(4+0.5*float64(i)), func() { w.Submit(job) })
	}
	for i := range 5 {
		w.After(seconds(16+17*i), func() {
			for k, machine := range w.randomMachines(0.6) {
				if k%2 == 0 {
					machine.Hang(seconds(3 + 4*float64(i)))
				}
			}
			w.partitionMachines(0.3, seconds(3+4*i))
			w.cancelRunningJobs(4)
			w.After(seconds(0.5), func() { w.restartBusiestController(seconds([]float64{0.3, 7}[i%2])) })
		})
	}
}

func writeReplyLost(w *World) {
	w.LostWriteReplyRate = 0.35
	w.Every(500*time.Millisecond, func() {
		ids := slices.Sorted(maps.Keys(w.Jobs))
		if len(ids) == 0 || w.Now > faultsEnd {
			return
		}
		// A query that is in flight while its job is accepted may be answered with 404.
		if id := ids[w.Rand.IntN(len(ids))]; w.Rules.job(id).accepted {
			w.queryRepeatedly(id)
		}
	})
	for i := range 8 {
		w.After(seconds(20+10*i), func() { w.cancelRunningJobs(2) })
	}
}

func writesAppliedLate(w *World) {
	w.DelayedWriteRate = 0.35
	w.restartWithConfig(func(config *step.Config) {
		config.ValueBytes = 1700 // few machines in a shard, so that a transaction planned again changes other records
	})
	w.After(seconds(105), func() { w.DelayedWriteRate = 0 })
	for i := range 5 {
		w.Controllers[i%3].ScheduleRestart(seconds(20+15*i), seconds([]float64{0.3, 4}[i%2]))
		w.After(seconds(24+15*i), func() { w.cancelRunningJobs(2) })
	}
}

func oldHeartbeatsDuringFailover(w *World) {
	w.submitLongJobs(8, "core", 50)
	for i := range 6 {
		failureAt := 18 + 14*float64(i)
		w.After(seconds(failureAt-float64(1+2*i)), func() {
			for _, machine := range w.randomMachines(1) {
				heartbeat := machine.nextHeartbeat()
				w.After(seconds(1+2*i), func() { // at failureAt; the copies arrive while others take over
					for _, after := range []float64{0.35, 1.2, 1.8, 2.6, 4.2} {
						w.After(seconds(after), func() {
							for _, controller := range w.Controllers {
								controller.deliverHeartbeatCopy(heartbeat)
							}
						})
					}
				})
			}
		})
		w.After(seconds(failureAt), func() { w.restartBusiestController(seconds([]float64{0.3, 5}[i%2])) })
		w.After(seconds(failureAt-0.5), func() { w.cancelRunningJobs(1) })
	}
}

func zoneBoundJobsLoseMachines(w *World) {
	for i := range 8 {
		job := newArray(protocol.JobID(fmt.Sprintf("j-7%03d", i)), "bound", "standard", 6, 2, 20)
		job.SingleZone = true
		if i%2 == 0 {
			job.Kind = protocol.KindGang
		}
		if i%3 == 0 {
			job.Zone = "a"
		}
		w.After(seconds(4+5*i), func() { w.Submit(job) })
	}
	for i := range 14 {
		w.After(seconds(15+5*i), func() {
			for _, machine := range w.randomMachines(0.1) {
				if i%3 == 0 {
					w.setFlagsFor(seconds(20), &machine.Partitioned)
				} else {
					w.TerminateMachine(machine.ID)
				}
			}
		})
	}
	w.Controllers[0].ScheduleRestart(seconds(40), seconds(2))
}

func overloadOnSlowLinks(w *World) {
	w.MaxNetworkDelay, w.CloudOutOfCapacity = seconds(0.15), true
	w.After(seconds(105), func() { w.MaxNetworkDelay, w.CloudOutOfCapacity = 0, false })
	for i := range 40 {
		job := newArray(protocol.JobID(fmt.Sprintf("j-6%03d", i)), "more", []protocol.Priority{"high", "low", "standard"}[i%3], 8, 2, 5)
		w.After(seconds(5+2*i), func() { w.Submit(job) })
	}
	for i := range 5 {
		w.After(seconds(20+16*i), func() { w.cancelRunningJobs(2) })
	}
}

func newMachinesWhileWritesLag(w *World) {
	for i := range 6 {
		w.After(seconds(15+15*i), func() {
			w.MaxStoreDelay = seconds(1.2)
			w.After(seconds(8), func() { w.MaxStoreDelay = 0 })
			for k := range 6 {
				w.AddMachine("small", testZones[k%2], false, time.Duration(200+300*k)*time.Millisecond)
				job := newArray(protocol.JobID(fmt.Sprintf("j-5%02d%d", i, k)), "new", "high", 4, 2, 6)
				w.After(time.Duration(200*k)*time.Millisecond, func() { w.Submit(job) })
			}
			w.After(seconds(2.5), func() { w.restartBusiestController(seconds([]float64{0.3, 4}[i%2])) })
		})
	}
}

func repeatedRestartsAndOutage(w *World) {
	w.submitLongJobs(6, "core", 40)
	for i := range 10 {
		w.After(seconds(14+9*i), func() { w.restartBusiestController(seconds([]float64{0.2, 4}[i%2])) })
	}
	w.scheduleStoreOutage(40, 16)
	w.After(seconds(45), func() { w.cancelRunningJobs(3) })
}

func smallJobsEndAcrossFailover(w *World) {
	w.submitLongJobs(16, "core", 30)
	for i := range 9 {
		w.After(seconds(12+10*i), func() { w.restartBusiestController(seconds([]float64{0.3, 8}[i%2])) })
	}
}

func queriesEverywhereAtOnce(w *World) {
	w.OnJobEnd = w.queryRepeatedly
	for i := range 50 {
		job := newArray(protocol.JobID(fmt.Sprintf("j-4%03d", i)), "close", "high", 1+i%3, 1, 1)
		w.After(seconds(4+2*i), func() { w.submitAndQueryRepeatedly(job, i%2 == 0) })
	}
	for i := range 4 {
		w.After(seconds(25+20*i), func() { w.restartBusiestController(seconds([]float64{0.3, 5}[i%2])) })
	}
}

func streamOfOneTaskJobs(w *World) {
	for i := range 400 {
		job := newArray(protocol.JobID(fmt.Sprintf("j-3%03d", i)), "one", "standard", 1, 1, 1)
		w.After(seconds(4+0.25*float64(i)), func() { w.Submit(job) })
		if i%4 == 0 {
			w.After(seconds(4+0.25*float64(i))+time.Duration(w.Rand.IntN(3000))*time.Millisecond, func() { w.Cancel(job.ID) })
		}
	}
	w.After(seconds(50), func() { w.restartBusiestController(seconds(0.3)) })
}

func oldHeartbeatsOfEarlierEpochs(w *World) {
	w.DuplicateHeartbeatRate = 0.6
	for i := range 12 {
		w.After(seconds(16+6*i), func() {
			for _, machine := range w.randomMachines(0.15) {
				machine.Reboot()
			}
		})
	}
	w.Controllers[1].ScheduleRestart(seconds(50), seconds(0.3))
}

func slowThenRefusingStore(w *World) {
	w.submitLongJobs(8, "core", 60)
	w.MaxStoreDelay = seconds(1.2)
	w.After(seconds(40), func() { w.MaxStoreDelay = 0 })
	for _, at := range []float64{22, 30, 45.5, 60, 80} {
		w.After(seconds(at), func() { w.cancelRunningJobs(2) })
	}
	w.scheduleRefusalOfBusiestController(45, 12)
	w.scheduleStoreOutage(48, 45)
}

func commandsOfFormerOwner(w *World) {
	w.DelayedCommandRate = 0.7
	w.submitLongJobs(10, "core", 50)
	for i := range 6 {
		w.After(seconds(18+14*i), func() {
			w.cancelRunningJobs(3)
			controller := w.busiestController()
			if i%2 == 0 {
				w.After(seconds(0.6), func() { w.restartBusiestController(seconds(0.3)) })
				return
			}
			w.setFlagsFor(seconds(12), &controller.StoreUnreachable, &controller.PeersUnreachable)
		})
	}
}

func busiestControllerWithoutStoreAndPeers(w *World) {
	w.submitLongJobs(10, "core", 60)
	for i := range 2 {
		w.After(seconds(20+45*i), func() {
			controller := w.busiestController()
			w.setFlagsFor(seconds(36), &controller.StoreUnreachable, &controller.PeersUnreachable)
			for _, at := range []float64{0.5, 4, 9, 14} {
				w.After(seconds(at), func() { w.cancelRunningJobs(2) })
			}
		})
	}
}

func quotaFullAgentsUnreachable(w *World) {
	w.submitLongJobs(14, "tight", 25)
	for i := range 5 {
		w.After(seconds(16+16*i), func() {
			w.partitionMachines(0.35, seconds(4+4*i))
			controller := w.busiestController()
			controller.Kill()
			w.After(seconds([]float64{0.3, 7}[i%2]), controller.Start)
			w.After(seconds(1), func() { w.cancelRunningJobs(3) })
		})
	}
}

func zonePartitionedPastLease(w *World) {
	w.submitLongJobs(10, "core", 50)
	for i := range 2 {
		controller := w.Controllers[2-i]
		zone := testZones[i]
		w.After(seconds(20+45*i), func() {
			w.partitionZone(zone, controller)
			w.After(seconds(3), func() { w.cancelRunningJobs(3) })
			w.After(seconds(20), func() { w.cancelRunningJobs(2) })
		})
		w.After(seconds(58+45*i), func() { w.endZonePartition(zone) })
	}
	w.Controllers[0].ScheduleRestart(seconds(30), seconds(0.4))
}

func commandsDelayedMachinesResume(w *World) {
	w.MessageLossRate = 0.08
	w.submitLongJobs(6, "core", 40)
	for i := range 16 {
		w.After(seconds(14+5*i), func() {
			for _, machine := range w.randomMachines(0.2) {
				machine.Hang(seconds(1 + float64(w.Rand.IntN(13))))
			}
			w.cancelRunningJobs(1)
		})
	}
	w.Controllers[2].ScheduleRestart(seconds(60), seconds(1))
}

func ownerFailsLongTasksUnreachable(w *World) {
	w.submitLongJobs(10, "core", 60)
	for i := range 5 {
		w.After(seconds(16+17*i), func() {
			for k, machine := range w.randomMachines(0.6) {
				if k%2 == 0 {
					w.setFlagsFor(seconds(3+4*i), &machine.Partitioned)
				} else {
					w.setFlagsFor(seconds(3+4*i), &machine.CommandsLost)
				}
			}
			controller := w.busiestController()
			controller.Kill()
			w.After(seconds([]float64{6, 0.4}[i%2]), controller.Start)
			w.cancelRunningJobs(1)
		})
	}
}

func heartbeatsHeldPastFailover(w *World) {
	w.submitLongJobs(6, "core", 50)
	for i := range 6 {
		w.After(seconds(18+14*i), func() {
			controller := w.busiestController()
			for _, machine := range w.randomMachines(1) {
				heartbeat := machine.nextHeartbeat()
				for _, other := range w.otherControllers(controller) {
					w.After(seconds(2+float64(w.Rand.IntN(12))), func() { other.deliverHeartbeatCopy(heartbeat) })
				}
			}
			controller.Kill()
			w.After(seconds(5), controller.Start)
			w.cancelRunningJobs(1)
		})
	}
}

func allDownPastLease(w *World) {
	w.submitLongJobs(6, "core", 40)
	for _, at := range []float64{20, 70} {
		w.After(seconds(at-0.2), func() { w.cancelRunningJobs(3) })
		for i, controller := range w.Controllers {
			controller.ScheduleRestart(seconds(at), seconds(18+float64(i)))
		}
	}
}
