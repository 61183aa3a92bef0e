package simulation

import (
	"fmt"
	"net/http"
	"testing"

	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Jobs in these tests have descriptions of some 4.5 KB that hardly compress. The store accepts them as
// one value before it lowers its limits, and does not afterwards.

// lengthenDescription lets a job name many machine types by a digest, besides those of the deployment.
func (w *World) lengthenDescription(job *protocol.Job) {
	const extraTypes, digestBytes = 46, 32
	for _, machineType := range w.MachineTypes {
		job.MachineTypes = append(job.MachineTypes, machineType.Name)
	}
	for i := range extraTypes {
		name := fmt.Sprintf("large-%02d-sha256-", i)
		for range digestBytes {
			name += fmt.Sprintf("%02x", w.Rand.IntN(256))
		}
		job.MachineTypes = append(job.MachineTypes, protocol.MachineTypeName(name))
	}
}

// longJobs are the jobs with long descriptions of a day. All but the services have to end.
type longJobs struct {
	finite, services []*protocol.Job
}

// submitLongDescriptions submits arrays, gangs and services with long descriptions before the limits are
// lowered. Some run by then, some have begun and some wait for machines.
func submitLongDescriptions(w *World) (jobs longJobs) {
	for i := range 10 {
		job := newArray(protocol.JobID(fmt.Sprintf("j-61%04d", i)), "long array", "standard", 3+5*i, 1, 8+float64(i))
		if i%2 == 1 {
			job = newGang(protocol.JobID(fmt.Sprintf("j-62%04d", i)), "long gang", "high", 2+i%4, 2, 20)
			job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = 5, 1
		}
		if i%3 == 0 {
			job.Team = "tight"
		}
		jobs.finite = append(jobs.finite, job)
		w.After(seconds(2+1.2*float64(i)), func() { w.submitLong(job) })
	}
	for i := range 3 {
		job := newService(protocol.JobID(fmt.Sprintf("j-63%04d", i)), 2+i)
		jobs.services = append(jobs.services, job)
		w.After(seconds(4+4*float64(i)), func() { w.submitLong(job) })
	}
	return jobs
}

func (w *World) submitLong(job *protocol.Job) {
	w.lengthenDescription(job)
	w.Submit(job)
}

// repeatSubmissions submits the jobs again at every controller. The rule checker reports an accepted job
// that is rejected.
func (w *World) repeatSubmissions(jobs []*protocol.Job) {
	for _, controller := range w.Controllers {
		for _, job := range jobs {
			if w.Rules.job(job.ID).accepted {
				w.SendUserRequestTo(controller, protocol.RequestSubmit, job.ID, protocol.Encode(job), func(int, protocol.JobState) {})
			}
		}
	}
}

// announceByRestarts announces the tightened limits by a restart of the controllers one after the other.
func announceByRestarts(w *World) {
	w.After(seconds(30), func() { w.Config.AnnouncedLimits = &tightenedLimits })
	for i, controller := range w.Controllers {
		controller.ScheduleRestart(seconds(32+4*i), seconds(1))
	}
}

// setDrainAt lets an operator start or end the drain of a controller.
func (w *World) setDrainAt(at float64, controllerID protocol.ControllerID, isDraining bool) {
	w.After(seconds(at), func() {
		w.Controllers[2].DeliverOperatorRequest(func(id step.RequestID) step.Input {
			return requests.DrainRequest{RequestID: id, Controller: controllerID, Drain: isDraining}
		}, func(step.Effect) {})
	})
}

// TestLoweredLimitsWithLongDescriptions lowers the limits of the store below the size of accepted jobs'
// records. The jobs stay known, run and can be cancelled, other jobs are not delayed, and every record
// that is still written fits the new limits. Before the fix such a job was rejected when it was submitted
// again and never ran, because every transaction with its record was built, dropped and built again.
func TestLoweredLimitsWithLongDescriptions(t *testing.T) {
	for _, test := range []struct {
		name    string
		world   func(*testing.T, uint64) *World
		lowerAt float64 // in seconds
		inject  func(w *World)
	}{
		{"announced by restarts", newMixedWorld, 60, announceByRestarts},
		{"announced by an upgrade", newUpgradeWorld, 60, upgradeInTurn},
		{"announced by an upgrade that stops half-way", newUpgradeWorld, 95, upgradeStopsHalfWay},
		{"not announced", newMixedWorld, 60, func(*World) {}},
		{"not announced, during an upgrade", newUpgradeWorld, 60, func(w *World) {
			w.Config.AnnouncedLimits = nil
			upgradeStopsHalfWay(w)
		}},
		{"not announced, and all controllers restart afterwards", newMixedWorld, 60, func(w *World) {
			for i, controller := range w.Controllers {
				controller.ScheduleRestart(seconds(68+0.3*float64(i)), seconds(1+i))
			}
		}},
		{"announced, and the owners of jobs and machines end", newMixedWorld, 60, func(w *World) {
			announceByRestarts(w)
			w.Controllers[0].ScheduleRestart(seconds(66), seconds(25))
			w.Controllers[1].ScheduleRestart(seconds(95), seconds(9))
		}},
		{"announced, and machines move to other controllers", newMixedWorld, 60, func(w *World) {
			w.restartWithConfig(func(config *step.Config) { config.RecordTransfers = true })
			announceByRestarts(w)
			w.setDrainAt(61, "stall-0", true)
			w.setDrainAt(80, "stall-0", false)
			w.setDrainAt(82, "stall-1", true)
		}},
		{"announced, on a lossy network with a store outage", newMixedWorld, 60, func(w *World) {
			announceByRestarts(w)
			w.MessageLossRate, w.DelayedWriteRate = 0.02, 0.02
			w.scheduleStoreOutage(62, 6)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				w := test.world(t, seed)
				test.inject(w)
				runLoweredLimits(t, w, seed, test.lowerAt)
			}
		})
	}
}

