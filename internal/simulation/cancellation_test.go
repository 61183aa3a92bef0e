package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// cancellationReportTime is when the jobs of a scenario must be reported cancelled to users.
type cancellationReportTime int

const (
	reportedAtAnyTime   cancellationReportTime = iota // during the fault or after it
	reportedDuringFault                               // all jobs during the fault
	reportedAfterFault                                // at least one job after the fault
)

// cancelledJobCount is the number of jobs that TestCancellationDuringOutage cancels. One more job is
// not cancelled.
const cancelledJobCount = 6

// TestCancellationDuringOutage cancels jobs while the controller that commands their machines does
// not learn of the cancellations from the store. The store then fails for all controllers, for
// longer than cancel_s. The tasks of a job that is reported cancelled must be gone in time. Replies
// to queries and repeated submissions, at every controller, must never go back to an earlier state,
// and not all of these requests may be refused after the faults. Each scenario breaks a rule
// without the part of the mechanism that the scenario is named after.
func TestCancellationDuringOutage(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		report cancellationReportTime
		inject func(w *World) // injects faults from the 25th second on; they are over by the 90th
		// Users do not repeat their cancellation requests. A cancellation that has begun goes on, and
		// others need not begin.
		requestedOnce bool
	}{
		{"the store refuses the busiest controller, then all controllers", reportedDuringFault, refusalThenOutage, false},
		{"the store refuses the busiest controller, then all controllers, which do not reach each other", reportedAfterFault, refusalThenOutageWithoutPeers, false},
		{"the controller that has acknowledged the cancellations fails and is back at once", reportedDuringFault, acknowledgingControllerRestarts, false},
		{"shards change owners between the steps of the cancellations", reportedAtAnyTime, shardsChangeOwnersBetweenSteps, false},
		{"the jobs' machines hang", reportedDuringFault, machinesHangInOutage, false},
		{"the jobs' machines hang, and the controller that commands them fails", reportedDuringFault, machinesHangAndOwnerFails, false},
		{"the jobs' machines hang while they pull the image", reportedAtAnyTime, machinesHangPullingImage, false},
		{"the controllers that have begun the cancellations fail", reportedAtAnyTime, cancellingControllersFail, true},
		{"more of the tasks are pending than run", reportedAtAnyTime, mostTasksPending, false},
		{"a zone with its controller is partitioned, and the cloud is unreachable", reportedAfterFault, zoneAndCloudUnreachable, false},
		{"a zone with its controller is partitioned", reportedAtAnyTime, zonePartitionedInOutage, false},
		{"the busiest controller reaches neither the store nor the other controllers", reportedAtAnyTime, busiestControllerAloneWithAgents, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w, ids := newCancellationWorld(t, seed)
				scenario.inject(w)
				w.requestAtAllControllers(ids)
				w.Advance(seconds(60))
				checkCancellationReport(t, w, seed, scenario.report, ids)
				w.Advance(seconds(30))
				w.Rules.FaultsEndedAt = w.Now
				w.Advance(seconds(130))
				w.Rules.CheckFinal(w.Now)
				checkCancellationsRecorded(t, w, seed, ids[:cancelledJobCount], scenario.requestedOnce)
				if last := ids[cancelledJobCount]; !w.FinishedJobs[last] {
					t.Errorf("seed %d: job %s, which nobody cancels, has not ended", seed, last)
				}
				checkRules(t, w, seed)
			}
		})
	}
}

// newCancellationWorld returns a deployment in which all tasks of seven jobs run, and the jobs' IDs.
// The first six jobs would run for long, and the last one ends by itself.
func newCancellationWorld(t *testing.T, seed uint64) (*World, []protocol.JobID) {
	t.Helper()
	const tasksPerJob = 4
	w := newFixedWorld(seed, 3, 0)
	w.traceLogsTo(t)
	w.addSmallMachines(14, testZones...)
	var ids []protocol.JobID
	for i := range cancelledJobCount + 1 {
		job := newLongJob(i)
		if i == cancelledJobCount {
			job.EstimatedRunSeconds = 60
		}
		ids = append(ids, job.ID)
		w.After(seconds(5+i), func() { w.Submit(job) })
	}
	w.Advance(seconds(25))
	if taskCount := tasksPerJob * len(ids); w.Rules.TasksStarted != taskCount {
		t.Fatalf("seed %d: %d tasks started, want %d", seed, w.Rules.TasksStarted, taskCount)
	}
	return w, ids
}

