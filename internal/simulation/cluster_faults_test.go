package simulation

import (
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// TestClusterUnderFaults runs each scenario with several seeds. No rule may be broken, and once the
// faults are over every controller must answer queries about every job, and every job must end.
func TestClusterUnderFaults(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		lossRate float64
		inject   func(w *World)
	}{
		{"no fault", 0, noFault},
		{"lossy network", 0.04, noFault},
		{"a controller crashes and is back at once", 0, controllersCrashAndReturnAtOnce},
		{"all controllers crash", 0, allControllersCrash},
		{"controllers restart in turn in a lossy network", 0.03, controllersRestartInTurn},
		{"one controller alone does not reach the store", 0, oneControllerWithoutStore},
		{"one controller alone does not reach its agents", 0, oneControllerWithoutAgents},
		{"the store is down while a controller crashes", 0.01, storeDownAsControllerCrashes},
		{"machines die, others are partitioned", 0.01, machinesDieAndArePartitioned},
		{"a wave of preemptions, some without notice", 0.01, waveOfPreemptions},
		{"duplicate heartbeats arrive late while machines are terminated and controllers restart", 0.01, lateHeartbeatsAsMachinesTerminate},
		{"commands do not reach machines whose heartbeats arrive", 0.01, commandsDoNotReachMachines},
		{"controllers reach neither the store nor each other, in turn", 0, controllersAloneWithAgents},
		{"controllers are back within a fraction of a second, also while others take over their shards", 0.02, restartsWithinFractionsOfASecond},
		{"controllers pause in turn, within their lease and past it", 0.01, controllersPauseInTurn},
		{"machines hang, and resume within their lease or after it", 0.01, machinesHangAndResume},
		{"a zone is partitioned with the controller in it, and work goes on inside", 0, zonePartitionedWithController},
		{"machines, controllers, the store and the cloud fail at the same time", 0.03, manyFaultsAtOnce},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w := newMixedWorld(t, seed)
				w.MessageLossRate = scenario.lossRate
				ids := submitMixedJobs(w, 30)
				scenario.inject(w)
				w.Advance(seconds(110))
				w.MessageLossRate, w.DuplicateHeartbeatRate = 0, 0
				w.Rules.FaultsEndedAt = w.Now
				w.Advance(seconds(150))
				w.Rules.CheckFinal(w.Now)
				checkAllControllersAnswer(t, w, seed, ids)
				checkNoTransactionTooLarge(t, w, seed)
				checkRules(t, w, seed)
				checkJobsEnded(t, w, seed, ids)
			}
		})
	}
}

// checkAllControllersAnswer checks that every controller answers a query about every job with 200.
func checkAllControllersAnswer(t *testing.T, w *World, seed uint64, ids []protocol.JobID) {
	t.Helper()
	answeredCount := 0
	for _, id := range ids {
		for _, controller := range w.Controllers {
			w.SendUserRequestTo(controller, protocol.RequestQuery, id, nil, func(status int, _ protocol.JobState) {
				if status == http.StatusOK {
					answeredCount++
				}
			})
		}
	}
	w.Advance(seconds(5))
	if answeredCount != len(w.Controllers)*len(ids) {
		t.Errorf("seed %d: %d queries are answered with 200, want %d", seed, answeredCount, len(w.Controllers)*len(ids))
	}
}

// checkJobsEnded checks that all jobs have ended. It reports the first three that have not.
func checkJobsEnded(t *testing.T, w *World, seed uint64, ids []protocol.JobID) {
	t.Helper()
	unfinishedCount := 0
	for _, id := range ids {
		if w.FinishedJobs[id] {
			continue
		}
		if unfinishedCount++; unfinishedCount <= 3 {
			t.Errorf("seed %d: job %s has not ended", seed, id)
		}
	}
}

// noFault injects no fault.
func noFault(*World) {}

func controllersCrashAndReturnAtOnce(w *World) {
	for i := 1; i < 8; i++ {
		w.Controllers[i%3].ScheduleRestart(seconds(10*i), seconds(0.2))
	}
}

func allControllersCrash(w *World) {
	for _, controller := range w.Controllers {
		controller.ScheduleRestart(seconds(35), seconds(5))
	}
}

func controllersRestartInTurn(w *World) {
	for i, controller := range w.Controllers {
		controller.ScheduleRestart(seconds(25+12*i), seconds(5))
	}
}

func oneControllerWithoutStore(w *World) {
	w.setFlagsBetween(seconds(25), seconds(65), &w.Controllers[0].StoreUnreachable)
}

