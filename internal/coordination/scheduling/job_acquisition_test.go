package scheduling

import (
	"fmt"
	"testing"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestMayAcquireJob checks that a job is acquired only once its owner has ended: by the owner's successor after
// a short delay, and by any other controller after a long delay.
func TestMayAcquireJob(t *testing.T) {
	const endedOwner, livingOwner storage.Incarnation = "stall-9#1", "stall-1#1"
	for _, test := range []struct {
		name         string
		owner        storage.Incarnation
		isSuccessor  bool
		expiredSince time.Duration
		want         bool
	}{
		{"owner alive", livingOwner, true, time.Minute, false},
		{"successor before its delay", endedOwner, true, successorDelay - 1, false},
		{"successor after its delay", endedOwner, true, successorDelay, true},
		{"other controller after the successor's delay", endedOwner, false, successorDelay, false},
		{"other controller before its delay", endedOwner, false, anyControllerDelay - 1, false},
		{"other controller after its delay", endedOwner, false, anyControllerDelay, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			controller := storage.ControllerRecord{Incarnation: livingOwner}
			fixture.Put(t, storage.ControllerKey(livingOwner.Controller()), storage.MustMarshal(controller), 1)
			spec := newArrayJob(4, 20)
			spec.ID = fixture.jobIDWithSuccessor(t, test.isSuccessor)
			job := fixture.newPendingJob(spec, time.Minute)
			job.record.Owner = test.owner
			fixture.Put(t, storage.JobKey(spec.ID), storage.MustMarshal(job.record), 2)

			fixture.acquirer.ownership.TrackExpiredIncarnations()
			fixture.Now.Monotonic = fixture.Now.Monotonic.Add(test.expiredSince)
			if got := fixture.acquirer.mayAcquireJob(job); got != test.want {
				t.Errorf("mayAcquireJob = %v, want %v", got, test.want)
			}
		})
	}
}

// jobIDWithSuccessor returns the ID of a job for which ownership.Manager.IsSuccessor returns isSuccessor.
func (f *schedulingFixture) jobIDWithSuccessor(t *testing.T, isSuccessor bool) protocol.JobID {
	t.Helper()
	for number := range 100 {
		id := protocol.JobID(fmt.Sprint("j-", number))
		if f.acquirer.ownership.IsSuccessor(storage.JobKey(id)) == isSuccessor {
			return id
		}
	}
	t.Fatalf("no job ID found with IsSuccessor = %v", isSuccessor)
	return ""
}