// jobID returns the ID of the job with number i.
func jobID(i int) protocol.JobID { return protocol.JobID(fmt.Sprintf("j-%d", i)) }

// newLongJob returns an array job of four tasks with an estimated run time of 250 s.
func newLongJob(i int) *protocol.Job { return newArray(jobID(i), "l", "standard", 4, 1, 250) }

// requestAtAllControllers lets users query all jobs and repeat their submissions, at one controller
// after the other, until the end of the test.
func (w *World) requestAtAllControllers(ids []protocol.JobID) {
	count := 0
	w.Every(300*time.Millisecond, func() {
		count++
		id, controller := ids[count%len(ids)], w.Controllers[count/len(ids)%len(w.Controllers)]
		if count%2 == 0 {
			w.SendUserRequestTo(controller, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
		} else {
			w.SendUserRequestTo(controller, protocol.RequestSubmit, id, protocol.Encode(w.Jobs[id]), func(int, protocol.JobState) {})
		}
	})
}

// checkCancellationReport checks, when the faults end, how many jobs have been reported cancelled.
func checkCancellationReport(t *testing.T, w *World, seed uint64, want cancellationReportTime, ids []protocol.JobID) {
	t.Helper()
	reportedCount := 0
	for _, id := range ids {
		if w.Rules.job(id).reportedState == protocol.JobCancelled {
			reportedCount++
		}
	}
	if want == reportedDuringFault && reportedCount < cancelledJobCount || want == reportedAfterFault && reportedCount == cancelledJobCount {
		t.Errorf("seed %d: %d of %d jobs are reported cancelled during the fault, want all for reportedDuringFault and fewer for reportedAfterFault", seed, reportedCount, cancelledJobCount)
	}
}

// checkCancellationsRecorded checks that jobs are recorded as cancelled in the store. If their
// cancellations were requested once, it is enough that none is still under way.
func checkCancellationsRecorded(t *testing.T, w *World, seed uint64, ids []protocol.JobID, requestedOnce bool) {
	t.Helper()
	records := map[string]string{}
	for _, entry := range w.Store.List(storage.JobKey("")) {
		records[entry.Key] = string(entry.Value)
	}
	for _, id := range ids {
		record := records[storage.JobKey(id)]
		isCancelled := strings.Contains(record, `"s":"withdrawn"`)
		if !isCancelled && (!requestedOnce || isCancelRequestRecorded(record)) {
			t.Errorf("seed %d: job %s is not recorded as cancelled", seed, id)
		}
	}
}

// isCancelRequestRecorded reports whether a job's record says that its cancellation has begun.
func isCancelRequestRecorded(record string) bool { return strings.Contains(record, `"w":true`) }

// cancelFirstJobs lets users cancel the first cancelledJobCount jobs, one every 100 ms, beginning
// after the given number of seconds.
func (w *World) cancelFirstJobs(at float64) {
	for i := range cancelledJobCount {
		w.After(seconds(at)+time.Duration(i)*100*time.Millisecond, func() { w.Cancel(jobID(i)) })
	}
}

// refuseBusiestControllerNow lets the store refuse the controller that is the busiest now, for 14 s.
// It returns that controller.
func (w *World) refuseBusiestControllerNow() *Controller {
	controller := w.busiestController()
	w.setFlagsBetween(0, seconds(14), &controller.RefusedByStore)
	return controller
}

func refusalThenOutage(w *World) {
	w.refuseBusiestControllerNow()
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(4, 56)
}

func refusalThenOutageWithoutPeers(w *World) {
	for _, controller := range w.Controllers {
		w.setFlagsFor(seconds(60), &controller.PeersUnreachable)
	}
	refusalThenOutage(w)
}

func acknowledgingControllerRestarts(w *World) {
	refused := w.refuseBusiestControllerNow()
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(4, 56)
	refused.ScheduleRestart(seconds(5), seconds(0.3))
}

// shardsChangeOwnersBetweenSteps cancels jobs while no controller acknowledges the cancellation
// requests: controllers do not reach each other, and the busiest one does not reach the store.
func shardsChangeOwnersBetweenSteps(w *World) {
	busiest := w.busiestController()
	for _, controller := range w.Controllers {
		w.setFlagsFor(seconds(60), &controller.PeersUnreachable)
	}
	w.setFlagsBetween(0, seconds(60), &busiest.StoreUnreachable)
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(12, 48)
}

func machinesHangInOutage(w *World) {
	const maxHungMachines = 8
	refusalThenOutage(w)
	w.After(seconds(1.2), func() {
		hungCount := 0
		for _, machine := range w.sortedMachines() {
			if len(machine.tasks) > 0 && hungCount < maxHungMachines {
				machine.Hang(seconds(50))
				hungCount++
			}
		}
	})
}

func machinesHangAndOwnerFails(w *World) {
	owner := w.busiestController()
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(4, 56)
	w.After(seconds(0.1), func() {
		for _, machine := range w.sortedMachines() {
			if len(machine.tasks) > 0 && w.Controllers[machine.controllerIndex%len(w.Controllers)] == owner {
				machine.Hang(seconds(50))
			}
		}
	})
	owner.ScheduleRestart(seconds(3), seconds(1))
}

func machinesHangPullingImage(w *World) {
	w.ImagePullTime = seconds(2)
	for _, machine := range w.Machines {
		clear(machine.cachedImages)
	}
	for i := range 6 {
		job := newLongJob(10 + i)
		w.Submit(job)
		w.After(seconds(2), func() { w.Cancel(job.ID) })
	}
	w.After(seconds(2)-10*time.Millisecond, func() {
		for _, machine := range w.sortedMachines() {
			machine.Hang(seconds(4))
		}
	})
	w.cancelFirstJobs(9)
}

// cancellingControllersFail requests each cancellation once, at one of two controllers. Both
// controllers fail as soon as the first cancellation request is recorded in the store.
func cancellingControllersFail(w *World) {
	for _, controller := range w.Controllers {
		w.setFlagsFor(seconds(20), &controller.PeersUnreachable)
	}
	for i := range cancelledJobCount {
		id := jobID(i)
		w.Rules.RecordCancelRequest(id)
		w.After(seconds(0.2), func() {
			w.SendUserRequestTo(w.Controllers[i%2], protocol.RequestCancel, id, nil, func(int, protocol.JobState) {})
		})
	}
	isAnyCancelRequestRecorded := func() bool {
		return slices.ContainsFunc(w.Store.List(storage.JobKey("")), func(entry protocol.Entry) bool {
			return isCancelRequestRecorded(string(entry.Value))
		})
	}
	initialGeneration := w.Controllers[0].generation
	for millisecond := range 200 {
		w.After(seconds(0.2)+time.Duration(millisecond)*time.Millisecond, func() {
			for _, controller := range w.Controllers[:2] {
				if controller.Alive && isAnyCancelRequestRecorded() && controller.generation == initialGeneration {
					controller.restartIfAlive(seconds(4))
				}
			}
		})
	}
}

func mostTasksPending(w *World) {
	for i := range 6 {
		job := newArray(jobID(10+i), "l", "high", 30, 1, 6)
		w.Submit(job)
		w.After(seconds(2.5)+time.Duration(i)*500*time.Millisecond, func() { w.Cancel(job.ID) })
	}
	w.cancelFirstJobs(9)
}

func zoneAndCloudUnreachable(w *World) {
	w.partitionZone("b", w.busiestController())
	w.CloudUnreachable = true
	w.cancelFirstJobs(0.2)
	w.After(seconds(62), func() {
		w.endZonePartition("b")
		w.CloudUnreachable = false
	})
}

func zonePartitionedInOutage(w *World) {
	w.partitionZone("b", w.busiestController())
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(12, 48)
	w.After(seconds(62), func() { w.endZonePartition("b") })
}

func busiestControllerAloneWithAgents(w *World) {
	busiest := w.busiestController()
	w.setFlagsFor(seconds(62), &busiest.StoreUnreachable, &busiest.PeersUnreachable)
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(5, 55)
}