// runLoweredLimits runs a day on which the limits are lowered and checks the result.
func runLoweredLimits(t *testing.T, w *World, seed uint64, lowerAt float64) {
	t.Helper()
	jobs := submitLongDescriptions(w)
	submitMixedJobs(w, 30)
	shortJob := newArray("j-640000", "short", "standard", 4, 1, 3)
	cancelled := []*protocol.Job{jobs.finite[2], jobs.finite[9], jobs.services[0]}
	w.CloudOutOfCapacity = true
	w.After(seconds(lowerAt), w.tightenLimits)
	w.After(seconds(lowerAt+3), func() { w.repeatSubmissions(jobs.finite) })
	w.After(seconds(lowerAt+4), func() { w.Submit(shortJob) })
	w.After(seconds(lowerAt+8), func() { w.CloudOutOfCapacity = false })
	for i, job := range cancelled {
		w.After(seconds(lowerAt+2+6*float64(i)), func() { w.Cancel(job.ID) })
	}
	w.Advance(seconds(150))
	w.MessageLossRate, w.DelayedWriteRate = 0, 0
	w.Rules.FaultsEndedAt = w.Now
	w.repeatSubmissions(append(jobs.finite, jobs.services...))
	w.Advance(seconds(160))
	w.Rules.CheckFinal(w.Now)
	checkRules(t, w, seed)
	for _, job := range append(jobs.finite, shortJob) {
		if !w.Rules.job(job.ID).accepted || !w.FinishedJobs[job.ID] {
			t.Errorf("seed %d: job %s was not accepted or has not ended", seed, job.ID)
		}
	}
	for _, job := range jobs.services[1:] {
		if running := w.Rules.runningReplicaCount(job.ID, job); running != job.TaskCount {
			t.Errorf("seed %d: %d of %d replicas of service %s run, want all", seed, running, job.TaskCount, job.ID)
		}
	}
}

