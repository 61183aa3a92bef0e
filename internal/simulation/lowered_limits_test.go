package simulation

import (
	"fmt"
	"net/http"
	"testing"

	"tillerarch/internal/protocol"
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

func (w *World) submitLong(job *protocol.Job) {
	w.lengthenDescription(job)
	w.Submit(job)
}

// announceByRestarts announces the tightened limits by a restart of the controllers one after the other.
func announceByRestarts(w *World) {
	w.After(seconds(30), func() { w.Config.AnnouncedLimits = &tightenedLimits })
	for i, controller := range w.Controllers {
		controller.ScheduleRestart(seconds(32+4*i), seconds(1))
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
