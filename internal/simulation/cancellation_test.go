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

// cancellationReport is when users must be told that jobs are cancelled.
type cancellationReport int

const (
	reportedEitherWay cancellationReport = iota
	reportedDuringFault
	reportedAfterFault // or some of them, at least
)

// cancelledJobs is how many of the jobs of TestCancellationDuringOutage are cancelled; one more
// is not.
const cancelledJobs = 6

// Jobs are cancelled while the controller that commands their machines does not learn of it
// from the store, which then fails for everybody, for longer than cancel_s. The tasks of what
// is reported cancelled are gone in time; queries and repeated submissions at every controller
// never go back, and are not all refused after the faults. Each row breaks a rule without the
// part of the mechanism that it is named after.
func TestCancellationDuringOutage(t *testing.T) {
	for _, c := range []struct {
		name   string
		report cancellationReport
		inject func(w *World) // begins in the 25th second, over by the 90th
		// Nobody repeats the requests: a cancellation that was begun goes on, others need not.
		requestedOnce bool
	}{
		{"the leader alone is refused, then everybody", reportedDuringFault, leaderRefusedThenOutage, false},
		{"the same, connections between controllers cut", reportedAfterFault, leaderRefusedThenOutageWithoutPeers, false},
		{"the one that has acknowledged fails and is back at once", reportedDuringFault, acknowledgingControllerRestarts, false},
		{"shards change owners between the steps", reportedEitherWay, shardsChangeOwnersBetweenSteps, false},
		{"their machines hang", reportedDuringFault, machinesHangInOutage, false},
		{"their machines hang, and the controller fails that commands them", reportedDuringFault, machinesHangAndCommanderFails, false},
		{"their machines hang while they pull the image", reportedEitherWay, machinesHangPullingImage, false},
		{"the controller that has begun the cancellation ends", reportedEitherWay, beginningControllerFails, true},
		{"more of them is pending than runs", reportedEitherWay, mostTasksPending, false},
		{"a zone with its controller is partitioned, and the cloud is unreachable", reportedAfterFault, zoneAndCloudUnreachable, false},
		{"a zone with its controller is partitioned", reportedEitherWay, zonePartitionedInOutage, false},
		{"the leader alone with its agents", reportedEitherWay, leaderAloneWithAgents, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w, ids := newCancellationWorld(t, seed)
				c.inject(w)
				w.requestEverywhere(ids)
				w.Advance(seconds(60))
				checkCancellationReport(t, w, seed, c.report, ids)
				w.Advance(seconds(30))
				w.Rules.FaultsEndedAt = w.Now
				w.Advance(seconds(130))
				w.Rules.CheckFinal(w.Now)
				checkCancelled(t, w, seed, ids[:cancelledJobs], c.requestedOnce)
				if last := ids[cancelledJobs]; !w.FinishedJobs[last] {
					t.Errorf("seed %d: %s has not ended", seed, last)
				}
				checkRules(t, w, seed)
			}
		})
	}
}

// newCancellationWorld is a deployment on which all tasks of seven jobs run: six that would run
// for long, and one that ends.
func newCancellationWorld(t *testing.T, seed uint64) (*World, []protocol.JobID) {
	t.Helper()
	const tasksOfJob = 4
	w := newFixedWorld(seed, 3, 0)
	w.traceLogsTo(t)
	w.addSmallMachines(14, testZones...)
	var ids []protocol.JobID
	for i := range cancelledJobs + 1 {
		job := newLongJob(i)
		if i == cancelledJobs {
			job.EstimatedRunSeconds = 60
		}
		ids = append(ids, job.ID)
		w.After(seconds(5+i), func() { w.Submit(job) })
	}
	w.Advance(seconds(25))
	if tasks := tasksOfJob * len(ids); w.Rules.TasksStarted != tasks {
		t.Fatalf("seed %d: %d of %d tasks started", seed, w.Rules.TasksStarted, tasks)
	}
	return w, ids
}

func jobNumber(i int) protocol.JobID { return protocol.JobID(fmt.Sprintf("j-%d", i)) }

func newLongJob(i int) *protocol.Job { return newArray(jobNumber(i), "l", "standard", 4, 1, 250) }