func oneControllerWithoutAgents(w *World) {
	w.setFlagsBetween(seconds(25), seconds(65), &w.Controllers[1].AgentsUnreachable)
}

func storeDownAsControllerCrashes(w *World) {
	w.scheduleStoreOutage(30, 20)
	w.Controllers[2].ScheduleRestart(seconds(33), seconds(5))
}

func machinesDieAndArePartitioned(w *World) {
	for i := range 6 {
		w.After(seconds(20+4*i), func() { w.TerminateMachine(machineID(1 + 2*i)) })
		w.partitionMachineBetween(seconds(20+5*i), seconds(26+11*i), machineID(2+2*i))
	}
}

func waveOfPreemptions(w *World) {
	w.After(seconds(40), func() {
		for i, id := range slices.Sorted(maps.Keys(w.Machines)) {
			if i%3 == 0 {
				w.PreemptMachine(id, seconds(9))
			} else if i%3 == 1 {
				w.TerminateMachine(id)
			}
		}
	})
}

func lateHeartbeatsAsMachinesTerminate(w *World) {
	w.DuplicateHeartbeatRate = 0.3
	for i := range 8 {
		w.After(seconds(20+7*i), func() { w.TerminateMachine(machineID(1 + i)) })
	}
	for i := range 6 {
		w.Controllers[i%3].ScheduleRestart(seconds(24+13*i), time.Duration(100+w.Rand.IntN(4000))*time.Millisecond)
	}
}

func commandsDoNotReachMachines(w *World) {
	for i := range 8 {
		m := w.Machines[machineID(1+i)]
		w.setFlagsBetween(seconds(15+5*i), seconds(18+11*i), &m.CommandsLost)
	}
	w.Controllers[1].ScheduleRestart(seconds(45), seconds(1))
}

func controllersAloneWithAgents(w *World) {
	w.DuplicateHeartbeatRate = 0.1
	for i, controller := range w.Controllers {
		w.setFlagsBetween(seconds(20+30*i), seconds(42+30*i), &controller.StoreUnreachable, &controller.PeersUnreachable)
	}
}

func restartsWithinFractionsOfASecond(w *World) {
	w.DuplicateHeartbeatRate = 0.1
	w.Controllers[0].ScheduleRestart(seconds(18), seconds(7)) // the other controllers crash while they take over its shards
	for i := range 12 {
		controller := w.Controllers[(i*2+1)%3]
		at := seconds(20) + time.Duration(i)*5300*time.Millisecond
		w.After(at, func() {
			if controller.Alive {
				controller.Kill()
				w.After(time.Duration(50+w.Rand.IntN(500))*time.Millisecond, controller.Start)
			}
		})
	}
	for _, controller := range w.Controllers {
		controller.ScheduleRestart(seconds(95), time.Duration(100+w.Rand.IntN(300))*time.Millisecond)
	}
	for i := range 5 {
		w.After(seconds(30+6*i), func() { w.Machines[machineID(2+i)].Reboot() })
	}
}

func controllersPauseInTurn(w *World) {
	w.DuplicateHeartbeatRate = 0.1
	for i, controller := range w.Controllers {
		w.After(seconds(20+30*i), func() { controller.Pause(seconds([]int{4, 9, 22}[i])) })
	}
}

func machinesHangAndResume(w *World) {
	for i := range 8 {
		m := w.Machines[machineID(1+i)]
		w.After(seconds(15+7*i), func() { m.Hang(seconds(4 + 5*i)) })
	}
	w.Controllers[1].ScheduleRestart(seconds(50), seconds(1))
}

func zonePartitionedWithController(w *World) {
	w.After(seconds(25), func() { w.partitionZone("b", w.Controllers[2]) })
	w.Controllers[0].ScheduleRestart(seconds(30), 300*time.Millisecond)
	w.After(seconds(65), func() { w.endZonePartition("b") })
}

func manyFaultsAtOnce(w *World) {
	for i := range 5 {
		w.Controllers[i%3].ScheduleRestart(seconds(15+13*i), time.Duration(w.Rand.IntN(6000))*time.Millisecond)
		w.setFlagsBetween(seconds(20+11*i), seconds(30+11*i), &w.Controllers[(i+1)%3].StoreUnreachable)
		w.After(seconds(22+6*i), func() { w.TerminateMachine(machineID(1 + 3*i)) })
	}
	w.scheduleStoreOutage(55, 8)
	w.setFlagsBetween(seconds(40), seconds(50), &w.CloudUnreachable)
}