// TestPartsOfEndedJobsAreDeleted checks that the parts of a description are deleted once the job is done,
// and that other records keep theirs.
func TestPartsOfEndedJobsAreDeleted(t *testing.T) {
	w := newMixedWorld(t, 1)
	w.Config.AnnouncedLimits = &step.WriteLimits{WritesPerSecond: 40, TransactionOps: 4, ValueBytes: 8192}
	for _, controller := range w.Controllers {
		controller.Start()
	}
	short := newArray("j-650000", "l", "standard", 2, 1, 5)
	service := newService("j-650001", 2)
	w.After(seconds(10), func() { w.submitLong(short) })
	w.After(seconds(11), func() { w.submitLong(service) })
	w.Config.AnnouncedLimits = &tightenedLimits
	announceByRestarts(w)
	w.After(seconds(45), w.tightenLimits)
	w.Advance(seconds(120))
	parts := map[string]int{}
	for _, entry := range w.Store.List(storage.KeyPrefix) {
		if storage.IsPartKey(entry.Key) {
			part, err := storage.DecodePart(entry.Key, entry.Value)
			if err != nil {
				t.Fatal(err)
			}
			parts[part.Name.RecordKey()]++
		}
	}
	if parts[storage.JobKey(short.ID)] > 0 || parts[storage.JobKey(service.ID)] < 2 || len(w.Rules.Violations) > 0 {
		t.Errorf("parts by record: %v, want none of a done job and at least 2 of a running service; rule violations %v",
			parts, w.Rules.Violations)
	}
}

// TestOverlongNewJobRejected checks that a new job that exceeds the announced limits gets a clear error
// from every controller, while one that was accepted before they were announced gets its state.
func TestOverlongNewJobRejected(t *testing.T) {
	w := newMixedWorld(t, 2)
	known, unknown := newArray("j-660000", "l", "standard", 2, 1, 60), newArray("j-660001", "l", "standard", 2, 1, 5)
	w.After(seconds(10), func() { w.submitLong(known) })
	announceByRestarts(w)
	w.Advance(seconds(55))
	w.lengthenDescription(unknown)
	statuses := map[protocol.JobID][]int{}
	for _, controller := range w.Controllers {
		for _, job := range []*protocol.Job{known, unknown} {
			w.SendUserRequestTo(controller, protocol.RequestSubmit, job.ID, protocol.Encode(job), func(status int, _ protocol.JobState) {
				statuses[job.ID] = append(statuses[job.ID], status)
			})
		}
	}
	w.Advance(seconds(5))
	want := map[protocol.JobID]int{known.ID: http.StatusOK, unknown.ID: http.StatusBadRequest}
	for id, wantStatus := range want {
		if got := fmt.Sprint(statuses[id]); got != fmt.Sprint([]int{wantStatus, wantStatus, wantStatus}) {
			t.Errorf("submissions of %s are answered with %s, want %d from each controller", id, got, wantStatus)
		}
	}
}

// TestDescriptionExceedsTransaction lowers the limits so far that the parts of one description take several
// transactions: two operations each, and values of 1 KiB. All jobs must end all the same.
func TestDescriptionExceedsTransaction(t *testing.T) {
	limits := step.WriteLimits{WritesPerSecond: 40, TransactionOps: 2, ValueBytes: 1024}
	for seed := uint64(1); seed <= seedCount(); seed++ {
		w := newMixedWorld(t, seed)
		w.CloudOutOfCapacity = true
		jobs := []*protocol.Job{
			newArray("j-680000", "l", "standard", 40, 1, 10),
			newArray("j-680001", "l", "standard", 12, 1, 10),
			newGang("j-680002", "l", "high", 3, 2, 10),
		}
		for i, job := range jobs {
			w.After(seconds(5+2*i), func() { w.submitLong(job) })
		}
		w.After(seconds(30), func() { w.Config.AnnouncedLimits = &limits })
		for i, controller := range w.Controllers {
			controller.ScheduleRestart(seconds(32+4*i), seconds(1))
		}
		w.After(seconds(60), func() {
			w.Store.MaxValueBytes, w.Store.MaxTransactionOperations = limits.ValueBytes, limits.TransactionOps
			w.CloudOutOfCapacity = false
		})
		w.Advance(seconds(70))
		w.Rules.FaultsEndedAt = w.Now
		w.Advance(seconds(150))
		checkRules(t, w, seed)
		checkNoTransactionTooLarge(t, w, seed)
		for _, job := range jobs {
			if !w.FinishedJobs[job.ID] {
				t.Errorf("seed %d: job %s has not ended", seed, job.ID)
			}
		}
	}
}