// requestEverywhere lets users query all jobs and repeat their submissions, at one controller
// after the other, all the time.
func (w *World) requestEverywhere(ids []protocol.JobID) {
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

func checkCancellationReport(t *testing.T, w *World, seed uint64, want cancellationReport, ids []protocol.JobID) {
	t.Helper()
	reported := 0
	for _, id := range ids {
		if w.Rules.job(id).reportedState == protocol.JobCancelled {
			reported++
		}
	}
	if want == reportedDuringFault && reported < cancelledJobs || want == reportedAfterFault && reported == cancelledJobs {
		t.Errorf("seed %d: %d of %d jobs are reported cancelled during the fault", seed, reported, cancelledJobs)
	}
}

// checkCancelled checks that jobs are cancelled on record. If their cancellation was requested
// once, it is enough that none is still under way.
func checkCancelled(t *testing.T, w *World, seed uint64, ids []protocol.JobID, requestedOnce bool) {
	t.Helper()
	records := map[string]string{}
	for _, entry := range w.Store.List(storage.JobKey("")) {
		records[entry.Key] = string(entry.Value)
	}
	for _, id := range ids {
		record := records[storage.JobKey(id)]
		isCancelled := strings.Contains(record, `"s":"withdrawn"`)
		if !isCancelled && (!requestedOnce || isCancelRequestRecorded(record)) {
			t.Errorf("seed %d: %s is never cancelled", seed, id)
		}
	}
}

// isCancelRequestRecorded reports whether a job's record says that its cancellation has begun.
func isCancelRequestRecorded(record string) bool { return strings.Contains(record, `"w":true`) }

// cancelFirstJobs lets users cancel the jobs that are to be cancelled, one after the other.
func (w *World) cancelFirstJobs(at float64) {
	for i := range cancelledJobs {
		w.After(seconds(at)+time.Duration(i)*100*time.Millisecond, func() { w.Cancel(jobNumber(i)) })
	}
}

// refuseLeaderNow lets the store refuse the controller that is the busiest now, for a while.
func (w *World) refuseLeaderNow() *Controller {
	controller := w.busiestController()
	w.setFlagsBetween(0, seconds(14), &controller.RefusedByStore)
	return controller
}

func leaderRefusedThenOutage(w *World) {
	w.refuseLeaderNow()
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(4, 56)
}

func leaderRefusedThenOutageWithoutPeers(w *World) {
	for _, controller := range w.Controllers {
		w.setFlagsFor(seconds(60), &controller.PeersUnreachable)
	}
	leaderRefusedThenOutage(w)
}

func acknowledgingControllerRestarts(w *World) {
	leader := w.refuseLeaderNow()
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(4, 56)
	leader.ScheduleRestart(seconds(5), seconds(0.3))
}

// Nobody acknowledges the intent: controllers do not reach each other, and the leader not the
// store.
func shardsChangeOwnersBetweenSteps(w *World) {
	leader := w.busiestController()
	for _, controller := range w.Controllers {
		w.setFlagsFor(seconds(60), &controller.PeersUnreachable)
	}
	w.setFlagsBetween(0, seconds(60), &leader.StoreUnreachable)
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(12, 48)
}

func machinesHangInOutage(w *World) {
	const hanging = 8
	leaderRefusedThenOutage(w)
	w.After(seconds(1.2), func() {
		count := 0
		for _, m := range w.sortedMachines() {
			if len(m.tasks) > 0 && count < hanging {
				m.Hang(seconds(50))
				count++
			}
		}
	})
}

func machinesHangAndCommanderFails(w *World) {
	leader := w.busiestController()
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(4, 56)
	w.After(seconds(0.1), func() {
		for _, m := range w.sortedMachines() {
			if len(m.tasks) > 0 && w.Controllers[m.controllerIndex%len(w.Controllers)] == leader {
				m.Hang(seconds(50))
			}
		}
	})
	leader.ScheduleRestart(seconds(3), seconds(1))
}

func machinesHangPullingImage(w *World) {
	w.ImagePullTime = seconds(2)
	for _, m := range w.Machines {
		clear(m.cachedImages)
	}
	for i := range 6 {
		job := newLongJob(10 + i)
		w.Submit(job)
		w.After(seconds(2), func() { w.Cancel(job.ID) })
	}
	w.After(seconds(2)-10*time.Millisecond, func() {
		for _, m := range w.sortedMachines() {
			m.Hang(seconds(4))
		}
	})
	w.cancelFirstJobs(9)
}

// Each cancellation is requested once, at one of two controllers; both fail at the moment at
// which the first intent is on record.
func beginningControllerFails(w *World) {
	for _, controller := range w.Controllers {
		w.setFlagsFor(seconds(20), &controller.PeersUnreachable)
	}
	for i := range cancelledJobs {
		id := jobNumber(i)
		w.Rules.RecordCancelRequest(id)
		w.After(seconds(0.2), func() {
			w.SendUserRequestTo(w.Controllers[i%2], protocol.RequestCancel, id, nil, func(int, protocol.JobState) {})
		})
	}
	isAnyRecorded := func() bool {
		return slices.ContainsFunc(w.Store.List(storage.JobKey("")), func(entry protocol.Entry) bool {
			return isCancelRequestRecorded(string(entry.Value))
		})
	}
	generation := w.Controllers[0].generation
	for k := range 200 {
		w.After(seconds(0.2)+time.Duration(k)*time.Millisecond, func() {
			for _, controller := range w.Controllers[:2] {
				if controller.Alive && isAnyRecorded() && controller.generation == generation {
					controller.restartIfAlive(seconds(4))
				}
			}
		})
	}
}

func mostTasksPending(w *World) {
	for i := range 6 {
		job := newArray(jobNumber(10+i), "l", "high", 30, 1, 6)
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

func leaderAloneWithAgents(w *World) {
	leader := w.busiestController()
	w.setFlagsFor(seconds(62), &leader.StoreUnreachable, &leader.PeersUnreachable)
	w.cancelFirstJobs(0.2)
	w.scheduleStoreOutage(5, 55)
}
