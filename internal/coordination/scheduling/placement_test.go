package scheduling

import (
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/storage"
)

// TestExpediteUrgentTasks checks that a placement of tasks that have to start before their machine sends its
// next heartbeat makes the machine's agent send one immediately, and that no other placement does.
func TestExpediteUrgentTasks(t *testing.T) {
	for _, test := range []struct {
		name   string
		slack  time.Duration
		isLate bool
		want   bool
	}{
		{"the tasks have to start soon", 8 * time.Second, false, true},
		{"the tasks can wait for a heartbeat", 60 * time.Second, false, false},
		{"the job is late in any case", time.Second, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			fixture.Config.HeartbeatInterval = 6 * time.Second
			job := fixture.newPendingJob(newArrayJob(4, 20), test.slack)
			job.isLate = test.isLate
			if got := fixture.Queue.shouldExpediteHeartbeats(job); got != test.want {
				t.Errorf("shouldExpediteHeartbeats with slack %v, late %v = %v, want the opposite", test.slack, test.isLate, got)
			}
		})
	}
	for _, test := range []struct {
		name            string
		deferredRequest step.RequestID
		want            bool
	}{
		{"no heartbeat is deferred", 0, true},
		{"a heartbeat is deferred", 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			machine := newCandidate(&smallMachineType, "m-1", false)
			machine.record.Owner = fixture.commit.Lease.Incarnation()
			fixture.agents.Table.MachineState("m-1").DeferredRequest = test.deferredRequest
			if got := fixture.lister.awaitsHeartbeat(machine); got != test.want {
				t.Errorf("awaitsHeartbeat with deferred request %d = %v, want the opposite", test.deferredRequest, got)
			}
		})
	}
}

// TestScoreCandidate checks that the score prefers machines on which a task starts sooner or leaves more
// capacity for others.
func TestScoreCandidate(t *testing.T) {
	const owner, peer = "stall-0#1", "stall-1#1"
	newMachine := func(change func(*Candidate)) *Candidate {
		machine := newCandidate(&smallMachineType, "m-1", false)
		machine.record.Owner = owner
		change(machine)
		return machine
	}
	for _, test := range []struct {
		name          string
		better, worse func(*Candidate)
	}{
		{"a small machine before a large one",
			func(*Candidate) {},
			func(m *Candidate) { m.machineType = &largeMachineType }},
		{"a large machine before one that is not up yet",
			func(m *Candidate) { m.machineType = &largeMachineType },
			func(m *Candidate) { m.isProvisioning = true }},
		{"spot before on demand",
			func(m *Candidate) { m.record.Spot = true },
			func(*Candidate) {}},
		{"a shard of the job's owner before a shard of a peer",
			func(*Candidate) {},
			func(m *Candidate) { m.record.Owner = peer }},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			job := fixture.newPendingJob(newArrayJob(4, 20), time.Minute)
			job.record.Owner = owner
			batch := fixture.commit.ShardWriter.NewBatch(8)
			better := fixture.Scheduler.scoreCandidate(batch, job, newMachine(test.better))
			worse := fixture.Scheduler.scoreCandidate(batch, job, newMachine(test.worse))
			if better >= worse {
				t.Errorf("got scores %v and %v, want the first to be lower", better, worse)
			}
		})
	}
}

// TestPlacePendingJobs checks that a pass writes the tasks of an owned array that fit on free machines. Of the
// other tasks, those that can follow running tasks wait, and the rest is unmet demand. A job of another owner is
// planned, but it is neither written nor reported as demand.
func TestPlacePendingJobs(t *testing.T) {
	for _, test := range []struct {
		name                 string
		machine              storage.MachineRecord
		isOwned              bool
		wantTasks            int // written to the machine's record
		wantDemand           int
		wantExpectsPlacement bool // whether the plan has a placement that is not written
	}{
		{"owned job, free machine on which four more tasks can follow",
			storage.MachineRecord{AgentEpoch: 1}, true, 4, 2, false},
		{"owned job, machine not up yet", storage.MachineRecord{}, true, 0, 6, true},
		{"owned job, cordoned machine", storage.MachineRecord{AgentEpoch: 1, Cordoned: true}, true, 0, 10, false},
		{"another owner's job", storage.MachineRecord{AgentEpoch: 1}, false, 0, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixtureWithTwoMachineTypes(t)
			job := storage.JobRecord{
				Spec:        newArrayJob(1, 20),
				Owner:       "stall-1#1",
				NextAttempt: step.AttemptBlockSize,
				SubmittedAt: fixture.Now.Wall,
			}
			if test.isOwned {
				job.Owner = fixture.commit.Lease.Incarnation()
			}
			test.machine.MachineType, test.machine.Zone = "small", "a"
			fixture.Put(t, storage.JobKey("j-1"), storage.MustMarshal(job), 1)
			shard := storage.EncodePlainShard(fixture.commit.Lease.Incarnation(), 1, []string{test.machine.EncodeLine("m-1")}, nil)
			fixture.Put(t, storage.ShardKey("p"), shard, 2)

			batch := fixture.commit.ShardWriter.NewBatch(8)
			fixture.Scheduler.PlacePendingJobs(batch)

			written := 0
			for assigned := range batch.MachineRecord("m-1").AssignmentsOf("j-1") {
				written += assigned.Tasks.Len()
			}
			demand := 0
			for _, unmet := range fixture.Plan.Demands() {
				demand += unmet.TaskCount
			}
			if written != test.wantTasks || demand != test.wantDemand {
				t.Errorf("%d tasks written, demand for %d tasks, want %d and %d", written, demand, test.wantTasks, test.wantDemand)
			}
			if got := fixture.Plan.ExpectsPlacement("m-1"); got != test.wantExpectsPlacement {
				t.Errorf("ExpectsPlacement = %v, want the opposite", got)
			}
			if got, want := fixture.Plan.RetainsMachine("m-1"), written > 0 || test.wantExpectsPlacement; got != want {
				t.Errorf("RetainsMachine = %v, want the opposite", got)
			}
		})
	}
}
