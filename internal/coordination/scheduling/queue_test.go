package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// TestQueueOrder checks the order of the queue: starved jobs by age, then all other jobs by precedence, by
// whether they can still meet an objective, by due time and finally by ID.
func TestQueueOrder(t *testing.T) {
	starvedSince := func(submittedAt protocol.Millis) PendingJob {
		position := queuePosition{isStarved: true, queuePrecedence: 3}
		return PendingJob{record: &storage.JobRecord{SubmittedAt: submittedAt}, queuePosition: position}
	}
	queued := func(precedence int, isLate bool, dueAt protocol.Millis) PendingJob {
		position := queuePosition{queuePrecedence: precedence, isLate: isLate, dueAt: dueAt}
		return PendingJob{record: &storage.JobRecord{}, queuePosition: position}
	}
	for _, test := range []struct {
		name          string
		first, second PendingJob
	}{
		{"starved before the highest priority", starvedSince(9), queued(0, false, 1)},
		{"the job that has starved longest first", starvedSince(1), starvedSince(2)},
		{"precedence before lateness", queued(1, true, 9), queued(2, false, 1)},
		{"a job that can meet an objective before a late job", queued(1, false, 9), queued(1, true, 1)},
		{"the earlier due time first", queued(1, false, 1), queued(1, false, 2)},
		{"the smaller ID first", queued(1, false, 1), queued(1, false, 1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.first.id, test.second.id = "j-1", "j-2"
			if !test.first.isServedBefore(&test.second) || test.second.isServedBefore(&test.first) {
				t.Errorf("%+v is not served before %+v, or the reverse order holds too, want only the first before the second", test.first.queuePosition, test.second.queuePosition)
			}
		})
	}
}

// TestQuotaHeadroom checks that a team's limits on cores and accelerators, less the resources in use, bound the
// number of further tasks.
func TestQuotaHeadroom(t *testing.T) {
	for _, test := range []struct {
		name      string
		quota     step.Quota
		usedTasks int // running tasks of the team
		want      int
	}{
		{"no limit", step.Quota{}, 1, protocol.MaxTasks},
		{"nothing in use", step.Quota{MaxCores: 8}, 0, 4},
		{"some in use", step.Quota{MaxCores: 8}, 3, 1},
		{"a fraction of a task does not count", step.Quota{MaxCores: 7}, 0, 3},
		{"more in use than the limit", step.Quota{MaxCores: 4}, 3, 0},
		{"the limit on accelerators is the tighter one", step.Quota{MaxCores: 8, MaxAccelerators: 2}, 0, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			fixture.Config.Quotas["core"] = test.quota
			spec := newArrayJob(2, 20)
			spec.Accelerators = 1
			machine := newCandidate(&largeMachineType, "m-1", false)
			fixture.addTasks(machine, spec, allocation{job: "j-2", attempt: 1, count: test.usedTasks}, 0)
			if got := fixture.Queue.quotaHeadroom([]*Candidate{machine}, spec); got != test.want {
				t.Errorf("got headroom for %d tasks, want %d", got, test.want)
			}
		})
	}
}

// TestZoneHeadroom checks that a single-zone job stays in its zone, and that a job that spreads over zones has at
// most half of its tasks in one zone.
func TestZoneHeadroom(t *testing.T) {
	for _, test := range []struct {
		name                    string
		singleZone, spreadZones bool
		inA, inB                int
		want                    int // in zone a
	}{
		{"no constraint", false, false, 3, 3, protocol.MaxTasks},
		{"single zone, nothing placed", true, false, 0, 0, protocol.MaxTasks},
		{"single zone, tasks in this zone", true, false, 3, 0, protocol.MaxTasks},
		{"single zone, tasks in another zone", true, false, 0, 1, 0},
		{"spread, half of the tasks in this zone", false, true, 5, 0, 0},
		{"spread, less than half of the tasks in this zone", false, true, 3, 5, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			spec := newArrayJob(4, 20)
			spec.SingleZone, spec.SpreadZones = test.singleZone, test.spreadZones
			job := fixture.newPendingJob(spec, time.Minute)
			job.tasksByZone["a"], job.tasksByZone["b"] = test.inA, test.inB
			if got := job.zoneHeadroom("a"); got != test.want {
				t.Errorf("got headroom for %d tasks, want %d", got, test.want)
			}
		})
	}
}
